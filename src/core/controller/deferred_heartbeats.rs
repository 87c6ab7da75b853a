//! Defers heartbeats until the shard map has changed, because their machines are about to get another
//! owner. A worker that is sent to an owner that does not answer would wait there for seconds of its lease.
//! Instead, its heartbeat is kept here for less than one heartbeat interval, and is then answered or
//! redirected.

use crate::config::Config;
use crate::core::Core;
use crate::core::effects::{Answer, RequestId};
use crate::core::model::time::Time;
use crate::core::records::shard_map::ShardOwner;
use crate::ids::ControllerName;
use crate::wire::Heartbeat;
use failure_detector::Stage;

/// Time for which the heartbeat of a claimed machine is deferred, in heartbeat intervals. If this
/// controller does not own the machine by then, the worker tries another controller.
const CLAIM_WAIT_HEARTBEATS: f64 = 0.4;

/// Time for which the heartbeat of a machine that awaits another owner is deferred, in heartbeat intervals.
const OWNER_CHANGE_WAIT_HEARTBEATS: f64 = 0.7;

/// Maximum number of deferred heartbeats, as a fraction of the limit on file descriptors.
const DEFERRED_PER_FILE_DESCRIPTOR: f64 = 0.25;

/// The event that a deferred heartbeat awaits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeferralReason {
    /// This controller has claimed the machine, and the shard map is to make it the owner.
    Claim,
    /// The machine's owner has failed. Either another owner takes over, or the present one answers again.
    Failover,
    /// The machine's owner no longer answers its heartbeats, or has lost the machine. The shard map must name
    /// another owner or a new token.
    MapChange,
}

/// A heartbeat whose answer is deferred, with the state that was known when it was received.
struct DeferredHeartbeat {
    request: RequestId,
    heartbeat: Heartbeat,
    /// The machine's owner and its token when the heartbeat was received.
    owner: ShardOwner,
    reason: DeferralReason,
    /// When the worker is sent to another controller if nothing has changed.
    until: Time,
}

/// The heartbeats that this controller defers, and the limit on their number.
pub struct DeferredHeartbeats {
    heartbeats: Vec<DeferredHeartbeat>,
    /// Maximum number of deferred heartbeats.
    limit: usize,
    /// Seconds between two heartbeats of a worker.
    interval_s: Time,
}

impl DeferredHeartbeats {
    /// Creates an empty collection. Its limit depends on the settings.
    pub fn new(config: &Config) -> Self {
        let deployment = &config.deployment;
        let file_descriptors = deployment.limits.fd_limit as f64;
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a fraction of the file descriptors, rounded down"
        )]
        let limit = (file_descriptors * DEFERRED_PER_FILE_DESCRIPTOR) as usize;
        Self {
            heartbeats: Vec::new(),
            limit,
            interval_s: deployment.workers.report_s,
        }
    }

    /// Whether the limit is reached, so that no further heartbeat may be deferred.
    pub fn is_full(&self) -> bool {
        self.heartbeats.len() >= self.limit
    }

    /// Seconds for which a heartbeat with this reason is deferred.
    fn wait_s(&self, reason: DeferralReason) -> Time {
        let intervals = match reason {
            DeferralReason::Claim => CLAIM_WAIT_HEARTBEATS,
            DeferralReason::Failover | DeferralReason::MapChange => OWNER_CHANGE_WAIT_HEARTBEATS,
        };
        self.interval_s * intervals
    }
}

/// The action that is due for a deferred heartbeat.
enum Disposition {
    /// Keep it deferred.
    Wait,
    /// Answer it, because this controller owns its machine.
    Answer,
    /// Redirect its worker to the machine's owner, which answers workers.
    Redirect(ControllerName),
    /// Route it again. Its worker could not reach the owner, which now has a new token for the machine.
    RouteAgain,
    /// Send its worker to another controller, because the time limit has passed.
    GiveUp,
}

impl Core {
    /// Defers a heartbeat until the shard map has changed, and requests a read of the store.
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
        self.store.request_read();
    }

    /// Takes the action that is due for each deferred heartbeat.
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
            self.store.request_read();
        }
    }

    fn disposition(&self, deferred: &DeferredHeartbeat) -> Disposition {
        let shard_map = self.store.shard_map();
        let owner = shard_map.machines.get(&deferred.heartbeat.machine);
        if owner.is_some_and(|owner| owner.node == self.config.controller) && self.may_answer() {
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

    /// Whether this controller has a shard and may act as its owner.
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
                self.peers.record_worker_contact(self.outbox.now);
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
                self.redirect_to_reachable_sibling(deferred.request);
            }
        }
    }

    /// Redirects a worker to the next sibling by name that is reachable and can serve workers. The first name
    /// follows the last one. If there is no such sibling, answers that this controller is unavailable.
    pub(super) fn redirect_to_reachable_sibling(&mut self, request: RequestId) {
        let now = self.outbox.now;
        let serves = |node: &&ControllerName| self.can_serve(node);
        let after = self
            .peers
            .reachable_siblings(now)
            .filter(serves)
            .find(|node| **node > self.config.controller);
        let next = after
            .or_else(|| self.peers.reachable_siblings(now).find(serves))
            .cloned();
        match next {
            Some(node) => self.redirect(request, Some(node)),
            None => self.outbox.answer(request, Answer::unavailable()),
        }
    }
}

/// The action for a deferred heartbeat whose machine has `owner`, which answers workers. None if the
/// heartbeat must wait for another change.
fn route_to_new_owner(owner: &ShardOwner, deferred: &DeferredHeartbeat) -> Option<Disposition> {
    let before = &deferred.owner;
    match deferred.reason {
        DeferralReason::Claim => None,
        DeferralReason::Failover => Some(Disposition::Redirect(owner.node.clone())),
        DeferralReason::MapChange if !owner.is_process(&before.node, before.incarnation) => {
            Some(Disposition::Redirect(owner.node.clone()))
        }
        DeferralReason::MapChange => {
            (owner.token != before.token).then_some(Disposition::RouteAgain)
        }
    }
}

#[cfg(test)]
mod tests;
