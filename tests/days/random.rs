//! Days of random work and overlapping faults.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A day of random work and overlapping faults, calm in its last part.
pub fn random_day(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut day = format!("seed {seed}\nmachines {}\nspot 2\n", rng.random_range(4..7));
    // Two days in five as a larger deployment has it.
    let controllers = if matches!(seed % 5, 2 | 4) { 5 } else { 3 };
    day += &format!("controllers {controllers}\n");
    for _ in 0..rng.random_range(6..12) {
        let at = rng.random_range(1..100);
        let kind = ["array", "array", "gang", "service"][rng.random_range(0..4)];
        let tasks = if kind == "gang" {
            rng.random_range(1..4)
        } else {
            rng.random_range(1..7)
        };
        // Services of the limited team would keep its other work from ever running.
        let team = if kind == "service" {
            "red"
        } else {
            ["red", "blue"][rng.random_range(0..2)]
        };
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
            2 => format!("rolling_restart {}", rng.random_range(3..12)),
            3 | 4 => format!("outage {s}"),
            5 => format!("cloud_outage {s}"),
            6 => format!("refuse {who} {s}"),
            7 => format!("cut {who} workers {s} {hold}"),
            8 => format!("cut {who} state {s} {hold}"),
            9 => format!("cut {who} everyone {s} {hold}"),
            10 => format!("cut {who} state+siblings {s} {hold}"),
            11 => format!("machine_dies {which}"),
            12 => format!("machine_cut {which} {s} {hold}"),
            13 => format!("machine_inbound_lost {which} {s}"),
            14 => format!("termination_notice {which} {}", rng.random_range(2..12)),
            _ => format!("duplicate_heartbeats {s}"),
        };
        day += &format!("at {at} {fault}\n");
    }
    day + "until 300\n"
}
