//! Machines that a shard keeps for opportunistic tasks, and machines on which it stops these tasks.

use crate::core::machines::machine::TrackedAttempt;
use crate::core::shard::Shard;
use crate::ids::MachineId;
use std::collections::BTreeSet;

impl Shard {
    /// The machines that are kept for starved jobs. If a starved job runs on no spot instance, one of its
    /// machines is kept; several such jobs may share it. If the machine were returned, another would be
    /// rented only after the job had starved again. A job of long tasks would then never end. A spot instance
    /// needs no entry here, because it is kept for any opportunistic work.
    pub(crate) fn machines_kept_for_starved_jobs(&self) -> BTreeSet<MachineId> {
        let is_spot = |id: &MachineId| self.machines.get(id).is_some_and(|machine| machine.spot);
        let mut kept = BTreeSet::new();
        let starved = self
            .jobs
            .iter()
            .filter(|(_, job)| job.starved && job.placed_count() > 0);
        for (id, _) in starved {
            let machines = self.task_index.machines_of(id);
            let has_machine = machines.iter().any(|id| is_spot(id) || kept.contains(id));
            if !has_machine {
                kept.extend(machines.into_iter().next());
            }
        }
        kept
    }

    /// Stops the tasks of a machine that is to be returned and runs only opportunistic tasks. Tasks that
    /// cannot write a checkpoint run to completion.
    pub(crate) fn stop_opportunistic_tasks(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let can_checkpoint = |tracked: &TrackedAttempt| {
            !tracked.exited() && tracked.stop.is_none() && tracked.checkpoint_write_s > 0.0
        };
        let stops: Vec<_> = machine
            .attempts
            .iter()
            .filter(|(_, tracked)| can_checkpoint(tracked))
            .map(|(key, tracked)| (key.clone(), tracked.checkpoint_write_s))
            .collect();
        for ((task, attempt), grace_s) in stops {
            self.stop_attempt(id, &task, attempt, grace_s);
        }
    }
}

#[cfg(test)]
mod tests;
