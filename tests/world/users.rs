//! Users, their jobs, the requests that they send, and the job states reported to them.

use super::faults::Condition;
use super::{CANCEL_S, Event, Requester, World};
use ochredrum::core::effects::{Input, RequestId, UserRequest};
use ochredrum::ids::{JobId, TaskId};
use ochredrum::wire::{JobKind, JobSpec};
use rand::Rng;
use std::collections::BTreeSet;

/// The kind of a user's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Submits a job. Repeated until the job is accepted.
    Submit,
    /// Polls a job. Repeated until the end of the simulation.
    Poll,
    /// Cancels a job. Repeated until it is answered with the state of the job.
    Cancel,
    /// An extra poll, which schedules no further request.
    ProbePoll,
    /// An extra repetition of the submission, which schedules no further request.
    ProbeSubmit,
    /// An unusual submission that must not be accepted.
    Unusual,
}

/// A user with one job.
pub(super) struct User {
    pub id: JobId,
    pub spec: JobSpec,
    /// Seconds that each task runs.
    pub run_s: f64,
    pub accepted: bool,
    pub cancel_requested: bool,
    /// When the user was first told that the job is done.
    pub done_reported_at: Option<f64>,
    /// When the user was first told that the job is cancelled.
    pub cancelled_reported_at: Option<f64>,
    /// When a request about the job was last answered.
    pub last_answered: f64,
    /// Indices of the tasks that have finished.
    pub finished: BTreeSet<u32>,
    /// Number of task starts, restarts included.
    pub starts: u32,
    /// Since when the job has been waiting although it could run; `None` if it is not.
    pub waiting_since: Option<f64>,
}

impl User {
    /// Whether all tasks of the job have finished.
    pub fn has_finished(&self) -> bool {
        self.finished.len() as u32 == self.spec.tasks
    }
}

/// All users of a simulation.
#[derive(Default)]
pub struct Users {
    pub(super) jobs: Vec<User>,
    unusual_id_count: u32,
    /// Number of task starts on machines that no longer exist.
    pub starts_on_removed_machines: u64,
}

impl Users {
    /// Adds a user with a job and returns the index of the job.
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
            last_answered: 0.0,
            finished: BTreeSet::new(),
            starts: 0,
            waiting_since: None,
        });
        self.jobs.len() - 1
    }

    /// How many tasks of a job have started, restarts included.
    pub fn starts_of(&self, job: usize) -> u32 {
        self.jobs[job].starts
    }

    /// Creates a job id that no other submission uses.
    pub fn create_unusual_job_id(&mut self) -> JobId {
        self.unusual_id_count += 1;
        JobId::from(format!("req-7{:05}", self.unusual_id_count))
    }

    /// Array jobs that are done. Other jobs may depend on them, and they can no longer be cancelled.
    pub fn done_arrays(&self) -> Vec<JobId> {
        let done = self
            .jobs
            .iter()
            .filter(|job| job.done_reported_at.is_some());
        done.filter(|job| job.spec.kind == JobKind::Array)
            .map(|job| job.id.clone())
            .collect()
    }

    /// When the user of a job was first told that it is cancelled.
    pub fn cancelled_reported_at(&self, id: &JobId) -> Option<f64> {
        self.find(id).and_then(|job| job.cancelled_reported_at)
    }

    /// The user who has submitted the job with this id.
    fn find(&self, id: &JobId) -> Option<&User> {
        self.jobs.iter().find(|job| job.id == *id)
    }

    /// The id of the job with this index.
    pub fn id(&self, job: usize) -> JobId {
        self.jobs[job].id.clone()
    }

    /// The submitted specification of a job.
    pub fn spec(&self, id: &JobId) -> Option<&JobSpec> {
        self.find(id).map(|job| &job.spec)
    }

    /// Seconds that a task runs. The result of a finished task is kept, so it ends at once if it is started
    /// again.
    pub fn run_s(&self, task: &TaskId) -> f64 {
        let job = self.find(&task.job);
        job.map_or(0.0, |job| {
            if job.finished.contains(&task.index) {
                0.0
            } else {
                job.run_s
            }
        })
    }

    /// Counts the start of a task.
    pub fn task_started(&mut self, task: &TaskId) {
        if let Some(job) = self.jobs.iter_mut().find(|job| job.id == task.job) {
            job.starts += 1;
        }
    }

    /// Records that a task has finished.
    pub fn task_finished(&mut self, task: &TaskId) {
        if let Some(job) = self.jobs.iter_mut().find(|job| job.id == task.job) {
            job.finished.insert(task.index);
        }
    }

    /// Whether any task of a job has finished.
    pub fn has_finished_task(&self, id: &JobId) -> bool {
        self.find(id).is_some_and(|job| !job.finished.is_empty())
    }

    /// Whether the user was told of the cancellation more than `cancel_s` ago, so that no task may be left.
    pub fn cancelled_for_long(&self, id: &JobId, now: f64) -> bool {
        let reported_at = self.find(id).and_then(|job| job.cancelled_reported_at);
        reported_at.is_some_and(|at| now > at + CANCEL_S)
    }

    /// The users of a job and of all its direct and indirect dependencies, the job itself first.
    fn with_dependencies(&self, id: &JobId) -> Vec<&User> {
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

    /// Whether a user has asked to cancel the job or one of its dependencies.
    pub(super) fn is_cancel_requested(&self, id: &JobId) -> bool {
        self.with_dependencies(id)
            .iter()
            .any(|user| user.cancel_requested)
    }

    /// When a user was first told that the job or one of its dependencies is cancelled.
    pub(super) fn dependency_cancelled_at(&self, id: &JobId) -> Option<f64> {
        let reported_at = self
            .with_dependencies(id)
            .into_iter()
            .filter_map(|user| user.cancelled_reported_at);
        reported_at.min_by(f64::total_cmp)
    }

    /// A direct or indirect dependency that has not finished, if there is one. The job may not start before.
    pub fn unfinished_dependency(&self, id: &JobId) -> Option<JobId> {
        let done = |user: &&&User| user.has_finished();
        let needed = self.with_dependencies(id);
        needed
            .iter()
            .skip(1)
            .find(|user| !done(user))
            .map(|user| user.id.clone())
    }
}

impl World {
    /// Sends a user's request to a random controller.
    pub(super) fn send_user_request(&mut self, job: usize, kind: RequestKind) {
        self.send_user_request_to(job, kind, None);
    }

    /// Sends a user's request to the given controller.
    pub(super) fn probe(&mut self, job: usize, node: usize, kind: RequestKind) {
        self.send_user_request_to(job, kind, Some(node));
    }

    /// Sends a user's request to the given controller, or to a random one.
    fn send_user_request_to(&mut self, job: usize, kind: RequestKind, node: Option<usize>) {
        let user = &mut self.users.jobs[job];
        let id = user.id.clone();
        let request = match kind {
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
        self.copy_user_request_later(node, &request);
        self.deliver_request(
            node,
            Requester::User {
                job: Some(job),
                kind,
                sent_at: self.now,
            },
            Input::User(RequestId(0), request),
        );
    }

    /// Sends polls and repeated submissions to all controllers within milliseconds of a report to a user, if
    /// the condition for it is in effect.
    pub(super) fn probe_all_controllers(&mut self, job: usize) {
        if !self.network.has(Condition::LinearizabilityProbes) {
            return;
        }
        for node in 0..self.nodes.len() {
            for (delay, kind) in [
                (0.0005, RequestKind::ProbePoll),
                (0.003, RequestKind::ProbeSubmit),
                (0.02, RequestKind::ProbePoll),
            ] {
                self.schedule_after(delay, Event::Probe { job, node, kind });
            }
        }
    }

    /// Lets some users cancel a job within a second of its completion, if the condition for it is in effect.
    pub(super) fn cancel_at_completion(&mut self, id: &JobId) {
        if !self.network.has(Condition::CancelAtCompletion) || !self.rng.random_bool(0.5) {
            return;
        }
        let ended = |user: &User| user.id == *id && user.has_finished();
        if let Some(job) = self.users.jobs.iter().position(ended) {
            let delay = self.rng.random_range(0.0..1.0);
            self.schedule_after(delay, Event::Cancel { job });
        }
    }

    /// Polls a job that was never submitted, and schedules the next such poll.
    pub(super) fn poll_unknown_job(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        let request = UserRequest::Poll("req-999999".into());
        let requester = Requester::User {
            job: None,
            kind: RequestKind::Poll,
            sent_at: self.now,
        };
        self.deliver_request(node, requester, Input::User(RequestId(0), request));
        self.schedule_after(7.0, Event::PollUnknownJob);
    }
}
