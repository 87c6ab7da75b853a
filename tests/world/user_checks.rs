//! What users were told is checked against what has happened.

use super::users::RequestKind;
use super::{CANCEL_S, Event, World};
use ochredrum::core::effects::{Answer, Body};
use ochredrum::ids::JobId;
use ochredrum::wire::JobKind;

/// How long a job may wait without faults beside a machine that has room for it.
const STARVATION_S: f64 = 90.0;
/// How often waiting jobs are checked.
const CHECK_EVERY_S: f64 = 5.0;
/// How often users poll a job that has not ended.
const POLL_EVERY_S: f64 = 5.0;
/// How often users poll a job that has ended.
const POLL_AFTER_END_S: f64 = 20.0;
/// A job must have been answered for within this time at the end of a simulation.
const UNANSWERED_S: f64 = 75.0;

impl World {
    /// A user receives an answer, or sees that there will be none.
    pub(super) fn user_answered(
        &mut self,
        job: Option<usize>,
        kind: RequestKind,
        asked: f64,
        answer: Option<Answer>,
    ) {
        let status = answer.as_ref().map(|answer| answer.status);
        let Some(job) = job else {
            if matches!(status, Some(200 | 201)) {
                self.record_violation("invented", "a job that was never submitted".into());
            }
            return;
        };
        let job_status = match answer.map(|answer| answer.body) {
            Some(Body::Value(body)) => body["stance"].as_str().unwrap_or("").to_owned(),
            _ => String::new(),
        };
        let user = &mut self.users.jobs[job];
        let id = user.id.clone();
        match (kind, status) {
            (_, Some(200 | 201)) => {
                user.last_answered = self.now;
                if kind == RequestKind::Submit && !user.accepted {
                    user.accepted = true;
                    self.after(1.0, Event::Poll { job });
                    self.probe_all_controllers(job);
                }
                return self.check_told(job, kind, asked, &job_status);
            }
            (RequestKind::Poll | RequestKind::ProbePoll, Some(404)) if user.accepted => {
                self.record_violation("forgotten", format!("{id} is answered 404"));
            }
            (RequestKind::Submit | RequestKind::ProbeSubmit, Some(status @ (400 | 422)))
                if user.accepted =>
            {
                self.record_violation("forgotten", format!("{id} is answered {status}"));
            }
            _ => {}
        }
        match kind {
            RequestKind::Submit => self.after(1.0, Event::Submit { job }),
            RequestKind::Cancel => self.after(1.0, Event::Cancel { job }),
            RequestKind::Poll => self.after(POLL_EVERY_S, Event::Poll { job }),
            RequestKind::ProbePoll | RequestKind::ProbeSubmit | RequestKind::Unusual => {}
        }
    }

    /// Checks a status that a user was told.
    ///
    /// A request that was sent before something was told may still be answered without it: answers to overlapping
    /// requests arrive in any order (random scenario 1026).
    fn check_told(&mut self, job: usize, kind: RequestKind, asked: f64, status: &str) {
        let user = &self.users.jobs[job];
        let id = user.id.clone();
        let had_ended = user.done_reported_at.is_some() || user.cancelled_reported_at.is_some();
        match status {
            "done" => self.told_done(job),
            "withdrawn" => self.told_cancelled(job),
            _ => self.told_active(job, asked, status),
        }
        let user = &self.users.jobs[job];
        let has_ended = user.done_reported_at.is_some() || user.cancelled_reported_at.is_some();
        if has_ended && !had_ended {
            self.probe_all_controllers(job);
        }
        if matches!(kind, RequestKind::ProbePoll | RequestKind::ProbeSubmit) {
            return;
        }
        // Users may poll at any later time, only less often.
        let delay = if has_ended {
            POLL_AFTER_END_S
        } else {
            POLL_EVERY_S
        };
        self.after(delay, Event::Poll { job });
        if self.users.cancelled_for_long(&id, self.now) && self.tasks_on(&id) > 0 {
            self.record_violation("ran_cancelled", format!("{id} still has tasks"));
        }
    }

    fn told_done(&mut self, job: usize) {
        let now = self.now;
        let user = &mut self.users.jobs[job];
        let id = user.id.clone();
        let unfinished = (user.finished.len() as u32) < user.spec.tasks;
        let was_cancelled = user.cancelled_reported_at.is_some();
        user.done_reported_at = user.done_reported_at.or(Some(now));
        if unfinished {
            self.record_violation("not_done", format!("{id} is called done"));
        }
        if was_cancelled {
            // Both are final: the order of the requests does not matter.
            self.record_violation("went_back", format!("{id} was cancelled, is called done"));
        }
    }

    fn told_cancelled(&mut self, job: usize) {
        let now = self.now;
        let id = self.users.id(job);
        let cancel_requested = self.users.is_cancel_requested(&id);
        let user = &mut self.users.jobs[job];
        let was_done = user.done_reported_at.is_some();
        let first = user.cancelled_reported_at.is_none();
        user.cancelled_reported_at = user.cancelled_reported_at.or(Some(now));
        if !cancel_requested || was_done {
            self.record_violation("went_back", format!("{id} is called cancelled"));
        }
        if first {
            self.after(CANCEL_S + 0.01, Event::CancelDue { job });
        }
    }

    /// A job that has not ended, as far as the answer says.
    fn told_active(&mut self, job: usize, asked: f64, status: &str) {
        let user = &self.users.jobs[job];
        let id = user.id.clone();
        let ended = user.done_reported_at.or(user.cancelled_reported_at);
        let dependency_cancelled = self.users.dependency_cancelled_at(&id);
        if ended.is_some_and(|ended| ended < asked) {
            self.record_violation("went_back", format!("{id} is called {status}"));
        }
        if dependency_cancelled.is_some_and(|at| asked > at + CANCEL_S) {
            self.record_violation("orphaned", format!("{id} is called {status}"));
        }
    }

    /// Checks, `cancel_s` after its user was told of the cancellation, that no task of a job is left. This does not
    /// wait for a poll, because in an outage polls may go unanswered.
    pub(super) fn cancel_due(&mut self, job: usize) {
        let id = self.users.jobs[job].id.clone();
        let left = self.tasks_on(&id);
        if left > 0 {
            self.record_violation("ran_cancelled", format!("{id} still has {left} tasks"));
        }
    }

    /// Checks that, without faults, no job is left waiting while a suitable machine has room and its team is below
    /// its limit.
    pub(super) fn check_starvation(&mut self) {
        let now = self.now;
        let all_up = self
            .nodes
            .iter()
            .all(|node| node.core.is_some() && now >= node.frozen_until);
        if !self.network.is_calm() || !all_up {
            self.calm_since = now;
        }
        for index in 0..self.users.jobs.len() {
            let user = &self.users.jobs[index];
            let waits = now > self.calm_since
                && user.accepted
                && user.done_reported_at.is_none()
                && self.users.dependency_cancelled_at(&user.id).is_none()
                && self.users.unfinished_dependency(&user.id).is_none()
                && (user.finished.len() as u32) < user.spec.tasks
                && self.tasks_on(&user.id) == 0
                && self.has_room(&user.spec);
            let id = user.id.clone();
            let since = &mut self.users.jobs[index].waiting_since;
            *since = if waits { since.or(Some(now)) } else { None };
            if since.is_some_and(|since| now > since + STARVATION_S) {
                *since = None;
                self.record_violation("starved", format!("{id} waits beside a machine with room"));
            }
        }
        self.after(CHECK_EVERY_S, Event::CheckStarvation);
    }

    /// Checks what a scenario expects of a job at this moment; otherwise its faults do not interact as intended.
    pub(super) fn expect(&mut self, job: usize, what: &str) {
        let user = &self.users.jobs[job];
        let id = user.id.clone();
        let met = match what {
            "accepted" => user.accepted,
            "cancelled" => user.cancelled_reported_at.is_some(),
            "done" => user.done_reported_at.is_some(),
            "running" => self.tasks_on(&id) > 0,
            "idle" => self.tasks_on(&id) == 0,
            // Each of its tasks has started once at most.
            "without_restarts" => user.starts <= user.spec.tasks,
            other => panic!("expect {other:?}?"),
        };
        if !met {
            self.record_violation("expectation_not_met", format!("{id} is not {what}"));
        }
    }

    /// Jobs that are not as their users may expect once all faults are over, with the reason.
    pub(super) fn unserved(&self) -> Vec<(JobId, String)> {
        let mut unserved = Vec::new();
        for user in &self.users.jobs {
            let on = self.tasks_on(&user.id);
            let problem = if self.now > user.last_answered + UNANSWERED_S && user.accepted {
                Some("no controller answers for it".to_owned())
            } else if !user.accepted {
                Some("not accepted".to_owned())
            } else if self.users.dependency_cancelled_at(&user.id).is_some()
                && user.cancelled_reported_at.is_none()
            {
                Some("what it needs is cancelled, and it is not".to_owned())
            } else if user.cancelled_reported_at.is_some() {
                (on > 0).then(|| format!("cancelled, {on} tasks on machines"))
            } else if user.spec.kind == JobKind::Service {
                (on < user.spec.tasks as usize).then(|| format!("{on} of {} up", user.spec.tasks))
            } else {
                user.done_reported_at
                    .is_none()
                    .then(|| format!("{} done, {on} on machines", user.finished.len()))
            };
            unserved.extend(problem.map(|problem| (user.id.clone(), problem)));
        }
        unserved
    }
}
