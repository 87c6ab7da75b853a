//! Reports of workers that wait for the map: their machines are about to have another owner. A worker that is sent to
//! an owner that does not answer waits there for seconds of its lease; so it is kept here for a moment instead,
//! and then sent to another controller that answers.

use crate::config::Config;
use crate::core::Core;
use crate::core::effects::{Answer, RequestId};
use crate::core::model::time::Time;
use crate::core::records::shard_map::ShardOwner;
use crate::ids::Node;
use crate::wire::Heartbeat;
use failure_detector::Stage;

/// Part of the time between two reports for which a claimed machine's report waits for the map. If the
/// machine is not here by then, its worker tries another controller.
const CLAIM_WAIT_REPORTS: f64 = 0.4;

/// Time between reports for which the report of a machine whose owner has failed waits for the hand-over.
const HAND_OVER_WAIT_REPORTS: f64 = 0.7;

/// Reports that wait for the map at most, as a part of the limit on sockets.
const WAITING_PER_SOCKET: f64 = 0.25;

/// What a report waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeferralReason {
    /// The machine is claimed and comes here.
    Claim,
    /// The machine's owner has failed; who is next is not known yet. It may answer again.
    HandOver,
    /// The machine's owner takes no reports of it any more, or has lost it: the map must name another.
    Change,
}

/// A report that is answered once the map has changed.
struct DeferredHeartbeat {
    request: RequestId,
    heartbeat: Heartbeat,
    /// Who owned the machine when the report came.
    owner: ShardOwner,
    reason: DeferralReason,
    until: Time,
}

/// All reports that wait.
pub struct DeferredHeartbeats {
    heartbeats: Vec<DeferredHeartbeat>,
    most: usize,
    report_s: Time,
}

impl DeferredHeartbeats {
    /// None yet.
    pub fn new(config: &Config) -> Self {
        let deployment = &config.deployment;
        Self {
            heartbeats: Vec::new(),
            most: (deployment.limits.fd_limit as f64 * WAITING_PER_SOCKET) as usize,
            report_s: deployment.workers.report_s,
        }
    }

    /// Whether no further report may wait.
    pub fn are_full(&self) -> bool {
        self.heartbeats.len() >= self.most
    }

    fn wait(&self, reason: DeferralReason) -> Time {
        self.report_s
            * match reason {
                DeferralReason::Claim => CLAIM_WAIT_REPORTS,
                DeferralReason::HandOver | DeferralReason::Change => HAND_OVER_WAIT_REPORTS,
            }
    }
}

/// What is to be done with a waiting report now.
enum Turn {
    Wait,
    /// Its machine is here.
    Answer,
    /// Its machine has an owner that answers.
    Redirect(Node),
    /// Its owner, whom its worker does not reach, has a fresh token for it.
    RouteAgain,
    GiveUp,
}

impl Core {
    /// Keeps a report until the map has changed.
    pub(crate) fn wait_for_map(
        &mut self,
        request: RequestId,
        heartbeat: Heartbeat,
        owner: &ShardOwner,
        reason: DeferralReason,
    ) {
        let until = self.outbox.now + self.deferred_heartbeats.wait(reason);
        let owner = owner.clone();
        let waiting = DeferredHeartbeat {
            request,
            heartbeat,
            owner,
            reason,
            until,
        };
        self.deferred_heartbeats.heartbeats.push(waiting);
        self.store.want_sync();
    }

    /// Answers the reports of machines that have come here, and sends those away that have not.
    pub(crate) fn answer_waiting_reports(&mut self) {
        for waiting in std::mem::take(&mut self.deferred_heartbeats.heartbeats) {
            match self.turn(&waiting) {
                Turn::Wait => self.deferred_heartbeats.heartbeats.push(waiting),
                Turn::Answer => self.answer_waiting_report(waiting),
                Turn::Redirect(owner) => self.redirect(waiting.request, Some(owner)),
                Turn::RouteAgain => self.heartbeat(waiting.request, waiting.heartbeat),
                Turn::GiveUp => self.give_up_waiting(waiting),
            }
        }
        if !self.deferred_heartbeats.heartbeats.is_empty() {
            self.store.want_sync();
        }
    }

    fn turn(&self, waiting: &DeferredHeartbeat) -> Turn {
        let owner = self.store.owners().machines.get(&waiting.heartbeat.machine);
        if owner.is_some_and(|owner| owner.node == self.config.node) && self.may_answer() {
            return Turn::Answer;
        }
        let answers = |owner: &&ShardOwner| {
            self.peers.detector().stage(&owner.node) == Stage::Alive
                && !self.is_unreachable_owner(&owner.node, owner.incarnation)
        };
        let before = &waiting.owner;
        match owner.filter(answers).map(|owner| (owner, waiting.reason)) {
            Some((owner, DeferralReason::HandOver)) => Turn::Redirect(owner.node.clone()),
            Some((owner, DeferralReason::Change))
                if !owner.is(&before.node, before.incarnation) =>
            {
                Turn::Redirect(owner.node.clone())
            }
            Some((owner, DeferralReason::Change)) if owner.token != before.token => {
                Turn::RouteAgain
            }
            _ if self.outbox.now >= waiting.until => Turn::GiveUp,
            _ => Turn::Wait,
        }
    }

    fn may_answer(&self) -> bool {
        self.shard.is_some() && self.ownership.holds_lease(self.outbox.now)
    }

    fn answer_waiting_report(&mut self, waiting: DeferredHeartbeat) {
        match self.handle_heartbeat(waiting.heartbeat.clone()) {
            Some(answer) => {
                self.peers.note_worker_contact(self.outbox.now);
                self.outbox.answer(waiting.request, answer);
            }
            None if self.outbox.now >= waiting.until => self.give_up_waiting(waiting),
            None => self.deferred_heartbeats.heartbeats.push(waiting),
        }
    }

    fn give_up_waiting(&mut self, waiting: DeferredHeartbeat) {
        match waiting.reason {
            DeferralReason::Claim => self.send_elsewhere(waiting.request, &waiting.owner.node),
            DeferralReason::HandOver | DeferralReason::Change => {
                self.send_to_reachable(waiting.request)
            }
        }
    }

    /// The worker is to go on with the next controller that answers, not with one that keeps it waiting.
    pub(crate) fn send_to_reachable(&mut self, request: RequestId) {
        let now = self.outbox.now;
        let usable = |node: &&Node| self.can_serve(node);
        let after = self
            .peers
            .heard(now)
            .filter(usable)
            .find(|node| **node > self.config.node);
        let next = after
            .or_else(|| self.peers.heard(now).find(usable))
            .cloned();
        match next {
            Some(node) => self.redirect(request, Some(node)),
            None => self.outbox.answer(request, Answer::unavailable()),
        }
    }
}

#[cfg(test)]
mod tests;
