//! Recording of jobs' progress and ends in the store.
//!
//! Progress and ends are true no matter which controller records them, so a record's version is a sufficient
//! precondition. Jobs that are due together go into one transaction. If that fails, each is tried again in a
//! transaction of its own, so that no job waits for another's conflict.

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

/// Part of the store's write rate that records of jobs' progress and ends may take.
const PART_OF_WRITE_RATE: f64 = 0.75;

/// Longest serialized form of a range of done tasks in a record, in bytes.
const RANGE_BYTES: f64 = 15.0;

/// Bytes of values after which a transaction takes no further value: with its last value and the preconditions it
/// stays within the limit on bodies.
const TRANSACTION_BYTES: usize = BODY_LIMIT / 2;

/// Seconds before the next try after a conflict.
const CONFLICT_PAUSE: Time = 0.1;

/// Seconds before the next try when the outcome is unknown or the store refuses.
const FAILURE_PAUSE: Time = 0.3;

/// Queues of the jobs with something to record, in the order in which they are served. A job may be queued more
/// than once; entries that have been recorded meanwhile are skipped.
#[derive(Default)]
pub struct UnrecordedJobs {
    completed: VecDeque<JobId>,
    /// Jobs with progress, with the time since when each is queued.
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

    /// Takes the next job to record: a completed one, or one whose progress has waited for `delay` seconds. Each
    /// entry looked at adds one to `visits`.
    fn next(
        &mut self,
        jobs: &BTreeMap<JobId, Job>,
        delay: Time,
        now: Time,
        visits: &mut u64,
    ) -> Option<JobId> {
        self.next_completed(jobs, now, visits)
            .or_else(|| self.next_progressed(jobs, delay, now, visits))
    }

    fn next_completed(
        &mut self,
        jobs: &BTreeMap<JobId, Job>,
        now: Time,
        visits: &mut u64,
    ) -> Option<JobId> {
        for _ in 0..self.completed.len() {
            let id = self.completed.pop_front()?;
            *visits += 1;
            match recordable(jobs, &id) {
                Some(job) if now < job.write_after => self.completed.push_back(id),
                Some(_) => return Some(id),
                None => {}
            }
        }
        None
    }

    fn next_progressed(
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
            match recordable(jobs, &id) {
                // It is queued as completed too.
                Some(job) if job.all_done() => {}
                Some(job) if now < job.write_after => self.progressed.push_back((now, id)),
                Some(_) => return Some(id),
                None => {}
            }
        }
        None
    }
}

/// A queued job, if it still has something to record and no write of it is pending.
fn recordable<'a>(jobs: &'a BTreeMap<JobId, Job>, id: &JobId) -> Option<&'a Job> {
    jobs.get(id)
        .filter(|job| job.unrecorded_since.is_some() && !job.write_in_flight)
}

/// Writes per second of one controller. Controllers with teams write independently; together they leave a part of
/// the store's rate for user requests and the shard map.
pub fn write_rate_per_controller(config: &Config, writers: usize) -> f64 {
    config.deployment.state.write_rps * PART_OF_WRITE_RATE / writers as f64
}

impl Shard {
    /// Notes that a job has progress, or its end, to be recorded.
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

    /// Records completed jobs at once, and progress after a delay.
    pub(crate) fn record_progress(&mut self, outbox: &mut Outbox) {
        let mut batch = Vec::new();
        while outbox.may_write() && self.record_rate.has_token(outbox.now) {
            let delay = self.config.deployment.workers.report_s;
            let due = self
                .unrecorded
                .next(&self.jobs, delay, outbox.now, &mut self.visits);
            let Some(id) = due else { break };
            let Some(write) = self.next_record(&id, outbox.wall_ms) else {
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
        self.commit_batches(outbox, batch);
    }

    /// The next record of a job; `None` if the store would refuse it.
    fn next_record(&mut self, id: &JobId, wall_ms: u64) -> Option<RecordWrite> {
        let value_limit = self.config.deployment.state.value_kb * 1024.0;
        let job = self.jobs.get_mut(id)?;
        let record = if job.all_done() {
            job.record.done(wall_ms)
        } else {
            progress_record(job, value_limit)
        };
        let write = put(&job_key(id), &record, None);
        let bytes = write.bytes();
        // The job was accepted when values could be larger: its progress is recorded with its end only.
        let too_large = !record.is_final() && bytes as f64 > value_limit;
        if too_large || bytes >= job.refused_bytes {
            job.unrecorded_since = None;
            return None;
        }
        Some(RecordWrite {
            job: id.clone(),
            version: job.version,
            write,
        })
    }

    /// Records the cancellation of jobs with a cancelled dependency. Every controller derives it anyway, so these
    /// writes come after all others.
    pub(crate) fn record_dependent_cancellations(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
    ) {
        let now = outbox.now;
        let pause = self.config.deployment.workers.report_s;
        let is_ours = |record: &JobRecord| {
            let team = record.spec.as_ref().map(|spec| &spec.team);
            !record.is_final() && team.is_some_and(|team| self.teams.contains_key(team))
        };
        self.dependency_cancelled
            .retain(|id, _| store.job(id).is_some_and(|job| is_ours(&job.record)));
        let mut batch = Vec::new();
        for (id, not_before) in &mut self.dependency_cancelled {
            if !outbox.may_write() {
                break;
            }
            let Some(job) = store.job(id).filter(|_| now >= *not_before) else {
                continue;
            };
            if !self.record_rate.take(now) {
                break;
            }
            *not_before = now + outbox.jitter(pause);
            let record = job.record.cancelled_unstarted(outbox.wall_ms);
            let write = put(&job_key(id), &record, None);
            batch.push(RecordWrite {
                job: id.clone(),
                version: job.version,
                write,
            });
        }
        self.commit_batches(outbox, batch);
    }

    /// Commits records in transactions within the store's limits.
    fn commit_batches(&self, outbox: &mut Outbox, records: Vec<RecordWrite>) {
        let max_operations = self.config.deployment.state.txn_ops;
        let mut batch = Vec::new();
        let mut bytes = 0;
        for record in records {
            bytes += record.write.bytes();
            batch.push(record);
            if batch.len() >= max_operations || bytes >= TRANSACTION_BYTES {
                commit(outbox, std::mem::take(&mut batch));
                bytes = 0;
            }
        }
        if !batch.is_empty() {
            commit(outbox, batch);
        }
    }

    /// Handles the store's reply to a transaction of records.
    pub(crate) fn handle_records_reply(
        &mut self,
        outbox: &mut Outbox,
        store: &mut StoreReplica,
        records: Vec<RecordWrite>,
        reply: StoreReply,
    ) {
        let with_others = records.len() > 1;
        for record in records {
            let id = &record.job;
            if let StoreReply::Committed(version) = reply {
                store.apply_write(&record.write, version);
                self.record_committed(outbox, store, id);
            } else {
                self.record_not_committed(outbox, store, &record, &reply, with_others);
            }
        }
    }

    /// A job's record is committed: machines may forget tasks that are recorded as done.
    fn record_committed(&mut self, outbox: &Outbox, store: &StoreReplica, id: &JobId) {
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
        self.forget_recorded(id, &record);
        self.apply_job_record(store, id, &record, version, (outbox.now, outbox.wall_ms));
    }

    /// A job's record was not, or possibly not, committed: it is queued again. `with_others`: the transaction held
    /// records of other jobs.
    fn record_not_committed(
        &mut self,
        outbox: &mut Outbox,
        store: &mut StoreReplica,
        record: &RecordWrite,
        reply: &StoreReply,
        with_others: bool,
    ) {
        let id = &record.job;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.write_in_flight = false;
        match reply {
            StoreReply::Conflict | StoreReply::Rejected if with_others => job.write_alone = true,
            StoreReply::Rejected => {
                let bytes = record.write.bytes();
                tracing::error!(job = %id, bytes, "store rejected a job record");
                job.refused_bytes = job.refused_bytes.min(bytes);
            }
            _ => {
                // The job was cancelled meanwhile, or the outcome is unknown: a read shows it before the next try.
                store.want_sync();
                let pause = if *reply == StoreReply::Conflict {
                    CONFLICT_PAUSE
                } else {
                    FAILURE_PAUSE
                };
                job.write_after = outbox.now + outbox.jitter(pause);
            }
        }
        job.unrecorded_since.get_or_insert(outbox.now);
        self.unrecorded.add(id, job, outbox.now);
    }
}

/// A job's record with as much of its progress as a value of the store may hold.
fn progress_record(job: &Job, value_limit: f64) -> JobRecord {
    let mut done = job.done.clone();
    done.keep_largest(max_ranges(value_limit));
    JobRecord {
        done,
        ..(*job.record).clone()
    }
}

/// The number of ranges that a value of this many bytes may hold: half of it, as the rest of a record keeps within
/// the other half. At least one.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the fraction is dropped; the cast saturates"
)]
fn max_ranges(value_limit: f64) -> usize {
    let ranges = (value_limit / 2.0 / RANGE_BYTES) as usize;
    ranges.max(1)
}

/// Sends a transaction that writes records, if none of them has changed.
fn commit(outbox: &mut Outbox, records: Vec<RecordWrite>) {
    let preconditions = records
        .iter()
        .map(|record| precondition(&job_key(&record.job), record.version));
    let writes = records.iter().map(|record| record.write.clone());
    let transaction = Transaction {
        preconditions: preconditions.collect(),
        writes: writes.collect(),
    };
    outbox.state(Pending::Records(records), StoreCall::Commit(transaction));
}

#[cfg(test)]
mod tests;
