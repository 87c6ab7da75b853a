//! Jobs that are about to become ready: everything that they still need runs in this share and is
//! expected to end soon. Machines for them are looked for one boot time ahead, not earlier, and in
//! the room that those before them leave behind. A job whose dependencies wait, or run elsewhere,
//! may be far off, so nothing is rented for it.

use crate::core::jobs::job::Job;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::records::job_record::JobRecord;
use crate::core::scheduling::constraints::team_limits;
use crate::core::scheduling::forecast::longest_boot;
use crate::core::scheduling::packing::TaskDemand;
use crate::core::scheduling::usage::Usage;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{JobId, MachineId};
use crate::wire::{JobSpec, JobStatus, Kind, MachineType};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What will soon be wanted, and the room that will be free by then.
#[derive(Default)]
pub struct SoonReadyJobs {
    pub wanted: Vec<TaskDemand>,
    pub released: Vec<(MachineId, Resources)>,
}

impl Shard {
    /// What becomes ready while a machine boots.
    pub(crate) fn upcoming(
        &self,
        store: &StoreReplica,
        mut usage: Usage,
        types: &[MachineType],
        now: Time,
    ) -> SoonReadyJobs {
        let ending = self.ending_jobs(now + longest_boot(types));
        let mut wanted = Vec::new();
        for spec in self.ready_after(store, &ending) {
            let Some(team_limits) = team_limits(&self.config, &spec) else {
                continue;
            };
            let need = Resources::of(&spec);
            let count = usage.room_in_limit(team_limits, &need, spec.tasks as usize);
            usage.add_tasks(&team_limits.name, &need, count);
            wanted.push(TaskDemand::expected(types, spec, count as u32));
        }
        if wanted.is_empty() {
            return SoonReadyJobs::default();
        }
        SoonReadyJobs {
            wanted,
            released: self.room_of(&ending),
        }
    }

    /// Jobs all of whose unfinished tasks run and are expected to be done by then.
    fn ending_jobs(&self, by: Time) -> BTreeSet<&JobId> {
        let mut last_end: BTreeMap<&JobId, Time> = BTreeMap::new();
        for ((task, _), tracked) in self.machines.values().flat_map(|machine| &machine.attempts) {
            if tracked.exited() {
                continue;
            }
            if let Some((id, job)) = self.jobs.get_key_value(&task.job) {
                let began = tracked.started_at.unwrap_or(Time::INFINITY);
                let end = last_end.entry(id).or_insert(Time::NEG_INFINITY);
                *end = end.max(began + job.spec.estimate_s);
            }
        }
        let ends = |id: &JobId, job: &Job| {
            job.spec.kind != Kind::Service
                && job.waiting().is_empty()
                && job.unreconciled() == 0
                && last_end.get(id).is_none_or(|end| *end <= by)
        };
        self.jobs
            .iter()
            .filter(|(id, job)| ends(id, job))
            .map(|(id, _)| id)
            .collect()
    }

    /// Jobs of our teams that need nothing but what is done or in `ending`.
    fn ready_after(&self, store: &StoreReplica, ending: &BTreeSet<&JobId>) -> Vec<Rc<JobSpec>> {
        let done = |id: &JobId| {
            store
                .job(id)
                .is_some_and(|job| job.record.status == JobStatus::Done)
        };
        let dependents: BTreeSet<&JobId> =
            ending.iter().flat_map(|id| store.dependents(id)).collect();
        let mut specs = Vec::new();
        for id in dependents {
            let Some(job) = store.job(id).filter(|_| !store.dependency_cancelled(id)) else {
                continue;
            };
            let record: &JobRecord = &job.record;
            let Some(spec) = record.spec.as_ref().filter(|_| !record.is_final()) else {
                continue;
            };
            let ready = spec
                .dependencies
                .iter()
                .all(|id| done(id) || ending.contains(id));
            if ready && self.teams.contains_key(&spec.team) {
                specs.push(spec.clone());
            }
        }
        specs
    }

    fn room_of(&self, jobs: &BTreeSet<&JobId>) -> Vec<(MachineId, Resources)> {
        let mut released = Vec::new();
        for machine in self.machines.values() {
            let tracked = machine.attempts.iter().filter(|((task, _), tracked)| {
                !tracked.exited() && tracked.stop.is_none() && jobs.contains(&task.job)
            });
            let rooms = tracked.filter_map(|(_, tracked)| tracked.resources);
            let sum = rooms.fold(Resources::default(), |sum, room| sum.plus(&room));
            if sum != Resources::default() {
                released.push((machine.id.clone(), sum));
            }
        }
        released
    }
}

#[cfg(test)]
mod tests;
