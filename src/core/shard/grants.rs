//! Quota grants: the owner of a team with a limit starts the team's tasks under a grant
//! ([`quota_ledger`]).
//!
//! The record of grants tells a team's new owner how much its predecessors may have started at most, so
//! that it can use the rest of the limit at once instead of counting everything that they might have
//! started. It relies on a record only if every owner since the record was begun has kept to its grants;
//! the shard map says since when that is so. Every write of an owner has the version of the map's teams as
//! a precondition too, so a process that has lost a team cannot enlarge its grant any more.

use crate::config::{Config, TeamLimits};
use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::{GrantWrite, Pending};
use crate::core::effects::{StoreCall, StoreReply};
use crate::core::model::time::Time;
use crate::core::records::keys::{quota_key, teams_key};
use crate::core::records::versioned::{precondition, put};
use crate::core::scheduling::usage::{Basis, Usage, limit_of};
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{FencingToken, Team, Version};
use crate::wire::{Precondition, Transaction, Write};
use quota_ledger::{Demand, Ended, Holder, HolderId, Outcome, Proposal};

/// Seconds before a failed write is retried.
const RETRY_PAUSE_S: Time = 0.1;

/// Retry pauses between attempts to delete a record.
const DELETE_PAUSES: f64 = 10.0;

/// A process's grant for one of the teams it owns.
pub struct TeamGrant {
    holder: Holder,
    /// The fencing token since which all owners have kept to their grants, as far as it was ever known
    /// here: a process that has worked under a grant does so for as long as it owns the team.
    grants_kept_since: Option<FencingToken>,
    /// The team does without a record: it has no limit, or the state service refuses the record.
    has_no_record: bool,
    /// The version of the record that was read last; 0 if there was none.
    seen_version: Option<Version>,
    /// Nothing is written before this time.
    write_after: Time,
    basis: Basis,
}

impl TeamGrant {
    /// No grant yet; `None` if grants are disabled or the team's name makes no valid key.
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
            node: config.node.to_string(),
        };
        Some(Self {
            holder: Holder::new(id, limit, headroom),
            grants_kept_since: None,
            has_no_record: !limit.is_limited(),
            seen_version: None,
            write_after: Time::NEG_INFINITY,
            basis: Basis::Undecided,
        })
    }

    /// How the owner accounts for the team's quota at present.
    pub fn basis(&self) -> Basis {
        self.basis
    }

    /// Reads the record from the store replica. `gained_at_revision` is the revision at which the team was gained:
    /// until the replica has reached it, there may be a record that the replica does not show.
    fn observe(&mut self, store: &StoreReplica, team: &Team, gained_at_revision: Version) {
        let kept_since = store.grants_kept_since(team).or(self.grants_kept_since);
        let stored = store.ledger(team);
        let version = stored.map_or(0, |stored| stored.version);
        if self.seen_version != Some(version) || kept_since != self.grants_kept_since {
            self.grants_kept_since = kept_since;
            self.seen_version = Some(version);
            let reliable = stored
                .and_then(|stored| stored.ledger.as_ref())
                .filter(|ledger| kept_since.is_some_and(|since| ledger.began() >= since.0));
            self.holder.observe(version, reliable.cloned());
        }
        // Others rely on a record for as long as it exists, so nothing starts beside it.
        let has_record_to_delete = self.has_no_record && version != 0;
        self.basis = if store.revision() < gained_at_revision || has_record_to_delete {
            Basis::Undecided
        } else if self.holder.ledger().is_some() {
            let (own, outstanding) = (self.holder.grant(), self.holder.outstanding());
            Basis::Granted { own, outstanding }
        } else {
            Basis::Counting {
                beginning: self.holder.first_grant_in_doubt(),
            }
        };
    }

    /// The next change of the record, if one is needed and allowed now.
    fn next_write(&mut self, now: Time, demand: &Demand) -> Option<Proposal> {
        let may_begin = self.grants_kept_since.is_some() || self.holder.ledger().is_some();
        let is_undecided = self.basis == Basis::Undecided;
        if is_undecided || self.has_no_record || !may_begin || now < self.write_after {
            return None;
        }
        self.holder.propose(now, demand)
    }
}

impl Shard {
    /// The grant for a team that this process has gained, if grants are enabled.
    pub(crate) fn new_team_grant(&self, team: &Team, token: FencingToken) -> Option<TeamGrant> {
        TeamGrant::new(
            &self.config,
            self.config.team_limits(team)?,
            self.incarnation,
            token,
        )
    }

    /// Reads the records of all owned teams from the store replica.
    pub(crate) fn read_grant_records(&mut self, store: &StoreReplica) {
        for (name, team) in &mut self.teams {
            let gained_at_revision = team.gained_at_revision;
            if let Some(grant) = &mut team.grant {
                let before = grant.basis;
                grant.observe(store, name, gained_at_revision);
                self.changed_since_round |= grant.basis != before;
            }
        }
    }

    /// Requests what the teams need beyond their grants, and returns what they do not need.
    pub(crate) fn write_grants(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        usage: &Usage,
    ) {
        let names: Vec<Team> = self.teams.keys().cloned().collect();
        for name in names {
            // Starts wait for these few writes, so they are not subject to the rate limit of job records.
            if !outbox.may_write() {
                return;
            }
            let grant = self.teams.get(&name).and_then(|team| team.grant.as_ref());
            let Some(has_no_record) = grant.map(|grant| grant.has_no_record) else {
                continue;
            };
            if has_no_record {
                if let Some(version) = store.ledger(&name).map(|stored| stored.version) {
                    self.delete_record(outbox, store, &name, version);
                }
            } else if let Some(proposal) = self.next_grant_write(&name, usage, outbox.now) {
                self.write_record(outbox, store, &name, &proposal, true);
            }
        }
    }

    /// The next change of a team's record that its usage requires.
    fn next_grant_write(&mut self, name: &Team, usage: &Usage, now: Time) -> Option<Proposal> {
        let team = self.teams.get_mut(name)?;
        let is_reconciled = team.unreconciled.is_empty() && usage.is_known(name);
        let (used, inherited) = usage.own_and_inherited(name);
        let (waiting, next) = usage.blocked_by_grant(name);
        let ended = if is_reconciled {
            Ended::AllOthers
        } else {
            Ended::None
        };
        let demand = Demand {
            used,
            waiting,
            next,
            ended,
            inherited,
        };
        team.grant.as_mut()?.next_write(now, &demand)
    }

    /// Reduces the grants of teams that other controllers have gained to what tasks started here may still use.
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
                Basis::Granted { .. } => grant.holder.release(used),
                Basis::Undecided | Basis::Counting { .. } => None,
            };
            if let Some(released) = released.filter(|_| outbox.may_write()) {
                self.write_record(outbox, store, name, &released, false);
            }
        }
    }

    /// Writes a team's record. If `is_proposal`, the process writes as the team's owner, and so only while the
    /// shard map names it as such.
    fn write_record(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        name: &Team,
        proposal: &Proposal,
        is_proposal: bool,
    ) {
        let (Some(key), Some(team)) = (quota_key(name), self.teams.get(name)) else {
            return;
        };
        let write = put(&key, &proposal.ledger, None);
        let mut preconditions = vec![precondition(&key, proposal.expected_version)];
        if is_proposal {
            preconditions.push(precondition(&teams_key(), teams_version(store)));
        }
        let pending = GrantWrite {
            team: name.clone(),
            term: team.token(),
            proposed: is_proposal,
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
        outbox.state(Pending::Grant(pending), StoreCall::Commit(transaction));
    }

    /// Deletes a team's record, so that no process relies on it.
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
        grant.write_after = outbox.now + outbox.jitter(RETRY_PAUSE_S * DELETE_PAUSES);
        let preconditions = vec![
            precondition(&key, version),
            precondition(&teams_key(), teams_version(store)),
        ];
        let write = Write::Delete { key };
        let pending = GrantWrite {
            team: name.clone(),
            term: token,
            proposed: false,
            write,
        };
        self.commit_grant(outbox, preconditions, pending);
    }

    /// Handles the reply to a write of a record.
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
            store.want_sync();
        }
        self.changed_since_round = true;
        let team = self
            .teams
            .get_mut(&written.team)
            .filter(|team| team.token() == written.term);
        let Some(grant) = team.and_then(|team| team.grant.as_mut()) else {
            return;
        };
        if !written.proposed {
            return;
        }
        grant.holder.record_outcome(match reply {
            StoreReply::Committed(version) => Outcome::Committed(version),
            StoreReply::Unknown => Outcome::Unknown,
            _ => Outcome::NotExecuted,
        });
        match reply {
            StoreReply::Committed(_) => {}
            StoreReply::Rejected => {
                tracing::error!(
                    team = %written.team,
                    bytes = written.write.bytes(),
                    "store rejected a quota grant record"
                );
                grant.has_no_record = true;
            }
            _ => grant.write_after = outbox.now + outbox.jitter(RETRY_PAUSE_S),
        }
    }
}

/// The version of the shard map's list of teams; 0 if there is none.
fn teams_version(store: &StoreReplica) -> Version {
    store
        .map()
        .get(&teams_key())
        .map_or(0, |chunk| chunk.version)
}

#[cfg(test)]
mod tests;
