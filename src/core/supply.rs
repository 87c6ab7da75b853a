//! What a share lacks and what it can spare. What is queued, and what is expected to arrive while
//! a machine boots, is packed onto the free room there is; what is left over is wanted, at the
//! lowest price per task. Machines that neither queue nor forecast would use can be spared, and
//! those that stay so for long are closed, so that the leader may return them.

use super::desk::least_need;
use super::io::{Io, Pending};
use super::jobs::zone_allows;
use super::owner::Owner;
use super::placement::Room;
use super::quota::{Usage, within};
use super::schedule::{allowed, limits};
use super::view::{LEADER_KEY, TYPES_KEY, View, guard, put};
use super::{CloudCall, CloudReply, Core, StateCall, Time};
use crate::config::Config;
use crate::ids::{Image, MachineId, Team, Term, TypeName, Zone};
use crate::wire::{JobSpec, Kind, MachineType, MachineTypes, Priority, Transaction};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// The machine types, known to every controller.
#[derive(Default)]
pub struct Catalog {
    types: Vec<MachineType>,
    next: Time,
    asking: bool,
    /// Not to be stored again before this.
    next_store: Time,
}

impl Catalog {
    pub fn known(&self) -> bool {
        !self.types.is_empty()
    }

    pub fn types(&self) -> &[MachineType] {
        &self.types
    }

    pub fn boot_s(&self, name: &TypeName) -> Time {
        self.types.iter().find(|t| t.name == *name).map_or(60.0, |t| t.boot_s.max(1.0))
    }

    pub fn price(&self, name: &TypeName, spot: bool) -> f64 {
        let of_type = self.types.iter().find(|t| t.name == *name);
        of_type.map_or(0.0, |t| if spot { t.spot_price } else { t.price })
    }

    /// Whether a submission can never run; None while that cannot be told.
    pub fn refusal(&self, config: &Config, spec: &JobSpec) -> Option<bool> {
        if !self.known() {
            return None;
        }
        let Some(limits) = limits(config, spec) else { return Some(true) };
        let (cpus, gpus) = least_need(spec);
        let need = Room::of(spec);
        let fits = |t: &MachineType| {
            spec.types.as_ref().is_none_or(|types| types.contains(&t.name)) && room(t).holds(&need)
        };
        let allowed = within(cpus, limits.cpus_max) && within(gpus, limits.gpus_max);
        Some(!allowed || !self.types.iter().any(fits))
    }
}

fn room(of: &MachineType) -> Room {
    Room { cpus: of.cpus, gpus: of.gpus, memory_gb: of.memory_gb }
}

/// A kind of machine that can be rented: type, zone, and whether spot.
pub type Offer = (TypeName, Zone, bool);

/// Machines that a share lacks, all for the same reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Want {
    pub count: u32,
    /// The cheapest for what waits.
    pub offer: Offer,
    /// Everything that would do, if somebody can spare it.
    pub any_of: Vec<Offer>,
    /// Of the task that asks first: what it takes, and how urgent it is; None for a forecast.
    pub urgency: Option<Priority>,
    pub gpus: f64,
}

/// What a share tells the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Need {
    /// Machines that would serve what finds no room.
    pub wants: Vec<Want>,
    /// GPUs (of tasks without: CPUs) that wait for room, a waiting gang counting whole.
    pub queued: f64,
    /// Idle machines that no plan uses.
    pub spare: Vec<MachineId>,
    /// Idle machines that are kept for what is expected only.
    pub kept: Vec<MachineId>,
    /// Of those, the ones closed because they were idle for long.
    pub closed: Vec<MachineId>,
    /// Machines with room beside work that matters, most first: GPUs free or taken by work of
    /// normal and low priority.
    pub roomy: Vec<(MachineId, f64)>,
    /// Teams of which nothing waits.
    pub quiet: Vec<Team>,
    /// Machines that have not been heard of for long.
    pub silent: Vec<MachineId>,
    /// Machines that are to get a fresh token in place of this one.
    pub raise: Vec<(MachineId, Term)>,
    /// Teams that are to get a fresh term.
    pub worn: Vec<Team>,
}

impl Need {
    /// Asks for a fresh token; whether that is news.
    pub fn raise(&mut self, id: &MachineId, token: Term) -> bool {
        let news = !self.raise.iter().any(|(other, of)| other == id && *of == token);
        if news {
            self.raise.push((id.clone(), token));
        }
        news
    }

    fn wanted(&self) -> u32 {
        self.wants.iter().map(|want| want.count).sum()
    }

    fn want(&mut self, want: Want) {
        match self.wants.last_mut() {
            Some(last) if (Want { count: last.count, ..want.clone() }) == *last => {
                last.count += want.count;
            }
            _ => self.wants.push(want),
        }
    }
}

/// What has arrived lately.
#[derive(Default)]
pub struct Forecast {
    arrivals: VecDeque<(Time, Rc<JobSpec>)>,
}

/// Arrivals are averaged over this many boot times.
const HISTORY_BOOTS: f64 = 3.0;
/// Arrivals kept at most.
const HISTORY: usize = 512;
/// Machines wanted at once at most. A share that is to grow several times over must be able to ask
/// for that at once: each further asking costs its users a boot.
const WANTS: u32 = 400;
/// Tasks of one job that a plan looks at.
const PLANNED: u32 = 1000;
/// Machines with room told to the leader at most.
const ROOMY: usize = 6;
/// Leases after which a silent machine is given up.
const SILENT_LEASES: f64 = 3.0;

impl Forecast {
    /// A job arrived, perhaps at another owner and a while ago.
    pub fn arrived(&mut self, spec: &Rc<JobSpec>, at: Time) {
        if self.arrivals.len() >= HISTORY {
            self.arrivals.pop_front();
        }
        let place = self.arrivals.partition_point(|(other, _)| *other <= at);
        self.arrivals.insert(place, (at, spec.clone()));
    }

    /// Images for which a start is in time only where they are already, each with the job that
    /// last asked for it and the number of its tasks that came within the history.
    pub fn tight_images(
        &self,
        config: &Config,
        types: &[MachineType],
        now: Time,
    ) -> BTreeMap<Image, (Rc<JobSpec>, u32)> {
        let boot = longest_boot(types);
        let mut images: BTreeMap<Image, (Rc<JobSpec>, u32)> = BTreeMap::new();
        for (at, spec) in self.arrivals.iter().rev() {
            if is_tight(config, types, spec) {
                let fresh = || (spec.clone(), 0);
                let entry = images.entry(spec.image.clone()).or_insert_with(fresh);
                entry.1 += if now - at <= boot * HISTORY_BOOTS { spec.tasks } else { 0 };
            }
        }
        images
    }

    /// As many of the latest jobs of each class as arrive within a boot.
    fn expected(&self, config: &Config, boot: Time, now: Time) -> Vec<Rc<JobSpec>> {
        let window = boot * HISTORY_BOOTS;
        let mut classes: BTreeMap<&str, Vec<&Rc<JobSpec>>> = BTreeMap::new();
        for (at, spec) in self.arrivals.iter().rev() {
            if now - at <= window && config.wait_objective(&spec.class).is_some() {
                classes.entry(&spec.class).or_default().push(spec);
            }
        }
        let mut expected = Vec::new();
        for recent in classes.values() {
            let count = (recent.len() as f64 / HISTORY_BOOTS).ceil() as usize;
            expected.extend(recent.iter().take(count).map(|spec| (*spec).clone()));
        }
        expected
    }
}

/// Tasks that a plan has to find room for.
struct Wanted {
    spec: Rc<JobSpec>,
    count: u32,
    /// Where the job's other tasks are: a plan that put these where the rules will not have them
    /// would never ask for what they need.
    zones: BTreeMap<Zone, u32>,
    /// How urgent it is, if it waits; None if it is only expected.
    urgency: Option<Priority>,
}

/// Somewhere a task could go in a plan.
pub struct Bin {
    pub machine: Option<MachineId>,
    pub offer: Offer,
    /// Beside what is on it and what is planned there.
    pub free: Room,
    pub used: bool,
    /// To be returned unless nothing else will do.
    emptying: bool,
    /// Something that waits or is expected goes here.
    pub planned: bool,
    /// Something that waits does.
    waited_for: bool,
}

impl Core {
    /// Every controller knows the machine types; the leader also rents and returns. It keeps them
    /// in the state service too, so that controllers which start while the cloud is down can
    /// accept and place.
    pub(super) fn catalog_when_due(&mut self) {
        let catalog = &mut self.catalog;
        if let (false, Some(stored)) = (catalog.known(), self.view.types()) {
            catalog.types.clone_from(&stored.record.types);
        }
        if self.leader.is_some() && catalog.known() && self.io.now >= catalog.next_store {
            catalog.next_store = self.io.now + self.config.deployment.cloud.list_lag_s.max(1.0);
            self.store_types();
        }
        let catalog = &mut self.catalog;
        if !catalog.asking
            && self.io.now >= catalog.next
            && (!catalog.known() || self.leader.is_some())
        {
            catalog.asking = true;
            self.io.cloud(None, CloudCall::Types);
        }
    }

    fn store_types(&mut self) {
        let Some(leader) = &self.leader else { return };
        let record = MachineTypes { types: self.catalog.types.clone() };
        let stored = self.view.types();
        if stored.is_some_and(|stored| stored.record == record) {
            return;
        }
        let write = put(TYPES_KEY, &record, None);
        let size = serde_json::to_string(&record).map_or(usize::MAX, |text| text.len());
        if size as f64 > self.config.deployment.state.value_kb * 1024.0 {
            return tracing::error!("the machine types, {size} bytes, are too large to be stored");
        }
        let version = stored.map_or(0, |stored| stored.version);
        let guards = vec![guard(LEADER_KEY, leader.term), guard(TYPES_KEY, version)];
        let transaction = Transaction { guards, writes: vec![write.clone()] };
        self.io.state(Pending::Types(write), StateCall::Commit(transaction));
    }

    pub(super) fn catalog_reply(&mut self, reply: CloudReply) {
        let now = self.io.now;
        let cloud = &self.config.deployment.cloud;
        self.catalog.asking = false;
        match reply {
            CloudReply::Types(types) if !types.types.is_empty() => {
                self.catalog.types = types.types;
                self.catalog.next = now + cloud.list_lag_s.max(1.0) * 6.0;
            }
            _ => self.catalog.next = now + self.io.jitter(1.5 / cloud.rps),
        }
    }
}

impl Owner {
    /// Tells what this share lacks and can spare, once a second.
    pub(super) fn plan_when_due(&mut self, io: &Io, view: &View, catalog: &Catalog) {
        let now = io.now;
        if now < self.next_plan || !catalog.known() {
            return;
        }
        self.next_plan = now + self.config.deployment.workers.lease_s / 10.0;
        let mut need = Need::default();
        let usage = self.usage(view, io.wall_ms);
        self.plan(catalog, usage, now, &mut need);
        let lease = self.config.deployment.workers.lease_s;
        let lag = self.config.deployment.cloud.list_lag_s;
        for machine in self.machines.values().filter(|machine| machine.mine) {
            if now > machine.seen.max(machine.answered) + lease * SILENT_LEASES + lag {
                need.silent.push(machine.id.clone());
            } else if machine.raise && !machine.address.is_empty() {
                need.raise.push((machine.id.clone(), machine.token));
            }
        }
        need.worn = self.worn_teams();
        self.hurry |= need.wants != self.need.wants;
        self.need = need;
    }

    fn plan(&mut self, catalog: &Catalog, usage: Usage, now: Time, need: &mut Need) {
        let types = catalog.types();
        let mut bins = self.bins(now);
        let mut in_zone: BTreeMap<Zone, u32> = BTreeMap::new();
        for bin in &bins {
            *in_zone.entry(bin.offer.1.clone()).or_default() += 1;
        }
        for wanted in self.demand(types, usage, now) {
            let Wanted { spec, count, zones: mut per_zone, urgency } = wanted;
            let waits = urgency.is_some();
            let one = Room::of(&spec);
            if waits {
                let size = if one.gpus > 0.0 { one.gpus } else { one.cpus };
                need.queued += size * f64::from(count);
            }
            for _ in 0..count {
                // A job of 100,000 tasks is no reason to want thousands of machines.
                if need.wanted() >= WANTS {
                    break;
                }
                let open = |zone: &Zone| zone_allows(&spec, zone, &per_zone);
                let fits = |bin: &Bin| {
                    bin.free.holds(&one)
                        && allowed(&spec, &bin.offer.0, &bin.offer.1, bin.offer.2)
                        && open(&bin.offer.1)
                };
                let left = |bin: &Bin| (bin.free.gpus - one.gpus, bin.free.cpus - one.cpus);
                let best = bins.iter_mut().filter(|bin| fits(bin)).min_by(|a, b| {
                    let (a_left, b_left) = (left(a), left(b));
                    let dear = |bin: &Bin| spec.spot && !bin.offer.2;
                    (dear(a).cmp(&dear(b)))
                        .then(b.used.cmp(&a.used))
                        .then(a.emptying.cmp(&b.emptying))
                        .then(a_left.0.total_cmp(&b_left.0))
                        .then(a_left.1.total_cmp(&b_left.1))
                });
                let zone = if let Some(bin) = best {
                    bin.free = bin.free.less(&one);
                    bin.used = true;
                    bin.planned = true;
                    bin.waited_for |= waits;
                    bin.offer.1.clone()
                } else {
                    let found = cheapest(types, &spec, &one, &open, &in_zone, &self.refused);
                    let Some((offer, total)) = found else { break };
                    let any_of = offers(types, &spec, &one, &open);
                    let gpus = one.gpus;
                    need.want(Want { count: 1, offer: offer.clone(), any_of, urgency, gpus });
                    let zone = offer.1.clone();
                    *in_zone.entry(zone.clone()).or_default() += 1;
                    let free = total.less(&one);
                    bins.push(Bin {
                        machine: None,
                        offer,
                        free,
                        used: true,
                        emptying: false,
                        planned: true,
                        waited_for: waits,
                    });
                    zone
                };
                *per_zone.entry(zone).or_default() += 1;
            }
        }
        if need.wants.is_empty() && need.queued == 0.0 {
            self.gather(&bins, catalog, now);
        }
        self.spare(&bins, catalog, now, need);
    }

    fn bins(&self, now: Time) -> Vec<Bin> {
        let lease = self.config.deployment.workers.lease_s;
        let usable = self.machines.values().filter(|machine| {
            let leaving = machine.leaves.is_some() || now < machine.aside_until;
            machine.mine
                && !leaving
                && !machine.quiet
                && now <= machine.answered + lease
                && !machine.address.is_empty()
        });
        usable
            .map(|machine| Bin {
                machine: Some(machine.id.clone()),
                offer: (machine.type_name.clone(), machine.zone.clone(), machine.spot),
                free: machine.free_after_stops(),
                used: !machine.idle() && !machine.emptying,
                emptying: machine.emptying,
                planned: false,
                waited_for: false,
            })
            .collect()
    }

    /// What waits, and what is likely to arrive before a machine rented now could serve it.
    fn demand(&self, types: &[MachineType], mut usage: Usage, now: Time) -> Vec<Wanted> {
        let mut demand = Vec::new();
        for id in self.queue(&usage, now) {
            let Some(job) = self.jobs.get(&id) else { continue };
            let Some(limits) = limits(&self.config, &job.spec) else { continue };
            let mut count = 0;
            while count < (job.waiting().len() as u32).min(PLANNED)
                && usage.allows(limits, job.spec.cpus, job.spec.gpus)
            {
                usage.add(&limits.name, job.spec.cpus, job.spec.gpus);
                count += 1;
            }
            let (spec, zones) = (job.spec.clone(), job.zones.clone());
            demand.push(Wanted { spec, count, zones, urgency: Some(job.priority) });
        }
        let boot = longest_boot(types);
        for spec in self.forecast.expected(&self.config, boot, now) {
            let (count, zones) = (spec.tasks, BTreeMap::new());
            demand.push(Wanted { spec, count, zones, urgency: None });
        }
        demand
    }

    /// Idle machines that the plan does not use; after long they are closed to placement, and
    /// opened again if they are needed before the leader has taken them.
    fn spare(&mut self, bins: &[Bin], catalog: &Catalog, now: Time, need: &mut Need) {
        for bin in bins {
            let Some(machine) = bin.machine.as_ref().and_then(|id| self.machines.get_mut(id))
            else {
                continue;
            };
            // Another one would have to boot and to fetch what this one holds.
            let patience = catalog.boot_s(&machine.type_name) + machine.longest_fetch();
            let spare = machine.trusted && machine.idle() && !bin.used;
            machine.emptying &= !bin.planned && !machine.idle();
            let closed = spare && now - machine.idle_since > patience;
            self.changed |= machine.releasing && !closed;
            machine.releasing = closed;
            if spare {
                need.spare.push(machine.id.clone());
            } else if machine.usable(now) && machine.idle() && !bin.waited_for {
                need.kept.push(machine.id.clone());
            }
            if closed {
                need.closed.push(machine.id.clone());
            }
        }
        let rest = self.machines.values().filter(|machine| machine.usable(now));
        let rest = rest.filter(|machine| !need.spare.contains(&machine.id));
        let rest = rest.map(|machine| (machine.id.clone(), machine.room_beside_urgent()));
        need.roomy = rest.filter(|(_, gpus)| *gpus > 0.0).collect();
        need.roomy.sort_by(|a, b| b.1.total_cmp(&a.1));
        need.roomy.truncate(ROOMY);
        let waits = |team: &Team| {
            self.jobs.values().any(|job| job.spec.team == *team && !job.waiting().is_empty())
        };
        let quiet = self.teams.iter().filter(|(name, t)| t.unsettled.is_empty() && !waits(name));
        need.quiet = quiet.map(|(name, _)| name.clone()).collect();
    }
}

fn longest_boot(types: &[MachineType]) -> Time {
    types.iter().map(|t| t.boot_s).fold(1.0, f64::max)
}

/// Whether a replica's start is in time only where its image is already.
pub fn is_tight(config: &Config, types: &[MachineType], spec: &JobSpec) -> bool {
    let rate = types.iter().map(|t| t.fetch_gb_per_s).fold(0.0, f64::max);
    let within = config.wait_objective(&spec.class);
    spec.kind == Kind::Service && within.is_some_and(|s| s * rate < spec.image_gb)
}

/// Every kind of machine that may run the task.
fn offers(
    types: &[MachineType],
    spec: &JobSpec,
    need: &Room,
    open: &dyn Fn(&Zone) -> bool,
) -> Vec<Offer> {
    let mut offers = Vec::new();
    for of_type in types.iter().filter(|of_type| room(of_type).holds(need)) {
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
    need: &Room,
    open: &dyn Fn(&Zone) -> bool,
    in_zone: &BTreeMap<Zone, u32>,
    refused: &BTreeSet<Offer>,
) -> Option<(Offer, Room)> {
    let mut best: Option<((f64, u32), Offer, Room)> = None;
    for of_type in types.iter().filter(|of_type| room(of_type).holds(need)) {
        let total = room(of_type);
        let per = |have: f64, need: f64| if need > 0.0 { (have / need).floor() } else { f64::MAX };
        let tasks = per(total.cpus, need.cpus)
            .min(per(total.gpus, need.gpus))
            .min(per(total.memory_gb, need.memory_gb));
        for zone in of_type.zones.iter().filter(|zone| open(zone)) {
            for spot in [true, false] {
                if !allowed(spec, &of_type.name, zone, spot) {
                    continue;
                }
                let offer = (of_type.name.clone(), zone.clone(), spot);
                if refused.contains(&offer) {
                    continue;
                }
                let price = if spot { of_type.spot_price } else { of_type.price };
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
