//! Reports of the invariants that a simulation violated.

use super::run_scenario;
use crate::world::World;

/// Number of log lines at the end of a report.
const LOG_LINES: usize = 60;

/// The violations of a simulation and the end of its log; `None` if no invariant was violated.
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

/// Runs a scenario with team limits held by grants and reports its violations.
///
/// Times differ slightly from the run without grants, so an expectation of the scenario need not be met at
/// its moment. All other invariants must hold.
pub fn report_with_grants(name: &str, scenario: &str) -> Option<String> {
    let mut world = run_scenario(&format!("grants\n{scenario}"));
    world.ignore_violations_of("expectation_not_met");
    report(&format!("{name}, with grants"), &world)
}

/// Runs a scenario without and with grants and reports the violations of both runs.
pub fn reports_of_both_runs(name: &str, scenario: &str) -> Vec<String> {
    let without_grants = report(name, &run_scenario(scenario));
    let with_grants = report_with_grants(name, scenario);
    without_grants.into_iter().chain(with_grants).collect()
}

/// Fails the test if the simulation violated an invariant.
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
