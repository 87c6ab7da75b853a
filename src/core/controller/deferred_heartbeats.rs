//! Heartbeats whose answers wait for a change of the shard map, since their machines are about to have another
//! owner. A worker that is sent to an owner that does not answer waits there for seconds of its lease; so
//! its heartbeat is kept here for a moment instead, and it is then sent to a controller that answers.

use crate::config::Config;
use crate::core::Core;
use crate::core::effects::{Answer, RequestId};
use crate::core::model::time::Time;
use crate::core::records::shard_map::ShardOwner;
use crate::ids::Node;
use crate::wire::Heartbeat;
use failure_detector::Stage;

/// Part of a heartbeat interval for which the heartbeat of a claimed machine is deferred. If the machine is
/// not owned here by then, its worker tries another controller.
const CLAIM_WAIT_HEARTBEATS: f64 = 0.4;

/// Part of a heartbeat interval for which the heartbeat of a machine whose owner has failed is deferred.
const OWNER_CHANGE_WAIT_HEARTBEATS: f64 = 0.7;

/// Heartbeats deferred at once at most, as a part of the limit on sockets.
const DEFERRED_PER_SOCKET: f64 = 0.25;

/// What a heartbeat waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeferralReason {
    /// The machine is claimed, and will be owned by this controller.
    Claim,
    /// The machine's owner has failed, and the next one is not known yet. The failed one may answer again.
    Failover,
    /// The machine's owner does not answer its heartbeats any more, or has lost the machine: the shard map
    /// must name another owner.
    MapChange,
}

/// A heartbeat that is answered once the shard map has changed.
struct DeferredHeartbeat {
    request: RequestId,
    heartbeat: Heartbeat,
    /// The owner of the machine when the heartbeat was received.
    owner: ShardOwner,
    reason: DeferralReason,
    until: Time,
}

/// All heartbeats that are deferred.
pub struct DeferredHeartbeats {
    heartbeats: Vec<DeferredHeartbeat>,
    limit: usize,
    interval_s: Time,
}

impl DeferredHeartbeats {
    /// No heartbeat is deferred yet.
    pub fn new(config: &Config) -> Self {
        let deployment = &config.deployment;
        let sockets = deployment.limits.fd_limit as f64;
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a part of the file descriptors, rounded down"
        )]
        let limit = (sockets * DEFERRED_PER_SOCKET) as usize;
        Self {
            heartbeats: Vec::new(),
            limit,
            interval_s: deployment.workers.report_s,
        }
    }

    /// Whether no further heartbeat may be deferred.
    pub fn is_full(&self) -> bool {
        self.heartbeats.len() >= self.limit
    }

    /// Seconds for which a heartbeat is deferred.
    fn wait_s(&self, reason: DeferralReason) -> Time {
        let intervals = match reason {
            DeferralReason::Claim => CLAIM_WAIT_HEARTBEATS,
            DeferralReason::Failover | DeferralReason::MapChange => OWNER_CHANGE_WAIT_HEARTBEATS,
        };
        self.interval_s * intervals
    }
}

/// What is to be done with a deferred heartbeat now.
enum Disposition {
    /// It stays deferred.
    Wait,
    /// Its machine is owned here: it is answered.
    Answer,
    /// Its machine has an owner that answers: its worker is sent there.
    Redirect(Node),
    /// Its owner, which its worker does not reach, has a new token for the machine: it is routed again.
    RouteAgain,
    /// Its time is over: its worker tries another controller.
    GiveUp,
}

impl Core {
    /// Keeps a heartbeat until the shard map has changed.
    pub(super) fn defer_heartbeat(
        &mut self,
        request: RequestId,
        heartbeat: Heartbeat,
        owner: &ShardOwner,
        reason: DeferralReason,
    ) {
        let deferred = DeferredHeartbeat {
            request,
            heartbeat,
            owner: owner.clone(),
            reason,
            until: self.outbox.now + self.deferred_heartbeats.wait_s(reason),
        };
        self.deferred_heartbeats.heartbeats.push(deferred);
        self.store.want_sync();
    }

    /// Answers the heartbeats of machines that are owned here now, and sends workers on whose time is over.
    pub(crate) fn answer_deferred_heartbeats(&mut self) {
        for deferred in std::mem::take(&mut self.deferred_heartbeats.heartbeats) {
            match self.disposition(&deferred) {
                Disposition::Wait => self.deferred_heartbeats.heartbeats.push(deferred),
                Disposition::Answer => self.answer_deferred(deferred),
                Disposition::Redirect(owner) => self.redirect(deferred.request, Some(owner)),
                Disposition::RouteAgain => {
                    self.receive_heartbeat(deferred.request, deferred.heartbeat)
                }
                Disposition::GiveUp => self.give_up_deferred(&deferred),
            }
        }
        if !self.deferred_heartbeats.heartbeats.is_empty() {
            self.store.want_sync();
        }
    }

    fn disposition(&self, deferred: &DeferredHeartbeat) -> Disposition {
        let owners = &self.store.owners().machines;
        let owner = owners.get(&deferred.heartbeat.machine);
        if owner.is_some_and(|owner| owner.node == self.config.node) && self.may_answer() {
            return Disposition::Answer;
        }
        if let Some(owner) = owner
            && self.owner_answers(owner)
            && let Some(disposition) = route_to_new_owner(owner, deferred)
        {
            return disposition;
        }
        if self.outbox.now >= deferred.until {
            Disposition::GiveUp
        } else {
            Disposition::Wait
        }
    }

    /// Whether this controller may answer the heartbeats of its machines.
    fn may_answer(&self) -> bool {
        self.shard.is_some() && self.ownership.holds_lease(self.outbox.now)
    }

    fn owner_answers(&self, owner: &ShardOwner) -> bool {
        self.peers.detector().stage(&owner.node) == Stage::Alive
            && !self.is_unreachable_owner(&owner.node, owner.incarnation)
    }

    fn answer_deferred(&mut self, deferred: DeferredHeartbeat) {
        match self.handle_heartbeat(&deferred.heartbeat) {
            Some(answer) => {
                self.peers.note_worker_contact(self.outbox.now);
                self.outbox.answer(deferred.request, answer);
            }
            None if self.outbox.now >= deferred.until => self.give_up_deferred(&deferred),
            None => self.deferred_heartbeats.heartbeats.push(deferred),
        }
    }

    fn give_up_deferred(&mut self, deferred: &DeferredHeartbeat) {
        match deferred.reason {
            DeferralReason::Claim => {
                self.send_to_next_controller(deferred.request, &deferred.owner.node)
            }
            DeferralReason::Failover | DeferralReason::MapChange => {
                self.redirect_to_reachable(deferred.request);
            }
        }
    }

    /// Sends a worker to the next controller that answers, instead of one that would keep it waiting.
    pub(super) fn redirect_to_reachable(&mut self, request: RequestId) {
        let now = self.outbox.now;
        let serves = |node: &&Node| self.can_serve(node);
        let after = self
            .peers
            .heard(now)
            .filter(serves)
            .find(|node| **node > self.config.node);
        let next = after
            .or_else(|| self.peers.heard(now).find(serves))
            .cloned();
        match next {
            Some(node) => self.redirect(request, Some(node)),
            None => self.outbox.answer(request, Answer::unavailable()),
        }
    }
}

/// What is to be done with a deferred heartbeat whose machine has this owner, which answers; None if that
/// owner is not what the heartbeat waits for.
fn route_to_new_owner(owner: &ShardOwner, deferred: &DeferredHeartbeat) -> Option<Disposition> {
    let before = &deferred.owner;
    match deferred.reason {
        DeferralReason::Claim => None,
        DeferralReason::Failover => Some(Disposition::Redirect(owner.node.clone())),
        DeferralReason::MapChange if !owner.is(&before.node, before.incarnation) => {
            Some(Disposition::Redirect(owner.node.clone()))
        }
        DeferralReason::MapChange => {
            (owner.token != before.token).then_some(Disposition::RouteAgain)
        }
    }
}

#[cfg(test)]
mod tests;
