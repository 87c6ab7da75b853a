//! Reports of the rules that a simulation violated.

use super::play;
use crate::world::World;

/// Lines of the log that a report shows.
const LOG_LINES: usize = 60;

/// The violations of a simulation and the end of its log; `None` if no rule was violated.
pub fn report(name: &str, world: &World) -> Option<String> {
    if world.violations.is_empty() {
        return None;
    }
    let from = world.log.len().saturating_sub(LOG_LINES);
    Some(format!(
        "{name}:\n  {}\n{}",
        world.violations.join("\n  "),
        world.log[from..].join("\n")
    ))
}

/// Runs the same day with team limits held by grants and reports its violations.
///
/// Times differ slightly from the run without grants, so an expectation of the scenario need not be met at its
/// moment. All other rules have to hold.
pub fn report_with_grants(name: &str, day: &str) -> Option<String> {
    let mut world = play(&format!("grants\n{day}"));
    world.ignore_violations_of("expectation_not_met");
    report(&format!("{name}, with grants"), &world)
}

/// Runs a day without and with grants and reports the violations of both runs.
pub fn reports_of_both_runs(name: &str, day: &str) -> Vec<String> {
    let without_grants = report(name, &play(day));
    let with_grants = report_with_grants(name, day);
    without_grants.into_iter().chain(with_grants).collect()
}

/// Fails the test if the simulation violated a rule.
pub fn assert_no_violations(name: &str, world: &World) {
    if let Some(report) = report(name, world) {
        panic!("{report}");
    }
}

/// Fails the test if there is any report, with all of them as the message.
pub fn assert_no_reports(reports: &[String]) {
    assert!(
        reports.is_empty(),
        "{} failed runs:\n{}",
        reports.len(),
        reports.join("\n\n")
    );
}
