//! The leader's requests to the cloud, and the machines known from the replies.
//!
//! At most one request of each kind is in flight. A rate limiter keeps the requests within the cloud's limit;
//! only the further pages of a list are requested without it. A rental with unknown outcome is retried under
//! the same request name, because the cloud executes each name only once.

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

/// Most machines that one release request names.
const MAX_MACHINES_PER_RELEASE: usize = 100;

/// Number of listed machines after which no further page of the list is requested.
const MAX_LISTED_MACHINES: usize = 10_000;

/// Fraction of the cloud's rate limit that the leader uses. The rest is left to other controllers and to
/// delayed requests.
const RATE_FRACTION: f64 = 0.8;

/// Delay of the first rental in a fresh deployment, in multiples of the time by which the cloud's list lags.
/// There was no earlier leader whose rentals might not be listed yet.
const FRESH_DEPLOYMENT_WAIT_LAGS: f64 = 0.3;

/// Delay of the first rental after a change of leader, in multiples of the list's lag. The list may not show
/// the rentals of the earlier leader before that.
const SUCCESSOR_WAIT_LAGS: f64 = 1.2;

/// Interval between two requests of the whole list, in multiples of the list's lag.
const LIST_INTERVAL_LAGS: f64 = 0.5;

/// Pending requests to the cloud, and the machines known from the replies.
pub(super) struct CloudRequests {
    config: Rc<Config>,
    /// Version of the leader key under which requests are sent. Replies to requests of other versions are
    /// ignored.
    key_version: Version,
    /// No rentals are planned before this time.
    rent_after: Time,
    next_list: Time,
    list_in_flight: bool,
    /// Rented machines that have not sent a heartbeat yet.
    pending: PendingMachines,
    /// Rentals that are not sent yet, or whose outcome is unknown; the latter are retried under the same
    /// name.
    open_rentals: Vec<RentalRequest>,
    rental_in_flight: bool,
    /// Number of rentals created so far; part of the name of each.
    rental_count: u64,
    /// Offers that can't be rented, and until when they are not requested again.
    unavailable: BTreeMap<MachineOffer, Time>,
    /// The kinds of the existing machines, as far as known.
    offers: BTreeMap<MachineId, MachineOffer>,
    /// Machines to return to the cloud; a machine stays here until the cloud confirms its release.
    pending_releases: BTreeSet<MachineId>,
    release_in_flight: bool,
    /// Machines that the cloud has taken back and that the shard map may still list.
    returned: Vec<MachineId>,
    call_rate: TokenBucket,
    /// No requests are sent before this time, because the cloud refused one or did not reply.
    pause_until: Time,
}

impl CloudRequests {
    /// Starts without knowledge of any machine; the first list is due at once.
    pub(super) fn new(
        config: &Rc<Config>,
        key_version: Version,
        now: Time,
        fresh_deployment: bool,
    ) -> Self {
        let cloud = &config.deployment.cloud;
        let wait_lags = if fresh_deployment {
            FRESH_DEPLOYMENT_WAIT_LAGS
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
            rental_count: 0,
            unavailable: BTreeMap::new(),
            offers: BTreeMap::new(),
            pending_releases: BTreeSet::new(),
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

    /// Makes each offer available again that was marked as unavailable until `now` or earlier.
    pub(super) fn expire_unavailable(&mut self, now: Time) {
        self.unavailable.retain(|_, until| now < *until);
    }

    /// Marks an offer as unavailable until this time, unless it is marked already.
    pub(super) fn set_unavailable(&mut self, offer: MachineOffer, until: Time) {
        self.unavailable.entry(offer).or_insert(until);
    }

    /// The kind of a machine, if known.
    pub(super) fn offer_of(&self, id: &MachineId) -> Option<&MachineOffer> {
        self.offers.get(id)
    }

    /// Records the first heartbeat of a machine; returns the controller for which it was rented, if known.
    pub(super) fn record_arrival(
        &mut self,
        id: &MachineId,
        offer: &MachineOffer,
    ) -> Option<ControllerName> {
        self.offers.insert(id.clone(), offer.clone());
        self.pending.remove(id).and_then(|pending| pending.node)
    }

    /// The pending machines that are expected to send a heartbeat in time.
    pub(super) fn expected_machines(
        &self,
        catalog: &Catalog,
        now: Time,
    ) -> impl Iterator<Item = &PendingMachine> {
        self.pending.expected_machines(catalog, now)
    }

    /// Whether the machine is queued to be returned or its release is in flight.
    pub(super) fn is_release_pending(&self, id: &MachineId) -> bool {
        self.pending_releases.contains(id)
    }

    /// Queues these machines to be returned to the cloud.
    pub(super) fn queue_releases(&mut self, machines: impl IntoIterator<Item = MachineId>) {
        self.pending_releases.extend(machines);
    }

    /// Queues the return of rented machines that have sent no heartbeat for several boot times.
    pub(super) fn queue_overdue_releases(&mut self, catalog: &Catalog, now: Time) {
        for id in self.pending.overdue_machines(catalog, now) {
            if self.pending_releases.insert(id.clone()) {
                tracing::info!(machine = %id, "rented machine sent no heartbeat in time and is returned");
            }
        }
    }

    /// Takes the machines that were returned since the last call and forgets their kinds.
    pub(super) fn take_returned(&mut self) -> Vec<MachineId> {
        let returned = std::mem::take(&mut self.returned);
        for id in &returned {
            self.offers.remove(id);
        }
        returned
    }

    /// Whether new rentals may be planned: the rentals of earlier leaders are listed by now, and no rental of
    /// this leader is queued or awaits its outcome.
    pub(super) fn may_plan_rentals(&self, now: Time) -> bool {
        now >= self.rent_after && !self.rental_in_flight && self.open_rentals.is_empty()
    }

    /// Queues the rental of one machine of this kind for each entry of `nodes`, in as few requests as
    /// possible.
    pub(super) fn queue_rentals(&mut self, offer: &MachineOffer, nodes: &[ControllerName]) {
        for nodes in nodes.chunks(MAX_MACHINES_PER_RENTAL) {
            self.rental_count += 1;
            let rental = Rental {
                request: format!("r-{}-{}", self.key_version, self.rental_count),
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
        if self.rental_in_flight
            || self.open_rentals.is_empty()
            || !self.try_acquire_call(outbox.now)
        {
            return;
        }
        let request = self.open_rentals.remove(0);
        self.rental_in_flight = true;
        let rental = request.rental.clone();
        let operation = CloudOperation::Rent {
            leader_key_version: self.key_version,
            request,
        };
        outbox.call_cloud(Some(operation), CloudCall::Rent(rental));
    }

    fn send_release(&mut self, outbox: &mut Outbox) {
        if self.release_in_flight
            || self.pending_releases.is_empty()
            || !self.try_acquire_call(outbox.now)
        {
            return;
        }
        let machines: Vec<MachineId> = self
            .pending_releases
            .iter()
            .take(MAX_MACHINES_PER_RELEASE)
            .cloned()
            .collect();
        self.release_in_flight = true;
        let operation = CloudOperation::Release {
            leader_key_version: self.key_version,
            machines: machines.clone(),
        };
        outbox.call_cloud(Some(operation), CloudCall::Release(MachineIds { machines }));
    }

    fn send_list(&mut self, outbox: &mut Outbox) {
        let now = outbox.now;
        if self.list_in_flight || now < self.next_list || !self.try_acquire_call(now) {
            return;
        }
        let lag = self.config.deployment.cloud.list_lag_s.max(1.0);
        self.next_list = now + outbox.jitter(lag * LIST_INTERVAL_LAGS);
        self.send_list_page(outbox, Vec::new());
    }

    /// Requests the page of the list that follows the machines in `listed`.
    fn send_list_page(&mut self, outbox: &mut Outbox, listed: Vec<ListedMachine>) {
        self.list_in_flight = true;
        let after = listed.last().map(|last| last.machine.to_string());
        let operation = CloudOperation::List {
            leader_key_version: self.key_version,
            listed,
        };
        outbox.call_cloud(Some(operation), CloudCall::List { after });
    }

    /// Takes a token from the rate limiter; returns whether a request may be sent now.
    fn try_acquire_call(&mut self, now: Time) -> bool {
        now >= self.pause_until && self.call_rate.take(now)
    }

    /// Handles the reply to a request; `shard_map` includes unwritten changes.
    pub(super) fn handle_reply(
        &mut self,
        outbox: &mut Outbox,
        operation: CloudOperation,
        reply: CloudReply,
        shard_map: &ShardMap,
    ) {
        let now = outbox.now;
        if matches!(reply, CloudReply::Refused | CloudReply::Unknown) {
            self.pause_until = now + outbox.jitter(1.0 / self.config.deployment.cloud.rps);
        }
        match operation {
            CloudOperation::List {
                leader_key_version, ..
            }
            | CloudOperation::Rent {
                leader_key_version, ..
            }
            | CloudOperation::Release {
                leader_key_version, ..
            } if leader_key_version != self.key_version => {}
            CloudOperation::List { listed, .. } => {
                self.handle_list_page(outbox, listed, reply, shard_map)
            }
            CloudOperation::Rent { request, .. } => {
                self.rental_in_flight = false;
                self.handle_rental_reply(request, reply, now);
            }
            CloudOperation::Release { machines, .. } => {
                self.release_in_flight = false;
                if reply == CloudReply::Released {
                    self.record_released(machines);
                }
            }
        }
    }

    /// Handles one page of the list: requests the next page, or applies the list if it is complete or has
    /// reached [`MAX_LISTED_MACHINES`].
    fn handle_list_page(
        &mut self,
        outbox: &mut Outbox,
        mut listed: Vec<ListedMachine>,
        reply: CloudReply,
        shard_map: &ShardMap,
    ) {
        self.list_in_flight = false;
        let CloudReply::List(page) = reply else {
            return;
        };
        let more = page.more && !page.machines.is_empty();
        listed.extend(page.machines);
        if more && listed.len() < MAX_LISTED_MACHINES {
            self.send_list_page(outbox, listed);
        } else {
            self.apply_list(listed, shard_map, outbox.now);
        }
    }

    /// Queues the return of failed machines, records booting ones that are not in the shard map as pending,
    /// and records the kinds of all others.
    fn apply_list(&mut self, list: Vec<ListedMachine>, shard_map: &ShardMap, now: Time) {
        for listed in list {
            let id = listed.machine;
            let offer = MachineOffer {
                type_name: listed.type_name,
                zone: listed.zone,
                spot: listed.spot,
            };
            if listed.state == MachineState::Failed {
                self.pending_releases.insert(id);
            } else if listed.state == MachineState::Booting && !shard_map.machines.contains_key(&id)
            {
                let pending = PendingMachine {
                    offer,
                    rented_at: now - listed.age_s,
                    node: None,
                };
                self.pending.add_listed(id, pending);
            } else {
                self.offers.insert(id, offer);
            }
        }
    }

    /// Handles the cloud's reply to a rental. If the outcome is unknown, the rental is kept for a retry.
    fn handle_rental_reply(&mut self, request: RentalRequest, reply: CloudReply, now: Time) {
        let rental = &request.rental;
        let offer = MachineOffer {
            type_name: rental.type_name.clone(),
            zone: rental.zone.clone(),
            spot: rental.spot,
        };
        // Capacity becomes available as machines are returned, so the offer is requested again later.
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
                for (id, node) in names.machines.into_iter().zip(request.nodes) {
                    let pending = PendingMachine {
                        offer: offer.clone(),
                        rented_at: now,
                        node: Some(node),
                    };
                    self.pending.add(id, pending);
                }
            }
            CloudReply::NoCapacity => {
                self.unavailable.insert(offer, retry_at);
            }
            // The rental was not executed; the next plan requests the machines that are still needed.
            CloudReply::Refused => {}
            // The outcome is unknown. A retry under the same name rents nothing twice.
            _ => self.open_rentals.push(request),
        }
    }

    /// Records that the cloud has taken back these machines.
    fn record_released(&mut self, machines: Vec<MachineId>) {
        tracing::info!(count = machines.len(), "returned machines");
        for id in machines {
            self.pending_releases.remove(&id);
            self.pending.remove(&id);
            self.returned.push(id);
        }
    }
}
