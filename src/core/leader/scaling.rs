//! Renting machines that nobody can spare, and returning those that nobody uses. Requests to the cloud go out
//! one at a time and within its rate; one whose outcome is unknown is repeated under its name.

use crate::config::Config;
use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::{CloudOperation, RentalRequest};
use crate::core::effects::{CloudCall, CloudReply};
use crate::core::leader::Leader;
use crate::core::leader::zone_contact::{ZoneContact, ZoneMachines};
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::messages::capacity_demand::{MAX_MACHINES_PER_RENTAL, MachineOffer};
use crate::core::model::time::Time;
use crate::core::model::token_bucket::TokenBucket;
use crate::core::scheduling::catalog::Catalog;
use crate::ids::{MachineId, Node, Zone};
use crate::wire::{ListedMachine, MachineNames, MachineState, Rental};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds between looks at what is to be rented and returned.
pub(crate) const PLAN_S: Time = 1.0;

/// Names in one release request at most.
pub(crate) const RELEASE_LIMIT: usize = 100;

/// Machines listed at most.
pub(crate) const LIST_LIMIT: usize = 10_000;

/// Machines that take this many times their boot time are given up.
pub(crate) const LATE_BOOTS: f64 = 3.5;

/// Machines that take this many times their boot time are late; the usual ones are up before that.
pub(crate) const USUAL_BOOTS: f64 = 1.6;

/// Late machines in whose place others are rented: so many, or this part of them if that is more.
/// Where most are late, others would be so as well.
pub(crate) const REPLACED_LATE: usize = 2;

pub(crate) const REPLACED_LATE_PART: f64 = 0.25;

pub(crate) struct PendingMachine {
    pub(crate) offer: MachineOffer,
    pub(crate) rented: Time,
    pub(crate) node: Option<Node>,
}

/// The leader's dealings with the cloud.
pub struct CloudRequests {
    /// Until then what an earlier leader rented may not be listed yet.
    pub(crate) rent_after: Time,
    pub(crate) next_list: Time,
    pub(crate) listing: bool,
    pub(crate) pending: BTreeMap<MachineId, PendingMachine>,
    /// Rentals without an outcome; repeated under the same name until they have one.
    pub(crate) open: Vec<RentalRequest>,
    pub(crate) renting: bool,
    pub(crate) refused: BTreeMap<MachineOffer, Time>,
    /// Where nothing is rented since no machine there could report.
    pub(crate) zone_contact: ZoneContact,
    pub(crate) offers: BTreeMap<MachineId, MachineOffer>,
    pub(crate) releases: BTreeSet<MachineId>,
    pub(crate) releasing: bool,
    /// Their deletion was answered: the map is to lose them.
    pub(crate) deleted: Vec<MachineId>,
    pub(crate) counter: u64,
    pub(crate) next_plan: Time,
    pub(crate) call_rate: TokenBucket,
    pub(crate) pause_until: Time,
}

impl CloudRequests {
    pub fn new(config: &Config, now: Time, fresh: bool) -> Self {
        let lag = config.deployment.cloud.list_lag_s;
        // Some of the rate is left to other controllers and to what a late request may use.
        let rate = config.deployment.cloud.rps * 0.8;
        Self {
            rent_after: if fresh {
                now + lag * 0.3
            } else {
                now + lag * 1.2
            },
            next_list: now,
            listing: false,
            pending: BTreeMap::new(),
            open: Vec::new(),
            renting: false,
            refused: BTreeMap::new(),
            zone_contact: ZoneContact::default(),
            offers: BTreeMap::new(),
            releases: BTreeSet::new(),
            releasing: false,
            deleted: Vec::new(),
            counter: 0,
            next_plan: now,
            call_rate: TokenBucket::new(rate, 1.0, now),
            pause_until: now,
        }
    }

    pub fn refused(&self) -> BTreeSet<MachineOffer> {
        self.refused.keys().cloned().collect()
    }

    pub fn offer_of(&self, id: &MachineId) -> Option<&MachineOffer> {
        self.offers.get(id)
    }

    /// A machine has come up: for whom was it rented?
    pub fn arrived(&mut self, id: &MachineId, offer: &MachineOffer) -> Option<Node> {
        self.offers.insert(id.clone(), offer.clone());
        self.pending.remove(id).and_then(|pending| pending.node)
    }

    /// Machines that are late and count as on their way no longer, so that others are rented in their
    /// place: some never come up, and what waited for them waited for several boots. Should
    /// they come up all the same they are used or returned as every other.
    pub(crate) fn replaced(&self, catalog: &Catalog, now: Time) -> BTreeSet<MachineId> {
        let usual =
            |pending: &PendingMachine| catalog.boot_s(&pending.offer.type_name) * USUAL_BOOTS;
        let late = self
            .pending
            .iter()
            .filter(|(_, pending)| now - pending.rented > usual(pending));
        let mut late: Vec<(&MachineId, Time)> =
            late.map(|(id, pending)| (id, pending.rented)).collect();
        late.sort_by(|(_, a), (_, b)| a.total_cmp(b));
        let part = (late.len() as f64 * REPLACED_LATE_PART).ceil() as usize;
        let replaced = late.into_iter().take(part.max(REPLACED_LATE));
        replaced.map(|(id, _)| id.clone()).collect()
    }

    pub(crate) fn may_call(&mut self, now: Time) -> bool {
        now >= self.pause_until && self.call_rate.take(now)
    }
}

impl Leader {
    pub(crate) fn cloud_when_due(
        &mut self,
        outbox: &mut Outbox,
        catalog: &Catalog,
        unresponsive: &UnresponsiveMachines,
        living: &BTreeMap<Node, u64>,
    ) {
        let now = outbox.now;
        let lag = self.config.deployment.cloud.list_lag_s.max(1.0);
        if now >= self.cloud.next_plan && catalog.known() && !self.catching_up {
            self.cloud.next_plan = now + PLAN_S;
            self.note_zones_cut_off(catalog, unresponsive, now);
            self.plan(catalog, now, living);
        }
        let cloud = &mut self.cloud;
        if !cloud.renting && !cloud.open.is_empty() && cloud.may_call(now) {
            let order = cloud.open.remove(0);
            cloud.renting = true;
            let rental = order.rental.clone();
            outbox.cloud(
                Some(CloudOperation::Rent {
                    term: self.term,
                    order,
                }),
                CloudCall::Rent(rental),
            );
        }
        if !cloud.releasing && !cloud.releases.is_empty() && cloud.may_call(now) {
            let machines: Vec<MachineId> =
                cloud.releases.iter().take(RELEASE_LIMIT).cloned().collect();
            cloud.releasing = true;
            let work = CloudOperation::Release {
                term: self.term,
                machines: machines.clone(),
            };
            outbox.cloud(Some(work), CloudCall::Release(MachineNames { machines }));
        }
        if !cloud.listing && now >= cloud.next_list && cloud.may_call(now) {
            cloud.listing = true;
            cloud.next_list = now + outbox.jitter(lag * 0.5);
            let work = CloudOperation::List {
                term: self.term,
                seen: Vec::new(),
            };
            outbox.cloud(Some(work), CloudCall::List { after: None });
        }
    }

    pub fn cloud_reply(&mut self, outbox: &mut Outbox, work: CloudOperation, reply: CloudReply) {
        let now = outbox.now;
        if matches!(reply, CloudReply::Refused | CloudReply::Unknown) {
            self.cloud.pause_until = now + outbox.jitter(1.0 / self.config.deployment.cloud.rps);
        }
        match work {
            CloudOperation::List { term, .. }
            | CloudOperation::Rent { term, .. }
            | CloudOperation::Release { term, .. }
                if term != self.term => {}
            CloudOperation::List { mut seen, .. } => {
                self.cloud.listing = false;
                let CloudReply::List(page) = reply else {
                    return;
                };
                let more = page.more && !page.machines.is_empty();
                seen.extend(page.machines);
                if more && seen.len() < LIST_LIMIT {
                    self.cloud.listing = true;
                    let after = seen.last().map(|listed| listed.machine.to_string());
                    let work = CloudOperation::List {
                        term: self.term,
                        seen,
                    };
                    outbox.cloud(Some(work), CloudCall::List { after });
                } else {
                    self.take_list(seen, now);
                }
            }
            CloudOperation::Rent { order, .. } => {
                self.cloud.renting = false;
                self.rented(order, reply, now);
            }
            CloudOperation::Release { machines, .. } => {
                self.cloud.releasing = false;
                if reply == CloudReply::Released {
                    tracing::info!("returned {} machines", machines.len());
                    for id in machines {
                        self.cloud.releases.remove(&id);
                        self.cloud.pending.remove(&id);
                        self.cloud.deleted.push(id);
                    }
                }
            }
        }
    }

    pub(crate) fn rented(&mut self, order: RentalRequest, reply: CloudReply, now: Time) {
        let rental = &order.rental;
        let offer = MachineOffer {
            type_name: rental.type_name.clone(),
            zone: rental.zone.clone(),
            spot: rental.spot,
        };
        // Capacity comes back as others return machines: asked again after a while.
        let again = now + self.config.deployment.cloud.list_lag_s.max(1.0);
        match reply {
            CloudReply::Rented(names) => {
                let spot = if rental.spot { ", spot" } else { "" };
                let (got, asked) = (names.machines.len(), rental.count);
                let (type_name, zone) = (&rental.type_name, &rental.zone);
                tracing::info!("rented {got} of {asked} {type_name} in {zone}{spot}");
                if (got as u32) < asked {
                    self.cloud.refused.insert(offer.clone(), again);
                }
                for (id, node) in names.machines.into_iter().zip(order.nodes) {
                    let node = Some(node);
                    let pending = PendingMachine {
                        offer: offer.clone(),
                        rented: now,
                        node,
                    };
                    self.cloud.pending.insert(id, pending);
                }
            }
            CloudReply::NoCapacity => {
                self.cloud.refused.insert(offer, again);
            }
            // Not executed: what is needed is planned anew.
            CloudReply::Refused => {}
            // Executed or not: the same name again has the same outcome.
            _ => self.cloud.open.push(order),
        }
    }

    pub(crate) fn take_list(&mut self, list: Vec<ListedMachine>, now: Time) {
        for listed in list {
            let id = listed.machine;
            let offer = MachineOffer {
                type_name: listed.type_name,
                zone: listed.zone,
                spot: listed.spot,
            };
            if listed.state == MachineState::Failed {
                self.cloud.releases.insert(id);
            } else if listed.state == MachineState::Booting
                && !self.map.owners.machines.contains_key(&id)
            {
                let rented = now - listed.age_s;
                let fresh = PendingMachine {
                    offer,
                    rented,
                    node: None,
                };
                self.cloud.pending.entry(id).or_insert(fresh);
            } else {
                self.cloud.offers.insert(id, offer);
            }
        }
    }

    /// Machines of zones that are cut off are not to be had, as if the cloud refused them.
    pub(crate) fn note_zones_cut_off(
        &mut self,
        catalog: &Catalog,
        unresponsive: &UnresponsiveMachines,
        now: Time,
    ) {
        let mut zones: BTreeMap<Zone, ZoneMachines> = BTreeMap::new();
        for (id, owner) in &self.map.owners.machines {
            let Some(MachineOffer { zone, .. }) = self.cloud.offer_of(id) else {
                continue;
            };
            let machines = zones.entry(zone.clone()).or_default();
            machines.all += 1;
            machines.silent += usize::from(unresponsive.answered(id, owner.token).is_some());
        }
        let cloud = &mut self.cloud;
        cloud
            .zone_contact
            .update(&zones, &self.config.deployment.workers, now);
        let cut_off = cloud.zone_contact.cut_off();
        cloud.refused.retain(|_, until| now < *until);
        for of_type in catalog.types() {
            for zone in of_type.zones.iter().filter(|zone| cut_off.contains(*zone)) {
                for spot in [false, true] {
                    let offer = MachineOffer {
                        type_name: of_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    cloud.refused.entry(offer).or_insert(now + PLAN_S * 2.0);
                }
            }
        }
    }

    pub(crate) fn plan(&mut self, catalog: &Catalog, now: Time, living: &BTreeMap<Node, u64>) {
        for (id, pending) in &self.cloud.pending {
            let late = now - pending.rented > catalog.boot_s(&pending.offer.type_name) * LATE_BOOTS;
            if late && self.cloud.releases.insert(id.clone()) {
                tracing::info!("{id} does not come up and is returned");
            }
        }
        let needs = self.demands.values();
        let returned = needs.flat_map(|need| {
            need.surplus_machines
                .iter()
                .chain(&need.unheard_machines)
                .cloned()
        });
        self.cloud.releases.extend(returned.collect::<Vec<_>>());
        if now < self.cloud.rent_after || self.cloud.renting || !self.cloud.open.is_empty() {
            return;
        }
        // Machines on their way that were rented for nobody serve whoever wants them first.
        let replaced = self.cloud.replaced(catalog, now);
        let cut_off =
            |pending: &PendingMachine| self.cloud.zone_contact.is_cut_off(&pending.offer.zone);
        let awaited = self
            .cloud
            .pending
            .iter()
            .filter(|(id, _)| !replaced.contains(*id));
        let awaited = awaited
            .map(|(_, pending)| pending)
            .filter(|pending| !cut_off(pending));
        let awaited: Vec<&PendingMachine> = awaited.collect();
        let mut unclaimed = awaited.iter().filter(|c| c.node.is_none()).count() as u32;
        let mut lacks: BTreeMap<MachineOffer, Vec<(&Node, u32)>> = BTreeMap::new();
        for node in living.keys() {
            let Some(need) = self.demands.get(node) else {
                continue;
            };
            let mut pending: BTreeMap<&MachineOffer, u32> = BTreeMap::new();
            for c in awaited.iter().filter(|c| c.node.as_ref() == Some(node)) {
                *pending.entry(&c.offer).or_default() += 1;
            }
            let mut of_node: BTreeMap<&MachineOffer, u32> = BTreeMap::new();
            for want in &need.machine_demands {
                // What comes of any kind that would do serves the want.
                let mut count = want.count;
                for kind in std::iter::once(&want.offer).chain(&want.any_of) {
                    if let Some(pending) = pending.get_mut(kind) {
                        let served = count.min(*pending);
                        *pending -= served;
                        count -= served;
                    }
                }
                *of_node.entry(&want.offer).or_default() += count;
            }
            unclaimed += pending.values().sum::<u32>();
            for (offer, count) in of_node {
                let served = count.min(unclaimed);
                unclaimed -= served;
                if count > served && !self.cloud.refused.contains_key(offer) {
                    lacks
                        .entry(offer.clone())
                        .or_default()
                        .push((node, count - served));
                }
            }
        }
        for (
            MachineOffer {
                type_name,
                zone,
                spot,
            },
            counts,
        ) in lacks
        {
            // In turn, so that if the cloud has fewer nobody goes without.
            let most = counts.iter().map(|(_, count)| *count).max().unwrap_or(0);
            let turns = (0..most).flat_map(|turn| counts.iter().filter(move |(_, n)| *n > turn));
            let nodes: Vec<Node> = turns.map(|(node, _)| (*node).clone()).collect();
            for nodes in nodes.chunks(MAX_MACHINES_PER_RENTAL) {
                self.cloud.counter += 1;
                let request = format!("r-{}-{}", self.term, self.cloud.counter);
                let (type_name, zone, count) = (type_name.clone(), zone.clone(), nodes.len());
                let rental = Rental {
                    request,
                    type_name,
                    zone,
                    spot,
                    count: count as u32,
                };
                self.cloud.open.push(RentalRequest {
                    rental,
                    nodes: nodes.to_vec(),
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;
