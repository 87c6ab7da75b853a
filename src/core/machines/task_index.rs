//! The machines on which attempts of each job may be, so that the cost of an event of a job depends on
//! its own tasks and not on the size of the fleet.

use crate::ids::{JobId, MachineId};
use std::collections::BTreeMap;

/// Numbers of attempts that may be on machines, by job and machine.
#[derive(Default)]
pub struct TaskIndex {
    attempts: BTreeMap<JobId, BTreeMap<MachineId, usize>>,
}

impl TaskIndex {
    /// Adds an attempt of a job that may be on a machine.
    pub fn add(&mut self, job: &JobId, machine: &MachineId) {
        let machines = self.attempts.entry(job.clone()).or_default();
        *machines.entry(machine.clone()).or_default() += 1;
    }

    /// Removes an attempt of a job that is no longer on a machine.
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

    /// The machines on which attempts of a job may be, in order.
    pub fn machines_of(&self, job: &JobId) -> Vec<MachineId> {
        self.attempts
            .get(job)
            .into_iter()
            .flat_map(|machines| machines.keys().cloned())
            .collect()
    }
}
