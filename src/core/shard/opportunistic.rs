use crate::core::shard::Shard;
use crate::ids::MachineId;
use std::collections::BTreeSet;

impl Shard {
    /// Ordinary machines that are kept for starved jobs: one for each that runs nowhere else. Returned
    /// under such a job, it would be rented again only once the job had starved again, so that a job of
    /// long tasks would never end.
    pub(crate) fn machines_of_starved_jobs(&self) -> BTreeSet<MachineId> {
        let is_spot = |id: &MachineId| self.machines.get(id).is_some_and(|machine| machine.spot);
        let mut kept = BTreeSet::new();
        let starved = self
            .jobs
            .iter()
            .filter(|(_, job)| job.starved && job.placed() > 0);
        for (id, _) in starved {
            let machines = self.task_index.machines_of(id);
            let provided = |id: &MachineId| is_spot(id) || kept.contains(id);
            if !machines.iter().any(provided) {
                kept.extend(machines.into_iter().next());
            }
        }
        kept
    }

    /// Stops the opportunistic work of a machine that is to be returned; what can't save its progress
    /// runs to its end.
    pub(crate) fn return_from_opportunistic(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let saves = machine.attempts.iter().filter(|(_, tracked)| {
            !tracked.exited() && tracked.stop.is_none() && tracked.checkpoint_write_s > 0.0
        });
        let stops: Vec<_> = saves
            .map(|(key, tracked)| (key.clone(), tracked.checkpoint_write_s))
            .collect();
        for ((task, attempt), grace) in stops {
            self.stop(id, &task, attempt, grace);
        }
    }
}

#[cfg(test)]
mod tests;
