//! The faults that scenarios can inject, and how each begins.

use super::commands::CommandOutcome;
use super::network::{ActiveFault, CutManner, Direction, Endpoint};
use super::{Event, LEASE_S, RESTART_DELAY_S, World};
use ochredrum::ids::MachineId;
use rand::Rng;

/// Seconds after the death of a machine until the cloud stops listing it.
const UNLIST_DELAY_S: f64 = 30.0;
/// Probability that a heartbeat is delivered twice under [`Condition::DuplicateHeartbeats`].
const DUPLICATED_PROBABILITY: f64 = 0.3;

/// A fault as specified by a scenario. A `machine_index` is an index into the running workers, modulo their
/// number.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Controllers crash.
    Crash {
        target: Endpoint,
        /// Seconds until they are restarted; `RESTART_DELAY_S` if absent.
        restart_delay_s: Option<f64>,
    },
    /// All controllers are restarted one after another, at this interval.
    RollingRestart { interval_s: f64 },
    /// A condition of the whole deployment.
    Condition { condition: Condition, seconds: f64 },
    /// A condition of one machine.
    Machine {
        machine_index: usize,
        condition: MachineCondition,
        seconds: f64,
    },
    /// The store refuses the requests of single controllers.
    Refuse { target: Endpoint, seconds: f64 },
    /// Messages between controllers and other participants are blocked.
    Cut {
        target: Endpoint,
        from: Endpoint,
        seconds: f64,
        manner: CutManner,
        direction: Direction,
    },
    /// Controllers run only once every `pause` seconds, as on an overloaded host.
    Slow {
        target: Endpoint,
        pause: f64,
        seconds: f64,
    },
    /// A machine and all tasks on it stop without notice.
    MachineDies { machine_index: usize },
    /// Messages between a machine and all controllers are blocked.
    MachineCut {
        machine_index: usize,
        seconds: f64,
        hold_messages: bool,
    },
    /// Messages between a machine and one controller are blocked.
    MachineCutFrom {
        machine_index: usize,
        node: usize,
        seconds: f64,
    },
    /// A machine receives notice that the cloud will terminate it after this many seconds.
    TerminationNotice { machine_index: usize, seconds: f64 },
    /// A machine executes nothing for a while. It loses its tasks if its lease expires meanwhile.
    MachineHangs { machine_index: usize, seconds: f64 },
    /// Messages between the machines of a zone and all controllers are blocked.
    ZoneCut {
        zone: String,
        seconds: f64,
        hold_messages: bool,
    },
    /// The processes of controllers are paused while their clocks continue.
    Pause { target: Endpoint, seconds: f64 },
    /// A fault occurs at the `nth` write of the shard map from now.
    AtShardMapWrite { nth: usize, fault: ShardMapFault },
    /// Sets the outcomes of the next messages of direct commands to a machine, in order.
    NextCommands {
        machine_index: usize,
        outcomes: Vec<CommandOutcome>,
    },
    /// Users send requests that are malformed, impossible or unusual in form.
    UnusualRequests { seconds: f64 },
    /// Controllers crash in batches and are restarted with the present version.
    Upgrade {
        interval_s: f64,
        order: UpgradeOrder,
        /// Number of controllers that are upgraded at once.
        batch_size: usize,
    },
    /// Controllers crash and are restarted with the previous version.
    Downgrade { target: Endpoint },
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
    /// Some heartbeats arrive a second time, from half a second to two and a half lease durations later.
    DuplicateHeartbeats,
    /// Copies of heartbeats are recorded and sent to every controller once the leader changes.
    ReplayToNextLeader,
    /// Some direct commands to any machine are refused at once.
    RefusedCommands,
    /// Some direct commands get no answer and take effect later, perhaps after newer ones.
    LateCommands,
    /// Some direct commands take effect at once, but their responses are lost.
    LostCommandResponses,
    /// Of some messages of every kind a copy arrives once more, up to minutes later.
    LateCopies,
    /// The responses to some reads of the store are late.
    LateReads,
    /// New machines boot within two seconds.
    FastBoots,
    /// Users poll all controllers and repeat their submissions right after an acceptance or a final state was
    /// reported.
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
    /// By index.
    Ascending,
    /// By index, the last one first.
    Descending,
    /// The controller that leads when the upgrade begins comes first.
    LeaderFirst,
    /// The controller that leads when the upgrade begins comes last.
    LeaderLast,
    /// In the listed order, which may omit controllers.
    Listed(Vec<usize>),
}

/// A fault at a write of the shard map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShardMapFault {
    /// The writer crashes after the write took effect and before it receives the response.
    Crash,
    /// The write gets no answer and takes effect late, perhaps after newer ones.
    Late,
    /// The write takes effect and is answered. The responses to the writer's reads are lost for a while after it.
    LostReads {
        /// How long they are lost, in seconds.
        seconds: f64,
    },
}

/// Blocks messages in both directions between a machine and one or all controllers.
fn machine_cut(machine: MachineId, from: Endpoint, hold_messages: bool) -> ActiveFault {
    let manner = if hold_messages {
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
    /// The indices of the controllers that a fault targets.
    fn controllers_of(&self, target: &Endpoint) -> Vec<usize> {
        match target {
            Endpoint::Node(node) => vec![*node],
            Endpoint::Leader => self.leader().into_iter().collect(),
            _ => (0..self.nodes.len()).collect(),
        }
    }

    /// The running worker's machine at an index, modulo the number of workers.
    fn machine_at(&self, index: usize) -> Option<MachineId> {
        self.workers
            .keys()
            .nth(index % self.workers.len().max(1))
            .cloned()
    }

    /// The indices of the controllers in the order of their upgrade.
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

    /// Logs and begins a fault. A fault at a later event, such as a shard map write, is only prepared.
    pub(super) fn begin_fault(&mut self, fault: Fault) {
        self.log_event(format!("fault {fault:?}"));
        match fault {
            Fault::Crash { .. }
            | Fault::RollingRestart { .. }
            | Fault::Pause { .. }
            | Fault::Upgrade { .. }
            | Fault::Downgrade { .. } => self.begin_process_fault(fault),
            Fault::MachineDies { .. }
            | Fault::TerminationNotice { .. }
            | Fault::MachineHangs { .. }
            | Fault::NextCommands { .. } => self.begin_machine_fault(fault),
            Fault::AtShardMapWrite { nth, fault } => {
                self.shard_map_fault = Some((nth.max(1), fault));
            }
            Fault::UnusualRequests { seconds } => {
                let until = self.now + seconds;
                self.schedule_after(0.0, Event::UnusualRequest { until });
            }
            Fault::Condition { .. }
            | Fault::Machine { .. }
            | Fault::Refuse { .. }
            | Fault::Cut { .. }
            | Fault::Slow { .. }
            | Fault::MachineCut { .. }
            | Fault::MachineCutFrom { .. }
            | Fault::ZoneCut { .. } => self.begin_lasting_fault(fault),
        }
    }

    /// Begins a fault of controllers' processes.
    fn begin_process_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash {
                target,
                restart_delay_s,
            } => {
                for node in self.controllers_of(&target) {
                    self.crash(node, restart_delay_s.unwrap_or(RESTART_DELAY_S));
                }
            }
            Fault::RollingRestart { interval_s } => {
                for node in 0..self.nodes.len() {
                    let crash = Fault::Crash {
                        target: Endpoint::Node(node),
                        restart_delay_s: Some(RESTART_DELAY_S),
                    };
                    self.schedule_after(interval_s * node as f64, Event::Fault(crash));
                }
            }
            Fault::Pause { target, seconds } => {
                for node in self.controllers_of(&target) {
                    let until = self.now + seconds;
                    self.nodes[node].paused_until = until;
                    let epoch = self.nodes[node].epoch;
                    self.schedule_at(until, Event::Resume { node, epoch });
                }
            }
            Fault::Upgrade {
                interval_s,
                order,
                batch_size,
            } => {
                let nodes = self.upgrade_order(&order);
                self.log_event(format!("upgrades {nodes:?}, led by {:?}", self.leader()));
                for (place, node) in nodes.into_iter().enumerate() {
                    let turn = (place / batch_size) as f64;
                    self.schedule_after(interval_s * turn, Event::Upgrade { node });
                }
            }
            Fault::Downgrade { target } => {
                for node in self.controllers_of(&target) {
                    self.previous_version_nodes.insert(node);
                    self.crash(node, RESTART_DELAY_S);
                }
            }
            other => unreachable!("{other:?} is not a fault of a process"),
        }
    }

    /// Begins a fault that changes a machine at once.
    fn begin_machine_fault(&mut self, fault: Fault) {
        match fault {
            Fault::MachineDies { machine_index } => {
                if let Some(machine) = self.machine_at(machine_index) {
                    self.users.starts_on_removed_machines += self.workers[&machine].starts;
                    self.workers.remove(&machine);
                    self.cloud
                        .stop_listing_from(&machine, self.now + UNLIST_DELAY_S);
                }
            }
            Fault::TerminationNotice {
                machine_index,
                seconds,
            } => {
                if let Some(machine) = self.machine_at(machine_index) {
                    self.give_termination_notice(&machine, seconds);
                }
            }
            Fault::MachineHangs {
                machine_index,
                seconds,
            } => {
                let until = self.now + seconds;
                if let Some(id) = self.machine_at(machine_index)
                    && let Some(worker) = self.workers.get_mut(&id)
                {
                    worker.hung_until = until;
                }
            }
            Fault::NextCommands {
                machine_index,
                outcomes,
            } => {
                if let Some(machine) = self.machine_at(machine_index) {
                    self.network.set_next_command_outcomes(machine, outcomes);
                }
            }
            other => unreachable!("{other:?} is not a fault of a machine"),
        }
    }

    /// Begins a fault that lasts for some seconds.
    fn begin_lasting_fault(&mut self, fault: Fault) {
        let (seconds, active) = self.active_faults(fault);
        for fault in active {
            let id = self.network.add(self.now, self.now + seconds, fault);
            self.schedule_after(seconds, Event::FaultEnds(id));
        }
    }

    /// The duration in seconds of a lasting fault, and the active faults of which it consists.
    fn active_faults(&self, fault: Fault) -> (f64, Vec<ActiveFault>) {
        let machine = |index| self.machine_at(index).into_iter();
        match fault {
            Fault::Condition { condition, seconds } => {
                (seconds, vec![ActiveFault::Condition(condition)])
            }
            Fault::Machine {
                machine_index,
                condition,
                seconds,
            } => {
                let active = machine(machine_index).map(|id| ActiveFault::Machine(id, condition));
                (seconds, active.collect())
            }
            Fault::Refuse { target, seconds } => {
                let nodes = self.controllers_of(&target).into_iter();
                (seconds, nodes.map(ActiveFault::Refuse).collect())
            }
            Fault::Cut {
                target,
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
                let nodes = self.controllers_of(&target).into_iter();
                (seconds, nodes.map(cut).collect())
            }
            Fault::Slow {
                target,
                pause,
                seconds,
            } => {
                let nodes = self.controllers_of(&target).into_iter();
                let slow = nodes.map(|node| ActiveFault::Slow { node, pause });
                (seconds, slow.collect())
            }
            Fault::MachineCut {
                machine_index,
                seconds,
                hold_messages,
            } => {
                let cut = machine(machine_index)
                    .map(|id| machine_cut(id, Endpoint::AllNodes, hold_messages));
                (seconds, cut.collect())
            }
            Fault::MachineCutFrom {
                machine_index,
                node,
                seconds,
            } => {
                let cut =
                    machine(machine_index).map(|id| machine_cut(id, Endpoint::Node(node), false));
                (seconds, cut.collect())
            }
            Fault::ZoneCut {
                zone,
                seconds,
                hold_messages,
            } => {
                let in_zone = |id: &&MachineId| {
                    let rented = self.cloud.get(id);
                    rented.is_some_and(|rented| rented.zone.as_str() == zone)
                };
                let ids = self.workers.keys().filter(in_zone).cloned();
                let cuts = ids.map(|id| machine_cut(id, Endpoint::AllNodes, hold_messages));
                (seconds, cuts.collect())
            }
            other => unreachable!("{other:?} is not a lasting fault"),
        }
    }

    /// Draws the seconds until a duplicate of a heartbeat arrives; `None` if it is not duplicated.
    pub(super) fn draw_duplicate_delay(&mut self) -> Option<f64> {
        (self.network.has(Condition::DuplicateHeartbeats)
            && self.rng.random_bool(DUPLICATED_PROBABILITY))
        .then(|| self.rng.random_range(0.5..LEASE_S * 2.5))
    }
}
