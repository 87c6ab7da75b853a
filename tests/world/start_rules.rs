//! Checks of the rules that apply when a task starts, and of whether a job has room to start.

use super::worker::Worker;
use super::{LEASE_S, TeamLimit, World};
use ochredrum::ids::{Attempt, JobId, MachineId, TaskId};
use ochredrum::wire::{JobKind, JobSpec, MachineType};
use std::collections::BTreeMap;

/// Seconds within which a start that was in flight when its job was cancelled has been executed.
const IN_FLIGHT_S: f64 = 1.5;
/// Tolerance in comparisons of GPU and CPU counts, which are sums of floating-point numbers.
const QUOTA_TOLERANCE: f64 = 1e-6;

/// GPUs and CPUs that the tasks of a team use.
#[derive(Clone, Copy, Debug, Default)]
struct QuotaUsage {
    gpus: f64,
    cpus: f64,
}

impl QuotaUsage {
    fn add(&mut self, spec: &JobSpec) {
        self.gpus += spec.gpus;
        self.cpus += spec.cpus;
    }

    fn exceeds(&self, limit: &TeamLimit) -> bool {
        let is_above = |used: f64, limit: f64| limit > 0.0 && used > limit + QUOTA_TOLERANCE;
        is_above(self.gpus, limit.gpus) || is_above(self.cpus, limit.cpus)
    }
}

/// The tasks on all machines at the start of a task, as far as they concern that task.
#[derive(Default)]
struct Survey {
    /// A machine with another attempt of the same task, or another machine with any attempt of it.
    duplicate_on: Option<MachineId>,
    /// What each team uses.
    teams: BTreeMap<String, QuotaUsage>,
    /// Tasks of the same job by zone.
    zones: BTreeMap<String, u32>,
}

/// Resources that the tasks of a worker use. Tasks that have exited use none.
#[derive(Default)]
struct Usage {
    gpus: f64,
    cpus: f64,
    memory_gb: f64,
}

impl Usage {
    /// Whether one more task of a job fits on the machine.
    fn leaves_room(&self, spec: &JobSpec, machine_type: &MachineType) -> bool {
        self.gpus + spec.gpus <= machine_type.gpus
            && self.cpus + spec.cpus <= machine_type.cpus
            && self.memory_gb + spec.memory_gb <= machine_type.memory_gb
    }
}

impl World {
    /// Collects the tasks on all machines that concern the start of an attempt on machine `id`.
    fn survey(&self, id: &MachineId, task: &TaskId, attempt: Attempt) -> Survey {
        let mut survey = Survey::default();
        for worker in self.workers.values() {
            let rented = self.cloud.get(&worker.id);
            let zone = rented.map_or("?".into(), |rented| rented.zone.to_string());
            for ((other, same), running) in &worker.tasks {
                if !running.is_on_machine() {
                    continue;
                }
                if other == task && (worker.id != *id || *same != attempt) {
                    survey.duplicate_on = Some(worker.id.clone());
                }
                if other.job == task.job {
                    *survey.zones.entry(zone.clone()).or_default() += 1;
                }
                if let Some(spec) = self.users.spec(&other.job) {
                    survey
                        .teams
                        .entry(spec.team.to_string())
                        .or_default()
                        .add(spec);
                }
            }
        }
        survey
    }

    /// Checks the rules that apply when a task starts, that is, when its image has been fetched.
    pub(super) fn check_start(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) {
        let Some(spec) = self.users.spec(&task.job).cloned() else {
            return;
        };
        if self.cloud.get(id).is_none() {
            return;
        }
        let survey = self.survey(id, task, attempt);
        if let Some(other) = &survey.duplicate_on {
            self.record_violation("ran_twice", format!("{task} on {id} and {other}"));
        }
        self.check_quotas(&survey.teams);
        self.check_place(id, task, &spec, &survey.zones);
        if let Some(needed) = self.users.unfinished_dependency(&task.job) {
            let details = format!("{task} starts on {id}, {needed} is not done");
            self.record_violation("started_before_dependency", details);
        }
        self.check_not_cancelled(id, task);
    }

    /// Checks that no team uses more than its limit.
    fn check_quotas(&mut self, used: &BTreeMap<String, QuotaUsage>) {
        let exceeded = self.limited_teams.iter().filter_map(|limit| {
            let used = used.get(&limit.name)?;
            used.exceeds(limit)
                .then(|| format!("{limit:?}, in use: {used:?}"))
        });
        for details in exceeded.collect::<Vec<String>>() {
            self.record_violation("quota", details);
        }
    }

    /// Checks that a task starts on a machine, and in a zone, that its job allows.
    fn check_place(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        spec: &JobSpec,
        zones: &BTreeMap<String, u32>,
    ) {
        let Some(rented) = self.cloud.get(id) else {
            return;
        };
        let zone = rented.zone.clone();
        let half = spec.tasks.div_ceil(2);
        let wrong_type = spec
            .types
            .as_ref()
            .is_some_and(|types| !types.contains(&rented.type_name));
        let misplaced = (rented.spot && !spec.spot)
            || wrong_type
            || spec.zone.as_ref().is_some_and(|only| *only != zone)
            || (spec.one_zone && zones.len() > 1)
            || (spec.spread && zones.get(zone.as_str()).copied().unwrap_or(0) > half);
        if misplaced {
            let details = format!("{task} on {id} in {zone}, job in {zones:?}");
            self.record_violation("wrong_place", details);
        }
    }

    /// Checks that no task of a cancelled job starts, except for starts in flight when the user was told.
    fn check_not_cancelled(&mut self, id: &MachineId, task: &TaskId) {
        let reported_at = self.users.cancelled_reported_at(&task.job);
        if let Some(reported_at) = reported_at.filter(|at| *at < self.now) {
            self.counters.starts_after_cancel += 1;
            // Without faults, starts in flight at that time have been stopped by now. A machine that hung
            // executes the commands it had received once it continues (command_faults scenario 28).
            let hung_until = self.workers.get(id).map_or(0.0, |worker| worker.hung_until);
            let executed_by = reported_at.max(hung_until) + IN_FLIGHT_S;
            if self.was_fault_free(reported_at, LEASE_S * 2.0) && self.now > executed_by {
                self.record_violation("started_cancelled", format!("{task} starts on {id}"));
            }
        }
        if self.users.cancelled_for_long(&task.job, self.now) {
            self.record_violation("ran_cancelled", format!("{task} starts on {id}"));
        }
    }

    /// Whether no fault was in effect from `before` seconds before the time `since` until now.
    fn was_fault_free(&self, since: f64, before: f64) -> bool {
        self.network.has_no_faults() && self.last_fault_at.max(self.last_crash_at) < since - before
    }

    /// The resources in use on a worker's machine.
    fn usage(&self, worker: &Worker) -> Usage {
        let occupying = worker
            .tasks
            .iter()
            .filter(|(_, running)| !running.has_exited());
        let specs = occupying.filter_map(|((task, _), _)| self.users.spec(&task.job));
        specs.fold(Usage::default(), |sum, spec| Usage {
            gpus: sum.gpus + spec.gpus,
            cpus: sum.cpus + spec.cpus,
            memory_gb: sum.memory_gb + spec.memory_gb,
        })
    }

    /// Whether some machine could run one task of a job within its team's limit. Always false for gangs and
    /// for jobs with placement constraints among their tasks, for which one machine with room proves nothing.
    /// A job's list of machine types is ignored.
    pub(super) fn has_room(&self, spec: &JobSpec) -> bool {
        if spec.kind == JobKind::Gang || spec.one_zone || spec.spread {
            return false;
        }
        if !self.is_within_limit_with(spec) {
            return false;
        }
        self.workers.values().any(|worker| {
            let Some(rented) = self.cloud.get(&worker.id) else {
                return false;
            };
            (spec.spot || !rented.spot)
                && spec.zone.as_ref().is_none_or(|zone| *zone == rented.zone)
                && self
                    .usage(worker)
                    .leaves_room(spec, &self.cloud.type_of(&worker.id))
        })
    }

    /// Whether the team of a job stays within its limit with one more task of the job.
    fn is_within_limit_with(&self, spec: &JobSpec) -> bool {
        let limit = self
            .limited_teams
            .iter()
            .find(|limit| limit.name == spec.team.as_str());
        let Some(limit) = limit else {
            return true;
        };
        let mut used = QuotaUsage::default();
        used.add(spec);
        for worker in self.workers.values() {
            let occupying = worker.tasks.iter().filter(|(_, task)| !task.has_exited());
            let specs = occupying.filter_map(|((task, _), _)| self.users.spec(&task.job));
            specs
                .filter(|other| other.team == spec.team)
                .for_each(|other| used.add(other));
        }
        !used.exceeds(limit)
    }

    /// The number of tasks of a job that are on machines.
    pub(super) fn tasks_on_machines(&self, job: &JobId) -> usize {
        let tasks = self.workers.values().flat_map(|worker| &worker.tasks);
        tasks
            .filter(|((task, _), running)| task.job == *job && running.is_on_machine())
            .count()
    }
}
