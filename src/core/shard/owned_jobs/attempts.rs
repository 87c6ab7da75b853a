//! The attempts of a job that may be on machines.

use super::describe_attempt;
use crate::core::jobs::job::{Job, Task};
use crate::core::machines::machine::{Machine, TrackedAttempt};
use crate::core::machines::starts_in_flight::AttemptKey;
use crate::core::shard::Shard;
use crate::ids::{Attempt, JobId, MachineId, TaskId, Zone};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// Where an attempt of a task may be.
pub(super) struct AttemptLocation<'a> {
    pub(super) machine_id: &'a MachineId,
    zone: &'a Zone,
    pub(super) task: &'a TaskId,
    attempt: Attempt,
}

/// The keys of all attempts of a job.
fn keys_of_job(job: &JobId) -> RangeInclusive<AttemptKey> {
    let task = |index| TaskId {
        job: job.clone(),
        index,
    };
    (task(0), Attempt(0))..=(task(u32::MAX), Attempt(u64::MAX))
}

/// The keys of all attempts of a task.
fn keys_of_task(task: &TaskId) -> RangeInclusive<AttemptKey> {
    (task.clone(), Attempt(0))..=(task.clone(), Attempt(u64::MAX))
}

impl Shard {
    /// Places the tasks of a new job whose attempts may be on machines that sent heartbeats before the job
    /// was known here. Returns the attempts that have exited.
    pub(super) fn find_attempts(
        &mut self,
        id: &JobId,
        job: &mut Job,
    ) -> Vec<(MachineId, TaskId, Attempt)> {
        let mut exits = Vec::new();
        let spec = job.spec.clone();
        let config = self.config.clone();
        self.each_attempt(id, |at, tracked| {
            describe_attempt(tracked, &config, &spec);
            let index = at.task.index;
            if tracked.exited() {
                exits.push((at.machine_id.clone(), at.task.clone(), at.attempt));
            } else if matches!(job.task(index), Some(Task::Waiting | Task::Unreconciled)) {
                let placed = Task::Placed(at.machine_id.clone(), at.attempt);
                job.set(index, placed, Some(at.zone));
                job.began |= tracked.started_at.is_some();
            }
        });
        exits
    }

    /// Visits every attempt of a job that may be on a machine, ordered by machine, task and attempt.
    pub(super) fn each_attempt(
        &mut self,
        id: &JobId,
        mut visit: impl FnMut(&AttemptLocation, &mut TrackedAttempt),
    ) {
        let keys = keys_of_job(id);
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

    /// The first attempt of a task that may still be on a machine, if there is one.
    pub(in crate::core::shard) fn find_live_attempt(
        &self,
        task: &TaskId,
    ) -> Option<(MachineId, Attempt)> {
        let keys = keys_of_task(task);
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

    /// The tasks of a job of which an attempt may be on some machine.
    pub(in crate::core::shard) fn tasks_on_machines(&mut self, id: &JobId) -> BTreeSet<u32> {
        let mut tasks = BTreeSet::new();
        self.each_attempt(id, |at, tracked| {
            if !tracked.exited() {
                tasks.insert(at.task.index);
            }
        });
        tasks
    }
}
