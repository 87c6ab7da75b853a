//! Runs every scenario in `tests/scenarios/`, and days of random faults with fixed seeds.
//!
//! A scenario is a text file of lines: `seed N`, `controllers N`, `limits VALUE_KB TXN_OPS`,
//! `next_limits VALUE_KB TXN_OPS RPS WRITE_RPS` (told in the settings, in force from `at T limits_fall`),
//! `old` (all controllers begin with the version before), `machines N`, `spot N`, `at T WHAT …`, `until T`. `at T expect JOB running` makes sure that troubles meet.
//! All rules are checked as things happen; in the end everything asked for must be served.

mod days;
mod world;

use ochredrum::ids::{Image, Team};
use ochredrum::wire::{JobSpec, Kind, Priority};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use world::{Event, Fault, LEASE_S, Limits, MapFault, OrderFate, UpgradeOrder, Who, World};

fn spec(kind: Kind, tasks: u32) -> JobSpec {
    JobSpec {
        class: if kind == Kind::Service { "chat".into() } else { "batch".into() },
        team: Team::from("red"),
        kind,
        priority: if kind == Kind::Service { Priority::Production } else { Priority::Normal },
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
        checkpoint_s: if kind == Kind::Service { 0.0 } else { 5.0 },
        save_s: if kind == Kind::Service { 0.0 } else { 2.0 },
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

fn who(word: &str) -> Who {
    match word {
        "leader" => Who::Leader,
        "all" => Who::AllNodes,
        "state" => Who::State,
        "cloud" => Who::Cloud,
        "workers" => Who::Workers,
        "state+siblings" => Who::StateAndSiblings,
        "everyone" => Who::Everyone,
        node => match node.strip_prefix('n').and_then(|n| n.parse().ok()) {
            Some(node) => Who::Node(node),
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

/// `job array|gang|service TASKS [run=S] [gpus=N] [team=blue] [after=1,2] [spot] [spread] …`
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
fn order_fate(word: &str) -> OrderFate {
    match word.split_once('=') {
        Some(("late", seconds)) => OrderFate::Late(number(Some(&seconds))),
        None if word == "served" => OrderFate::Served,
        None if word == "refused" => OrderFate::Refused,
        None if word == "unanswered" => OrderFate::Unanswered,
        _ => panic!("fate {word:?}?"),
    }
}

fn fault(words: &[&str]) -> Fault {
    let rest = &words[1..];
    match words[0] {
        "crash" => {
            let back_after = rest.get(1).map(|_| number(rest.get(1)));
            Fault::Crash { who: who(rest[0]), back_after }
        }
        "roll" => Fault::Roll { every: number(rest.first()) },
        "outage" => Fault::Outage { seconds: number(rest.first()) },
        "cloud_outage" => Fault::CloudOutage { seconds: number(rest.first()) },
        "refuse" => Fault::Refuse { who: who(rest[0]), seconds: number(rest.get(1)) },
        "cut" => Fault::Cut {
            who: who(rest[0]),
            from: who(rest[1]),
            seconds: number(rest.get(2)),
            hold: rest.get(3) == Some(&"hold"),
        },
        "machine_dies" => Fault::MachineDies { which: number(rest.first()) as usize },
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
        "machine_deaf" => Fault::MachineDeaf {
            which: number(rest.first()) as usize,
            seconds: number(rest.get(1)),
        },
        "machine_faulty" => Fault::MachineFaulty {
            which: number(rest.first()) as usize,
            seconds: number(rest.get(1)),
        },
        "notice" => Fault::MachineNotice {
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
        "freeze" => Fault::Freeze { who: who(rest[0]), seconds: number(rest.get(1)) },
        "late_writes" => Fault::LateWrites { seconds: number(rest.first()) },
        "crash_at_map_write" => {
            Fault::AtMapWrite { nth: number(rest.first()) as usize, fault: MapFault::Crash }
        }
        "late_map_write" => {
            Fault::AtMapWrite { nth: number(rest.first()) as usize, fault: MapFault::Late }
        }
        "copies" => Fault::Copies { seconds: number(rest.first()) },
        "machine_mute" => Fault::MachineMute {
            which: number(rest.first()) as usize,
            seconds: number(rest.get(1)),
        },
        "upgrade" => Fault::Upgrade {
            every: number(rest.first()),
            order: upgrade_order(rest.get(1).copied().unwrap_or("")),
            together: if rest.get(2) == Some(&"pairs") { 2 } else { 1 },
        },
        "downgrade" => Fault::Downgrade { who: who(rest[0]) },
        "next_orders" => Fault::NextOrders {
            which: number(rest.first()) as usize,
            fates: rest[1..].iter().map(|word| order_fate(word)).collect(),
        },
        "machine_refuses" => Fault::MachineRefuses {
            which: number(rest.first()) as usize,
            seconds: number(rest.get(1)),
        },
        "refused_orders" => Fault::RefusedOrders { seconds: number(rest.first()) },
        "late_orders" => Fault::LateOrders { seconds: number(rest.first()) },
        "lost_order_answers" => Fault::LostOrderAnswers { seconds: number(rest.first()) },
        "lost_answers" => Fault::LostAnswers { seconds: number(rest.first()) },
        "copies_for_next" => Fault::CopiesForNext { seconds: number(rest.first()) },
        "instant_boots" => Fault::InstantBoots { seconds: number(rest.first()) },
        "close_looks" => Fault::CloseLooks { seconds: number(rest.first()) },
        "odd_requests" => Fault::OddRequests { seconds: number(rest.first()) },
        "cancel_at_end" => Fault::CancelAtEnd { seconds: number(rest.first()) },
        other => panic!("fault {other:?}?"),
    }
}

fn play(text: &str) -> World {
    if std::env::var_os("SCENARIO_LOG").is_some() {
        let debug = tracing_subscriber::fmt().with_max_level(tracing::Level::DEBUG);
        debug.without_time().with_ansi(false).try_init().ok();
    }
    let lines: Vec<Vec<&str>> = text
        .lines()
        .map(|line| line.split('#').next().unwrap_or("").split_whitespace().collect())
        .filter(|words: &Vec<&str>| !words.is_empty())
        .collect();
    let seed = lines.iter().find(|w| w[0] == "seed").map_or(1, |w| number(w.get(1)) as u64);
    let controllers = lines.iter().find(|w| w[0] == "controllers");
    let controllers = controllers.map_or(3, |w| number(w.get(1)) as usize);
    let mut world = World::new(seed, controllers);
    let mut jobs = Vec::new();
    for words in lines {
        match words[0] {
            "seed" | "controllers" => {}
            "limits" => {
                let (value_kb, txn_ops) = (number(words.get(1)), number(words.get(2)) as usize);
                world.limits = Limits { value_kb, txn_ops, ..world.limits };
            }
            "next_limits" => {
                world.next_limits = Some(Limits {
                    value_kb: number(words.get(1)),
                    txn_ops: number(words.get(2)) as usize,
                    rps: number(words.get(3)),
                    write_rps: number(words.get(4)),
                });
            }
            "old" => world.old = (0..controllers).collect(),
            "machines" => world.add_machines(number(words.get(1)) as usize, false),
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
                        world.at(at, Event::Expect { job, what: words[4].to_owned() });
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

fn report(name: &str, world: &World) -> Option<String> {
    if world.broken.is_empty() {
        return None;
    }
    let from = world.log.len().saturating_sub(60);
    Some(format!("{name}:\n  {}\n{}", world.broken.join("\n  "), world.log[from..].join("\n")))
}

#[test]
fn scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let only = std::env::var("SCENARIO").ok();
    let mut files: Vec<_> =
        std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.sort();
    assert!(files.len() > 10, "scenarios are there");
    let mut failures = Vec::new();
    for file in files {
        let name = file.file_stem().unwrap().to_string_lossy().into_owned();
        if only.as_ref().is_none_or(|only| *only == name) {
            let world = play(&std::fs::read_to_string(&file).unwrap());
            failures.extend(report(&name, &world));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n\n"));
}

/// The lower limits are felt: requests are refused for the rate, and the leases are kept all the same.
#[test]
fn renewals_come_first_when_the_rate_is_used_up() {
    let mut day = "seed 3\ncontrollers 5\nnext_limits 0.8 2 40 6\nmachines 12\n".to_owned();
    for job in 1..=120 {
        day += &format!("at {} job array 1 run=2 gpus=1\n", 20.0 + f64::from(job) / 20.0);
    }
    let world = play(&(day + "at 15 limits_fall\nat 18 close_looks 30\nuntil 160\n"));
    assert!(report("rate", &world).is_none(), "{}", report("rate", &world).unwrap_or_default());
    // Felt, and heeded: without pacing 3,639 requests of this day were refused.
    assert!((20..1200).contains(&world.work.state_busy), "{:?}", world.work);
    assert_eq!(world.leaderships(), 1, "the first leader kept its lease");
}

/// What odd requests there were, and that cancelled jobs begin nothing beyond what was under way.
#[test]
fn odd_requests_come_and_cancelled_jobs_start_nothing_more() {
    let world = play(include_str!("scenarios/odd_requests.txt"));
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    assert!(world.work.odd_requests > 100, "{:?}", world.work);
    assert!(world.work.starts_after_cancel <= 8, "{:?}", world.work);
}

/// The same inputs, times and seeds give the same day.
#[test]
fn a_day_repeats() {
    let day = "seed 5\nmachines 3\nat 2 job array 6\nat 9 crash leader\nuntil 80";
    let (a, b) = (play(day), play(day));
    assert_eq!(a.log, b.log);
    assert!(!a.log.is_empty());
}

/// The map of this day takes seven values, written two at a time. An owner ends; whoever hands its
/// share on ends as well, at any of those writes, or one of them is carried out late.
#[test]
fn a_hand_over_may_end_or_come_late_at_any_of_its_writes() {
    let day = |fault: &str| {
        format!(
            "controllers 5\nlimits 0.6 2\nmachines 20\nat 2 job service 6 spread\n\
             at 3 job array 12 run=25\nat 4 job gang 2 onezone run=30\n\
             at 5 job service 3 team=blue\nat 28 machine_cut 3 25 hold\n\
             at 29.9 {fault}\nat 30 crash n1 5\nat 30 crash n2 7\nuntil 200\n"
        )
    };
    let mut failures = Vec::new();
    for nth in 1..=8 {
        for fault in ["crash_at_map_write", "late_map_write"] {
            let fault = format!("{fault} {nth}");
            let world = play(&day(&fault));
            assert!(world.log.iter().any(|line| line.contains("fault AtMapWrite")));
            failures.extend(report(&fault, &world));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n\n"));
}

/// One-task jobs, four a second for two minutes, a quarter of them called off within seconds, while the
/// leader ends and the state service is out for a while.
#[test]
fn a_flood_of_one_task_jobs_is_served() {
    let mut day = "seed 6\nmachines 16\nat 60 crash leader 2\nat 80 outage 6\n".to_owned();
    for job in 1..=480 {
        let at = 5.0 + f64::from(job) / 4.0;
        day += &format!("at {at} job array 1 run={} gpus=1\n", 1 + job % 7);
        if job % 4 == 0 {
            day += &format!("at {} cancel {job}\n", at + f64::from(job % 5));
        }
    }
    day += "at 4 close_looks 130\nat 4 cancel_at_end 130\nuntil 240\n";
    let world = play(&day);
    assert!(report("flood", &world).is_none(), "{}", report("flood", &world).unwrap_or_default());
    // Created, done or cancelled, and perhaps progress in between; the rest is leases and syncs.
    assert!(world.work.state_bytes / 480 < 1500, "{:?}", world.work);
}

/// What ten more tasks cost on a fleet of this many machines, most of which run two replicas.
fn cost_of_ten_tasks(machines: usize) -> world::Work {
    let text = format!(
        "controllers 5\nmachines {machines}\nat 2 job service {} gpus=3\nuntil 40",
        machines * 2 - 4
    );
    let mut world = play(&text);
    let before = world.work;
    for _ in 0..5 {
        world.add_job(world.now + 1.0, spec(Kind::Service, 2), 0.0);
    }
    world.run(world.now + 20.0);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    world::Work {
        state_requests: world.work.state_requests - before.state_requests,
        state_bytes: world.work.state_bytes - before.state_bytes,
        mesh_bytes: world.work.mesh_bytes - before.mesh_bytes,
        orders: world.work.orders - before.orders,
        state_busy: world.work.state_busy - before.state_busy,
        ..Default::default()
    }
}

/// The same change costs the same state requests on a fleet four times as large; what controllers
/// tell one another grows with the fleet at most (the state of a share is told whole).
#[test]
fn work_grows_with_what_changes() {
    let (small, large) = (cost_of_ten_tasks(275), cost_of_ten_tasks(1100));
    println!("{small:?}\n{large:?}");
    assert!(small.state_requests > 0 && small.orders > 0 && small.mesh_bytes > 0);
    let grew = |what: fn(&world::Work) -> usize| what(&large) as f64 / what(&small) as f64;
    assert!(grew(|w| w.state_requests) <= 1.2, "{small:?} {large:?}");
    assert!(grew(|w| w.state_bytes) <= 1.5, "{small:?} {large:?}");
    assert!(grew(|w| w.mesh_bytes) <= 4.0, "{small:?} {large:?}");
    assert!(grew(|w| w.orders) <= 1.5, "{small:?} {large:?}");
}

/// What a fan of three hundred jobs, two chains of a hundred and their ends cost on a fleet of this
/// many machines, most of which run two replicas: attempts and jobs looked at, rounds of placement,
/// and seconds played.
fn cost_of_pipelines(machines: usize) -> (u64, u64, f64) {
    let replicas = machines * 2 - 60;
    let text =
        format!("controllers 5\nmachines {machines}\nat 2 job service {replicas} gpus=3\nuntil 40");
    let mut world = play(&text);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    let (began, before) = (world.now, world.core_work());
    let mut small = spec(Kind::Array, 1);
    small.gpus = 1.0;
    let root = world.add_job(began + 0.1, small.clone(), 4.0);
    let mut last = [root, root];
    for number in 0..500 {
        let needed = if number < 300 { root } else { last[number % 2] };
        let job = JobSpec { dependencies: vec![world.job_id(needed)], ..small.clone() };
        let added = world.add_job(began + 1.0 + number as f64 * 0.05, job, 1.0);
        if number >= 300 {
            last[number % 2] = added;
        }
    }
    world.run(began + 400.0);
    world.check_served();
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    let after = world.core_work();
    (after.0 - before.0, after.1 - before.1, world.now - began)
}

/// What happens to jobs costs in proportion to those jobs and their tasks, not to the fleet or to the
/// width of what waits. Rounds of placement, which look at the whole share, are bounded by time.
#[test]
fn pipelines_cost_what_they_change() {
    let (small, large) = (cost_of_pipelines(240), cost_of_pipelines(1100));
    println!("{small:?} {large:?}");
    let (visits, more_visits) = (small.0 as f64, large.0 as f64);
    assert!(visits > 500.0 && visits < 501.0 * 100.0, "{small:?}");
    assert!(more_visits < visits * 1.3, "{small:?} {large:?}");
    for (_, rounds, seconds) in [small, large] {
        // At most one in a four-hundredth of a lease, on each of five controllers.
        assert!((rounds as f64) < seconds * 400.0 / LEASE_S * 5.0, "{rounds} in {seconds} s");
    }
}

/// A day of random work and overlapping faults, calm in its last part.
fn random_day(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut day = format!("seed {seed}\nmachines {}\nspot 2\n", rng.random_range(4..7));
    // Two days in five as a larger deployment has it.
    let controllers = if matches!(seed % 5, 2 | 4) { 5 } else { 3 };
    day += &format!("controllers {controllers}\n");
    for _ in 0..rng.random_range(6..12) {
        let at = rng.random_range(1..100);
        let kind = ["array", "array", "gang", "service"][rng.random_range(0..4)];
        let tasks = if kind == "gang" { rng.random_range(1..4) } else { rng.random_range(1..7) };
        // Services of the limited team would keep its other work from ever running.
        let team = if kind == "service" { "red" } else { ["red", "blue"][rng.random_range(0..2)] };
        let mut options = Vec::new();
        if kind == "gang" {
            options.push("onezone");
        } else if kind == "array" && rng.random_bool(0.5) {
            options.push("spot");
        } else if kind == "service" && rng.random_bool(0.5) {
            options.push("spread");
        }
        let run = rng.random_range(3..40);
        let options = options.join(" ");
        day += &format!("at {at} job {kind} {tasks} run={run} team={team} {options}\n");
    }
    for job in 1..4 {
        if rng.random_bool(0.4) {
            day += &format!("at {} cancel {job}\n", rng.random_range(101..140));
        }
    }
    for _ in 0..rng.random_range(3..8) {
        let at = rng.random_range(5..130);
        let s = rng.random_range(2..25);
        let who = ["leader", "n0", "n1", "n2"][rng.random_range(0..4)];
        let hold = ["", "hold"][rng.random_range(0..2)];
        let which = rng.random_range(0..6);
        let fault = match rng.random_range(0..16) {
            0 => format!("crash {who} {:.1}", rng.random_range(0.2..8.0)),
            1 => format!("crash all {:.1}", rng.random_range(0.2..8.0)),
            2 => format!("roll {}", rng.random_range(3..12)),
            3 | 4 => format!("outage {s}"),
            5 => format!("cloud_outage {s}"),
            6 => format!("refuse {who} {s}"),
            7 => format!("cut {who} workers {s} {hold}"),
            8 => format!("cut {who} state {s} {hold}"),
            9 => format!("cut {who} everyone {s} {hold}"),
            10 => format!("cut {who} state+siblings {s} {hold}"),
            11 => format!("machine_dies {which}"),
            12 => format!("machine_cut {which} {s} {hold}"),
            13 => format!("machine_deaf {which} {s}"),
            14 => format!("notice {which} {}", rng.random_range(2..12)),
            _ => format!("copies {s}"),
        };
        day += &format!("at {at} {fault}\n");
    }
    day + "until 300\n"
}

/// A day on which everything that the protocol names may overlap, on a map of several values.
fn rough_day(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let controllers = if seed.is_multiple_of(2) { 5 } else { 3 };
    let machines = rng.random_range(6..16);
    let mut day = format!("seed {seed}\ncontrollers {controllers}\n");
    if rng.random_bool(0.7) {
        day += "limits 0.6 2\n";
    }
    day += &format!("machines {machines}\nspot 3\n");
    for _ in 0..rng.random_range(8..16) {
        let at = rng.random_range(1..110);
        let run = rng.random_range(3..40);
        let tasks = rng.random_range(1..7);
        let job = match rng.random_range(0..6) {
            0 | 1 => format!("array {tasks} run={run} spot team=blue"),
            2 => format!("array {tasks} run={run}"),
            3 => format!("gang {} run={run} onezone", tasks.min(3)),
            4 => format!("service {} spread", tasks.min(4)),
            _ => format!("service {}", tasks.min(3)),
        };
        day += &format!("at {at} job {job}\n");
    }
    for job in 1..6 {
        if rng.random_bool(0.3) {
            day += &format!("at {} cancel {job}\n", rng.random_range(112..140));
        }
        if rng.random_bool(0.3) {
            day += &format!("at {} submit_again {job}\n", rng.random_range(115..220));
        }
    }
    for _ in 0..rng.random_range(4..10) {
        let at = f64::from(rng.random_range(50..1300)) / 10.0;
        let s = rng.random_range(2..25);
        let who = ["leader", "n0", "n1", "n2"][rng.random_range(0..4)];
        let hold = ["", "hold"][rng.random_range(0..2)];
        let which = rng.random_range(0..machines);
        let back = f64::from(rng.random_range(2..80)) / 10.0;
        let nth = rng.random_range(1..7);
        day += &format!("at {at} ");
        day += &match rng.random_range(0..22) {
            0 => format!("crash {who} {back}\n"),
            1 => {
                let again = at + back + f64::from(rng.random_range(1..100)) / 10.0;
                format!("crash all {back}\nat {again} crash all {back}\n")
            }
            2 => format!("roll {}\n", rng.random_range(3..12)),
            3 => format!("outage {s}\n"),
            4 => format!("cloud_outage {s}\n"),
            5 => format!("refuse {who} {s}\n"),
            6 => format!("cut {who} workers {s} {hold}\n"),
            7 => format!("cut {who} state {s} {hold}\n"),
            8 => format!("cut {who} everyone {s} {hold}\n"),
            9 | 10 => format!("cut {who} state+siblings {s} {hold}\n"),
            11 => format!("machine_dies {which}\n"),
            12 => format!("machine_cut {which} {s} {hold}\n"),
            13 => format!("machine_deaf {which} {s}\n"),
            14 | 15 => format!("machine_hangs {which} {s}\n"),
            16 => format!("zone_cut b {s} {hold}\n"),
            17 | 18 => format!("freeze {who} {s}\n"),
            19 => format!("late_writes {s}\n"),
            20 => {
                let fault = ["crash_at_map_write", "late_map_write"][rng.random_range(0..2)];
                format!("{fault} {nth}\nat {at} crash {who} {back}\n")
            }
            _ => format!("copies {s}\n"),
        };
    }
    day + "until 330\n"
}

/// A day of meetings: two or three troubles begin within seconds of one another, while jobs are
/// cancelled and the limited team has as much to run as it may.
fn meeting_day(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let controllers = if seed.is_multiple_of(2) { 5 } else { 3 };
    let machines = rng.random_range(7..14);
    let mut day = format!("seed {seed}\ncontrollers {controllers}\nmachines {machines}\nspot 2\n");
    let mut jobs = 0;
    let mut ending: Vec<u32> = Vec::new();
    // One in three is upgraded meanwhile; then nothing new is asked for before the end.
    let upgraded = seed.is_multiple_of(3);
    if upgraded {
        let (at, every) = (rng.random_range(10..60), rng.random_range(4..12));
        let order = ["", "last_first"][rng.random_range(0..2)];
        day += &format!("old\nat {at} upgrade {every} {order}\n");
    }
    for _ in 0..rng.random_range(14..26) {
        let at = f64::from(rng.random_range(10..1300)) / 10.0;
        let run = rng.random_range(1..60);
        let tasks = rng.random_range(1..9);
        let job = match rng.random_range(0..8) {
            0 | 1 => format!("array {tasks} run={run} spot team=blue"),
            2 => format!("array {tasks} run={run} zone=b"),
            3 => format!("gang {} run={run} onezone", tasks.min(3)),
            4 => format!("service {} spread", tasks.min(4)),
            5 => format!("array {tasks} run={run} team=blue"),
            _ => format!("array {} run={run}", tasks.min(2)),
        };
        let after = match upgraded {
            false if !ending.is_empty() && rng.random_bool(0.4) => {
                let mut needed: Vec<String> = Vec::new();
                for _ in 0..rng.random_range(1..4) {
                    needed.push(ending[rng.random_range(0..ending.len())].to_string());
                }
                format!(" after={}", needed.join(","))
            }
            _ => String::new(),
        };
        let at = if after.is_empty() { at } else { 100.0_f64.max(at) };
        day += &format!("at {at} job {job}{after}\n");
        jobs += 1;
        // Services are never named.
        ending.extend((!job.starts_with("service")).then_some(jobs));
    }
    for _ in 0..rng.random_range(2..5) {
        let at = f64::from(rng.random_range(150..1300)) / 10.0;
        let quick = f64::from(rng.random_range(0..40)) / 10.0;
        for _ in 0..rng.random_range(1..4) {
            day += &format!("at {} cancel {}\n", at + quick, rng.random_range(1..=jobs));
        }
        for _ in 0..rng.random_range(2..4) {
            let begins = at + f64::from(rng.random_range(0..60)) / 10.0;
            let s = rng.random_range(2..36);
            let who = ["leader", "n0", "n1", "n2"][rng.random_range(0..4)];
            let hold = ["", "hold"][rng.random_range(0..2)];
            let which = rng.random_range(0..machines);
            let back = f64::from(rng.random_range(2..80)) / 10.0;
            let fault = match rng.random_range(0..22) {
                0 | 1 => format!("crash {who} {back}"),
                2 => format!("crash all {back}"),
                3 => format!("outage {s}"),
                4 | 5 => format!("refuse {who} {}", s.min(14)),
                6 => format!("cut {who} workers {s} {hold}"),
                7 => format!("cut {who} state+siblings {s} {hold}"),
                8 => format!("cut {who} everyone {s} {hold}"),
                9 => format!("machine_dies {which}"),
                10 => format!("machine_cut {which} {s} {hold}"),
                11 | 12 => format!("machine_deaf {which} {s}"),
                13 => format!("machine_mute {which} {s}"),
                14 => format!("machine_hangs {which} {s}"),
                15 => format!("zone_cut b {s} {hold}"),
                16 => format!("freeze {who} {s}"),
                17 => format!("late_writes {s}"),
                18 => format!("lost_answers {s}"),
                19 => format!("copies_for_next {s}"),
                20 => format!("copies {s}"),
                _ => format!("instant_boots {s}"),
            };
            day += &format!("at {begins} {fault}\n");
        }
        day += &format!("at {at} close_looks 20\nat {at} cancel_at_end 20\n");
        if !upgraded {
            day += &format!("at {at} odd_requests 20\n");
        }
        if rng.random_bool(0.4) {
            // One controller is refused, others confirm cancellations, then the service is out for all.
            let who = ["leader", "n0", "n1"][rng.random_range(0..3)];
            let out = at + f64::from(rng.random_range(10..30)) / 10.0;
            day +=
                &format!("at {at} refuse {who} 14\nat {out} outage {}\n", rng.random_range(32..50));
            for _ in 0..3 {
                day += &format!("at {} cancel {}\n", at + 0.6, rng.random_range(1..=jobs));
            }
        }
    }
    day + "until 440\n"
}

const ORDERS_OF_THREE: [&str; 6] = ["0,1,2", "0,2,1", "1,0,2", "1,2,0", "2,0,1", "2,1,0"];

/// The order of an upgrade: each of three controllers in turn; of five the leader first or last, or
/// drawn.
fn drawn_order(seed: u64, controllers: usize, rng: &mut StdRng) -> String {
    if controllers == 3 {
        return ORDERS_OF_THREE[(seed / 2) as usize % ORDERS_OF_THREE.len()].to_owned();
    }
    match seed / 2 % 3 {
        0 => return "leader_first".into(),
        1 => return "leader_last".into(),
        _ => {}
    }
    let mut left: Vec<usize> = (0..controllers).collect();
    let mut order = Vec::new();
    while !left.is_empty() {
        order.push(left.remove(rng.random_range(0..left.len())).to_string());
    }
    order.join(",")
}

/// What goes wrong beside an upgrade that begins at `at`; the cancelled job is the first.
const UPGRADE_TROUBLES: [&str; 7] =
    ["none", "outage", "refused", "zone", "cancel", "limits", "all"];

fn upgrade_trouble(trouble: &str, at: f64, all_new: f64, rng: &mut StdRng) -> String {
    let during = at + f64::from(rng.random_range(0..100)) / 10.0;
    match trouble {
        "outage" => format!("at {during} outage {}\n", rng.random_range(5..25)),
        "refused" => format!("at {during} refuse leader {}\n", rng.random_range(4..14)),
        "zone" => format!("at {during} zone_cut b {} hold\n", rng.random_range(5..20)),
        "cancel" => format!("at {} cancel 1\n", at + f64::from(rng.random_range(1..30)) / 10.0),
        "limits" => {
            format!("next_limits 0.8 2 60 10\nat {} limits_fall\n", all_new + 1.0)
        }
        "all" => {
            format!("at {during} outage 6\nat {during} zone_cut b 12\nat {} cancel 1\n", at + 1.0)
        }
        _ => String::new(),
    }
}

/// A day on which the controllers are upgraded one after the other or two at a time, some are killed
/// again, and jobs that need others follow; on some days one goes back to the version before while
/// those jobs wait, run, are done and are cancelled, and forward again.
fn upgrade_day(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let controllers = if seed.is_multiple_of(2) { 3 } else { 5 };
    let pairs = if rng.random_bool(0.3) { "pairs" } else { "" };
    let order = drawn_order(seed, controllers, &mut rng);
    let every = rng.random_range(2..9);
    let at = f64::from(rng.random_range(150..250)) / 10.0;
    let turns = if pairs.is_empty() { controllers } else { controllers.div_ceil(2) };
    // The last is back 5 s after its turn, and all are killed once more on some days.
    let all_new = at + f64::from(every) * turns as f64 + 12.0;
    let trouble = UPGRADE_TROUBLES[seed as usize % UPGRADE_TROUBLES.len()];
    let mut day = format!("seed {seed}\nold\ncontrollers {controllers}\nmachines 10\nspot 2\n");
    day += "at 2 job array 6 run=40\nat 3 job service 4 spread\n";
    day += "at 4 job gang 2 onezone run=30 team=blue\nat 5 job array 12 run=15 spot\n";
    day += &format!("at {at} job array 8 run=12 team=blue\n");
    day += &format!("at {at} upgrade {every} {order} {pairs}\n");
    // One of the version before dies before its turn, and comes back as it was.
    if let Some(last) = order.rsplit(',').next().and_then(|node| node.parse::<u32>().ok()) {
        day += &format!("at {} crash n{last} 0.5\n", at + 0.5);
    }
    if rng.random_bool(0.5) {
        // Killed half-way through its start, and once more.
        let node = rng.random_range(0..controllers);
        let again = at + f64::from(every) * f64::from(rng.random_range(0..3)) + 5.2;
        day += &format!("at {again} crash n{node} 0.4\nat {} crash n{node} 1\n", again + 2.0);
    }
    day += &upgrade_trouble(trouble, at, all_new, &mut rng);
    day += &pipelines(all_new, rng.random_range(4..9));
    if trouble != "limits" && rng.random_bool(0.6) {
        let (back, who) = (all_new + 16.0, rng.random_range(0..controllers));
        let again = back + f64::from(rng.random_range(8..25));
        day += &format!("at {back} downgrade n{who}\n");
        if rng.random_bool(0.4) {
            day += &format!("at {} downgrade leader\n", back + 2.0);
        }
        day += &format!("at {} cancel 15\n", back + 3.0);
        day += &format!("at {again} upgrade {every} {order}\n");
    }
    day + &format!("at {all_new} close_looks 40\nuntil {}\n", all_new + 220.0)
}

/// From the sixth job on: a chain of eight, a fan of three into one with another team's job among
/// them, and one whose dependency is cancelled.
fn pipelines(at: f64, run_s: u32) -> String {
    let mut day = format!("at {at} job array 2 run={run_s}\n");
    for job in 7..=13 {
        day += &format!("at {at} job array 2 run={run_s} due=300 after={}\n", job - 1);
    }
    let soon = at + 0.5;
    day += &format!("at {soon} job array 3 run={run_s} team=blue\n");
    day += &format!("at {soon} job array 3 run=60 spot\n");
    day += &format!("at {} job gang 2 onezone run=4 after=6,14\n", at + 1.0);
    day += &format!("at {} job array 2 run=3 team=blue after=15\n", at + 1.0);
    day
}

/// The upgrade in each order of three controllers and in many of five, each trouble beside it.
#[test]
fn upgrade_days() {
    // More days by hand: UPGRADE_DAYS=from-to.
    let mut failures = Vec::new();
    let mut downgraded = 0;
    for seed in seeds("UPGRADE_DAYS", "0-41") {
        let day = upgrade_day(seed);
        let world = play(&day);
        let logged = |text: &str| world.log.iter().filter(|line| line.contains(text)).count();
        assert!(logged(" 0 of the version before are left") >= 1, "day {seed}: all were upgraded");
        assert_eq!(logged("lowers its limits"), usize::from(day.contains("limits_fall")), "{seed}");
        for (trouble, shown) in
            [("outage", "fault Outage"), ("refuse", "fault Refuse"), ("zone_cut", "fault ZoneCut")]
        {
            assert_eq!(day.contains(trouble), logged(shown) > 0, "day {seed}: {trouble}");
        }
        if day.contains("leader_first") || day.contains("leader_last") {
            assert!(logged(", led by Some") >= 1, "day {seed}: there was a leader");
        }
        downgraded += logged("fault Downgrade");
        failures.extend(report(&format!("upgrade day {seed}\n{day}"), &world));
    }
    assert!(downgraded > 5, "some went back to the version before");
    assert!(failures.is_empty(), "{} days:\n{}", failures.len(), failures.join("\n\n"));
}

fn seeds(variable: &str, ordinary: &str) -> std::ops::RangeInclusive<u64> {
    let days = std::env::var(variable).unwrap_or_else(|_| ordinary.into());
    let (from, to) = days.split_once('-').unwrap();
    from.parse().unwrap()..=to.parse().unwrap()
}

#[test]
fn rough_days() {
    // More days by hand: ROUGH_DAYS=from-to.
    let mut failures = Vec::new();
    for seed in seeds("ROUGH_DAYS", "1-40") {
        let day = rough_day(seed);
        failures.extend(report(&format!("rough day {seed}\n{day}"), &play(&day)));
    }
    assert!(failures.is_empty(), "{} days:\n{}", failures.len(), failures.join("\n\n"));
}

/// Days on which direct orders are refused, late or unanswered, beside all that ends tasks early.
#[test]
fn order_days() {
    // More days by hand: ORDER_DAYS=from-to.
    let mut failures = Vec::new();
    // Found: a start held up beside one that was refused (78).
    for seed in seeds("ORDER_DAYS", "1-40").chain([78]) {
        let day = days::order_day(seed);
        failures.extend(report(&format!("order day {seed}\n{day}"), &play(&day)));
    }
    assert!(failures.is_empty(), "{} days:\n{}", failures.len(), failures.join("\n\n"));
}

/// Tens of machines, every trouble at once.
#[test]
fn crowded_days() {
    // More days by hand: CROWDED_DAYS=from-to.
    let mut failures = Vec::new();
    for seed in seeds("CROWDED_DAYS", "1-15") {
        let day = days::crowded_day(seed);
        failures.extend(report(&format!("crowded day {seed}\n{day}"), &play(&day)));
    }
    assert!(failures.is_empty(), "{} days:\n{}", failures.len(), failures.join("\n\n"));
}

#[test]
fn meeting_days() {
    // More days by hand: MEETING_DAYS=from-to.
    let mut failures = Vec::new();
    for seed in seeds("MEETING_DAYS", "1-40") {
        let day = meeting_day(seed);
        failures.extend(report(&format!("meeting day {seed}\n{day}"), &play(&day)));
    }
    assert!(failures.is_empty(), "{} days:\n{}", failures.len(), failures.join("\n\n"));
}

#[test]
fn random_days() {
    // More days by hand: RANDOM_DAYS=from-to.
    let mut failures = Vec::new();
    // Days that once broke a rule are played always: a late map write undone by the next (1456),
    // a leader back by a voucher (321), a first report taken for a new session (23), a team gained
    // before everybody saw the map (325), a poll answered after a later cancellation (1026).
    let found = [1456, 321, 325, 1026];
    for seed in seeds("RANDOM_DAYS", "1-40").chain(found) {
        let day = random_day(seed);
        let world = play(&day);
        failures.extend(report(&format!("random day {seed}\n{day}"), &world));
    }
    assert!(failures.is_empty(), "{} days:\n{}", failures.len(), failures.join("\n\n"));
}
