//! A plan of which tasks fit on the machines there are, and which machines the rest would need.
//! It is a first-fit estimate for renting and returning machines; what really starts where is
//! decided in [`super::schedule`].

use super::catalog::{fits_without_gpus, tasks_per_machine, total_room};
use super::jobs::zone_allows;
use super::opportunistic::is_cheap;
use super::placement::Resources;
use super::schedule::allowed;
use super::supply::{Need, Offer, Want};
use crate::ids::{MachineId, Zone};
use crate::wire::{JobSpec, MachineType, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Tasks of one job that a plan finds room for on machines that are there. Each of them is compared
/// with every machine; what is left over is seen by the next plan.
const PLACED_ON_MACHINES: u32 = 1000;
/// Tasks that a plan has to find room for.
pub struct Wanted {
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

impl Wanted {
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
pub struct Bin {
    pub machine: Option<MachineId>,
    pub offer: Offer,
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
    pub emptying: bool,
    /// Something that waits or is expected goes here.
    pub planned: bool,
    /// Something that waits does.
    pub waited_for: bool,
    /// Opportunistic work goes here.
    pub fills_up: bool,
}

impl Bin {
    /// Nothing is on it, and it has no room yet.
    pub fn empty(machine: Option<MachineId>, offer: Offer) -> Self {
        Self {
            machine,
            offer,
            free: Resources::default(),
            total: Resources::default(),
            opportunistic: Resources::default(),
            used: false,
            emptying: false,
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
    refused: &'a BTreeSet<Offer>,
    bins: Vec<Bin>,
    machines_in_zone: BTreeMap<Zone, u32>,
}

impl<'a> Plan<'a> {
    pub fn new(
        types: &'a [MachineType],
        refused: &'a BTreeSet<Offer>,
        bins: Vec<Bin>,
        most_wanted: u32,
    ) -> Self {
        let mut machines_in_zone: BTreeMap<Zone, u32> = BTreeMap::new();
        for bin in &bins {
            *machines_in_zone.entry(bin.offer.1.clone()).or_default() += 1;
        }
        Self {
            most_wanted,
            types,
            refused,
            bins,
            machines_in_zone,
        }
    }

    pub fn bins(&self) -> &[Bin] {
        &self.bins
    }

    pub fn into_bins(self) -> Vec<Bin> {
        self.bins
    }

    /// Resources on a machine that will be free by the time of what is served next.
    pub fn release(&mut self, machine: &MachineId, room: &Resources) {
        let of_machine = |bin: &&mut Bin| bin.machine.as_ref() == Some(machine);
        if let Some(bin) = self.bins.iter_mut().find(of_machine) {
            bin.free = bin.free.plus(room);
        }
    }

    /// Finds room for tasks, and adds what they lack to `need`.
    pub fn serve(&mut self, wanted: Wanted, need: &mut Need) {
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
        wanted: Wanted,
        starved: bool,
        rentals: &mut u32,
        need: &mut Need,
    ) {
        self.place(wanted, Purpose::Opportunistic { starved, rentals }, need);
    }

    fn place(&mut self, wanted: Wanted, mut purpose: Purpose, need: &mut Need) {
        let Wanted {
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
            let zone = match self.best_bin(first, &task, &avoided, &open) {
                Some(bin) => {
                    bin.free = bin.free.less(&room);
                    placed_on_machines += u32::from(bin.machine.is_some());
                    purpose.mark(bin, urgency);
                    bin.offer.1.clone()
                }
                None => {
                    first = if bound_to_zones { 0 } else { self.bins.len() };
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
        for bin in &mut self.bins {
            bin.free = bin.free.less(&bin.opportunistic);
        }
    }

    /// The bin that a task fits into best, of those from `first` on.
    fn best_bin(
        &mut self,
        first: usize,
        task: &PlannedTask,
        avoided: &BTreeSet<MachineId>,
        open: &dyn Fn(&Zone) -> bool,
    ) -> Option<&mut Bin> {
        let PlannedTask { spec, room, .. } = task;
        let fits = |bin: &Bin| {
            task.room_in(bin).holds(room)
                && bin
                    .machine
                    .as_ref()
                    .is_none_or(|machine| !avoided.contains(machine))
                && allowed(spec, &bin.offer.0, &bin.offer.1, bin.offer.2)
                && open(&bin.offer.1)
        };
        let left = |bin: &Bin| (bin.free.gpus - room.gpus, bin.free.cpus - room.cpus);
        let dear = |bin: &Bin| spec.spot && !bin.offer.2;
        self.bins[first..]
            .iter_mut()
            .filter(|bin| fits(bin))
            .min_by(|a, b| {
                let (a_left, b_left) = (left(a), left(b));
                (dear(a).cmp(&dear(b)))
                    .then(b.used.cmp(&a.used))
                    .then(a.emptying.cmp(&b.emptying))
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
        need: &mut Need,
    ) -> Option<Zone> {
        if !purpose.may_rent(need, self.most_wanted) {
            return None;
        }
        let PlannedTask {
            spec,
            room,
            spares_gpus,
        } = task;
        let has_gpus = |offer: &Offer| self.types.iter().any(|t| t.name == offer.0 && t.gpus > 0.0);
        let worth = |offer: &Offer| match purpose {
            _ if *spares_gpus && has_gpus(offer) => false,
            Purpose::Ordinary | Purpose::Opportunistic { starved: true, .. } => true,
            Purpose::Opportunistic { .. } => is_cheap(self.types, offer, spec),
        };
        let all = offers(self.types, spec, room, open);
        let (any_of, dear): (Vec<Offer>, Vec<Offer>) = all.into_iter().partition(worth);
        let refused = self.refused.iter().cloned().chain(dear).collect();
        let zones = &self.machines_in_zone;
        let (offer, total) = cheapest(self.types, spec, room, open, zones, &refused)?;
        let opportunistic = purpose.rented();
        let (wanted, gpus) = (offer.clone(), room.gpus);
        need.want(Want {
            count: 1,
            offer: wanted,
            any_of,
            urgency,
            gpus,
            opportunistic,
        });
        let zone = offer.1.clone();
        purpose.mark(self.add_rented(offer, total, room), urgency);
        Some(zone)
    }

    /// A machine that is to be rented.
    fn add_rented(&mut self, offer: Offer, total: Resources, taken: &Resources) -> &mut Bin {
        *self.machines_in_zone.entry(offer.1.clone()).or_default() += 1;
        self.bins.push(Bin {
            free: total.less(taken),
            total,
            ..Bin::empty(None, offer)
        });
        let last = self.bins.len() - 1;
        &mut self.bins[last]
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
    fn room_in(&self, bin: &Bin) -> Resources {
        if self.spares_gpus {
            bin.free.beside_free_gpus(&bin.total)
        } else {
            bin.free
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
    fn mark(&self, bin: &mut Bin, urgency: Option<Priority>) {
        match self {
            Self::Ordinary => {
                bin.used = true;
                bin.planned = true;
                bin.waited_for |= urgency.is_some();
            }
            Self::Opportunistic { .. } => bin.fills_up = true,
        }
    }

    /// Whether another machine may be wanted. A job of 100,000 tasks is no reason to want more than
    /// can be rented soon.
    fn may_rent(&self, need: &Need, most_wanted: u32) -> bool {
        match self {
            Self::Ordinary => need.wanted() < most_wanted,
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
) -> Vec<Offer> {
    let mut offers = Vec::new();
    for of_type in types
        .iter()
        .filter(|of_type| total_room(of_type).holds(need))
    {
        for zone in of_type.zones.iter().filter(|zone| open(zone)) {
            for spot in [false, true] {
                if allowed(spec, &of_type.name, zone, spot) {
                    offers.push((of_type.name.clone(), zone.clone(), spot));
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
    refused: &BTreeSet<Offer>,
) -> Option<(Offer, Resources)> {
    let mut best: Option<((f64, u32), Offer, Resources)> = None;
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
                let offer = (of_type.name.clone(), zone.clone(), spot);
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
