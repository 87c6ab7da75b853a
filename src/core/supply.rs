//! Renting, draining and returning machines. What is queued, and what is expected to arrive while
//! a machine boots, is packed onto the free room there is and onto machines that are coming; what
//! is left over is rented for, at the lowest price per task. Machines that stay idle and that
//! neither queue nor forecast would use are returned.

use super::desk::least_need;
use super::io::Io;
use super::jobs::zone_allows;
use super::lead::Lead;
use super::placement::Room;
use super::quota::within;
use super::schedule::{allowed, limits};
use super::{CloudCall, CloudReply, Core, Time};
use crate::config::Config;
use crate::ids::{MachineId, Term, TypeName, Zone};
use crate::wire::{JobSpec, ListedMachine, MachineNames, MachineState, MachineType, Rental};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

#[derive(Debug)]
pub enum SupplyCall {
    Types,
    List { term: Term, seen: Vec<ListedMachine>, sent: Time },
    Rent { term: Term, rental: Rental },
    Release { term: Term, machines: Vec<MachineId> },
}

/// Names in one release request at most.
const RELEASE_LIMIT: usize = 100;
/// Machines in one rental request at most.
const RENT_LIMIT: u32 = 50;
const PAGE: usize = 500;

/// The machine types, known to every controller.
#[derive(Default)]
pub struct Catalog {
    types: Vec<MachineType>,
    next: Time,
    asking: bool,
}

impl Catalog {
    pub fn known(&self) -> bool {
        !self.types.is_empty()
    }

    pub fn types(&self) -> &[MachineType] {
        &self.types
    }

    /// Whether a submission can never run; None while that cannot be told.
    pub fn refusal(&self, config: &Config, spec: &JobSpec) -> Option<bool> {
        if !self.known() {
            return None;
        }
        let Some(limits) = limits(config, spec) else { return Some(true) };
        let (cpus, gpus) = least_need(spec);
        let need = Room { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb };
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

/// A kind of machine that can be rented.
type Offer = (TypeName, Zone, bool);

struct Coming {
    offer: Offer,
    rented: Time,
}

/// What the leader rents and returns.
pub struct Supply {
    /// Until then what an earlier leader rented may not be listed yet.
    rent_after: Time,
    next_list: Time,
    listing: bool,
    coming: BTreeMap<MachineId, Coming>,
    /// Rentals without an outcome; repeated under the same name until they have one.
    open: Vec<Rental>,
    /// Rental requests that are out.
    renting: usize,
    refused: BTreeMap<Offer, Time>,
    releases: BTreeSet<MachineId>,
    releasing: bool,
    counter: u64,
    arrivals: VecDeque<(Time, Rc<JobSpec>)>,
    next_plan: Time,
    budget: f64,
    budget_at: Time,
    pause_until: Time,
    /// When a machine was last listed.
    listed: BTreeMap<MachineId, Time>,
}

/// Arrivals are averaged over this many boot times.
const HISTORY_BOOTS: f64 = 3.0;
/// Arrivals kept at most for the forecast.
const HISTORY: usize = 512;
/// Machines idle for this many boot times are returned.
const IDLE_BOOTS: f64 = 2.0;
/// Machines that take this many times their boot time are given up.
const LATE_BOOTS: f64 = 3.5;

impl Supply {
    pub fn new(config: &Config, now: Time, fresh: bool) -> Self {
        let lag = config.deployment.cloud.list_lag_s;
        Self {
            rent_after: if fresh { now + lag * 0.3 } else { now + lag * 1.2 },
            next_list: now,
            listing: false,
            coming: BTreeMap::new(),
            open: Vec::new(),
            renting: 0,
            refused: BTreeMap::new(),
            releases: BTreeSet::new(),
            releasing: false,
            counter: 0,
            arrivals: VecDeque::new(),
            next_plan: now,
            budget: 1.0,
            budget_at: now,
            pause_until: now,
            listed: BTreeMap::new(),
        }
    }

    pub fn arrived(&mut self, spec: &Rc<JobSpec>, now: Time) {
        if self.arrivals.len() >= HISTORY {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back((now, spec.clone()));
    }

    fn may_call(&mut self, now: Time, rps: f64) -> bool {
        // Some of the rate is left to other controllers and to what a late request may use.
        let rate = rps * 0.8;
        self.budget = (self.budget + (now - self.budget_at) * rate).min(rate.max(1.0));
        self.budget_at = now;
        if now < self.pause_until || self.budget < 1.0 {
            return false;
        }
        self.budget -= 1.0;
        true
    }
}

/// Tasks that a plan has to find room for.
struct Wanted {
    spec: Rc<JobSpec>,
    count: u32,
    /// Where the job's other tasks are: a plan that put these where the rules will not have them
    /// would never rent what they need.
    zones: BTreeMap<Zone, u32>,
}

/// Somewhere a task could go in a plan.
struct Bin {
    machine: Option<MachineId>,
    offer: Offer,
    free: Room,
    used: bool,
}

impl Core {
    pub(super) fn cloud_when_due(&mut self) {
        let now = self.io.now;
        let lag = self.config.deployment.cloud.list_lag_s.max(1.0);
        let catalog = &mut self.supply;
        if !catalog.asking && now >= catalog.next && (!catalog.known() || self.lead.is_some()) {
            catalog.asking = true;
            self.io.cloud(SupplyCall::Types, CloudCall::Types);
        }
        if !self.authority.entitled(now) || !self.supply.known() {
            return;
        }
        if let Some(lead) = self.lead.as_mut() {
            lead.supply_when_due(&mut self.io, &self.supply, lag);
        }
    }

    pub(super) fn cloud_reply(&mut self, call: SupplyCall, reply: CloudReply) {
        let now = self.io.now;
        if let SupplyCall::Types = call {
            self.supply.asking = false;
            match reply {
                CloudReply::Types(types) if !types.types.is_empty() => {
                    self.supply.types = types.types;
                    self.supply.next = now + self.config.deployment.cloud.list_lag_s.max(1.0) * 6.0;
                }
                _ => {
                    self.supply.next = now + self.io.jitter(1.5 / self.config.deployment.cloud.rps)
                }
            }
            return;
        }
        if let Some(lead) = self.lead.as_mut() {
            lead.cloud_reply(&mut self.io, call, reply);
        }
    }
}

impl Lead {
    fn supply_when_due(&mut self, io: &mut Io, catalog: &Catalog, lag: Time) {
        let now = io.now;
        let rps = self.config.deployment.cloud.rps;
        if now >= self.supply.next_plan {
            self.supply.next_plan = now + 1.0;
            self.plan(catalog, now);
        }
        if self.supply.renting == 0
            && !self.supply.open.is_empty()
            && self.supply.may_call(now, rps)
        {
            let rental = self.supply.open.remove(0);
            self.supply.renting += 1;
            let call = SupplyCall::Rent { term: self.term, rental: rental.clone() };
            io.cloud(call, CloudCall::Rent(rental));
        }
        if !self.supply.releasing
            && !self.supply.releases.is_empty()
            && self.supply.may_call(now, rps)
        {
            let machines: Vec<MachineId> =
                self.supply.releases.iter().take(RELEASE_LIMIT).cloned().collect();
            self.supply.releasing = true;
            let call = SupplyCall::Release { term: self.term, machines: machines.clone() };
            io.cloud(call, CloudCall::Release(MachineNames { machines }));
        }
        if !self.supply.listing && now >= self.supply.next_list && self.supply.may_call(now, rps) {
            self.supply.listing = true;
            self.supply.next_list = now + io.jitter(lag * 0.5);
            let call = SupplyCall::List { term: self.term, seen: Vec::new(), sent: now };
            io.cloud(call, CloudCall::List { after: None });
        }
    }

    fn cloud_reply(&mut self, io: &mut Io, call: SupplyCall, reply: CloudReply) {
        let now = io.now;
        if matches!(reply, CloudReply::Refused | CloudReply::Unknown) {
            self.supply.pause_until = now + io.jitter(1.0 / self.config.deployment.cloud.rps);
        }
        match call {
            SupplyCall::Types => {}
            SupplyCall::List { term, .. }
            | SupplyCall::Rent { term, .. }
            | SupplyCall::Release { term, .. }
                if term != self.term => {}
            SupplyCall::List { mut seen, sent, .. } => {
                self.supply.listing = false;
                if let CloudReply::List(page) = reply {
                    let full = page.more && !page.machines.is_empty();
                    seen.extend(page.machines);
                    if full && seen.len() < PAGE * 20 {
                        self.supply.listing = true;
                        let after = seen.last().map(|m| m.machine.to_string());
                        let call = SupplyCall::List { term: self.term, seen, sent };
                        io.cloud(call, CloudCall::List { after });
                    } else {
                        self.take_list(seen, now);
                    }
                }
            }
            SupplyCall::Rent { rental, .. } => {
                self.supply.renting = self.supply.renting.saturating_sub(1);
                let offer = (rental.type_name.clone(), rental.zone.clone(), rental.spot);
                match reply {
                    CloudReply::Rented(names) => {
                        tracing::info!(
                            "rented {} of {} {} in {}{}",
                            names.machines.len(),
                            rental.count,
                            rental.type_name,
                            rental.zone,
                            if rental.spot { ", spot" } else { "" }
                        );
                        if (names.machines.len() as u32) < rental.count {
                            self.refuse(offer.clone(), now);
                        }
                        for id in names.machines {
                            let coming = Coming { offer: offer.clone(), rented: now };
                            self.supply.coming.insert(id, coming);
                        }
                    }
                    CloudReply::NoCapacity => self.refuse(offer, now),
                    // Not executed: what is needed is planned anew.
                    CloudReply::Refused => {}
                    // Executed or not: the same name again has the same outcome.
                    _ => self.supply.open.push(rental),
                }
            }
            SupplyCall::Release { machines, .. } => {
                self.supply.releasing = false;
                if reply == CloudReply::Released {
                    tracing::info!("returned {} machines", machines.len());
                    for id in machines {
                        self.supply.releases.remove(&id);
                        self.supply.coming.remove(&id);
                        self.supply.listed.remove(&id);
                        self.remove_machine(&id, now);
                    }
                }
            }
        }
    }

    fn refuse(&mut self, offer: Offer, now: Time) {
        // Capacity comes back as others return machines: asked again after a while.
        let pause = self.config.deployment.cloud.list_lag_s.max(1.0);
        self.supply.refused.insert(offer, now + pause);
    }

    fn boot_s(catalog: &[MachineType], name: &TypeName) -> Time {
        catalog.iter().find(|t| t.name == *name).map_or(60.0, |t| t.boot_s.max(1.0))
    }

    fn take_list(&mut self, list: Vec<ListedMachine>, now: Time) {
        for listed in list {
            let id = listed.machine;
            self.supply.listed.insert(id.clone(), now);
            let reported = self.machines.get(&id).is_some_and(|m| !m.address.is_empty());
            match listed.state {
                MachineState::Failed => {
                    self.supply.releases.insert(id);
                }
                MachineState::Booting if !reported => {
                    let offer = (listed.type_name, listed.zone, listed.spot);
                    self.supply
                        .coming
                        .entry(id)
                        .or_insert(Coming { offer, rented: now - listed.age_s });
                }
                _ => {}
            }
        }
    }

    /// Decides what to rent and what to return.
    fn plan(&mut self, catalog: &Catalog, now: Time) {
        let types = catalog.types();
        let lease = self.config.deployment.workers.lease_s;
        let lag = self.config.deployment.cloud.list_lag_s;
        self.supply
            .coming
            .retain(|id, _| self.machines.get(id).is_none_or(|m| m.address.is_empty()));
        // Machines that do not come up.
        let late: Vec<MachineId> = self
            .supply
            .coming
            .iter()
            .filter(|(_, c)| now - c.rented > Self::boot_s(types, &c.offer.0) * LATE_BOOTS)
            .map(|(id, _)| id.clone())
            .collect();
        for id in late {
            if self.supply.releases.insert(id.clone()) {
                tracing::info!("{id} does not come up and is returned");
            }
        }
        // Machines silent for long: listed ones are returned, others are gone.
        let silent: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| now > m.seen.max(m.answered) + lease * 3.0 + lag)
            .map(|m| m.id.clone())
            .collect();
        self.supply.releases.extend(silent);
        if now < self.supply.rent_after || !self.settled() && now < self.supply.rent_after + lease {
            return;
        }
        let mut bins = self.bins(types, now);
        let demand = self.demand(types, now);
        let mut rent: BTreeMap<Offer, u32> = BTreeMap::new();
        let mut in_zone: BTreeMap<Zone, u32> = BTreeMap::new();
        for bin in &bins {
            *in_zone.entry(bin.offer.1.clone()).or_default() += 1;
        }
        for Wanted { spec, count, zones } in demand {
            let need = Room { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb };
            let mut per_zone = zones;
            for _ in 0..count {
                let open = |zone: &Zone| zone_allows(&spec, zone, &per_zone);
                let fits = |bin: &Bin| {
                    bin.free.holds(&need)
                        && allowed(&spec, &bin.offer.0, &bin.offer.1, bin.offer.2)
                        && open(&bin.offer.1)
                };
                let left = |bin: &Bin| (bin.free.gpus - need.gpus, bin.free.cpus - need.cpus);
                let best = bins.iter_mut().filter(|bin| fits(bin)).min_by(|a, b| {
                    let (a_left, b_left) = (left(a), left(b));
                    (b.used.cmp(&a.used))
                        .then(a_left.0.total_cmp(&b_left.0))
                        .then(a_left.1.total_cmp(&b_left.1))
                });
                let zone = if let Some(bin) = best {
                    bin.free = bin.free.less(&need);
                    bin.used = true;
                    bin.offer.1.clone()
                } else {
                    let Some((offer, total)) =
                        self.cheapest(types, &spec, &need, &open, &in_zone, now)
                    else {
                        break;
                    };
                    *rent.entry(offer.clone()).or_default() += 1;
                    let zone = offer.1.clone();
                    *in_zone.entry(zone.clone()).or_default() += 1;
                    bins.push(Bin { machine: None, offer, free: total.less(&need), used: true });
                    zone
                };
                *per_zone.entry(zone).or_default() += 1;
            }
        }
        if self.supply.open.is_empty() && self.supply.renting == 0 {
            for (offer, count) in rent {
                self.supply.counter += 1;
                let request = format!("r-{}-{}", self.term.0, self.supply.counter);
                let (type_name, zone, spot) = offer;
                let count = count.min(RENT_LIMIT);
                self.supply.open.push(Rental { request, type_name, zone, spot, count });
            }
        }
        self.return_idle(&bins, types, now);
    }

    /// Free room now, and on machines that are coming.
    fn bins(&self, types: &[MachineType], now: Time) -> Vec<Bin> {
        let mut bins: Vec<Bin> = Vec::new();
        for machine in self.machines.values() {
            let leaving =
                machine.leaves.is_some() || machine.releasing || now < machine.aside_until;
            let dead = now > machine.answered + self.config.deployment.workers.lease_s;
            if leaving || dead || machine.address.is_empty() {
                continue;
            }
            let offer = (machine.type_name.clone(), machine.zone.clone(), machine.spot);
            let used = !machine.idle();
            let free = machine.free_after_stops();
            bins.push(Bin { machine: Some(machine.id.clone()), offer, free, used });
        }
        for (id, coming) in &self.supply.coming {
            let of_type = types.iter().find(|t| t.name == coming.offer.0);
            if let Some(of_type) = of_type.filter(|_| !self.supply.releases.contains(id)) {
                let offer = coming.offer.clone();
                bins.push(Bin { machine: None, offer, free: room(of_type), used: true });
            }
        }
        bins
    }

    /// What waits, and what is likely to arrive before a machine rented now could serve it.
    fn demand(&self, types: &[MachineType], now: Time) -> Vec<Wanted> {
        let mut demand = Vec::new();
        let mut usage = self.usage();
        for id in self.queue(now) {
            let Some(job) = self.jobs.get(&id) else { continue };
            let Some(limits) = limits(&self.config, &job.spec) else { continue };
            let mut count = 0;
            while count < job.waiting().len() as u32
                && usage.allows(limits, job.spec.cpus, job.spec.gpus)
            {
                usage.add(&limits.name, job.spec.cpus, job.spec.gpus);
                count += 1;
            }
            demand.push(Wanted { spec: job.spec.clone(), count, zones: job.zones.clone() });
        }
        let boot = types.iter().map(|t| t.boot_s).fold(1.0, f64::max);
        let window = boot * HISTORY_BOOTS;
        let mut classes: BTreeMap<&str, Vec<&Rc<JobSpec>>> = BTreeMap::new();
        for (at, spec) in self.supply.arrivals.iter().rev() {
            if now - at <= window && self.config.wait_objective(&spec.class).is_some() {
                classes.entry(&spec.class).or_default().push(spec);
            }
        }
        for recent in classes.values() {
            // Newest first: as many of them as arrive within a boot.
            let expected = (recent.len() as f64 / HISTORY_BOOTS).ceil() as usize;
            for spec in recent.iter().take(expected) {
                let (count, zones) = (spec.tasks, BTreeMap::new());
                demand.push(Wanted { spec: (*spec).clone(), count, zones });
            }
        }
        demand
    }

    /// The offer with the lowest price per task.
    fn cheapest(
        &self,
        types: &[MachineType],
        spec: &JobSpec,
        need: &Room,
        open: &dyn Fn(&Zone) -> bool,
        in_zone: &BTreeMap<Zone, u32>,
        now: Time,
    ) -> Option<(Offer, Room)> {
        let mut best: Option<((f64, u32), Offer, Room)> = None;
        for of_type in types {
            let total = room(of_type);
            if !total.holds(need) {
                continue;
            }
            let per = |have: f64, need: f64| if need > 0.0 { (have / need).floor() } else { 1e9 };
            let tasks = per(total.cpus, need.cpus)
                .min(per(total.gpus, need.gpus))
                .min(per(total.memory_gb, need.memory_gb));
            for zone in &of_type.zones {
                for spot in [true, false] {
                    let offer = (of_type.name.clone(), zone.clone(), spot);
                    let refused = self.supply.refused.get(&offer).is_some_and(|until| now < *until);
                    if refused || !open(zone) || !allowed(spec, &of_type.name, zone, spot) {
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

    /// Returns machines that have been idle for long and that the plan does not use. Nothing can
    /// start on them meanwhile: they are closed to placement first.
    fn return_idle(&mut self, bins: &[Bin], types: &[MachineType], now: Time) {
        let unused: BTreeSet<&MachineId> =
            bins.iter().filter(|bin| !bin.used).filter_map(|bin| bin.machine.as_ref()).collect();
        let mut releases = Vec::new();
        for machine in self.machines.values_mut() {
            let patience = Self::boot_s(types, &machine.type_name) * IDLE_BOOTS;
            if machine.trusted
                && machine.idle()
                && unused.contains(&machine.id)
                && now - machine.idle_since > patience
            {
                machine.releasing = true;
                releases.push(machine.id.clone());
            }
        }
        self.supply.releases.extend(releases);
    }
}
