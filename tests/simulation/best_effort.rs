//! Best-effort arrays beside services of limited teams.

use crate::script::{assert_no_violations, run_scenario};

/// Seed 26 of `limited_teams_violate_no_invariant` as it was while arrays could have low priority.
#[test]
fn best_effort_arrays_are_not_left_waiting_beside_room() {
    let scenario = include_str!("../fixtures/best_effort_beside_room.txt");
    let world = run_scenario(scenario);
    assert_no_violations("best-effort arrays beside room", &world);
}
