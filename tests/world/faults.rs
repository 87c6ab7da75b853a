//! The faults that a scenario can ask for, and how they begin.

use super::commands::CommandFate;
use super::network::{ActiveFault, CutManner, Direction, Endpoint};
use super::{Event, LEASE_S, RESTART_S, World};
use ochredrum::ids::MachineId;
use rand::Rng;

/// Seconds until the cloud no longer lists a machine that died.
const UNLISTED_AFTER_S: f64 = 30.0;
/// Part of the heartbeats that arrive a second time while heartbeats are duplicated.
const DUPLICATED_PART: f64 = 0.3;

/// A fault as a scenario asks for it.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Controllers crash.
    Crash {
        who: Endpoint,
        /// Seconds until they are restarted; the default if absent.
        back_after: Option<f64>,
    },
    /// All controllers are restarted, one every this many seconds.
    RollingRestart { every: f64 },
    /// A condition of the whole deployment.
    Condition { condition: Condition, seconds: f64 },
    /// A condition of one machine.
    Machine {
        which: usize,
        condition: MachineCondition,
        seconds: f64,
    },
    /// The store refuses the requests of single controllers.
    Refuse { who: Endpoint, seconds: f64 },
    /// Controllers are cut from other participants.
    Cut {
        who: Endpoint,
        from: Endpoint,
        seconds: f64,
        manner: CutManner,
        direction: Direction,
    },
    /// The process runs only once every `pause` seconds, as on an overloaded host.
    Slow {
        who: Endpoint,
        pause: f64,
        seconds: f64,
    },
    /// A machine stops with everything on it, without notice.
    MachineDies { which: usize },
    /// A machine and all controllers do not reach each other.
    MachineCut {
        which: usize,
        seconds: f64,
        hold: bool,
    },
    /// A machine and one controller do not reach each other.
    MachineCutFrom {
        which: usize,
        node: usize,
        seconds: f64,
    },
    /// A spot machine receives notice that it will be taken away after this many seconds.
    TerminationNotice { which: usize, seconds: f64 },
    /// A machine executes nothing for a while, and then continues if its lease allows.
    MachineHangs { which: usize, seconds: f64 },
    /// The machines of a zone reach no controller.
    ZoneCut {
        zone: String,
        seconds: f64,
        hold: bool,
    },
    /// The process is paused while its clocks continue.
    Freeze { who: Endpoint, seconds: f64 },
    /// Something happens at the `nth` write of the shard map from now.
    AtShardMapWrite { nth: usize, fault: ShardMapFault },
    /// The fates of the next messages of direct commands to a machine, in order.
    NextCommands {
        which: usize,
        fates: Vec<CommandFate>,
    },
    /// Users send requests that are malformed, impossible or unusual in form.
    UnusualRequests { seconds: f64 },
    /// Controllers crash in turn and return with the present version.
    Upgrade {
        every: f64,
        order: UpgradeOrder,
        /// How many are upgraded at once.
        together: usize,
    },
    /// Controllers crash and return with the previous version.
    Downgrade { who: Endpoint },
}

/// A lasting condition of the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The store refuses all requests.
    Outage,
    /// The cloud's interface refuses all requests.
    CloudOutage,
    /// Some transactions get no answer and take effect seconds later.
    LateWrites,
    /// Some transactions take effect at once, but their responses are lost.
    LostStoreResponses,
    /// Some heartbeats arrive again, from seconds to well over a lease later.
    DuplicateHeartbeats,
    /// Copies of heartbeats are recorded until another controller leads, and then reach every controller.
    ReplayToNextLeader,
    /// Some direct commands are refused at once, whatever machine they are for.
    RefusedCommands,
    /// Some direct commands get no answer and take effect later, perhaps after newer ones.
    LateCommands,
    /// Some direct commands take effect at once, but their responses are lost.
    LostCommandResponses,
    /// New machines have booted within two seconds.
    FastBoots,
    /// Users poll all controllers, and repeat their submissions, right after any answer that they received.
    LinearizabilityProbes,
    /// Some jobs are cancelled at the moment of their completion.
    CancelAtCompletion,
}

/// A lasting condition of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineCondition {
    /// Its heartbeats arrive; responses and direct commands do not reach it.
    InboundLost,
    /// Its heartbeats reach no controller; direct commands reach it.
    HeartbeatsLost,
    /// Every task that starts on it fails.
    Faulty,
    /// It refuses connections for direct commands; its heartbeats arrive and are answered.
    RefusesCommands,
}

/// The order in which controllers are upgraded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpgradeOrder {
    /// By number.
    Ascending,
    /// By number, the last one first.
    Descending,
    /// The controller that leads when the upgrade begins comes first.
    LeaderFirst,
    /// The controller that leads when the upgrade begins comes last.
    LeaderLast,
    /// As listed.
    Listed(Vec<usize>),
}

/// What happens at a write of the shard map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardMapFault {
    /// The writer crashes after the write took effect, before it receives the response.
    Crash,
    /// The write gets no answer and takes effect late, perhaps after newer ones.
    Late,
}

/// A cut in both directions between a machine and one or all controllers.
fn machine_cut(machine: MachineId, from: Endpoint, hold: bool) -> ActiveFault {
    let manner = if hold {
        CutManner::Held
    } else {
        CutManner::Silent
    };
    ActiveFault::Cut {
        a: Endpoint::Machine(machine),
        b: from,
        manner,
        direction: Direction::Both,
    }
}

impl World {
    /// The controllers that a scenario names.
    fn controllers_of(&self, who: &Endpoint) -> Vec<usize> {
        match who {
            Endpoint::Node(node) => vec![*node],
            Endpoint::Leader => self.leader().into_iter().collect(),
            _ => (0..self.nodes.len()).collect(),
        }
    }

    /// The machine that a scenario names by a number, among those that exist now.
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

    /// Begins a fault.
    pub(super) fn fault(&mut self, fault: Fault) {
        self.note(format!("fault {fault:?}"));
        match fault {
            Fault::Crash { .. }
            | Fault::RollingRestart { .. }
            | Fault::Freeze { .. }
            | Fault::Upgrade { .. }
            | Fault::Downgrade { .. } => self.process_fault(fault),
            Fault::MachineDies { .. }
            | Fault::TerminationNotice { .. }
            | Fault::MachineHangs { .. }
            | Fault::NextCommands { .. } => self.machine_fault(fault),
            Fault::AtShardMapWrite { nth, fault } => {
                self.shard_map_fault = Some((nth.max(1), fault));
            }
            Fault::UnusualRequests { seconds } => {
                let until = self.now + seconds;
                self.after(0.0, Event::UnusualRequest { until });
            }
            Fault::Condition { .. }
            | Fault::Machine { .. }
            | Fault::Refuse { .. }
            | Fault::Cut { .. }
            | Fault::Slow { .. }
            | Fault::MachineCut { .. }
            | Fault::MachineCutFrom { .. }
            | Fault::ZoneCut { .. } => self.lasting_fault(fault),
        }
    }

    /// Faults of controllers' processes.
    fn process_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash { who, back_after } => {
                for node in self.controllers_of(&who) {
                    self.crash(node, back_after.unwrap_or(RESTART_S));
                }
            }
            Fault::RollingRestart { every } => {
                for node in 0..self.nodes.len() {
                    let crash = Fault::Crash {
                        who: Endpoint::Node(node),
                        back_after: Some(RESTART_S),
                    };
                    self.after(every * node as f64, Event::Fault(crash));
                }
            }
            Fault::Freeze { who, seconds } => {
                for node in self.controllers_of(&who) {
                    let until = self.now + seconds;
                    self.nodes[node].frozen_until = until;
                    let epoch = self.nodes[node].epoch;
                    self.at(until, Event::Resume { node, epoch });
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
                for node in self.controllers_of(&who) {
                    self.previous_version_nodes.insert(node);
                    self.crash(node, RESTART_S);
                }
            }
            other => unreachable!("{other:?} is no fault of a process"),
        }
    }

    /// Faults that change a machine at once.
    fn machine_fault(&mut self, fault: Fault) {
        match fault {
            Fault::MachineDies { which } => {
                if let Some(machine) = self.machine_at(which) {
                    self.users.starts_on_removed += self.workers[&machine].starts;
                    self.workers.remove(&machine);
                    self.cloud.died(&machine, self.now + UNLISTED_AFTER_S);
                }
            }
            Fault::TerminationNotice { which, seconds } => {
                if let Some(machine) = self.machine_at(which) {
                    self.notice(&machine, seconds);
                }
            }
            Fault::MachineHangs { which, seconds } => {
                let until = self.now + seconds;
                if let Some(id) = self.machine_at(which)
                    && let Some(worker) = self.workers.get_mut(&id)
                {
                    worker.hung_until = until;
                }
            }
            Fault::NextCommands { which, fates } => {
                if let Some(machine) = self.machine_at(which) {
                    self.network.set_next_command_fates(machine, fates);
                }
            }
            other => unreachable!("{other:?} is no fault of a machine"),
        }
    }

    /// Faults of the network and the services, which last for some seconds.
    fn lasting_fault(&mut self, fault: Fault) {
        let (seconds, active) = self.active_faults(fault);
        for fault in active {
            let id = self.network.add(self.now, self.now + seconds, fault);
            self.after(seconds, Event::FaultEnds(id));
        }
    }

    /// What a lasting fault consists of, and how many seconds it lasts.
    fn active_faults(&self, fault: Fault) -> (f64, Vec<ActiveFault>) {
        let machine = |which| self.machine_at(which).into_iter();
        match fault {
            Fault::Condition { condition, seconds } => {
                (seconds, vec![ActiveFault::Condition(condition)])
            }
            Fault::Machine {
                which,
                condition,
                seconds,
            } => {
                let active = machine(which).map(|id| ActiveFault::Machine(id, condition));
                (seconds, active.collect())
            }
            Fault::Refuse { who, seconds } => {
                let nodes = self.controllers_of(&who).into_iter();
                (seconds, nodes.map(ActiveFault::Refuse).collect())
            }
            Fault::Cut {
                who,
                from,
                seconds,
                manner,
                direction,
            } => {
                let cut = |node| ActiveFault::Cut {
                    a: Endpoint::Node(node),
                    b: from.clone(),
                    manner,
                    direction,
                };
                let nodes = self.controllers_of(&who).into_iter();
                (seconds, nodes.map(cut).collect())
            }
            Fault::Slow {
                who,
                pause,
                seconds,
            } => {
                let nodes = self.controllers_of(&who).into_iter();
                let slow = nodes.map(|node| ActiveFault::Slow { node, pause });
                (seconds, slow.collect())
            }
            Fault::MachineCut {
                which,
                seconds,
                hold,
            } => {
                let cut = machine(which).map(|id| machine_cut(id, Endpoint::AllNodes, hold));
                (seconds, cut.collect())
            }
            Fault::MachineCutFrom {
                which,
                node,
                seconds,
            } => {
                let cut = machine(which).map(|id| machine_cut(id, Endpoint::Node(node), false));
                (seconds, cut.collect())
            }
            Fault::ZoneCut {
                zone,
                seconds,
                hold,
            } => {
                let in_zone = |id: &&MachineId| {
                    let owned = self.cloud.get(id);
                    owned.is_some_and(|owned| owned.zone.as_str() == zone)
                };
                let ids = self.workers.keys().filter(in_zone).cloned();
                let cuts = ids.map(|id| machine_cut(id, Endpoint::AllNodes, hold));
                (seconds, cuts.collect())
            }
            other => unreachable!("{other:?} does not last"),
        }
    }

    /// Seconds until a duplicate of a heartbeat arrives, if one does.
    pub(super) fn duplicate_delay(&mut self) -> Option<f64> {
        (self.network.has(Condition::DuplicateHeartbeats) && self.rng.random_bool(DUPLICATED_PART))
            .then(|| self.rng.random_range(0.5..LEASE_S * 2.5))
    }
}
