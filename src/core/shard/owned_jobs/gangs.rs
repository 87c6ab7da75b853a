//! Completion and loss of gangs: the tasks of a gang run, complete and stop together.

use crate::core::jobs::job::Task;
use crate::core::shard::Shard;
use crate::ids::{Attempt, JobId, TaskId};

impl Shard {
    /// Marks all tasks of a gang as done after one of them is. They complete together, and the machines of
    /// the others may be lost before a heartbeat reports their completion.
    pub(in crate::core::shard) fn complete_gang(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for index in 0..job.spec.tasks {
            let zone = match job.task(index) {
                Some(Task::Placed(machine_id, _)) => self.machines.get(machine_id),
                _ => None,
            }
            .map(|machine| &machine.zone);
            job.set_task(index, Task::Done, zone);
        }
    }

    /// Stops the tasks of a gang that are placed in `attempt`, without grace, after one task of it was lost.
    /// They cannot continue without the lost task.
    pub(in crate::core::shard) fn stop_rest_of_gang(&mut self, id: &JobId, attempt: Attempt) {
        let gang = self.jobs.get(id);
        let Some(job) = gang.filter(|job| job.is_gang() && job.spec.tasks > 1) else {
            return;
        };
        for index in 0..job.spec.tasks {
            let Some(Task::Placed(machine_id, placed_attempt)) = job.task(index) else {
                continue;
            };
            if *placed_attempt != attempt {
                continue;
            }
            let job = id.clone();
            let key = (TaskId { job, index }, attempt);
            let machine = self.machines.get_mut(machine_id);
            let tracked = machine.and_then(|machine| machine.attempts.get_mut(&key));
            if tracked.is_some_and(|tracked| tracked.request_stop(0.0)) {
                self.unsent_commands.insert(machine_id.clone());
            }
        }
    }
}
