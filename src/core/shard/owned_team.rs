//! A team that the shard owns, and the numbers of its tasks' attempts.

use crate::core::shard::Shard;
use crate::core::shard::grants::TeamGrant;
use crate::ids::{Attempt, FencingToken, MachineId, Team, Version};
use std::collections::BTreeSet;

/// Attempt numbers that one fencing token of a team provides.
const ATTEMPTS_PER_TOKEN: u64 = 1 << 16;

/// Attempts of one fencing token after which the leader is asked for another one: half of them, so that the new one
/// arrives long before they are used up.
const ATTEMPTS_BEFORE_RENEWAL: u64 = ATTEMPTS_PER_TOKEN / 2;

/// A team that this shard owns.
pub struct OwnedTeam {
    /// The fencing token under which the shard map assigns the team to this process.
    token: FencingToken,
    /// Revision of the store replica when the team was assigned to this process.
    pub gained_at_revision: Version,
    /// Machines that may still run tasks of the team which no heartbeat has shown yet.
    pub unreconciled: BTreeSet<MachineId>,
    /// Attempts numbered so far under the present token.
    attempts: u64,
    /// The shard's part in the record of the team's quota grants.
    pub(crate) grant: Option<TeamGrant>,
}

impl OwnedTeam {
    /// A team assigned under `token`, of which nothing is known yet about the machines in `unreconciled`.
    pub(crate) fn new(
        token: FencingToken,
        gained_at_revision: Version,
        unreconciled: BTreeSet<MachineId>,
        grant: Option<TeamGrant>,
    ) -> Self {
        Self {
            token,
            gained_at_revision,
            unreconciled,
            attempts: 0,
            grant,
        }
    }

    /// The fencing token under which the team is owned.
    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }

    /// Whether every machine has shown which of the team's tasks it runs.
    pub(crate) fn is_reconciled(&self) -> bool {
        self.unreconciled.is_empty()
    }

    /// An attempt number above all earlier ones, whichever process gave them: the token is their high part. None once
    /// the token's numbers are used up.
    fn allocate_attempt_number(&mut self) -> Option<Attempt> {
        self.attempts += 1;
        let number = self.token.0 * ATTEMPTS_PER_TOKEN + self.attempts;
        (self.attempts < ATTEMPTS_PER_TOKEN).then_some(Attempt(number))
    }

    /// Whether an attempt was numbered under the present token, that is by this shard.
    fn has_numbered(&self, attempt: Attempt) -> bool {
        attempt.0 / ATTEMPTS_PER_TOKEN == self.token.0
    }

    /// Whether the leader has to renew the token because its attempt numbers run out.
    fn is_short_of_attempts(&self) -> bool {
        self.attempts > ATTEMPTS_BEFORE_RENEWAL
    }
}

impl Shard {
    /// A new attempt number for a task of `team`. None if the team is not owned, or if its token has no more numbers.
    pub(crate) fn allocate_attempt_number(&mut self, team: &Team) -> Option<Attempt> {
        self.teams.get_mut(team)?.allocate_attempt_number()
    }

    /// Whether this shard has started an attempt since it was assigned the team.
    pub(crate) fn started_here(&self, team: &Team, attempt: Attempt) -> bool {
        let owned = self.teams.get(team);
        owned.is_some_and(|owned| owned.has_numbered(attempt))
    }

    /// Teams that need another fencing token because their attempt numbers run out.
    pub(crate) fn teams_short_of_attempts(&self) -> Vec<Team> {
        let short = self
            .teams
            .iter()
            .filter(|(_, owned)| owned.is_short_of_attempts());
        short.map(|(team, _)| team.clone()).collect()
    }
}
