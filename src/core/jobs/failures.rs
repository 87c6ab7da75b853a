//! What task failures say: about single machines as long as few machines are involved, then about the job.
//!
//! A job whose tasks fail on one machine avoids that machine. A job that fails on several machines, and of which
//! no task has run for long anywhere, was probably submitted with a mistake: it fails on every machine until its
//! user cancels it. Until a task runs, the job is only probed: one task (all tasks of a gang) at growing intervals,
//! in free resources, where its image is cached. No machine is rented and no task is preempted for a probe.

use crate::core::model::time::Time;
use crate::ids::MachineId;
use std::collections::BTreeSet;

/// Once a job has failed on this many machines, its failures say nothing about the machines any more.
const MACHINES_OF_FAILING_JOB: usize = 3;

/// The interval before the first probe, as a part of the longest interval.
const FIRST_PROBE: f64 = 1.0 / 16.0;

/// Bound on the number of doublings of the interval; the longest interval is reached well before.
const MAX_DOUBLINGS: i32 = 8;

/// The task failures of a job.
#[derive(Default)]
pub struct JobFailures {
    machines: BTreeSet<MachineId>,
    /// A task of the job has run for long, or to its end.
    has_run: bool,
    probes: i32,
    next_probe: Time,
}

impl JobFailures {
    /// Records that a task failed on this machine. Returns whether this failure shows the job to be failing
    /// everywhere.
    pub fn record_failure(
        &mut self,
        machine: &MachineId,
        longest_interval: Time,
        now: Time,
    ) -> bool {
        let failed_before = self.fails_everywhere();
        self.machines.insert(machine.clone());
        let fails = self.fails_everywhere();
        // Tasks that were started together fail together: they count as one failure of the job.
        if fails && now >= self.next_probe {
            let interval = longest_interval * FIRST_PROBE * 2f64.powi(self.probes);
            self.next_probe = now + interval.min(longest_interval);
            self.probes = (self.probes + 1).min(MAX_DOUBLINGS);
        }
        fails && !failed_before
    }

    /// Records that a task of the job has run for long, or to its end.
    pub fn record_long_run(&mut self) {
        self.has_run = true;
    }

    /// Whether the job fails on every machine.
    pub fn fails_everywhere(&self) -> bool {
        !self.has_run && self.machines.len() >= MACHINES_OF_FAILING_JOB
    }

    /// Whether a job that fails everywhere may be probed now.
    pub fn may_probe(&self, now: Time) -> bool {
        now >= self.next_probe
    }

    /// Machines that the job avoids; `None` if it has failed on so many that it may run on any.
    pub fn avoided_machines(&self) -> Option<&BTreeSet<MachineId>> {
        Some(&self.machines).filter(|machines| machines.len() < MACHINES_OF_FAILING_JOB)
    }

    /// Whether the job has failed on exactly one machine.
    pub fn failed_on_one_machine(&self) -> bool {
        self.machines.len() == 1
    }

    /// The machines on which tasks of the job have failed.
    pub fn machines(&self) -> &BTreeSet<MachineId> {
        &self.machines
    }
}

#[cfg(test)]
mod tests;
