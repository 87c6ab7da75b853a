//! Transmission of direct commands to workers: they are served, refused, delayed or unanswered.

use super::calls::{Call, NO_EPOCH};
use super::faults::{Condition, MachineCondition};
use super::network::Endpoint;
use super::{Event, LEASE_S, World};
use ochredrum::core::effects::{CallId, Input, WorkerReply};
use ochredrum::ids::MachineId;
use ochredrum::wire::DirectCommands;
use rand::Rng;

/// Seconds that a controller waits for the response to direct commands.
const RESPONSE_TIMEOUT_S: f64 = LEASE_S / 10.0;
/// Probability that a condition affects a message of direct commands.
const AFFECTED_PROBABILITY: f64 = 0.4;

/// The outcome of one message of direct commands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CommandOutcome {
    /// The commands are executed and answered.
    Served,
    /// The connection is refused at once.
    Refused,
    /// The commands are executed this many seconds later, and no response is sent.
    Late(f64),
    /// The commands are executed at once, but the response is lost.
    Unanswered,
    /// The commands are executed and answered, and this many seconds later a copy of them arrives.
    Copied(f64),
}

impl World {
    /// Sends direct commands of a controller to a worker. Each message has its own connection.
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
        let outcome = self.choose_command_outcome(&machine);
        let is_answered = matches!(outcome, CommandOutcome::Served | CommandOutcome::Copied(_));
        let answer_to = if is_answered { epoch } else { NO_EPOCH };
        let event = Event::DirectCommands {
            node,
            epoch: answer_to,
            call,
            address,
            commands,
        };
        if let (CommandOutcome::Copied(delay), Some(copy)) = (outcome, event.late_copy()) {
            self.schedule_after(delay, copy);
        }
        match outcome {
            CommandOutcome::Refused => {
                let delay = self.draw_latency();
                self.schedule_input(delay, node, epoch, not_delivered);
            }
            CommandOutcome::Late(delay) => {
                self.copy_later(&event);
                self.schedule_after(delay, event);
                self.schedule_input(RESPONSE_TIMEOUT_S, node, epoch, unknown_outcome);
            }
            CommandOutcome::Served | CommandOutcome::Copied(_) | CommandOutcome::Unanswered => self
                .send(Call {
                    node,
                    to: Endpoint::Machine(machine),
                    timeout: RESPONSE_TIMEOUT_S,
                    event,
                    unknown_outcome,
                    not_delivered,
                }),
        }
    }

    /// Takes the outcome that the scenario has set for the next message to this machine. If there is none,
    /// draws one by the conditions in effect.
    fn choose_command_outcome(&mut self, machine: &MachineId) -> CommandOutcome {
        if let Some(outcome) = self.network.take_next_command_outcome(machine) {
            return outcome;
        }
        if self
            .network
            .machine_has(machine, MachineCondition::RefusesCommands)
            || (self.network.has(Condition::RefusedCommands) && self.draw_is_affected())
        {
            return CommandOutcome::Refused;
        }
        if self.network.has(Condition::LateCommands) && self.draw_is_affected() {
            return CommandOutcome::Late(self.rng.random_range(0.05..16.0));
        }
        if self.network.has(Condition::LostCommandResponses) && self.draw_is_affected() {
            return CommandOutcome::Unanswered;
        }
        CommandOutcome::Served
    }

    /// Draws whether a condition affects a message.
    fn draw_is_affected(&mut self) -> bool {
        self.rng.random_bool(AFFECTED_PROBABILITY)
    }
}
