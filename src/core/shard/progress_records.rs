//! Records jobs' progress and ends in the state service. Progress and ends are true whoever records
//! them, so a record's version is guard enough. Jobs that are due together go into one transaction;
//! if that fails, each is tried again by itself, so that none waits for another's conflict.

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

/// Part of the state service's changes a second that progress and ends of jobs may take.
pub(crate) const SHARE_OF_WRITES: f64 = 0.75;

/// Bytes that a range of done tasks takes in a record at most.
pub(crate) const RANGE_BYTES: f64 = 15.0;

/// Bytes of values that a transaction carries, once reached: with its last value and the guards it
/// keeps within the limit on bodies.
pub(crate) const TRANSACTION_BYTES: usize = BODY_LIMIT / 2;

/// Seconds before another try, when the record has changed meanwhile.
pub(crate) const CONFLICT_PAUSE: Time = 0.1;

/// Seconds before another try, when the outcome is unknown or the service refuses.
pub(crate) const FAILURE_PAUSE: Time = 0.3;

/// Jobs with something to record, in the order in which they are served. A job may stand in it more
/// than once; what has been recorded meanwhile is passed over.
#[derive(Default)]
pub struct Unrecorded {
    pub(crate) completed: VecDeque<JobId>,
    /// With the time since when each has progress.
    pub(crate) progressed: VecDeque<(Time, JobId)>,
}

impl Unrecorded {
    pub(crate) fn add(&mut self, id: &JobId, job: &Job, now: Time) {
        if job.all_done() {
            self.completed.push_back(id.clone());
        } else {
            self.progressed.push_back((now, id.clone()));
        }
    }

    /// The next one: a completed job, or one whose progress has waited for `leisure`.
    pub(crate) fn next(
        &mut self,
        jobs: &BTreeMap<JobId, Job>,
        leisure: Time,
        now: Time,
        visits: &mut u64,
    ) -> Option<JobId> {
        let open = |id: &JobId| {
            jobs.get(id)
                .filter(|job| job.unrecorded_since.is_some() && !job.write_out)
        };
        for _ in 0..self.completed.len() {
            let id = self.completed.pop_front()?;
            *visits += 1;
            match open(&id) {
                Some(job) if now < job.write_after => self.completed.push_back(id),
                Some(_) => return Some(id),
                None => {}
            }
        }
        while self
            .progressed
            .front()
            .is_some_and(|(since, _)| now >= since + leisure)
        {
            let (_, id) = self.progressed.pop_front()?;
            *visits += 1;
            match open(&id) {
                // Its end is among the completed.
                Some(job) if job.all_done() => {}
                Some(job) if now < job.write_after => self.progressed.push_back((now, id)),
                Some(_) => return Some(id),
                None => {}
            }
        }
        None
    }
}

/// Controllers with teams write on their own; together they leave room within the state service's
/// rate for users' requests and the map.
pub fn write_rate(config: &Config, writers: usize) -> f64 {
    config.deployment.state.write_rps * SHARE_OF_WRITES / writers as f64
}

impl Shard {
    /// A job has progress, or its end, to be recorded.
    pub(crate) fn note_progress(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let first = job.unrecorded_since.is_none();
        job.unrecorded_since.get_or_insert(now);
        if first || job.all_done() {
            self.unrecorded.add(id, job, now);
        }
    }

    /// Records completed jobs at once, progress at leisure.
    pub(crate) fn record_progress(&mut self, outbox: &mut Outbox) {
        let mut batch = Vec::new();
        while outbox.may_write() && self.record_rate.has_token(outbox.now) {
            let leisure = self.config.deployment.workers.report_s;
            let due = self
                .unrecorded
                .next(&self.jobs, leisure, outbox.now, &mut self.visits);
            let Some(id) = due else { break };
            let Some(write) = self.next_record(&id, outbox.wall_ms) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            self.record_rate.take(outbox.now);
            job.write_out = true;
            job.unrecorded_since = None;
            if job.write_alone {
                commit(outbox, vec![write]);
            } else {
                batch.push(write);
            }
        }
        self.commit_batches(outbox, batch);
    }

    /// What is to be recorded of a job; nothing if the state service would refuse it.
    pub(crate) fn next_record(&mut self, id: &JobId, wall_ms: u64) -> Option<RecordWrite> {
        let value_limit = self.config.deployment.state.value_kb * 1024.0;
        let job = self.jobs.get_mut(id)?;
        let record = if job.all_done() {
            job.record.done(wall_ms)
        } else {
            progress(job, value_limit)
        };
        let write = put(&job_key(id), &record, None);
        let bytes = write.bytes();
        // Accepted when values could be larger: its progress is recorded with its end only.
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

    /// Writes down that jobs are cancelled with one that they need. Everybody derives it anyway, so
    /// it comes after all other writes.
    pub(crate) fn record_dependent_cancellations(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
    ) {
        let now = outbox.now;
        let pause = self.config.deployment.workers.report_s;
        let ours = |record: &JobRecord| {
            let team = record.spec.as_ref().map(|spec| &spec.team);
            !record.is_final() && team.is_some_and(|team| self.teams.contains_key(team))
        };
        self.dependency_cancelled
            .retain(|id, _| store.job(id).is_some_and(|job| ours(&job.record)));
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

    pub(crate) fn commit_batches(&self, outbox: &mut Outbox, writes: Vec<RecordWrite>) {
        let most = self.config.deployment.state.txn_ops;
        let mut batch = Vec::new();
        let mut bytes = 0;
        for write in writes {
            bytes += write.write.bytes();
            batch.push(write);
            if batch.len() >= most || bytes >= TRANSACTION_BYTES {
                commit(outbox, std::mem::take(&mut batch));
                bytes = 0;
            }
        }
        if !batch.is_empty() {
            commit(outbox, batch);
        }
    }

    /// The answer to a transaction of records.
    pub(crate) fn records_written(
        &mut self,
        outbox: &mut Outbox,
        store: &mut StoreReplica,
        writes: Vec<RecordWrite>,
        reply: StoreReply,
    ) {
        let together = writes.len() > 1;
        for RecordWrite { job: id, write, .. } in writes {
            if let StoreReply::Committed(version) = reply {
                store.apply_write(&write, version);
            }
            if let Some(job) = self.jobs.get_mut(&id) {
                job.write_out = false;
                match reply {
                    StoreReply::Committed(_) => {}
                    StoreReply::Conflict | StoreReply::Rejected if together => {
                        job.write_alone = true;
                    }
                    StoreReply::Rejected => {
                        let bytes = write.bytes();
                        tracing::error!("the state service refuses {bytes} bytes for {id}");
                        job.refused_bytes = job.refused_bytes.min(bytes);
                    }
                    ref other => {
                        // Cancelled meanwhile, or outcome unknown: the view tells before the next try.
                        store.want_sync();
                        let conflict = *other == StoreReply::Conflict;
                        let pause = if conflict {
                            CONFLICT_PAUSE
                        } else {
                            FAILURE_PAUSE
                        };
                        job.write_after = outbox.now + outbox.jitter(pause);
                    }
                }
                if !matches!(reply, StoreReply::Committed(_)) {
                    job.unrecorded_since.get_or_insert(outbox.now);
                }
                if job.unrecorded_since.is_some() {
                    self.unrecorded.add(&id, job, outbox.now);
                }
            }
            if matches!(reply, StoreReply::Committed(_)) {
                self.recorded(outbox, store, &id);
            }
        }
    }

    /// What is recorded as done may be forgotten by its machines.
    pub(crate) fn recorded(&mut self, outbox: &Outbox, store: &StoreReplica, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.write_alone = false;
        let Some(stored) = store.job(id) else { return };
        let (record, version) = (stored.record.clone(), stored.version);
        self.forget_recorded(id, &record);
        self.take_job(store, id, &record, version, (outbox.now, outbox.wall_ms));
    }
}

/// The record with as much of the progress as a value holds.
pub(crate) fn progress(job: &Job, value_limit: f64) -> JobRecord {
    // The rest of a record keeps within half of the value.
    let ranges = (value_limit / 2.0 / RANGE_BYTES) as usize;
    let mut done = job.done.clone();
    done.keep_largest(ranges.max(1));
    JobRecord {
        done,
        ..(*job.record).clone()
    }
}

pub(crate) fn commit(outbox: &mut Outbox, records: Vec<RecordWrite>) {
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
