//! A plan of which tasks fit on the existing machines, and which machines the others would need.
//! It is an estimate for renting and returning machines; the actual placement of tasks is decided in
//! [`crate::core::shard::round`].

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

/// Tasks of one job that a plan places on existing machines at most. Each of them is compared with
/// every machine; the next plan considers the remaining ones.
const MAX_PLACED_PER_JOB: u32 = 1000;

/// Candidates, and the tasks placed on them so far.
pub struct Plan<'a> {
    /// Machines demanded at once at most.
    max_machines_wanted: u32,
    types: &'a [MachineType],
    /// Offers that the cloud cannot provide at present.
    unavailable: &'a BTreeSet<MachineOffer>,
    candidates: Vec<PackingCandidate>,
    machines_in_zone: BTreeMap<Zone, u32>,
}

impl<'a> Plan<'a> {
    /// A plan without any tasks. `unavailable` are the offers that the cloud cannot provide at present.
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

    /// Adds resources that will be free on a machine by the time the next tasks start.
    pub fn add_released(&mut self, machine: &MachineId, released: &Resources) {
        let is_machine =
            |candidate: &&mut PackingCandidate| candidate.machine.as_ref() == Some(machine);
        if let Some(candidate) = self.candidates.iter_mut().find(is_machine) {
            candidate.free = candidate.free.plus(released);
        }
    }

    /// Places queued or forecast tasks, and adds the machines they lack to `demand`.
    pub fn place(&mut self, tasks: TaskDemand, demand: &mut CapacityDemand) {
        if tasks.urgency.is_some() {
            let size = if tasks.spec.gpus > 0.0 {
                tasks.spec.gpus
            } else {
                tasks.spec.cpus
            };
            demand.queued += size * f64::from(tasks.count);
        }
        self.place_as(&tasks, Purpose::Ordinary, demand);
    }

    /// Places tasks of an opportunistic job. For the tasks that do not fit, at most `rentals` machines are
    /// added to `demand`, and only cost-effective ones unless the job is starved; `rentals` is reduced by
    /// their number.
    pub fn place_opportunistic(
        &mut self,
        tasks: TaskDemand,
        is_starved: bool,
        rentals: &mut u32,
        demand: &mut CapacityDemand,
    ) {
        let purpose = Purpose::Opportunistic {
            is_starved,
            rentals,
        };
        self.place_as(&tasks, purpose, demand);
    }

    fn place_as(&mut self, tasks: &TaskDemand, mut purpose: Purpose, demand: &mut CapacityDemand) {
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
            let has_zone_quota = |zone: &Zone| zone_allows(task.spec, zone, &tasks_in_zone);
            let zone = if let Some(candidate) = self.best_candidate(first, &task, &has_zone_quota) {
                candidate.free = candidate.free.minus(&task.need);
                placed_on_machines += u32::from(candidate.machine.is_some());
                purpose.mark(candidate, task.urgency);
                candidate.offer.zone.clone()
            } else {
                first = if is_bound_to_zones {
                    0
                } else {
                    self.candidates.len()
                };
                let Some(zone) = self.rent(&task, &has_zone_quota, &mut purpose, demand) else {
                    return;
                };
                zone
            };
            *tasks_in_zone.entry(zone).or_default() += 1;
        }
    }

    /// From now on resources of opportunistic tasks no longer count as free.
    pub fn reserve_opportunistic(&mut self) {
        for candidate in &mut self.candidates {
            candidate.free = candidate.free.minus(&candidate.opportunistic_resources);
        }
    }

    /// The best candidate for a task among those from index `first` on: of a job that may use spot instances,
    /// a spot instance; then a machine in use; then one that is not being drained; then the best fit.
    fn best_candidate(
        &mut self,
        first: usize,
        task: &PlannedTask,
        has_zone_quota: &dyn Fn(&Zone) -> bool,
    ) -> Option<&mut PackingCandidate> {
        let leftover = |candidate: &PackingCandidate| candidate.free.minus(&task.need);
        let is_needlessly_on_demand =
            |candidate: &PackingCandidate| task.spec.spot && !candidate.offer.spot;
        self.candidates
            .get_mut(first..)?
            .iter_mut()
            .filter(|candidate| task.fits_on(candidate) && has_zone_quota(&candidate.offer.zone))
            .min_by(|one, other| {
                let (one_left, other_left) = (leftover(one), leftover(other));
                (is_needlessly_on_demand(one).cmp(&is_needlessly_on_demand(other)))
                    .then(other.is_in_use.cmp(&one.is_in_use))
                    .then(one.is_draining.cmp(&other.is_draining))
                    .then(one_left.gpus.total_cmp(&other_left.gpus))
                    .then(one_left.cpus.total_cmp(&other_left.cpus))
            })
    }

    /// Adds the cheapest suitable machine to the plan and to `demand`; returns its zone. `None` if no
    /// further machine may be rented or none suits.
    fn rent(
        &mut self,
        task: &PlannedTask,
        has_zone_quota: &dyn Fn(&Zone) -> bool,
        purpose: &mut Purpose,
        demand: &mut CapacityDemand,
    ) -> Option<Zone> {
        if !purpose.may_rent(demand, self.max_machines_wanted) {
            return None;
        }
        let request = RentalRequest {
            spec: task.spec,
            need: &task.need,
            zone_allows: has_zone_quota,
        };
        let (any_of, not_worthwhile): (Vec<MachineOffer>, Vec<MachineOffer>) = request
            .offers(self.types)
            .into_iter()
            .partition(|offer| self.is_worthwhile(offer, task, purpose));
        let unavailable = self.unavailable.iter().cloned();
        let excluded = unavailable.chain(not_worthwhile).collect();
        let (offer, total) = request.cheapest(self.types, &self.machines_in_zone, &excluded)?;
        demand.add(MachineDemand {
            count: 1,
            offer: offer.clone(),
            any_of,
            urgency: task.urgency,
            gpus: task.need.gpus,
            opportunistic: purpose.count_rental(),
        });
        let zone = offer.zone.clone();
        let mut rented = PackingCandidate {
            free: total.minus(&task.need),
            total,
            ..PackingCandidate::empty(None, offer)
        };
        purpose.mark(&mut rented, task.urgency);
        self.candidates.push(rented);
        *self.machines_in_zone.entry(zone.clone()).or_default() += 1;
        Some(zone)
    }

    /// Whether an offer that can run the task is worth renting.
    fn is_worthwhile(&self, offer: &MachineOffer, task: &PlannedTask, purpose: &Purpose) -> bool {
        let has_gpus = || {
            self.types
                .iter()
                .any(|of_type| of_type.name == offer.type_name && of_type.gpus > 0.0)
        };
        match purpose {
            _ if task.avoids_stranding_gpus && has_gpus() => false,
            Purpose::Ordinary
            | Purpose::Opportunistic {
                is_starved: true, ..
            } => true,
            Purpose::Opportunistic { .. } => is_cost_effective(self.types, offer, task.spec),
        }
    }
}

/// A task of the job that is being placed.
struct PlannedTask<'a> {
    spec: &'a JobSpec,
    need: Resources,
    avoided: &'a BTreeSet<MachineId>,
    urgency: Option<Priority>,
    avoids_stranding_gpus: bool,
}

impl<'a> PlannedTask<'a> {
    fn of(tasks: &'a TaskDemand) -> Self {
        Self {
            spec: &tasks.spec,
            need: Resources::of(&tasks.spec),
            avoided: &tasks.avoided,
            urgency: tasks.urgency,
            avoids_stranding_gpus: tasks.avoids_stranding_gpus,
        }
    }

    /// Whether the candidate has the resources and satisfies the job's constraints, except those on how
    /// its tasks are spread over zones.
    fn fits_on(&self, candidate: &PackingCandidate) -> bool {
        let PackingCandidate { machine, offer, .. } = candidate;
        self.usable_resources(candidate).holds(&self.need)
            && machine
                .as_ref()
                .is_none_or(|machine| !self.avoided.contains(machine))
            && accepts_machine(self.spec, &offer.type_name, &offer.zone, offer.spot)
    }

    /// The free resources that the task may use.
    fn usable_resources(&self, candidate: &PackingCandidate) -> Resources {
        if self.avoids_stranding_gpus {
            candidate.free.without_share_of_free_gpus(&candidate.total)
        } else {
            candidate.free
        }
    }
}

/// What kind of tasks are being placed.
enum Purpose<'r> {
    /// Queued or forecast tasks.
    Ordinary,
    /// Opportunistic tasks: they use idle resources, and machines are rented for them only within bounds.
    Opportunistic {
        /// Whether the job has waited so long that any machine may be rented for it.
        is_starved: bool,
        /// Machines that may still be rented.
        rentals: &'r mut u32,
    },
}

impl Purpose<'_> {
    /// Marks a candidate on which a task was placed.
    fn mark(&self, candidate: &mut PackingCandidate, urgency: Option<Priority>) {
        match self {
            Self::Ordinary => {
                candidate.is_in_use = true;
                candidate.has_planned_tasks = true;
                candidate.has_queued_tasks |= urgency.is_some();
            }
            Self::Opportunistic { .. } => candidate.has_opportunistic_tasks = true,
        }
    }

    /// Whether another machine may be demanded. Even a job of 100,000 tasks does not demand more than can
    /// be rented soon.
    fn may_rent(&self, demand: &CapacityDemand, max_machines_wanted: u32) -> bool {
        match self {
            Self::Ordinary => demand.machines_wanted() < max_machines_wanted,
            Self::Opportunistic { rentals, .. } => **rentals > 0,
        }
    }

    /// Counts a rented machine; returns whether it is for opportunistic tasks.
    fn count_rental(&mut self) -> bool {
        match self {
            Self::Ordinary => false,
            Self::Opportunistic { rentals, .. } => {
                **rentals -= 1;
                true
            }
        }
    }
}

#[cfg(test)]
mod tests;
