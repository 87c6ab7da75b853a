//! Quota grants: the owner of a team with a limit starts the team's tasks under a grant
//! ([`quota_ledger`]).
//!
//! The record of grants bounds the tasks that a team's earlier owners may have started. A new owner can
//! therefore use the rest of the limit at once, without counting all these tasks. It relies on the
//! record only if every owner since the record's creation has kept to its grants; the shard map says since
//! which fencing token that holds. Every write by an owner also has the version of the map's list of teams
//! as a precondition, so a process that has lost a team can no longer enlarge its grant.

use crate::config::{Config, TeamLimits};
use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::{GrantWrite, Pending};
use crate::core::effects::{StoreCall, StoreReply};
use crate::core::model::time::Time;
use crate::core::records::keys::{quota_key, teams_key};
use crate::core::records::versioned::{precondition, put};
use crate::core::scheduling::usage::{QuotaBasis, Usage, limit_of};
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{FencingToken, Team, Version};
use crate::wire::{Precondition, Transaction, Write};
use quota_ledger::{Demand, EndedHolders, Holder, HolderId, Proposal, WriteOutcome};

/// Average delay before a failed write is retried, in seconds.
const RETRY_PAUSE_S: Time = 0.1;

/// Delay between two attempts to delete a record, in multiples of [`RETRY_PAUSE_S`].
const RETRY_PAUSES_PER_DELETE: f64 = 10.0;

/// The quota grant of this process for one team that it owns.
pub struct TeamGrant {
    holder: Holder,
    /// The fencing token since which all owners have kept to their grants; `None` until the shard map has
    /// named one. It is kept if the map no longer names one, because a process that has worked under a grant
    /// continues to do so for as long as it owns the team.
    grants_kept_since: Option<FencingToken>,
    /// Whether the team must not have a record, because it has no limit or because the store rejected one.
    is_record_disabled: bool,
    /// The version of the record at the last read: 0 if there was no record, `None` before the first read.
    seen_version: Option<Version>,
    /// Earliest time of the next write of the record.
    write_after: Time,
    basis: QuotaBasis,
}

impl TeamGrant {
    /// Creates the state of a team without a grant. Returns `None` if grants are disabled or if the team's
    /// name cannot be part of a key.
    fn new(
        config: &Config,
        team_limits: &TeamLimits,
        incarnation: u64,
        token: FencingToken,
    ) -> Option<Self> {
        let headroom = config
            .features
            .headroom(config.deployment.workers.lease_s)?;
        let limit = limit_of(team_limits);
        quota_key(&team_limits.name)?;
        let id = HolderId {
            term: token.0,
            incarnation,
            node: config.controller.to_string(),
        };
        Some(Self {
            holder: Holder::new(id, limit, headroom),
            grants_kept_since: None,
            is_record_disabled: !limit.is_limited(),
            seen_version: None,
            write_after: Time::NEG_INFINITY,
            basis: QuotaBasis::Undecided,
        })
    }

    /// How the owner accounts for the team's quota, as of the last read of the record.
    pub fn basis(&self) -> QuotaBasis {
        self.basis
    }

    /// Reads the record from the store replica. Unless the replica `has_read_earlier_jobs`, a record may exist
    /// that it does not show.
    fn observe(&mut self, store: &StoreReplica, team: &Team, has_read_earlier_jobs: bool) {
        let kept_since = store.grants_kept_since(team).or(self.grants_kept_since);
        let stored = store.ledger(team);
        let version = stored.map_or(0, |stored| stored.version);
        if self.seen_version != Some(version) || kept_since != self.grants_kept_since {
            self.grants_kept_since = kept_since;
            self.seen_version = Some(version);
            let reliable_ledger = stored
                .and_then(|stored| stored.ledger.as_ref())
                .filter(|ledger| kept_since.is_some_and(|since| ledger.creator_term() >= since.0));
            self.holder
                .observe_record(version, reliable_ledger.cloned());
        }
        // Other processes rely on a record for as long as it exists, so no task starts until it is deleted.
        let has_record_to_delete = self.is_record_disabled && version != 0;
        self.basis = if !has_read_earlier_jobs || has_record_to_delete {
            QuotaBasis::Undecided
        } else if self.holder.ledger().is_some() {
            let (own, outstanding) = (self.holder.usable_grant(), self.holder.granted_to_others());
            QuotaBasis::Granted { own, outstanding }
        } else {
            QuotaBasis::Counting {
                unconfirmed_grant: self.holder.first_grant_in_doubt(),
            }
        };
    }

    /// Proposes the next change of the record if one is needed and allowed at this time.
    fn propose_change(&mut self, now: Time, demand: &Demand) -> Option<Proposal> {
        let may_write_record = self.grants_kept_since.is_some() || self.holder.ledger().is_some();
        let is_undecided = self.basis == QuotaBasis::Undecided;
        if is_undecided || self.is_record_disabled || !may_write_record || now < self.write_after {
            return None;
        }
        self.holder.propose(now, demand)
    }
}

impl Shard {
    /// Creates the grant state of a team that this process has gained. Returns `None` if the team has no
    /// quota settings or if grants are disabled.
    pub(crate) fn new_team_grant(&self, team: &Team, token: FencingToken) -> Option<TeamGrant> {
        TeamGrant::new(
            &self.config,
            self.config.team_limits(team)?,
            self.incarnation,
            token,
        )
    }

    /// Reads the grant records of all owned teams from the store replica.
    pub(crate) fn read_grant_records(&mut self, store: &StoreReplica) {
        for (name, team) in &mut self.teams {
            let has_read_earlier_jobs = team.has_read_earlier_jobs(store.revision());
            if let Some(grant) = &mut team.grant {
                let before = grant.basis;
                grant.observe(store, name, has_read_earlier_jobs);
                self.changed_since_round |= grant.basis != before;
            }
        }
    }

    /// Writes changed grants: requests resources that teams need beyond their grants, and returns those that
    /// they do not need. Deletes the records of teams that must not have one.
    pub(crate) fn write_grants(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        usage: &Usage,
    ) {
        let names: Vec<Team> = self.teams.keys().cloned().collect();
        for name in names {
            // Task starts wait for these writes and the writes are few, so the rate limit of job records does
            // not hold them back.
            if !outbox.may_write() {
                return;
            }
            let grant = self.teams.get(&name).and_then(|team| team.grant.as_ref());
            let Some(is_record_disabled) = grant.map(|grant| grant.is_record_disabled) else {
                continue;
            };
            if is_record_disabled {
                if let Some(version) = store.ledger(&name).map(|stored| stored.version) {
                    self.delete_record(outbox, store, &name, version);
                }
            } else if let Some(proposal) = self.propose_grant_change(&name, usage, outbox.now) {
                self.write_record(outbox, store, &name, &proposal, true);
            }
        }
    }

    /// Proposes the next change of a team's record that the team's usage requires.
    fn propose_grant_change(&mut self, name: &Team, usage: &Usage, now: Time) -> Option<Proposal> {
        let team = self.teams.get_mut(name)?;
        let is_reconciled = team.unreconciled.is_empty() && usage.is_known(name);
        let (used, inherited) = usage.own_and_inherited(name);
        let (waiting, first_waiting) = usage.blocked_by_grant(name);
        let ended_holders = if is_reconciled {
            EndedHolders::AllOthers
        } else {
            EndedHolders::None
        };
        let demand = Demand {
            used,
            waiting,
            first_waiting,
            ended_holders,
            inherited,
        };
        team.grant.as_mut()?.propose_change(now, &demand)
    }

    /// Reduces the grants of lost teams to the resources that tasks started here may still use.
    pub(crate) fn release_grants(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        lost: &[Team],
    ) {
        if lost.is_empty() {
            return;
        }
        let usage = self.usage(store, outbox.wall_ms);
        for name in lost.iter().filter(|name| usage.is_known(name)) {
            let Some(grant) = self.teams.get(name).and_then(|team| team.grant.as_ref()) else {
                continue;
            };
            let (used, _) = usage.own_and_inherited(name);
            let released = match grant.basis {
                QuotaBasis::Granted { .. } => grant.holder.propose_release(used),
                QuotaBasis::Undecided | QuotaBasis::Counting { .. } => None,
            };
            if let Some(released) = released.filter(|_| outbox.may_write()) {
                self.write_record(outbox, store, name, &released, false);
            }
        }
    }

    /// Writes a team's record. If `as_owner` is set, the write also requires that the shard map's teams have
    /// not changed, so it succeeds only while this process owns the team.
    fn write_record(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        name: &Team,
        proposal: &Proposal,
        as_owner: bool,
    ) {
        let (Some(key), Some(team)) = (quota_key(name), self.teams.get(name)) else {
            return;
        };
        let write = put(&key, &proposal.ledger, None);
        let mut preconditions = vec![precondition(&key, proposal.expected_version)];
        if as_owner {
            preconditions.push(precondition(&teams_key(), teams_version(store)));
        }
        let pending = GrantWrite {
            team: name.clone(),
            token: team.token(),
            outcome_awaited: as_owner,
            write,
        };
        self.commit_grant(outbox, preconditions, pending);
    }

    fn commit_grant(
        &mut self,
        outbox: &mut Outbox,
        preconditions: Vec<Precondition>,
        pending: GrantWrite,
    ) {
        let transaction = Transaction {
            preconditions,
            writes: vec![pending.write.clone()],
        };
        self.record_rate.take(outbox.now);
        outbox.call_store(Pending::Grant(pending), StoreCall::Commit(transaction));
    }

    /// Deletes a team's record so that no process relies on it.
    fn delete_record(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        name: &Team,
        version: Version,
    ) {
        let (Some(key), Some(team)) = (quota_key(name), self.teams.get_mut(name)) else {
            return;
        };
        let token = team.token();
        let Some(grant) = team
            .grant
            .as_mut()
            .filter(|grant| outbox.now >= grant.write_after)
        else {
            return;
        };
        grant.write_after = outbox.now + outbox.jitter(RETRY_PAUSE_S * RETRY_PAUSES_PER_DELETE);
        let preconditions = vec![
            precondition(&key, version),
            precondition(&teams_key(), teams_version(store)),
        ];
        let write = Write::Delete { key };
        let pending = GrantWrite {
            team: name.clone(),
            token,
            outcome_awaited: false,
            write,
        };
        self.commit_grant(outbox, preconditions, pending);
    }

    /// Handles the store's reply to a write or deletion of a grant record.
    pub(crate) fn handle_grant_reply(
        &mut self,
        outbox: &mut Outbox,
        store: &mut StoreReplica,
        written: GrantWrite,
        reply: StoreReply,
    ) {
        if let StoreReply::Committed(version) = reply {
            store.apply_write(&written.write, version);
        } else {
            store.request_read();
        }
        self.changed_since_round = true;
        let team = self
            .teams
            .get_mut(&written.team)
            .filter(|team| team.token() == written.token);
        let Some(grant) = team.and_then(|team| team.grant.as_mut()) else {
            return;
        };
        if !written.outcome_awaited {
            return;
        }
        grant.holder.record_outcome(match reply {
            StoreReply::Committed(version) => WriteOutcome::Committed(version),
            StoreReply::Unknown => WriteOutcome::Unknown,
            _ => WriteOutcome::NotExecuted,
        });
        match reply {
            StoreReply::Committed(_) => {}
            StoreReply::Rejected => {
                tracing::error!(
                    team = %written.team,
                    bytes = written.write.value_bytes(),
                    "store rejected a quota grant record: any existing record is deleted, then the team continues without grants"
                );
                grant.is_record_disabled = true;
            }
            _ => grant.write_after = outbox.now + outbox.jitter(RETRY_PAUSE_S),
        }
    }
}

/// Returns the version of the shard map's list of teams; 0 if the list does not exist.
fn teams_version(store: &StoreReplica) -> Version {
    store
        .map_chunks()
        .get(&teams_key())
        .map_or(0, |chunk| chunk.version)
}

#[cfg(test)]
mod tests;
