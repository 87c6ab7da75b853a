//! What the shards of sibling controllers tell one another.
//!
//! The owner of a machine reports the tasks of other shards' teams that run there and carries out their stops and
//! forgets, so that tasks keep running when their machine or their team changes hands. Updates are level-triggered: each
//! holds the whole present state, so that a lost or late one does no harm.

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
use crate::ids::{Attempt, FencingToken, MachineId, Node, TaskId, Team, Version};
use crate::wire::{ReportedTask, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// An update's claim to completeness: which teams it covers, as of which revision of the store.
struct Coverage<'a> {
    revision: Version,
    teams: &'a BTreeSet<Team>,
}

impl Coverage<'_> {
    /// Whether the sender knew that this shard owns the team, so that its silence about a task means something.
    fn includes(&self, team: &Team, gained_at_revision: Version) -> bool {
        self.revision >= gained_at_revision && self.teams.contains(team)
    }
}

impl Shard {
    /// Whether siblings have to be told of something before the next regular exchange. Asking clears it.
    pub(crate) fn take_sync_soon(&mut self) -> bool {
        std::mem::take(&mut self.sync_soon)
    }

    /// What this shard tells the sibling `node`. `refused`: the offers that the cloud refuses, if this process leads.
    pub fn peer_update_for(
        &self,
        node: &Node,
        store: &StoreReplica,
        refused: Option<BTreeSet<MachineOffer>>,
        images: ImageHints,
        contacts: MachineContacts,
    ) -> PeerUpdate {
        let owners = store.owners().teams.iter();
        let their_teams = owners.filter(|(_, owner)| owner.node == *node);
        let their_teams: BTreeSet<&Team> = their_teams.map(|(team, _)| team).collect();
        let reported = self.machines_reported_to(node, store);
        let reconciled = reported
            .iter()
            .map(|machine| (machine.id.clone(), machine.token));
        let observations = reported
            .iter()
            .filter_map(|machine| observation(machine, &their_teams));
        PeerUpdate {
            revision: store.revision(),
            listening: self.listening(),
            reconciled: reconciled.collect(),
            observations: observations.collect(),
            commands: self.commands_for(node, store),
            demand: self.demand.clone(),
            refused,
            images,
            contacts,
            teams: their_teams.into_iter().cloned().collect(),
        }
    }

    /// Owned machines of which everything is known, if the sibling listens.
    fn machines_reported_to(&self, node: &Node, store: &StoreReplica) -> Vec<&Machine> {
        if !self.listeners.contains(node) {
            return Vec::new();
        }
        let is_known = |machine: &&Machine| {
            machine.is_owned && machine.reconciled() && all_tasks_are_known(machine, store)
        };
        self.machines.values().filter(is_known).collect()
    }

    /// Stops and forgets for the attempts of this shard's teams on the sibling's machines.
    fn commands_for(&self, node: &Node, store: &StoreReplica) -> Vec<TaskCommand> {
        let is_theirs = |machine: &&Machine| {
            let owner = store.owners().machines.get(&machine.id);
            !machine.is_owned && owner.is_some_and(|owner| owner.node == *node)
        };
        let mut commands = Vec::new();
        for machine in self.machines.values().filter(is_theirs) {
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

    /// The images on each owned machine.
    pub fn images_on_owned_machines(&self) -> ImageHints {
        let owned = self.machines.values().filter(|machine| machine.is_owned);
        owned
            .map(|machine| (machine.id.clone(), machine.images().to_vec()))
            .collect()
    }

    /// The images on all machines, others' as far as siblings have told.
    pub fn images_on_all_machines(&self) -> ImageHints {
        let mut known = self.image_hints.clone();
        known.extend(self.images_on_owned_machines());
        known
    }

    /// Whether this shard waits for observations, or follows tasks on others' machines.
    fn listening(&self) -> bool {
        let follows_others = || {
            let mut machines = self.machines.values();
            machines.any(|machine| !machine.is_owned && !machine.attempts.is_empty())
        };
        self.teams.values().any(|team| !team.is_reconciled()) || follows_others()
    }

    /// Adopts the update of a sibling's process.
    pub fn apply_peer_update(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        from: &Node,
        incarnation: u64,
        mut update: PeerUpdate,
    ) {
        if update.listening {
            self.sync_soon |= self.listeners.insert(from.clone());
        } else {
            self.listeners.remove(from);
        }
        if let Some(refused) = update.refused {
            self.refused_offers = refused;
        }
        self.image_hints.extend(update.images);
        let sender = ProcessId::new(from.clone(), incarnation);
        self.release_from(&sender, update.revision, outbox.now);
        for command in std::mem::take(&mut update.commands) {
            self.carry_out(store, from, command);
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
            // What a former owner says, or what is said under an earlier token, does not count.
            let is_current =
                |owner: &ShardOwner| owner.is(from, incarnation) && owner.token == token;
            if store.owners().machines.get(&id).is_some_and(is_current) {
                let observation = observations.remove(&id);
                self.take_observation(outbox, store, &id, token, &coverage, observation);
            }
        }
    }

    /// A previous owner that has read the change of the map does not answer its former machines any more.
    fn release_from(&mut self, sender: &ProcessId, revision: Version, now: Time) {
        for machine in self.machines.values_mut() {
            let is_previous_owner = machine.previous_owner.as_ref() == Some(sender);
            if is_previous_owner && revision >= machine.owned_since_revision {
                machine.previous_owner_released(now);
            }
        }
    }

    /// A sibling's machine is reconciled: exactly these tasks of this shard's teams may run on it.
    fn take_observation(
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
            return self.reconciled_elsewhere(id, coverage);
        }
        let machine = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::named(id.clone(), token, now));
        if machine.is_owned {
            return;
        }
        // The machine has shown its owner's token, or its agent epoch is over.
        self.starts_in_flight.shown(id, token, 0);
        let shown = match observation {
            Some(observation) => self.take_observed_tasks(outbox, store, id, observation),
            None => BTreeSet::new(),
        };
        let Some(missing) = self.attempts_not_shown(id, &shown, coverage) else {
            return;
        };
        for (task, attempt) in missing {
            self.drop_attempt(id, &task, attempt, now);
        }
        let is_irrelevant = |machine: &Machine| !machine.is_owned && machine.attempts.is_empty();
        if self.machines.get(id).is_some_and(is_irrelevant) {
            self.machines.remove(id);
        }
        self.reconciled_elsewhere(id, coverage);
    }

    /// Reconciles each observed task. Returns the attempts that were shown.
    fn take_observed_tasks(
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

    /// Attempts that the sender would have shown if they were on the machine. Nothing that was sent before the machine
    /// changed hands can arrive any more, since its token has risen. None if the machine is not known any more.
    fn attempts_not_shown(
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

    /// No team that the update covers has to wait for this machine any more.
    fn reconciled_elsewhere(&mut self, id: &MachineId, coverage: &Coverage) {
        for (name, owned) in &mut self.teams {
            if coverage.includes(name, owned.gained_at_revision) {
                owned.unreconciled.remove(id);
            }
        }
    }

    /// Carries out what a team's owner wants of one of the team's tasks on an owned machine.
    fn carry_out(&mut self, store: &StoreReplica, from: &Node, command: TaskCommand) {
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
        let owner = team.and_then(|team| store.owners().teams.get(team));
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

/// The tasks of these teams on a machine; None if there are none.
fn observation(machine: &Machine, teams: &BTreeSet<&Team>) -> Option<TaskObservation> {
    let tasks = tasks_of(machine, teams);
    (!tasks.is_empty()).then(|| TaskObservation {
        machine: machine.id.clone(),
        token: machine.token,
        zone: machine.zone.clone(),
        tasks,
    })
}

/// Whether the team of every task on the machine is known. A leader owns a machine by its own write before it has read
/// the jobs that were written earlier. It can't report a task whose team it does not know, and the team's owner would
/// conclude that the task is not there.
fn all_tasks_are_known(machine: &Machine, store: &StoreReplica) -> bool {
    machine.attempts.iter().all(|((task, _), tracked)| {
        let is_final = || {
            let job = store.job(&task.job);
            job.is_some_and(|job| job.record.is_final())
        };
        tracked.team.is_some() || is_final()
    })
}

fn tasks_of(machine: &Machine, teams: &BTreeSet<&Team>) -> Vec<ReportedTask> {
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
    let (state, why) = match tracked.phase {
        Phase::Issued => (TaskState::Fetching, None),
        Phase::Seen(state) => (state, None),
        Phase::Exited(why) => (TaskState::Exited, Some(why)),
    };
    ReportedTask {
        task: task.to_string(),
        attempt,
        state,
        exit: why,
        checkpointed: None,
    }
}
