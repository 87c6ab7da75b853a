//! Reads scenarios and plays them. Their form is told in `scenario.pest`; what does not keep to it is refused with
//! its line and column.

use super::world::{
    CommandFate, CutManner, Direction, Endpoint, Event, FAILS_IMMEDIATELY, Fault, Limits,
    ShardMapFault, UpgradeOrder, World, grants_on,
};
use ochredrum::ids::{Image, Team};
use ochredrum::wire::{JobSpec, Kind, Priority};
use pest::Parser;

/// The grammar of scenarios.
#[derive(pest_derive::Parser)]
#[grammar = "../tests/script/scenario.pest"]
struct ScenarioParser;

/// The words of each statement.
pub fn statements(text: &str) -> Result<Vec<Vec<&str>>, Box<pest::error::Error<Rule>>> {
    let scenario = ScenarioParser::parse(Rule::scenario, text)?;
    let statements = scenario
        .flatten()
        .filter(|pair| pair.as_rule() == Rule::statement);
    Ok(statements
        .map(|pair| pair.as_str().split_whitespace().collect())
        .collect())
}

pub fn spec(kind: Kind, tasks: u32) -> JobSpec {
    JobSpec {
        class: if kind == Kind::Service {
            "chat".into()
        } else {
            "batch".into()
        },
        team: Team::from("red"),
        kind,
        priority: if kind == Kind::Service {
            Priority::Production
        } else {
            Priority::Normal
        },
        tasks,
        cpus: 4.0,
        gpus: 2.0,
        memory_gb: 16.0,
        image: Image::from("img"),
        image_gb: 8.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 20.0,
        checkpoint_interval_s: if kind == Kind::Service { 0.0 } else { 5.0 },
        checkpoint_write_s: if kind == Kind::Service { 0.0 } else { 2.0 },
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

fn who(word: &str) -> Endpoint {
    match word {
        "leader" => Endpoint::Leader,
        "all" => Endpoint::AllNodes,
        "state" => Endpoint::State,
        "cloud" => Endpoint::Cloud,
        "workers" => Endpoint::Workers,
        "state+siblings" => Endpoint::StateAndSiblings,
        "everyone" => Endpoint::Everyone,
        node => match node.strip_prefix('n').and_then(|n| n.parse().ok()) {
            Some(node) => Endpoint::Node(node),
            None => panic!("who is {word:?}?"),
        },
    }
}

fn number(word: Option<&&str>) -> f64 {
    match word.and_then(|w| w.parse().ok()) {
        Some(number) => number,
        None => panic!("a number is missing: {word:?}"),
    }
}

/// `job array|gang|service TASKS [run=S] [gpus=N] [team=blue] [after=1,2] [spot] [spread] [broken] …`
fn job(words: &[&str]) -> (JobSpec, f64) {
    let kind = match words[0] {
        "array" => Kind::Array,
        "gang" => Kind::Gang,
        "service" => Kind::Service,
        other => panic!("kind {other:?}?"),
    };
    let mut job = spec(kind, number(words.get(1)) as u32);
    let mut run_s = 20.0;
    for word in &words[2..] {
        match word.split_once('=') {
            Some(("run", s)) => run_s = number(Some(&s)),
            Some(("gpus", n)) => job.gpus = number(Some(&n)),
            Some(("cpus", n)) => job.cpus = number(Some(&n)),
            Some(("image", name)) => job.image = name.into(),
            // Names of types that there are none of, which make the job's record large.
            Some(("types", count)) => {
                let names = (0..number(Some(&count)) as u32).map(|n| format!("type-{n:04}").into());
                job.types = Some(std::iter::once("g8".into()).chain(names).collect());
            }
            Some(("team", name)) => job.team = name.into(),
            Some(("due", s)) => job.deadline_s = Some(number(Some(&s))),
            // Jobs are named in the order of the scenario's lines.
            Some(("after", list)) => {
                let ids = list.split(',').map(|n| number(Some(&n)));
                job.dependencies = ids.map(|n| format!("req-{n:06}").into()).collect();
            }
            Some(("zone", name)) => job.zone = Some(name.into()),
            None if *word == "spot" => job.spot = true,
            None if *word == "spread" => job.spread = true,
            None if *word == "onezone" => job.one_zone = true,
            None if *word == "broken" => run_s = FAILS_IMMEDIATELY,
            None if *word == "low" => job.priority = Priority::Low,
            None if *word == "high" => job.priority = Priority::High,
            _ => panic!("job option {word:?}?"),
        }
    }
    (job, run_s)
}

/// `last_first`, `leader_first`, `leader_last` or a list such as `2,0,1`; else as they are numbered.
fn upgrade_order(word: &str) -> UpgradeOrder {
    match word {
        "" => UpgradeOrder::Ascending,
        "last_first" => UpgradeOrder::Descending,
        "leader_first" => UpgradeOrder::LeaderFirst,
        "leader_last" => UpgradeOrder::LeaderLast,
        list => {
            let nodes = list.split(',').map(|node| number(Some(&node)) as usize);
            UpgradeOrder::Listed(nodes.collect())
        }
    }
}

/// `served`, `refused`, `unanswered` or `late=S`.
fn command_fate(word: &str) -> CommandFate {
    match word.split_once('=') {
        Some(("late", seconds)) => CommandFate::Late(number(Some(&seconds))),
        None if word == "served" => CommandFate::Served,
        None if word == "refused" => CommandFate::Refused,
        None if word == "unanswered" => CommandFate::Unanswered,
        _ => panic!("fate {word:?}?"),
    }
}

/// `hold`, `refused` or `reset`; else what is sent is lost without notice.
fn cut_manner(words: &[&str]) -> CutManner {
    match words.iter().find(|word| !matches!(**word, "in" | "out")) {
        None => CutManner::Silent,
        Some(&"hold") => CutManner::Held,
        Some(&"refused") => CutManner::Refused,
        Some(&"reset") => CutManner::Reset,
        Some(other) => panic!("manner {other:?}?"),
    }
}

/// `in`: what is sent to the one that is cut off; `out`: what it sends; else both.
fn direction(words: &[&str]) -> Direction {
    match words.iter().find(|word| matches!(**word, "in" | "out")) {
        Some(&"in") => Direction::Incoming,
        Some(_) => Direction::Outgoing,
        None => Direction::Both,
    }
}

fn fault(words: &[&str]) -> Fault {
    let rest = &words[1..];
    match words[0] {
        "crash" => {
            let back_after = rest.get(1).map(|_| number(rest.get(1)));
            Fault::Crash {
                who: who(rest[0]),
                back_after,
            }
        }
        "rolling_restart" => Fault::RollingRestart {
            every: number(rest.first()),
        },
        "outage" => Fault::Outage {
            seconds: number(rest.first()),
        },
        "cloud_outage" => Fault::CloudOutage {
            seconds: number(rest.first()),
        },
        "refuse" => Fault::Refuse {
            who: who(rest[0]),
            seconds: number(rest.get(1)),
        },
        "cut" => Fault::Cut {
            who: who(rest[0]),
            from: who(rest[1]),
            seconds: number(rest.get(2)),
            manner: cut_manner(&rest[3.min(rest.len())..]),
            direction: direction(&rest[3.min(rest.len())..]),
        },
        "slow" => Fault::Slow {
            who: who(rest[0]),
            pause: number(rest.get(1)),
            seconds: number(rest.get(2)),
        },
        "machine_dies" => Fault::MachineDies {
            which: number(rest.first()) as usize,
        },
        "machine_cut" => Fault::MachineCut {
            which: number(rest.first()) as usize,
            seconds: number(rest.get(1)),
            hold: rest.get(2) == Some(&"hold"),
        },
        "machine_cut_from" => Fault::MachineCutFrom {
            which: number(rest.first()) as usize,
            node: number(rest.get(1)) as usize,
            seconds: number(rest.get(2)),
        },
        "machine_inbound_lost" => Fault::MachineInboundLost {
            which: number(rest.first()) as usize,
            seconds: number(rest.get(1)),
        },
        "machine_faulty" => Fault::MachineFaulty {
            which: number(rest.first()) as usize,
            seconds: number(rest.get(1)),
        },
        "termination_notice" => Fault::TerminationNotice {
            which: number(rest.first()) as usize,
            seconds: number(rest.get(1)),
        },
        "machine_hangs" => Fault::MachineHangs {
            which: number(rest.first()) as usize,
            seconds: number(rest.get(1)),
        },
        "zone_cut" => Fault::ZoneCut {
            zone: rest[0].to_owned(),
            seconds: number(rest.get(1)),
            hold: rest.get(2) == Some(&"hold"),
        },
        "freeze" => Fault::Freeze {
            who: who(rest[0]),
            seconds: number(rest.get(1)),
        },
        "late_writes" => Fault::LateWrites {
            seconds: number(rest.first()),
        },
        "crash_at_map_write" => Fault::AtShardMapWrite {
            nth: number(rest.first()) as usize,
            fault: ShardMapFault::Crash,
        },
        "late_map_write" => Fault::AtShardMapWrite {
            nth: number(rest.first()) as usize,
            fault: ShardMapFault::Late,
        },
        "duplicate_heartbeats" => Fault::DuplicateHeartbeats {
            seconds: number(rest.first()),
        },
        "machine_heartbeats_lost" => Fault::MachineHeartbeatsLost {
            which: number(rest.first()) as usize,
            seconds: number(rest.get(1)),
        },
        "upgrade" => Fault::Upgrade {
            every: number(rest.first()),
            order: upgrade_order(rest.get(1).copied().unwrap_or("")),
            together: if rest.get(2) == Some(&"pairs") { 2 } else { 1 },
        },
        "downgrade" => Fault::Downgrade { who: who(rest[0]) },
        "next_commands" => Fault::NextCommands {
            which: number(rest.first()) as usize,
            fates: rest[1..].iter().map(|word| command_fate(word)).collect(),
        },
        "machine_refuses_commands" => Fault::MachineRefusesCommands {
            which: number(rest.first()) as usize,
            seconds: number(rest.get(1)),
        },
        "refused_commands" => Fault::RefusedCommands {
            seconds: number(rest.first()),
        },
        "late_commands" => Fault::LateCommands {
            seconds: number(rest.first()),
        },
        "lost_command_responses" => Fault::LostCommandResponses {
            seconds: number(rest.first()),
        },
        "lost_store_responses" => Fault::LostStoreResponses {
            seconds: number(rest.first()),
        },
        "replay_to_next_leader" => Fault::ReplayToNextLeader {
            seconds: number(rest.first()),
        },
        "fast_boots" => Fault::FastBoots {
            seconds: number(rest.first()),
        },
        "linearizability_probes" => Fault::LinearizabilityProbes {
            seconds: number(rest.first()),
        },
        "unusual_requests" => Fault::UnusualRequests {
            seconds: number(rest.first()),
        },
        "cancel_at_completion" => Fault::CancelAtCompletion {
            seconds: number(rest.first()),
        },
        other => panic!("fault {other:?}?"),
    }
}

pub fn play(text: &str) -> World {
    if std::env::var_os("SCENARIO_LOG").is_some() {
        let debug = tracing_subscriber::fmt().with_max_level(tracing::Level::DEBUG);
        debug.without_time().with_ansi(false).try_init().ok();
    }
    let lines = match statements(text) {
        Ok(lines) => lines,
        Err(error) => panic!("no scenario:\n{error}"),
    };
    let seed = lines
        .iter()
        .find(|w| w[0] == "seed")
        .map_or(1, |w| number(w.get(1)) as u64);
    let controllers = lines.iter().find(|w| w[0] == "controllers");
    let controllers = controllers.map_or(3, |w| number(w.get(1)) as usize);
    let mut world = World::new(seed, controllers);
    let mut jobs = Vec::new();
    for words in lines {
        match words[0] {
            "seed" | "controllers" => {}
            "limits" => {
                let (value_kb, txn_ops) = (number(words.get(1)), number(words.get(2)) as usize);
                world.limits = Limits {
                    value_kb,
                    txn_ops,
                    ..world.limits
                };
            }
            "next_limits" => {
                world.next_limits = Some(Limits {
                    value_kb: number(words.get(1)),
                    txn_ops: number(words.get(2)) as usize,
                    rps: number(words.get(3)),
                    write_rps: number(words.get(4)),
                });
            }
            "grants" => world.features = grants_on(),
            "detection_off" => world.features.failure_detection = None,
            "previous_version" => world.previous_version_nodes = (0..controllers).collect(),
            "machines" => world.add_machines(number(words.get(1)) as usize, false),
            "without_gpus" => world.add_machines_without_gpus(number(words.get(1)) as usize),
            "spot" => world.add_machines(number(words.get(1)) as usize, true),
            "until" => world.run(number(words.get(1))),
            "at" => {
                let at = number(words.get(1));
                match words[2] {
                    "job" => {
                        let (spec, run_s) = job(&words[3..]);
                        jobs.push(world.add_job(at, spec, run_s));
                    }
                    "cancel" => {
                        let job = jobs[number(words.get(3)) as usize - 1];
                        world.at(at, Event::Cancel { job });
                    }
                    "expect" => {
                        let job = jobs[number(words.get(3)) as usize - 1];
                        world.at(
                            at,
                            Event::Expect {
                                job,
                                what: words[4].to_owned(),
                            },
                        );
                    }
                    "limits_fall" => world.at(at, Event::LimitsFall),
                    "submit_again" => {
                        let job = jobs[number(words.get(3)) as usize - 1];
                        world.at(at, Event::Submit { job });
                    }
                    _ => world.at(at, Event::Fault(fault(&words[2..]))),
                }
            }
            other => panic!("line {other:?}?"),
        }
    }
    world.check_served();
    if world.starts() == 0 {
        world.breaks("nothing_ran", "no task was started".into());
    }
    world
}

pub fn report(name: &str, world: &World) -> Option<String> {
    if world.broken.is_empty() {
        return None;
    }
    let from = world.log.len().saturating_sub(60);
    Some(format!(
        "{name}:\n  {}\n{}",
        world.broken.join("\n  "),
        world.log[from..].join("\n")
    ))
}
