//! Days on which two or three troubles meet.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A day of meetings: two or three troubles begin within seconds of one another, while jobs are
/// cancelled and the limited team has as much to run as it may.
pub fn interacting_faults_day(seed: u64) -> String {
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
        day += &format!("previous_version\nat {at} upgrade {every} {order}\n");
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
        let at = if after.is_empty() {
            at
        } else {
            100.0_f64.max(at)
        };
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
                11 | 12 => format!("machine_inbound_lost {which} {s}"),
                13 => format!("machine_heartbeats_lost {which} {s}"),
                14 => format!("machine_hangs {which} {s}"),
                15 => format!("zone_cut b {s} {hold}"),
                16 => format!("freeze {who} {s}"),
                17 => format!("late_writes {s}"),
                18 => format!("lost_store_responses {s}"),
                19 => format!("replay_to_next_leader {s}"),
                20 => format!("duplicate_heartbeats {s}"),
                _ => format!("fast_boots {s}"),
            };
            day += &format!("at {begins} {fault}\n");
        }
        day += &format!("at {at} linearizability_probes 20\nat {at} cancel_at_completion 20\n");
        if !upgraded {
            day += &format!("at {at} unusual_requests 20\n");
        }
        if rng.random_bool(0.4) {
            // One controller is refused, others confirm cancellations, then the service is out for all.
            let who = ["leader", "n0", "n1"][rng.random_range(0..3)];
            let out = at + f64::from(rng.random_range(10..30)) / 10.0;
            day += &format!(
                "at {at} refuse {who} 14\nat {out} outage {}\n",
                rng.random_range(32..50)
            );
            for _ in 0..3 {
                day += &format!("at {} cancel {}\n", at + 0.6, rng.random_range(1..=jobs));
            }
        }
    }
    day + "until 440\n"
}
