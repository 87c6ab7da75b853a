//! The faults in effect and the messages that they block.

use super::commands::CommandOutcome;
use super::faults::{Condition, MachineCondition};
use ochredrum::ids::MachineId;
use std::collections::{BTreeMap, VecDeque};

/// A participant of the network, or a group of them.
#[derive(Clone, Debug, PartialEq)]
pub enum Endpoint {
    /// The controller with this index.
    Node(usize),
    /// The controller that leads when the fault begins.
    Leader,
    /// All controllers.
    AllNodes,
    /// The key-value store.
    Store,
    /// The cloud's interface.
    Cloud,
    /// The worker on this machine.
    Machine(MachineId),
    /// The workers on all machines.
    Workers,
    /// The store and the sibling controllers, but not the workers.
    StoreAndSiblings,
    /// All participants except the one that is cut off.
    Everyone,
}

impl Endpoint {
    /// Whether this endpoint or group includes `member`, which exchanges a message with `other`.
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

/// How a cut treats the messages that it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutManner {
    /// The message is lost, and the sender waits until its timeout.
    Silent,
    /// Heartbeats and some calls of controllers are delivered when the cut ends; other messages are lost.
    Held,
    /// The connection is refused at once.
    Refused,
    /// The connection breaks at once, so the sender does not know whether the message was delivered.
    Reset,
}

/// The messages that a cut affects, relative to the participant that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Messages in both directions.
    Both,
    /// Messages that it sends.
    Outgoing,
    /// Messages that are sent to it.
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
    /// The responses to this controller's reads of the store are lost.
    LostReads(usize),
    /// A controller runs only once every `pause` seconds.
    Slow { node: usize, pause: f64 },
}

/// A fault in effect, with its id and the time at which it ends.
struct Entry {
    id: u64,
    until: f64,
    fault: ActiveFault,
}

/// The faults in effect and the outcomes set for coming direct commands.
#[derive(Default)]
pub struct Network {
    entries: Vec<Entry>,
    last_id: u64,
    /// When the last outage of the store began; `None` once [`Network::take_outage_end`] has returned its
    /// end.
    outage_began: Option<f64>,
    command_outcomes: BTreeMap<MachineId, VecDeque<CommandOutcome>>,
}

impl Network {
    /// Adds a fault that begins now and returns its id for [`Network::end`].
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

    /// The end and manner of the first cut that affects a message.
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
            let affected = (outgoing && *direction != Direction::Incoming)
                || (incoming && *direction != Direction::Outgoing);
            affected.then_some((entry.until, *manner))
        })
    }

    /// Whether no cut affects a message.
    pub fn passes(&self, from: &Endpoint, to: &Endpoint) -> bool {
        self.cut_between(from, to).is_none()
    }

    /// When the cut ends that holds a message sent now; `None` if no cut holds it.
    pub fn held_until(&self, from: &Endpoint, to: &Endpoint) -> Option<f64> {
        let held = self
            .cut_between(from, to)
            .filter(|(_, manner)| *manner == CutManner::Held);
        held.map(|(until, _)| until)
    }

    /// How a message is treated by the cut that affects it; `None` if there is no such cut.
    pub fn cut_manner(&self, from: &Endpoint, to: &Endpoint) -> Option<CutManner> {
        self.cut_between(from, to).map(|(_, manner)| manner)
    }

    /// Seconds between the steps of a slow controller; `None` if it is not slow.
    pub fn slow_step_interval_s(&self, node: usize) -> Option<f64> {
        self.entries.iter().find_map(|entry| match entry.fault {
            ActiveFault::Slow { node: slow, pause } if slow == node => Some(pause),
            _ => None,
        })
    }

    /// Whether the store refuses the requests of a controller.
    pub fn store_refuses(&self, node: usize) -> bool {
        self.has(Condition::Outage) || self.is_active(&ActiveFault::Refuse(node))
    }

    /// Whether the responses to a controller's reads of the store are lost.
    pub fn loses_reads(&self, node: usize) -> bool {
        self.is_active(&ActiveFault::LostReads(node))
    }

    /// Returns `now` on the first call after an outage of the store has ended, otherwise `None`. The store
    /// then extends every lease to its full duration.
    pub fn take_outage_end(&mut self, now: f64) -> Option<f64> {
        if self.has(Condition::Outage) {
            None
        } else {
            self.outage_began.take().map(|_| now)
        }
    }

    /// Sets the outcomes of the next messages of direct commands to a machine, in order.
    pub fn set_next_command_outcomes(&mut self, machine: MachineId, outcomes: Vec<CommandOutcome>) {
        self.command_outcomes.insert(machine, outcomes.into());
    }

    /// Removes and returns the outcome that is set for the next message of direct commands to a machine.
    pub fn take_next_command_outcome(&mut self, machine: &MachineId) -> Option<CommandOutcome> {
        self.command_outcomes.get_mut(machine)?.pop_front()
    }
}
