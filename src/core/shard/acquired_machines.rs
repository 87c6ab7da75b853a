//! Machines that change their owner. The shard provides the contacts of its machines for their next owners,
//! and applies the answers of newly owned machines that were asked which tasks they run
//! ([`crate::core::controller::acquired_machines`]).

use crate::core::messages::shard_update::{MachineContact, MachineContacts};
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::Catalog;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::wire::Heartbeat;

impl Shard {
    /// Addresses and agent epochs of the owned machines that have shown their current token.
    pub(crate) fn machine_contacts(&self) -> MachineContacts {
        self.machines
            .values()
            .filter(|machine| machine.is_owned && machine.token_confirmed)
            .map(|machine| {
                let contact = MachineContact {
                    address: machine.address.clone(),
                    agent_epoch: machine.agent_epoch(),
                };
                (machine.id.clone(), contact)
            })
            .collect()
    }

    /// Applies the heartbeat with which a newly owned machine has answered its inspection.
    pub(crate) fn apply_inspection_reply(
        &mut self,
        store: &StoreReplica,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
        now: Time,
    ) {
        let machine_id = &heartbeat.machine;
        let machine = self.machines.get_mut(machine_id);
        let Some(machine) = machine.filter(|machine| machine.is_owned) else {
            return;
        };
        if heartbeat.agent_epoch <= machine.ended_epoch() {
            return;
        }
        if machine.total == Resources::default() {
            machine.update_description(heartbeat, catalog.types());
        }
        // The worker may have begun a new agent epoch just now, after its previous lease had expired. Its
        // current lease then ends later than the former owner's last answer implies.
        machine.last_answered = machine.last_answered.max(now);
        machine.known_empty = false;
        self.apply_command_reply(store, machine_id, heartbeat, now);
    }
}
