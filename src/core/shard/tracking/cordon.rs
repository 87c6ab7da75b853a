//! Cordons machines that seem faulty: several jobs have failed on the machine and on no other.

use crate::core::model::time::Time;
use crate::core::shard::Shard;
use crate::ids::{JobId, MachineId, TaskId};
use std::collections::BTreeSet;

/// Duration for which a faulty machine is cordoned, in durations of a worker's lease.
const CORDON_DURATION_LEASES: f64 = 20.0;

/// Number of jobs that must have failed on a machine, and on no other, before the machine is considered
/// faulty. A single job may itself be faulty.
const MIN_FAULTY_MACHINE_JOBS: usize = 2;

impl Shard {
    /// Records that a task has failed on this machine, and cordons or uncordons machines accordingly. Either
    /// the job or the machine may be faulty.
    pub(super) fn handle_task_failure(&mut self, machine_id: &MachineId, task: &TaskId, now: Time) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let longest_interval = self.config.deployment.workers.cancel_s;
        let fails_everywhere = job
            .failures
            .record_failure(machine_id, longest_interval, now);
        machine.failed_jobs.insert(task.job.clone());
        let failures = job.retries.get(&task.index).map(|retry| retry.failures);
        tracing::info!(
            %task,
            machine = %machine_id,
            failures = failures.unwrap_or_default(),
            "task failed"
        );
        if fails_everywhere {
            tracing::info!(
                job = %task.job,
                "job fails on every machine: only probes of it are started until one runs"
            );
            self.forecast.remove_job(&job.spec);
        }
        let failed_on = job.failures.machines().clone();
        self.cordon_if_faulty(machine_id, now);
        self.uncordon_if_not_faulty(&failed_on, now);
    }

    /// Cordons the machine if several jobs have failed on it and on no other machine. A job that was
    /// submitted with a mistake fails on every machine, so it says nothing about a particular machine.
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
                "machine cordoned: several jobs have failed on it and on no other machine"
            );
            machine.cordoned_until =
                now + self.config.deployment.workers.lease_s * CORDON_DURATION_LEASES;
        }
    }

    /// Whether several jobs have failed on this machine and on no other.
    fn seems_faulty(&self, machine_id: &MachineId) -> bool {
        let fails_here_only = |job: &&JobId| {
            self.jobs
                .get(*job)
                .is_some_and(|job| job.failures.failed_on_one_machine())
        };
        self.machines.get(machine_id).is_some_and(|machine| {
            let failed = machine.failed_jobs.iter();
            failed.filter(fails_here_only).count() >= MIN_FAULTY_MACHINE_JOBS
        })
    }

    /// Uncordons those machines in `failed_on` that no longer seem faulty, because a job that failed on them
    /// has failed on another machine too.
    fn uncordon_if_not_faulty(&mut self, failed_on: &BTreeSet<MachineId>, now: Time) {
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
                    "machine uncordoned: a job that failed on it has failed on another machine too"
                );
                machine.cordoned_until = now;
                self.changed_since_round = true;
            }
        }
    }
}
