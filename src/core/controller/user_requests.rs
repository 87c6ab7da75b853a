//! Users' requests: submit, poll and cancel.
//!
//! Any controller answers any request. Jobs are created, cancelled and read in the store itself, guarded by
//! versions, so the answer does not depend on the controller. Submissions and cancellations are idempotent, and
//! reads are linearizable. A request that cannot be served soon is answered with the time after which to retry.

use crate::core::Core;
use crate::core::effects::pending::{Pending, ReplyTo, UserWrite, WaitingRequest};
use crate::core::effects::{Answer, Body, RequestId, StoreCall, StoreReply, UserRequest};
use crate::core::messages::mesh::{MeshMessage, MeshReply};
use crate::core::model::ranges::TaskIndexRanges;
use crate::core::model::time::Time;
use crate::core::records::job_record::JobRecord;
use crate::core::records::keys::job_key;
use crate::core::records::versioned::{Versioned, precondition, put};
use crate::ids::{JobId, Team, Version};
use crate::wire::{JobSpec, JobStatus, Transaction, Write, progress_answer, status_answer};
use std::rc::Rc;

/// Users wait 2 s for the answer to a poll; this leaves time to pass the request on to a sibling.
const MAX_POLL_WAIT: Time = 0.9;

/// Users wait 5 s for the answer to a submission or cancellation.
const MAX_WRITE_WAIT: Time = 1.5;

/// The store is asked all the time and replies within a few hundred ms: after this silence, in seconds, this
/// controller is cut off from it.
const MAX_STORE_SILENCE: Time = MAX_POLL_WAIT / 3.0;

/// For how long a write that the store refused for its rate is tried again.
const BUSY_RETRY_WINDOW: Time = 0.6;

/// The pause before such a write is tried again.
const BUSY_RETRY_PAUSE: Time = BUSY_RETRY_WINDOW / 6.0;

/// Requests that a controller keeps waiting at most, per MB of its memory limit.
const MAX_WAITING_PER_MB: f64 = 20.0;

/// Problem of a submission that fits no machine type, or exceeds its team's limit.
const PROBLEM_NEVER_FITS: &str = "can never run";

/// Problem of a submission with a dependency that does not exist.
const PROBLEM_UNKNOWN_DEPENDENCY: &str = "awaits: a job that was never accepted";

/// Problem of a submission whose record exceeds the store's limit on values.
const PROBLEM_RECORD_TOO_LARGE: &str = "awaits or breeds: too many";

/// The requests of users that wait for the store.
#[derive(Default)]
pub struct UserRequests {
    waiting: Vec<WaitingRequest>,
}

impl UserRequests {
    fn enqueue(&mut self, request: WaitingRequest) {
        self.waiting.push(request);
    }
}

impl Core {
    /// Handles a request of a user.
    pub(crate) fn handle_user_request(&mut self, request: RequestId, operation: UserRequest) {
        self.receive_request(ReplyTo::User(request), operation);
    }

    /// Handles a request that a sibling passed on.
    pub(crate) fn handle_relayed_request(&mut self, request: RequestId, operation: UserRequest) {
        self.receive_request(ReplyTo::Sibling(request), operation);
    }

    fn receive_request(&mut self, reply_to: ReplyTo, operation: UserRequest) {
        let now = self.outbox.now;
        let request = WaitingRequest {
            reply_to,
            operation,
            received: now,
            read_after: now,
            not_before: now,
            create_sent: false,
        };
        let limit = self.config.deployment.limits.mem_mb * MAX_WAITING_PER_MB;
        if !self.store.is_complete() || self.user_requests.waiting.len() as f64 > limit {
            return self.forward_or_reject(request);
        }
        let silent = self.store.seconds_since_store_reply(now) > MAX_STORE_SILENCE;
        if silent
            && matches!(reply_to, ReplyTo::User(_))
            && self.peers.sibling_reading_store(now).is_some()
        {
            // Only this controller is cut off from the store: a sibling answers at once what would be late here.
            return self.forward_to_sibling(request);
        }
        self.start_request(request);
    }

    /// Creates the job of a submission that is unknown here; every other request is a read first.
    fn start_request(&mut self, request: WaitingRequest) {
        match &request.operation {
            UserRequest::Submit(id, _) if self.store.job(id).is_none() => self.create_job(request),
            _ => self.answer_or_wait(request),
        }
    }

    fn create_job(&mut self, mut request: WaitingRequest) {
        let UserRequest::Submit(id, spec) = &request.operation else {
            return;
        };
        let record = new_job_record(spec, self.outbox.wall_ms);
        let key = job_key(id);
        let write = put(&key, &record, None);
        let Some(never_fits) = self.catalog.can_never_run(&self.config, spec) else {
            return self.forward_or_reject(request);
        };
        let problem = self.submission_problem(spec, never_fits, &write);
        // Only a read since the request shows that no controller has accepted this job or one of its
        // dependencies. And a controller that was paused may have missed a cancellation long ago.
        let age = self.outbox.now - self.store.current_as_of();
        let behind = age > self.config.deployment.workers.report_s && !spec.dependencies.is_empty();
        if (problem.is_some() || behind) && self.store.current_as_of() < request.read_after {
            self.store.request_read();
            return self.user_requests.enqueue(request);
        }
        if let Some(problem) = problem {
            let answer = Answer::value(422, serde_json::json!({"error": problem}));
            return self.reply(request.reply_to, answer);
        }
        let dependency_cancelled = spec
            .dependencies
            .iter()
            .any(|dependency| self.store.is_cancelled(dependency));
        // Recorded as cancelled from the start, so that polls of it are answered so.
        let write = match dependency_cancelled {
            true => put(
                &key,
                &record.to_cancelled_unstarted(self.outbox.wall_ms),
                None,
            ),
            false => write,
        };
        request.create_sent = true;
        self.commit_or_wait(request, key, 0, write);
    }

    /// Why a submission is refused, if it is. `write`: the write of its record.
    fn submission_problem(
        &self,
        spec: &JobSpec,
        never_fits: bool,
        write: &Write,
    ) -> Option<&'static str> {
        let is_unknown = |dependency| self.store.job(dependency).is_none();
        let value_limit = self.config.deployment.state.value_kb * 1024.0;
        if never_fits {
            Some(PROBLEM_NEVER_FITS)
        } else if spec.dependencies.iter().any(is_unknown) {
            Some(PROBLEM_UNKNOWN_DEPENDENCY)
        } else if write.value_bytes() as f64 > value_limit {
            Some(PROBLEM_RECORD_TOO_LARGE)
        } else {
            None
        }
    }

    /// Commits a write if `key` still has this version, or postpones the request if writes are held back.
    fn commit_or_wait(
        &mut self,
        mut request: WaitingRequest,
        key: String,
        version: Version,
        write: Write,
    ) {
        if !self.outbox.may_write() {
            request.not_before = self.outbox.writes_resume_at();
            return self.user_requests.enqueue(request);
        }
        let transaction = Transaction {
            preconditions: vec![precondition(&key, version)],
            writes: vec![write.clone()],
        };
        let pending = Pending::UserWrite(UserWrite { request, write });
        self.outbox
            .call_store(pending, StoreCall::Commit(transaction));
    }

    /// Handles the store's reply to a write that a request needed.
    pub(crate) fn handle_user_write_reply(&mut self, call: UserWrite, reply: StoreReply) {
        let now = self.outbox.now;
        let UserWrite { mut request, write } = call;
        match reply {
            StoreReply::Committed(version) => self.handle_committed_write(request, &write, version),
            StoreReply::Busy if now < request.received + BUSY_RETRY_WINDOW => {
                request.not_before = now + self.outbox.jitter(BUSY_RETRY_PAUSE);
                self.user_requests.enqueue(request);
            }
            // The record has changed, or was possibly written: its stored state decides.
            StoreReply::Conflict | StoreReply::Unknown => {
                request.read_after = now;
                self.answer_or_wait(request);
            }
            _ => self.forward_or_reject(request),
        }
    }

    fn handle_committed_write(&mut self, request: WaitingRequest, write: &Write, version: Version) {
        let previous = self.store.job(request.operation.job());
        let team = previous
            .and_then(|job| job.record.spec.as_ref())
            .map(|spec| spec.team.clone());
        self.store.apply_write(write, version);
        self.store.request_read();
        match &request.operation {
            UserRequest::Submit(id, _) if request.create_sent => {
                let recorded = self.store.job(id).map(|job| job.record.status);
                let status = recorded.unwrap_or(JobStatus::Pending);
                let answer = Answer::value(201, status_answer(id, status));
                self.reply(request.reply_to, answer);
            }
            UserRequest::Cancel(id) => {
                self.notify_owner(id, team.as_ref());
                let answer = Answer::value(200, status_answer(id, JobStatus::Cancelled));
                self.reply(request.reply_to, answer);
            }
            // Its cancellation through a dependency is recorded now.
            UserRequest::Submit(..) | UserRequest::Poll(_) => self.answer_or_wait(request),
        }
    }

    /// Answers a request if the replica is current enough for it; otherwise the request waits for a read.
    fn answer_or_wait(&mut self, mut request: WaitingRequest) {
        let id = request.operation.job().clone();
        let known = self.store.job(&id).cloned();
        let ended = known.as_ref().is_some_and(|job| job.record.is_final());
        if let (false, true, Some(job)) = (ended, self.store.has_cancelled_dependency(&id), &known)
        {
            return self.record_cancellation(request, job);
        }
        if !ended && self.store.current_as_of() < request.read_after {
            self.store.request_read();
            return self.user_requests.enqueue(request);
        }
        match (&request.operation, known) {
            // Whether an earlier create was executed or not, a repeat of it decides.
            (UserRequest::Submit(..), None) if request.create_sent => {
                request.not_before = self.outbox.now + self.outbox.jitter(BUSY_RETRY_PAUSE);
                self.user_requests.enqueue(request);
            }
            (UserRequest::Submit(..), None) => self.create_job(request),
            (_, None) => self.reply(request.reply_to, Answer::empty(404)),
            (UserRequest::Poll(_), Some(job)) => {
                let (status, done, running) = self.displayed_progress(&id, &job.record);
                let answer = Answer::value(200, progress_answer(&id, status, done, running));
                self.reply(request.reply_to, answer);
            }
            (UserRequest::Cancel(_), Some(job)) if !ended => {
                self.record_cancellation(request, &job);
            }
            (UserRequest::Submit(..) | UserRequest::Cancel(_), Some(job)) => {
                let (status, ..) = self.displayed_progress(&id, &job.record);
                let answer = Answer::value(200, status_answer(&id, status));
                self.reply(request.reply_to, answer);
            }
        }
    }

    /// Cancels a job for its user, or because a dependency is cancelled. The user is not told before that is
    /// recorded: a release that does not know dependencies could report another status later, for example after
    /// a controller was rolled back to it.
    fn record_cancellation(&mut self, request: WaitingRequest, job: &Versioned<Rc<JobRecord>>) {
        let id = request.operation.job();
        let (key, wall_ms) = (job_key(id), self.outbox.wall_ms);
        let record = match self.store.has_cancelled_dependency(id) {
            true => job.record.to_cancelled_unstarted(wall_ms),
            false => job.record.to_cancelled(wall_ms),
        };
        let write = put(&key, &record, None);
        self.commit_or_wait(request, key, job.version, write);
    }

    /// A job's status, and its numbers of done and of running tasks, as shown to users. Only final states are
    /// promises.
    fn displayed_progress(&self, id: &JobId, record: &JobRecord) -> (JobStatus, u32, u32) {
        match record.status {
            JobStatus::Done => return (JobStatus::Done, record.tasks, 0),
            JobStatus::Cancelled => return (JobStatus::Cancelled, 0, 0),
            _ => {}
        }
        let counts = self.shard.as_ref().and_then(|shard| shard.task_counts(id));
        let (done, running) = counts
            .or_else(|| self.peers.task_counts(id))
            .unwrap_or((record.done.len(), 0));
        let status = if running > 0 {
            JobStatus::Running
        } else {
            JobStatus::Pending
        };
        (status, done, running)
    }

    /// Notifies the owner of the job's team of a cancellation. Its next read shows the cancellation anyway; this
    /// is only sooner.
    fn notify_owner(&mut self, id: &JobId, team: Option<&Team>) {
        let owner = team.and_then(|team| self.store.shard_map().teams.get(team));
        let node = owner.map(|owner| owner.node.clone());
        if let Some(node) = node.filter(|node| *node != self.config.controller) {
            self.outbox.send_to_sibling(
                Pending::Notification,
                &node,
                MeshMessage::Cancelled(id.clone()),
            );
        }
    }

    /// Handles a request that this controller cannot answer: if it is cut off from the store, a sibling may
    /// answer; otherwise the user is told at once when to retry.
    fn forward_or_reject(&mut self, request: WaitingRequest) {
        if self.reads_store() {
            return self.reply(request.reply_to, Answer::unavailable());
        }
        self.forward_to_sibling(request);
    }

    /// Passes a user's request on to a sibling that reaches the store, if there is one.
    fn forward_to_sibling(&mut self, waiting: WaitingRequest) {
        let sibling = self.peers.sibling_reading_store(self.outbox.now).cloned();
        let (ReplyTo::User(request), Some(node)) = (waiting.reply_to, sibling) else {
            return self.reply(waiting.reply_to, Answer::unavailable());
        };
        let message = match waiting.operation {
            UserRequest::Submit(id, spec) if !spec.dependencies.is_empty() => {
                MeshMessage::SubmitDependent(id, spec)
            }
            UserRequest::Submit(id, spec) => MeshMessage::Submit(id, spec),
            UserRequest::Poll(id) => MeshMessage::Poll(id),
            UserRequest::Cancel(id) => MeshMessage::Cancel(id),
        };
        self.outbox
            .send_to_sibling(Pending::RelayedRequest { request }, &node, message);
    }

    fn reply(&mut self, reply_to: ReplyTo, answer: Answer) {
        match reply_to {
            ReplyTo::User(request) => self.outbox.answer(request, answer),
            ReplyTo::Sibling(request) => self.outbox.answer_sibling(request, to_mesh_reply(answer)),
        }
    }

    /// Answers the requests that waited for the replica to become current.
    pub(crate) fn resume_user_requests(&mut self) {
        let current = self.store.current_as_of();
        let now = self.outbox.now;
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.user_requests.waiting)
            .into_iter()
            .partition(|request| request.read_after <= current && request.not_before <= now);
        self.user_requests.waiting = waiting;
        for request in ready {
            self.resume_request(request);
        }
    }

    fn resume_request(&mut self, mut request: WaitingRequest) {
        request.create_sent = false;
        self.start_request(request);
    }

    /// Gives up the requests that have waited too long, and resumes those whose postponed write may be sent.
    pub(crate) fn time_out_user_requests(&mut self) {
        let now = self.outbox.now;
        let cut_off =
            !self.reads_store() && self.store.seconds_since_store_reply(now) > MAX_POLL_WAIT;
        let mut index = 0;
        // Requests that wait again are appended, and are visited as well.
        while let Some(request) = self.user_requests.waiting.get(index) {
            let late = now > request.received + max_wait(&request.operation) || cut_off;
            let postponed = request.not_before > request.received && request.not_before <= now;
            if late {
                let request = self.user_requests.waiting.swap_remove(index);
                self.forward_or_reject(request);
            } else if postponed && self.store.current_as_of() >= request.read_after {
                let request = self.user_requests.waiting.swap_remove(index);
                self.resume_request(request);
            } else {
                index += 1;
            }
        }
        if !self.user_requests.waiting.is_empty() {
            self.store.request_read();
        }
    }
}

/// The first record of a submitted job.
fn new_job_record(spec: &JobSpec, wall_ms: u64) -> JobRecord {
    JobRecord {
        status: JobStatus::Pending,
        accepted_ms: wall_ms,
        tasks: spec.tasks,
        done: TaskIndexRanges::default(),
        spec: Some(Rc::new(spec.clone())),
        ended_ms: None,
        terminating: None,
    }
}

/// An answer as a sibling passes it on; only bodies for users are.
fn to_mesh_reply(answer: Answer) -> MeshReply {
    let body = match answer.body {
        Body::Value(body) => Some(body),
        Body::Empty | Body::HeartbeatResponse(_) | Body::Status(_) => None,
    };
    MeshReply::Answer {
        status: answer.status,
        body,
        retry_after: answer.retry_after,
    }
}

/// For how long a request waits in this controller, in seconds.
fn max_wait(operation: &UserRequest) -> Time {
    match operation {
        UserRequest::Poll(_) => MAX_POLL_WAIT,
        UserRequest::Submit(..) | UserRequest::Cancel(_) => MAX_WRITE_WAIT,
    }
}
