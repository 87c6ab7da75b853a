//! Handles the end of attempts: exits reported by machines, and attempts that are no longer on their
//! machines.

use crate::core::jobs::job::Task;
use crate::core::model::time::Time;
use crate::core::shard::Shard;
use crate::ids::{Attempt, MachineId, TaskId};
use crate::wire::{ExitReason, JobKind};

/// Number of failures of a task from which on its retry delay no longer grows.
const MAX_BACKOFF_FAILURES: u32 = 5;

/// Delay before a start that a machine refused is retried, in heartbeat intervals.
const REFUSED_START_RETRY_HEARTBEATS: f64 = 0.5;

/// Retry delay in seconds after this many failures: 1 s after the first, doubled with each further failure
/// up to [`MAX_BACKOFF_FAILURES`].
fn backoff_s(failures: u32) -> Time {
    2f64.powi(failures.min(MAX_BACKOFF_FAILURES) as i32 - 1)
}

impl Shard {
    /// Handles the first report of an attempt's exit.
    pub(in crate::core::shard) fn handle_task_exit(
        &mut self,
        machine_id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        reason: ExitReason,
        now: Time,
    ) {
        let key = (task.clone(), attempt);
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.update_idle_since(&key, now);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(tracked) = machine.attempts.get_mut(&key) else {
            return;
        };
        let is_placed_here =
            job.task(task.index) == Some(&Task::Placed(machine_id.clone(), attempt));
        if reason == ExitReason::Done && job.spec.kind != JobKind::Service {
            // The worker may forget this exit only after the store has recorded it.
            let zone = is_placed_here.then_some(&machine.zone);
            job.set_task(task.index, Task::Done, zone);
            job.failures.record_long_run();
            if job.is_gang() {
                self.complete_gang(&task.job);
            }
            return self.queue_for_recording(&task.job, now);
        }
        tracked.may_forget = true;
        if is_placed_here {
            self.delay_retry(machine_id, task, reason, now);
            self.handle_lost_attempt(machine_id, task, attempt);
        }
    }

    /// Sets the earliest time of the task's next attempt after one that did not complete.
    fn delay_retry(
        &mut self,
        machine_id: &MachineId,
        task: &TaskId,
        reason: ExitReason,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let retry = job.retries.entry(task.index).or_default();
        match reason {
            ExitReason::Error | ExitReason::Other => {
                retry.failures += 1;
                retry.not_before = now + backoff_s(retry.failures);
                self.handle_task_failure(machine_id, task, now);
            }
            ExitReason::NoRoom | ExitReason::Busy | ExitReason::UnknownJob => {
                let interval = self.config.deployment.workers.report_s;
                retry.not_before = now + interval * REFUSED_START_RETRY_HEARTBEATS;
            }
            ExitReason::Stopped
            | ExitReason::PeersGone
            | ExitReason::GangIncomplete
            | ExitReason::Done => {}
        }
    }

    /// Updates the task that was placed in a lost attempt, and stops the rest of its gang. If another attempt
    /// of the task may still be on a machine, the task is placed in that attempt, because no new attempt may
    /// start before that one has ended. Otherwise the task waits.
    fn handle_lost_attempt(&mut self, machine_id: &MachineId, task: &TaskId, attempt: Attempt) {
        let other = self.find_live_attempt(task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.task(task.index) != Some(&Task::Placed(machine_id.clone(), attempt)) {
            return;
        }
        let zone = self.machines.get(machine_id).map(|machine| &machine.zone);
        job.set_task(task.index, Task::Waiting, zone);
        if let Some((machine, attempt)) = other {
            let zone = self.machines.get(&machine).map(|machine| &machine.zone);
            job.set_task(task.index, Task::Placed(machine, attempt), zone);
        }
        self.stop_rest_of_gang(&task.job, attempt);
    }

    /// Drops all attempts on a machine, ordered by task and attempt ([`Self::drop_attempt`]).
    pub(in crate::core::shard) fn drop_attempts(&mut self, machine_id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let keys: Vec<_> = machine.attempts.keys().cloned().collect();
        for (task, attempt) in keys {
            self.drop_attempt(machine_id, &task, attempt, now);
        }
    }

    /// Stops tracking an attempt that is not on its machine. If the attempt's start may still arrive, the
    /// attempt stays tracked and the machine needs a new token, which voids that start.
    pub(in crate::core::shard) fn drop_attempt(
        &mut self,
        machine_id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        now: Time,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let key = (task.clone(), attempt);
        if self.starts_in_flight.may_arrive(machine_id, &key) {
            machine.needs_new_token = true;
            return;
        }
        machine.update_idle_since(&key, now);
        if machine.attempts.remove(&key).is_none() {
            return;
        }
        self.task_index.remove(&task.job, machine_id);
        self.changed_since_round = true;
        self.handle_lost_attempt(machine_id, task, attempt);
    }
}
