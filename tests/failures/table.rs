//! Each kind of failure of the owner of the busiest shard.

use super::measure::{Failure, Measured, before_failure, busiest_owner, follow};
use crate::days::seed_range;
use crate::world::{CutManner, Direction};

/// All kinds that are measured, by name.
const FAILURES: [(&str, Failure); 15] = [
    ("crashes", Failure::Crashes),
    ("crashes, back after 0.3 s", Failure::Restarts(0.3)),
    ("crashes, back after 5 s", Failure::Restarts(5.0)),
    ("paused 3 s", Failure::Paused(3.0)),
    ("paused 7 s", Failure::Paused(7.0)),
    ("paused 25 s", Failure::Paused(25.0)),
    ("paused 60 s", Failure::Paused(60.0)),
    (
        "cut from workers, silent",
        Failure::CutFromWorkers(CutManner::Silent),
    ),
    (
        "cut from workers, refused",
        Failure::CutFromWorkers(CutManner::Refused),
    ),
    (
        "cut from workers, reset",
        Failure::CutFromWorkers(CutManner::Reset),
    ),
    ("refused alone", Failure::RefusedAlone),
    (
        "cut from state and siblings",
        Failure::CutFromStateAndSiblings,
    ),
    ("outgoing cut", Failure::OneDirection(Direction::Outgoing)),
    ("incoming cut", Failure::OneDirection(Direction::Incoming)),
    ("four times slower", Failure::Slow(0.2)),
];

/// The seeds that are measured: few in CI, others by hand with `FAILURE_SEEDS=first-last`.
pub fn seeds() -> std::ops::RangeInclusive<u64> {
    seed_range("FAILURE_SEEDS", "1-2")
}

/// Median and maximum of the times that were measured, and how many of all runs have one.
fn spread(times: impl Iterator<Item = Option<f64>>) -> String {
    let all: Vec<Option<f64>> = times.collect();
    let mut times: Vec<f64> = all.iter().flatten().copied().collect();
    if times.is_empty() {
        return "-".into();
    }
    times.sort_by(f64::total_cmp);
    let (median, largest) = (times[times.len() / 2], times[times.len() - 1]);
    let part = if times.len() < all.len() {
        format!(" ({}/{})", times.len(), all.len())
    } else {
        String::new()
    };
    format!("{median:.1} / {largest:.1}{part}")
}

/// One row of the table.
fn row(name: &str, controllers: usize, measured: &[Measured]) -> String {
    let of = |time: fn(&Measured) -> Option<f64>| spread(measured.iter().map(time));
    let lost: Vec<usize> = measured.iter().map(|m| m.lost).collect();
    format!(
        "| {name} | {controllers} | {} | {} | {} | {} | {} | {} of {} plays, {} tasks |",
        of(|m| m.suspected),
        of(|m| m.released),
        of(|m| m.failed_over),
        of(|m| m.settled),
        of(|m| m.started),
        lost.iter().filter(|lost| **lost > 0).count(),
        lost.len(),
        lost.iter().sum::<usize>(),
    )
}

/// Seconds within which the shard map names another owner of a shard that has to fail over. A silent cut from the workers
/// takes longest: they wait 4 s for an answer before they report to another controller.
const FAILOVER_WITHIN_S: f64 = 8.0;
/// Seconds from then until the new owner may start all tasks of the shard: three heartbeat intervals.
const SETTLED_WITHIN_S: f64 = 3.0;

/// What took place too late, or should not have.
fn too_late(failure: Failure, measured: &Measured) -> Option<String> {
    if measured.lost > 0 {
        return Some(format!(
            "{} tasks ended with the leases of well machines",
            measured.lost
        ));
    }
    if !failure.causes_failover() {
        return None;
    }
    let Some(failed_over) = measured.failed_over.filter(|at| *at <= FAILOVER_WITHIN_S) else {
        return Some(format!("failed over after {:?} s", measured.failed_over));
    };
    let settled = measured
        .settled
        .filter(|at| *at <= failed_over + SETTLED_WITHIN_S);
    settled
        .is_none()
        .then(|| format!("settled after {:?} s", measured.settled))
}

#[test]
fn each_kind_of_failure_of_one_controller() {
    let mut violations = Vec::new();
    for controllers in [3, 5] {
        for (name, failure) in FAILURES {
            let measured = seeds().map(|seed| {
                let (mut world, fails_at) = before_failure(seed, controllers);
                let owner = busiest_owner(&world);
                failure.schedule(&mut world, fails_at, owner);
                follow(&mut world, fails_at, owner)
            });
            let measured: Vec<Measured> = measured.collect();
            println!("{}", row(name, controllers, &measured));
            for (seed, measured) in seeds().zip(&measured) {
                violations.extend(
                    too_late(failure, measured).map(|late| {
                        format!("{name}, {controllers} controllers, seed {seed}: {late}")
                    }),
                );
            }
            let rules = measured.iter().flat_map(|m| &m.violations);
            violations.extend(rules.map(|rule| format!("{name}, {controllers}: {rule}")));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
