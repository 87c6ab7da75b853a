use crate::core::scheduling::usage::Usage;
use crate::core::shard::Shard;
use crate::core::store::cancelled_jobs::CancelledSince;
use crate::core::store::replica::StoreReplica;
use crate::ids::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// Times `cancel_s` after which nothing can be left of a cancelled job: once for its tasks to go, and
/// once more for clocks that differ and for transactions that are carried out late.
pub(crate) const CANCELLED_COUNTS: f64 = 2.0;

impl Shard {
    /// Everything of our teams that may be on a machine, and what may be on machines not heard.
    pub(crate) fn usage(&self, store: &StoreReplica, wall_ms: u64) -> Usage {
        let mut usage = Usage::default();
        self.add_held(&mut usage);
        self.add_unreconciled(&mut usage);
        self.add_cancelled(store, wall_ms, &mut usage);
        for team_limits in &self.config.deployment.teams {
            let grant = self
                .teams
                .get(&team_limits.name)
                .and_then(|team| team.grant.as_ref());
            if let Some(grant) = grant {
                usage.count_by_grants(team_limits, grant.basis());
            }
        }
        usage
    }

    pub(crate) fn add_held(&self, usage: &mut Usage) {
        // Whether there is a task that is over, of a record that doesn't say whose it was.
        let mut stray = false;
        let attempts = self.machines.values().flat_map(|machine| &machine.attempts);
        for ((_, attempt), tracked) in attempts.filter(|(_, tracked)| !tracked.exited()) {
            match (&tracked.resources, &tracked.team) {
                (Some(room), Some(team)) if self.started_here(team, *attempt) => {
                    usage.add(team, room.cpus, room.gpus);
                }
                (Some(room), Some(team)) => usage.add_inherited(team, room.cpus, room.gpus),
                (_, None) => stray |= tracked.may_forget,
                (None, Some(_)) => {}
            }
        }
        if stray {
            self.teams.keys().for_each(|name| usage.close(name));
        }
    }

    pub(crate) fn add_unreconciled(&self, usage: &mut Usage) {
        for job in self.jobs.values().filter(|job| job.unreconciled() > 0) {
            let tasks = f64::from(job.unreconciled());
            usage.add_inherited(&job.spec.team, job.spec.cpus * tasks, job.spec.gpus * tasks);
        }
    }

    /// Cancelled jobs' tasks run on where a stop has not arrived, and a team's new owner has to
    /// count them too until every machine has told what it holds.
    pub(crate) fn add_cancelled(&self, store: &StoreReplica, wall_ms: u64, usage: &mut Usage) {
        let unreconciled: Vec<_> = self
            .teams
            .iter()
            .filter(|(_, team)| !team.unreconciled.is_empty())
            .collect();
        if unreconciled.is_empty() {
            return;
        }
        let tracked = self.tracked_of_cancelled();
        let recent_ms = self.config.deployment.workers.cancel_s * CANCELLED_COUNTS * 1e3;
        let recent = wall_ms.saturating_sub(recent_ms as u64);
        for (name, team) in unreconciled {
            let since = CancelledSince {
                wall_ms: recent,
                version: team.gained_at,
            };
            if store.undescribed_cancellation_since(since) {
                usage.close(name);
            }
            for (id, terminating) in store
                .cancelled_since(since)
                .filter(|(_, l)| l.team == *name)
            {
                let known = tracked.get(id).map_or(0, BTreeSet::len) as u32;
                let tasks = f64::from(terminating.tasks.saturating_sub(known));
                usage.add_inherited(
                    name,
                    terminating.need.cpus * tasks,
                    terminating.need.gpus * tasks,
                );
            }
        }
    }

    /// The tasks of cancelled jobs that are counted where they are.
    pub(crate) fn tracked_of_cancelled(&self) -> BTreeMap<&JobId, BTreeSet<u32>> {
        let mut tasks: BTreeMap<&JobId, BTreeSet<u32>> = BTreeMap::new();
        let on_machines = self.machines.values().flat_map(|machine| &machine.attempts);
        for ((task, _), tracked) in on_machines {
            if tracked.may_forget && !tracked.exited() && tracked.resources.is_some() {
                tasks.entry(&task.job).or_default().insert(task.index);
            }
        }
        tasks
    }
}
