use crate::core::effects::outbox::Outbox;
use crate::core::messages::shard_update::{MachineContact, MachineContacts};
use crate::core::model::resources::Resources;
use crate::core::scheduling::catalog::Catalog;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::wire::Heartbeat;

impl Shard {
    /// Where the machines of this share are reached.
    pub(crate) fn contacts(&self) -> MachineContacts {
        let mine = self
            .machines
            .values()
            .filter(|machine| machine.is_owned && machine.token_confirmed);
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
        contact.collect()
    }

    /// A machine has told what it holds.
    pub(crate) fn take_answer(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
    ) {
        let id = &heartbeat.machine;
        let Some(machine) = self.machines.get_mut(id).filter(|machine| machine.is_owned) else {
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
        machine.last_answered = machine.last_answered.max(outbox.now);
        machine.known_empty = false;
        self.take_direct_heartbeat(outbox, store, id, heartbeat);
    }
}
