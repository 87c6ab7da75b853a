//! The order in which a placement round considers the jobs with waiting tasks.

use crate::core::jobs::job::Job;
use crate::core::model::time::Time;
use crate::core::scheduling::constraints::{start_deadline, team_limits};
use crate::core::scheduling::usage::Usage;
use crate::core::shard::Shard;
use crate::core::shard::round::MAX_STARTS_PER_ROUND;
use crate::ids::JobId;
use crate::wire::Priority;
use std::cmp::{Ordering, Reverse};

/// The sort key of a job in the queue. Jobs with smaller ranks are placed first; the fields are compared in
/// order.
struct QueueRank {
    priority: Reverse<Priority>,
    /// Whether one more task of the job would exceed its team's guaranteed quota.
    is_beyond_guarantee: bool,
    /// See [`Shard::is_deferred`].
    is_deferred: bool,
    start_deadline: Time,
    runnable_since: Time,
}

impl QueueRank {
    fn total_cmp(&self, other: &Self) -> Ordering {
        (self.priority.cmp(&other.priority))
            .then(self.is_beyond_guarantee.cmp(&other.is_beyond_guarantee))
            .then(self.is_deferred.cmp(&other.is_deferred))
            .then(self.start_deadline.total_cmp(&other.start_deadline))
            .then(self.runnable_since.total_cmp(&other.runnable_since))
    }
}

impl Shard {
    /// Jobs with waiting tasks, in the order in which they are placed.
    pub(crate) fn queued_jobs(&self, usage: &Usage, now: Time) -> Vec<JobId> {
        let mut queue: Vec<(QueueRank, &JobId)> = Vec::new();
        for (id, job) in &self.jobs {
            // Zone constraints depend on the machines of all tasks, and a gang starts only as a whole.
            let needs_all_tasks_known = job.spec.spread || job.spec.one_zone || job.is_gang();
            if job.waiting().is_empty() || (job.unreconciled_count() > 0 && needs_all_tasks_known) {
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
            // Jobs whose deadlines have passed get equal deadlines, so that the oldest comes first.
            start_deadline: start_deadline(&self.config, job).max(now),
            runnable_since: job.runnable_since,
        }
    }

    /// Whether one more task of the job stays within its team's guaranteed quota.
    pub(crate) fn is_within_guarantee(&self, job: &Job, usage: &Usage) -> bool {
        let need = job.need();
        team_limits(&self.config, &job.spec)
            .is_some_and(|team_limits| usage.is_within_guarantee(team_limits, need.cpus, need.gpus))
    }

    /// Whether the job is placed after all others that have the same priority and are equally within or
    /// beyond their guarantee. This holds for opportunistic jobs that have begun, and for jobs that fail on
    /// every machine.
    fn is_deferred(&self, job: &Job) -> bool {
        let is_begun_opportunistic = job.has_started && job.is_opportunistic(&self.config);
        is_begun_opportunistic || job.failures.fails_everywhere()
    }

    /// Indices of the waiting tasks of a job that may be started now. A job that fails on every machine
    /// starts only one task at a time, as a probe, unless it is a gang.
    pub(super) fn startable_tasks(&self, job: &Job, now: Time) -> Vec<u32> {
        let is_probe = job.failures.fails_everywhere();
        if is_probe && (job.placed_count() > 0 || !job.failures.may_probe(now)) {
            return Vec::new();
        }
        let max_tasks = if is_probe && !job.is_gang() {
            1
        } else {
            MAX_STARTS_PER_ROUND
        };
        let may_start_now = |index: &u32| {
            job.retries
                .get(index)
                .is_none_or(|retry| retry.not_before <= now)
        };
        job.waiting()
            .iter()
            .copied()
            .filter(may_start_now)
            .take(max_tasks)
            .collect()
    }
}
