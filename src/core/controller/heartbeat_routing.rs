//! Which controller answers a worker's heartbeat.
//!
//! A worker sends its heartbeats to one controller at a time; one that does not own its machine redirects it
//! to the owner. A worker that has shown the owner's present fencing token was there already and has left
//! again, so it cannot reach the owner: then its heartbeat is relayed, once, so that its lease does not
//! expire meanwhile. While a token is new, the worker may have received it in a direct message
//! ([`crate::core::controller::acquired_machines`]) and not have been at the owner yet.

mod relays;

pub use relays::HeartbeatRelays;

use crate::core::Core;
use crate::core::controller::deferred_heartbeats::DeferralReason;
use crate::core::effects::pending::Pending;
use crate::core::effects::{Answer, Body, RequestId};
use crate::core::messages::mesh::{MeshMessage, MeshReply};
use crate::core::records::shard_map::ShardOwner;
use crate::ids::Node;
use crate::wire::{Heartbeat, HeartbeatResponse, redirect_to};
use failure_detector::Stage;
use relays::RelayDecision;

/// HTTP status that sends a worker to another controller.
const MISDIRECTED: u16 = 421;

impl Core {
    /// Answers a worker's heartbeat, or sends the worker to its machine's owner.
    pub(crate) fn receive_heartbeat(&mut self, request: RequestId, heartbeat: Heartbeat) {
        if let Some(answer) = self.handle_heartbeat(&heartbeat) {
            self.peers.note_worker_contact(self.outbox.now);
            return self.outbox.answer(request, answer);
        }
        let owners = &self.store.owners().machines;
        match owners.get(&heartbeat.machine).cloned() {
            Some(owner) => self.route_to_owner(request, heartbeat, owner),
            None => self.route_unassigned(request, &heartbeat),
        }
    }

    /// A machine without an owner: the leader assigns it.
    fn route_unassigned(&mut self, request: RequestId, heartbeat: &Heartbeat) {
        let holds_lease = self.ownership.holds_lease(self.outbox.now);
        if let Some(leader) = self.leader.as_mut().filter(|_| holds_lease) {
            leader.add_unassigned_machine(heartbeat);
        }
        let leader = self.store.leader().map(|leader| leader.record.node.clone());
        self.redirect_to_sibling(request, leader);
    }

    /// A machine whose owner did not answer here: its heartbeat is relayed or deferred, or its worker is
    /// sent on.
    fn route_to_owner(&mut self, request: RequestId, heartbeat: Heartbeat, owner: ShardOwner) {
        if self.has_left_owner(&heartbeat, &owner) && !self.must_try_owner(&heartbeat, &owner) {
            match self.relays.begin_relay(&heartbeat.machine, self.outbox.now) {
                RelayDecision::Relay => return self.relay_heartbeat(request, owner, heartbeat),
                RelayDecision::TryNextController => {
                    return self.send_to_next_controller(request, &owner.node);
                }
                RelayDecision::TryOwner => {}
            }
        }
        if self.should_claim(&heartbeat, &owner) {
            return self.claim_machine(request, heartbeat, &owner);
        }
        if self.awaits_failover(&heartbeat, &owner) {
            return self.defer_or_redirect(request, heartbeat, &owner, DeferralReason::Failover);
        }
        if self.shard_map_may_be_stale(&heartbeat, &owner) {
            return self.defer_or_redirect(request, heartbeat, &owner, DeferralReason::MapChange);
        }
        self.redirect_to_sibling(request, Some(owner.node));
    }

    /// Whether a worker that knows its owner's token is to try that owner before its heartbeats are relayed.
    fn must_try_owner(&mut self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        let now = self.outbox.now;
        self.acts_on_failures()
            && self
                .relays
                .must_try_owner(&heartbeat.machine, owner.token, now)
    }

    /// Whether a worker has been at its machine's owner, which this controller can reach, and is here now.
    fn has_left_owner(&self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        // A relayed machine may not have received its owner's new token yet.
        let knows_owner =
            heartbeat.token == owner.token || self.relays.contains(&heartbeat.machine);
        owner.node != self.config.node
            && knows_owner
            && self.peers.hears(&owner.node, self.outbox.now)
    }

    /// Whether a machine's owner answers no worker, so that this one is not to be sent there. Of an owner
    /// that is only suspected here this is certain if the worker comes from it.
    fn awaits_failover(&self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        if !self.acts_on_failures() {
            return false;
        }
        let is_suspected = self.peers.detector().stage(&owner.node) == Stage::Suspected;
        let comes_from_owner = heartbeat.token == owner.token;
        self.is_unreachable_owner(&owner.node, owner.incarnation)
            || (is_suspected && comes_from_owner)
    }

    /// Whether the shard map that is known here is older than what the worker has seen, or may be because
    /// only siblings reach the store. It would send workers to owners that have lost their machines.
    fn shard_map_may_be_stale(&self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        let is_cut_off =
            !self.reads_store() && self.peers.sibling_reading_store(self.outbox.now).is_some();
        self.acts_on_failures() && (heartbeat.token > owner.token || is_cut_off)
    }

    /// Defers a heartbeat until the shard map has changed. Without the store the map does not change:
    /// then the worker is redirected at once.
    fn defer_or_redirect(
        &mut self,
        request: RequestId,
        heartbeat: Heartbeat,
        owner: &ShardOwner,
        reason: DeferralReason,
    ) {
        if self.deferred_heartbeats.is_full() || !self.reads_store() {
            return self.redirect_to_reachable(request);
        }
        self.defer_heartbeat(request, heartbeat, owner, reason);
    }

    /// The owner's answer, if this controller owns the machine and holds its ownership lease.
    pub(super) fn handle_heartbeat(&mut self, heartbeat: &Heartbeat) -> Option<Answer> {
        let now = self.outbox.now;
        let holds_lease = self.ownership.holds_lease(now);
        let shard = self.shard.as_mut().filter(|_| holds_lease)?;
        shard.handle_heartbeat(&self.store, &self.catalog, heartbeat, now)
    }

    /// Sends a worker to this controller, unless it is this one.
    fn redirect_to_sibling(&mut self, request: RequestId, to: Option<Node>) {
        self.redirect(request, to.filter(|node| *node != self.config.node));
    }

    /// Sends a worker to this controller, or to any other if none is named.
    pub(super) fn redirect(&mut self, request: RequestId, to: Option<Node>) {
        if let Some(node) = &to {
            self.peers.note_redirect(node, self.outbox.now);
        }
        let answer = Answer::value(MISDIRECTED, redirect_to(to.as_ref()));
        self.outbox.answer(request, answer);
    }

    /// Makes a worker try the next controller. If it were sent to an owner that it can't reach, it would
    /// wait there in vain for 4 s of its lease, which then could expire before its machine had a new owner.
    pub(crate) fn send_to_next_controller(&mut self, request: RequestId, owner: &Node) {
        self.peers.note_redirect(owner, self.outbox.now);
        self.outbox.answer(request, Answer::unavailable());
    }

    fn relay_heartbeat(&mut self, request: RequestId, owner: ShardOwner, heartbeat: Heartbeat) {
        let now = self.outbox.now;
        let node = owner.node.clone();
        tracing::debug!(
            machine = %heartbeat.machine,
            owner = %node,
            "heartbeat relayed: its worker does not reach the owner"
        );
        self.peers.note_redirect(&node, now);
        self.peers.detector_mut().worker_left(&node, now);
        let message = MeshMessage::Heartbeat(Box::new(heartbeat.clone()));
        let pending = Pending::RelayedHeartbeat {
            request,
            owner,
            heartbeat: Box::new(heartbeat),
        };
        self.outbox.mesh(pending, &node, message);
    }

    /// Answers a heartbeat that a sibling relays. It is never relayed again from here, and is no sign that
    /// workers reach this controller.
    pub(crate) fn answer_relayed_heartbeat(&mut self, request: RequestId, heartbeat: &Heartbeat) {
        if let Some(shard) = self.shard.as_mut() {
            shard.record_relayed_heartbeat(&heartbeat.machine, self.outbox.now);
        }
        let response = match self.handle_heartbeat(heartbeat) {
            Some(Answer {
                status: 200,
                body: Body::HeartbeatResponse(response),
                ..
            }) => Some(response),
            _ => None,
        };
        let reply = MeshReply::HeartbeatResponse(response);
        self.outbox.mesh_answer(request, reply);
    }

    /// The owner has answered a relayed heartbeat, or refused it or not answered (None).
    pub(crate) fn finish_heartbeat_relay(
        &mut self,
        request: RequestId,
        owner: &ShardOwner,
        heartbeat: Heartbeat,
        response: Option<HeartbeatResponse>,
    ) {
        self.relays.end_relay();
        match response {
            Some(response) => {
                let answer = Answer {
                    status: 200,
                    body: Body::HeartbeatResponse(response),
                    retry_after: None,
                };
                self.outbox.answer(request, answer);
            }
            // A controller that gives up its shard answers no heartbeats: the map is about to change.
            None if self.acts_on_failures() => {
                self.defer_or_redirect(request, heartbeat, owner, DeferralReason::MapChange);
            }
            None => self.send_to_next_controller(request, &owner.node),
        }
    }
}

#[cfg(test)]
mod tests;
