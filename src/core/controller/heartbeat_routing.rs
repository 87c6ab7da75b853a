//! Routes a worker's heartbeat to the controller that answers it.
//!
//! A worker sends its heartbeats to one controller at a time. A controller that does not own the worker's
//! machine redirects the worker to the owner. If the worker shows the owner's present fencing token, it has
//! been at the owner and left again, so it cannot reach the owner. Its heartbeats are then relayed, so that
//! its lease does not expire. A relayed heartbeat is never relayed again. While a token is new, the worker
//! may have received it in a direct message ([`crate::core::controller::acquired_machines`]) and may not
//! have tried the owner yet.

mod relays;

pub use relays::HeartbeatRelays;

use crate::core::Core;
use crate::core::controller::deferred_heartbeats::DeferralReason;
use crate::core::effects::pending::Pending;
use crate::core::effects::{Answer, Body, RequestId};
use crate::core::messages::mesh::{MeshMessage, MeshReply};
use crate::core::records::shard_map::ShardOwner;
use crate::ids::ControllerName;
use crate::wire::{Heartbeat, HeartbeatResponse, redirect_answer};
use failure_detector::Stage;
use relays::RelayDecision;

/// HTTP status of an answer that redirects a worker to another controller.
const MISDIRECTED: u16 = 421;

impl Core {
    /// Answers the heartbeat if this controller owns the worker's machine, and routes it to the owner
    /// otherwise.
    pub(crate) fn receive_heartbeat(&mut self, request: RequestId, heartbeat: Heartbeat) {
        if let Some(answer) = self.handle_heartbeat(&heartbeat) {
            self.peers.record_worker_contact(self.outbox.now);
            return self.outbox.answer(request, answer);
        }
        let shard_map = self.store.shard_map();
        match shard_map.machines.get(&heartbeat.machine).cloned() {
            Some(owner) => self.route_to_owner(request, heartbeat, owner),
            None => self.route_unassigned(request, &heartbeat),
        }
    }

    /// Routes the heartbeat of a machine that has no owner. The leader records the machine, so that it can
    /// assign it, and redirects the worker to any other controller. Any other controller redirects the worker
    /// to the leader.
    fn route_unassigned(&mut self, request: RequestId, heartbeat: &Heartbeat) {
        let holds_lease = self.ownership.holds_lease(self.outbox.now);
        if let Some(leader) = self.leader.as_mut().filter(|_| holds_lease) {
            leader.add_unassigned_machine(heartbeat);
        }
        let leader = self.store.leader().map(|leader| leader.record.node.clone());
        self.redirect_to_sibling(request, leader);
    }

    /// Routes a heartbeat that this controller cannot answer itself: relays or defers it, claims the
    /// machine, or redirects the worker.
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

    /// Whether a worker that knows its owner's token must try the owner before its heartbeats are relayed.
    fn must_try_owner(&mut self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        let now = self.outbox.now;
        self.acts_on_failures()
            && self
                .relays
                .must_try_owner(&heartbeat.machine, owner.token, now)
    }

    /// Whether a worker has already been at its machine's owner and left it, and this controller can reach
    /// that owner.
    fn has_left_owner(&self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        // The worker of a relayed machine may not have received the owner's new token yet.
        let knows_owner =
            owner.includes(heartbeat.token) || self.relays.contains(&heartbeat.machine);
        owner.node != self.config.controller
            && knows_owner
            && self.peers.is_reachable(&owner.node, self.outbox.now)
    }

    /// Whether a worker must not be sent to its machine's owner, because the owner answers no worker. A
    /// suspected owner counts as such for workers that come from it.
    fn awaits_failover(&self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        if !self.acts_on_failures() {
            return false;
        }
        let is_suspected = self.peers.detector().stage(&owner.node) == Stage::Suspected;
        let comes_from_owner = owner.includes(heartbeat.token);
        self.is_unreachable_owner(&owner.node, owner.incarnation)
            || (is_suspected && comes_from_owner)
    }

    /// Whether this controller's copy of the shard map is older than the worker's token, or may be out of
    /// date because only siblings can read the store. A stale map names owners that have lost their
    /// machines.
    fn shard_map_may_be_stale(&self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        let is_cut_off =
            !self.reads_store() && self.peers.sibling_reading_store(self.outbox.now).is_some();
        self.acts_on_failures() && (heartbeat.token > owner.highest_token() || is_cut_off)
    }

    /// Defers a heartbeat until the shard map has changed. Redirects the worker at once if too many
    /// heartbeats are deferred, or if this controller cannot read the store and so would not see the
    /// change.
    fn defer_or_redirect(
        &mut self,
        request: RequestId,
        heartbeat: Heartbeat,
        owner: &ShardOwner,
        reason: DeferralReason,
    ) {
        if self.deferred_heartbeats.is_full() || !self.reads_store() {
            return self.redirect_to_reachable_sibling(request);
        }
        self.defer_heartbeat(request, heartbeat, owner, reason);
    }

    /// Passes a heartbeat to this controller's shard and returns the answer. None if the shard does not own
    /// the machine, or if this controller does not hold its ownership lease.
    pub(super) fn handle_heartbeat(&mut self, heartbeat: &Heartbeat) -> Option<Answer> {
        let now = self.outbox.now;
        let holds_lease = self.ownership.holds_lease(now);
        let shard = self.shard.as_mut().filter(|_| holds_lease)?;
        shard.handle_heartbeat(&self.store, &self.catalog, heartbeat, now)
    }

    /// Redirects a worker to sibling `to`, or to any other controller if `to` is None or this controller.
    fn redirect_to_sibling(&mut self, request: RequestId, to: Option<ControllerName>) {
        self.redirect(request, to.filter(|node| *node != self.config.controller));
    }

    /// Redirects a worker to controller `to`, or to any other if that is None.
    pub(super) fn redirect(&mut self, request: RequestId, to: Option<ControllerName>) {
        if let Some(node) = &to {
            self.peers.record_redirect(node, self.outbox.now);
        }
        let answer = Answer::json(MISDIRECTED, redirect_answer(to.as_ref()));
        self.outbox.answer(request, answer);
    }

    /// Answers that this controller is unavailable, so that the worker tries the next one. A worker that is
    /// redirected to an owner that it can't reach waits there for 4 s. Its lease could then expire before its
    /// machine has a new owner.
    pub(crate) fn send_to_next_controller(&mut self, request: RequestId, owner: &ControllerName) {
        self.peers.record_redirect(owner, self.outbox.now);
        self.outbox.answer(request, Answer::unavailable());
    }

    fn relay_heartbeat(&mut self, request: RequestId, owner: ShardOwner, heartbeat: Heartbeat) {
        let now = self.outbox.now;
        let node = owner.node.clone();
        tracing::debug!(
            machine = %heartbeat.machine,
            owner = %node,
            "heartbeat relayed: its worker cannot reach the machine's owner"
        );
        self.peers.record_redirect(&node, now);
        self.peers.detector_mut().worker_left(&node, now);
        let message = MeshMessage::Heartbeat(Box::new(heartbeat.clone()));
        let pending = Pending::RelayedHeartbeat {
            request,
            owner,
            heartbeat: Box::new(heartbeat),
        };
        self.outbox.send_to_sibling(pending, &node, message);
    }

    /// Answers a heartbeat that a sibling has relayed. The heartbeat is not relayed further, and does not
    /// count as evidence that workers can reach this controller.
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
        self.outbox.answer_sibling(request, reply);
    }

    /// Ends the relay of a heartbeat. `response` is None if the owner refused the heartbeat or did not
    /// answer.
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
            // A controller that gives up its shard answers no heartbeats, and the shard map changes soon.
            None if self.acts_on_failures() => {
                self.defer_or_redirect(request, heartbeat, owner, DeferralReason::MapChange);
            }
            None => self.send_to_next_controller(request, &owner.node),
        }
    }
}

#[cfg(test)]
mod tests;
