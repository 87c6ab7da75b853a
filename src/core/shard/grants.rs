//! The owner of a limited team starts its tasks under a grant ([`quota_ledger`]).
//!
//! The record of grants tells a team's new owner how much its predecessors may have started at most,
//! so that it can use the rest of the limit at once instead of counting everything that they might
//! have started. It relies on a record only if every owner since the record was begun has kept to
//! its grants; the map says since when that is so. Every write of an owner is guarded by the version
//! of the map's teams as well, so who has lost a team can't enlarge its grant any more.

use crate::config::{Config, TeamLimits};
use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::{GrantWrite, Pending};
use crate::core::effects::{StoreCall, StoreReply, Time};
use crate::core::records::keys::{quota_key, teams_key};
use crate::core::records::versioned::{precondition, put};
use crate::core::scheduling::usage::{Basis, Usage, limit_of};
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{FencingToken, Team, Version};
use crate::wire::{Precondition, Transaction, Write};
use quota_ledger::{Demand, Ended, Holder, HolderId, Outcome, Proposal};

/// Seconds before another try, when a write failed.
pub(crate) const FAILURE_PAUSE: Time = 0.1;

/// An owner's part in the record of one of its teams.
pub struct TeamGrant {
    pub(crate) holder: Holder,
    /// Since when owners have kept to their grants, as far as was ever known here: once under a
    /// grant, a process stays under it for as long as it owns the team.
    pub(crate) since: Option<FencingToken>,
    /// The team does without a record: it has no limit, or the state service refuses the record.
    pub(crate) refused: bool,
    pub(crate) seen: Option<Version>,
    pub(crate) write_after: Time,
    pub(crate) basis: Basis,
}

impl TeamGrant {
    pub(crate) fn new(
        config: &Config,
        team_limits: &TeamLimits,
        incarnation: u64,
        term: FencingToken,
    ) -> Option<Self> {
        let headroom = config
            .features
            .headroom(config.deployment.workers.lease_s)?;
        let limit = limit_of(team_limits);
        quota_key(&team_limits.name)?;
        let node = config.node.to_string();
        let id = HolderId {
            term: term.0,
            incarnation,
            node,
        };
        Some(Self {
            holder: Holder::new(id, limit, headroom),
            since: None,
            refused: !limit.is_limited(),
            seen: None,
            write_after: Time::NEG_INFINITY,
            basis: Basis::Undecided,
        })
    }

    /// What the owner goes by at present.
    pub fn basis(&self) -> Basis {
        self.basis
    }

    /// Takes up what the view shows of the record. `gained`: the revision at which the team was
    /// gained; before the view is that far, a record may be there that it does not show.
    pub(crate) fn follow(&mut self, store: &StoreReplica, team: &Team, gained: Version) {
        let since = store.grants_kept_since(team).or(self.since);
        let stored = store.ledger(team);
        let version = stored.map_or(0, |stored| stored.version);
        if self.seen != Some(version) || since != self.since {
            self.since = since;
            self.seen = Some(version);
            let ledger = stored.and_then(|stored| stored.ledger.as_ref());
            let relied_on = ledger.filter(|l| since.is_some_and(|since| l.began() >= since.0));
            self.holder.observe(version, relied_on.cloned());
        }
        // Others rely on a record for as long as it is there, so nothing starts beside it.
        let to_be_removed = self.refused && version != 0;
        self.basis = if store.revision() < gained || to_be_removed {
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

    /// What is to be written next.
    pub(crate) fn next_write(&mut self, now: Time, demand: &Demand) -> Option<Proposal> {
        let may_begin = self.since.is_some() || self.holder.ledger().is_some();
        if self.basis == Basis::Undecided || self.refused || !may_begin || now < self.write_after {
            return None;
        }
        self.holder.propose(now, demand)
    }
}

impl Shard {
    /// A team is ours: its grant, if it has a limit and grants are on.
    pub(crate) fn new_team_grant(&self, team: &Team, term: FencingToken) -> Option<TeamGrant> {
        TeamGrant::new(
            &self.config,
            self.config.team_limits(team)?,
            self.incarnation,
            term,
        )
    }

    /// Takes up what the view shows of the records of all our teams.
    pub(crate) fn follow_grants(&mut self, store: &StoreReplica) {
        for (name, team) in &mut self.teams {
            let gained = team.gained;
            if let Some(grant) = &mut team.grant {
                let before = grant.basis;
                grant.follow(store, name, gained);
                self.changed |= grant.basis != before;
            }
        }
    }

    /// Asks for what the teams need beyond their grants, or gives back what they don't.
    pub(crate) fn write_grants(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        usage: &Usage,
    ) {
        let names: Vec<Team> = self.teams.keys().cloned().collect();
        for name in names {
            // Starts wait for these few writes, so they don't wait for the rate of jobs' records.
            if !outbox.may_write() {
                return;
            }
            let Some(team) = self.teams.get_mut(&name) else {
                continue;
            };
            let reconciled = team.unreconciled.is_empty() && usage.is_known(&name);
            let Some(grant) = &mut team.grant else {
                continue;
            };
            if grant.refused {
                if let Some(version) = store.ledger(&name).map(|stored| stored.version) {
                    self.remove_record(outbox, store, &name, version);
                }
                continue;
            }
            let (used, inherited) = usage.under_grants(&name);
            let (waiting, next) = usage.lacking(&name);
            let ended = if reconciled {
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
            let Some(proposal) = grant.next_write(outbox.now, &demand) else {
                continue;
            };
            self.write_record(outbox, store, &name, &proposal, true);
        }
    }

    /// Teams go to other controllers: what may still run of our tasks stays granted.
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
            let (used, _) = usage.under_grants(name);
            let released = match grant.basis {
                Basis::Granted { .. } => grant.holder.release(used),
                Basis::Undecided | Basis::Counting { .. } => None,
            };
            if let Some(released) = released.filter(|_| outbox.may_write()) {
                self.write_record(outbox, store, name, &released, false);
            }
        }
    }

    /// `proposed`: as the owner, and so only while the map names this process.
    pub(crate) fn write_record(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        name: &Team,
        proposal: &Proposal,
        proposed: bool,
    ) {
        let (Some(key), Some(team)) = (quota_key(name), self.teams.get(name)) else {
            return;
        };
        let write = put(&key, &proposal.ledger, None);
        let mut preconditions = vec![precondition(&key, proposal.expected_version)];
        if proposed {
            preconditions.push(precondition(&teams_key(), teams_version(store)));
        }
        let pending = GrantWrite {
            team: name.clone(),
            term: team.token(),
            proposed,
            write,
        };
        self.commit_grant(outbox, preconditions, pending);
    }

    pub(crate) fn commit_grant(
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

    /// Without a record nobody relies on it.
    pub(crate) fn remove_record(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        name: &Team,
        version: Version,
    ) {
        let (Some(key), Some(team)) = (quota_key(name), self.teams.get_mut(name)) else {
            return;
        };
        let term = team.token();
        let Some(grant) = team
            .grant
            .as_mut()
            .filter(|grant| outbox.now >= grant.write_after)
        else {
            return;
        };
        grant.write_after = outbox.now + outbox.jitter(FAILURE_PAUSE * 10.0);
        let preconditions = vec![
            precondition(&key, version),
            precondition(&teams_key(), teams_version(store)),
        ];
        let write = Write::Delete { key };
        let pending = GrantWrite {
            team: name.clone(),
            term,
            proposed: false,
            write,
        };
        self.commit_grant(outbox, preconditions, pending);
    }

    /// The answer to a write of a record.
    pub(crate) fn grant_written(
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
        self.changed = true;
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
                let bytes = written.write.bytes();
                let team = &written.team;
                tracing::error!("the state service refuses {bytes} bytes of grants of team {team}");
                grant.refused = true;
            }
            _ => grant.write_after = outbox.now + outbox.jitter(FAILURE_PAUSE),
        }
    }
}

pub(crate) fn teams_version(store: &StoreReplica) -> Version {
    store
        .map()
        .get(&teams_key())
        .map_or(0, |chunk| chunk.version)
}

#[cfg(test)]
mod tests;
