//! Consolidation of service replicas. After some services have ended, the remaining replicas occupy machines
//! that are otherwise nearly empty. If only opportunistic tasks wait, no dependent job is about to become
//! ready and the plan demands no machines, the replicas of one machine at a time move to machines that have
//! their images cached, where they restart at once. The emptied machine can then run tasks that need a whole
//! machine, or is returned to the cloud. The protocol allows such moves: they are drains of a machine.

use crate::core::jobs::job::{Job, zone_allows};
use crate::core::machines::machine::{Machine, Phase, TrackedAttempt};
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::Catalog;
use crate::core::scheduling::constraints::accepts_machine;
use crate::core::scheduling::forecast::needs_cached_image;
use crate::core::scheduling::packing::candidate::PackingCandidate;
use crate::core::shard::Shard;
use crate::ids::{Attempt, JobId, MachineId, TaskId, Zone};
use crate::wire::{JobKind, MachineType, TaskState};
use std::collections::BTreeMap;

/// A machine that could be emptied, with the replicas that would have to move.
struct Source {
    id: MachineId,
    replicas: Vec<(TaskId, Attempt)>,
    /// The machine's price divided by the number of replicas.
    price_per_replica: f64,
}

/// A machine that could receive replicas.
struct Target<'c> {
    candidate: &'c PackingCandidate,
    /// Resources that the replicas assigned so far leave free.
    free: Resources,
}

/// Whether an attempt prevents its machine from being emptied.
enum Movability {
    /// A task of an array, which ends without being moved.
    RunsToCompletion,
    /// A service replica that may be moved.
    Movable,
    /// An attempt that must not be moved.
    Pinned,
}

impl Shard {
    /// Drains the machine with the highest price per replica among those whose replicas all fit on other
    /// machines.
    pub(crate) fn consolidate(
        &mut self,
        candidates: &[PackingCandidate],
        catalog: &Catalog,
        now: Time,
    ) {
        let mut sources: Vec<Source> = candidates
            .iter()
            .filter(|candidate| !candidate.has_planned_tasks)
            .filter_map(|candidate| self.consolidation_source(candidate, catalog, now))
            .collect();
        sources.sort_by(|one, other| other.price_per_replica.total_cmp(&one.price_per_replica));
        let Some(source) = sources
            .into_iter()
            .find(|source| self.replicas_fit_elsewhere(source, candidates, now))
        else {
            return;
        };
        tracing::info!(
            machine = %source.id,
            replicas = source.replicas.len(),
            "draining a machine: its service replicas restart on other machines"
        );
        if let Some(machine) = self.machines.get_mut(&source.id) {
            machine.draining = true;
        }
        for (task, attempt) in source.replicas {
            self.stop_attempt(&source.id, &task, attempt, 0.0);
        }
    }

    /// The candidate as a machine to empty. `None` if it must not be emptied or runs no replica.
    fn consolidation_source(
        &self,
        candidate: &PackingCandidate,
        catalog: &Catalog,
        now: Time,
    ) -> Option<Source> {
        let machine = self.machines.get(candidate.machine.as_ref()?)?;
        if !machine.usable(now) {
            return None;
        }
        // Only types of the same class are compared, since GPU machines often fetch images many times faster.
        let has_gpus =
            |machine_type: &&MachineType| (machine_type.gpus > 0.0) == (machine.total.gpus > 0.0);
        let similar_types: Vec<MachineType> =
            catalog.types().iter().filter(has_gpus).cloned().collect();
        let mut replicas = Vec::new();
        for (key, tracked) in &machine.attempts {
            if tracked.exited() {
                continue;
            }
            let job = self.jobs.get(&key.0.job)?;
            match self.movability(job, tracked, &similar_types, now) {
                Movability::RunsToCompletion => {}
                Movability::Movable => replicas.push(key.clone()),
                Movability::Pinned => return None,
            }
        }
        if replicas.is_empty() {
            return None;
        }
        let price = catalog.price(&machine.type_name, machine.spot);
        Some(Source {
            id: machine.id.clone(),
            price_per_replica: price / replicas.len() as f64,
            replicas,
        })
    }

    /// Classifies an attempt. `types` are the machine types that are similar to the type of its machine.
    fn movability(
        &self,
        job: &Job,
        tracked: &TrackedAttempt,
        types: &[MachineType],
        now: Time,
    ) -> Movability {
        match job.spec.kind {
            JobKind::Array => Movability::RunsToCompletion,
            JobKind::Gang => Movability::Pinned,
            // Few machines have such an image cached, and the replica would be down during a fetch.
            JobKind::Service if needs_cached_image(&self.config, types, &job.spec) => {
                Movability::Pinned
            }
            JobKind::Service => {
                let is_running = tracked.phase == Phase::Seen(TaskState::Running);
                // The user does not count a start as successful if the replica is stopped soon after it.
                let counts_as_started = tracked
                    .started_at
                    .is_some_and(|started| now - started > self.config.deployment.workers.cancel_s);
                if is_running && counts_as_started && tracked.stop.is_none() {
                    Movability::Movable
                } else {
                    Movability::Pinned
                }
            }
        }
    }

    /// Whether every replica fits on another machine that is in use, has its image cached and has enough
    /// resources beside the planned tasks.
    fn replicas_fit_elsewhere(
        &self,
        source: &Source,
        candidates: &[PackingCandidate],
        now: Time,
    ) -> bool {
        let Some(source_machine) = self.machines.get(&source.id) else {
            return false;
        };
        // Resources of opportunistic tasks do not count as free: the replica would be down until these tasks
        // have stopped.
        let mut targets: Vec<Target> = candidates
            .iter()
            .map(|candidate| Target {
                candidate,
                free: candidate.free.minus(&candidate.opportunistic_resources),
            })
            .collect();
        let mut tasks_in_zone: BTreeMap<&JobId, BTreeMap<Zone, u32>> = BTreeMap::new();
        for (task, _) in &source.replicas {
            let Some(job) = self.jobs.get(&task.job) else {
                return false;
            };
            // The zones of a job include the moves of its replicas so far.
            let job_zones = tasks_in_zone
                .entry(&task.job)
                .or_insert_with(|| job.zones.clone());
            if let Some(in_zone) = job_zones.get_mut(&source_machine.zone) {
                *in_zone = in_zone.saturating_sub(1);
            }
            let target = targets
                .iter_mut()
                .filter(|target| target.free.holds(&job.need()))
                .filter(|target| {
                    self.can_host_replica(target.candidate, job, source, job_zones, now)
                })
                .min_by(|one, other| one.free.gpus.total_cmp(&other.free.gpus));
            let Some(target) = target else {
                return false;
            };
            target.free = target.free.minus(&job.need());
            *job_zones
                .entry(target.candidate.offer.zone.clone())
                .or_default() += 1;
        }
        true
    }

    /// Whether a replica of the job may move to this machine. Free resources are not checked here.
    fn can_host_replica(
        &self,
        candidate: &PackingCandidate,
        job: &Job,
        source: &Source,
        tasks_in_zone: &BTreeMap<Zone, u32>,
        now: Time,
    ) -> bool {
        let is_suitable = |machine: &Machine| {
            machine.id != source.id
                && machine.usable(now)
                && (candidate.has_planned_tasks || !machine.idle())
                && machine.has_image(&job.spec.image)
                && accepts_machine(&job.spec, &machine.type_name, &machine.zone, machine.spot)
                && zone_allows(&job.spec, &machine.zone, tasks_in_zone)
        };
        candidate
            .machine
            .as_ref()
            .and_then(|id| self.machines.get(id))
            .is_some_and(is_suitable)
    }
}
