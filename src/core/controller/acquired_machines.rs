//! Machines that have come to this share. Their workers may still wait for an answer of a process that has ended; so they
//! are asked at once what they hold, by a direct message that orders nothing. Its token voids all that was sent
//! under an earlier one, and its answer is a report that shows the token.

use crate::core::Core;
use crate::core::effects::WorkerReply;
use crate::ids::MachineId;
use crate::wire::DirectCommands;

impl Core {
    /// Asks machines that this share has gained what they hold, as many at once as there may be.
    pub(crate) fn inspect_acquired_machines(&mut self) {
        let Some(owner) = self.shard.as_mut() else {
            return;
        };
        if !self.config.features.acts_on_failures() {
            return owner.uninspected_machines.clear();
        }
        let most = owner.max_direct_commands();
        while self.outbox.direct_commands() < most
            && let Some(id) = owner.uninspected_machines.pop_first()
        {
            let machine = owner.machines.get(&id);
            let machine = machine.filter(|machine| machine.is_owned && !machine.reconciled());
            let (Some(machine), Some(contact)) = (machine, self.contacts.get(&id)) else {
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
    pub(crate) fn inspection_answered(&mut self, id: &MachineId, reply: WorkerReply) {
        let Some(owner) = self.shard.as_mut() else {
            return;
        };
        match reply {
            WorkerReply::Executed(heartbeat) if heartbeat.machine == *id => {
                owner.take_answer(&mut self.outbox, &self.store, &self.catalog, &heartbeat);
            }
            WorkerReply::Fenced(heartbeat) if heartbeat.machine == *id => {
                // Its session has risen since; asked once more for each that is higher.
                let contact = self.contacts.get_mut(id);
                if let Some(contact) =
                    contact.filter(|contact| contact.agent_epoch < heartbeat.agent_epoch)
                {
                    contact.agent_epoch = heartbeat.agent_epoch;
                    owner.uninspected_machines.insert(id.clone());
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
