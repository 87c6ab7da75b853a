//! Writes the progress and the completion of jobs to the store.
//!
//! Progress and completion are facts that any controller may record, so the record's version is a sufficient
//! precondition. Jobs that are due at the same time are written in one transaction. If that transaction
//! fails, each job is retried in its own transaction, so that no job is delayed by another job's conflict.

use crate::config::Config;
use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::{Pending, RecordWrite};
use crate::core::effects::{StoreCall, StoreReply};
use crate::core::jobs::job::Job;
use crate::core::model::time::Time;
use crate::core::records::job_record::JobRecord;
use crate::core::records::keys::job_key;
use crate::core::records::versioned::{precondition, put};
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::JobId;
use crate::wire::{BODY_LIMIT, Transaction};
use std::collections::{BTreeMap, VecDeque};

/// Fraction of the store's write rate that job records may use.
const JOB_RECORDS_FRACTION: f64 = 0.75;

/// Maximum serialized size of one range of done tasks in a record, in bytes.
const MAX_RANGE_BYTES: f64 = 15.0;

/// Size of the writes, in bytes, at which a transaction is sent. The other half of the body limit leaves room
/// for the last write that was added and for the preconditions.
const FULL_TRANSACTION_BYTES: usize = BODY_LIMIT / 2;

/// Average delay before a write is retried after a conflict, in seconds.
const CONFLICT_PAUSE_S: Time = 0.1;

/// Average delay before a write is retried if it was not executed or its outcome is unknown, in seconds.
const FAILURE_PAUSE_S: Time = 0.3;

/// Queues of jobs with unrecorded progress or completion. Completed jobs come first. A job may be queued more
/// than once; an entry is skipped if the job has been recorded since.
#[derive(Default)]
pub struct UnrecordedJobs {
    completed: VecDeque<JobId>,
    /// Jobs that have progress to record but are not complete, each with the time at which it was queued.
    progressed: VecDeque<(Time, JobId)>,
}

impl UnrecordedJobs {
    fn add(&mut self, id: &JobId, job: &Job, now: Time) {
        if job.all_done() {
            self.completed.push_back(id.clone());
        } else {
            self.progressed.push_back((now, id.clone()));
        }
    }

    /// Removes and returns the next job to record: a completed job, or else a job whose progress has been
    /// queued for at least `delay` seconds. Adds the number of examined entries to `visits`.
    fn next(
        &mut self,
        jobs: &BTreeMap<JobId, Job>,
        delay: Time,
        now: Time,
        visits: &mut u64,
    ) -> Option<JobId> {
        self.take_completed(jobs, now, visits)
            .or_else(|| self.take_progressed(jobs, delay, now, visits))
    }

    fn take_completed(
        &mut self,
        jobs: &BTreeMap<JobId, Job>,
        now: Time,
        visits: &mut u64,
    ) -> Option<JobId> {
        for _ in 0..self.completed.len() {
            let id = self.completed.pop_front()?;
            *visits += 1;
            match find_recordable(jobs, &id) {
                Some(job) if now < job.write_after => self.completed.push_back(id),
                Some(_) => return Some(id),
                None => {}
            }
        }
        None
    }

    fn take_progressed(
        &mut self,
        jobs: &BTreeMap<JobId, Job>,
        delay: Time,
        now: Time,
        visits: &mut u64,
    ) -> Option<JobId> {
        while self
            .progressed
            .front()
            .is_some_and(|(since, _)| now >= since + delay)
        {
            let (_, id) = self.progressed.pop_front()?;
            *visits += 1;
            match find_recordable(jobs, &id) {
                // The job is in the queue of completed jobs as well.
                Some(job) if job.all_done() => {}
                Some(job) if now < job.write_after => self.progressed.push_back((now, id)),
                Some(_) => return Some(id),
                None => {}
            }
        }
        None
    }
}

/// Returns the job if it still has something to record and none of its writes is in flight.
fn find_recordable<'a>(jobs: &'a BTreeMap<JobId, Job>, id: &JobId) -> Option<&'a Job> {
    jobs.get(id)
        .filter(|job| job.unrecorded_since.is_some() && !job.write_in_flight)
}

/// Rate at which each of `writers` controllers may write job records, in writes per second. Controllers that
/// own teams write independently of one another. Together they leave a part of the store's write rate to user
/// requests and to the shard map.
pub fn write_rate_per_controller(config: &Config, writers: usize) -> f64 {
    config.deployment.state.write_rps * JOB_RECORDS_FRACTION / writers as f64
}

impl Shard {
    /// Queues a job whose progress or completion has to be recorded.
    pub(crate) fn queue_for_recording(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_first = job.unrecorded_since.is_none();
        job.unrecorded_since.get_or_insert(now);
        if is_first || job.all_done() {
            self.unrecorded.add(id, job, now);
        }
    }

    /// Records completed jobs at once and progress after a delay, within the rate limit of job records.
    pub(crate) fn record_progress(&mut self, outbox: &mut Outbox) {
        let mut batch = Vec::new();
        while outbox.may_write() && self.record_rate.has_token(outbox.now) {
            let delay = self.config.deployment.workers.report_s;
            let due = self
                .unrecorded
                .next(&self.jobs, delay, outbox.now, &mut self.visits);
            let Some(id) = due else { break };
            let Some(write) = self.create_record_write(&id, outbox.wall_ms) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            self.record_rate.take(outbox.now);
            job.write_in_flight = true;
            job.unrecorded_since = None;
            if job.write_alone {
                commit(outbox, vec![write]);
            } else {
                batch.push(write);
            }
        }
        self.commit_in_batches(outbox, batch);
    }

    /// Creates the write of a job's current record. Returns `None` if the record is too large for the store;
    /// the job then has nothing to record until it makes further progress.
    fn create_record_write(&mut self, id: &JobId, wall_ms: u64) -> Option<RecordWrite> {
        let value_limit = self.config.deployment.state.value_kb * 1024.0;
        let job = self.jobs.get_mut(id)?;
        let record = if job.all_done() {
            job.record.to_done(wall_ms)
        } else {
            progress_record(job, value_limit)
        };
        let write = put(&job_key(id), &record, None);
        let bytes = write.value_bytes();
        // The job was accepted under a larger limit on values, so its progress is not recorded before it
        // completes.
        let too_large = !record.is_final() && bytes as f64 > value_limit;
        if too_large || bytes >= job.smallest_rejected_bytes {
            job.unrecorded_since = None;
            return None;
        }
        Some(RecordWrite {
            job: id.clone(),
            version: job.version,
            write,
        })
    }

    /// Commits records in transactions that stay within the store's limits on operations and bytes.
    pub(super) fn commit_in_batches(&self, outbox: &mut Outbox, records: Vec<RecordWrite>) {
        let max_operations = self.config.deployment.state.txn_ops;
        let mut batch = Vec::new();
        let mut bytes = 0;
        for record in records {
            bytes += record.write.value_bytes();
            batch.push(record);
            if batch.len() >= max_operations || bytes >= FULL_TRANSACTION_BYTES {
                commit(outbox, std::mem::take(&mut batch));
                bytes = 0;
            }
        }
        if !batch.is_empty() {
            commit(outbox, batch);
        }
    }

    /// Handles the store's reply to a transaction of job records.
    pub(crate) fn handle_records_reply(
        &mut self,
        outbox: &mut Outbox,
        store: &mut StoreReplica,
        records: Vec<RecordWrite>,
        reply: StoreReply,
    ) {
        let was_batched = records.len() > 1;
        for record in records {
            let id = &record.job;
            if let StoreReply::Committed(version) = reply {
                store.apply_write(&record.write, version);
                self.finish_record_write(outbox, store, id);
            } else {
                self.requeue_record(outbox, store, &record, &reply, was_batched);
            }
        }
    }

    /// Updates a job whose record was committed, and lets workers forget the tasks that are recorded as done.
    fn finish_record_write(&mut self, outbox: &Outbox, store: &mut StoreReplica, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.write_in_flight = false;
        if job.unrecorded_since.is_some() {
            self.unrecorded.add(id, job, outbox.now);
        }
        job.write_alone = false;
        let Some(stored) = store.job(id) else { return };
        let (record, version) = (stored.record.clone(), stored.version);
        if record.is_final() {
            tracing::info!(job = %id, version, status = ?record.status, "end of a job recorded: its user is told");
            if store.dependents(id).next().is_some() {
                store.request_read();
            }
        }
        self.allow_forgetting_recorded_exits(id, &record);
        self.apply_job_record(store, id, &record, version, (outbox.now, outbox.wall_ms));
    }

    /// Queues a job again whose record was not committed, or whose write has an unknown outcome.
    /// `was_batched` says that the transaction also contained records of other jobs.
    fn requeue_record(
        &mut self,
        outbox: &mut Outbox,
        store: &mut StoreReplica,
        record: &RecordWrite,
        reply: &StoreReply,
        was_batched: bool,
    ) {
        let id = &record.job;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.write_in_flight = false;
        match reply {
            StoreReply::Conflict | StoreReply::Rejected if was_batched => job.write_alone = true,
            StoreReply::Rejected => {
                let bytes = record.write.value_bytes();
                tracing::error!(
                    job = %id,
                    bytes,
                    "store rejected a job record: the job continues, records of this size or larger are not written"
                );
                job.smallest_rejected_bytes = job.smallest_rejected_bytes.min(bytes);
            }
            _ => {
                // The job was cancelled meanwhile, the write was not executed, or its outcome is unknown. The
                // retry needs the current record, so a read of the store is requested.
                store.request_read();
                let pause = if *reply == StoreReply::Conflict {
                    CONFLICT_PAUSE_S
                } else {
                    FAILURE_PAUSE_S
                };
                job.write_after = outbox.now + outbox.jitter(pause);
            }
        }
        job.unrecorded_since.get_or_insert(outbox.now);
        self.unrecorded.add(id, job, outbox.now);
    }
}

/// Returns the job's record with as many of its largest ranges of done tasks as fit into a value of the
/// store.
fn progress_record(job: &Job, value_limit: f64) -> JobRecord {
    let mut done = job.done.clone();
    done.keep_largest(max_ranges(value_limit));
    JobRecord {
        done,
        ..(*job.record).clone()
    }
}

/// Returns how many ranges of done tasks a value of at most `value_limit` bytes may hold, at least one.
/// Ranges may use half of the value; the rest of the record fits into the other half.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the fraction is dropped; the cast saturates"
)]
fn max_ranges(value_limit: f64) -> usize {
    let ranges = (value_limit / 2.0 / MAX_RANGE_BYTES) as usize;
    ranges.max(1)
}

/// Sends a transaction that writes the records on the condition that none of them has changed in the store.
fn commit(outbox: &mut Outbox, records: Vec<RecordWrite>) {
    let preconditions = records
        .iter()
        .map(|record| precondition(&job_key(&record.job), record.version));
    let writes = records.iter().map(|record| record.write.clone());
    let transaction = Transaction {
        preconditions: preconditions.collect(),
        writes: writes.collect(),
    };
    outbox.call_store(Pending::JobRecords(records), StoreCall::Commit(transaction));
}

#[cfg(test)]
mod tests;
