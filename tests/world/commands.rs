//! Direct orders on their way to workers: refused, held up, carried out, answered or not.

use super::faults::{Condition, MachineCondition};
use super::network::Endpoint;
use super::{Event, LEASE_S, World};
use ochredrum::core::effects::{CallId, Input, WorkerReply};
use ochredrum::ids::MachineId;
use ochredrum::wire::DirectCommands;
use rand::Rng;

/// How long a controller waits for the answer to direct orders.
const ANSWER_DEADLINE_S: f64 = LEASE_S / 10.0;
/// Part of the direct orders that a trouble with them concerns.
const SHARE_IN_TROUBLE: f64 = 0.4;
/// An epoch that no controller has: what is answered to it reaches nobody.
const NOBODY: u64 = u64::MAX;

/// What happens to one message of direct orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CommandFate {
    Served,
    /// The connection is refused at once.
    Refused,
    /// Carried out so many seconds later, without an answer.
    Late(f64),
    /// Carried out at once, but the answer is lost.
    Unanswered,
}

impl World {
    /// A controller sends direct orders, each message on a connection of its own.
    pub(super) fn send_direct_commands(
        &mut self,
        node: usize,
        call: CallId,
        address: String,
        commands: DirectCommands,
    ) {
        self.work.commands += 1;
        let epoch = self.nodes[node].epoch;
        let machine = MachineId::from(address.as_str());
        let reply = |reply| Box::new(Input::Worker(call, reply));
        let (lost, unsent) = (reply(WorkerReply::Unknown), reply(WorkerReply::NotSent));
        let fate = self.command_fate(&machine);
        let answer_to = if fate == CommandFate::Served {
            epoch
        } else {
            NOBODY
        };
        let event = Event::DirectCommands {
            node,
            epoch: answer_to,
            call,
            address,
            commands,
        };
        match fate {
            CommandFate::Refused => {
                let delay = self.latency();
                return self.after(
                    delay,
                    Event::Input {
                        node,
                        epoch,
                        input: unsent,
                    },
                );
            }
            CommandFate::Late(delay) => {
                self.after(delay, event);
                return self.after(
                    ANSWER_DEADLINE_S,
                    Event::Input {
                        node,
                        epoch,
                        input: lost,
                    },
                );
            }
            CommandFate::Served | CommandFate::Unanswered => {}
        }
        let (me, to) = (Endpoint::Node(node), Endpoint::Machine(machine));
        self.send(me, to, ANSWER_DEADLINE_S, event, node, lost, unsent);
    }

    /// As a scenario has it for the next messages to this machine, or as the present troubles draw it.
    fn command_fate(&mut self, machine: &MachineId) -> CommandFate {
        if let Some(fate) = self.network.next_command_fate(machine) {
            return fate;
        }
        if self
            .network
            .machine_has(machine, MachineCondition::RefusesCommands)
            || (self.network.has(Condition::RefusedCommands) && self.in_trouble())
        {
            return CommandFate::Refused;
        }
        if self.network.has(Condition::LateCommands) && self.in_trouble() {
            return CommandFate::Late(self.rng.random_range(0.05..16.0));
        }
        if self.network.has(Condition::LostCommandResponses) && self.in_trouble() {
            return CommandFate::Unanswered;
        }
        CommandFate::Served
    }

    fn in_trouble(&mut self) -> bool {
        self.rng.random_bool(SHARE_IN_TROUBLE)
    }
}
