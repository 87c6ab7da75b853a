//! Which controller answers a worker's report. A worker reports to one controller at a time; one
//! that is not its machine's owner sends it there. A worker that has shown the owner's present token
//! was there already and has left again, so it can't reach the owner: then its report is relayed,
//! once, so that its lease does not run out meanwhile. While a term is young its machine may have been told the
//! token by a direct message ([`crate::core::controller::acquired_machines`]), so that its worker was not there yet.

use crate::config::Config;
use crate::core::Core;
use crate::core::controller::deferred_heartbeats::DeferralReason;
use crate::core::effects::pending::Pending;
use crate::core::effects::{Answer, Body, RequestId};
use crate::core::messages::mesh::{MeshMessage, MeshReply};
use crate::core::model::time::Time;
use crate::core::records::shard_map::ShardOwner;
use crate::core::store::replica::StoreReplica;
use crate::ids::{FencingToken, MachineId, Node};
use crate::wire::{Heartbeat, HeartbeatResponse, redirect_to};
use failure_detector::Stage;
use std::collections::BTreeMap;

/// Leases of relaying after which a worker is sent to its owner once more.
const RELAY_LEASES: f64 = 10.0;

/// Leases after which a worker that was not here again has found its owner.
const FORGET_LEASES: f64 = 1.0;

/// Leases for which a term is young.
const YOUNG_LEASES: f64 = 0.5;

/// Relays under way at once at most, as a part of the limit on sockets.
const RELAYS_PER_SOCKET: f64 = 0.05;

/// The relaying of one machine's reports.
struct RelayedMachine {
    since: Time,
    last: Time,
}

/// What is to be done with the report of a worker that can't reach its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    Relay,
    /// It has been relayed for long: the worker is to try its owner once more.
    Shard,
    /// Too many are under way: the worker is to try another controller.
    Elsewhere,
}

/// Machines whose reports are relayed.
pub struct HeartbeatRelays {
    lease: Time,
    machines: BTreeMap<MachineId, RelayedMachine>,
    under_way: usize,
    most: usize,
    next_prune: Time,
    /// When each term of the map was first seen, and the map of that.
    tokens: BTreeMap<FencingToken, Time>,
    map_seen: Option<u64>,
    /// Workers that were sent to their machines' owners, under which terms.
    sent: BTreeMap<MachineId, FencingToken>,
}

impl HeartbeatRelays {
    /// None yet.
    pub fn new(config: &Config) -> Self {
        let sockets = config.deployment.limits.fd_limit as f64;
        Self {
            lease: config.deployment.workers.lease_s,
            machines: BTreeMap::new(),
            under_way: 0,
            tokens: BTreeMap::new(),
            map_seen: None,
            sent: BTreeMap::new(),
            most: (sockets * RELAYS_PER_SOCKET).ceil() as usize,
            next_prune: 0.0,
        }
    }

    /// A worker that can't reach its owner is here.
    fn begin(&mut self, machine: &MachineId, now: Time) -> Route {
        self.prune(now);
        if self.under_way >= self.most {
            return Route::Elsewhere;
        }
        let fresh = RelayedMachine {
            since: now,
            last: now,
        };
        let relayed = self.machines.entry(machine.clone()).or_insert(fresh);
        relayed.last = now;
        if now - relayed.since > self.lease * RELAY_LEASES {
            self.machines.remove(machine);
            return Route::Shard;
        }
        self.under_way += 1;
        Route::Relay
    }

    /// Takes up which terms there are.
    pub(crate) fn follow(&mut self, store: &StoreReplica, now: Time) {
        let first = self.map_seen.is_none();
        if self.map_seen.replace(store.map_changes()) == Some(store.map_changes()) {
            return;
        }
        let owners = store.owners();
        let since = if first { Time::NEG_INFINITY } else { now };
        let known = std::mem::take(&mut self.tokens);
        for owner in owners.machines.values() {
            let seen = known.get(&owner.token).copied().unwrap_or(since);
            self.tokens.entry(owner.token).or_insert(seen);
        }
        self.sent
            .retain(|id, token| owners.machines.get(id).is_some_and(|o| o.token == *token));
    }

    /// Whether a worker is to try its owner before its reports are relayed: it may know the token without
    /// having been there. One that is relayed already could not reach that owner, whatever its token.
    fn owner_first(&mut self, machine: &MachineId, token: FencingToken, now: Time) -> bool {
        if self.include(machine) {
            return false;
        }
        let young = self
            .tokens
            .get(&token)
            .is_some_and(|seen| now - seen < self.lease * YOUNG_LEASES);
        young && self.sent.insert(machine.clone(), token) != Some(token)
    }

    /// A machine's reports are relayed.
    #[cfg(test)]
    pub fn mark(&mut self, machine: &MachineId, now: Time) {
        self.machines.insert(
            machine.clone(),
            RelayedMachine {
                since: now,
                last: now,
            },
        );
        self.under_way += 1;
    }

    fn include(&self, machine: &MachineId) -> bool {
        self.machines.contains_key(machine)
    }

    fn end(&mut self) {
        self.under_way -= 1;
    }

    fn prune(&mut self, now: Time) {
        if now >= self.next_prune {
            let forget = self.lease * FORGET_LEASES;
            self.next_prune = now + forget;
            self.machines
                .retain(|_, relayed| now - relayed.last <= forget);
        }
    }
}

impl Core {
    /// Answers a worker, or sends it to its machine's owner.
    pub(crate) fn heartbeat(&mut self, request: RequestId, heartbeat: Heartbeat) {
        let now = self.outbox.now;
        if let Some(answer) = self.handle_heartbeat(heartbeat.clone()) {
            self.peers.note_worker_contact(now);
            return self.outbox.answer(request, answer);
        }
        let owner = self
            .store
            .owners()
            .machines
            .get(&heartbeat.machine)
            .cloned();
        let holds_lease = self.ownership.holds_lease(now);
        if owner.is_none()
            && let Some(leader) = self.leader.as_mut().filter(|_| holds_lease)
        {
            leader.add_unassigned_machine(&heartbeat);
        }
        let left = owner
            .as_ref()
            .filter(|owner| self.has_left(&heartbeat, owner));
        if let Some(owner) = left.filter(|owner| !self.owner_first(&heartbeat, owner)) {
            match self.relays.begin(&heartbeat.machine, now) {
                Route::Relay => return self.relay_heartbeat(request, owner.clone(), heartbeat),
                Route::Elsewhere => return self.send_elsewhere(request, &owner.node.clone()),
                Route::Shard => {}
            }
        }
        if let Some(owner) = owner
            .as_ref()
            .filter(|owner| self.may_claim(&heartbeat, owner))
        {
            let owner = owner.clone();
            return self.claim(request, heartbeat, &owner);
        }
        if let Some(owner) = owner
            .as_ref()
            .filter(|owner| self.awaits_hand_over(&heartbeat, owner))
        {
            let owner = owner.clone();
            return self.await_map(request, heartbeat, &owner, DeferralReason::HandOver);
        }
        if let Some(owner) = owner
            .as_ref()
            .filter(|owner| self.is_overtaken(&heartbeat, owner))
        {
            let owner = owner.clone();
            return self.await_map(request, heartbeat, &owner, DeferralReason::Change);
        }
        // A machine without an owner is the leader's to place.
        let leader = || self.store.leader().map(|leader| leader.record.node.clone());
        let to = owner.map(|owner| owner.node).or_else(leader);
        self.redirect(request, to.filter(|node| *node != self.config.node));
    }

    /// Whether a worker that knows its owner's token is all the same to try that owner first.
    fn owner_first(&mut self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        let now = self.outbox.now;
        self.acts_on_failures()
            && self
                .relays
                .owner_first(&heartbeat.machine, owner.token, now)
    }

    /// Whether a worker knows its machine's owner, which this controller can reach, and is here.
    fn has_left(&self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        // A relayed machine may not have heard of its owner's fresh token yet.
        let knows = heartbeat.token == owner.token || self.relays.include(&heartbeat.machine);
        owner.node != self.config.node && knows && self.peers.hears(&owner.node, self.outbox.now)
    }

    /// Whether a machine's owner answers nobody, so that its worker is not to be sent there. Of one that is only
    /// suspected here that is certain if the worker comes from it.
    pub(crate) fn awaits_hand_over(&self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        if !self.acts_on_failures() {
            return false;
        }
        let suspected = self.peers.detector().stage(&owner.node) == Stage::Suspected;
        let comes_from_owner = heartbeat.token == owner.token;
        self.is_unreachable_owner(&owner.node, owner.incarnation) || (suspected && comes_from_owner)
    }

    /// Whether the map that is known here is older than what the worker has seen, or may be since the state
    /// service serves others only. Such a map led workers to owners that had lost them.
    fn is_overtaken(&self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        let cut_off =
            !self.reads_store() && self.peers.sibling_reading_store(self.outbox.now).is_some();
        self.acts_on_failures() && (heartbeat.token > owner.token || cut_off)
    }

    /// The worker waits here for the map. Where the state service is not heard the map does not change:
    /// then it goes on at once.
    fn await_map(
        &mut self,
        request: RequestId,
        heartbeat: Heartbeat,
        owner: &ShardOwner,
        reason: DeferralReason,
    ) {
        if self.deferred_heartbeats.are_full() || !self.reads_store() {
            return self.send_to_reachable(request);
        }
        self.wait_for_map(request, heartbeat, owner, reason);
    }

    /// The owner's answer, if this controller owns the machine and may act.
    pub(crate) fn handle_heartbeat(&mut self, heartbeat: Heartbeat) -> Option<Answer> {
        let holds_lease = self.ownership.holds_lease(self.outbox.now);
        let shard = self.shard.as_mut().filter(|_| holds_lease)?;
        shard.handle_heartbeat(&mut self.outbox, &self.store, &self.catalog, heartbeat)
    }

    pub(crate) fn redirect(&mut self, request: RequestId, to: Option<Node>) {
        if let Some(node) = &to {
            self.peers.note_redirect(node, self.outbox.now);
        }
        self.outbox
            .answer(request, Answer::value(421, redirect_to(to.as_ref())));
    }

    /// The worker is to try the next controller. Sent to an owner that it can't reach it would wait for
    /// that in vain for 4 s of its lease, which then ended before its machine had a new owner.
    pub(crate) fn send_elsewhere(&mut self, request: RequestId, owner: &Node) {
        self.peers.note_redirect(owner, self.outbox.now);
        self.outbox.answer(request, Answer::unavailable());
    }

    fn relay_heartbeat(&mut self, request: RequestId, owner: ShardOwner, heartbeat: Heartbeat) {
        let node = owner.node.clone();
        tracing::debug!(
            "{} does not reach {node}: its report is relayed",
            heartbeat.machine
        );
        self.peers.note_redirect(&node, self.outbox.now);
        self.peers
            .detector_mut()
            .worker_left(&node, self.outbox.now);
        let message = MeshMessage::Heartbeat(Box::new(heartbeat.clone()));
        let pending = Pending::RelayedHeartbeat {
            request,
            owner,
            heartbeat: Box::new(heartbeat),
        };
        self.outbox.mesh(pending, &node, message);
    }

    /// A sibling relays a report of one of our machines. It is never passed on from here, and it is
    /// no sign that workers reach this controller.
    pub(crate) fn relayed_heartbeat(&mut self, request: RequestId, heartbeat: Heartbeat) {
        let now = self.outbox.now;
        if let Some(owner) = self.shard.as_mut() {
            owner.note_relayed(&heartbeat.machine, now);
        }
        let answer = match self.handle_heartbeat(heartbeat) {
            Some(Answer {
                status: 200,
                body: Body::HeartbeatResponse(commands),
                ..
            }) => Some(commands),
            _ => None,
        };
        self.outbox
            .mesh_answer(request, MeshReply::HeartbeatResponse(answer));
    }

    pub(crate) fn heartbeat_relayed(
        &mut self,
        request: RequestId,
        owner: &ShardOwner,
        heartbeat: Heartbeat,
        answer: Option<HeartbeatResponse>,
    ) {
        self.relays.end();
        match answer {
            Some(commands) => {
                let body = Body::HeartbeatResponse(commands);
                self.outbox.answer(
                    request,
                    Answer {
                        status: 200,
                        body,
                        retry_after: None,
                    },
                );
            }
            // Whoever gives up a share takes no more reports: the map is about to change.
            None if self.acts_on_failures() => {
                self.await_map(request, heartbeat, owner, DeferralReason::Change);
            }
            None => self.send_elsewhere(request, &owner.node),
        }
    }
}

#[cfg(test)]
mod tests;
