//! Jobs that are about to become ready: all their unfinished dependencies run in this shard and are expected
//! to end soon. Machines for these jobs are demanded at most one boot time ahead, and only for tasks that do
//! not fit into the resources that the dependencies will release. A job whose dependencies are queued or run
//! in another shard may become ready much later, so no machine is rented for it.

use crate::core::jobs::job::Job;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::constraints::team_limits;
use crate::core::scheduling::forecast::longest_boot_s;
use crate::core::scheduling::packing::candidate::TaskDemand;
use crate::core::scheduling::usage::Usage;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{JobId, MachineId};
use crate::wire::{JobKind, JobSpec, JobStatus, MachineType};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Demand of the jobs that are about to become ready, and the resources that will be released by then.
#[derive(Default)]
pub(crate) struct UpcomingDependents {
    /// Tasks of these jobs that fit within their teams' limits, one entry for each job.
    pub(crate) demands: Vec<TaskDemand>,
    /// Resources that their dependencies will release, by machine; empty if there is no demand.
    pub(crate) released: Vec<(MachineId, Resources)>,
}

impl Shard {
    /// The jobs that are expected to become ready within the longest boot time of any machine type.
    pub(crate) fn upcoming_dependents(
        &self,
        store: &StoreReplica,
        mut usage: Usage,
        types: &[MachineType],
        now: Time,
    ) -> UpcomingDependents {
        let ending_jobs = self.jobs_ending_by(now + longest_boot_s(types));
        let mut demands = Vec::new();
        for spec in self.jobs_ready_after(store, &ending_jobs) {
            let Some(team_limits) = team_limits(&self.config, &spec) else {
                continue;
            };
            let need = Resources::of(&spec);
            let count = usage.tasks_within_limit(team_limits, &need, spec.tasks as usize);
            usage.add_tasks(&team_limits.name, &need, count);
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            demands.push(TaskDemand::forecast(types, spec, count));
        }
        if demands.is_empty() {
            return UpcomingDependents::default();
        }
        UpcomingDependents {
            demands,
            released: self.resources_held_by(&ending_jobs),
        }
    }

    /// Jobs, other than services, whose unfinished tasks are all running and expected to end by the given
    /// time.
    fn jobs_ending_by(&self, by: Time) -> BTreeSet<&JobId> {
        let end_times = self.expected_end_times();
        let is_ending = |id: &JobId, job: &Job| {
            job.spec.kind != JobKind::Service
                && job.waiting().is_empty()
                && job.unreconciled_count() == 0
                && end_times.get(id).is_none_or(|end| *end <= by)
        };
        self.jobs
            .iter()
            .filter(|(id, job)| is_ending(id, job))
            .map(|(id, _)| id)
            .collect()
    }

    /// The time at which the last live attempt of each job is expected to end; infinity if one of its
    /// attempts has not begun to run.
    fn expected_end_times(&self) -> BTreeMap<&JobId, Time> {
        let mut end_times: BTreeMap<&JobId, Time> = BTreeMap::new();
        for ((task, _), tracked) in self.machines.values().flat_map(|machine| &machine.attempts) {
            if tracked.exited() {
                continue;
            }
            if let Some((id, job)) = self.jobs.get_key_value(&task.job) {
                let started = tracked.started_at.unwrap_or(Time::INFINITY);
                let end = end_times.entry(id).or_insert(Time::NEG_INFINITY);
                *end = end.max(started + job.spec.estimate_s);
            }
        }
        end_times
    }

    /// Unfinished jobs of this shard's teams whose dependencies are all either done or in `ending_jobs`, with
    /// at least one in `ending_jobs`.
    fn jobs_ready_after(
        &self,
        store: &StoreReplica,
        ending_jobs: &BTreeSet<&JobId>,
    ) -> Vec<Rc<JobSpec>> {
        let is_done = |id: &JobId| {
            store
                .job(id)
                .is_some_and(|job| job.record.status == JobStatus::Done)
        };
        let dependents: BTreeSet<&JobId> = ending_jobs
            .iter()
            .flat_map(|id| store.dependents(id))
            .collect();
        let mut specs = Vec::new();
        for id in dependents {
            let Some(job) = store
                .job(id)
                .filter(|_| !store.has_cancelled_dependency(id))
            else {
                continue;
            };
            let unfinished = job.record.spec.as_ref().filter(|_| !job.record.is_final());
            let Some(spec) = unfinished else {
                continue;
            };
            let is_ready = spec
                .dependencies
                .iter()
                .all(|id| is_done(id) || ending_jobs.contains(id));
            if is_ready && self.teams.contains_key(&spec.team) {
                specs.push(spec.clone());
            }
        }
        specs
    }

    /// Resources of the jobs' live attempts without a pending stop, by machine.
    fn resources_held_by(&self, jobs: &BTreeSet<&JobId>) -> Vec<(MachineId, Resources)> {
        let mut used = Vec::new();
        for machine in self.machines.values() {
            let sum = machine
                .attempts
                .iter()
                .filter(|((task, _), tracked)| {
                    !tracked.exited() && tracked.stop.is_none() && jobs.contains(&task.job)
                })
                .filter_map(|(_, tracked)| tracked.resources)
                .fold(Resources::default(), |sum, resources| sum.plus(&resources));
            if sum != Resources::default() {
                used.push((machine.id.clone(), sum));
            }
        }
        used
    }
}

#[cfg(test)]
mod tests;
