//! The order in which jobs with waiting tasks are served.

use crate::core::jobs::job::Job;
use crate::core::model::time::Time;
use crate::core::scheduling::constraints::{start_deadline, team_limits};
use crate::core::scheduling::usage::Usage;
use crate::core::shard::Shard;
use crate::core::shard::round::MAX_STARTS_PER_ROUND;
use crate::ids::JobId;
use crate::wire::Priority;
use std::cmp::{Ordering, Reverse};

/// Where a job stands in the queue; smaller ranks are served first.
struct QueueRank {
    priority: Reverse<Priority>,
    /// Whether a task of the job would take its team beyond its guaranteed quota.
    is_beyond_guarantee: bool,
    /// Whether the job is served after all others of its priority and guarantee.
    is_deferred: bool,
    start_deadline: Time,
    submitted: Time,
}

impl QueueRank {
    fn total_cmp(&self, other: &Self) -> Ordering {
        (self.priority.cmp(&other.priority))
            .then(self.is_beyond_guarantee.cmp(&other.is_beyond_guarantee))
            .then(self.is_deferred.cmp(&other.is_deferred))
            .then(self.start_deadline.total_cmp(&other.start_deadline))
            .then(self.submitted.total_cmp(&other.submitted))
    }
}

impl Shard {
    /// Jobs with waiting tasks, in the order in which they are served.
    pub(crate) fn queued_jobs(&self, usage: &Usage, now: Time) -> Vec<JobId> {
        let mut queue: Vec<(QueueRank, &JobId)> = Vec::new();
        for (id, job) in &self.jobs {
            // Where its other tasks are matters to such a job, so all of them must be known.
            let needs_all_tasks_known = job.spec.spread || job.spec.one_zone || job.is_gang();
            if job.waiting().is_empty() || (job.unreconciled() > 0 && needs_all_tasks_known) {
                continue;
            }
            queue.push((self.queue_rank(job, usage, now), id));
        }
        queue.sort_by(|(first, _), (second, _)| first.total_cmp(second));
        queue.into_iter().map(|(_, id)| id.clone()).collect()
    }

    fn queue_rank(&self, job: &Job, usage: &Usage, now: Time) -> QueueRank {
        QueueRank {
            priority: Reverse(job.priority),
            is_beyond_guarantee: !self.is_within_guarantee(job, usage),
            is_deferred: self.is_deferred(job),
            // Deadlines that have passed are all the same: such jobs are served by age.
            start_deadline: start_deadline(&self.config, job).max(now),
            submitted: job.submitted,
        }
    }

    /// Whether one more task of the job stays within its team's guaranteed quota.
    pub(crate) fn is_within_guarantee(&self, job: &Job, usage: &Usage) -> bool {
        let need = job.need();
        team_limits(&self.config, &job.spec)
            .is_some_and(|team_limits| usage.guaranteed(team_limits, need.cpus, need.gpus))
    }

    /// Opportunistic jobs that have begun are served after those that have not, and jobs that fail
    /// on every machine after those that may succeed.
    fn is_deferred(&self, job: &Job) -> bool {
        let has_been_served = job.began && job.is_opportunistic(&self.config);
        has_been_served || job.failures.fails_everywhere()
    }

    /// The waiting tasks of a job that may be started now. Of a job that fails everywhere only one task at a
    /// time is started as a probe, unless it is a gang.
    pub(super) fn startable_tasks(&self, job: &Job, now: Time) -> Vec<u32> {
        let is_probe = job.failures.fails_everywhere();
        if is_probe && (job.placed() > 0 || !job.failures.may_probe(now)) {
            return Vec::new();
        }
        let max_tasks = if is_probe && !job.is_gang() {
            1
        } else {
            MAX_STARTS_PER_ROUND
        };
        let is_ready = |index: &u32| {
            job.retries
                .get(index)
                .is_none_or(|retry| retry.not_before <= now)
        };
        job.waiting()
            .iter()
            .copied()
            .filter(is_ready)
            .take(max_tasks)
            .collect()
    }
}
