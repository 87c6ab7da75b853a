//! What goes wrong, and between whom.

use super::commands::CommandFate;
use super::{Event, LEASE_S, RESTART_S, World};
use ochredrum::ids::MachineId;
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug, PartialEq)]
pub enum Endpoint {
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
        who: Endpoint,
        back_after: Option<f64>,
    },
    /// Crashes one after the other.
    RollingRestart {
        every: f64,
    },
    Outage {
        seconds: f64,
    },
    CloudOutage {
        seconds: f64,
    },
    Refuse {
        who: Endpoint,
        seconds: f64,
    },
    Cut {
        who: Endpoint,
        from: Endpoint,
        seconds: f64,
        manner: CutManner,
        direction: Direction,
    },
    /// The process takes a turn only every `pause` seconds, as on an overloaded host.
    Slow {
        who: Endpoint,
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
    MachineInboundLost {
        which: usize,
        seconds: f64,
    },
    /// Every task that begins on it fails.
    MachineFaulty {
        which: usize,
        seconds: f64,
    },
    TerminationNotice {
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
        who: Endpoint,
        seconds: f64,
    },
    /// Some transactions get no answer and are carried out seconds later.
    LateWrites {
        seconds: f64,
    },
    /// Something happens at the `nth` write of the map from now.
    AtShardMapWrite {
        nth: usize,
        fault: ShardMapFault,
    },
    /// Copies of reports arrive again, seconds to well over a lease later.
    DuplicateHeartbeats {
        seconds: f64,
    },
    /// Its reports reach no controller, direct commands reach it.
    MachineHeartbeatsLost {
        which: usize,
        seconds: f64,
    },
    /// Some transactions are carried out at once, but their answers are lost.
    LostStoreResponses {
        seconds: f64,
    },
    /// What happens to the next messages of direct orders to a machine, one after the other.
    NextCommands {
        which: usize,
        fates: Vec<CommandFate>,
    },
    /// It refuses connections for direct orders at once; its reports arrive and are answered.
    MachineRefusesCommands {
        which: usize,
        seconds: f64,
    },
    /// Some direct orders are refused at once, whatever machine they are for.
    RefusedCommands {
        seconds: f64,
    },
    /// Some direct orders get no answer and are carried out later, perhaps after newer ones.
    LateCommands {
        seconds: f64,
    },
    /// Some direct orders are carried out at once, but their answers are lost.
    LostCommandResponses {
        seconds: f64,
    },
    /// Copies of reports are kept until another controller leads, and then reach every controller.
    ReplayToNextLeader {
        seconds: f64,
    },
    /// New machines are up within two seconds.
    FastBoots {
        seconds: f64,
    },
    /// Users send requests that are malformed, impossible or odd in form.
    UnusualRequests {
        seconds: f64,
    },
    /// Users ask all controllers, and repeat their submissions, right after they were told anything.
    LinearizabilityProbes {
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
        who: Endpoint,
    },
    /// Some jobs are called off at the moment of their end.
    CancelAtCompletion {
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
pub enum ShardMapFault {
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
enum ActiveFault {
    Outage,
    CloudOutage,
    Refuse(usize),
    Cut {
        a: Endpoint,
        b: Endpoint,
        manner: CutManner,
        direction: Direction,
    },
    Slow {
        node: usize,
        pause: f64,
    },
    InboundLost(MachineId),
    Faulty(MachineId),
    HeartbeatsLost(MachineId),
    RefusesCommands(MachineId),
    RefusedCommands,
    LateCommands,
    LostCommandResponses,
    DuplicateHeartbeats,
    LateWrites,
    LostStoreResponses,
    ReplayToNextLeader,
    FastBoots,
    LinearizabilityProbes,
    CancelAtCompletion,
}

#[derive(Default)]
pub struct Network {
    faults: Vec<(u64, f64, ActiveFault)>,
    next: u64,
    outage_began: Option<f64>,
    command_fates: BTreeMap<MachineId, VecDeque<CommandFate>>,
}

impl Network {
    fn add(&mut self, until: f64, kind: ActiveFault) -> u64 {
        self.next += 1;
        self.faults.push((self.next, until, kind));
        self.next
    }

    pub fn end(&mut self, id: u64) {
        self.faults.retain(|(other, _, _)| *other != id);
    }

    fn cut_between(&self, from: &Endpoint, to: &Endpoint) -> Option<(f64, CutManner)> {
        let covers = |group: &Endpoint, who: &Endpoint, other: &Endpoint| match group {
            Endpoint::Everyone => who != other,
            Endpoint::Workers => matches!(who, Endpoint::Machine(_)),
            Endpoint::AllNodes => matches!(who, Endpoint::Node(_)),
            Endpoint::StateAndSiblings => matches!(who, Endpoint::State | Endpoint::Node(_)),
            one => one == who,
        };
        self.faults.iter().find_map(|(_, until, kind)| match kind {
            ActiveFault::Cut {
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

    pub fn passes(&self, from: Endpoint, to: Endpoint) -> bool {
        self.cut_between(&from, &to).is_none()
    }

    /// When what is sent now will be delivered, if the cut holds packets.
    pub fn held_until(&self, from: &Endpoint, to: &Endpoint) -> Option<f64> {
        let held = self
            .cut_between(from, to)
            .filter(|(_, manner)| *manner == CutManner::Held);
        held.map(|(until, _)| until)
    }

    /// How a message is kept from its way, if it is.
    pub fn cut_manner(&self, from: &Endpoint, to: &Endpoint) -> Option<CutManner> {
        self.cut_between(from, to).map(|(_, manner)| manner)
    }

    /// Seconds between the turns of a controller that is slow.
    pub fn slow(&self, node: usize) -> Option<f64> {
        self.faults.iter().find_map(|(_, _, kind)| match kind {
            ActiveFault::Slow { node: slow, pause } if *slow == node => Some(*pause),
            _ => None,
        })
    }

    pub fn inbound_lost(&self, machine: &MachineId) -> bool {
        self.on(&ActiveFault::InboundLost(machine.clone()))
    }

    pub fn faulty(&self, machine: &MachineId) -> bool {
        self.on(&ActiveFault::Faulty(machine.clone()))
    }

    fn on(&self, wanted: &ActiveFault) -> bool {
        self.faults.iter().any(|(_, _, kind)| kind == wanted)
    }

    pub fn calm(&self) -> bool {
        self.faults.is_empty()
    }

    pub fn heartbeats_lost(&self, machine: &MachineId) -> bool {
        self.on(&ActiveFault::HeartbeatsLost(machine.clone()))
    }

    pub fn next_command_fate(&mut self, machine: &MachineId) -> Option<CommandFate> {
        self.command_fates.get_mut(machine)?.pop_front()
    }

    pub fn refuses_commands(&self, machine: &MachineId) -> bool {
        self.on(&ActiveFault::RefusesCommands(machine.clone()))
    }

    pub fn refused_commands(&self) -> bool {
        self.on(&ActiveFault::RefusedCommands)
    }

    pub fn late_commands(&self) -> bool {
        self.on(&ActiveFault::LateCommands)
    }

    pub fn lost_command_responses(&self) -> bool {
        self.on(&ActiveFault::LostCommandResponses)
    }

    pub fn lost_store_responses(&self) -> bool {
        self.on(&ActiveFault::LostStoreResponses)
    }

    pub fn replay_to_next_leader(&self) -> bool {
        self.on(&ActiveFault::ReplayToNextLeader)
    }

    pub fn fast_boots(&self) -> bool {
        self.on(&ActiveFault::FastBoots)
    }

    pub fn linearizability_probes(&self) -> bool {
        self.on(&ActiveFault::LinearizabilityProbes)
    }

    pub fn cancel_at_completion(&self) -> bool {
        self.on(&ActiveFault::CancelAtCompletion)
    }

    pub fn duplicate_heartbeats(&self) -> bool {
        self.on(&ActiveFault::DuplicateHeartbeats)
    }

    pub fn late_writes(&self) -> bool {
        self.on(&ActiveFault::LateWrites)
    }

    pub fn cloud_down(&self) -> bool {
        self.on(&ActiveFault::CloudOutage)
    }

    fn outage(&self) -> bool {
        self.on(&ActiveFault::Outage)
    }

    pub fn state_refuses(&self, node: usize) -> bool {
        self.outage() || self.on(&ActiveFault::Refuse(node))
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
fn cut(a: Endpoint, b: Endpoint, hold: bool) -> ActiveFault {
    let manner = if hold {
        CutManner::Held
    } else {
        CutManner::Silent
    };
    ActiveFault::Cut {
        a,
        b,
        manner,
        direction: Direction::Both,
    }
}

impl World {
    fn resolve(&self, who: &Endpoint) -> Vec<usize> {
        match who {
            Endpoint::Node(node) => vec![*node],
            Endpoint::Leader => self.leader().into_iter().collect(),
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
        let mut lasting: Vec<(f64, ActiveFault)> = Vec::new();
        match fault {
            Fault::Crash { who, back_after } => {
                for node in self.resolve(&who) {
                    self.crash(node, back_after.unwrap_or(RESTART_S));
                }
            }
            Fault::RollingRestart { every } => {
                for node in 0..self.nodes.len() {
                    let who = Endpoint::Node(node);
                    let crash = Fault::Crash {
                        who,
                        back_after: Some(RESTART_S),
                    };
                    self.after(every * node as f64, Event::Fault(crash));
                }
            }
            Fault::Outage { seconds } => {
                self.network.outage_began = Some(now);
                lasting.push((seconds, ActiveFault::Outage));
            }
            Fault::CloudOutage { seconds } => lasting.push((seconds, ActiveFault::CloudOutage)),
            Fault::Refuse { who, seconds } => {
                for node in self.resolve(&who) {
                    lasting.push((seconds, ActiveFault::Refuse(node)));
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
                    let (a, b) = (Endpoint::Node(node), from.clone());
                    lasting.push((
                        seconds,
                        ActiveFault::Cut {
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
                    lasting.push((seconds, ActiveFault::Slow { node, pause }));
                }
            }
            Fault::MachineDies { which } => {
                if let Some(machine) = self.machine_at(which) {
                    self.users.starts_on_removed += self.workers[&machine].starts;
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
                    lasting.push((
                        seconds,
                        cut(Endpoint::Machine(machine), Endpoint::AllNodes, hold),
                    ));
                }
            }
            Fault::MachineCutFrom {
                which,
                node,
                seconds,
            } => {
                if let Some(machine) = self.machine_at(which) {
                    lasting.push((
                        seconds,
                        cut(Endpoint::Machine(machine), Endpoint::Node(node), false),
                    ));
                }
            }
            Fault::MachineInboundLost { which, seconds } => {
                if let Some(machine) = self.machine_at(which) {
                    lasting.push((seconds, ActiveFault::InboundLost(machine)));
                }
            }
            Fault::MachineFaulty { which, seconds } => {
                if let Some(machine) = self.machine_at(which) {
                    lasting.push((seconds, ActiveFault::Faulty(machine)));
                }
            }
            Fault::TerminationNotice { which, seconds } => {
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
                    lasting.push((
                        seconds,
                        cut(Endpoint::Machine(id.clone()), Endpoint::AllNodes, hold),
                    ));
                }
            }
            Fault::Freeze { who, seconds } => {
                for node in self.resolve(&who) {
                    let until = now + seconds;
                    self.nodes[node].frozen_until = until;
                    let epoch = self.nodes[node].epoch;
                    self.at(until, Event::Resume { node, epoch });
                }
            }
            Fault::LateWrites { seconds } => lasting.push((seconds, ActiveFault::LateWrites)),
            Fault::AtShardMapWrite { nth, fault } => {
                self.shard_map_fault = Some((nth.max(1), fault))
            }
            Fault::DuplicateHeartbeats { seconds } => {
                lasting.push((seconds, ActiveFault::DuplicateHeartbeats))
            }
            Fault::MachineHeartbeatsLost { which, seconds } => {
                if let Some(machine) = self.machine_at(which) {
                    lasting.push((seconds, ActiveFault::HeartbeatsLost(machine)));
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
                    self.previous_version_nodes.insert(node);
                    self.crash(node, RESTART_S);
                }
            }
            Fault::LostStoreResponses { seconds } => {
                lasting.push((seconds, ActiveFault::LostStoreResponses))
            }
            Fault::NextCommands { which, fates } => {
                if let Some(machine) = self.machine_at(which) {
                    self.network.command_fates.insert(machine, fates.into());
                }
            }
            Fault::MachineRefusesCommands { which, seconds } => {
                if let Some(machine) = self.machine_at(which) {
                    lasting.push((seconds, ActiveFault::RefusesCommands(machine)));
                }
            }
            Fault::RefusedCommands { seconds } => {
                lasting.push((seconds, ActiveFault::RefusedCommands))
            }
            Fault::LateCommands { seconds } => lasting.push((seconds, ActiveFault::LateCommands)),
            Fault::LostCommandResponses { seconds } => {
                lasting.push((seconds, ActiveFault::LostCommandResponses))
            }
            Fault::ReplayToNextLeader { seconds } => {
                lasting.push((seconds, ActiveFault::ReplayToNextLeader))
            }
            Fault::FastBoots { seconds } => lasting.push((seconds, ActiveFault::FastBoots)),
            Fault::UnusualRequests { seconds } => {
                self.after(
                    0.0,
                    Event::UnusualRequest {
                        until: now + seconds,
                    },
                );
            }
            Fault::LinearizabilityProbes { seconds } => {
                lasting.push((seconds, ActiveFault::LinearizabilityProbes))
            }
            Fault::CancelAtCompletion { seconds } => {
                lasting.push((seconds, ActiveFault::CancelAtCompletion))
            }
        }
        for (seconds, kind) in lasting {
            let id = self.network.add(now + seconds, kind);
            self.after(seconds, Event::FaultEnds(id));
        }
    }

    /// Whether a copy of a report is to arrive again, and when.
    pub(super) fn duplicate_delay(&mut self) -> Option<f64> {
        (self.network.duplicate_heartbeats() && self.rng.random_bool(0.3))
            .then(|| self.rng.random_range(0.5..LEASE_S * 2.5))
    }
}
