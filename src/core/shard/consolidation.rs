//! Consolidation of replicas: services end here and there, and what is left of them keeps machines that
//! little runs on. When nothing waits and the plan has room to spare, the replicas of one machine
//! at a time move to others that hold their images already, where they are up again at once;
//! the empty machine serves what needs it whole, or is returned in time. Moving replicas is a drain, which the protocol allows.

use crate::core::jobs::job::zone_allows;
use crate::core::machines::machine::{Machine, Phase, TrackedAttempt};
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::Catalog;
use crate::core::scheduling::constraints::allowed;
use crate::core::scheduling::forecast::is_tight;
use crate::core::scheduling::packing::PackingCandidate;
use crate::core::shard::Shard;
use crate::ids::{Attempt, JobId, MachineId, TaskId, Zone};
use crate::wire::{Kind, MachineType, TaskState};
use std::collections::BTreeMap;

/// A machine that might be emptied, with the replicas that would have to move.
struct Source {
    id: MachineId,
    replicas: Vec<(TaskId, Attempt)>,
    /// Its price for each replica that has to move.
    worth: f64,
}

impl Shard {
    /// Empties the machine that costs most for each replica on it, if all of them fit elsewhere.
    pub(crate) fn consolidate(
        &mut self,
        candidates: &[PackingCandidate],
        catalog: &Catalog,
        now: Time,
    ) {
        let sources = candidates.iter().filter(|candidate| !candidate.planned);
        let mut sources: Vec<Source> = sources
            .filter_map(|candidate| self.source(candidate, catalog, now))
            .collect();
        sources.sort_by(|a, b| b.worth.total_cmp(&a.worth));
        let Some(source) = sources
            .into_iter()
            .find(|source| self.fit_elsewhere(source, candidates, now))
        else {
            return;
        };
        tracing::info!(
            "{} is emptied: {} replicas move",
            source.id,
            source.replicas.len()
        );
        if let Some(machine) = self.machines.get_mut(&source.id) {
            machine.draining = true;
        }
        for (task, attempt) in source.replicas {
            self.stop(&source.id, &task, attempt, 0.0);
        }
    }

    fn source(&self, candidate: &PackingCandidate, catalog: &Catalog, now: Time) -> Option<Source> {
        let machine = self.machines.get(candidate.machine.as_ref()?)?;
        let live: Vec<(&(TaskId, Attempt), &TrackedAttempt)> = machine
            .attempts
            .iter()
            .filter(|(_, tracked)| !tracked.exited())
            .collect();
        if !machine.usable(now) || live.is_empty() {
            return None;
        }
        // Machines with GPUs often fetch many times as fast as those without.
        let has_gpus = |of_type: &MachineType| of_type.gpus > 0.0;
        let like_this = |of_type: &&MachineType| has_gpus(of_type) == (machine.total.gpus > 0.0);
        let alike: Vec<MachineType> = catalog.types().iter().filter(like_this).cloned().collect();
        let mut replicas = Vec::new();
        for (key, tracked) in live {
            let job = self.jobs.get(&key.0.job)?;
            match job.spec.kind {
                // Ends by itself before long.
                Kind::Array => {}
                Kind::Gang => return None,
                // Resources where such an image is, is scarce, and a move that ends elsewhere is felt.
                Kind::Service if is_tight(&self.config, &alike, &job.spec) => return None,
                Kind::Service => {
                    let running = tracked.phase == Phase::Seen(TaskState::Running);
                    // A start that is stopped early does not count as one to its user.
                    let reconciled = tracked
                        .started_at
                        .is_some_and(|b| now - b > self.config.deployment.workers.cancel_s);
                    if !running || !reconciled || tracked.stop.is_some() {
                        return None;
                    }
                    replicas.push(key.clone());
                }
            }
        }
        if replicas.is_empty() {
            return None;
        }
        let worth = catalog.price(&machine.type_name, machine.spot) / replicas.len() as f64;
        Some(Source {
            id: machine.id.clone(),
            replicas,
            worth,
        })
    }

    /// Whether every replica finds room, beside what is planned, on machines in use that hold its
    /// image.
    fn fit_elsewhere(&self, source: &Source, candidates: &[PackingCandidate], now: Time) -> bool {
        let Some(from) = self.machines.get(&source.id) else {
            return false;
        };
        // A replica that had to wait for opportunistic work to make way would be missed meanwhile.
        let mut free: Vec<_> = candidates
            .iter()
            .map(|candidate| candidate.free.less(&candidate.opportunistic))
            .collect();
        let mut zones: BTreeMap<&JobId, BTreeMap<Zone, u32>> = BTreeMap::new();
        for (task, _) in &source.replicas {
            let Some(job) = self.jobs.get(&task.job) else {
                return false;
            };
            let need = job.need();
            // Of several replicas of a job here each one's move counts for the next.
            let counts = zones.entry(&task.job).or_insert_with(|| job.zones.clone());
            if let Some(here) = counts.get_mut(&from.zone) {
                *here = here.saturating_sub(1);
            }
            let suits = |candidate: &PackingCandidate, machine: &Machine| {
                machine.id != source.id
                    && machine.usable(now)
                    && (candidate.planned || !machine.idle())
                    && machine.has_image(&job.spec.image)
                    && allowed(&job.spec, &machine.type_name, &machine.zone, machine.spot)
                    && zone_allows(&job.spec, &machine.zone, counts)
            };
            let target = candidates
                .iter()
                .enumerate()
                .filter(|(at, _)| free[*at].holds(&need))
                .filter(|(_, candidate)| {
                    let machine = candidate
                        .machine
                        .as_ref()
                        .and_then(|id| self.machines.get(id));
                    machine.is_some_and(|machine| suits(candidate, machine))
                })
                .min_by(|(a, _), (b, _)| free[*a].gpus.total_cmp(&free[*b].gpus));
            let Some((at, candidate)) = target else {
                return false;
            };
            free[at] = free[at].less(&need);
            *counts.entry(candidate.offer.zone.clone()).or_default() += 1;
        }
        true
    }
}
