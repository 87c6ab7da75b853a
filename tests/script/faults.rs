//! Reads the faults of scenarios.

use super::parse_number;
use crate::world::{
    CommandOutcome, Condition, CutManner, Direction, Endpoint, Fault, MachineCondition,
    ShardMapFault, UpgradeOrder,
};

fn parse_endpoint(word: &str) -> Endpoint {
    match word {
        "leader" => Endpoint::Leader,
        "controllers" => Endpoint::AllNodes,
        "store" => Endpoint::Store,
        "cloud" => Endpoint::Cloud,
        "workers" => Endpoint::Workers,
        "store+siblings" => Endpoint::StoreAndSiblings,
        "everyone" => Endpoint::Everyone,
        node => match node.strip_prefix('n').and_then(|n| n.parse().ok()) {
            Some(node) => Endpoint::Node(node),
            None => panic!("unknown endpoint {word:?}"),
        },
    }
}

/// Reads `last_first`, `leader_first`, `leader_last` or a list such as `2,0,1`. An absent order is ascending.
fn parse_upgrade_order(word: &str) -> UpgradeOrder {
    match word {
        "" => UpgradeOrder::Ascending,
        "last_first" => UpgradeOrder::Descending,
        "leader_first" => UpgradeOrder::LeaderFirst,
        "leader_last" => UpgradeOrder::LeaderLast,
        list => {
            let nodes = list
                .split(',')
                .map(|node| parse_number(Some(&node)) as usize);
            UpgradeOrder::Listed(nodes.collect())
        }
    }
}

/// Reads `served`, `refused`, `unanswered`, `late=SECONDS` or `copied=SECONDS`.
fn parse_command_outcome(word: &str) -> CommandOutcome {
    match word.split_once('=') {
        Some(("late", seconds)) => CommandOutcome::Late(parse_number(Some(&seconds))),
        Some(("copied", seconds)) => CommandOutcome::Copied(parse_number(Some(&seconds))),
        None if word == "served" => CommandOutcome::Served,
        None if word == "refused" => CommandOutcome::Refused,
        None if word == "unanswered" => CommandOutcome::Unanswered,
        _ => panic!("unknown outcome of a command: {word:?}"),
    }
}

/// Reads `hold`, `refused` or `reset`. Without any of them, messages are lost silently.
fn parse_cut_manner(words: &[&str]) -> CutManner {
    match words.iter().find(|word| !matches!(**word, "in" | "out")) {
        None => CutManner::Silent,
        Some(&"hold") => CutManner::Held,
        Some(&"refused") => CutManner::Refused,
        Some(&"reset") => CutManner::Reset,
        Some(other) => panic!("unknown manner of a cut: {other:?}"),
    }
}

/// Reads the direction of a cut: `in` is traffic to the participant that is cut off, `out` is traffic from
/// it. Without either, the cut concerns both.
fn parse_direction(words: &[&str]) -> Direction {
    match words.iter().find(|word| matches!(**word, "in" | "out")) {
        Some(&"in") => Direction::Incoming,
        Some(_) => Direction::Outgoing,
        None => Direction::Both,
    }
}

/// The words after the name of a fault, by their position. An absent word is empty.
struct Arguments<'a>(&'a [&'a str]);

impl Arguments<'_> {
    fn word(&self, position: usize) -> &str {
        self.0.get(position).copied().unwrap_or("")
    }

    fn number(&self, position: usize) -> f64 {
        parse_number(self.0.get(position))
    }

    /// The number of a machine or controller, or a count.
    fn index(&self, position: usize) -> usize {
        self.number(position) as usize
    }

    fn endpoint(&self, position: usize) -> Endpoint {
        parse_endpoint(self.word(position))
    }

    fn all_from(&self, position: usize) -> &[&str] {
        self.0.get(position..).unwrap_or(&[])
    }

    fn holds_messages(&self, position: usize) -> bool {
        self.word(position) == "hold"
    }
}

/// Reads a fault from its words.
///
/// # Panics
///
/// If the words are not a fault by the grammar.
pub fn parse_fault(words: &[&str]) -> Fault {
    let (name, arguments) = (words[0], Arguments(&words[1..]));
    if let Some(condition) = parse_deployment_condition(name) {
        let seconds = arguments.number(0);
        return Fault::Condition { condition, seconds };
    }
    if let Some(condition) = parse_machine_condition(name) {
        return Fault::Machine {
            machine_index: arguments.index(0),
            condition,
            seconds: arguments.number(1),
        };
    }
    parse_process_fault(name, &arguments)
        .or_else(|| parse_machine_fault(name, &arguments))
        .or_else(|| parse_service_fault(name, &arguments))
        .unwrap_or_else(|| panic!("unknown fault {name:?}"))
}

fn parse_deployment_condition(name: &str) -> Option<Condition> {
    Some(match name {
        "store_outage" => Condition::Outage,
        "cloud_outage" => Condition::CloudOutage,
        "late_writes" => Condition::LateWrites,
        "lost_store_responses" => Condition::LostStoreResponses,
        "duplicate_heartbeats" => Condition::DuplicateHeartbeats,
        "replay_to_next_leader" => Condition::ReplayToNextLeader,
        "refused_commands" => Condition::RefusedCommands,
        "late_commands" => Condition::LateCommands,
        "lost_command_responses" => Condition::LostCommandResponses,
        "late_copies" => Condition::LateCopies,
        "fast_boots" => Condition::FastBoots,
        "linearizability_probes" => Condition::LinearizabilityProbes,
        "late_reads" => Condition::LateReads,
        "cancel_at_completion" => Condition::CancelAtCompletion,
        _ => return None,
    })
}

fn parse_machine_condition(name: &str) -> Option<MachineCondition> {
    Some(match name {
        "machine_inbound_lost" => MachineCondition::InboundLost,
        "machine_heartbeats_lost" => MachineCondition::HeartbeatsLost,
        "machine_faulty" => MachineCondition::Faulty,
        "machine_refuses_commands" => MachineCondition::RefusesCommands,
        _ => return None,
    })
}

/// Reads a fault of controllers' processes.
fn parse_process_fault(name: &str, arguments: &Arguments) -> Option<Fault> {
    Some(match name {
        "crash" => Fault::Crash {
            target: arguments.endpoint(0),
            restart_delay_s: (arguments.0.len() > 1).then(|| arguments.number(1)),
        },
        "rolling_restart" => Fault::RollingRestart {
            interval_s: arguments.number(0),
        },
        "pause" => Fault::Pause {
            target: arguments.endpoint(0),
            seconds: arguments.number(1),
        },
        "slow" => Fault::Slow {
            target: arguments.endpoint(0),
            pause: arguments.number(1),
            seconds: arguments.number(2),
        },
        "upgrade" => Fault::Upgrade {
            interval_s: arguments.number(0),
            order: parse_upgrade_order(arguments.word(1)),
            batch_size: if arguments.word(2) == "pairs" { 2 } else { 1 },
        },
        "downgrade" => Fault::Downgrade {
            target: arguments.endpoint(0),
        },
        _ => return None,
    })
}

/// Reads a fault of single machines.
fn parse_machine_fault(name: &str, arguments: &Arguments) -> Option<Fault> {
    Some(match name {
        "machine_dies" => Fault::MachineDies {
            machine_index: arguments.index(0),
        },
        "machine_cut" => Fault::MachineCut {
            machine_index: arguments.index(0),
            seconds: arguments.number(1),
            hold_messages: arguments.holds_messages(2),
        },
        "machine_cut_from" => Fault::MachineCutFrom {
            machine_index: arguments.index(0),
            node: arguments.index(1),
            seconds: arguments.number(2),
        },
        "zone_cut" => Fault::ZoneCut {
            zone: arguments.word(0).to_owned(),
            seconds: arguments.number(1),
            hold_messages: arguments.holds_messages(2),
        },
        "machine_hangs" => Fault::MachineHangs {
            machine_index: arguments.index(0),
            seconds: arguments.number(1),
        },
        "termination_notice" => Fault::TerminationNotice {
            machine_index: arguments.index(0),
            seconds: arguments.number(1),
        },
        "next_commands" => Fault::NextCommands {
            machine_index: arguments.index(0),
            outcomes: arguments
                .all_from(1)
                .iter()
                .map(|word| parse_command_outcome(word))
                .collect(),
        },
        _ => return None,
    })
}

/// Reads a fault of the store, of the network between controllers and others, or of users.
fn parse_service_fault(name: &str, arguments: &Arguments) -> Option<Fault> {
    Some(match name {
        "store_refuses" => Fault::Refuse {
            target: arguments.endpoint(0),
            seconds: arguments.number(1),
        },
        "cut" => Fault::Cut {
            target: arguments.endpoint(0),
            from: arguments.endpoint(1),
            seconds: arguments.number(2),
            manner: parse_cut_manner(arguments.all_from(3)),
            direction: parse_direction(arguments.all_from(3)),
        },
        "crash_at_map_write" => Fault::AtShardMapWrite {
            nth: arguments.index(0),
            fault: ShardMapFault::Crash,
        },
        "late_map_write" => Fault::AtShardMapWrite {
            nth: arguments.index(0),
            fault: ShardMapFault::Late,
        },
        "lost_reads_after_map_write" => Fault::AtShardMapWrite {
            nth: arguments.index(0),
            fault: ShardMapFault::LostReads {
                seconds: arguments.number(1),
            },
        },
        "unusual_requests" => Fault::UnusualRequests {
            seconds: arguments.number(0),
        },
        _ => return None,
    })
}
