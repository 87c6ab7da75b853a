//! A plan of which tasks fit on the machines there are, and which machines the rest would need.
//! It is a first-fit estimate for renting and returning machines; what really starts where is
//! decided in [`crate::core::shard::round`].

use crate::core::jobs::job::zone_allows;
use crate::core::messages::capacity_demand::{CapacityDemand, MachineDemand, MachineOffer};
use crate::core::model::resources::Resources;
use crate::core::scheduling::catalog::{fits_without_gpus, tasks_per_machine, total_room};
use crate::core::scheduling::constraints::allowed;
use crate::core::scheduling::opportunistic::is_cheap;
use crate::ids::{MachineId, Zone};
use crate::wire::{JobSpec, MachineType, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Tasks of one job that a plan finds room for on machines that are there. Each of them is compared
/// with every machine; what is left over is seen by the next plan.
const PLACED_ON_MACHINES: u32 = 1000;

/// Tasks that a plan has to find room for.
pub struct TaskDemand {
    pub spec: Rc<JobSpec>,
    pub count: u32,
    /// Where the job's other tasks are: a plan that put these where the rules will not have them
    /// would never ask for what they need.
    pub zones: BTreeMap<Zone, u32>,
    /// Machines where it will not be placed: a plan that put it there would never ask for another.
    pub avoided: BTreeSet<MachineId>,
    /// How urgent it is, if it waits; None if it is only expected.
    pub urgency: Option<Priority>,
    /// It leaves what belongs to free GPUs alone, and wants no machine that has any.
    pub spares_gpus: bool,
}

impl TaskDemand {
    /// Tasks of a job that is only expected, and so has none anywhere.
    pub fn expected(types: &[MachineType], spec: Rc<JobSpec>, count: u32) -> Self {
        let spares_gpus = fits_without_gpus(types, &spec);
        let (zones, avoided) = (BTreeMap::new(), BTreeSet::new());
        Self {
            spec,
            count,
            zones,
            avoided,
            urgency: None,
            spares_gpus,
        }
    }
}

/// Somewhere a task could go in a plan.
pub struct PackingCandidate {
    pub machine: Option<MachineId>,
    pub offer: MachineOffer,
    /// Beside what is on it and what is planned there; opportunistic work counts once
    /// [`Plan::count_opportunistic`] was called.
    pub free: Resources,
    /// All that the machine has.
    pub total: Resources,
    /// Of what is free, what opportunistic work takes at present.
    pub opportunistic: Resources,
    /// Something other than opportunistic work is on it or goes there.
    pub used: bool,
    /// To be returned unless nothing else will do.
    pub draining: bool,
    /// Something that waits or is expected goes here.
    pub planned: bool,
    /// Something that waits does.
    pub waited_for: bool,
    /// Opportunistic work goes here.
    pub fills_up: bool,
}

impl PackingCandidate {
    /// Nothing is on it, and it has no room yet.
    pub fn empty(machine: Option<MachineId>, offer: MachineOffer) -> Self {
        Self {
            machine,
            offer,
            free: Resources::default(),
            total: Resources::default(),
            opportunistic: Resources::default(),
            used: false,
            draining: false,
            planned: false,
            waited_for: false,
            fills_up: false,
        }
    }
}

/// Bins, and what has been put into them so far.
pub struct Plan<'a> {
    /// Machines wanted at once at most.
    most_wanted: u32,
    types: &'a [MachineType],
    /// What the cloud has none of at present.
    refused: &'a BTreeSet<MachineOffer>,
    candidates: Vec<PackingCandidate>,
    machines_in_zone: BTreeMap<Zone, u32>,
}

impl<'a> Plan<'a> {
    pub fn new(
        types: &'a [MachineType],
        refused: &'a BTreeSet<MachineOffer>,
        candidates: Vec<PackingCandidate>,
        most_wanted: u32,
    ) -> Self {
        let mut machines_in_zone: BTreeMap<Zone, u32> = BTreeMap::new();
        for candidate in &candidates {
            *machines_in_zone
                .entry(candidate.offer.zone.clone())
                .or_default() += 1;
        }
        Self {
            most_wanted,
            types,
            refused,
            candidates,
            machines_in_zone,
        }
    }

    pub fn candidates(&self) -> &[PackingCandidate] {
        &self.candidates
    }

    pub fn into_bins(self) -> Vec<PackingCandidate> {
        self.candidates
    }

    /// Resources on a machine that will be free by the time of what is served next.
    pub fn release(&mut self, machine: &MachineId, room: &Resources) {
        let of_machine =
            |candidate: &&mut PackingCandidate| candidate.machine.as_ref() == Some(machine);
        if let Some(candidate) = self.candidates.iter_mut().find(of_machine) {
            candidate.free = candidate.free.plus(room);
        }
    }

    /// Finds room for tasks, and adds what they lack to `need`.
    pub fn serve(&mut self, wanted: TaskDemand, need: &mut CapacityDemand) {
        if wanted.urgency.is_some() {
            let size = if wanted.spec.gpus > 0.0 {
                wanted.spec.gpus
            } else {
                wanted.spec.cpus
            };
            need.queued += size * f64::from(wanted.count);
        }
        self.place(wanted, Purpose::Ordinary, need);
    }

    /// Finds room for tasks of an opportunistic job. For what they lack at most `rentals` machines are
    /// added to `need`, and unless the job is starved only cheap ones; those that it takes are deducted.
    pub fn serve_opportunistic(
        &mut self,
        wanted: TaskDemand,
        starved: bool,
        rentals: &mut u32,
        need: &mut CapacityDemand,
    ) {
        self.place(wanted, Purpose::Opportunistic { starved, rentals }, need);
    }

    fn place(&mut self, wanted: TaskDemand, mut purpose: Purpose, need: &mut CapacityDemand) {
        let TaskDemand {
            spec,
            count,
            zones: mut tasks_in_zone,
            avoided,
            urgency,
            spares_gpus,
        } = wanted;
        let task = PlannedTask {
            spec: &spec,
            room: Resources::of(&spec),
            spares_gpus,
        };
        let room = task.room;
        let bound_to_zones = spec.spread || spec.one_zone;
        // Before this bin there is no room for any further task of the job.
        let mut first = 0;
        let mut placed_on_machines = 0;
        for _ in 0..count {
            if placed_on_machines >= PLACED_ON_MACHINES {
                return;
            }
            let open = |zone: &Zone| zone_allows(&spec, zone, &tasks_in_zone);
            let zone = match self.best_candidate(first, &task, &avoided, &open) {
                Some(candidate) => {
                    candidate.free = candidate.free.less(&room);
                    placed_on_machines += u32::from(candidate.machine.is_some());
                    purpose.mark(candidate, urgency);
                    candidate.offer.zone.clone()
                }
                None => {
                    first = if bound_to_zones {
                        0
                    } else {
                        self.candidates.len()
                    };
                    let rented = self.rent(&task, &open, urgency, &mut purpose, need);
                    let Some(zone) = rented else { return };
                    zone
                }
            };
            *tasks_in_zone.entry(zone).or_default() += 1;
        }
    }

    /// From here on room that opportunistic work takes is not free.
    pub fn count_opportunistic(&mut self) {
        for candidate in &mut self.candidates {
            candidate.free = candidate.free.less(&candidate.opportunistic);
        }
    }

    /// The bin that a task fits into best, of those from `first` on.
    fn best_candidate(
        &mut self,
        first: usize,
        task: &PlannedTask,
        avoided: &BTreeSet<MachineId>,
        open: &dyn Fn(&Zone) -> bool,
    ) -> Option<&mut PackingCandidate> {
        let PlannedTask { spec, room, .. } = task;
        let fits = |candidate: &PackingCandidate| {
            task.room_in(candidate).holds(room)
                && candidate
                    .machine
                    .as_ref()
                    .is_none_or(|machine| !avoided.contains(machine))
                && allowed(
                    spec,
                    &candidate.offer.type_name,
                    &candidate.offer.zone,
                    candidate.offer.spot,
                )
                && open(&candidate.offer.zone)
        };
        let left = |candidate: &PackingCandidate| {
            (
                candidate.free.gpus - room.gpus,
                candidate.free.cpus - room.cpus,
            )
        };
        let dear = |candidate: &PackingCandidate| spec.spot && !candidate.offer.spot;
        self.candidates[first..]
            .iter_mut()
            .filter(|candidate| fits(candidate))
            .min_by(|a, b| {
                let (a_left, b_left) = (left(a), left(b));
                (dear(a).cmp(&dear(b)))
                    .then(b.used.cmp(&a.used))
                    .then(a.draining.cmp(&b.draining))
                    .then(a_left.0.total_cmp(&b_left.0))
                    .then(a_left.1.total_cmp(&b_left.1))
            })
    }

    /// Adds the cheapest machine that would do and is worth it; the zone it would be in.
    fn rent(
        &mut self,
        task: &PlannedTask,
        open: &dyn Fn(&Zone) -> bool,
        urgency: Option<Priority>,
        purpose: &mut Purpose,
        need: &mut CapacityDemand,
    ) -> Option<Zone> {
        if !purpose.may_rent(need, self.most_wanted) {
            return None;
        }
        let PlannedTask {
            spec,
            room,
            spares_gpus,
        } = task;
        let has_gpus = |offer: &MachineOffer| {
            self.types
                .iter()
                .any(|t| t.name == offer.type_name && t.gpus > 0.0)
        };
        let worth = |offer: &MachineOffer| match purpose {
            _ if *spares_gpus && has_gpus(offer) => false,
            Purpose::Ordinary | Purpose::Opportunistic { starved: true, .. } => true,
            Purpose::Opportunistic { .. } => is_cheap(self.types, offer, spec),
        };
        let all = offers(self.types, spec, room, open);
        let (any_of, dear): (Vec<MachineOffer>, Vec<MachineOffer>) =
            all.into_iter().partition(worth);
        let refused = self.refused.iter().cloned().chain(dear).collect();
        let zones = &self.machines_in_zone;
        let (offer, total) = cheapest(self.types, spec, room, open, zones, &refused)?;
        let opportunistic = purpose.rented();
        let (wanted, gpus) = (offer.clone(), room.gpus);
        need.add(MachineDemand {
            count: 1,
            offer: wanted,
            any_of,
            urgency,
            gpus,
            opportunistic,
        });
        let zone = offer.zone.clone();
        purpose.mark(self.add_rented(offer, total, room), urgency);
        Some(zone)
    }

    /// A machine that is to be rented.
    fn add_rented(
        &mut self,
        offer: MachineOffer,
        total: Resources,
        taken: &Resources,
    ) -> &mut PackingCandidate {
        *self.machines_in_zone.entry(offer.zone.clone()).or_default() += 1;
        self.candidates.push(PackingCandidate {
            free: total.less(taken),
            total,
            ..PackingCandidate::empty(None, offer)
        });
        let last = self.candidates.len() - 1;
        &mut self.candidates[last]
    }
}

/// A task that a plan finds room for.
struct PlannedTask<'a> {
    spec: &'a JobSpec,
    room: Resources,
    spares_gpus: bool,
}

impl PlannedTask<'_> {
    /// What it may take of a bin.
    fn room_in(&self, candidate: &PackingCandidate) -> Resources {
        if self.spares_gpus {
            candidate.free.beside_free_gpus(&candidate.total)
        } else {
            candidate.free
        }
    }
}

/// What tasks are planned as.
enum Purpose<'r> {
    /// Work that waits or is expected.
    Ordinary,
    /// Work that takes what is free, and for which machines are rented within bounds only.
    Opportunistic { starved: bool, rentals: &'r mut u32 },
}

impl Purpose<'_> {
    /// A task goes to this bin.
    fn mark(&self, candidate: &mut PackingCandidate, urgency: Option<Priority>) {
        match self {
            Self::Ordinary => {
                candidate.used = true;
                candidate.planned = true;
                candidate.waited_for |= urgency.is_some();
            }
            Self::Opportunistic { .. } => candidate.fills_up = true,
        }
    }

    /// Whether another machine may be wanted. A job of 100,000 tasks is no reason to want more than
    /// can be rented soon.
    fn may_rent(&self, need: &CapacityDemand, most_wanted: u32) -> bool {
        match self {
            Self::Ordinary => need.machines_wanted() < most_wanted,
            Self::Opportunistic { rentals, .. } => **rentals > 0,
        }
    }

    /// A machine is wanted; whether for opportunistic work.
    fn rented(&mut self) -> bool {
        match self {
            Self::Ordinary => false,
            Self::Opportunistic { rentals, .. } => {
                **rentals -= 1;
                true
            }
        }
    }
}

/// Every kind of machine that may run the task.
fn offers(
    types: &[MachineType],
    spec: &JobSpec,
    need: &Resources,
    open: &dyn Fn(&Zone) -> bool,
) -> Vec<MachineOffer> {
    let mut offers = Vec::new();
    for of_type in types
        .iter()
        .filter(|of_type| total_room(of_type).holds(need))
    {
        for zone in of_type.zones.iter().filter(|zone| open(zone)) {
            for spot in [false, true] {
                if allowed(spec, &of_type.name, zone, spot) {
                    offers.push(MachineOffer {
                        type_name: of_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                    });
                }
            }
        }
    }
    offers
}

/// The offer with the lowest price per task; among equals the zone with the fewest machines.
fn cheapest(
    types: &[MachineType],
    spec: &JobSpec,
    need: &Resources,
    open: &dyn Fn(&Zone) -> bool,
    in_zone: &BTreeMap<Zone, u32>,
    refused: &BTreeSet<MachineOffer>,
) -> Option<(MachineOffer, Resources)> {
    let mut best: Option<((f64, u32), MachineOffer, Resources)> = None;
    for of_type in types
        .iter()
        .filter(|of_type| total_room(of_type).holds(need))
    {
        let total = total_room(of_type);
        let tasks = tasks_per_machine(of_type, need);
        for zone in of_type.zones.iter().filter(|zone| open(zone)) {
            for spot in [true, false] {
                if !allowed(spec, &of_type.name, zone, spot) {
                    continue;
                }
                let offer = MachineOffer {
                    type_name: of_type.name.clone(),
                    zone: zone.clone(),
                    spot,
                };
                if refused.contains(&offer) {
                    continue;
                }
                let price = if spot {
                    of_type.spot_price
                } else {
                    of_type.price
                };
                let key = (price / tasks, in_zone.get(zone).copied().unwrap_or(0));
                if best.as_ref().is_none_or(|(least, _, _)| key < *least) {
                    best = Some((key, offer, total));
                }
            }
        }
    }
    best.map(|(_, offer, total)| (offer, total))
}

#[cfg(test)]
mod tests;
