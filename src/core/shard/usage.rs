//! Upper bound on the resources that each team may be using. Every task that may be on a machine is counted.
//!
//! The bound is a sum of terms. Each rests on evidence that is complete as of some revision of the store:
//!
//! | term | evidence | complete |
//! |---|---|---|
//! | attempts | heartbeats of owned machines, observations of siblings, starts that this process issued | for each machine from its first heartbeat under this ownership, or the first observation of the revision at which the team was gained |
//! | unreconciled tasks of unfinished jobs | the stored records: each task may be on a machine that has not reported | once the revision is read at which the team was gained |
//! | cancelled jobs whose tasks may be on a machine that has not reported | the stored records | the same |
//!
//! While a term is incomplete and no bound replaces it, the usage of the team is unknown, and a team with a limit
//! starts nothing.

use crate::core::model::time::MS_PER_S;
use crate::core::scheduling::usage::{Usage, UsageTerm};
use crate::core::shard::{OwnedTeam, Shard};
use crate::core::store::cancelled_jobs::CancelledSince;
use crate::core::store::replica::StoreReplica;
use crate::ids::{JobId, Team};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which no task of a cancelled job can be left, in multiples of `cancel_s`: one for the tasks to
/// stop, and one for clock differences and transactions that the store executes late.
const CANCELLED_JOB_LIFETIME_PER_CANCEL_S: f64 = 2.0;

impl Shard {
    /// Computes the resources that this shard's teams may be using, including on machines that have not
    /// reported their tasks. `wall_ms` is the wall-clock time in milliseconds.
    pub(crate) fn usage(&self, store: &StoreReplica, wall_ms: u64) -> Usage {
        let mut usage = Usage::known_up_to(store.revision());
        self.add_attempts(&mut usage);
        self.add_unreconciled_tasks(&mut usage);
        self.add_cancelled_jobs(store, wall_ms, &mut usage);
        self.mark_teams_with_unread_jobs(store, &mut usage);
        for team_limits in &self.config.deployment.teams {
            let team = self.teams.get(&team_limits.name);
            if let Some(grant) = team.and_then(|team| team.grant.as_ref()) {
                usage.apply_basis(team_limits, grant.basis());
            }
        }
        usage
    }

    /// Marks the usage of teams as unknown whose earlier owners may have started jobs that the replica does not
    /// hold yet. What machines show of such a job has no team and is in no term.
    fn mark_teams_with_unread_jobs(&self, store: &StoreReplica, usage: &mut Usage) {
        let unread = self
            .teams
            .iter()
            .filter(|(_, team)| !team.has_read_earlier_jobs(store.revision()));
        unread.for_each(|(name, _)| usage.mark_unknown(name));
    }

    /// Adds all attempts that have not exited.
    fn add_attempts(&self, usage: &mut Usage) {
        let mut has_attempt_of_unknown_team = false;
        let attempts = self.machines.values().flat_map(|machine| &machine.attempts);
        for ((_, attempt), tracked) in attempts.filter(|(_, tracked)| !tracked.exited()) {
            match (&tracked.resources, &tracked.team) {
                (Some(resources), Some(team)) if self.started_here(team, *attempt) => {
                    usage.add(team, resources.cpus, resources.gpus);
                }
                (Some(resources), Some(team)) => {
                    let term = UsageTerm::Attempts;
                    usage.add_inherited(team, term, resources.cpus, resources.gpus);
                }
                // With `may_forget`, the attempt belongs to a finished job whose record does not name its
                // team. Any team may be using its resources.
                (_, None) => has_attempt_of_unknown_team |= tracked.may_forget,
                (None, Some(_)) => {}
            }
        }
        if has_attempt_of_unknown_team {
            self.teams.keys().for_each(|name| usage.mark_unknown(name));
        }
    }

    /// Adds tasks of unfinished jobs that may be on machines that have not reported their tasks.
    fn add_unreconciled_tasks(&self, usage: &mut Usage) {
        for job in self
            .jobs
            .values()
            .filter(|job| job.unreconciled_count() > 0)
        {
            let tasks = f64::from(job.unreconciled_count());
            let spec = &job.spec;
            usage.add_inherited(
                &spec.team,
                UsageTerm::Unreconciled,
                spec.cpus * tasks,
                spec.gpus * tasks,
            );
        }
    }

    /// Adds tasks of cancelled jobs that may be on machines that have not reported their tasks. Such a task
    /// keeps running until the stop command arrives, so a team's new owner counts it until every machine has
    /// reported.
    fn add_cancelled_jobs(&self, store: &StoreReplica, wall_ms: u64, usage: &mut Usage) {
        let unreconciled: Vec<(&Team, &OwnedTeam)> = self
            .teams
            .iter()
            .filter(|(_, team)| !team.unreconciled.is_empty())
            .collect();
        if unreconciled.is_empty() {
            return;
        }
        let counted_tasks = self.counted_tasks_of_ended_jobs();
        let recently_cancelled_ms = wall_ms.saturating_sub(self.cancelled_job_lifetime_ms());
        for (name, team) in unreconciled {
            let since = CancelledSince {
                wall_ms: recently_cancelled_ms,
                version: team.gained_at_revision,
            };
            if store.has_unattributed_cancellation_since(since) {
                usage.mark_unknown(name);
            }
            let cancelled = store.cancelled_since(since);
            for (id, job) in cancelled.filter(|(_, job)| job.team == *name) {
                let counted = counted_tasks.get(id).map_or(0, BTreeSet::len);
                let counted = u32::try_from(counted).unwrap_or(u32::MAX);
                let tasks = f64::from(job.tasks.saturating_sub(counted));
                usage.add_inherited(
                    name,
                    UsageTerm::Cancelled,
                    job.need.cpus * tasks,
                    job.need.gpus * tasks,
                );
            }
        }
    }

    /// How long tasks of a cancelled job may exist after the cancellation, in milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a product of positive settings; the cast saturates"
    )]
    fn cancelled_job_lifetime_ms(&self) -> u64 {
        (self.config.deployment.workers.cancel_s * CANCELLED_JOB_LIFETIME_PER_CANCEL_S * MS_PER_S)
            as u64
    }

    /// Returns the tasks of ended jobs that [`Self::add_attempts`] counts.
    fn counted_tasks_of_ended_jobs(&self) -> BTreeMap<&JobId, BTreeSet<u32>> {
        let mut tasks: BTreeMap<&JobId, BTreeSet<u32>> = BTreeMap::new();
        let attempts = self.machines.values().flat_map(|machine| &machine.attempts);
        for ((task, _), tracked) in attempts {
            if tracked.may_forget && !tracked.exited() && tracked.resources.is_some() {
                tasks.entry(&task.job).or_default().insert(task.index);
            }
        }
        tasks
    }
}

#[cfg(test)]
mod tests;
