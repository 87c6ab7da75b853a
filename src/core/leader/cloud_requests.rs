//! The leader's requests to the cloud, and what their replies say of the machines there.
//!
//! Requests are sent one of each kind at a time and within the cloud's rate limit. A rental whose outcome is
//! unknown is repeated under its name: the cloud treats requests of the same name as one.

use crate::config::Config;
use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::{CloudOperation, RentalRequest};
use crate::core::effects::{CloudCall, CloudReply};
use crate::core::leader::pending_machines::{PendingMachine, PendingMachines};
use crate::core::messages::capacity_demand::{MAX_MACHINES_PER_RENTAL, MachineOffer};
use crate::core::model::time::Time;
use crate::core::model::token_bucket::TokenBucket;
use crate::core::records::shard_map::ShardMap;
use crate::core::scheduling::catalog::Catalog;
use crate::ids::{ControllerName, MachineId, Version};
use crate::wire::{ListedMachine, MachineIds, MachineState, Rental};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Machines that one release request names at most.
const RELEASE_LIMIT: usize = 100;

/// Machines that are listed at most.
const LIST_LIMIT: usize = 10_000;

/// Fraction of the cloud's rate limit that the leader uses; the rest is left to other controllers and to
/// requests that arrive late.
const RATE_FRACTION: f64 = 0.8;

/// Waits before the first rental, in lags of the cloud's list: until then, what an earlier leader rented may
/// not be listed. A fresh deployment had no earlier leader to wait for.
const FRESH_WAIT_LAGS: f64 = 0.3;

/// See [`FRESH_WAIT_LAGS`].
const SUCCESSOR_WAIT_LAGS: f64 = 1.2;

/// Time between two lists of the machines, in lags of the list.
const LIST_INTERVAL_LAGS: f64 = 0.5;

/// Requests to the cloud, and the machines known from their replies.
pub(super) struct CloudRequests {
    config: Rc<Config>,
    /// Version of the leader key under which requests are made; replies to others are ignored.
    key_version: Version,
    rent_after: Time,
    next_list: Time,
    list_in_flight: bool,
    /// Machines that were rented and have not reported.
    pending: PendingMachines,
    /// Rentals without an outcome; repeated under the same name until they have one.
    open_rentals: Vec<RentalRequest>,
    rental_in_flight: bool,
    /// Rentals named so far.
    rentals: u64,
    /// Offers without capacity, and until when they are not asked for again.
    unavailable: BTreeMap<MachineOffer, Time>,
    /// The kinds of the machines that exist, as far as known.
    offers: BTreeMap<MachineId, MachineOffer>,
    /// Machines that are to be returned.
    releases: BTreeSet<MachineId>,
    release_in_flight: bool,
    /// Machines that were returned and are to be removed from the shard map.
    returned: Vec<MachineId>,
    call_rate: TokenBucket,
    /// No requests before this time: the cloud refused one or did not answer.
    pause_until: Time,
}

impl CloudRequests {
    /// Nothing is known of the machines yet; the first list is due at once.
    pub(super) fn new(
        config: &Rc<Config>,
        key_version: Version,
        now: Time,
        fresh_deployment: bool,
    ) -> Self {
        let cloud = &config.deployment.cloud;
        let wait_lags = if fresh_deployment {
            FRESH_WAIT_LAGS
        } else {
            SUCCESSOR_WAIT_LAGS
        };
        Self {
            config: config.clone(),
            key_version,
            rent_after: now + cloud.list_lag_s * wait_lags,
            next_list: now,
            list_in_flight: false,
            pending: PendingMachines::default(),
            open_rentals: Vec::new(),
            rental_in_flight: false,
            rentals: 0,
            unavailable: BTreeMap::new(),
            offers: BTreeMap::new(),
            releases: BTreeSet::new(),
            release_in_flight: false,
            returned: Vec::new(),
            call_rate: TokenBucket::new(cloud.rps * RATE_FRACTION, 1.0, now),
            pause_until: now,
        }
    }

    /// Offers that can't be rented at present.
    pub(super) fn unavailable_offers(&self) -> BTreeSet<MachineOffer> {
        self.unavailable.keys().cloned().collect()
    }

    /// Whether this offer can't be rented at present.
    pub(super) fn is_unavailable(&self, offer: &MachineOffer) -> bool {
        self.unavailable.contains_key(offer)
    }

    /// Forgets the offers that may be asked for again by now.
    pub(super) fn expire_unavailable(&mut self, now: Time) {
        self.unavailable.retain(|_, until| now < *until);
    }

    /// Counts an offer as unavailable until then, unless it counts as that already.
    pub(super) fn set_unavailable(&mut self, offer: MachineOffer, until: Time) {
        self.unavailable.entry(offer).or_insert(until);
    }

    /// The kind of a machine, if known.
    pub(super) fn offer_of(&self, id: &MachineId) -> Option<&MachineOffer> {
        self.offers.get(id)
    }

    /// Notes that a machine has reported; returns the controller it was rented for, if known.
    pub(super) fn machine_arrived(
        &mut self,
        id: &MachineId,
        offer: &MachineOffer,
    ) -> Option<ControllerName> {
        self.offers.insert(id.clone(), offer.clone());
        self.pending.remove(id).and_then(|pending| pending.node)
    }

    /// The rented machines that are expected to report in time.
    pub(super) fn expected(
        &self,
        catalog: &Catalog,
        now: Time,
    ) -> impl Iterator<Item = &PendingMachine> {
        self.pending.expected(catalog, now)
    }

    /// Whether the machine is to be returned.
    pub(super) fn is_released(&self, id: &MachineId) -> bool {
        self.releases.contains(id)
    }

    /// Returns these machines with the next requests.
    pub(super) fn release(&mut self, machines: impl IntoIterator<Item = MachineId>) {
        self.releases.extend(machines);
    }

    /// Returns the rented machines that have not reported for several boot times.
    pub(super) fn release_overdue(&mut self, catalog: &Catalog, now: Time) {
        for id in self.pending.overdue(catalog, now) {
            if self.releases.insert(id.clone()) {
                tracing::info!(machine = %id, "rented machine did not report in time and is returned");
            }
        }
    }

    /// Takes the machines that were returned since the last call; their kinds are forgotten.
    pub(super) fn take_returned(&mut self) -> Vec<MachineId> {
        let returned = std::mem::take(&mut self.returned);
        for id in &returned {
            self.offers.remove(id);
        }
        returned
    }

    /// Whether new rentals may be planned: earlier ones have an outcome, and are known.
    pub(super) fn may_plan_rentals(&self, now: Time) -> bool {
        now >= self.rent_after && !self.rental_in_flight && self.open_rentals.is_empty()
    }

    /// Rents a machine of this kind for each of these controllers, with as few requests as possible.
    pub(super) fn rent(&mut self, offer: &MachineOffer, nodes: &[ControllerName]) {
        for nodes in nodes.chunks(MAX_MACHINES_PER_RENTAL) {
            self.rentals += 1;
            let rental = Rental {
                request: format!("r-{}-{}", self.key_version, self.rentals),
                type_name: offer.type_name.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                count: u32::try_from(nodes.len()).unwrap_or(u32::MAX),
            };
            self.open_rentals.push(RentalRequest {
                rental,
                nodes: nodes.to_vec(),
            });
        }
    }

    /// Sends the requests that are due and that the rate limit permits.
    pub(super) fn send_due(&mut self, outbox: &mut Outbox) {
        self.send_rental(outbox);
        self.send_release(outbox);
        self.send_list(outbox);
    }

    fn send_rental(&mut self, outbox: &mut Outbox) {
        if self.rental_in_flight || self.open_rentals.is_empty() || !self.may_call(outbox.now) {
            return;
        }
        let order = self.open_rentals.remove(0);
        self.rental_in_flight = true;
        let rental = order.rental.clone();
        let operation = CloudOperation::Rent {
            token: self.key_version,
            request: order,
        };
        outbox.call_cloud(Some(operation), CloudCall::Rent(rental));
    }

    fn send_release(&mut self, outbox: &mut Outbox) {
        if self.release_in_flight || self.releases.is_empty() || !self.may_call(outbox.now) {
            return;
        }
        let machines: Vec<MachineId> = self.releases.iter().take(RELEASE_LIMIT).cloned().collect();
        self.release_in_flight = true;
        let operation = CloudOperation::Release {
            token: self.key_version,
            machines: machines.clone(),
        };
        outbox.call_cloud(Some(operation), CloudCall::Release(MachineIds { machines }));
    }

    fn send_list(&mut self, outbox: &mut Outbox) {
        let now = outbox.now;
        if self.list_in_flight || now < self.next_list || !self.may_call(now) {
            return;
        }
        let lag = self.config.deployment.cloud.list_lag_s.max(1.0);
        self.next_list = now + outbox.jitter(lag * LIST_INTERVAL_LAGS);
        self.send_list_page(outbox, Vec::new());
    }

    /// Asks for the machines that the list has after those that were seen.
    fn send_list_page(&mut self, outbox: &mut Outbox, seen: Vec<ListedMachine>) {
        self.list_in_flight = true;
        let after = seen.last().map(|listed| listed.machine.to_string());
        let operation = CloudOperation::List {
            token: self.key_version,
            listed: seen,
        };
        outbox.call_cloud(Some(operation), CloudCall::List { after });
    }

    /// Takes one request from the rate limit, if it permits one now.
    fn may_call(&mut self, now: Time) -> bool {
        now >= self.pause_until && self.call_rate.take(now)
    }

    /// Takes in the reply to a request; `owners` is the shard map.
    pub(super) fn replied(
        &mut self,
        outbox: &mut Outbox,
        operation: CloudOperation,
        reply: CloudReply,
        owners: &ShardMap,
    ) {
        let now = outbox.now;
        if matches!(reply, CloudReply::Refused | CloudReply::Unknown) {
            self.pause_until = now + outbox.jitter(1.0 / self.config.deployment.cloud.rps);
        }
        match operation {
            CloudOperation::List { token, .. }
            | CloudOperation::Rent { token, .. }
            | CloudOperation::Release { token, .. }
                if token != self.key_version => {}
            CloudOperation::List { listed: seen, .. } => self.listed(outbox, seen, reply, owners),
            CloudOperation::Rent { request: order, .. } => {
                self.rental_in_flight = false;
                self.rented(order, reply, now);
            }
            CloudOperation::Release { machines, .. } => {
                self.release_in_flight = false;
                if reply == CloudReply::Released {
                    self.released(machines);
                }
            }
        }
    }

    /// Takes in one page of the list; asks for the next one, or takes in the whole list.
    fn listed(
        &mut self,
        outbox: &mut Outbox,
        mut seen: Vec<ListedMachine>,
        reply: CloudReply,
        owners: &ShardMap,
    ) {
        self.list_in_flight = false;
        let CloudReply::List(page) = reply else {
            return;
        };
        let more = page.more && !page.machines.is_empty();
        seen.extend(page.machines);
        if more && seen.len() < LIST_LIMIT {
            self.send_list_page(outbox, seen);
        } else {
            self.take_list(seen, owners, outbox.now);
        }
    }

    /// Takes in the whole list of machines.
    fn take_list(&mut self, list: Vec<ListedMachine>, owners: &ShardMap, now: Time) {
        for listed in list {
            let id = listed.machine;
            let offer = MachineOffer {
                type_name: listed.type_name,
                zone: listed.zone,
                spot: listed.spot,
            };
            if listed.state == MachineState::Failed {
                self.releases.insert(id);
            } else if listed.state == MachineState::Booting && !owners.machines.contains_key(&id) {
                let pending = PendingMachine {
                    offer,
                    rented: now - listed.age_s,
                    node: None,
                };
                self.pending.add_listed(id, pending);
            } else {
                self.offers.insert(id, offer);
            }
        }
    }

    /// Takes in the outcome of a rental.
    fn rented(&mut self, order: RentalRequest, reply: CloudReply, now: Time) {
        let rental = &order.rental;
        let offer = MachineOffer {
            type_name: rental.type_name.clone(),
            zone: rental.zone.clone(),
            spot: rental.spot,
        };
        // Capacity comes back as others return machines: asked for again after a while.
        let retry_at = now + self.config.deployment.cloud.list_lag_s.max(1.0);
        match reply {
            CloudReply::Rented(names) => {
                let rented = names.machines.len();
                tracing::info!(
                    rented,
                    requested = rental.count,
                    type_name = %rental.type_name,
                    zone = %rental.zone,
                    spot = rental.spot,
                    "rented machines"
                );
                if u32::try_from(rented).is_ok_and(|rented| rented < rental.count) {
                    self.unavailable.insert(offer.clone(), retry_at);
                }
                for (id, node) in names.machines.into_iter().zip(order.nodes) {
                    let pending = PendingMachine {
                        offer: offer.clone(),
                        rented: now,
                        node: Some(node),
                    };
                    self.pending.add(id, pending);
                }
            }
            CloudReply::NoCapacity => {
                self.unavailable.insert(offer, retry_at);
            }
            // Not executed: what is needed is planned anew.
            CloudReply::Refused => {}
            // Executed or not: the same name again has the same outcome.
            _ => self.open_rentals.push(order),
        }
    }

    /// Takes in that machines were returned.
    fn released(&mut self, machines: Vec<MachineId>) {
        tracing::info!(count = machines.len(), "returned machines");
        for id in machines {
            self.releases.remove(&id);
            self.pending.remove(&id);
            self.returned.push(id);
        }
    }
}
