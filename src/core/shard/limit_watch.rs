//! Watches the limits of the owned teams: logs what starts of a limited team rest on, and warns if the attempts that
//! this process knows of exceed the limit.

use crate::config::TeamLimits;
use crate::core::model::time::Time;
use crate::core::scheduling::usage::{QuotaUnits, Usage, limit_of};
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{Attempt, JobId, Team};

/// Attempts that a warning names; further ones are only counted.
const MAX_NAMES: usize = 40;

impl Shard {
    /// Logs that a team was gained, as of which revision, and what counts towards its limit at that moment.
    pub(super) fn log_gained_team(&self, store: &StoreReplica, team: &Team, wall_ms: u64) {
        let Some(owned) = self.teams.get(team) else {
            return;
        };
        let usage = self.usage(store, wall_ms);
        tracing::info!(
            %team,
            token = owned.token().0,
            gained_at_revision = owned.gained_at_revision,
            read_up_to = usage.read_up_to,
            machines_not_reported = owned.unreconciled.len(),
            used = %usage.terms(team),
            "team gained"
        );
    }

    /// Logs what the starts of a job of a limited team rest on. `usage` includes these starts.
    pub(super) fn log_start_within_limit(
        &mut self,
        job: &JobId,
        attempt: Attempt,
        team_limits: &TeamLimits,
        usage: &Usage,
        now: Time,
    ) {
        let team = &team_limits.name;
        let Some(owned) = self.teams.get(team) else {
            return;
        };
        if !limit_of(team_limits).is_limited() || !self.decision_log.permits_line(now) {
            return;
        }
        tracing::info!(
            %job,
            attempt = attempt.0,
            %team,
            limit = %limit_units(team_limits),
            used = %usage.terms(team),
            gained_at_revision = owned.gained_at_revision,
            read_up_to = usage.read_up_to,
            machines_not_reported = owned.unreconciled.len(),
            "start within the team's limit"
        );
    }

    /// Warns of each owned team whose attempts exceed its limit, once until they are within it again, and counts
    /// these warnings. Observations of siblings may show an attempt for some moments after it has ended.
    pub(super) fn watch_limits(&mut self, usage: &Usage) {
        let limits = self.config.clone();
        for team_limits in &limits.deployment.teams {
            let used = usage.terms(&team_limits.name).attempts;
            let exceeds_limit = used.exceeds_limit(team_limits);
            let Some(owned) = self.teams.get_mut(&team_limits.name) else {
                continue;
            };
            let is_new = !std::mem::replace(&mut owned.exceeds_limit, exceeds_limit);
            if exceeds_limit && is_new {
                self.limit_excesses += 1;
                self.warn_of_excess(team_limits, used);
            }
        }
    }

    fn warn_of_excess(&self, team_limits: &TeamLimits, used: QuotaUnits) {
        let team = &team_limits.name;
        let attempts = self.machines.values().flat_map(|machine| {
            let of_team = machine
                .attempts
                .iter()
                .filter(|(_, tracked)| tracked.team.as_ref() == Some(team) && !tracked.exited());
            of_team.map(|((task, attempt), _)| format!("{task}@{} {}", attempt.0, machine.id))
        });
        let names: Vec<String> = attempts.take(MAX_NAMES).collect();
        tracing::warn!(
            %team,
            limit = %limit_units(team_limits),
            %used,
            attempts = %names.join(", "),
            "attempts on machines exceed the team's limit"
        );
    }
}

/// A team's limit; 0 means unlimited.
fn limit_units(team_limits: &TeamLimits) -> QuotaUnits {
    QuotaUnits {
        cpus: team_limits.cpus_max,
        gpus: team_limits.gpus_max,
    }
}

#[cfg(test)]
mod tests;
