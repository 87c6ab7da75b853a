//! Runs seeded schedules of grants, recalls, lost messages, process pauses and restarts. The tests check that
//! the limit is never exceeded, and that it is exceeded if one of the safety rules is disabled.

#![allow(
    clippy::cast_possible_truncation,
    clippy::indexing_slicing,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    clippy::unwrap_used,
    reason = "a test fails by panicking, and states a whole case in one place"
)]

mod model;

use model::{DisabledRule, LIMIT_GPUS, Model};

/// Seeds that CI runs. The environment variable `LEDGER_SCHEDULES=from-to` selects others, both inclusive.
const SCHEDULES: std::ops::Range<u64> = 0..2000;
const THREADS: usize = 4;
/// Number of schedules in which a disabled safety rule must lead to a violation.
const VIOLATION_SCHEDULES: u64 = 1000;

fn schedules() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("LEDGER_SCHEDULES") else {
        return SCHEDULES;
    };
    let (from, to) = text.split_once('-').expect("from-to");
    from.parse().expect("a number")..to.parse::<u64>().expect("a number") + 1
}

#[test]
fn the_limit_is_never_exceeded_and_all_waiting_tasks_start() {
    let counts = std::thread::scope(|scope| {
        let parts: Vec<_> = (0..THREADS)
            .map(|part| scope.spawn(move || run_schedules_of_part(part)))
            .collect();
        parts
            .into_iter()
            .map(|part| part.join().expect("a part"))
            .fold(Counts::default(), Counts::plus)
    });
    println!("{counts:?}");
    assert!(counts.starts > 0 && counts.crashes > 0 && counts.limit_reached > 0);
}

/// Totals over several schedules.
#[derive(Debug, Default)]
struct Counts {
    starts: usize,
    crashes: usize,
    writes: usize,
    /// Number of schedules in which more than 90 % of the limit was in use.
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

/// Runs every `THREADS`-th schedule, starting at index `part`, and checks each of them.
fn run_schedules_of_part(part: usize) -> Counts {
    let mut counts = Counts::default();
    for seed in schedules().skip(part).step_by(THREADS) {
        let mut model = Model::new(seed, DisabledRule::None);
        model
            .run()
            .unwrap_or_else(|violation| panic!("schedule {seed}: {violation}"));
        assert_eq!(model.remaining_problem(), None, "schedule {seed}");
        counts = counts.plus(Counts {
            starts: model.started_tasks,
            crashes: model.crashes,
            writes: model.writes,
            limit_reached: usize::from(model.max_running_gpus > LIMIT_GPUS * 0.9),
        });
    }
    counts
}

/// Finds the first schedule in which the limit is exceeded while a safety rule is disabled.
fn find_violation_without(disabled_rule: DisabledRule) -> Option<u64> {
    (0..VIOLATION_SCHEDULES).find(|seed| Model::new(*seed, disabled_rule).run().is_err())
}

#[test]
fn without_compare_and_swap_the_limit_is_exceeded() {
    assert!(find_violation_without(DisabledRule::CompareAndSwap).is_some());
}

#[test]
fn without_waiting_for_confirmation_the_limit_is_exceeded() {
    assert!(find_violation_without(DisabledRule::Confirmation).is_some());
}

#[test]
fn without_counting_writes_in_doubt_the_limit_is_exceeded() {
    assert!(find_violation_without(DisabledRule::InDoubtWrites).is_some());
}

#[test]
fn without_waiting_for_machine_reports_the_limit_is_exceeded() {
    assert!(find_violation_without(DisabledRule::MachineReports).is_some());
}

#[test]
fn without_fencing_by_workers_the_limit_is_exceeded() {
    assert!(find_violation_without(DisabledRule::Fencing).is_some());
}

#[test]
fn without_counting_starts_in_flight_the_limit_is_exceeded() {
    assert!(find_violation_without(DisabledRule::StartsInFlight).is_some());
}
