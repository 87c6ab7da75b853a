//! Reports of workers that wait for the map: their machines are about to have another owner. A worker that is sent to
//! an owner that does not answer waits there for seconds of its lease; so it is kept here for a moment instead,
//! and then sent to another controller that answers.

use super::part_map::Owner as MapOwner;
use super::{Core, RequestId, Time};
use crate::config::Config;
use crate::ids::Node;
use crate::wire::Report;
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
pub enum WaitsFor {
    /// The machine is claimed and comes here.
    Claim,
    /// The machine's owner has failed; who is next is not known yet. It may answer again.
    HandOver,
    /// The machine's owner takes no reports of it any more, or has lost it: the map must name another.
    Change,
}

/// A report that is answered once the map has changed.
struct WaitingReport {
    request: RequestId,
    report: Report,
    /// Who owned the machine when the report came.
    owner: MapOwner,
    waits_for: WaitsFor,
    until: Time,
}

/// All reports that wait.
pub struct WaitingReports {
    reports: Vec<WaitingReport>,
    most: usize,
    report_s: Time,
}

impl WaitingReports {
    /// None yet.
    pub fn new(config: &Config) -> Self {
        let deployment = &config.deployment;
        Self {
            reports: Vec::new(),
            most: (deployment.limits.fd_limit as f64 * WAITING_PER_SOCKET) as usize,
            report_s: deployment.workers.report_s,
        }
    }

    /// Whether no further report may wait.
    pub fn are_full(&self) -> bool {
        self.reports.len() >= self.most
    }

    fn wait(&self, waits_for: WaitsFor) -> Time {
        self.report_s
            * match waits_for {
                WaitsFor::Claim => CLAIM_WAIT_REPORTS,
                WaitsFor::HandOver | WaitsFor::Change => HAND_OVER_WAIT_REPORTS,
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
    pub(super) fn wait_for_map(
        &mut self,
        request: RequestId,
        report: Report,
        owner: &MapOwner,
        waits_for: WaitsFor,
    ) {
        let until = self.io.now + self.waiting_reports.wait(waits_for);
        let owner = owner.clone();
        let waiting = WaitingReport {
            request,
            report,
            owner,
            waits_for,
            until,
        };
        self.waiting_reports.reports.push(waiting);
        self.view.want_sync();
    }

    /// Answers the reports of machines that have come here, and sends those away that have not.
    pub(super) fn answer_waiting_reports(&mut self) {
        for waiting in std::mem::take(&mut self.waiting_reports.reports) {
            match self.turn(&waiting) {
                Turn::Wait => self.waiting_reports.reports.push(waiting),
                Turn::Answer => self.answer_waiting_report(waiting),
                Turn::Redirect(owner) => self.redirect(waiting.request, Some(owner)),
                Turn::RouteAgain => self.report(waiting.request, waiting.report),
                Turn::GiveUp => self.give_up_waiting(waiting),
            }
        }
        if !self.waiting_reports.reports.is_empty() {
            self.view.want_sync();
        }
    }

    fn turn(&self, waiting: &WaitingReport) -> Turn {
        let owner = self.view.owners().machines.get(&waiting.report.machine);
        if owner.is_some_and(|owner| owner.node == self.config.node) && self.may_answer() {
            return Turn::Answer;
        }
        let answers = |owner: &&MapOwner| {
            self.peers.detector().stage(&owner.node) == Stage::Alive
                && !self.is_unreachable_owner(&owner.node, owner.incarnation)
        };
        let before = &waiting.owner;
        match owner
            .filter(answers)
            .map(|owner| (owner, waiting.waits_for))
        {
            Some((owner, WaitsFor::HandOver)) => Turn::Redirect(owner.node.clone()),
            Some((owner, WaitsFor::Change)) if !owner.is(&before.node, before.incarnation) => {
                Turn::Redirect(owner.node.clone())
            }
            Some((owner, WaitsFor::Change)) if owner.term != before.term => Turn::RouteAgain,
            _ if self.io.now >= waiting.until => Turn::GiveUp,
            _ => Turn::Wait,
        }
    }

    fn may_answer(&self) -> bool {
        self.owner.is_some() && self.authority.entitled(self.io.now)
    }

    fn answer_waiting_report(&mut self, waiting: WaitingReport) {
        match self.checkin(waiting.report.clone()) {
            Some(answer) => {
                self.peers.heard_workers(self.io.now);
                self.io.answer(waiting.request, answer);
            }
            None if self.io.now >= waiting.until => self.give_up_waiting(waiting),
            None => self.waiting_reports.reports.push(waiting),
        }
    }

    fn give_up_waiting(&mut self, waiting: WaitingReport) {
        match waiting.waits_for {
            WaitsFor::Claim => self.send_elsewhere(waiting.request, &waiting.owner.node),
            WaitsFor::HandOver | WaitsFor::Change => self.send_to_reachable(waiting.request),
        }
    }

    /// The worker is to go on with the next controller that answers, not with one that keeps it waiting.
    pub(super) fn send_to_reachable(&mut self, request: RequestId) {
        let now = self.io.now;
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
            None => self.io.answer(request, super::Answer::unavailable()),
        }
    }
}

#[cfg(test)]
mod tests;
