//! An index of the machines on which attempts of each job may be. With it, the cost of handling an event of a
//! job depends on the number of its tasks instead of the size of the fleet.

use crate::ids::{JobId, MachineId};
use std::collections::BTreeMap;

/// The number of attempts that may be on each machine, by job and machine. Entries are never zero.
#[derive(Default)]
pub struct TaskIndex {
    attempt_counts: BTreeMap<JobId, BTreeMap<MachineId, usize>>,
}

impl TaskIndex {
    /// Counts one more attempt of a job that may be on a machine.
    pub fn add(&mut self, job: &JobId, machine: &MachineId) {
        let machines = self.attempt_counts.entry(job.clone()).or_default();
        *machines.entry(machine.clone()).or_default() += 1;
    }

    /// Counts one attempt fewer after an attempt of a job was removed from a machine.
    pub fn remove(&mut self, job: &JobId, machine: &MachineId) {
        let Some(machines) = self.attempt_counts.get_mut(job) else {
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
            self.attempt_counts.remove(job);
        }
    }

    /// Returns the machines on which attempts of a job may be, ordered by their identities.
    pub fn machines_of(&self, job: &JobId) -> Vec<MachineId> {
        self.attempt_counts
            .get(job)
            .into_iter()
            .flat_map(|machines| machines.keys().cloned())
            .collect()
    }
}
