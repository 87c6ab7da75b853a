//! Applies changes of the shard map: the machines and teams that this process gains and loses.

use crate::core::effects::outbox::Outbox;
use crate::core::machines::machine::{CommandTokens, Machine, TrackedAttempt};
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::model::time::Time;
use crate::core::records::job_record::JobRecord;
use crate::core::records::shard_map::{ShardMap, ShardOwner};
use crate::core::shard::Shard;
use crate::core::shard::decision_log::{MachineChanges, OwnershipChange};
use crate::core::shard::owned_team::OwnedTeam;
use crate::core::shard::progress_records::write_rate_per_controller;
use crate::core::store::replica::StoreReplica;
use crate::ids::{ControllerName, FencingToken, MachineId, Team, Version};
use std::collections::{BTreeMap, BTreeSet};

/// The shard map's entry for one machine, from the point of view of this process.
struct MachineAssignment<'a> {
    owner: &'a ShardOwner,
    /// Whether `owner` is this process.
    is_owned_here: bool,
    /// When the machine's last heartbeat under the previous token was answered; `None` unless the owner at
    /// that time declared the machine unresponsive.
    last_answered: Option<Time>,
    /// The store replica's `map_revision` when the map was read.
    revision: Version,
}

impl Shard {
    /// Takes over teams and machines that the shard map assigns to this process, and gives up those that it
    /// assigns to other processes. Does nothing if the map has not changed since the last call.
    pub(crate) fn apply_map_changes(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        unresponsive: &UnresponsiveMachines,
    ) {
        if self.last_map_change.replace(store.shard_map_changes())
            == Some(store.shard_map_changes())
        {
            return;
        }
        let assigned = self.assigned_teams(store);
        let lost = self.lost_teams(&assigned);
        self.release_grants(outbox, store, &lost);
        self.divide_write_rate(store.shard_map());
        self.apply_machine_assignments(store, unresponsive, outbox.now);
        self.remove_deleted_machines(store.shard_map(), outbox.now);
        self.remove_lost_teams(lost);
        for (team, token) in assigned {
            if !self.teams.contains_key(&team) {
                self.gain_team(outbox, store, team, token);
            }
        }
        self.seed_image_caches();
        self.forget_attempts_of_other_teams();
    }

    /// Returns the teams that the map assigns to this process, with their fencing tokens.
    fn assigned_teams(&self, store: &StoreReplica) -> BTreeMap<Team, FencingToken> {
        let teams = store.shard_map().teams.iter();
        let ours =
            teams.filter(|(_, owner)| owner.is_process(&self.config.controller, self.incarnation));
        ours.map(|(team, owner)| (team.clone(), owner.token))
            .collect()
    }

    /// Returns the owned teams that the map no longer assigns to this process under the same token. A team
    /// with a new token may have had another owner since this process last read the map, so it is lost and
    /// then gained again.
    fn lost_teams(&self, assigned: &BTreeMap<Team, FencingToken>) -> Vec<Team> {
        let is_kept = |team: &Team, owned: &OwnedTeam| assigned.get(team) == Some(&owned.token());
        let lost = self
            .teams
            .iter()
            .filter(|(team, owned)| !is_kept(team, owned));
        lost.map(|(team, _)| team.clone()).collect()
    }

    /// Divides the write rate of job records equally among the controllers that own teams.
    fn divide_write_rate(&mut self, map: &ShardMap) {
        let writers: BTreeSet<&ControllerName> =
            map.teams.values().map(|owner| &owner.node).collect();
        let rate = write_rate_per_controller(&self.config, writers.len().max(1));
        self.record_rate.set_rate(rate);
    }

    fn apply_machine_assignments(
        &mut self,
        store: &StoreReplica,
        unresponsive: &UnresponsiveMachines,
        now: Time,
    ) {
        let mut changes = MachineChanges::default();
        for (id, owner) in &store.shard_map().machines {
            let previous = owner.previous_token;
            let assignment = MachineAssignment {
                owner,
                is_owned_here: owner.is_process(&self.config.controller, self.incarnation),
                last_answered: previous.and_then(|token| unresponsive.last_answered(id, token)),
                revision: store.map_revision(),
            };
            let change = if self.machines.contains_key(id) {
                self.update_machine_owner(id, &assignment, now)
            } else if assignment.is_owned_here {
                self.add_machine(id, &assignment, now);
                Some(OwnershipChange::Gained)
            } else {
                None
            };
            if let Some(change) = change {
                changes.record(change, owner.token, id);
            }
        }
        changes.log(store, now);
    }

    /// Updates a known machine whose owner or token has changed. Its attempts are kept; the machine has to
    /// confirm the new token. Returns whether it was gained or lost; `None` if it was not owned and is not.
    fn update_machine_owner(
        &mut self,
        id: &MachineId,
        assignment: &MachineAssignment,
        now: Time,
    ) -> Option<OwnershipChange> {
        let machine = self.machines.get_mut(id)?;
        let token = assignment.owner.token;
        if machine.is_owned == assignment.is_owned_here && machine.token == token {
            return None;
        }
        let change = match (machine.is_owned, assignment.is_owned_here) {
            (_, true) => Some(OwnershipChange::Gained),
            (true, false) => Some(OwnershipChange::Lost),
            (false, false) => None,
        };
        // A new token does not prove that the previous owner has stopped answering the machine.
        let unreleased_owner = machine.previous_owner.take();
        let unreleased_owner = unreleased_owner.filter(|_| machine.is_owned);
        let is_gained = assignment.is_owned_here && !machine.is_owned;
        machine.change_owner(
            token,
            assignment.owner.raises,
            assignment.is_owned_here,
            now,
        );
        if let (true, Some(last_answered)) = (is_gained, assignment.last_answered) {
            machine.last_answered = last_answered;
            machine.heartbeat_expected_since = last_answered;
        }
        let previous_owner = assignment.owner.previous_owner.clone().or(unreleased_owner);
        machine.previous_owner = previous_owner
            .filter(|process| assignment.is_owned_here && process.node != self.config.controller);
        machine.owned_since_revision = assignment.revision;
        if is_gained {
            self.uninspected_machines.insert(id.clone());
        }
        self.changed_since_round = true;
        change
    }

    /// Adds a machine that this process has gained. An earlier process of the same controller is not kept as
    /// the previous owner: it has ended and no longer answers the machine.
    fn add_machine(&mut self, id: &MachineId, assignment: &MachineAssignment, now: Time) {
        let last_answered = assignment.last_answered.unwrap_or(now);
        let mut machine = Machine::new(id.clone(), assignment.owner.token, last_answered);
        machine.is_owned = true;
        machine.command_tokens =
            CommandTokens::new(assignment.owner.token, assignment.owner.raises);
        let previous_owner = assignment.owner.previous_owner.clone();
        machine.previous_owner =
            previous_owner.filter(|process| process.node != self.config.controller);
        machine.owned_since_revision = assignment.revision;
        self.uninspected_machines.insert(id.clone());
        self.machines.insert(id.clone(), machine);
    }

    /// Removes machines that are no longer in the map. The leader removes a machine from the map only after
    /// the cloud has deleted it.
    fn remove_deleted_machines(&mut self, map: &ShardMap, now: Time) {
        self.starts_in_flight
            .retain_machines(|id| map.machines.contains_key(id));
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
            self.unreconciled_jobs.remove(&team);
            self.jobs.retain(|_, job| job.spec.team != team);
        }
    }

    /// Takes over a team. A task that an earlier owner may have started is not started until every machine in
    /// the map has reported its tasks or is known to be empty. Jobs that are submitted later cannot have been
    /// started by another process.
    fn gain_team(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        team: Team,
        token: FencingToken,
    ) {
        let unreconciled = store.shard_map().machines.keys().cloned().collect();
        let grant = self.new_team_grant(&team, token);
        let revision = store.map_revision();
        let owned = OwnedTeam::new(token, revision, unreconciled, grant, outbox.now);
        self.teams.insert(team.clone(), owned);
        self.read_grant_records(store);
        self.reconcile_teams(store, outbox.now);
        let now = (outbox.now, outbox.wall_ms);
        let is_of_team =
            |record: &JobRecord| record.spec.as_ref().is_some_and(|spec| spec.team == team);
        for (id, stored) in store.jobs() {
            if is_of_team(&stored.record) && !store.is_ahead_of_reads(id) {
                self.apply_job_record(store, id, &stored.record, stored.version, now);
            }
        }
        self.log_gained_team(store, &team, outbox.wall_ms);
    }

    /// Initializes the image caches of owned machines with the images that siblings have reported.
    fn seed_image_caches(&mut self) {
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

    /// Drops the attempts of other shards' teams on machines that this shard does not own, and the machines
    /// that have no attempts left.
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
