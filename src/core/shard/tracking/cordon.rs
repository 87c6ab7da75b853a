//! Cordons machines on which several jobs fail that fail nowhere else.

use crate::core::model::time::Time;
use crate::core::shard::Shard;
use crate::ids::{JobId, MachineId, TaskId};
use std::collections::BTreeSet;

/// Leases for which a faulty machine is cordoned.
const CORDON_LEASES: f64 = 20.0;

/// Jobs that must have failed on one machine only to make it seem faulty. A single one may itself be at
/// fault.
const FAULTY_MACHINE_JOBS: usize = 2;

impl Shard {
    /// A task has failed on this machine: its job or the machine may be at fault.
    pub(super) fn note_failure(&mut self, machine_id: &MachineId, task: &TaskId, now: Time) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let longest_interval = self.config.deployment.workers.cancel_s;
        let fails_everywhere = job.failures.failed(machine_id, longest_interval, now);
        machine.failed_jobs.insert(task.job.clone());
        let failures = job.retries.get(&task.index).map(|retry| retry.failures);
        tracing::info!(
            %task,
            machine = %machine_id,
            failures = failures.unwrap_or_default(),
            "task failed"
        );
        if fails_everywhere {
            tracing::info!(job = %task.job, "job fails on every machine: it is only probed");
            self.forecast.withdraw(&job.spec);
        }
        let failed_on = job.failures.machines().clone();
        self.cordon_if_faulty(machine_id, now);
        self.uncordon(&failed_on, now);
    }

    /// Cordons a machine on which several jobs failed that failed nowhere else. A job that was submitted
    /// with a mistake fails on every machine, and proves nothing of machines.
    fn cordon_if_faulty(&mut self, machine_id: &MachineId, now: Time) {
        let jobs = &self.jobs;
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.failed_jobs.retain(|job| jobs.contains_key(job));
        if !self.seems_faulty(machine_id) {
            return;
        }
        if let Some(machine) = self.machines.get_mut(machine_id) {
            tracing::info!(
                machine = %machine_id,
                "machine cordoned: tasks of several jobs fail on it alone"
            );
            machine.cordoned_until = now + self.config.deployment.workers.lease_s * CORDON_LEASES;
        }
    }

    /// Whether several jobs have failed on this machine and on no other.
    fn seems_faulty(&self, machine_id: &MachineId) -> bool {
        let fails_here_only = |job: &&JobId| {
            self.jobs
                .get(*job)
                .is_some_and(|job| job.failures.on_one_machine_only())
        };
        self.machines.get(machine_id).is_some_and(|machine| {
            let failed = machine.failed_jobs.iter();
            failed.filter(fails_here_only).count() >= FAULTY_MACHINE_JOBS
        })
    }

    /// A job has failed on another machine too: those that were cordoned because of it may be used again.
    fn uncordon(&mut self, failed_on: &BTreeSet<MachineId>, now: Time) {
        for machine_id in failed_on {
            let is_cordoned = self
                .machines
                .get(machine_id)
                .is_some_and(|machine| machine.is_cordoned(now));
            if is_cordoned
                && !self.seems_faulty(machine_id)
                && let Some(machine) = self.machines.get_mut(machine_id)
            {
                tracing::info!(
                    machine = %machine_id,
                    "machine uncordoned: what failed on it fails elsewhere too"
                );
                machine.cordoned_until = now;
                self.changed_since_round = true;
            }
        }
    }
}
