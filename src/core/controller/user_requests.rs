//! Handles the requests of users: submit, poll and cancel.
//!
//! Any controller answers any request. Writes to the store have the version of the job's record as
//! precondition, so the answer does not depend on the controller. Submissions and cancellations are
//! idempotent, and reads are linearizable. A request that cannot be served soon is answered with the time
//! after which to retry.

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

/// Seconds that a poll waits in this controller. Users wait 2 s, so there is time left to relay it to a
/// sibling.
const MAX_POLL_WAIT: Time = 0.9;

/// Seconds that a submission or cancellation waits in this controller. Users wait 5 s for the answer.
const MAX_WRITE_WAIT: Time = 1.5;

/// Seconds without a reply of the store after which this controller counts as cut off from it. Controllers
/// read the store continually, and it replies within a few hundred milliseconds.
const MAX_STORE_SILENCE: Time = MAX_POLL_WAIT / 3.0;

/// Seconds after the arrival of a request during which a write that the store refused as busy is retried.
const BUSY_RETRY_WINDOW: Time = 0.6;

/// Seconds before a write is retried, before jitter.
const BUSY_RETRY_PAUSE: Time = BUSY_RETRY_WINDOW / 6.0;

/// Maximum number of waiting requests per MB of the controller's memory limit.
const MAX_WAITING_PER_MB: f64 = 20.0;

/// Error text for a submission whose tasks fit no machine type or that exceeds its team's limit.
const PROBLEM_NEVER_FITS: &str = "can never run";

/// Error text for a submission with a dependency that does not exist.
const PROBLEM_UNKNOWN_DEPENDENCY: &str = "awaits: a job that was never accepted";

/// Error text for a submission whose record exceeds the store's size limit for values.
const PROBLEM_RECORD_TOO_LARGE: &str = "awaits or breeds: too many";

/// The requests of users that wait for a read of the store or for a postponed write.
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
    /// Handles a request that a user sent to this controller.
    pub(crate) fn handle_user_request(&mut self, request: RequestId, operation: UserRequest) {
        self.receive_request(ReplyTo::User(request), operation);
    }

    /// Handles a user's request that a sibling relayed.
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
        let max_waiting = self.config.deployment.limits.mem_mb * MAX_WAITING_PER_MB;
        if !self.store.is_complete() || self.user_requests.waiting.len() as f64 > max_waiting {
            return self.relay_or_reject(request);
        }
        let is_store_silent = self.store.seconds_since_store_reply(now) > MAX_STORE_SILENCE;
        if is_store_silent
            && matches!(reply_to, ReplyTo::User(_))
            && self.peers.sibling_reading_store(now).is_some()
        {
            // The sibling reads the store and can answer at once. This controller is cut off and would be
            // late.
            return self.relay_to_sibling(request);
        }
        self.start_request(request);
    }

    /// Creates the job if the request submits one that the replica does not contain. Answers every other
    /// request from the replica, or lets it wait for a read.
    fn start_request(&mut self, request: WaitingRequest) {
        match &request.operation {
            UserRequest::Submit(id, _) if self.store.job(id).is_none() => self.create_job(request),
            _ => self.answer_or_wait(request),
        }
    }

    /// Writes the record of a submitted job, or refuses the submission.
    fn create_job(&mut self, mut request: WaitingRequest) {
        let UserRequest::Submit(id, spec) = &request.operation else {
            return;
        };
        let record = new_job_record(spec, self.outbox.wall_ms);
        let key = job_key(id);
        let write = put(&key, &record, None);
        let Some(never_fits) = self.catalog.can_never_run(&self.config, spec) else {
            return self.relay_or_reject(request);
        };
        let problem = self.submission_problem(spec, never_fits, &write);
        // Only a read after the request shows that no controller has accepted this job or one of its
        // dependencies. A replica that is older than a heartbeat interval may also lack the cancellation of a
        // dependency, for example after a pause of this process.
        let age = self.outbox.now - self.store.current_as_of();
        let is_behind =
            age > self.config.deployment.workers.report_s && !spec.dependencies.is_empty();
        if (problem.is_some() || is_behind) && self.store.current_as_of() < request.read_after {
            self.store.request_read();
            return self.user_requests.enqueue(request);
        }
        if let Some(problem) = problem {
            let answer = Answer::json(422, serde_json::json!({"error": problem}));
            return self.reply(request.reply_to, answer);
        }
        let is_dependency_cancelled = spec
            .dependencies
            .iter()
            .any(|dependency| self.store.is_cancelled(dependency));
        // The record is created as cancelled, so that polls return this status.
        let write = match is_dependency_cancelled {
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

    /// Returns the error text of a submission that must be refused, and `None` for a valid one. `write` is
    /// the write of its record.
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

    /// Sends a write with the precondition that `key` has this version. The request waits instead while
    /// pacing delays writes.
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

    /// Handles the store's reply to the write of a request.
    pub(crate) fn handle_user_write_reply(&mut self, call: UserWrite, reply: StoreReply) {
        let now = self.outbox.now;
        let UserWrite { mut request, write } = call;
        match reply {
            StoreReply::Committed(version) => self.handle_committed_write(request, &write, version),
            StoreReply::Busy if now < request.received + BUSY_RETRY_WINDOW => {
                request.not_before = now + self.outbox.jitter(BUSY_RETRY_PAUSE);
                self.user_requests.enqueue(request);
            }
            // The record was changed by another write, or this write may have been applied. The stored record
            // determines the answer.
            StoreReply::Conflict | StoreReply::Unknown => {
                request.read_after = now;
                self.answer_or_wait(request);
            }
            _ => self.relay_or_reject(request),
        }
    }

    /// Applies a committed write to the replica and answers its request.
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
                let answer = Answer::json(201, status_answer(id, status));
                self.reply(request.reply_to, answer);
            }
            UserRequest::Cancel(id) => {
                tracing::info!(job = %id, version, "cancellation recorded: its user is told");
                self.notify_owner(id, team.as_ref());
                let answer = Answer::json(200, status_answer(id, JobStatus::Cancelled));
                self.reply(request.reply_to, answer);
            }
            // The write recorded that the job is cancelled because of a dependency.
            UserRequest::Submit(..) | UserRequest::Poll(_) => self.answer_or_wait(request),
        }
    }

    /// Answers a request if the replica is current enough. Otherwise the request waits for a read or a write.
    fn answer_or_wait(&mut self, mut request: WaitingRequest) {
        let id = request.operation.job().clone();
        let known = self.store.job(&id).cloned();
        let is_final = known.as_ref().is_some_and(|job| job.record.is_final());
        if let (false, true, Some(job)) =
            (is_final, self.store.has_cancelled_dependency(&id), &known)
        {
            return self.record_cancellation(request, job);
        }
        if !is_final && self.store.current_as_of() < request.read_after {
            self.store.request_read();
            return self.user_requests.enqueue(request);
        }
        match (&request.operation, known) {
            // The earlier write may have created the record or not. Repeating it determines the outcome.
            (UserRequest::Submit(..), None) if request.create_sent => {
                request.not_before = self.outbox.now + self.outbox.jitter(BUSY_RETRY_PAUSE);
                self.user_requests.enqueue(request);
            }
            (UserRequest::Submit(..), None) => self.create_job(request),
            (_, None) => self.reply(request.reply_to, Answer::empty(404)),
            (UserRequest::Poll(_), Some(job)) => {
                let (status, done, running) = self.displayed_progress(&id, &job.record);
                let answer = Answer::json(200, progress_answer(&id, status, done, running));
                self.reply(request.reply_to, answer);
            }
            (UserRequest::Cancel(_), Some(job)) if !is_final => {
                self.record_cancellation(request, &job);
            }
            (UserRequest::Submit(..) | UserRequest::Cancel(_), Some(job)) => {
                let (status, ..) = self.displayed_progress(&id, &job.record);
                let answer = Answer::json(200, status_answer(&id, status));
                self.reply(request.reply_to, answer);
            }
        }
    }

    /// Records that a job is cancelled, at the request of its user or because a dependency is cancelled. The
    /// request is answered only after the record is committed: a release without support for dependencies
    /// would otherwise report another status later, for example after a controller is rolled back to it.
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

    /// Returns a job's status and its numbers of done and of running tasks, for users. Only final states are
    /// permanent.
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

    /// Notifies the owner of the job's team of a cancellation, so that it learns of it before its next read
    /// of the store.
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

    /// Handles a request that this controller cannot answer. It relays the request to a sibling if its own
    /// reads of the store fail. Otherwise it answers at once that the user should retry later.
    fn relay_or_reject(&mut self, request: WaitingRequest) {
        if self.reads_store() {
            return self.reply(request.reply_to, Answer::unavailable());
        }
        self.relay_to_sibling(request);
    }

    /// Relays a user's request to a sibling that reads the store. If there is none, or the request was
    /// already relayed to this controller, the answer is to retry later.
    fn relay_to_sibling(&mut self, waiting: WaitingRequest) {
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

    /// Sends the answer to the user, or to the sibling that relayed the request.
    fn reply(&mut self, reply_to: ReplyTo, answer: Answer) {
        match reply_to {
            ReplyTo::User(request) => self.outbox.answer(request, answer),
            ReplyTo::Sibling(request) => self.outbox.answer_sibling(request, to_mesh_reply(answer)),
        }
    }

    /// Resumes the waiting requests whose read is complete and whose pause before a write is over.
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

    /// Processes a request from the start after it has waited.
    fn resume_request(&mut self, mut request: WaitingRequest) {
        request.create_sent = false;
        self.start_request(request);
    }

    /// Relays or rejects the requests that have waited too long or cannot succeed because this controller is
    /// cut off from the store. Resumes the requests whose postponed write may be sent.
    pub(crate) fn time_out_user_requests(&mut self) {
        let now = self.outbox.now;
        let is_cut_off =
            !self.reads_store() && self.store.seconds_since_store_reply(now) > MAX_POLL_WAIT;
        let mut index = 0;
        // A resumed request that has to wait again is appended, so this loop visits it as well.
        while let Some(request) = self.user_requests.waiting.get(index) {
            let is_late_or_cut_off =
                now > request.received + max_wait(&request.operation) || is_cut_off;
            let is_pause_over = request.not_before > request.received && request.not_before <= now;
            if is_late_or_cut_off {
                let request = self.user_requests.waiting.swap_remove(index);
                self.relay_or_reject(request);
            } else if is_pause_over && self.store.current_as_of() >= request.read_after {
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

/// Creates the record of a newly submitted job.
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

/// Converts an answer to the reply for the sibling that relayed the request. Only bodies for users are sent.
fn to_mesh_reply(answer: Answer) -> MeshReply {
    let body = match answer.body {
        Body::Json(body) => Some(body),
        Body::Empty | Body::HeartbeatResponse(_) | Body::Status(_) => None,
    };
    MeshReply::Answer {
        status: answer.status,
        body,
        retry_after: answer.retry_after,
    }
}

/// Returns the seconds that a request may wait in this controller.
fn max_wait(operation: &UserRequest) -> Time {
    match operation {
        UserRequest::Poll(_) => MAX_POLL_WAIT,
        UserRequest::Submit(..) | UserRequest::Cancel(_) => MAX_WRITE_WAIT,
    }
}
