//! Failures of the owner of the busiest shard: one measurement for each kind, printed as a table.

use super::measure::{
    FailoverMeasurement, Failure, busiest_owner, measure_failover, simulate_until_failure,
};
use crate::generated::seed_range;
use crate::world::{CutManner, Direction};

/// The failures that are measured, with their names in the table.
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
    ("refused by the store", Failure::RefusedByStore),
    (
        "cut from store and siblings",
        Failure::CutFromStoreAndSiblings,
    ),
    ("outgoing cut", Failure::OneDirection(Direction::Outgoing)),
    ("incoming cut", Failure::OneDirection(Direction::Incoming)),
    ("four times slower", Failure::Slow(0.2)),
];

/// The seeds that are measured: a few by default, others with `FAILURE_SEEDS=first-last`.
pub fn seeds() -> std::ops::RangeInclusive<u64> {
    seed_range("FAILURE_SEEDS", "1-2")
}

/// Formats the median and maximum of the measured times, and the number of runs that have one if not all do.
fn format_times(times: impl Iterator<Item = Option<f64>>) -> String {
    let all: Vec<Option<f64>> = times.collect();
    let mut times: Vec<f64> = all.iter().flatten().copied().collect();
    if times.is_empty() {
        return "-".into();
    }
    times.sort_by(f64::total_cmp);
    let (median, largest) = (times[times.len() / 2], times[times.len() - 1]);
    let share = if times.len() < all.len() {
        format!(" ({}/{})", times.len(), all.len())
    } else {
        String::new()
    };
    format!("{median:.1} / {largest:.1}{share}")
}

/// Formats one row of the table.
fn format_row(name: &str, controllers: usize, measured: &[FailoverMeasurement]) -> String {
    let of =
        |time: fn(&FailoverMeasurement) -> Option<f64>| format_times(measured.iter().map(time));
    let lost: Vec<usize> = measured.iter().map(|m| m.lost_tasks).collect();
    format!(
        "| {name} | {controllers} | {} | {} | {} | {} | {} | {} of {} runs, {} tasks |",
        of(|m| m.suspected),
        of(|m| m.released),
        of(|m| m.failed_over),
        of(|m| m.reconciled),
        of(|m| m.started),
        lost.iter().filter(|lost| **lost > 0).count(),
        lost.len(),
        lost.iter().sum::<usize>(),
    )
}

/// Largest time from a failure to the shard map that names another owner. A silent cut from the workers takes
/// longest: they wait 4 s for an answer before they report to another controller.
const MAX_FAILOVER_S: f64 = 8.0;
/// Largest time from the failover until the new owner may start all tasks of the shard: three heartbeat
/// intervals.
const MAX_RECONCILIATION_S: f64 = 3.0;

/// Describes lost tasks, or a step of the failover that was late or did not take place.
fn failover_problem(failure: Failure, measured: &FailoverMeasurement) -> Option<String> {
    if measured.lost_tasks > 0 {
        return Some(format!(
            "{} tasks ended with the leases of healthy machines",
            measured.lost_tasks
        ));
    }
    if !failure.causes_failover() {
        return None;
    }
    let Some(failed_over) = measured.failed_over.filter(|at| *at <= MAX_FAILOVER_S) else {
        return Some(format!("failed over after {:?} s", measured.failed_over));
    };
    let reconciled = measured
        .reconciled
        .filter(|at| *at <= failed_over + MAX_RECONCILIATION_S);
    reconciled
        .is_none()
        .then(|| format!("reconciled after {:?} s", measured.reconciled))
}

#[test]
fn no_failure_of_one_controller_loses_tasks_or_delays_failover() {
    let mut violations = Vec::new();
    for controllers in [3, 5] {
        for (name, failure) in FAILURES {
            let measured = seeds().map(|seed| {
                let (mut world, fails_at) = simulate_until_failure(seed, controllers);
                let owner = busiest_owner(&world);
                failure.schedule(&mut world, fails_at, owner);
                measure_failover(&mut world, fails_at, owner)
            });
            let measured: Vec<FailoverMeasurement> = measured.collect();
            println!("{}", format_row(name, controllers, &measured));
            for (seed, measured) in seeds().zip(&measured) {
                violations.extend(failover_problem(failure, measured).map(|problem| {
                    format!("{name}, {controllers} controllers, seed {seed}: {problem}")
                }));
            }
            let rules = measured.iter().flat_map(|m| &m.violations);
            violations.extend(rules.map(|rule| format!("{name}, {controllers}: {rule}")));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
