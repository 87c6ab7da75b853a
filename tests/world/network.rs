//! The faults that are in effect, and which messages they let pass.

use super::commands::CommandOutcome;
use super::faults::{Condition, MachineCondition};
use ochredrum::ids::MachineId;
use std::collections::{BTreeMap, VecDeque};

/// A participant of the network, or a group of them.
#[derive(Clone, Debug, PartialEq)]
pub enum Endpoint {
    /// A controller by its number.
    Node(usize),
    /// The controller that leads when the fault begins.
    Leader,
    /// All controllers.
    AllNodes,
    /// The key-value store.
    Store,
    /// The cloud's interface.
    Cloud,
    /// One machine.
    Machine(MachineId),
    /// All machines.
    Workers,
    /// The store and the sibling controllers, but not the workers.
    StoreAndSiblings,
    /// All participants but the one that is cut off.
    Everyone,
}

impl Endpoint {
    /// Whether this endpoint or group includes `member`, seen in its exchange with `other`.
    fn includes(&self, member: &Self, other: &Self) -> bool {
        match self {
            Self::Everyone => member != other,
            Self::Workers => matches!(member, Self::Machine(_)),
            Self::AllNodes => matches!(member, Self::Node(_)),
            Self::StoreAndSiblings => matches!(member, Self::Store | Self::Node(_)),
            one => one == member,
        }
    }
}

/// What happens to a message that a cut concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutManner {
    /// It is lost, and its sender waits until its timeout.
    Silent,
    /// Some are delivered when the cut ends.
    Held,
    /// The connection is refused at once.
    Refused,
    /// The connection breaks at once, so the sender does not know whether the message was delivered.
    Reset,
}

/// Which messages a cut concerns, seen from the participant that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// What it sends and what is sent to it.
    Both,
    /// What it sends.
    Outgoing,
    /// What is sent to it.
    Incoming,
}

/// A fault in effect.
#[derive(PartialEq)]
pub enum ActiveFault {
    /// A condition of the whole deployment.
    Condition(Condition),
    /// A condition of one machine.
    Machine(MachineId, MachineCondition),
    /// The store refuses the requests of this controller.
    Refuse(usize),
    /// Messages between `a`, which is cut off, and `b` do not pass.
    Cut {
        a: Endpoint,
        b: Endpoint,
        manner: CutManner,
        direction: Direction,
    },
    /// A controller runs only once every `pause` seconds.
    Slow { node: usize, pause: f64 },
}

struct Entry {
    id: u64,
    until: f64,
    fault: ActiveFault,
}

/// The faults in effect.
#[derive(Default)]
pub struct Network {
    entries: Vec<Entry>,
    last_id: u64,
    /// When the last outage of the store began, until its end was taken.
    outage_began: Option<f64>,
    command_outcomes: BTreeMap<MachineId, VecDeque<CommandOutcome>>,
}

impl Network {
    /// Adds a fault that begins now and returns the id by which it is ended.
    pub fn add(&mut self, now: f64, until: f64, fault: ActiveFault) -> u64 {
        if fault == ActiveFault::Condition(Condition::Outage) {
            self.outage_began = Some(now);
        }
        self.last_id += 1;
        let id = self.last_id;
        self.entries.push(Entry { id, until, fault });
        id
    }

    /// Ends a fault.
    pub fn end(&mut self, id: u64) {
        self.entries.retain(|entry| entry.id != id);
    }

    /// Whether no fault is in effect.
    pub fn has_no_faults(&self) -> bool {
        self.entries.is_empty()
    }

    fn is_active(&self, wanted: &ActiveFault) -> bool {
        self.entries.iter().any(|entry| entry.fault == *wanted)
    }

    /// Whether a condition of the whole deployment is in effect.
    pub fn has(&self, condition: Condition) -> bool {
        self.is_active(&ActiveFault::Condition(condition))
    }

    /// Whether a condition of this machine is in effect.
    pub fn machine_has(&self, machine: &MachineId, condition: MachineCondition) -> bool {
        self.is_active(&ActiveFault::Machine(machine.clone(), condition))
    }

    /// The first cut that concerns a message, with its end.
    fn cut_between(&self, from: &Endpoint, to: &Endpoint) -> Option<(f64, CutManner)> {
        self.entries.iter().find_map(|entry| {
            let ActiveFault::Cut {
                a,
                b,
                manner,
                direction,
            } = &entry.fault
            else {
                return None;
            };
            let outgoing = a.includes(from, to) && b.includes(to, from);
            let incoming = b.includes(from, to) && a.includes(to, from);
            let concerned = (outgoing && *direction != Direction::Incoming)
                || (incoming && *direction != Direction::Outgoing);
            concerned.then_some((entry.until, *manner))
        })
    }

    /// Whether no cut concerns a message.
    pub fn passes(&self, from: &Endpoint, to: &Endpoint) -> bool {
        self.cut_between(from, to).is_none()
    }

    /// When a message that is sent now will be delivered, if a cut holds it.
    pub fn held_until(&self, from: &Endpoint, to: &Endpoint) -> Option<f64> {
        let held = self
            .cut_between(from, to)
            .filter(|(_, manner)| *manner == CutManner::Held);
        held.map(|(until, _)| until)
    }

    /// The manner of the cut that concerns a message, if there is one.
    pub fn cut_manner(&self, from: &Endpoint, to: &Endpoint) -> Option<CutManner> {
        self.cut_between(from, to).map(|(_, manner)| manner)
    }

    /// Seconds between the turns of a controller that is slow.
    pub fn pause_between_turns(&self, node: usize) -> Option<f64> {
        self.entries.iter().find_map(|entry| match entry.fault {
            ActiveFault::Slow { node: slow, pause } if slow == node => Some(pause),
            _ => None,
        })
    }

    /// Whether the store refuses the requests of a controller.
    pub fn store_refuses(&self, node: usize) -> bool {
        self.has(Condition::Outage) || self.is_active(&ActiveFault::Refuse(node))
    }

    /// Whether an outage of the store has ended since the last call. Every lease then has its full duration again.
    pub fn take_outage_end(&mut self, now: f64) -> Option<f64> {
        if self.has(Condition::Outage) {
            None
        } else {
            self.outage_began.take().map(|_| now)
        }
    }

    /// Sets what happens to the next messages of direct commands to a machine, in order.
    pub fn set_next_command_outcomes(&mut self, machine: MachineId, outcomes: Vec<CommandOutcome>) {
        self.command_outcomes.insert(machine, outcomes.into());
    }

    /// What a scenario has set for the next message of direct commands to a machine.
    pub fn next_command_outcome(&mut self, machine: &MachineId) -> Option<CommandOutcome> {
        self.command_outcomes.get_mut(machine)?.pop_front()
    }
}
