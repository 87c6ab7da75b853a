//! Follows the shard map: which machines and teams this process gains and loses.

use crate::core::effects::outbox::Outbox;
use crate::core::machines::machine::{Machine, TrackedAttempt};
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::model::time::Time;
use crate::core::records::job_record::JobRecord;
use crate::core::records::shard_map::{ShardMap, ShardOwner};
use crate::core::shard::Shard;
use crate::core::shard::owned_team::OwnedTeam;
use crate::core::shard::progress_records::write_rate_per_controller;
use crate::core::store::replica::StoreReplica;
use crate::ids::{FencingToken, MachineId, Node, Team, Version};
use std::collections::{BTreeMap, BTreeSet};

/// What the shard map says of one machine, seen from this process.
struct Assignment<'a> {
    owner: &'a ShardOwner,
    /// Whether this process is the owner.
    is_ours: bool,
    /// When the machine was last answered under the token before the present one, if its owner then has declared it
    /// unresponsive.
    last_answered: Option<Time>,
    /// Revision of the store replica in which the map was read.
    revision: Version,
}

impl Shard {
    /// Adopts what the shard map assigns to this process and gives up what it assigns to others.
    pub(crate) fn apply_map_changes(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        unresponsive: &UnresponsiveMachines,
    ) {
        if self.last_map_change.replace(store.map_changes()) == Some(store.map_changes()) {
            return;
        }
        let assigned = self.assigned_teams(store);
        let lost = self.lost_teams(&assigned);
        self.release_grants(outbox, store, &lost);
        self.share_write_rate(store.owners());
        self.follow_machines(store, unresponsive, outbox.now);
        self.remove_deleted_machines(store.owners(), outbox.now);
        self.remove_lost_teams(lost);
        for (team, token) in assigned {
            if !self.teams.contains_key(&team) {
                self.gain_team(outbox, store, team, token);
            }
        }
        self.adopt_known_images();
        self.forget_attempts_of_other_teams();
    }

    /// The teams that the map assigns to this process, with their fencing tokens.
    fn assigned_teams(&self, store: &StoreReplica) -> BTreeMap<Team, FencingToken> {
        let teams = store.owners().teams.iter();
        let ours = teams.filter(|(_, owner)| owner.is(&self.config.node, self.incarnation));
        ours.map(|(team, owner)| (team.clone(), owner.token))
            .collect()
    }

    /// Teams that are no longer owned. Under another token a team may have been elsewhere since this process last read
    /// the map, so it is lost and gained anew.
    fn lost_teams(&self, assigned: &BTreeMap<Team, FencingToken>) -> Vec<Team> {
        let is_kept = |team: &Team, owned: &OwnedTeam| assigned.get(team) == Some(&owned.token());
        let lost = self
            .teams
            .iter()
            .filter(|(team, owned)| !is_kept(team, owned));
        lost.map(|(team, _)| team.clone()).collect()
    }

    /// Divides the store's write rate among the controllers that own teams.
    fn share_write_rate(&mut self, map: &ShardMap) {
        let writers: BTreeSet<&Node> = map.teams.values().map(|owner| &owner.node).collect();
        let rate = write_rate_per_controller(&self.config, writers.len().max(1));
        self.record_rate.set_rate(rate);
    }

    fn follow_machines(
        &mut self,
        store: &StoreReplica,
        unresponsive: &UnresponsiveMachines,
        now: Time,
    ) {
        for (id, owner) in &store.owners().machines {
            let previous = owner.previous_token;
            let assignment = Assignment {
                owner,
                is_ours: owner.is(&self.config.node, self.incarnation),
                last_answered: previous.and_then(|token| unresponsive.answered(id, token)),
                revision: store.map_revision(),
            };
            if self.machines.contains_key(id) {
                self.follow_known_machine(id, &assignment, now);
            } else if assignment.is_ours {
                self.add_machine(id, &assignment, now);
            }
        }
    }

    /// A known machine has another owner or another token: its attempts stay known, its authorization starts anew.
    fn follow_known_machine(&mut self, id: &MachineId, assignment: &Assignment, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let token = assignment.owner.token;
        if machine.is_owned == assignment.is_ours && machine.token == token {
            return;
        }
        // A fresh token does not show whether an earlier owner has stopped answering the machine.
        let unreleased = machine.previous_owner.take();
        let unreleased = unreleased.filter(|_| machine.is_owned);
        let is_gained = assignment.is_ours && !machine.is_owned;
        machine.change_owner(token, assignment.is_ours, now);
        if let (true, Some(last_answered)) = (is_gained, assignment.last_answered) {
            machine.last_answered = last_answered;
            machine.heartbeat_expected_since = last_answered;
        }
        let previous_owner = assignment.owner.previous_owner.clone().or(unreleased);
        machine.previous_owner =
            previous_owner.filter(|process| assignment.is_ours && process.node != self.config.node);
        machine.owned_since_revision = assignment.revision;
        if is_gained {
            self.uninspected_machines.insert(id.clone());
        }
        self.changed_since_round = true;
    }

    /// Of an earlier process of this very controller nothing is expected: it has ended and answers nobody.
    fn add_machine(&mut self, id: &MachineId, assignment: &Assignment, now: Time) {
        let last_answered = assignment.last_answered.unwrap_or(now);
        let mut machine = Machine::named(id.clone(), assignment.owner.token, last_answered);
        machine.is_owned = true;
        let previous_owner = assignment.owner.previous_owner.clone();
        machine.previous_owner = previous_owner.filter(|process| process.node != self.config.node);
        machine.owned_since_revision = assignment.revision;
        self.uninspected_machines.insert(id.clone());
        self.machines.insert(id.clone(), machine);
    }

    /// The leader removes a machine from the map only after the cloud has deleted it.
    fn remove_deleted_machines(&mut self, map: &ShardMap, now: Time) {
        self.starts_in_flight
            .retain(|id| map.machines.contains_key(id));
        let is_deleted = |id: &&MachineId| !map.machines.contains_key(*id);
        let deleted: Vec<MachineId> = self.machines.keys().filter(is_deleted).cloned().collect();
        for id in deleted {
            self.remove_machine(&id, now);
        }
    }

    fn remove_lost_teams(&mut self, lost: Vec<Team>) {
        for team in lost {
            tracing::info!(%team, "team lost");
            self.teams.remove(&team);
            self.jobs.retain(|_, job| job.spec.team != team);
        }
    }

    /// Nothing of a gained team is started until every machine in the map has shown what it runs or is known to be
    /// empty. Jobs that are submitted later can't have been started by anybody else.
    fn gain_team(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        team: Team,
        token: FencingToken,
    ) {
        tracing::info!(%team, token = token.0, "team gained");
        let unreconciled = store.owners().machines.keys().cloned().collect();
        let grant = self.new_team_grant(&team, token);
        let owned = OwnedTeam::new(token, store.map_revision(), unreconciled, grant);
        self.teams.insert(team.clone(), owned);
        self.read_grant_records(store);
        self.reconcile_teams(store);
        let now = (outbox.now, outbox.wall_ms);
        let is_of_team =
            |record: &JobRecord| record.spec.as_ref().is_some_and(|spec| spec.team == team);
        for (id, stored) in store.jobs() {
            // A write of this process that is newer than the replica waits for the replica to catch up.
            if is_of_team(&stored.record) && stored.version <= store.revision() {
                self.apply_job_record(store, id, &stored.record, stored.version, now);
            }
        }
    }

    /// Owned machines start out with the images that their earlier owners have told of.
    fn adopt_known_images(&mut self) {
        let owned = self
            .machines
            .values_mut()
            .filter(|machine| machine.is_owned);
        for machine in owned {
            if let Some(images) = self.image_hints.get(&machine.id) {
                machine.seed_images(images);
            }
        }
    }

    /// Other shards' machines are known only for attempts of this shard's teams.
    fn forget_attempts_of_other_teams(&mut self) {
        let (teams, index) = (&self.teams, &mut self.task_index);
        let is_ours = |tracked: &TrackedAttempt| {
            let team = tracked.team.as_ref();
            team.is_some_and(|team| teams.contains_key(team))
        };
        self.machines.retain(|_, machine| {
            if machine.is_owned {
                return true;
            }
            machine.attempts.retain(|(task, _), tracked| {
                let is_kept = is_ours(tracked);
                if !is_kept {
                    index.remove(&task.job, &machine.id);
                }
                is_kept
            });
            !machine.attempts.is_empty()
        });
    }
}
