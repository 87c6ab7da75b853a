//! Seeded schedules of grants, recalls, lost messages, process pauses and restarts: the limit is never
//! exceeded, and each safety rule is needed for that.

#![allow(
    clippy::cast_possible_truncation,
    clippy::indexing_slicing,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    clippy::unwrap_used,
    reason = "a test fails by panicking, and states a whole case in one place"
)]

mod model;

use model::{LIMIT_GPUS, Model, Removed};

/// Schedules that CI runs. The environment variable `LEDGER_SCHEDULES=from-to` selects others.
const SCHEDULES: std::ops::Range<u64> = 0..2000;
const THREADS: usize = 4;
/// Schedules within which a missing safety rule must lead to a violation.
const TRIES: u64 = 1000;

fn schedules() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("LEDGER_SCHEDULES") else {
        return SCHEDULES;
    };
    let (from, to) = text.split_once('-').expect("from-to");
    from.parse().expect("a number")..to.parse::<u64>().expect("a number") + 1
}

#[test]
fn the_limit_is_never_exceeded_and_everything_is_served() {
    let counts = std::thread::scope(|scope| {
        let parts: Vec<_> = (0..THREADS)
            .map(|part| scope.spawn(move || run_part(part)))
            .collect();
        parts
            .into_iter()
            .map(|part| part.join().expect("a part"))
            .fold(Counts::default(), Counts::plus)
    });
    println!("{counts:?}");
    assert!(counts.starts > 0 && counts.crashes > 0 && counts.limit_reached > 0);
}

/// Totals over some schedules.
#[derive(Debug, Default)]
struct Counts {
    starts: usize,
    crashes: usize,
    writes: usize,
    /// Schedules in which nearly all of the limit was in use.
    limit_reached: usize,
}

impl Counts {
    fn plus(self, other: Self) -> Self {
        Self {
            starts: self.starts + other.starts,
            crashes: self.crashes + other.crashes,
            writes: self.writes + other.writes,
            limit_reached: self.limit_reached + other.limit_reached,
        }
    }
}

/// Runs every `THREADS`-th schedule, beginning with `part`.
fn run_part(part: usize) -> Counts {
    let mut counts = Counts::default();
    for seed in schedules().skip(part).step_by(THREADS) {
        let mut model = Model::new(seed, Removed::Nothing);
        model
            .run()
            .unwrap_or_else(|overshoot| panic!("schedule {seed}: {overshoot}"));
        assert_eq!(model.unsettled(), None, "schedule {seed}");
        counts = counts.plus(Counts {
            starts: model.started,
            crashes: model.crashes,
            writes: model.writes,
            limit_reached: usize::from(model.most_running > LIMIT_GPUS * 0.9),
        });
    }
    counts
}

/// The first schedule in which the limit is exceeded without a safety rule.
fn found_without(removed: Removed) -> Option<u64> {
    (0..TRIES).find(|seed| Model::new(*seed, removed).run().is_err())
}

#[test]
fn without_compare_and_swap_the_limit_is_exceeded() {
    assert!(found_without(Removed::CompareAndSwap).is_some());
}

#[test]
fn without_confirmation_the_limit_is_exceeded() {
    assert!(found_without(Removed::Confirmation).is_some());
}

#[test]
fn without_counting_writes_in_doubt_the_limit_is_exceeded() {
    assert!(found_without(Removed::Doubt).is_some());
}

#[test]
fn without_evidence_the_limit_is_exceeded() {
    assert!(found_without(Removed::Evidence).is_some());
}

#[test]
fn without_fenced_workers_the_limit_is_exceeded() {
    assert!(found_without(Removed::Fencing).is_some());
}

#[test]
fn without_counting_starts_in_flight_the_limit_is_exceeded() {
    assert!(found_without(Removed::StartsInFlight).is_some());
}
