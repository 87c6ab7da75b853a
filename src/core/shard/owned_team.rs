//! The state of a team that the shard owns, and the numbering of its tasks' attempts.

use crate::core::model::time::Time;
use crate::core::shard::Shard;
use crate::core::shard::grants::TeamGrant;
use crate::ids::{Attempt, FencingToken, MachineId, Team, Version};
use std::collections::BTreeSet;

/// Size of the range of attempt numbers that belongs to one fencing token of a team.
const ATTEMPTS_PER_TOKEN: u64 = 1 << 16;

/// Number of attempts under one fencing token after which the leader is asked for a new token. Half of the
/// range leaves ample time for the new token to arrive before the range is used up.
const ATTEMPTS_BEFORE_RENEWAL: u64 = ATTEMPTS_PER_TOKEN / 2;

/// The state of a team that this shard owns.
pub struct OwnedTeam {
    /// The fencing token under which the shard map assigns the team to this process.
    token: FencingToken,
    /// The store replica's `map_revision` when this process learned that it owns the team.
    pub gained_at_revision: Version,
    /// When this process gained the team.
    gained_at: Time,
    /// Machines that may run tasks of the team that no heartbeat has reported yet.
    pub unreconciled: BTreeSet<MachineId>,
    /// The machine that reported last; `None` if none has reported since the team was gained.
    pub(crate) last_reported: Option<MachineId>,
    /// Whether it was logged that every machine has reported.
    reconciliation_logged: bool,
    /// Whether the attempts of the team exceeded its limit in the last placement round.
    pub(crate) exceeds_limit: bool,
    /// How many attempt numbers were issued under the current token.
    attempts: u64,
    /// The quota grant of this process for the team; `None` if grants do not apply to the team.
    pub(crate) grant: Option<TeamGrant>,
}

impl OwnedTeam {
    /// Creates the state of a team that was assigned under `token`. The machines in `unreconciled` have not
    /// reported yet which of the team's tasks they run.
    pub(crate) fn new(
        token: FencingToken,
        gained_at_revision: Version,
        unreconciled: BTreeSet<MachineId>,
        grant: Option<TeamGrant>,
        now: Time,
    ) -> Self {
        Self {
            token,
            gained_at_revision,
            gained_at: now,
            unreconciled,
            last_reported: None,
            reconciliation_logged: false,
            exceeds_limit: false,
            attempts: 0,
            grant,
        }
    }

    /// The fencing token under which the team is owned.
    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }

    /// Whether every machine has reported which of the team's tasks it runs.
    pub(crate) fn is_reconciled(&self) -> bool {
        self.unreconciled.is_empty()
    }

    /// Records that a machine has reported which of the team's tasks it runs.
    pub(crate) fn record_report(&mut self, machine: &MachineId) {
        if self.unreconciled.remove(machine) {
            self.last_reported = Some(machine.clone());
        }
    }

    /// Logs once that every machine has reported, how long that took and which machine was the last one.
    pub(crate) fn log_reconciliation(&mut self, team: &Team, now: Time) {
        if !self.is_reconciled() || std::mem::replace(&mut self.reconciliation_logged, true) {
            return;
        }
        tracing::info!(
            %team,
            token = self.token.0,
            seconds = %format_args!("{:.2}", now - self.gained_at),
            last_machine = self.last_reported.as_ref().map_or("", MachineId::as_str),
            "team reconciled: all its tasks may be started"
        );
    }

    /// Whether a replica that has read up to `read` holds every job that an earlier owner may have started. A leader
    /// knows of a team that it assigns to itself by its own write, before it reads what was written earlier.
    pub(crate) fn has_read_earlier_jobs(&self, read: Version) -> bool {
        read >= self.gained_at_revision
    }

    /// Issues an attempt number that is larger than all earlier ones of the team, including those that other
    /// processes issued: the token forms the high part of the number. Returns `None` once the token's range
    /// is used up.
    fn allocate_attempt_number(&mut self) -> Option<Attempt> {
        self.attempts += 1;
        let number = self.token.0 * ATTEMPTS_PER_TOKEN + self.attempts;
        (self.attempts < ATTEMPTS_PER_TOKEN).then_some(Attempt(number))
    }

    /// Whether the attempt's number was issued under the current token, and so by this shard.
    fn has_issued(&self, attempt: Attempt) -> bool {
        attempt.0 / ATTEMPTS_PER_TOKEN == self.token.0
    }

    /// Whether the team needs a new token because few attempt numbers are left.
    fn is_short_of_attempts(&self) -> bool {
        self.attempts > ATTEMPTS_BEFORE_RENEWAL
    }
}

impl Shard {
    /// Issues an attempt number for a task of `team`. Returns `None` if the shard does not own the team or if
    /// the token's range of numbers is used up.
    pub(crate) fn allocate_attempt_number(&mut self, team: &Team) -> Option<Attempt> {
        self.teams.get_mut(team)?.allocate_attempt_number()
    }

    /// Whether this shard started the attempt under the team's current token.
    pub(crate) fn started_here(&self, team: &Team, attempt: Attempt) -> bool {
        let owned = self.teams.get(team);
        owned.is_some_and(|owned| owned.has_issued(attempt))
    }

    /// Returns the teams that need a new fencing token because few attempt numbers are left.
    pub(crate) fn teams_short_of_attempts(&self) -> Vec<Team> {
        let short = self
            .teams
            .iter()
            .filter(|(_, owned)| owned.is_short_of_attempts());
        short.map(|(team, _)| team.clone()).collect()
    }
}
