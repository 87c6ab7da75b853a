//! Days on which everything that the protocol names may overlap.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A day on which everything that the protocol names may overlap, on a map of several values.
pub fn overlapping_faults_day(seed: u64) -> String {
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
            2 => format!("rolling_restart {}\n", rng.random_range(3..12)),
            3 => format!("outage {s}\n"),
            4 => format!("cloud_outage {s}\n"),
            5 => format!("refuse {who} {s}\n"),
            6 => format!("cut {who} workers {s} {hold}\n"),
            7 => format!("cut {who} state {s} {hold}\n"),
            8 => format!("cut {who} everyone {s} {hold}\n"),
            9 | 10 => format!("cut {who} state+siblings {s} {hold}\n"),
            11 => format!("machine_dies {which}\n"),
            12 => format!("machine_cut {which} {s} {hold}\n"),
            13 => format!("machine_inbound_lost {which} {s}\n"),
            14 | 15 => format!("machine_hangs {which} {s}\n"),
            16 => format!("zone_cut b {s} {hold}\n"),
            17 | 18 => format!("freeze {who} {s}\n"),
            19 => format!("late_writes {s}\n"),
            20 => {
                let fault = ["crash_at_map_write", "late_map_write"][rng.random_range(0..2)];
                format!("{fault} {nth}\nat {at} crash {who} {back}\n")
            }
            _ => format!("duplicate_heartbeats {s}\n"),
        };
    }
    day + "until 330\n"
}
