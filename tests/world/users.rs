//! Users: they submit, poll and cancel, and hold the service to what it told them.

use super::faults::Condition;
use super::{Asker, CANCEL_S, Event, World};
use ochredrum::core::effects::{Answer, Body, Input, RequestId, UserRequest};
use ochredrum::ids::{JobId, TaskId};
use ochredrum::wire::{JobSpec, Kind};
use rand::Rng;
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Submit,
    Poll,
    Cancel,
    /// A poll or a repeat beside the usual ones, which nothing follows.
    ProbePoll,
    ProbeSubmit,
    /// An odd request, which must not be accepted.
    Unusual,
}

struct User {
    id: JobId,
    spec: JobSpec,
    run_s: f64,
    accepted: bool,
    cancel_requested: bool,
    done_reported_at: Option<f64>,
    cancelled_reported_at: Option<f64>,
    /// When it was last answered.
    answered: f64,
    finished: BTreeSet<u32>,
    /// Starts of its tasks.
    starts: u32,
    /// Since when it waits though it could run.
    waiting_since: Option<f64>,
}

/// How long a job may wait in calm times beside a machine that has room for it.
const STARVATION_S: f64 = 90.0;

#[derive(Default)]
pub struct Users {
    jobs: Vec<User>,
    unusual_ids: u32,
    /// Starts on machines that are gone.
    pub starts_on_removed: u64,
}

impl Users {
    pub fn add(&mut self, spec: JobSpec, run_s: f64) -> usize {
        let id = JobId::from(format!("req-{:06}", self.jobs.len() + 1));
        self.jobs.push(User {
            id,
            spec,
            run_s,
            accepted: false,
            cancel_requested: false,
            done_reported_at: None,
            cancelled_reported_at: None,
            answered: 0.0,
            finished: BTreeSet::new(),
            starts: 0,
            waiting_since: None,
        });
        self.jobs.len() - 1
    }

    pub fn starts_of(&self, job: usize) -> u32 {
        self.jobs[job].starts
    }

    /// A job id that no other user uses.
    pub fn next_unusual_id(&mut self) -> JobId {
        self.unusual_ids += 1;
        JobId::from(format!("req-7{:05}", self.unusual_ids))
    }

    /// Jobs that others may need, and that nobody will call off any more.
    pub fn accepted_arrays(&self) -> Vec<JobId> {
        let done = self
            .jobs
            .iter()
            .filter(|job| job.done_reported_at.is_some());
        done.filter(|job| job.spec.kind == Kind::Array)
            .map(|job| job.id.clone())
            .collect()
    }

    pub fn cancelled_reported_at(&self, id: &JobId) -> Option<f64> {
        self.find(id).and_then(|job| job.cancelled_reported_at)
    }

    fn find(&self, id: &JobId) -> Option<&User> {
        self.jobs.iter().find(|job| job.id == *id)
    }

    pub fn id(&self, job: usize) -> JobId {
        self.jobs[job].id.clone()
    }

    pub fn spec(&self, id: &JobId) -> Option<&JobSpec> {
        self.find(id).map(|job| &job.spec)
    }

    /// A finished task's result is kept: started again it ends at once.
    pub fn run_s(&self, task: &TaskId) -> f64 {
        let job = self.find(&task.job);
        job.map_or(0.0, |j| {
            if j.finished.contains(&task.index) {
                0.0
            } else {
                j.run_s
            }
        })
    }

    pub fn task_started(&mut self, task: &TaskId) {
        if let Some(job) = self.jobs.iter_mut().find(|job| job.id == task.job) {
            job.starts += 1;
        }
    }

    pub fn task_finished(&mut self, task: &TaskId) {
        if let Some(job) = self.jobs.iter_mut().find(|job| job.id == task.job) {
            job.finished.insert(task.index);
        }
    }

    pub fn has_finished_task(&self, id: &JobId) -> bool {
        self.find(id).is_some_and(|job| !job.finished.is_empty())
    }

    pub fn cancelled_for_long(&self, id: &JobId, now: f64) -> bool {
        let told = self.find(id).and_then(|job| job.cancelled_reported_at);
        told.is_some_and(|at| now > at + CANCEL_S)
    }

    /// A job and all that it needs, directly or through others.
    fn with_needed(&self, id: &JobId) -> Vec<&User> {
        let mut all: Vec<&User> = self.find(id).into_iter().collect();
        let mut next = 0;
        while let Some(user) = all.get(next).copied() {
            for needed in user.spec.dependencies.iter().filter_map(|id| self.find(id)) {
                if !all.iter().any(|known| known.id == needed.id) {
                    all.push(needed);
                }
            }
            next += 1;
        }
        all
    }

    /// Whether its user cancelled it, or one that it needs.
    fn is_cancel_requested(&self, id: &JobId) -> bool {
        self.with_needed(id)
            .iter()
            .any(|user| user.cancel_requested)
    }

    /// When somebody was first told that a job that this one needs is cancelled.
    fn dependency_cancelled_at(&self, id: &JobId) -> Option<f64> {
        let told = self
            .with_needed(id)
            .into_iter()
            .filter_map(|user| user.cancelled_reported_at);
        told.min_by(f64::total_cmp)
    }

    /// What a job needs and is not done, if it may not start.
    pub fn unfinished_dependency(&self, id: &JobId) -> Option<JobId> {
        let done = |user: &&&User| user.finished.len() as u32 == user.spec.tasks;
        let needed = self.with_needed(id);
        needed
            .iter()
            .skip(1)
            .find(|user| !done(user))
            .map(|user| user.id.clone())
    }
}

impl World {
    pub(super) fn user_asks(&mut self, job: usize, kind: RequestKind) {
        self.user_asks_at(job, kind, None);
    }

    pub(super) fn look(&mut self, job: usize, node: usize, kind: RequestKind) {
        self.user_asks_at(job, kind, Some(node));
    }

    fn user_asks_at(&mut self, job: usize, kind: RequestKind, node: Option<usize>) {
        let user = &mut self.users.jobs[job];
        let id = user.id.clone();
        let what = match kind {
            RequestKind::Submit => UserRequest::Submit(id, Box::new(user.spec.clone())),
            RequestKind::Poll | RequestKind::ProbePoll => UserRequest::Poll(id),
            RequestKind::ProbeSubmit | RequestKind::Unusual => {
                UserRequest::Submit(id, Box::new(user.spec.clone()))
            }
            RequestKind::Cancel => {
                user.cancel_requested = true;
                UserRequest::Cancel(id)
            }
        };
        let node = node.unwrap_or_else(|| self.rng.random_range(0..self.nodes.len()));
        self.ask_node(
            node,
            Asker::User {
                job: Some(job),
                kind,
                asked: self.now,
            },
            Input::User(RequestId(0), what),
        );
    }

    /// Right after a user was told something: at all controllers within milliseconds.
    fn probe_all_controllers(&mut self, job: usize) {
        if !self.network.has(Condition::LinearizabilityProbes) {
            return;
        }
        for node in 0..self.nodes.len() {
            for (delay, kind) in [
                (0.0005, RequestKind::ProbePoll),
                (0.003, RequestKind::ProbeSubmit),
                (0.02, RequestKind::ProbePoll),
            ] {
                self.after(delay, Event::Probe { job, node, kind });
            }
        }
    }

    /// A job is called off at the moment of its end.
    pub(super) fn cancel_at_completion(&mut self, id: &JobId) {
        if !self.network.has(Condition::CancelAtCompletion) || !self.rng.random_bool(0.5) {
            return;
        }
        let ended = |user: &User| user.id == *id && user.finished.len() as u32 == user.spec.tasks;
        if let Some(job) = self.users.jobs.iter().position(ended) {
            let delay = self.rng.random_range(0.0..1.0);
            self.after(delay, Event::Cancel { job });
        }
    }

    pub(super) fn ask_unknown(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        let what = UserRequest::Poll("req-999999".into());
        let asker = Asker::User {
            job: None,
            kind: RequestKind::Poll,
            asked: self.now,
        };
        self.ask_node(node, asker, Input::User(RequestId(0), what));
        self.after(7.0, Event::AskUnknown);
    }

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
                self.record_violation("invented", "a job that nobody submitted".into());
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
                user.answered = self.now;
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
            RequestKind::Poll => self.after(5.0, Event::Poll { job }),
            RequestKind::ProbePoll | RequestKind::ProbeSubmit | RequestKind::Unusual => {}
        }
    }

    /// What was asked before something was told may still be answered without it: answers to
    /// questions that overlap come in any order (found by random day 1026).
    fn check_told(&mut self, job: usize, kind: RequestKind, asked: f64, job_status: &str) {
        let now = self.now;
        let id = self.users.jobs[job].id.clone();
        let is_cancel_requested = self.users.is_cancel_requested(&id);
        let orphan = self
            .users
            .dependency_cancelled_at(&id)
            .is_some_and(|told| asked > told + CANCEL_S);
        let user = &mut self.users.jobs[job];
        let mut violations: Vec<(&str, String)> = Vec::new();
        let mut cancelled = false;
        let ended_before = user.done_reported_at.is_some() || user.cancelled_reported_at.is_some();
        match job_status {
            "done" => {
                if (user.finished.len() as u32) < user.spec.tasks {
                    violations.push(("not_done", format!("{id} is called done")));
                }
                if user.cancelled_reported_at.is_some() {
                    // Both are final: the order of the questions does not matter.
                    violations.push(("went_back", format!("{id} was cancelled, is called done")));
                }
                user.done_reported_at = user.done_reported_at.or(Some(now));
            }
            "withdrawn" => {
                if !is_cancel_requested || user.done_reported_at.is_some() {
                    violations.push(("went_back", format!("{id} is called cancelled")));
                }
                if user.cancelled_reported_at.is_none() {
                    user.cancelled_reported_at = Some(now);
                    cancelled = true;
                }
            }
            _ => {
                let told = user.done_reported_at.or(user.cancelled_reported_at);
                if told.is_some_and(|told| told < asked) {
                    violations.push(("went_back", format!("{id} is called {job_status}")));
                }
                if orphan {
                    violations.push(("orphaned", format!("{id} is called {job_status}")));
                }
            }
        }
        let over = user.done_reported_at.is_some() || user.cancelled_reported_at.is_some();
        for (rule, what) in violations {
            self.record_violation(rule, what);
        }
        if cancelled {
            self.after(CANCEL_S + 0.01, Event::CancelDue { job });
        }
        if over && !ended_before {
            self.probe_all_controllers(job);
        }
        if matches!(kind, RequestKind::ProbePoll | RequestKind::ProbeSubmit) {
            return;
        }
        // Users may ask at any later time, only less often.
        self.after(if over { 20.0 } else { 5.0 }, Event::Poll { job });
        if self.users.cancelled_for_long(&id, now) && self.tasks_on(&id) > 0 {
            self.record_violation("ran_cancelled", format!("{id} still has tasks"));
        }
    }

    /// `cancel_s` after its user was told, not only when somebody asks: in an outage nobody may.
    pub(super) fn cancel_due(&mut self, job: usize) {
        let id = self.users.jobs[job].id.clone();
        let left = self.tasks_on(&id);
        if left > 0 {
            self.record_violation("ran_cancelled", format!("{id} still has {left} tasks"));
        }
    }

    /// Once the troubles are over, no job is left waiting while a machine that fits has room and its
    /// team is under its limit.
    pub(super) fn watch(&mut self) {
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
        self.after(5.0, Event::CheckStarvation);
    }

    /// Checks that a scenario's troubles meet as it says.
    pub(super) fn expect(&mut self, job: usize, what: &str) {
        let user = &self.users.jobs[job];
        let id = user.id.clone();
        let met = match what {
            "accepted" => user.accepted,
            "cancelled" => user.cancelled_reported_at.is_some(),
            "done" => user.done_reported_at.is_some(),
            "running" => self.tasks_on(&id) > 0,
            "idle" => self.tasks_on(&id) == 0,
            // Each of its tasks has begun once at most.
            "undisturbed" => user.starts <= user.spec.tasks,
            other => panic!("expect {other:?}?"),
        };
        if !met {
            self.record_violation("expectation_not_met", format!("{id} is not {what}"));
        }
    }

    /// Jobs that are not as their users expect by now.
    pub(super) fn unserved(&self) -> Vec<(JobId, String)> {
        let mut unserved = Vec::new();
        for user in &self.users.jobs {
            let on = self.tasks_on(&user.id);
            let problem = if self.now > user.answered + 75.0 && user.accepted {
                Some("nobody answers for it".to_owned())
            } else if !user.accepted {
                Some("not accepted".to_owned())
            } else if self.users.dependency_cancelled_at(&user.id).is_some()
                && user.cancelled_reported_at.is_none()
            {
                Some("what it needs is cancelled, and it is not".to_owned())
            } else if user.cancelled_reported_at.is_some() {
                (on > 0).then(|| format!("cancelled, {on} tasks on machines"))
            } else if user.spec.kind == Kind::Service {
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
