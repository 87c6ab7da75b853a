//! Effects on a shard, its machines and its tasks when its owner or the leader fails.

use crate::script::{assert_no_reports, assert_no_violations, report, run_scenario};
use crate::world::LEASE_S;

/// A scenario in which two controllers crash just after `fault` begins, on a shard map of seven values that
/// are written two at a time.
fn shard_map_fault_scenario(fault: &str) -> String {
    format!(
        "controllers 5\nlimits 0.6 2\nmachines 20\nat 2 job service 6 spread\n\
         at 3 job array 12 run=25\nat 4 job gang 2 one_zone run=30\n\
         at 5 job service 3 team=blue\nat 28 machine_cut 3 25 hold\n\
         at 29.9 {fault}\nat 30 crash n1 5\nat 30 crash n2 7\nuntil 200\n"
    )
}

/// An owner crashes. The controller that writes the failover crashes as well, at any of its writes of the
/// shard map, or one of those writes takes effect late.
#[test]
fn a_failover_survives_a_crash_or_a_late_write_at_any_of_its_writes() {
    let mut reports = Vec::new();
    for nth in 1..=8 {
        for fault in ["crash_at_map_write", "late_map_write"] {
            let fault = format!("{fault} {nth}");
            let world = run_scenario(&shard_map_fault_scenario(&fault));
            assert!(
                world
                    .log
                    .iter()
                    .any(|line| line.contains("fault AtShardMapWrite"))
            );
            reports.extend(report(&fault, &world));
        }
    }
    assert_no_reports(&reports);
}

/// A scenario in which no machine of `owner` reaches it, and neither does any other controller.
fn unreachable_owner_scenario(owner: usize) -> String {
    let mut scenario = "machines 6\nat 2 job service 8\nat 3 job service 4 team=blue\n".to_owned();
    for other in (0..3).filter(|other| *other != owner) {
        scenario += &format!("at 40 cut n{owner} n{other} 30\n");
    }
    for machine in 0..6 {
        scenario += &format!("at 40 machine_cut_from {machine} {owner} 30\n");
    }
    scenario + "until 120\n"
}

/// Two zones that do not reach each other: a shard's machines reach neither its owner nor a controller that
/// could relay their heartbeats to it, while all controllers read the key-value store. The test guards
/// against the expiry of their leases, which restarts every replica.
#[test]
fn machines_that_cannot_reach_their_owner_keep_their_tasks() {
    for owner in 0..3 {
        let world = run_scenario(&unreachable_owner_scenario(owner));
        let name = format!("n{owner} unreachable");
        assert_no_violations(&name, &world);
        assert_eq!(
            (world.starts_of(0), world.starts_of(1)),
            (8, 4),
            "{name}: replicas were restarted"
        );
    }
}

/// A scenario in which `owner` is cut from the store and its siblings, and no two of the other controllers
/// reach each other.
fn isolated_controllers_scenario(owner: usize) -> String {
    let mut scenario = "controllers 5\nmachines 6\nat 2 job service 8\n".to_owned();
    scenario += "at 3 job service 4 team=blue\n";
    for node in 0..5 {
        for other in (0..node).filter(|other| *other != owner && node != owner) {
            scenario += &format!("at 40 cut n{node} n{other} 60\n");
        }
    }
    scenario + &format!("at 40 cut n{owner} store+siblings 60\nuntil 39\n")
}

/// The leader reaches no other controller, and the owner of a shard has lost the store: the others consent to
/// the failover of that shard in their own keys of the store. The test guards against a failover that waits
/// until the owner's authority has certainly expired.
#[test]
fn an_isolated_leader_fails_over_a_shard() {
    let mut failovers = 0;
    for owner in 0..5 {
        let mut world = run_scenario(&isolated_controllers_scenario(owner));
        let teams = ["red", "blue"].map(|team| (team, world.owner_of(team)));
        let lost = Some(format!("n{owner}"));
        world.run_until(40.0 + 0.7 * LEASE_S);
        for (team, _) in teams.into_iter().filter(|(_, before)| *before == lost) {
            assert_ne!(
                world.owner_of(team),
                lost,
                "{team} is still owned by n{owner}"
            );
            failovers += 1;
        }
        world.run_until(140.0);
        assert_no_violations("isolated leader", &world);
    }
    assert_eq!(failovers, 2, "each team's owner was cut off once");
}
