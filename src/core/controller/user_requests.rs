//! Users' requests. Any controller answers any of them: jobs are created, cancelled and read in
//! the state service itself, guarded by versions, so an answer never depends on who gives it.
//! Nothing is held back: what cannot be done soon is answered with when to come back.

use crate::core::Core;
use crate::core::effects::pending::{Pending, ReplyTo, UserWrite, WaitingRequest};
use crate::core::effects::{Answer, Body, RequestId, StoreCall, StoreReply, UserRequest};
use crate::core::messages::mesh::{MeshMessage, MeshReply};
use crate::core::model::time::Time;
use crate::core::records::job_record::JobRecord;
use crate::core::records::keys::job_key;
use crate::core::records::versioned::{Versioned, precondition, put};
use crate::ids::{JobId, Team, Version};
use crate::wire::{JobStatus, Transaction, Write, state_answer, status_answer};
use std::rc::Rc;

/// Users wait 2 s for an answer to a poll; this leaves room for a relay.
pub(crate) const POLL_WAIT: Time = 0.9;

/// Users wait 5 s for an answer to a submission or cancellation.
pub(crate) const WRITE_WAIT: Time = 1.5;

/// The state service answers within a few hundred ms; asked all the time, it is silent when cut off.
pub(crate) const SILENCE: Time = POLL_WAIT / 3.0;

/// How long a write that the state service put off for its rate is tried again.
pub(crate) const BUSY_WAIT: Time = 0.6;

#[derive(Default)]
pub struct UserRequests {
    pub(crate) waiting: Vec<WaitingRequest>,
}

/// Requests a controller keeps waiting at most, per MB of its memory limit.
pub(crate) const WAITING_PER_MB: f64 = 20.0;

impl Core {
    pub(crate) fn user_request(&mut self, request: RequestId, what: UserRequest) {
        self.ask(ReplyTo::User(request), what);
    }

    pub(crate) fn relayed_request(&mut self, request: RequestId, what: UserRequest) {
        self.ask(ReplyTo::Sibling(request), what);
    }

    pub(crate) fn ask(&mut self, reply_to: ReplyTo, what: UserRequest) {
        let now = self.outbox.now;
        let (needs, not_before) = (now, now);
        let asked = WaitingRequest {
            reply_to,
            what,
            asked: now,
            needs,
            not_before,
            created: false,
        };
        let limit = self.config.deployment.limits.mem_mb * WAITING_PER_MB;
        if !self.store.complete() || self.user_requests.waiting.len() as f64 > limit {
            return self.give_up(asked);
        }
        let silent = self.store.state_silence(now) > SILENCE;
        if silent
            && matches!(reply_to, ReplyTo::User(_))
            && self.peers.sibling_reading_store(now).is_some()
        {
            // Cut from the state service alone: a sibling answers at once what would be late here.
            return self.pass_on(asked);
        }
        self.consider(asked);
    }

    /// A submission that is new here is created; all else is read.
    pub(crate) fn consider(&mut self, asked: WaitingRequest) {
        match &asked.what {
            UserRequest::Submit(id, _) if self.store.job(id).is_none() => self.create(asked),
            _ => self.resolve(asked),
        }
    }

    pub(crate) fn create(&mut self, mut asked: WaitingRequest) {
        let UserRequest::Submit(id, spec) = &asked.what else {
            return;
        };
        let record = JobRecord {
            status: JobStatus::Pending,
            accepted_ms: self.outbox.wall_ms,
            tasks: spec.tasks,
            done: Default::default(),
            spec: Some(Rc::new((**spec).clone())),
            ended_ms: None,
            terminating: None,
        };
        let key = job_key(id);
        let write = put(&key, &record, None);
        let Some(never) = self.catalog.can_never_run(&self.config, spec) else {
            return self.give_up(asked);
        };
        let unknown = spec
            .dependencies
            .iter()
            .any(|needed| self.store.job(needed).is_none());
        let refusal = match write.bytes() as f64 > self.config.deployment.state.value_kb * 1024.0 {
            _ if never => Some("can never run"),
            _ if unknown => Some("awaits: a job that was never accepted"),
            true => Some("awaits or breeds: too many"),
            false => None,
        };
        // Only a read since the question tells that nobody has accepted this job or one that it needs. And
        // a controller that stood still may have missed a cancellation long ago (meeting day 97).
        let age = self.outbox.now - self.store.current_as_of();
        let behind = age > self.config.deployment.workers.report_s && !spec.dependencies.is_empty();
        if (refusal.is_some() || behind) && self.store.current_as_of() < asked.needs {
            self.store.want_sync();
            return self.user_requests.waiting.push(asked);
        }
        if let Some(problem) = refusal {
            let answer = Answer::value(422, serde_json::json!({"error": problem}));
            return self.reply(asked.reply_to, answer);
        }
        // Recorded as cancelled from the start, so that its user can be told so.
        let cancelled = spec
            .dependencies
            .iter()
            .any(|needed| self.store.cancelled(needed));
        let write = match cancelled {
            true => put(&key, &record.cancelled_unstarted(self.outbox.wall_ms), None),
            false => write,
        };
        asked.created = true;
        self.commit(asked, key, 0, write);
    }

    pub(crate) fn commit(
        &mut self,
        mut asked: WaitingRequest,
        key: String,
        version: Version,
        write: Write,
    ) {
        if !self.outbox.may_write() {
            asked.not_before = self.outbox.write_resumes();
            return self.user_requests.waiting.push(asked);
        }
        let transaction = Transaction {
            preconditions: vec![precondition(&key, version)],
            writes: vec![write.clone()],
        };
        let call = UserWrite { asked, write };
        self.outbox
            .state(Pending::UserWrite(call), StoreCall::Commit(transaction));
    }

    pub(crate) fn user_write_answered(&mut self, call: UserWrite, reply: StoreReply) {
        let now = self.outbox.now;
        let UserWrite { mut asked, write } = call;
        match reply {
            StoreReply::Committed(version) => {
                let before = self.store.job(asked.what.job());
                let team = before
                    .and_then(|job| job.record.spec.as_ref())
                    .map(|s| s.team.clone());
                self.store.apply_write(&write, version);
                self.store.want_sync();
                match &asked.what {
                    UserRequest::Submit(id, _) if asked.created => {
                        let recorded = self.store.job(id).map(|job| job.record.status);
                        let status = recorded.unwrap_or(JobStatus::Pending);
                        let answer = Answer::value(201, status_answer(id, status));
                        self.reply(asked.reply_to, answer);
                    }
                    UserRequest::Cancel(id) => {
                        let id = id.clone();
                        self.tell_owner(&id, team.as_ref());
                        let answer = Answer::value(200, status_answer(&id, JobStatus::Cancelled));
                        self.reply(asked.reply_to, answer);
                    }
                    // Its cancellation with what it needs is recorded now.
                    UserRequest::Submit(..) | UserRequest::Poll(_) => self.resolve(asked),
                }
            }
            StoreReply::Busy if now < asked.asked + BUSY_WAIT => {
                asked.not_before = now + self.outbox.jitter(BUSY_WAIT / 6.0);
                self.user_requests.waiting.push(asked);
            }
            // Changed meanwhile, or perhaps written: what is there now decides.
            StoreReply::Conflict | StoreReply::Unknown => {
                asked.needs = now;
                self.resolve(asked);
            }
            _ => self.give_up(asked),
        }
    }

    /// Answers if the view is current enough, else waits for it.
    pub(crate) fn resolve(&mut self, mut asked: WaitingRequest) {
        let id = asked.what.job().clone();
        let known = self.store.job(&id).cloned();
        let ended = known.as_ref().is_some_and(|job| job.record.is_final());
        if let (false, true, Some(job)) = (ended, self.store.dependency_cancelled(&id), &known) {
            return self.record_cancellation(asked, job);
        }
        if !ended && self.store.current_as_of() < asked.needs {
            self.store.want_sync();
            self.user_requests.waiting.push(asked);
            return;
        }
        match (&asked.what, known) {
            (UserRequest::Submit(..), None) => {
                // Created or not, a repeat of the guarded create decides.
                if asked.created {
                    asked.not_before = self.outbox.now + self.outbox.jitter(BUSY_WAIT / 6.0);
                    self.user_requests.waiting.push(asked);
                } else {
                    self.create(asked);
                }
            }
            (_, None) => self.reply(asked.reply_to, Answer::empty(404)),
            (UserRequest::Submit(..), Some(job)) => {
                let status = self.display(&id, &job.record).0;
                self.reply(
                    asked.reply_to,
                    Answer::value(200, status_answer(&id, status)),
                );
            }
            (UserRequest::Poll(_), Some(job)) => {
                let (status, done, running) = self.display(&id, &job.record);
                let answer = Answer::value(200, state_answer(&id, status, done, running));
                self.reply(asked.reply_to, answer);
            }
            (UserRequest::Cancel(_), Some(job)) if ended => {
                let status = self.display(&id, &job.record).0;
                let answer = Answer::value(200, status_answer(&id, status));
                self.reply(asked.reply_to, answer);
            }
            (UserRequest::Cancel(_), Some(job)) => self.record_cancellation(asked, &job),
        }
    }

    /// A job is cancelled by its user, or with one that it needs. Nobody is told before that is
    /// recorded: a version that doesn't know of dependencies could tell users otherwise (upgrade
    /// days 2 and 34: a controller went back to such a version).
    pub(crate) fn record_cancellation(
        &mut self,
        asked: WaitingRequest,
        job: &Versioned<Rc<JobRecord>>,
    ) {
        let (key, wall_ms) = (job_key(asked.what.job()), self.outbox.wall_ms);
        let record = match self.store.dependency_cancelled(asked.what.job()) {
            true => job.record.cancelled_unstarted(wall_ms),
            false => job.record.cancelled(wall_ms),
        };
        let write = put(&key, &record, None);
        self.commit(asked, key, job.version, write);
    }

    /// JobStatus and counts as shown to users; only final stances are promises.
    pub(crate) fn display(&self, id: &JobId, record: &JobRecord) -> (JobStatus, u32, u32) {
        match record.status {
            JobStatus::Done => (JobStatus::Done, record.tasks, 0),
            JobStatus::Cancelled => (JobStatus::Cancelled, 0, 0),
            _ => {
                let counts = self.shard.as_ref().and_then(|owner| owner.counts(id));
                let (done, running) = counts
                    .or_else(|| self.peers.running(id))
                    .unwrap_or((record.done.len(), 0));
                let status = if running > 0 {
                    JobStatus::Running
                } else {
                    JobStatus::Pending
                };
                (status, done, running)
            }
        }
    }

    /// The team's owner learns of a cancellation by its next sync anyway; this is only sooner.
    pub(crate) fn tell_owner(&mut self, id: &JobId, team: Option<&Team>) {
        let owner = team.and_then(|team| self.store.owners().teams.get(team));
        let node = owner.map(|owner| owner.node.clone());
        if let Some(node) = node.filter(|node| *node != self.config.node) {
            self.outbox
                .mesh(Pending::Notice, &node, MeshMessage::Cancelled(id.clone()));
        }
    }

    /// This controller cannot answer: a sibling that has the state service may; else the user
    /// is told at once when to come back.
    pub(crate) fn give_up(&mut self, asked: WaitingRequest) {
        if self.reads_store() {
            return self.reply(asked.reply_to, Answer::unavailable());
        }
        self.pass_on(asked);
    }

    pub(crate) fn pass_on(&mut self, asked: WaitingRequest) {
        let sibling = self.peers.sibling_reading_store(self.outbox.now).cloned();
        let (ReplyTo::User(request), Some(node)) = (asked.reply_to, sibling) else {
            return self.reply(asked.reply_to, Answer::unavailable());
        };
        let message = match &asked.what {
            UserRequest::Submit(id, spec) if !spec.dependencies.is_empty() => {
                MeshMessage::SubmitDependent(id.clone(), spec.clone())
            }
            UserRequest::Submit(id, spec) => MeshMessage::Submit(id.clone(), spec.clone()),
            UserRequest::Poll(id) => MeshMessage::Poll(id.clone()),
            UserRequest::Cancel(id) => MeshMessage::Cancel(id.clone()),
        };
        self.outbox.mesh(Pending::Relay { request }, &node, message);
    }

    pub(crate) fn reply(&mut self, to: ReplyTo, answer: Answer) {
        match to {
            ReplyTo::User(request) => self.outbox.answer(request, answer),
            ReplyTo::Sibling(request) => {
                let body = match answer.body {
                    Body::Value(body) => Some(body),
                    Body::Empty | Body::HeartbeatResponse(_) | Body::Status(_) => None,
                };
                let Answer {
                    status,
                    retry_after,
                    ..
                } = answer;
                self.outbox.mesh_answer(
                    request,
                    MeshReply::Answer {
                        status,
                        body,
                        retry_after,
                    },
                );
            }
        }
    }

    /// The view has moved on: those that waited for that get their answers.
    pub(crate) fn resume_user_requests(&mut self) {
        let current = self.store.current_as_of();
        let now = self.outbox.now;
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.user_requests.waiting)
            .into_iter()
            .partition(|asked| asked.needs <= current && asked.not_before <= now);
        self.user_requests.waiting = waiting;
        for asked in ready {
            self.resume(asked);
        }
    }

    pub(crate) fn resume(&mut self, mut asked: WaitingRequest) {
        asked.created = false;
        self.consider(asked);
    }

    pub(crate) fn time_out_user_requests(&mut self) {
        let now = self.outbox.now;
        let has_state = self.reads_store();
        let silence = self.store.state_silence(now);
        let mut index = 0;
        while index < self.user_requests.waiting.len() {
            let asked = &self.user_requests.waiting[index];
            let wait = match asked.what {
                UserRequest::Poll(_) => POLL_WAIT,
                UserRequest::Submit(..) | UserRequest::Cancel(_) => WRITE_WAIT,
            };
            let late = now > asked.asked + wait || (!has_state && silence > POLL_WAIT);
            let put_off = asked.not_before > asked.asked && asked.not_before <= now;
            if late {
                let asked = self.user_requests.waiting.swap_remove(index);
                self.give_up(asked);
            } else if put_off && self.store.current_as_of() >= asked.needs {
                let asked = self.user_requests.waiting.swap_remove(index);
                self.resume(asked);
            } else {
                index += 1;
            }
        }
        if !self.user_requests.waiting.is_empty() {
            self.store.want_sync();
        }
    }
}
