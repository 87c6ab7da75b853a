//! Checks of the answers that users receive against the state of the simulation.

use super::users::RequestKind;
use super::{CANCEL_S, Event, World};
use ochredrum::core::effects::{Answer, Body};
use ochredrum::ids::JobId;
use ochredrum::wire::JobKind;

/// Seconds that a job may wait while no fault is in effect and a machine has room for it.
const STARVATION_S: f64 = 90.0;
/// Seconds between checks of waiting jobs.
const STARVATION_CHECK_INTERVAL_S: f64 = 5.0;
/// Seconds between polls of a job that has not ended.
const POLL_INTERVAL_S: f64 = 5.0;
/// Seconds between polls of a job that has ended.
const POLL_INTERVAL_AFTER_END_S: f64 = 20.0;
/// Maximum age in seconds of the last answer about a job at the end of a simulation.
const MAX_UNANSWERED_S: f64 = 75.0;

impl World {
    /// Handles the answer to a user's request, or its absence, and schedules the user's next request.
    pub(super) fn receive_user_answer(
        &mut self,
        job: Option<usize>,
        kind: RequestKind,
        sent_at: f64,
        answer: Option<Answer>,
    ) {
        let status = answer.as_ref().map(|answer| answer.status);
        let Some(job) = job else {
            if matches!(status, Some(200 | 201)) {
                self.record_violation("unknown_job_found", "a job that was never submitted".into());
            }
            return;
        };
        let job_status = match answer.map(|answer| answer.body) {
            Some(Body::Json(body)) => body["stance"].as_str().unwrap_or("").to_owned(),
            _ => String::new(),
        };
        let user = &mut self.users.jobs[job];
        let id = user.id.clone();
        match (kind, status) {
            (_, Some(200 | 201)) => {
                user.last_answered = self.now;
                if kind == RequestKind::Submit && !user.accepted {
                    user.accepted = true;
                    self.schedule_after(1.0, Event::Poll { job });
                    self.probe_all_controllers(job);
                }
                return self.check_reported_status(job, kind, sent_at, &job_status);
            }
            (RequestKind::Poll | RequestKind::ProbePoll, Some(404)) if user.accepted => {
                self.record_violation("accepted_job_lost", format!("{id} is answered 404"));
            }
            (RequestKind::Submit | RequestKind::ProbeSubmit, Some(status @ (400 | 422)))
                if user.accepted =>
            {
                self.record_violation("accepted_job_lost", format!("{id} is answered {status}"));
            }
            _ => {}
        }
        match kind {
            RequestKind::Submit => self.schedule_after(1.0, Event::Submit { job }),
            RequestKind::Cancel => self.schedule_after(1.0, Event::Cancel { job }),
            RequestKind::Poll => self.schedule_after(POLL_INTERVAL_S, Event::Poll { job }),
            RequestKind::ProbePoll | RequestKind::ProbeSubmit | RequestKind::Unusual => {}
        }
    }

    /// Checks a job status that was reported to a user.
    ///
    /// Answers to overlapping requests arrive in any order, so a request that was sent before a report was
    /// received may be answered later with an older status (random scenario 1026).
    fn check_reported_status(&mut self, job: usize, kind: RequestKind, sent_at: f64, status: &str) {
        let user = &self.users.jobs[job];
        let id = user.id.clone();
        let had_ended = user.done_reported_at.is_some() || user.cancelled_reported_at.is_some();
        match status {
            "done" => self.check_reported_done(job),
            "withdrawn" => self.check_reported_cancelled(job),
            _ => self.check_reported_active(job, sent_at, status),
        }
        let user = &self.users.jobs[job];
        let has_ended = user.done_reported_at.is_some() || user.cancelled_reported_at.is_some();
        if has_ended && !had_ended {
            self.probe_all_controllers(job);
        }
        if matches!(kind, RequestKind::ProbePoll | RequestKind::ProbeSubmit) {
            return;
        }
        // Users continue to poll a job that has ended, but less often.
        let delay = if has_ended {
            POLL_INTERVAL_AFTER_END_S
        } else {
            POLL_INTERVAL_S
        };
        self.schedule_after(delay, Event::Poll { job });
        if self.users.cancelled_for_long(&id, self.now) && self.tasks_on_machines(&id) > 0 {
            self.record_violation("ran_cancelled", format!("{id} still has tasks"));
        }
    }

    /// Checks a report that a job is done.
    fn check_reported_done(&mut self, job: usize) {
        let now = self.now;
        let user = &mut self.users.jobs[job];
        let id = user.id.clone();
        let unfinished = (user.finished.len() as u32) < user.spec.tasks;
        let was_cancelled = user.cancelled_reported_at.is_some();
        user.done_reported_at = user.done_reported_at.or(Some(now));
        if unfinished {
            self.record_violation("not_done", format!("{id} is reported done"));
        }
        if was_cancelled {
            // Both states are final, so the order of the requests does not matter.
            self.record_violation(
                "final_state_changed",
                format!("{id} was cancelled, is reported done"),
            );
        }
    }

    /// Checks a report that a job is cancelled.
    fn check_reported_cancelled(&mut self, job: usize) {
        let now = self.now;
        let id = self.users.id(job);
        let cancel_requested = self.users.is_cancel_requested(&id);
        let user = &mut self.users.jobs[job];
        let was_done = user.done_reported_at.is_some();
        let first = user.cancelled_reported_at.is_none();
        user.cancelled_reported_at = user.cancelled_reported_at.or(Some(now));
        if !cancel_requested || was_done {
            self.record_violation("final_state_changed", format!("{id} is reported cancelled"));
        }
        if first {
            self.schedule_after(CANCEL_S + 0.01, Event::CheckCancelledTasks { job });
        }
    }

    /// Checks a report that a job has not ended.
    fn check_reported_active(&mut self, job: usize, sent_at: f64, status: &str) {
        let user = &self.users.jobs[job];
        let id = user.id.clone();
        let ended = user.done_reported_at.or(user.cancelled_reported_at);
        let dependency_cancelled = self.users.dependency_cancelled_at(&id);
        if ended.is_some_and(|ended| ended < sent_at) {
            self.record_violation("final_state_changed", format!("{id} is reported {status}"));
        }
        if dependency_cancelled.is_some_and(|at| sent_at > at + CANCEL_S) {
            self.record_violation(
                "dependent_not_cancelled",
                format!("{id} is reported {status}"),
            );
        }
    }

    /// Checks, `cancel_s` after the user was told of the cancellation, that no task of the job is left. The
    /// check does not wait for a poll, because polls may be unanswered during an outage.
    pub(super) fn check_cancelled_tasks(&mut self, job: usize) {
        let id = self.users.jobs[job].id.clone();
        let left = self.tasks_on_machines(&id);
        if left > 0 {
            self.record_violation("ran_cancelled", format!("{id} still has {left} tasks"));
        }
    }

    /// Checks that, while no fault is in effect, no job is left waiting although a suitable machine has room
    /// and the team is below its limit.
    pub(super) fn check_starvation(&mut self) {
        let now = self.now;
        let all_up = self
            .nodes
            .iter()
            .all(|node| node.core.is_some() && now >= node.paused_until);
        if !self.network.has_no_faults() || !all_up {
            self.last_fault_at = now;
        }
        for index in 0..self.users.jobs.len() {
            let user = &self.users.jobs[index];
            let waits = now > self.last_fault_at
                && user.accepted
                && user.done_reported_at.is_none()
                && self.users.dependency_cancelled_at(&user.id).is_none()
                && self.users.unfinished_dependency(&user.id).is_none()
                && (user.finished.len() as u32) < user.spec.tasks
                && self.tasks_on_machines(&user.id) == 0
                && self.has_room(&user.spec);
            let id = user.id.clone();
            let since = &mut self.users.jobs[index].waiting_since;
            *since = if waits { since.or(Some(now)) } else { None };
            if since.is_some_and(|since| now > since + STARVATION_S) {
                *since = None;
                self.record_violation("starved", format!("{id} waits although a machine has room"));
            }
        }
        self.schedule_after(STARVATION_CHECK_INTERVAL_S, Event::CheckStarvation);
    }

    /// Checks that a job is in the state that the scenario expects. If it is not, the scenario's faults did
    /// not interact as intended.
    pub(super) fn check_expectation(&mut self, job: usize, expected: &str) {
        let user = &self.users.jobs[job];
        let id = user.id.clone();
        let met = match expected {
            "accepted" => user.accepted,
            "cancelled" => user.cancelled_reported_at.is_some(),
            "done" => user.done_reported_at.is_some(),
            "running" => self.tasks_on_machines(&id) > 0,
            "idle" => self.tasks_on_machines(&id) == 0,
            // Each of its tasks has started at most once.
            "without_restarts" => user.starts <= user.spec.tasks,
            other => panic!("unknown expectation {other:?}"),
        };
        if !met {
            self.record_violation("expectation_not_met", format!("{id} is not {expected}"));
        }
    }

    /// Jobs that are not in the state that their users may expect after all faults have ended, with the
    /// reason.
    pub(super) fn unserved(&self) -> Vec<(JobId, String)> {
        let mut unserved = Vec::new();
        for user in &self.users.jobs {
            let on_machines = self.tasks_on_machines(&user.id);
            let problem = if self.now > user.last_answered + MAX_UNANSWERED_S && user.accepted {
                Some("no controller answers requests about it".to_owned())
            } else if !user.accepted {
                Some("not accepted".to_owned())
            } else if self.users.dependency_cancelled_at(&user.id).is_some()
                && user.cancelled_reported_at.is_none()
            {
                Some("a dependency is cancelled, but the job is not".to_owned())
            } else if user.cancelled_reported_at.is_some() {
                (on_machines > 0).then(|| format!("cancelled, {on_machines} tasks on machines"))
            } else if user.spec.kind == JobKind::Service {
                (on_machines < user.spec.tasks as usize)
                    .then(|| format!("{on_machines} of {} tasks on machines", user.spec.tasks))
            } else {
                user.done_reported_at.is_none().then(|| {
                    format!(
                        "{} tasks finished, {on_machines} on machines",
                        user.finished.len()
                    )
                })
            };
            unserved.extend(problem.map(|problem| (user.id.clone(), problem)));
        }
        unserved
    }
}
