//! What goes wrong, and between whom.

use super::commands::OrderFate;
use super::{Event, LEASE_S, RESTART_S, World};
use ochredrum::ids::MachineId;
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug, PartialEq)]
pub enum Who {
    Node(usize),
    /// Whoever leads when the fault begins.
    Leader,
    AllNodes,
    State,
    Cloud,
    Machine(MachineId),
    Workers,
    /// State service and siblings, but not workers.
    StateAndSiblings,
    Everyone,
}

#[derive(Clone, Debug)]
pub enum Fault {
    Crash {
        who: Who,
        back_after: Option<f64>,
    },
    /// Crashes one after the other.
    Roll {
        every: f64,
    },
    Outage {
        seconds: f64,
    },
    CloudOutage {
        seconds: f64,
    },
    Refuse {
        who: Who,
        seconds: f64,
    },
    Cut {
        who: Who,
        from: Who,
        seconds: f64,
        manner: CutManner,
        direction: Direction,
    },
    /// The process takes a turn only every `pause` seconds, as on an overloaded host.
    Slow {
        who: Who,
        pause: f64,
        seconds: f64,
    },
    MachineDies {
        which: usize,
    },
    MachineCut {
        which: usize,
        seconds: f64,
        hold: bool,
    },
    /// It and one controller do not reach each other.
    MachineCutFrom {
        which: usize,
        node: usize,
        seconds: f64,
    },
    /// Its reports arrive; answers and commands do not reach it.
    MachineDeaf {
        which: usize,
        seconds: f64,
    },
    /// Every task that begins on it fails.
    MachineFaulty {
        which: usize,
        seconds: f64,
    },
    MachineNotice {
        which: usize,
        seconds: f64,
    },
    /// It executes nothing for a while, then goes on, if its lease allows.
    MachineHangs {
        which: usize,
        seconds: f64,
    },
    /// Machines of a zone reach no controller.
    ZoneCut {
        zone: String,
        seconds: f64,
        hold: bool,
    },
    /// The process stands still while its clocks run on.
    Freeze {
        who: Who,
        seconds: f64,
    },
    /// Some transactions get no answer and are carried out seconds later.
    LateWrites {
        seconds: f64,
    },
    /// Something happens at the `nth` write of the map from now.
    AtMapWrite {
        nth: usize,
        fault: MapFault,
    },
    /// Copies of reports arrive again, seconds to well over a lease later.
    Copies {
        seconds: f64,
    },
    /// Its reports reach no controller, direct commands reach it.
    MachineMute {
        which: usize,
        seconds: f64,
    },
    /// Some transactions are carried out at once, but their answers are lost.
    LostAnswers {
        seconds: f64,
    },
    /// What happens to the next messages of direct orders to a machine, one after the other.
    NextOrders {
        which: usize,
        fates: Vec<OrderFate>,
    },
    /// It refuses connections for direct orders at once; its reports arrive and are answered.
    MachineRefuses {
        which: usize,
        seconds: f64,
    },
    /// Some direct orders are refused at once, whatever machine they are for.
    RefusedOrders {
        seconds: f64,
    },
    /// Some direct orders get no answer and are carried out later, perhaps after newer ones.
    LateOrders {
        seconds: f64,
    },
    /// Some direct orders are carried out at once, but their answers are lost.
    LostOrderAnswers {
        seconds: f64,
    },
    /// Copies of reports are kept until another controller leads, and then reach every controller.
    CopiesForNext {
        seconds: f64,
    },
    /// New machines are up within two seconds.
    InstantBoots {
        seconds: f64,
    },
    /// Users send requests that are malformed, impossible or odd in form.
    OddRequests {
        seconds: f64,
    },
    /// Users ask all controllers, and repeat their submissions, right after they were told anything.
    CloseLooks {
        seconds: f64,
    },
    /// Crashes one after the other, which come back with the present version.
    Upgrade {
        every: f64,
        order: UpgradeOrder,
        /// How many at once.
        together: usize,
    },
    /// A crash of one, which comes back with the version before.
    Downgrade {
        who: Who,
    },
    /// Some jobs are called off at the moment of their end.
    CancelAtEnd {
        seconds: f64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpgradeOrder {
    Ascending,
    Descending,
    /// Whoever leads when the upgrade begins.
    LeaderFirst,
    LeaderLast,
    Listed(Vec<usize>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MapFault {
    /// Its writer ends once it is carried out, before it hears so.
    Crash,
    /// It gets no answer and is carried out late, perhaps after newer ones.
    Late,
}

/// What happens to a message that a cut concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutManner {
    /// It is lost, and its sender waits.
    Silent,
    /// Some are delivered when the cut ends.
    Held,
    /// The connection is refused at once.
    Refused,
    /// The connection breaks at once, so that the sender does not know whether it was delivered.
    Reset,
}

/// Which messages a cut concerns, seen from the one that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Both,
    Outgoing,
    Incoming,
}

#[derive(PartialEq)]
enum Kind {
    Outage,
    CloudOutage,
    Refuse(usize),
    Cut {
        a: Who,
        b: Who,
        manner: CutManner,
        direction: Direction,
    },
    Slow {
        node: usize,
        pause: f64,
    },
    Deaf(MachineId),
    Faulty(MachineId),
    Mute(MachineId),
    Refuses(MachineId),
    RefusedOrders,
    LateOrders,
    LostOrderAnswers,
    Copies,
    LateWrites,
    LostAnswers,
    CopiesForNext,
    InstantBoots,
    CloseLooks,
    CancelAtEnd,
}

#[derive(Default)]
pub struct Network {
    faults: Vec<(u64, f64, Kind)>,
    next: u64,
    outage_began: Option<f64>,
    order_fates: BTreeMap<MachineId, VecDeque<OrderFate>>,
}

impl Network {
    fn add(&mut self, until: f64, kind: Kind) -> u64 {
        self.next += 1;
        self.faults.push((self.next, until, kind));
        self.next
    }

    pub fn end(&mut self, id: u64) {
        self.faults.retain(|(other, _, _)| *other != id);
    }

    fn cut_between(&self, from: &Who, to: &Who) -> Option<(f64, CutManner)> {
        let covers = |group: &Who, who: &Who, other: &Who| match group {
            Who::Everyone => who != other,
            Who::Workers => matches!(who, Who::Machine(_)),
            Who::AllNodes => matches!(who, Who::Node(_)),
            Who::StateAndSiblings => matches!(who, Who::State | Who::Node(_)),
            one => one == who,
        };
        self.faults.iter().find_map(|(_, until, kind)| match kind {
            Kind::Cut {
                a,
                b,
                manner,
                direction,
            } if (covers(a, from, to)
                && covers(b, to, from)
                && *direction != Direction::Incoming)
                || (covers(b, from, to)
                    && covers(a, to, from)
                    && *direction != Direction::Outgoing) =>
            {
                Some((*until, *manner))
            }
            _ => None,
        })
    }

    pub fn passes(&self, from: Who, to: Who) -> bool {
        self.cut_between(&from, &to).is_none()
    }

    /// When what is sent now will be delivered, if the cut holds packets.
    pub fn held_until(&self, from: &Who, to: &Who) -> Option<f64> {
        let held = self
            .cut_between(from, to)
            .filter(|(_, manner)| *manner == CutManner::Held);
        held.map(|(until, _)| until)
    }

    /// How a message is kept from its way, if it is.
    pub fn kept_from(&self, from: &Who, to: &Who) -> Option<CutManner> {
        self.cut_between(from, to).map(|(_, manner)| manner)
    }

    /// Seconds between the turns of a controller that is slow.
    pub fn slow(&self, node: usize) -> Option<f64> {
        self.faults.iter().find_map(|(_, _, kind)| match kind {
            Kind::Slow { node: slow, pause } if *slow == node => Some(*pause),
            _ => None,
        })
    }

    pub fn deaf(&self, machine: &MachineId) -> bool {
        self.on(&Kind::Deaf(machine.clone()))
    }

    pub fn faulty(&self, machine: &MachineId) -> bool {
        self.on(&Kind::Faulty(machine.clone()))
    }

    fn on(&self, wanted: &Kind) -> bool {
        self.faults.iter().any(|(_, _, kind)| kind == wanted)
    }

    pub fn calm(&self) -> bool {
        self.faults.is_empty()
    }

    pub fn mute(&self, machine: &MachineId) -> bool {
        self.on(&Kind::Mute(machine.clone()))
    }

    pub fn next_order_fate(&mut self, machine: &MachineId) -> Option<OrderFate> {
        self.order_fates.get_mut(machine)?.pop_front()
    }

    pub fn refuses(&self, machine: &MachineId) -> bool {
        self.on(&Kind::Refuses(machine.clone()))
    }

    pub fn refused_orders(&self) -> bool {
        self.on(&Kind::RefusedOrders)
    }

    pub fn late_orders(&self) -> bool {
        self.on(&Kind::LateOrders)
    }

    pub fn lost_order_answers(&self) -> bool {
        self.on(&Kind::LostOrderAnswers)
    }

    pub fn lost_answers(&self) -> bool {
        self.on(&Kind::LostAnswers)
    }

    pub fn copies_for_next(&self) -> bool {
        self.on(&Kind::CopiesForNext)
    }

    pub fn instant_boots(&self) -> bool {
        self.on(&Kind::InstantBoots)
    }

    pub fn close_looks(&self) -> bool {
        self.on(&Kind::CloseLooks)
    }

    pub fn cancel_at_end(&self) -> bool {
        self.on(&Kind::CancelAtEnd)
    }

    pub fn copies(&self) -> bool {
        self.on(&Kind::Copies)
    }

    pub fn late_writes(&self) -> bool {
        self.on(&Kind::LateWrites)
    }

    pub fn cloud_down(&self) -> bool {
        self.on(&Kind::CloudOutage)
    }

    fn outage(&self) -> bool {
        self.on(&Kind::Outage)
    }

    pub fn state_refuses(&self, node: usize) -> bool {
        self.outage() || self.on(&Kind::Refuse(node))
    }

    /// After an outage every lease has its full time again: when the last outage ended.
    pub fn take_outage_end(&mut self, now: f64) -> Option<f64> {
        if self.outage() {
            None
        } else {
            self.outage_began.take().map(|_| now)
        }
    }
}

/// A cut of both directions.
fn cut(a: Who, b: Who, hold: bool) -> Kind {
    let manner = if hold {
        CutManner::Held
    } else {
        CutManner::Silent
    };
    Kind::Cut {
        a,
        b,
        manner,
        direction: Direction::Both,
    }
}

impl World {
    fn resolve(&self, who: &Who) -> Vec<usize> {
        match who {
            Who::Node(node) => vec![*node],
            Who::Leader => self.leader().into_iter().collect(),
            _ => (0..self.nodes.len()).collect(),
        }
    }

    fn machine_at(&self, which: usize) -> Option<MachineId> {
        self.workers
            .keys()
            .nth(which % self.workers.len().max(1))
            .cloned()
    }

    fn upgrade_order(&self, order: &UpgradeOrder) -> Vec<usize> {
        let mut nodes: Vec<usize> = (0..self.nodes.len()).collect();
        let leader = self.leader();
        match order {
            UpgradeOrder::Ascending => {}
            UpgradeOrder::Descending => nodes.reverse(),
            UpgradeOrder::LeaderFirst => nodes.sort_by_key(|node| Some(*node) != leader),
            UpgradeOrder::LeaderLast => nodes.sort_by_key(|node| Some(*node) == leader),
            UpgradeOrder::Listed(listed) => nodes.clone_from(listed),
        }
        nodes
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        self.note(format!("fault {fault:?}"));
        let now = self.now;
        let mut lasting: Vec<(f64, Kind)> = Vec::new();
        match fault {
            Fault::Crash { who, back_after } => {
                for node in self.resolve(&who) {
                    self.crash(node, back_after.unwrap_or(RESTART_S));
                }
            }
            Fault::Roll { every } => {
                for node in 0..self.nodes.len() {
                    let who = Who::Node(node);
                    let crash = Fault::Crash {
                        who,
                        back_after: Some(RESTART_S),
                    };
                    self.after(every * node as f64, Event::Fault(crash));
                }
            }
            Fault::Outage { seconds } => {
                self.net.outage_began = Some(now);
                lasting.push((seconds, Kind::Outage));
            }
            Fault::CloudOutage { seconds } => lasting.push((seconds, Kind::CloudOutage)),
            Fault::Refuse { who, seconds } => {
                for node in self.resolve(&who) {
                    lasting.push((seconds, Kind::Refuse(node)));
                }
            }
            Fault::Cut {
                who,
                from,
                seconds,
                manner,
                direction,
            } => {
                for node in self.resolve(&who) {
                    let (a, b) = (Who::Node(node), from.clone());
                    lasting.push((
                        seconds,
                        Kind::Cut {
                            a,
                            b,
                            manner,
                            direction,
                        },
                    ));
                }
            }
            Fault::Slow {
                who,
                pause,
                seconds,
            } => {
                for node in self.resolve(&who) {
                    lasting.push((seconds, Kind::Slow { node, pause }));
                }
            }
            Fault::MachineDies { which } => {
                if let Some(machine) = self.machine_at(which) {
                    self.users.starts_gone += self.workers[&machine].starts;
                    self.workers.remove(&machine);
                    self.cloud.died(&machine, now + 30.0);
                }
            }
            Fault::MachineCut {
                which,
                seconds,
                hold,
            } => {
                if let Some(machine) = self.machine_at(which) {
                    lasting.push((seconds, cut(Who::Machine(machine), Who::AllNodes, hold)));
                }
            }
            Fault::MachineCutFrom {
                which,
                node,
                seconds,
            } => {
                if let Some(machine) = self.machine_at(which) {
                    lasting.push((seconds, cut(Who::Machine(machine), Who::Node(node), false)));
                }
            }
            Fault::MachineDeaf { which, seconds } => {
                if let Some(machine) = self.machine_at(which) {
                    lasting.push((seconds, Kind::Deaf(machine)));
                }
            }
            Fault::MachineFaulty { which, seconds } => {
                if let Some(machine) = self.machine_at(which) {
                    lasting.push((seconds, Kind::Faulty(machine)));
                }
            }
            Fault::MachineNotice { which, seconds } => {
                if let Some(machine) = self.machine_at(which) {
                    self.notice(&machine, seconds);
                }
            }
            Fault::MachineHangs { which, seconds } => {
                if let Some(id) = self.machine_at(which)
                    && let Some(worker) = self.workers.get_mut(&id)
                {
                    worker.hung_until = now + seconds;
                }
            }
            Fault::ZoneCut {
                zone,
                seconds,
                hold,
            } => {
                let ids = self.workers.keys().filter(|id| {
                    self.cloud
                        .get(id)
                        .is_some_and(|owned| owned.zone.as_str() == zone)
                });
                for id in ids {
                    lasting.push((seconds, cut(Who::Machine(id.clone()), Who::AllNodes, hold)));
                }
            }
            Fault::Freeze { who, seconds } => {
                for node in self.resolve(&who) {
                    let until = now + seconds;
                    self.nodes[node].frozen_until = until;
                    let epoch = self.nodes[node].epoch;
                    self.at(until, Event::Thaw { node, epoch });
                }
            }
            Fault::LateWrites { seconds } => lasting.push((seconds, Kind::LateWrites)),
            Fault::AtMapWrite { nth, fault } => self.map_fault = Some((nth.max(1), fault)),
            Fault::Copies { seconds } => lasting.push((seconds, Kind::Copies)),
            Fault::MachineMute { which, seconds } => {
                if let Some(machine) = self.machine_at(which) {
                    lasting.push((seconds, Kind::Mute(machine)));
                }
            }
            Fault::Upgrade {
                every,
                order,
                together,
            } => {
                let nodes = self.upgrade_order(&order);
                self.note(format!("upgrades {nodes:?}, led by {:?}", self.leader()));
                for (place, node) in nodes.into_iter().enumerate() {
                    let turn = (place / together) as f64;
                    self.after(every * turn, Event::Upgrade { node });
                }
            }
            Fault::Downgrade { who } => {
                for node in self.resolve(&who) {
                    self.old.insert(node);
                    self.crash(node, RESTART_S);
                }
            }
            Fault::LostAnswers { seconds } => lasting.push((seconds, Kind::LostAnswers)),
            Fault::NextOrders { which, fates } => {
                if let Some(machine) = self.machine_at(which) {
                    self.net.order_fates.insert(machine, fates.into());
                }
            }
            Fault::MachineRefuses { which, seconds } => {
                if let Some(machine) = self.machine_at(which) {
                    lasting.push((seconds, Kind::Refuses(machine)));
                }
            }
            Fault::RefusedOrders { seconds } => lasting.push((seconds, Kind::RefusedOrders)),
            Fault::LateOrders { seconds } => lasting.push((seconds, Kind::LateOrders)),
            Fault::LostOrderAnswers { seconds } => lasting.push((seconds, Kind::LostOrderAnswers)),
            Fault::CopiesForNext { seconds } => lasting.push((seconds, Kind::CopiesForNext)),
            Fault::InstantBoots { seconds } => lasting.push((seconds, Kind::InstantBoots)),
            Fault::OddRequests { seconds } => {
                self.after(
                    0.0,
                    Event::OddRequest {
                        until: now + seconds,
                    },
                );
            }
            Fault::CloseLooks { seconds } => lasting.push((seconds, Kind::CloseLooks)),
            Fault::CancelAtEnd { seconds } => lasting.push((seconds, Kind::CancelAtEnd)),
        }
        for (seconds, kind) in lasting {
            let id = self.net.add(now + seconds, kind);
            self.after(seconds, Event::FaultEnds(id));
        }
    }

    /// Whether a copy of a report is to arrive again, and when.
    pub(super) fn copy_delay(&mut self) -> Option<f64> {
        (self.net.copies() && self.rng.random_bool(0.3))
            .then(|| self.rng.random_range(0.5..LEASE_S * 2.5))
    }
}
