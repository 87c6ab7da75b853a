//! Team limits that are held by grants: how many writes they cost, and what they allow after a failover.

use crate::script::{assert_no_violations, play};
use crate::world::LEASE_S;

/// Grants are written in batches: one-task jobs of a limited team, four a second for two minutes.
#[test]
fn grants_cost_few_writes() {
    let seconds = 120.0;
    let mut day = "grants\nseed 6\nmachines 8\n".to_owned();
    for job in 1..=480 {
        let at = 5.0 + f64::from(job) / 4.0;
        day += &format!("at {at} job array 1 run={} gpus=1 team=blue\n", 1 + job % 7);
    }
    let world = play(&(day + "until 240\n"));
    assert_no_violations("few writes", &world);
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

/// Seconds from the crash of a limited team's owner to the first start of a job that is submitted after it, while a
/// machine that receives nothing leaves it unknown what else runs of the team.
fn first_start_after_owner_crash(grants: &str) -> f64 {
    let crashed = 60.0;
    let day = format!(
        "{grants}\nseed 2\nmachines 6\nat 2 job service 6 gpus=5\n\
         at 3 job service 4 gpus=2 team=blue\nat 20 cloud_outage 160\n\
         at 30 job array 40 gpus=6 team=blue run=5\nat 58 machine_inbound_lost 1 40\n\
         at {crashed} crash leader 90\nat 62 job service 1 gpus=1 team=blue\nuntil {crashed}\n"
    );
    let mut world = play(&day);
    // Not everything could be served by the moment of the crash.
    world.ignore_violations_of("not_served");
    let last = 3;
    while world.starts_of(last) == 0 && world.now < crashed + 120.0 {
        world.run_until(world.now + 0.05);
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    world.now - crashed
}

/// A new owner of a limited team starts tasks at once within what is not granted to its predecessor.
#[test]
fn a_new_owner_starts_within_what_is_not_granted() {
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
