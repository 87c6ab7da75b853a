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

/// Jobs whose cancellation is to be recorded, each with the time before which it is not written. The queue is
/// ordered by these times, up to the jitter of a retry.
#[derive(Default)]
pub struct DependentCancellations {
    queue: VecDeque<(Time, JobId)>,
    queued: BTreeSet<JobId>,
}

impl DependentCancellations {
    /// Queues a job whose cancellation is due now, unless it is queued already.
    pub(crate) fn add(&mut self, id: &JobId, now: Time) {
        if self.queued.insert(id.clone()) {
            self.queue.push_back((now, id.clone()));
        }
    }

    /// Removes and returns the first job if it is due.
    fn take_due(&mut self, now: Time) -> Option<JobId> {
        let (_, id) = self
            .queue
            .pop_front_if(|(not_before, _)| *not_before <= now)?;
        self.queued.remove(&id);
        Some(id)
    }

    /// Queues a job again, in case its write fails.
    fn retry(&mut self, id: JobId, not_before: Time) {
        self.queued.insert(id.clone());
        self.queue.push_back((not_before, id));
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
            let not_before = now + outbox.jitter(pause);
            self.dependent_cancellations.retry(id, not_before);
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
