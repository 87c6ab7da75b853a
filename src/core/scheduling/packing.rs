//! Plans how many tasks fit on the existing machines, and the machines to rent for the remaining tasks.
//! The plan is an estimate for renting and returning machines. The actual placement of tasks is decided
//! in [`crate::core::shard::round`].

pub mod candidate;
mod rental;

use crate::core::jobs::job::zone_allows;
use crate::core::messages::capacity_demand::{CapacityDemand, MachineDemand, MachineOffer};
use crate::core::model::resources::Resources;
use crate::core::scheduling::constraints::accepts_machine;
use crate::core::scheduling::opportunistic::is_cost_effective;
use crate::core::scheduling::packing::candidate::{PackingCandidate, TaskDemand};
use crate::core::scheduling::packing::rental::RentalRequest;
use crate::ids::{MachineId, Zone};
use crate::wire::{JobSpec, MachineType, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of tasks of one job that a plan places on existing machines. Each task is compared with
/// every machine, so the limit bounds the cost of a plan; the next plan considers the remaining tasks.
const MAX_PLACED_PER_JOB: u32 = 1000;

/// Candidate machines and the resources that the tasks planned so far leave on them.
pub struct Plan<'a> {
    /// Maximum number of machines demanded at once for ordinary tasks.
    max_machines_wanted: u32,
    types: &'a [MachineType],
    /// Offers that the cloud cannot provide at present.
    unavailable: &'a BTreeSet<MachineOffer>,
    candidates: Vec<PackingCandidate>,
    machines_in_zone: BTreeMap<Zone, u32>,
}

impl<'a> Plan<'a> {
    /// Creates a plan without tasks. `unavailable` are the offers that the cloud cannot provide at present.
    pub fn new(
        types: &'a [MachineType],
        unavailable: &'a BTreeSet<MachineOffer>,
        candidates: Vec<PackingCandidate>,
        max_machines_wanted: u32,
    ) -> Self {
        let mut machines_in_zone: BTreeMap<Zone, u32> = BTreeMap::new();
        for candidate in &candidates {
            *machines_in_zone
                .entry(candidate.offer.zone.clone())
                .or_default() += 1;
        }
        Self {
            max_machines_wanted,
            types,
            unavailable,
            candidates,
            machines_in_zone,
        }
    }

    /// The candidates with the tasks placed so far.
    pub fn candidates(&self) -> &[PackingCandidate] {
        &self.candidates
    }

    /// The candidates with the tasks placed on them.
    pub fn into_candidates(self) -> Vec<PackingCandidate> {
        self.candidates
    }

    /// Adds resources to a machine that become free there before the next tasks start.
    pub fn add_released(&mut self, machine: &MachineId, released: &Resources) {
        let is_machine =
            |candidate: &&mut PackingCandidate| candidate.machine.as_ref() == Some(machine);
        if let Some(candidate) = self.candidates.iter_mut().find(is_machine) {
            candidate.free = candidate.free.plus(released);
        }
    }

    /// Places queued or forecast tasks. Adds machines to `demand` for the tasks that do not fit.
    pub fn place(&mut self, tasks: TaskDemand, demand: &mut CapacityDemand) {
        if tasks.urgency.is_some() {
            let size = if tasks.spec.gpus > 0.0 {
                tasks.spec.gpus
            } else {
                tasks.spec.cpus
            };
            demand.queued += size * f64::from(tasks.count);
        }
        self.place_tasks(&tasks, PlacementKind::Ordinary, demand);
    }

    /// Places tasks of an opportunistic job. Adds at most `rental_budget` machines to `demand` for the tasks
    /// that do not fit, and subtracts their number from `rental_budget`. Unless the job is starved, these
    /// machines are cost-effective.
    pub fn place_opportunistic(
        &mut self,
        tasks: TaskDemand,
        is_starved: bool,
        rental_budget: &mut u32,
        demand: &mut CapacityDemand,
    ) {
        let kind = PlacementKind::Opportunistic {
            is_starved,
            rental_budget,
        };
        self.place_tasks(&tasks, kind, demand);
    }

    fn place_tasks(
        &mut self,
        tasks: &TaskDemand,
        mut kind: PlacementKind,
        demand: &mut CapacityDemand,
    ) {
        let task = PlannedTask::of(tasks);
        let is_bound_to_zones = task.spec.spread || task.spec.one_zone;
        let mut tasks_in_zone = tasks.tasks_in_zone.clone();
        // No candidate before this index can hold a further task of the job.
        let mut first = 0;
        let mut placed_on_machines = 0;
        for _ in 0..tasks.count {
            if placed_on_machines >= MAX_PLACED_PER_JOB {
                return;
            }
            let accepts_zone = |zone: &Zone| zone_allows(task.spec, zone, &tasks_in_zone);
            let zone = if let Some(candidate) = self.best_candidate(first, &task, &accepts_zone) {
                candidate.free = candidate.free.minus(&task.need);
                placed_on_machines += u32::from(candidate.machine.is_some());
                kind.mark_candidate(candidate, task.urgency);
                candidate.offer.zone.clone()
            } else {
                first = if is_bound_to_zones {
                    0
                } else {
                    self.candidates.len()
                };
                let Some(zone) = self.rent(&task, &accepts_zone, &mut kind, demand) else {
                    return;
                };
                zone
            };
            *tasks_in_zone.entry(zone).or_default() += 1;
        }
    }

    /// Subtracts the resources of opportunistic tasks from the free resources of all candidates.
    pub fn reserve_opportunistic(&mut self) {
        for candidate in &mut self.candidates {
            candidate.free = candidate.free.minus(&candidate.opportunistic_resources);
        }
    }

    /// Returns the best candidate for a task among those from index `first` on. The order of preference is: a
    /// spot instance if the job may use one, a machine in use, a machine that is not being drained, the best
    /// fit.
    fn best_candidate(
        &mut self,
        first: usize,
        task: &PlannedTask,
        accepts_zone: &dyn Fn(&Zone) -> bool,
    ) -> Option<&mut PackingCandidate> {
        let remaining = |candidate: &PackingCandidate| candidate.free.minus(&task.need);
        let is_needlessly_on_demand =
            |candidate: &PackingCandidate| task.spec.spot && !candidate.offer.spot;
        self.candidates
            .get_mut(first..)?
            .iter_mut()
            .filter(|candidate| task.fits_on(candidate) && accepts_zone(&candidate.offer.zone))
            .min_by(|one, other| {
                let (one_remaining, other_remaining) = (remaining(one), remaining(other));
                (is_needlessly_on_demand(one).cmp(&is_needlessly_on_demand(other)))
                    .then(other.is_in_use.cmp(&one.is_in_use))
                    .then(one.is_draining.cmp(&other.is_draining))
                    .then(one_remaining.gpus.total_cmp(&other_remaining.gpus))
                    .then(one_remaining.cpus.total_cmp(&other_remaining.cpus))
            })
    }

    /// Adds the cheapest suitable machine to the plan and to `demand`, and returns its zone. Returns `None`
    /// if no further machine may be rented or no offer is suitable.
    fn rent(
        &mut self,
        task: &PlannedTask,
        accepts_zone: &dyn Fn(&Zone) -> bool,
        kind: &mut PlacementKind,
        demand: &mut CapacityDemand,
    ) -> Option<Zone> {
        if !kind.may_rent(demand, self.max_machines_wanted) {
            return None;
        }
        let request = RentalRequest {
            spec: task.spec,
            need: &task.need,
            accepts_zone,
        };
        let (any_of, not_worthwhile): (Vec<MachineOffer>, Vec<MachineOffer>) = request
            .offers(self.types)
            .into_iter()
            .partition(|offer| self.is_worthwhile(offer, task, kind));
        let unavailable = self.unavailable.iter().cloned();
        let excluded = unavailable.chain(not_worthwhile).collect();
        let (offer, total) = request.cheapest(self.types, &self.machines_in_zone, &excluded)?;
        demand.add(MachineDemand {
            count: 1,
            offer: offer.clone(),
            any_of,
            urgency: task.urgency,
            gpus: task.need.gpus,
            opportunistic: kind.count_rental(),
        });
        let zone = offer.zone.clone();
        let mut rented = PackingCandidate {
            free: total.minus(&task.need),
            total,
            ..PackingCandidate::empty(None, offer)
        };
        kind.mark_candidate(&mut rented, task.urgency);
        self.candidates.push(rented);
        *self.machines_in_zone.entry(zone.clone()).or_default() += 1;
        Some(zone)
    }

    /// Whether an offer that can run the task is worth renting. No GPU machine is rented for a task that must
    /// keep free GPUs usable, and only cost-effective machines for an opportunistic job that is not starved.
    fn is_worthwhile(
        &self,
        offer: &MachineOffer,
        task: &PlannedTask,
        kind: &PlacementKind,
    ) -> bool {
        let has_gpus = || {
            self.types
                .iter()
                .any(|machine_type| machine_type.name == offer.type_name && machine_type.gpus > 0.0)
        };
        match kind {
            _ if task.must_keep_free_gpus_usable && has_gpus() => false,
            PlacementKind::Ordinary
            | PlacementKind::Opportunistic {
                is_starved: true, ..
            } => true,
            PlacementKind::Opportunistic { .. } => is_cost_effective(self.types, offer, task.spec),
        }
    }
}

/// A task of the job that is being placed. All tasks of the job are alike.
struct PlannedTask<'a> {
    spec: &'a JobSpec,
    need: Resources,
    avoided: &'a BTreeSet<MachineId>,
    urgency: Option<Priority>,
    must_keep_free_gpus_usable: bool,
}

impl<'a> PlannedTask<'a> {
    fn of(tasks: &'a TaskDemand) -> Self {
        Self {
            spec: &tasks.spec,
            need: Resources::of(&tasks.spec),
            avoided: &tasks.avoided,
            urgency: tasks.urgency,
            must_keep_free_gpus_usable: tasks.must_keep_free_gpus_usable,
        }
    }

    /// Whether the candidate has the needed resources and satisfies the job's constraints, except those on
    /// the distribution of its tasks over zones.
    fn fits_on(&self, candidate: &PackingCandidate) -> bool {
        let PackingCandidate { machine, offer, .. } = candidate;
        self.usable_resources(candidate).holds(&self.need)
            && machine
                .as_ref()
                .is_none_or(|machine| !self.avoided.contains(machine))
            && accepts_machine(self.spec, &offer.type_name, &offer.zone, offer.spot)
    }

    /// The candidate's free resources that the task may use.
    fn usable_resources(&self, candidate: &PackingCandidate) -> Resources {
        if self.must_keep_free_gpus_usable {
            candidate.free.without_share_of_free_gpus(&candidate.total)
        } else {
            candidate.free
        }
    }
}

/// The kind of tasks that are being placed.
enum PlacementKind<'r> {
    /// Queued or forecast tasks.
    Ordinary,
    /// Opportunistic tasks. They use idle resources, and machines are rented for them only within bounds.
    Opportunistic {
        /// Whether the job has waited so long that any machine may be rented for it.
        is_starved: bool,
        /// Number of machines that may still be rented.
        rental_budget: &'r mut u32,
    },
}

impl PlacementKind<'_> {
    /// Records in a candidate that a task of this kind was placed on it.
    fn mark_candidate(&self, candidate: &mut PackingCandidate, urgency: Option<Priority>) {
        match self {
            Self::Ordinary => {
                candidate.is_in_use = true;
                candidate.has_planned_tasks = true;
                candidate.has_queued_tasks |= urgency.is_some();
            }
            Self::Opportunistic { .. } => candidate.has_opportunistic_tasks = true,
        }
    }

    /// Whether another machine may be demanded. The limit for ordinary tasks keeps a job of 100,000 tasks
    /// from demanding more machines than can be rented soon.
    fn may_rent(&self, demand: &CapacityDemand, max_machines_wanted: u32) -> bool {
        match self {
            Self::Ordinary => demand.machines_wanted() < max_machines_wanted,
            Self::Opportunistic { rental_budget, .. } => **rental_budget > 0,
        }
    }

    /// Counts a machine to be rented, and returns whether it is for opportunistic tasks.
    fn count_rental(&mut self) -> bool {
        match self {
            Self::Ordinary => false,
            Self::Opportunistic { rental_budget, .. } => {
                **rental_budget -= 1;
                true
            }
        }
    }
}

#[cfg(test)]
mod tests;
