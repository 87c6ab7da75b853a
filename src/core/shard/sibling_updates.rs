//! What shares tell one another. A machine's owner passes on what it sees there of other owners'
//! teams and carries out their stops and forgets; so tasks keep running when their machine or
//! their team changes hands. All of it is level-triggered: every message holds the whole present
//! state, so that a lost or late one does no harm.

use crate::core::effects::outbox::Outbox;
use crate::core::machines::machine::{Machine, Phase};
use crate::core::messages::capacity_demand::MachineOffer;
use crate::core::messages::shard_update::{
    Hints, MachineContacts, PeerUpdate, TaskCommand, TaskObservation,
};
use crate::core::model::process::ProcessId;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{FencingToken, MachineId, Node, TaskId, Team, Version};
use crate::wire::{ReportedTask, TaskState};
use std::collections::{BTreeMap, BTreeSet};

impl Shard {
    /// Something that a sibling should hear of soon.
    pub(crate) fn take_sync_soon(&mut self) -> bool {
        std::mem::take(&mut self.sync_soon)
    }

    pub fn update_for(
        &self,
        node: &Node,
        store: &StoreReplica,
        refused: Option<BTreeSet<MachineOffer>>,
        images: Hints,
        contacts: MachineContacts,
    ) -> PeerUpdate {
        let owners = store.owners();
        let theirs: BTreeSet<&Team> = owners
            .teams
            .iter()
            .filter(|(_, o)| o.node == *node)
            .map(|(team, _)| team)
            .collect();
        let (mut reconciled, mut observations, mut commands) = (Vec::new(), Vec::new(), Vec::new());
        let tells = self.listeners.contains(node);
        for machine in self.machines.values() {
            if machine.is_owned && machine.reconciled() && tells && all_known(machine, store) {
                reconciled.push((machine.id.clone(), machine.token));
                let tasks = tasks_of(machine, &theirs);
                if !tasks.is_empty() {
                    let (id, token, zone) =
                        (machine.id.clone(), machine.token, machine.zone.clone());
                    observations.push(TaskObservation {
                        machine: id,
                        token,
                        zone,
                        tasks,
                    });
                }
            } else if !machine.is_owned
                && owners
                    .machines
                    .get(&machine.id)
                    .is_some_and(|o| o.node == *node)
            {
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
        }
        PeerUpdate {
            revision: store.revision(),
            teams: theirs.into_iter().cloned().collect(),
            listening: self.listening(),
            reconciled,
            observations,
            commands,
            demand: self.demand.clone(),
            refused,
            images,
            contacts,
        }
    }

    pub fn own_images(&self) -> Hints {
        let mine = self.machines.values().filter(|machine| machine.is_owned);
        mine.map(|machine| (machine.id.clone(), machine.images().to_vec()))
            .collect()
    }

    pub fn known_images(&self) -> Hints {
        let mut known = self.hints.clone();
        known.extend(self.own_images());
        known
    }

    /// Whether this share waits for observations, or follows tasks on others' machines.
    pub(crate) fn listening(&self) -> bool {
        self.teams
            .values()
            .any(|team| !team.unreconciled.is_empty())
            || self
                .machines
                .values()
                .any(|m| !m.is_owned && !m.attempts.is_empty())
    }

    pub fn take_update(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        from: &Node,
        incarnation: u64,
        update: PeerUpdate,
    ) {
        if update.listening {
            self.sync_soon |= self.listeners.insert(from.clone());
        } else {
            self.listeners.remove(from);
        }
        if let Some(refused) = update.refused {
            self.refused = refused;
        }
        self.hints.extend(update.images);
        let former = ProcessId::new(from.clone(), incarnation);
        for machine in self.machines.values_mut() {
            // It has seen the change of the map, and so answers the machine no more.
            if machine.previous_owner.as_ref() == Some(&former)
                && update.revision >= machine.owned_since_revision
            {
                machine.previous_owner_released(outbox.now);
            }
        }
        for command in update.commands {
            self.carry_out(store, from, command);
        }
        let mut observations: BTreeMap<MachineId, TaskObservation> = update
            .observations
            .into_iter()
            .map(|observation| (observation.machine.clone(), observation))
            .collect();
        for (id, token) in update.reconciled {
            let current = |o: &crate::core::records::shard_map::ShardOwner| {
                o.is(from, incarnation) && o.token == token
            };
            // What a former owner says, or says of an earlier term, does not count.
            if store.owners().machines.get(&id).is_some_and(current) {
                let observation = observations.remove(&id);
                self.take_observation(
                    outbox,
                    store,
                    &id,
                    token,
                    (update.revision, &update.teams),
                    observation,
                );
            }
        }
    }

    /// A sibling's machine is settled: these tasks of our teams are on it, and no others.
    pub(crate) fn take_observation(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        id: &MachineId,
        token: FencingToken,
        (revision, covers): (Version, &BTreeSet<Team>),
        observation: Option<TaskObservation>,
    ) {
        let now = outbox.now;
        if observation.is_none() && !self.machines.contains_key(id) {
            return self.reconciled_elsewhere(id, revision, covers);
        }
        let machine = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::named(id.clone(), token, now));
        if machine.is_owned {
            return;
        }
        // It has shown its owner's token, or its session is over.
        self.starts_in_flight.shown(id, token, 0);
        let mut shown = BTreeSet::new();
        if let Some(observation) = observation {
            machine.zone = observation.zone;
            for reported in &observation.tasks {
                if let Some(task) = TaskId::parse(&reported.task) {
                    shown.insert((task.clone(), reported.attempt));
                    self.apply_reported_task(store, id, task, reported, now);
                }
            }
        }
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let teams = &self.teams;
        let told = |team: &Option<Team>| {
            if team.as_ref().is_some_and(|team| !covers.contains(team)) {
                return false;
            }
            let gained = team
                .as_ref()
                .and_then(|team| teams.get(team))
                .map(|team| team.gained_at);
            gained.is_none_or(|gained| revision >= gained)
        };
        // Not shown though the sender knew whose the team is: it is not there. Nothing that was
        // sent before the machine changed hands can arrive any more, its token has risen.
        let gone: Vec<_> = machine
            .attempts
            .iter()
            .filter(|(key, tracked)| !shown.contains(key) && told(&tracked.team))
            .map(|(key, _)| key.clone())
            .collect();
        for (task, attempt) in gone {
            self.drop_attempt(id, &task, attempt, now);
        }
        if self
            .machines
            .get(id)
            .is_some_and(|m| !m.is_owned && m.attempts.is_empty())
        {
            self.machines.remove(id);
        }
        self.reconciled_elsewhere(id, revision, covers);
    }

    pub(crate) fn reconciled_elsewhere(
        &mut self,
        id: &MachineId,
        revision: Version,
        covers: &BTreeSet<Team>,
    ) {
        for (name, team) in &mut self.teams {
            if revision >= team.gained_at && covers.contains(name) {
                team.unreconciled.remove(id);
            }
        }
    }

    /// Carries out what a team's owner wants of a task on one of our machines.
    pub(crate) fn carry_out(&mut self, store: &StoreReplica, from: &Node, command: TaskCommand) {
        let Some(task) = TaskId::parse(&command.task) else {
            return;
        };
        let Some(machine) = self
            .machines
            .get_mut(&command.machine)
            .filter(|m| m.is_owned)
        else {
            return;
        };
        let Some(tracked) = machine.attempts.get_mut(&(task, command.attempt)) else {
            return;
        };
        let owner = tracked
            .team
            .as_ref()
            .and_then(|team| store.owners().teams.get(team));
        if owner.is_none_or(|owner| owner.node != *from) {
            return;
        }
        tracked.may_forget |= command.forget;
        if let (Some(grace), false) = (command.stop, tracked.exited())
            && tracked.stop.is_none_or(|before| grace < before)
        {
            tracked.stop = Some(grace);
            self.unsent_commands.insert(command.machine);
        }
    }
}

/// Whether it is known of every task there whose it is. A leader has a machine by its own write
/// before it has read the jobs that came before that; what it does not know of it cannot pass on,
/// and its owner would take the machine to be without it.
pub(crate) fn all_known(machine: &Machine, store: &StoreReplica) -> bool {
    machine.attempts.iter().all(|((task, _), tracked)| {
        tracked.team.is_some()
            || store
                .job(&task.job)
                .is_some_and(|job| job.record.is_final())
    })
}

pub(crate) fn tasks_of(machine: &Machine, teams: &BTreeSet<&Team>) -> Vec<ReportedTask> {
    let of_teams = |team: &Option<Team>| team.as_ref().is_some_and(|team| teams.contains(team));
    let tracked = machine
        .attempts
        .iter()
        .filter(|(_, tracked)| of_teams(&tracked.team));
    tracked
        .map(|((task, attempt), tracked)| {
            let (state, why) = match tracked.phase {
                Phase::Issued => (TaskState::Fetching, None),
                Phase::Seen(state) => (state, None),
                Phase::Exited(why) => (TaskState::Exited, Some(why)),
            };
            ReportedTask {
                task: task.to_string(),
                attempt: *attempt,
                state,
                why,
                checkpointed: None,
            }
        })
        .collect()
}
