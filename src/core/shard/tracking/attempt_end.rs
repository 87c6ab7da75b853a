//! The end of attempts: exits that machines report, and attempts that are no longer on their machines.

use crate::core::jobs::job::Task;
use crate::core::model::time::Time;
use crate::core::shard::Shard;
use crate::ids::{Attempt, MachineId, TaskId};
use crate::wire::{Exit, Kind};

/// Failures of a task after which the time until its next attempt does not grow any more.
const LONGEST_BACKOFF_FAILURES: u32 = 5;

/// Part of a heartbeat interval after which a start that a machine refused is tried again.
const REFUSED_RETRY_HEARTBEATS: f64 = 0.5;

/// Seconds until a task is tried again after this many failures: 1, doubled with each further one.
fn backoff_s(failures: u32) -> Time {
    2f64.powi(failures.min(LONGEST_BACKOFF_FAILURES) as i32 - 1)
}

impl Shard {
    /// A machine has shown for the first time that an attempt has ended.
    pub(in crate::core::shard) fn handle_task_exit(
        &mut self,
        machine_id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        reason: Exit,
        now: Time,
    ) {
        let key = (task.clone(), attempt);
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.note_end(&key, now);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(tracked) = machine.attempts.get_mut(&key) else {
            return;
        };
        let is_placed_here =
            job.task(task.index) == Some(&Task::Placed(machine_id.clone(), attempt));
        if reason == Exit::Done && job.spec.kind != Kind::Service {
            // The worker may forget this exit only once it is recorded.
            let zone = is_placed_here.then_some(&machine.zone);
            job.set(task.index, Task::Done, zone);
            job.failures.prove();
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

    /// Sets when a task may be tried again after an attempt that did not complete.
    fn delay_retry(&mut self, machine_id: &MachineId, task: &TaskId, reason: Exit, now: Time) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let retry = job.retries.entry(task.index).or_default();
        match reason {
            Exit::Error | Exit::Other => {
                retry.failures += 1;
                retry.not_before = now + backoff_s(retry.failures);
                self.note_failure(machine_id, task, now);
            }
            Exit::NoRoom | Exit::Busy | Exit::UnknownJob => {
                let interval = self.config.deployment.workers.report_s;
                retry.not_before = now + interval * REFUSED_RETRY_HEARTBEATS;
            }
            Exit::Stopped | Exit::PeersGone | Exit::GangIncomplete | Exit::Done => {}
        }
    }

    /// The task that was placed in this attempt has lost it. It waits, or is where another attempt of it
    /// may be: a surplus attempt is stopped, but until it has ended no other may start.
    fn handle_lost_attempt(&mut self, machine_id: &MachineId, task: &TaskId, attempt: Attempt) {
        let other = self.find_live_attempt(task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.task(task.index) != Some(&Task::Placed(machine_id.clone(), attempt)) {
            return;
        }
        let zone = self.machines.get(machine_id).map(|machine| &machine.zone);
        job.set(task.index, Task::Waiting, zone);
        if let Some((machine, attempt)) = other {
            let zone = self.machines.get(&machine).map(|machine| &machine.zone);
            job.set(task.index, Task::Placed(machine, attempt), zone);
        }
        self.stop_rest_of_gang(&task.job, attempt);
    }

    /// Drops all attempts on a machine, in order ([`Self::drop_attempt`]).
    pub(in crate::core::shard) fn drop_attempts(&mut self, machine_id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let keys: Vec<_> = machine.attempts.keys().cloned().collect();
        for (task, attempt) in keys {
            self.drop_attempt(machine_id, &task, attempt, now);
        }
    }

    /// An attempt is not on the machine, or not any more, and is no longer tracked; unless its start may
    /// still arrive: then the machine needs a new token, which makes that start void.
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
        machine.note_end(&key, now);
        if machine.attempts.remove(&key).is_none() {
            return;
        }
        self.task_index.remove(&task.job, machine_id);
        self.changed_since_round = true;
        self.handle_lost_attempt(machine_id, task, attempt);
    }
}
