//! Team limits that are held by grants: the number of their writes, and starts after a failover.

use crate::script::{assert_no_violations, run_scenario};
use crate::world::LEASE_S;

/// Grants are written in batches, so few writes suffice for one-task jobs of a limited team that arrive
/// four a second for two minutes.
#[test]
fn grants_cost_few_writes() {
    let seconds = 120.0;
    let mut scenario = "grants\nseed 6\nmachines 8\n".to_owned();
    for job in 1..=480 {
        let at = 5.0 + f64::from(job) / 4.0;
        scenario += &format!("at {at} job array 1 run={} gpus=1 team=blue\n", 1 + job % 7);
    }
    let world = run_scenario(&(scenario + "until 240\n"));
    assert_no_violations("grant writes", &world);
    let writes = world.grant_writes("blue");
    println!(
        "{writes} writes of grants for {} starts in {seconds} s",
        world.starts()
    );
    assert!(
        writes > 2 && (writes as f64) < seconds * world.limits.write_rps / 25.0,
        "{writes}"
    );
}

/// Measures the seconds from the crash of a limited team's owner to the first start of a job that is
/// submitted after the crash. A machine receives nothing meanwhile, so the new owner does not know which
/// other tasks of the team run.
fn first_start_after_owner_crash(grants: &str) -> f64 {
    let crashed_at = 60.0;
    let scenario = format!(
        "{grants}\nseed 2\nmachines 6\nat 2 job service 6 gpus=5\n\
         at 3 job service 4 gpus=2 team=blue\nat 20 cloud_outage 160\n\
         at 30 job array 40 gpus=6 team=blue run=5\nat 58 machine_inbound_lost 1 40\n\
         at {crashed_at} crash leader 90\nat 62 job service 1 gpus=1 team=blue\nuntil {crashed_at}\n"
    );
    let mut world = run_scenario(&scenario);
    // Some requests cannot have been served at the moment of the crash.
    world.ignore_violations_of("not_served");
    let last_job = 3;
    while world.starts_of(last_job) == 0 && world.now < crashed_at + 120.0 {
        world.run_until(world.now + 0.05);
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    world.now - crashed_at
}

/// A new owner of a limited team starts tasks at once within the part of the limit that is not granted to its
/// predecessor.
#[test]
fn a_new_owner_starts_tasks_within_the_ungranted_limit() {
    let without = first_start_after_owner_crash("");
    let with = first_start_after_owner_crash("grants");
    println!(
        "first start after the owner's crash: {without:.2} s without grants, {with:.2} s with"
    );
    assert!(
        with < LEASE_S && with < without,
        "{with} s with grants, {without} s without"
    );
}

/// Seed 216 of `limited_teams_violate_no_invariant`.
#[test]
fn a_gang_within_its_teams_limit_gets_a_grant() {
    let scenario = include_str!("../fixtures/gang_without_grant.txt");
    let world = run_scenario(&format!("grants\n{scenario}"));
    assert_no_violations("gang without a grant", &world);
}
