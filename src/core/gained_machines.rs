//! Machines that have come to this share. Their workers may still wait for an answer of a process that has ended; so they
//! are asked at once what they hold, by a direct message that orders nothing. Its token voids all that was sent
//! under an earlier one, and its answer is a report that shows the token.

use super::catalog::Catalog;
use super::outbox::Outbox;
use super::owner::Shard;
use super::part_map::ShardMap;
use super::placement::Resources;
use super::store::StoreReplica;
use super::{Core, WorkerReply};
use crate::ids::MachineId;
use crate::wire::{DirectCommands, Heartbeat};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where a machine is reached, as its owner told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineContact {
    /// Its address.
    #[serde(rename = "a")]
    pub address: String,
    /// Its session then. One that has risen since is told in the answer to the first message.
    #[serde(rename = "s")]
    pub agent_epoch: u64,
}

/// Where machines are reached. Only a hint: of one without a contact a report is waited for.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineContacts(BTreeMap<MachineId, MachineContact>);

impl MachineContacts {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes up newer ones.
    pub fn extend(&mut self, newer: Self) {
        self.0.extend(newer.0);
    }

    /// These and newer ones.
    pub fn with(&self, newer: Self) -> Self {
        let mut all = self.clone();
        all.extend(newer);
        all
    }

    /// Drops those of machines that are gone.
    pub fn prune(&mut self, owners: &ShardMap) {
        self.0
            .retain(|machine, _| owners.machines.contains_key(machine));
    }
}

impl Shard {
    /// Where the machines of this share are reached.
    pub(super) fn contacts(&self) -> MachineContacts {
        let mine = self
            .machines
            .values()
            .filter(|machine| machine.mine && machine.trusted);
        let contact = mine.map(|machine| {
            let (address, agent_epoch) = (machine.address.clone(), machine.agent_epoch);
            (
                machine.id.clone(),
                MachineContact {
                    address,
                    agent_epoch,
                },
            )
        });
        MachineContacts(contact.collect())
    }

    /// A machine has told what it holds.
    fn take_answer(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
    ) {
        let id = &heartbeat.machine;
        let Some(machine) = self.machines.get_mut(id).filter(|machine| machine.mine) else {
            return;
        };
        if heartbeat.agent_epoch <= machine.ended_epoch() {
            return;
        }
        if machine.total == Resources::default() {
            machine.describe(heartbeat, catalog.types());
        }
        // Its session may have begun a moment ago, since the lease of the one before was over: its own lease
        // then lasts longer than what the former owner's last answer tells (rough day 15).
        machine.answered = machine.answered.max(outbox.now);
        machine.empty = false;
        self.take_direct_heartbeat(outbox, store, id, heartbeat);
    }
}

impl Core {
    /// Asks machines that this share has gained what they hold, as many at once as there may be.
    pub(super) fn inspect_acquired_machines(&mut self) {
        let Some(owner) = self.shard.as_mut() else {
            return;
        };
        if !self.config.features.acts_on_failures() {
            return owner.gained.clear();
        }
        let most = owner.max_direct_commands();
        while self.outbox.direct_commands() < most
            && let Some(id) = owner.gained.pop_first()
        {
            let machine = owner.machines.get(&id);
            let machine = machine.filter(|machine| machine.mine && !machine.reconciled());
            let (Some(machine), Some(contact)) = (machine, self.contacts.0.get(&id)) else {
                continue;
            };
            let commands = Vec::new();
            let message = DirectCommands {
                token: machine.token,
                agent_epoch: contact.agent_epoch,
                commands,
            };
            self.outbox.inspect(&id, &contact.address, message);
        }
    }

    /// A machine that was asked has answered, or not: then its report is waited for.
    pub(super) fn inspection_answered(&mut self, id: &MachineId, reply: WorkerReply) {
        let Some(owner) = self.shard.as_mut() else {
            return;
        };
        match reply {
            WorkerReply::Executed(heartbeat) if heartbeat.machine == *id => {
                owner.take_answer(&mut self.outbox, &self.store, &self.catalog, &heartbeat);
            }
            WorkerReply::Fenced(heartbeat) if heartbeat.machine == *id => {
                // Its session has risen since; asked once more for each that is higher.
                let contact = self.contacts.0.get_mut(id);
                if let Some(contact) =
                    contact.filter(|contact| contact.agent_epoch < heartbeat.agent_epoch)
                {
                    contact.agent_epoch = heartbeat.agent_epoch;
                    owner.gained.insert(id.clone());
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
