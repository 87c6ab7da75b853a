//! Records the cancellation of jobs that depend on a cancelled job.
//!
//! Every controller derives this cancellation from the dependency, so these writes have the lowest priority.

use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::RecordWrite;
use crate::core::model::time::Time;
use crate::core::records::job_record::JobRecord;
use crate::core::records::keys::job_key;
use crate::core::records::versioned::{Versioned, put};
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::JobId;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// Jobs whose cancellation is to be recorded.
#[derive(Default)]
pub struct DependentCancellations {
    /// Jobs whose cancellation was not written yet.
    unwritten: VecDeque<JobId>,
    /// Jobs whose cancellation was written, each with the time of the retry in case the write failed. They are
    /// in the order of the writes, so a retry may be late by the jitter of those before it.
    retries: VecDeque<(Time, JobId)>,
    /// All jobs of both queues.
    queued: BTreeSet<JobId>,
}

impl DependentCancellations {
    /// Queues a job unless it is queued already.
    pub(crate) fn add(&mut self, id: &JobId) {
        if self.queued.insert(id.clone()) {
            self.unwritten.push_back(id.clone());
        }
    }

    /// Removes and returns a job that is due, if there is one. Retries come first; most of them are recorded.
    fn take_due(&mut self, now: Time) -> Option<JobId> {
        let retry = self.retries.pop_front_if(|(due, _)| *due <= now);
        let id = match retry {
            Some((_, id)) => id,
            None => self.unwritten.pop_front()?,
        };
        self.queued.remove(&id);
        Some(id)
    }

    /// Queues a job whose cancellation was written, in case the write fails.
    fn retry(&mut self, id: JobId, due: Time) {
        self.queued.insert(id.clone());
        self.retries.push_back((due, id));
    }
}

impl Shard {
    /// Records the cancellations that are due, within the rate limit of job records.
    pub(crate) fn record_dependent_cancellations(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
    ) {
        let now = outbox.now;
        let pause = self.config.deployment.workers.report_s;
        let mut batch = Vec::new();
        while outbox.may_write() && self.record_rate.has_token(now) {
            let Some(id) = self.dependent_cancellations.take_due(now) else {
                break;
            };
            self.visits += 1;
            let Some(job) = self.unfinished_job_of_owned_team(store, &id) else {
                continue;
            };
            self.record_rate.take(now);
            let record = job.record.to_cancelled_unstarted(outbox.wall_ms);
            batch.push(RecordWrite {
                job: id.clone(),
                version: job.version,
                write: put(&job_key(&id), &record, None),
            });
            let retry_at = now + outbox.jitter(pause);
            self.dependent_cancellations.retry(id, retry_at);
        }
        self.commit_in_batches(outbox, batch);
    }

    /// The record of a job that is not finished and belongs to a team of this shard.
    fn unfinished_job_of_owned_team<'a>(
        &self,
        store: &'a StoreReplica,
        id: &JobId,
    ) -> Option<&'a Versioned<Rc<JobRecord>>> {
        let job = store.job(id).filter(|job| !job.record.is_final())?;
        let spec = job.record.spec.as_ref()?;
        self.teams.contains_key(&spec.team).then_some(job)
    }
}

#[cfg(test)]
mod tests;
