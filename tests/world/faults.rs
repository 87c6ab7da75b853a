//! The faults that a scenario can ask for, and how they begin.

use super::commands::CommandOutcome;
use super::network::{ActiveFault, CutManner, Direction, Endpoint};
use super::{Event, LEASE_S, RESTART_DELAY_S, World};
use ochredrum::ids::MachineId;
use rand::Rng;

/// Seconds until the cloud no longer lists a machine that died.
const UNLIST_DELAY_S: f64 = 30.0;
/// Part of the heartbeats that arrive a second time while heartbeats are duplicated.
const DUPLICATED_PROBABILITY: f64 = 0.3;

/// A fault as a scenario asks for it.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Controllers crash.
    Crash {
        target: Endpoint,
        /// Seconds until they are restarted; the default if absent.
        restart_delay_s: Option<f64>,
    },
    /// All controllers are restarted, one every this many seconds.
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
    /// Controllers are cut from other participants.
    Cut {
        target: Endpoint,
        from: Endpoint,
        seconds: f64,
        manner: CutManner,
        direction: Direction,
    },
    /// The process runs only once every `pause` seconds, as on an overloaded host.
    Slow {
        target: Endpoint,
        pause: f64,
        seconds: f64,
    },
    /// A machine stops with everything on it, without notice.
    MachineDies { machine_index: usize },
    /// A machine and all controllers do not reach each other.
    MachineCut {
        machine_index: usize,
        seconds: f64,
        hold_messages: bool,
    },
    /// A machine and one controller do not reach each other.
    MachineCutFrom {
        machine_index: usize,
        node: usize,
        seconds: f64,
    },
    /// A spot machine receives notice that it will be taken away after this many seconds.
    TerminationNotice { machine_index: usize, seconds: f64 },
    /// A machine executes nothing for a while, and then continues if its lease allows.
    MachineHangs { machine_index: usize, seconds: f64 },
    /// The machines of a zone reach no controller.
    ZoneCut {
        zone: String,
        seconds: f64,
        hold_messages: bool,
    },
    /// The process is paused while its clocks continue.
    Pause { target: Endpoint, seconds: f64 },
    /// Something happens at the `nth` write of the shard map from now.
    AtShardMapWrite { nth: usize, fault: ShardMapFault },
    /// The fates of the next messages of direct commands to a machine, in order.
    NextCommands {
        machine_index: usize,
        outcomes: Vec<CommandOutcome>,
    },
    /// Users send requests that are malformed, impossible or unusual in form.
    UnusualRequests { seconds: f64 },
    /// Controllers crash in turn and return with the present version.
    Upgrade {
        interval_s: f64,
        order: UpgradeOrder,
        /// How many are upgraded at once.
        batch_size: usize,
    },
    /// Controllers crash and return with the previous version.
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
    /// The controllers that a scenario names.
    fn controllers_of(&self, target: &Endpoint) -> Vec<usize> {
        match target {
            Endpoint::Node(node) => vec![*node],
            Endpoint::Leader => self.leader().into_iter().collect(),
            _ => (0..self.nodes.len()).collect(),
        }
    }

    /// The machine that a scenario names by a number, among those that exist now.
    fn machine_at(&self, index: usize) -> Option<MachineId> {
        self.workers
            .keys()
            .nth(index % self.workers.len().max(1))
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

    /// Faults of controllers' processes.
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
            other => unreachable!("{other:?} is no fault of a process"),
        }
    }

    /// Faults that change a machine at once.
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
            other => unreachable!("{other:?} is no fault of a machine"),
        }
    }

    /// Faults of the network and the services, which last for some seconds.
    fn begin_lasting_fault(&mut self, fault: Fault) {
        let (seconds, active) = self.active_faults(fault);
        for fault in active {
            let id = self.network.add(self.now, self.now + seconds, fault);
            self.schedule_after(seconds, Event::FaultEnds(id));
        }
    }

    /// What a lasting fault consists of, and how many seconds it lasts.
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
            other => unreachable!("{other:?} does not last"),
        }
    }

    /// Seconds until a duplicate of a heartbeat arrives, if one does.
    pub(super) fn duplicate_delay(&mut self) -> Option<f64> {
        (self.network.has(Condition::DuplicateHeartbeats)
            && self.rng.random_bool(DUPLICATED_PROBABILITY))
        .then(|| self.rng.random_range(0.5..LEASE_S * 2.5))
    }
}
