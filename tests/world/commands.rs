//! Direct orders on their way to workers: refused, held up, carried out, answered or not.

use super::faults::Who;
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
pub enum OrderFate {
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
        let fate = self.order_fate(&machine);
        let answer_to = if fate == OrderFate::Served {
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
            OrderFate::Refused => {
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
            OrderFate::Late(delay) => {
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
            OrderFate::Served | OrderFate::Unanswered => {}
        }
        let (me, to) = (Who::Node(node), Who::Machine(machine));
        self.send(me, to, ANSWER_DEADLINE_S, event, node, lost, unsent);
    }

    /// As a scenario has it for the next messages to this machine, or as the present troubles draw it.
    fn order_fate(&mut self, machine: &MachineId) -> OrderFate {
        if let Some(fate) = self.net.next_order_fate(machine) {
            return fate;
        }
        if self.net.refuses(machine) || (self.net.refused_orders() && self.in_trouble()) {
            return OrderFate::Refused;
        }
        if self.net.late_orders() && self.in_trouble() {
            return OrderFate::Late(self.rng.random_range(0.05..16.0));
        }
        if self.net.lost_order_answers() && self.in_trouble() {
            return OrderFate::Unanswered;
        }
        OrderFate::Served
    }

    fn in_trouble(&mut self) -> bool {
        self.rng.random_bool(SHARE_IN_TROUBLE)
    }
}
