//! Counts of done and running tasks of each job, for display. A task counts as running once its image is on
//! its machine.

use crate::core::machines::machine::Phase;
use crate::core::model::time::Time;
use crate::core::shard::Shard;
use crate::ids::JobId;
use crate::wire::TaskState;

/// Number of counts within the duration of a worker's lease.
const COUNTS_PER_LEASE: f64 = 20.0;

impl Shard {
    /// The numbers of done and running tasks of a job; `None` if none of its tasks was running at the last
    /// count.
    pub fn task_counts(&self, id: &JobId) -> Option<(u32, u32)> {
        self.task_counts.get(id).copied()
    }

    /// The numbers of done and running tasks of every job that had a running task at the last count.
    pub fn all_task_counts(&self) -> Vec<(JobId, u32, u32)> {
        self.task_counts
            .iter()
            .map(|(id, &(done, running))| (id.clone(), done, running))
            .collect()
    }

    /// Counts running tasks if a count is due, and marks jobs with a long-running task as proven to run.
    pub(in crate::core::shard) fn count_running_tasks(&mut self, now: Time) {
        let lease_s = self.config.deployment.workers.lease_s;
        if now < self.task_counts_at + lease_s / COUNTS_PER_LEASE {
            return;
        }
        self.task_counts_at = now;
        self.task_counts.clear();
        // A task that has run for the duration of a lease proves that its job does not fail on every machine.
        let proof_s = lease_s;
        let machines = self.machines.values();
        for ((task, _), tracked) in machines.flat_map(|machine| &machine.attempts) {
            if !tracked.has_image() {
                continue;
            }
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let is_running = tracked.phase == Phase::Seen(TaskState::Running);
            if is_running
                && tracked
                    .started_at
                    .is_some_and(|started| now - started >= proof_s)
            {
                job.failures.record_long_run();
            }
            let (done, running) = self.task_counts.entry(task.job.clone()).or_default();
            *done = job.done.len();
            *running += 1;
        }
    }
}
