//! The scenario files in `tests/scenarios/`, and the reader of scenarios.

use crate::script::{
    assert_no_reports, parse_statements, reports_of_both_runs, run_scenario, scenario_files,
};

#[test]
fn scenario_files_violate_no_invariant() {
    let only = std::env::var("SCENARIO").ok();
    let files = scenario_files();
    assert!(files.len() > 10, "the scenario files are found");
    let mut reports = Vec::new();
    for (name, text) in files {
        if only.as_ref().is_none_or(|only| *only == name) {
            reports.extend(reports_of_both_runs(&name, &text));
        }
    }
    assert_no_reports(&reports);
}

/// A statement outside the grammar is rejected with its line and column. The test guards against statements
/// that are skipped, or whose error names no line.
#[test]
fn invalid_statements_are_rejected_with_line_and_column() {
    for (text, line, column) in [
        ("seed 1\nmachines\n", 2, 9),
        ("at 5 upgrade 12 2 last_first", 1, 19),
        ("at 5 cut n1 workers 40 sideways", 1, 24),
        ("at 5 cut n1 workers 40 in reset", 1, 27),
        ("# well\n\nat 3 job array 2 run=x", 3, 22),
        ("at 3 expect 1 happy", 1, 15),
        ("store_outage 5", 1, 1),
    ] {
        let error = parse_statements(text).expect_err(text);
        let at = pest::error::LineColLocation::Pos((line, column));
        assert_eq!(error.line_col, at, "{text}: {error}");
    }
    let read = parse_statements("  seed 2 # two\n\nat 1.5\tcut n1 controllers 3 reset in");
    let words: Vec<Vec<&str>> = vec![
        vec!["seed", "2"],
        vec!["at", "1.5", "cut", "n1", "controllers", "3", "reset", "in"],
    ];
    assert_eq!(read.ok(), Some(words));
}

/// The same inputs, times and seed give the same simulation.
#[test]
fn a_simulation_is_deterministic() {
    let scenario = "seed 5\nmachines 3\nat 2 job array 6\nat 9 crash leader\nuntil 80";
    let (first, second) = (run_scenario(scenario), run_scenario(scenario));
    assert_eq!(first.log, second.log);
    assert!(!first.log.is_empty());
}

/// The scenario sends enough unusual requests, and only starts that were in flight still take effect after a
/// cancellation.
#[test]
fn unusual_requests_are_sent_and_cancelled_jobs_start_no_more_tasks() {
    let world = run_scenario(include_str!("../scenarios/unusual_requests.txt"));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert!(
        world.counters.unusual_requests > 100,
        "{:?}",
        world.counters
    );
    assert!(
        world.counters.starts_after_cancel <= 8,
        "{:?}",
        world.counters
    );
}

/// Jobs that fail on every machine are only probed: few of their tasks are started. Without that limit, their
/// tasks started 220, 22 and 44 times, and the gang occupied whole machines.
#[test]
fn jobs_that_always_fail_are_only_probed() {
    let world = run_scenario(include_str!("../scenarios/jobs_that_always_fail.txt"));
    let starts: Vec<u32> = (0..3).map(|job| world.starts_of(job)).collect();
    assert!(
        starts.iter().all(|starts| (3..=30).contains(starts)),
        "{starts:?}"
    );
}
