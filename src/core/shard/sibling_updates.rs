//! Exchange of state between the shards of sibling controllers.
//!
//! The owner of a machine reports the tasks of other shards' teams that run on it. It also executes the stop
//! and forget commands of those shards. Tasks therefore keep running when their machine or their team changes
//! its owner. Updates are level-triggered: each one contains the complete current state, so a lost or late
//! update does no harm.

use crate::core::effects::outbox::Outbox;
use crate::core::machines::machine::{Machine, Phase, TrackedAttempt};
use crate::core::messages::capacity_demand::MachineOffer;
use crate::core::messages::shard_update::{
    ImageHints, MachineContacts, PeerUpdate, TaskCommand, TaskObservation,
};
use crate::core::model::process::ProcessId;
use crate::core::model::time::Time;
use crate::core::records::shard_map::ShardOwner;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{Attempt, ControllerName, FencingToken, MachineId, TaskId, Team, Version};
use crate::wire::{ReportedTask, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// The teams whose tasks an update lists completely, and the store revision of the sender.
struct Coverage<'a> {
    revision: Version,
    teams: &'a BTreeSet<Team>,
}

impl Coverage<'_> {
    /// Whether the sender knew that this shard owns the team. Only then does a task's absence from the update
    /// mean that the task is not on the sender's machines.
    fn includes(&self, team: &Team, gained_at_revision: Version) -> bool {
        self.revision >= gained_at_revision && self.teams.contains(team)
    }
}

impl Shard {
    /// Returns whether siblings need an update before the next regular exchange of updates, and clears the
    /// request for it.
    pub(crate) fn take_sibling_update_request(&mut self) -> bool {
        std::mem::take(&mut self.sibling_update_requested)
    }

    /// Creates this shard's update for the sibling `node`. `refused` contains the offers that the cloud
    /// refuses; it is `None` unless this process is the leader.
    pub fn peer_update_for(
        &self,
        node: &ControllerName,
        store: &StoreReplica,
        refused: Option<BTreeSet<MachineOffer>>,
        images: ImageHints,
        contacts: MachineContacts,
    ) -> PeerUpdate {
        let owners = store.shard_map().teams.iter();
        let their_teams = owners.filter(|(_, owner)| owner.node == *node);
        let their_teams: BTreeSet<&Team> = their_teams.map(|(team, _)| team).collect();
        let reported = self.machines_to_report(node, store);
        let reconciled = reported
            .iter()
            .map(|machine| (machine.id.clone(), machine.token));
        let observations = reported
            .iter()
            .filter_map(|machine| observation(machine, &their_teams));
        PeerUpdate {
            revision: store.revision(),
            wants_observations: self.needs_observations(),
            reconciled: reconciled.collect(),
            observations: observations.collect(),
            commands: self.create_commands_for(node, store),
            demand: self.demand.clone(),
            unavailable_offers: refused,
            images,
            contacts,
            teams: their_teams.into_iter().cloned().collect(),
        }
    }

    /// Returns the owned machines whose tasks are completely known, or none if the sibling does not need
    /// observations.
    fn machines_to_report(&self, node: &ControllerName, store: &StoreReplica) -> Vec<&Machine> {
        if !self.listeners.contains(node) {
            return Vec::new();
        }
        let is_reportable = |machine: &&Machine| {
            machine.is_owned && machine.reconciled() && has_only_known_tasks(machine, store)
        };
        self.machines.values().filter(is_reportable).collect()
    }

    /// Creates the stop and forget commands for attempts of this shard's teams on the sibling's machines.
    fn create_commands_for(&self, node: &ControllerName, store: &StoreReplica) -> Vec<TaskCommand> {
        let is_owned_by_sibling = |machine: &&Machine| {
            let owner = store.shard_map().machines.get(&machine.id);
            !machine.is_owned && owner.is_some_and(|owner| owner.node == *node)
        };
        let mut commands = Vec::new();
        for machine in self.machines.values().filter(is_owned_by_sibling) {
            for ((task, attempt), tracked) in &machine.attempts {
                if tracked.stop.is_some() || tracked.may_forget {
                    commands.push(TaskCommand {
                        machine: machine.id.clone(),
                        task: task.to_string(),
                        attempt: *attempt,
                        stop: tracked.stop,
                        forget: tracked.may_forget,
                    });
                }
            }
        }
        commands
    }

    /// Returns the images on each owned machine.
    pub fn images_on_owned_machines(&self) -> ImageHints {
        let owned = self.machines.values().filter(|machine| machine.is_owned);
        owned
            .map(|machine| (machine.id.clone(), machine.images().to_vec()))
            .collect()
    }

    /// Returns the images on all machines. Those on other shards' machines are known only if siblings
    /// reported them.
    pub fn images_on_all_machines(&self) -> ImageHints {
        let mut known = self.image_hints.clone();
        known.extend(self.images_on_owned_machines());
        known
    }

    /// Whether this shard needs observations: one of its teams is not reconciled, or it tracks attempts on
    /// machines of other shards.
    fn needs_observations(&self) -> bool {
        let tracks_other_machines = || {
            let mut machines = self.machines.values();
            machines.any(|machine| !machine.is_owned && !machine.attempts.is_empty())
        };
        self.teams.values().any(|team| !team.is_reconciled()) || tracks_other_machines()
    }

    /// Applies an update from the process `incarnation` of the sibling `from`.
    pub fn apply_peer_update(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        from: &ControllerName,
        incarnation: u64,
        mut update: PeerUpdate,
    ) {
        if update.wants_observations {
            self.sibling_update_requested |= self.listeners.insert(from.clone());
        } else {
            self.listeners.remove(from);
        }
        if let Some(refused) = update.unavailable_offers {
            self.refused_offers = refused;
        }
        self.image_hints.extend(update.images);
        let sender = ProcessId::new(from.clone(), incarnation);
        self.release_previous_owner(&sender, update.revision, outbox.now);
        for command in std::mem::take(&mut update.commands) {
            self.apply_command(store, from, command);
        }
        let coverage = Coverage {
            revision: update.revision,
            teams: &update.teams,
        };
        let mut observations: BTreeMap<MachineId, TaskObservation> = update
            .observations
            .into_iter()
            .map(|observation| (observation.machine.clone(), observation))
            .collect();
        for (id, token) in update.reconciled {
            // An observation by a previous owner or under an earlier token is outdated.
            let is_current =
                |owner: &ShardOwner| owner.is_process(from, incarnation) && owner.token == token;
            if store.shard_map().machines.get(&id).is_some_and(is_current) {
                let observation = observations.remove(&id);
                self.apply_observation(outbox, store, &id, token, &coverage, observation);
            }
        }
    }

    /// Marks machines as released by their previous owner if that owner's update shows that it has read the
    /// change of the map. From then on it no longer answers them.
    fn release_previous_owner(&mut self, sender: &ProcessId, revision: Version, now: Time) {
        for machine in self.machines.values_mut() {
            let is_previous_owner = machine.previous_owner.as_ref() == Some(sender);
            if is_previous_owner && revision >= machine.owned_since_revision {
                machine.record_previous_owner_release(now);
            }
        }
    }

    /// Applies the observation of a sibling's reconciled machine: of the teams that the update covers, only
    /// the observed tasks may run on it. Without an observation, no task of these teams does.
    fn apply_observation(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        id: &MachineId,
        token: FencingToken,
        coverage: &Coverage,
        observation: Option<TaskObservation>,
    ) {
        let now = outbox.now;
        if observation.is_none() && !self.machines.contains_key(id) {
            return self.mark_reconciled(id, coverage);
        }
        let machine = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(id.clone(), token, now));
        if machine.is_owned {
            return;
        }
        // The machine has confirmed its owner's token, or its agent epoch has ended.
        self.starts_in_flight.discard_outdated(id, token, 0);
        let shown = match observation {
            Some(observation) => self.apply_observed_tasks(outbox, store, id, observation),
            None => BTreeSet::new(),
        };
        let Some(missing) = self.find_missing_attempts(id, &shown, coverage) else {
            return;
        };
        for (task, attempt) in missing {
            self.drop_attempt(id, &task, attempt, now);
        }
        let is_irrelevant = |machine: &Machine| !machine.is_owned && machine.attempts.is_empty();
        if self.machines.get(id).is_some_and(is_irrelevant) {
            self.machines.remove(id);
        }
        self.mark_reconciled(id, coverage);
    }

    /// Applies each observed task. Returns the observed attempts.
    fn apply_observed_tasks(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        id: &MachineId,
        observation: TaskObservation,
    ) -> BTreeSet<(TaskId, Attempt)> {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.zone = observation.zone;
        }
        let mut shown = BTreeSet::new();
        for reported in &observation.tasks {
            if let Some(task) = TaskId::parse(&reported.task) {
                shown.insert((task.clone(), reported.attempt));
                self.apply_reported_task(store, id, task, reported, outbox.now);
            }
        }
        shown
    }

    /// Returns the tracked attempts that the sender would have reported if they were on the machine. Start
    /// commands that were sent before the machine's owner changed can no longer take effect, since the
    /// machine's token has increased. Returns `None` if the machine is no longer known.
    fn find_missing_attempts(
        &self,
        id: &MachineId,
        shown: &BTreeSet<(TaskId, Attempt)>,
        coverage: &Coverage,
    ) -> Option<Vec<(TaskId, Attempt)>> {
        let machine = self.machines.get(id)?;
        let is_covered = |tracked: &TrackedAttempt| match &tracked.team {
            None => true,
            Some(team) => match self.teams.get(team) {
                Some(owned) => coverage.includes(team, owned.gained_at_revision),
                None => coverage.teams.contains(team),
            },
        };
        let missing = machine
            .attempts
            .iter()
            .filter(|(key, tracked)| !shown.contains(key) && is_covered(tracked))
            .map(|(key, _)| key.clone());
        Some(missing.collect())
    }

    /// Marks the machine as reconciled for every owned team that the update covers.
    fn mark_reconciled(&mut self, id: &MachineId, coverage: &Coverage) {
        for (name, owned) in &mut self.teams {
            if coverage.includes(name, owned.gained_at_revision) {
                owned.record_report(id);
            }
        }
    }

    /// Applies a sibling's stop or forget command to an attempt on an owned machine, if the sibling owns the
    /// attempt's team.
    fn apply_command(&mut self, store: &StoreReplica, from: &ControllerName, command: TaskCommand) {
        let Some(task) = TaskId::parse(&command.task) else {
            return;
        };
        let machine = self.machines.get_mut(&command.machine);
        let Some(machine) = machine.filter(|machine| machine.is_owned) else {
            return;
        };
        let Some(tracked) = machine.attempts.get_mut(&(task, command.attempt)) else {
            return;
        };
        let team = tracked.team.as_ref();
        let owner = team.and_then(|team| store.shard_map().teams.get(team));
        if owner.is_none_or(|owner| owner.node != *from) {
            return;
        }
        tracked.may_forget |= command.forget;
        if let (Some(grace), false) = (command.stop, tracked.exited())
            && tracked.stop.is_none_or(|earlier| grace < earlier)
        {
            tracked.stop = Some(grace);
            self.unsent_commands.insert(command.machine);
        }
    }
}

/// Creates the observation of a machine's tasks that belong to `teams`. Returns `None` if there are none.
fn observation(machine: &Machine, teams: &BTreeSet<&Team>) -> Option<TaskObservation> {
    let tasks = reported_tasks(machine, teams);
    (!tasks.is_empty()).then(|| TaskObservation {
        machine: machine.id.clone(),
        token: machine.token,
        zone: machine.zone.clone(),
        tasks,
    })
}

/// Whether the machine has no task whose team is unknown, other than exits of finished jobs. A leader that assigns
/// a machine to itself owns it before it has read the jobs that were written earlier. It cannot report a task
/// whose team it does not know, and the team's owner would conclude that the task is not on the machine.
fn has_only_known_tasks(machine: &Machine, store: &StoreReplica) -> bool {
    machine.attempts.iter().all(|((task, _), tracked)| {
        let is_final = || {
            let job = store.job(&task.job);
            job.is_some_and(|job| job.record.is_final())
        };
        tracked.team.is_some() || (tracked.exited() && is_final())
    })
}

fn reported_tasks(machine: &Machine, teams: &BTreeSet<&Team>) -> Vec<ReportedTask> {
    let is_of_teams = |tracked: &TrackedAttempt| {
        let team = tracked.team.as_ref();
        team.is_some_and(|team| teams.contains(team))
    };
    let attempts = machine.attempts.iter();
    attempts
        .filter(|(_, tracked)| is_of_teams(tracked))
        .map(|((task, attempt), tracked)| reported_task(task, *attempt, tracked))
        .collect()
}

fn reported_task(task: &TaskId, attempt: Attempt, tracked: &TrackedAttempt) -> ReportedTask {
    let (state, exit) = match tracked.phase {
        Phase::Issued => (TaskState::Fetching, None),
        Phase::Seen(state) => (state, None),
        Phase::Exited(exit) => (TaskState::Exited, Some(exit)),
    };
    ReportedTask {
        task: task.to_string(),
        attempt,
        state,
        exit,
        checkpointed: None,
    }
}
