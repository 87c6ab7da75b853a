//! Direct commands on their way to workers: served, refused, delayed or unanswered.

use super::calls::{Call, NO_EPOCH};
use super::faults::{Condition, MachineCondition};
use super::network::Endpoint;
use super::{Event, LEASE_S, World};
use ochredrum::core::effects::{CallId, Input, WorkerReply};
use ochredrum::ids::MachineId;
use ochredrum::wire::DirectCommands;
use rand::Rng;

/// How long a controller waits for the response to direct commands.
const RESPONSE_TIMEOUT_S: f64 = LEASE_S / 10.0;
/// Part of the direct commands that a condition concerns.
const AFFECTED_PROBABILITY: f64 = 0.4;

/// What happens to one message of direct commands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CommandOutcome {
    /// Executed and answered.
    Served,
    /// The connection is refused at once.
    Refused,
    /// Executed this many seconds later, without a response.
    Late(f64),
    /// Executed at once, but the response is lost.
    Unanswered,
}

impl World {
    /// A controller sends direct commands, each message on a connection of its own.
    pub(super) fn send_direct_commands(
        &mut self,
        node: usize,
        call: CallId,
        address: String,
        commands: DirectCommands,
    ) {
        self.counters.commands += 1;
        let epoch = self.nodes[node].epoch;
        let machine = MachineId::from(address.as_str());
        let unknown_outcome = Input::Worker(call, WorkerReply::Unknown);
        let not_delivered = Input::Worker(call, WorkerReply::NotSent);
        let outcome = self.command_outcome(&machine);
        let answer_to = if outcome == CommandOutcome::Served {
            epoch
        } else {
            NO_EPOCH
        };
        let event = Event::DirectCommands {
            node,
            epoch: answer_to,
            call,
            address,
            commands,
        };
        match outcome {
            CommandOutcome::Refused => {
                let delay = self.latency();
                self.input_after(delay, node, epoch, not_delivered);
            }
            CommandOutcome::Late(delay) => {
                self.schedule_after(delay, event);
                self.input_after(RESPONSE_TIMEOUT_S, node, epoch, unknown_outcome);
            }
            CommandOutcome::Served | CommandOutcome::Unanswered => self.send(Call {
                node,
                to: Endpoint::Machine(machine),
                timeout: RESPONSE_TIMEOUT_S,
                event,
                unknown_outcome,
                not_delivered,
            }),
        }
    }

    /// The fate that the scenario has set for the next message to this machine, or one drawn by the present conditions.
    fn command_outcome(&mut self, machine: &MachineId) -> CommandOutcome {
        if let Some(outcome) = self.network.next_command_outcome(machine) {
            return outcome;
        }
        if self
            .network
            .machine_has(machine, MachineCondition::RefusesCommands)
            || (self.network.has(Condition::RefusedCommands) && self.is_affected())
        {
            return CommandOutcome::Refused;
        }
        if self.network.has(Condition::LateCommands) && self.is_affected() {
            return CommandOutcome::Late(self.rng.random_range(0.05..16.0));
        }
        if self.network.has(Condition::LostCommandResponses) && self.is_affected() {
            return CommandOutcome::Unanswered;
        }
        CommandOutcome::Served
    }

    /// Draws whether a condition concerns a message.
    fn is_affected(&mut self) -> bool {
        self.rng.random_bool(AFFECTED_PROBABILITY)
    }
}
