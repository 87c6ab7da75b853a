//! On which machines tasks of each job may be, so that what happens to a job costs in proportion to
//! its own tasks and not to the fleet.

use crate::ids::{JobId, MachineId};
use std::collections::BTreeMap;

/// Attempts that may be on machines, by job and machine.
#[derive(Default)]
pub struct TaskIndex {
    attempts: BTreeMap<JobId, BTreeMap<MachineId, usize>>,
}

impl TaskIndex {
    /// An attempt of a job may be on a machine from now on.
    pub fn add(&mut self, job: &JobId, machine: &MachineId) {
        let machines = self.attempts.entry(job.clone()).or_default();
        *machines.entry(machine.clone()).or_default() += 1;
    }

    /// An attempt of a job is not on a machine any more.
    pub fn remove(&mut self, job: &JobId, machine: &MachineId) {
        let Some(machines) = self.attempts.get_mut(job) else {
            return;
        };
        let Some(count) = machines.get_mut(machine) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            machines.remove(machine);
        }
        if machines.is_empty() {
            self.attempts.remove(job);
        }
    }

    /// The machines on which tasks of a job may be.
    pub fn machines_of(&self, job: &JobId) -> Vec<MachineId> {
        self.attempts
            .get(job)
            .into_iter()
            .flat_map(|machines| machines.keys().cloned())
            .collect()
    }
}
