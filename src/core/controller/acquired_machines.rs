//! Inspects machines that this controller's shard has acquired. Their workers may still wait for an answer
//! from a process that has ended, so a direct message without commands is sent to each machine immediately.
//! The message's fencing token invalidates everything that was sent under an earlier token. The machine's
//! answer is a heartbeat that shows the new token.

use crate::core::Core;
use crate::core::effects::WorkerReply;
use crate::ids::MachineId;
use crate::wire::DirectCommands;

impl Core {
    /// Sends inspections to acquired machines until the limit on direct messages in flight is reached.
    pub(crate) fn inspect_acquired_machines(&mut self) {
        let Some(shard) = self.shard.as_mut() else {
            return;
        };
        if !self.config.features.acts_on_failures() {
            return shard.uninspected_machines.clear();
        }
        let limit = shard.max_direct_messages();
        while self.outbox.pending_worker_calls() < limit
            && let Some(machine_id) = shard.uninspected_machines.pop_first()
        {
            let machine = shard
                .machines
                .get(&machine_id)
                .filter(|machine| machine.is_owned && !machine.reconciled());
            let (Some(machine), Some(contact)) = (machine, self.contacts.get(&machine_id)) else {
                continue;
            };
            let message = DirectCommands {
                token: machine.command_tokens.current(),
                agent_epoch: contact.agent_epoch,
                commands: Vec::new(),
            };
            self.outbox
                .inspect_machine(&machine_id, &contact.address, message);
        }
    }

    /// Handles the reply to an inspection. If the machine did not answer, its next heartbeat is awaited.
    pub(crate) fn handle_inspection_reply(&mut self, machine_id: &MachineId, reply: WorkerReply) {
        let Some(shard) = self.shard.as_mut() else {
            return;
        };
        match reply {
            WorkerReply::Executed(heartbeat) if heartbeat.machine == *machine_id => {
                let now = self.outbox.now;
                shard.apply_inspection_reply(&self.store, &self.catalog, &heartbeat, now);
            }
            WorkerReply::Fenced(heartbeat) if heartbeat.machine == *machine_id => {
                // The agent epoch has advanced, so the machine is inspected again, once for each later epoch.
                let contact = self
                    .contacts
                    .get_mut(machine_id)
                    .filter(|contact| contact.agent_epoch < heartbeat.agent_epoch);
                if let Some(contact) = contact {
                    contact.agent_epoch = heartbeat.agent_epoch;
                    shard.uninspected_machines.insert(machine_id.clone());
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
