//! Task failures of a job, and the decision whether the machines or the job are faulty.
//!
//! A job whose tasks fail on few machines avoids these machines. If a job fails on several machines and none
//! of its tasks has run for long, its specification is probably faulty: it fails on every machine until its
//! user cancels it. Such a job is only probed until one of its tasks runs. A probe starts one task, or all
//! tasks of a gang, in free resources of a machine that has the image if there is one. The intervals between
//! probes grow. No machine is rented and no task is preempted for a probe.

use crate::core::model::time::Time;
use crate::ids::MachineId;
use std::collections::BTreeSet;

/// Number of machines on which a job must have failed before its failures are attributed to the job instead
/// of the machines.
const MIN_MACHINES_OF_FAILING_JOB: usize = 3;

/// The interval before the first probe, as a fraction of the longest interval.
const FIRST_INTERVAL_FRACTION: f64 = 1.0 / 16.0;

/// Maximum number of doublings of the interval, which keeps the exponent small. The longest interval is
/// reached after fewer doublings.
const MAX_INTERVAL_DOUBLINGS: i32 = 8;

/// The task failures of a job.
#[derive(Default)]
pub struct JobFailures {
    /// The machines on which tasks of the job have failed.
    machines: BTreeSet<MachineId>,
    /// Whether a task of the job has run for long or to completion.
    has_run_long: bool,
    /// Number of times the interval between probes has been doubled.
    interval_doublings: i32,
    /// Time before which the job is not probed again.
    next_probe_at: Time,
}

impl JobFailures {
    /// Records that a task failed on this machine. `longest_interval` is the longest time between two probes
    /// in seconds. Returns true if the job is considered to fail on every machine since this failure.
    pub fn record_failure(
        &mut self,
        machine: &MachineId,
        longest_interval: Time,
        now: Time,
    ) -> bool {
        let failed_before = self.fails_everywhere();
        self.machines.insert(machine.clone());
        let fails_now = self.fails_everywhere();
        // Tasks that were started together fail together. They count as one failure of the job.
        if fails_now && now >= self.next_probe_at {
            let interval =
                longest_interval * FIRST_INTERVAL_FRACTION * 2f64.powi(self.interval_doublings);
            self.next_probe_at = now + interval.min(longest_interval);
            self.interval_doublings = (self.interval_doublings + 1).min(MAX_INTERVAL_DOUBLINGS);
        }
        fails_now && !failed_before
    }

    /// Records that a task of the job has run for long or to completion.
    pub fn record_long_run(&mut self) {
        self.has_run_long = true;
    }

    /// Returns whether the job is considered to fail on every machine.
    pub fn fails_everywhere(&self) -> bool {
        !self.has_run_long && self.machines.len() >= MIN_MACHINES_OF_FAILING_JOB
    }

    /// Returns whether a job that fails on every machine may be probed now.
    pub fn may_probe(&self, now: Time) -> bool {
        now >= self.next_probe_at
    }

    /// Returns the machines that the job avoids. Returns `None` if it has failed on so many machines that it
    /// avoids none of them.
    pub fn avoided_machines(&self) -> Option<&BTreeSet<MachineId>> {
        Some(&self.machines).filter(|machines| machines.len() < MIN_MACHINES_OF_FAILING_JOB)
    }

    /// Returns whether the job has failed on exactly one machine.
    pub fn failed_on_one_machine(&self) -> bool {
        self.machines.len() == 1
    }

    /// Returns the machines on which tasks of the job have failed.
    pub fn machines(&self) -> &BTreeSet<MachineId> {
        &self.machines
    }
}

#[cfg(test)]
mod tests;
