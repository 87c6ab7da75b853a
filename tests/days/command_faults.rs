//! Days on which direct orders to workers go wrong.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Many short tasks on few machines, more than have room, urgent ones among them; notices and
/// cancellations; direct orders that are refused, late or unanswered, machines that hang for less
/// than a lease, and controllers that end.
pub fn command_faults_day(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let controllers = if seed.is_multiple_of(2) { 5 } else { 3 };
    let machines = rng.random_range(3..8);
    let mut day = format!("seed {seed}\ncontrollers {controllers}\nmachines {machines}\nspot 2\n");
    let jobs = rng.random_range(30..60);
    day += &short_jobs(&mut rng, jobs, 0.3, 8.0);
    for _ in 0..3 {
        let at = rng.random_range(5..90);
        let kind = [
            "late_commands",
            "late_commands",
            "refused_commands",
            "lost_command_responses",
        ];
        let kind = kind[rng.random_range(0..kind.len())];
        day += &format!("at {at} {kind} {}\n", rng.random_range(15..50));
    }
    for _ in 0..rng.random_range(8..20) {
        let at = f64::from(rng.random_range(50..1300)) / 10.0;
        day += &format!("at {at} {}\n", trouble(&mut rng, machines + 2));
    }
    day + "until 330\n"
}

/// That many jobs of short tasks; a part of them is cancelled, at most so many seconds after it came.
pub fn short_jobs(rng: &mut StdRng, jobs: u32, cancelled: f64, within_s: f64) -> String {
    let mut lines = String::new();
    for job in 1..=jobs {
        let at = f64::from(rng.random_range(10..1300)) / 10.0;
        lines += &format!("at {at} job {}\n", work(rng));
        if rng.random_bool(cancelled) {
            let later = at + f64::from(rng.random_range(1..(within_s * 10.0) as i32)) / 10.0;
            lines += &format!("at {later} cancel {job}\n");
        }
    }
    lines
}

fn work(rng: &mut StdRng) -> String {
    let run = f64::from(rng.random_range(2..120)) / 10.0;
    let tasks = rng.random_range(1..7);
    let gpus = rng.random_range(1..5);
    let image = rng.random_range(0..3);
    let rest = format!("run={run} gpus={gpus} image=i{image}");
    match rng.random_range(0..8) {
        0 | 1 => format!("array {tasks} {rest} spot low"),
        2 => format!("array {tasks} {rest} spot team=blue"),
        3 => format!("array {tasks} {rest} high"),
        4 => format!("gang {} {rest} onezone", tasks.min(3)),
        5 => format!("array {tasks} {rest} zone=b"),
        _ => format!("array {tasks} {rest}"),
    }
}

fn trouble(rng: &mut StdRng, machines: usize) -> String {
    let which = rng.random_range(0..machines);
    let moment = f64::from(rng.random_range(2..60)) / 10.0;
    let spell = rng.random_range(2..20);
    let who = ["leader", "n0", "n1", "n2"][rng.random_range(0..4)];
    let hold = ["", "hold"][rng.random_range(0..2)];
    match rng.random_range(0..14) {
        0..=2 => format!("machine_hangs {which} {moment}"),
        3 | 4 => format!("machine_refuses_commands {which} {moment}"),
        5 => format!("machine_inbound_lost {which} {spell}"),
        6 => format!("machine_cut {which} {moment} {hold}"),
        7 => format!("machine_heartbeats_lost {which} {spell}"),
        8 => format!("duplicate_heartbeats {spell}"),
        9 => format!("crash {who} {moment}"),
        10 => format!("freeze {who} {moment}"),
        11 => format!("termination_notice {which} {}", rng.random_range(2..12)),
        12 => format!("refuse {who} {spell}"),
        _ => format!("cut {who} workers {moment} {hold}"),
    }
}
