//! Lookup of a job's attempts on machines.

use super::describe_attempt;
use crate::core::jobs::job::{Job, Task};
use crate::core::machines::machine::{Machine, TrackedAttempt};
use crate::core::machines::starts_in_flight::AttemptKey;
use crate::core::shard::Shard;
use crate::ids::{Attempt, JobId, MachineId, TaskId, Zone};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// An attempt of a task and the machine that it may be on.
pub(super) struct AttemptLocation<'a> {
    pub(super) machine_id: &'a MachineId,
    zone: &'a Zone,
    pub(super) task: &'a TaskId,
    attempt: Attempt,
}

/// Returns the range of keys of all attempts of a job.
fn attempt_keys_of_job(job: &JobId) -> RangeInclusive<AttemptKey> {
    let task = |index| TaskId {
        job: job.clone(),
        index,
    };
    (task(0), Attempt(0))..=(task(u32::MAX), Attempt(u64::MAX))
}

/// Returns the range of keys of all attempts of a task.
fn attempt_keys_of_task(task: &TaskId) -> RangeInclusive<AttemptKey> {
    (task.clone(), Attempt(0))..=(task.clone(), Attempt(u64::MAX))
}

impl Shard {
    /// Marks tasks of a new job as placed if an attempt may be on a machine. Such attempts were reported in
    /// heartbeats before this shard knew the job. Returns the attempts that have exited.
    pub(super) fn place_existing_attempts(
        &mut self,
        id: &JobId,
        job: &mut Job,
    ) -> Vec<(MachineId, TaskId, Attempt)> {
        let mut exits = Vec::new();
        let spec = job.spec.clone();
        let config = self.config.clone();
        self.for_each_attempt(id, |location, tracked| {
            describe_attempt(tracked, &config, &spec);
            let index = location.task.index;
            if tracked.exited() {
                exits.push((
                    location.machine_id.clone(),
                    location.task.clone(),
                    location.attempt,
                ));
            } else if matches!(job.task(index), Some(Task::Waiting | Task::Unreconciled)) {
                let placed = Task::Placed(location.machine_id.clone(), location.attempt);
                job.set_task(index, placed, Some(location.zone));
                job.has_started |= tracked.started_at.is_some();
            }
        });
        exits
    }

    /// Calls `visit` for every tracked attempt of a job, ordered by machine, task and attempt.
    pub(super) fn for_each_attempt(
        &mut self,
        id: &JobId,
        mut visit: impl FnMut(&AttemptLocation, &mut TrackedAttempt),
    ) {
        let keys = attempt_keys_of_job(id);
        for machine_id in self.task_index.machines_of(id) {
            let Some(machine) = self.machines.get_mut(&machine_id) else {
                continue;
            };
            let Machine { zone, attempts, .. } = machine;
            for ((task, attempt), tracked) in attempts.range_mut(keys.clone()) {
                self.visits += 1;
                let location = AttemptLocation {
                    machine_id: &machine_id,
                    zone,
                    task,
                    attempt: *attempt,
                };
                visit(&location, tracked);
            }
        }
    }

    /// Returns the first attempt of a task that has not exited, ordered by machine and attempt.
    pub(in crate::core::shard) fn find_live_attempt(
        &self,
        task: &TaskId,
    ) -> Option<(MachineId, Attempt)> {
        let keys = attempt_keys_of_task(task);
        self.task_index
            .machines_of(&task.job)
            .into_iter()
            .find_map(|machine_id| {
                let machine = self.machines.get(&machine_id)?;
                let mut attempts = machine.attempts.range(keys.clone());
                let ((_, attempt), _) = attempts.find(|(_, tracked)| !tracked.exited())?;
                Some((machine_id, *attempt))
            })
    }

    /// Returns the indexes of the job's tasks with an attempt that has not exited.
    pub(in crate::core::shard) fn tasks_on_machines(&mut self, id: &JobId) -> BTreeSet<u32> {
        let mut tasks = BTreeSet::new();
        self.for_each_attempt(id, |location, tracked| {
            if !tracked.exited() {
                tasks.insert(location.task.index);
            }
        });
        tasks
    }
}
