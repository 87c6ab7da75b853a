//! Days on which the controllers are upgraded.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

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
const UPGRADE_TROUBLES: [&str; 7] = [
    "none", "outage", "refused", "zone", "cancel", "limits", "all",
];

fn upgrade_trouble(trouble: &str, at: f64, all_new: f64, rng: &mut StdRng) -> String {
    let during = at + f64::from(rng.random_range(0..100)) / 10.0;
    match trouble {
        "outage" => format!("at {during} outage {}\n", rng.random_range(5..25)),
        "refused" => format!("at {during} refuse leader {}\n", rng.random_range(4..14)),
        "zone" => format!("at {during} zone_cut b {} hold\n", rng.random_range(5..20)),
        "cancel" => format!(
            "at {} cancel 1\n",
            at + f64::from(rng.random_range(1..30)) / 10.0
        ),
        "limits" => {
            format!(
                "next_limits 0.8 2 60 10\nat {} limits_fall\n",
                all_new + 1.0
            )
        }
        "all" => {
            format!(
                "at {during} outage 6\nat {during} zone_cut b 12\nat {} cancel 1\n",
                at + 1.0
            )
        }
        _ => String::new(),
    }
}

/// A day on which the controllers are upgraded one after the other or two at a time, some are killed
/// again, and jobs that need others follow; on some days one goes back to the version before while
/// those jobs wait, run, are done and are cancelled, and forward again.
pub fn upgrade_day(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let controllers = if seed.is_multiple_of(2) { 3 } else { 5 };
    let pairs = if rng.random_bool(0.3) { "pairs" } else { "" };
    let order = drawn_order(seed, controllers, &mut rng);
    let every = rng.random_range(2..9);
    let at = f64::from(rng.random_range(150..250)) / 10.0;
    let turns = if pairs.is_empty() {
        controllers
    } else {
        controllers.div_ceil(2)
    };
    // The last is back 5 s after its turn, and all are killed once more on some days.
    let all_new = at + f64::from(every) * turns as f64 + 12.0;
    let trouble = UPGRADE_TROUBLES[seed as usize % UPGRADE_TROUBLES.len()];
    let mut day =
        format!("seed {seed}\nprevious_version\ncontrollers {controllers}\nmachines 10\nspot 2\n");
    day += "at 2 job array 6 run=40\nat 3 job service 4 spread\n";
    day += "at 4 job gang 2 onezone run=30 team=blue\nat 5 job array 12 run=15 spot\n";
    day += &format!("at {at} job array 8 run=12 team=blue\n");
    day += &format!("at {at} upgrade {every} {order} {pairs}\n");
    // One of the version before dies before its turn, and comes back as it was.
    if let Some(last) = order
        .rsplit(',')
        .next()
        .and_then(|node| node.parse::<u32>().ok())
    {
        day += &format!("at {} crash n{last} 0.5\n", at + 0.5);
    }
    if rng.random_bool(0.5) {
        // Killed half-way through its start, and once more.
        let node = rng.random_range(0..controllers);
        let again = at + f64::from(every) * f64::from(rng.random_range(0..3)) + 5.2;
        day += &format!(
            "at {again} crash n{node} 0.4\nat {} crash n{node} 1\n",
            again + 2.0
        );
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
    day + &format!(
        "at {all_new} linearizability_probes 40\nuntil {}\n",
        all_new + 220.0
    )
}

/// From the sixth job on: a chain of eight, a fan of three into one with another team's job among
/// them, and one whose dependency is cancelled.
fn pipelines(at: f64, run_s: u32) -> String {
    let mut day = format!("at {at} job array 2 run={run_s}\n");
    for job in 7..=13 {
        day += &format!(
            "at {at} job array 2 run={run_s} due=300 after={}\n",
            job - 1
        );
    }
    let soon = at + 0.5;
    day += &format!("at {soon} job array 3 run={run_s} team=blue\n");
    day += &format!("at {soon} job array 3 run=60 spot\n");
    day += &format!("at {} job gang 2 onezone run=4 after=6,14\n", at + 1.0);
    day += &format!("at {} job array 2 run=3 team=blue after=15\n", at + 1.0);
    day
}
