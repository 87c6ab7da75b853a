//! What the failures of a job's tasks say: of machines, as long as they are few, and then of the job.
//!
//! A job whose tasks fail on one machine avoids it. One that fails on several, and of which nothing has run
//! for long anywhere, was probably submitted with a mistake: it fails on every machine until its user
//! cancels it. Until it proves otherwise it is only probed: one task (of a gang all) at growing intervals,
//! in room that is free, where its image is; it neither rents nor takes anything for that.

use crate::core::model::time::Time;
use crate::ids::MachineId;
use std::collections::BTreeSet;

/// Machines on which a job has failed when that says nothing of them any more.
const FAILURES_OF_ITS_OWN: usize = 3;

/// The first probe comes after this part of the longest interval.
const FIRST_PROBE: f64 = 1.0 / 16.0;

#[derive(Default)]
pub struct JobFailures {
    machines: BTreeSet<MachineId>,
    /// Some of it has run for long, or to its end.
    proven: bool,
    probes: i32,
    next_probe: Time,
}

impl JobFailures {
    /// A task failed on this machine. Whether the job has turned out to be failing by that.
    pub fn failed(&mut self, machine: &MachineId, longest_interval: Time, now: Time) -> bool {
        let before = self.fails_everywhere();
        self.machines.insert(machine.clone());
        let fails = self.fails_everywhere();
        // Tasks that were started together fail together: that is one failure of the job.
        if fails && now >= self.next_probe {
            let interval = longest_interval * FIRST_PROBE * 2f64.powi(self.probes);
            self.next_probe = now + interval.min(longest_interval);
            self.probes = (self.probes + 1).min(8);
        }
        fails && !before
    }

    /// Some of the job has run for long, or to its end.
    pub fn prove(&mut self) {
        self.proven = true;
    }

    /// Whether the job fails wherever it is tried.
    pub fn fails_everywhere(&self) -> bool {
        !self.proven && self.machines.len() >= FAILURES_OF_ITS_OWN
    }

    /// Whether a job that fails everywhere may be tried again.
    pub fn may_probe(&self, now: Time) -> bool {
        now >= self.next_probe
    }

    /// Machines that it is not to be tried on again. One that failed on several is tried everywhere.
    pub fn avoided(&self) -> Option<&BTreeSet<MachineId>> {
        Some(&self.machines).filter(|machines| machines.len() < FAILURES_OF_ITS_OWN)
    }

    /// Whether it has failed on no other machine.
    pub fn on_one_machine_only(&self) -> bool {
        self.machines.len() == 1
    }

    pub fn machines(&self) -> &BTreeSet<MachineId> {
        &self.machines
    }
}

#[cfg(test)]
mod tests;
