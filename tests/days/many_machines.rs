//! Days on tens of machines on which every kind of trouble overlaps with direct orders that go wrong.

use super::command_faults::short_jobs;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Many short tasks on tens of machines, cancelled, stopped and drained, while controllers end, stand
/// still and are cut off, the state service is late, machines hang, are cut off or hear nothing, and
/// direct orders are refused, late or unanswered. On every third day they are upgraded meanwhile.
pub fn many_machines_day(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let controllers = if seed.is_multiple_of(2) { 5 } else { 3 };
    let machines = rng.random_range(10..26);
    let mut day = format!("seed {seed}\ncontrollers {controllers}\nmachines {machines}\nspot 4\n");
    let jobs = rng.random_range(50..100);
    day += &short_jobs(&mut rng, jobs, 0.25, 12.0);
    for _ in 0..4 {
        let at = rng.random_range(5..100);
        let kind = [
            "late_commands",
            "refused_commands",
            "lost_command_responses",
        ][rng.random_range(0..3)];
        day += &format!("at {at} {kind} {}\n", rng.random_range(15..50));
    }
    for _ in 0..rng.random_range(12..26) {
        let at = f64::from(rng.random_range(50..1300)) / 10.0;
        day += &format!("at {at} {}\n", trouble(&mut rng, machines + 4));
    }
    if seed.is_multiple_of(3) {
        day += &upgrade(&mut rng);
    }
    day + "until 360\n"
}

/// All controllers begin with the version before and are upgraded one after the other.
fn upgrade(rng: &mut StdRng) -> String {
    let (at, every) = (rng.random_range(15..60), rng.random_range(3..12));
    let order = ["", "last_first", "leader_first", "leader_last"][rng.random_range(0..4)];
    format!("previous_version\nat {at} upgrade {every} {order}\n")
}

fn trouble(rng: &mut StdRng, machines: usize) -> String {
    let which = rng.random_range(0..machines);
    let moment = f64::from(rng.random_range(2..80)) / 10.0;
    let spell = rng.random_range(2..25);
    let who = ["leader", "n0", "n1", "n2"][rng.random_range(0..4)];
    let hold = ["", "hold"][rng.random_range(0..2)];
    match rng.random_range(0..24) {
        0 | 1 => format!("machine_hangs {which} {moment}"),
        2 => format!("machine_refuses_commands {which} {moment}"),
        3 => format!("machine_inbound_lost {which} {spell}"),
        4 | 5 => format!("machine_cut {which} {moment} {hold}"),
        6 => format!("machine_heartbeats_lost {which} {spell}"),
        7 => format!("duplicate_heartbeats {spell}"),
        8 => format!("replay_to_next_leader {spell}"),
        9 | 10 => format!("crash {who} {moment}"),
        11 => format!("crash all {moment}"),
        12 | 13 => format!("freeze {who} {spell}"),
        14 => format!("termination_notice {which} {}", rng.random_range(2..12)),
        15 => format!("refuse {who} {spell}"),
        16 => format!("cut {who} workers {spell} {hold}"),
        17 => format!("cut {who} state+siblings {spell} {hold}"),
        18 => format!("cut {who} everyone {spell} {hold}"),
        19 => format!("zone_cut b {spell} {hold}"),
        20 => format!("outage {spell}"),
        21 => format!("late_writes {spell}"),
        22 => format!("lost_store_responses {spell}"),
        _ => format!("rolling_restart {}", rng.random_range(2..9)),
    }
}
