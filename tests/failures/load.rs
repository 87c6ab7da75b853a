//! Suspicions under load: users poll all controllers again and again, jobs start and end, responses of the
//! store are lost, and one message in a hundred is late. No running controller may be suspected.

use crate::script::{assert_no_violations, run_scenario};

/// Number of controllers in the simulation.
const CONTROLLERS: usize = 5;
/// Suspicions before this time are not counted. The load begins ten seconds earlier.
const COUNTING_BEGINS_S: f64 = 30.0;
/// Duration of the load. `FAILURE_LOAD_SECONDS` selects another one.
const LOAD_DURATION_S: f64 = 300.0;
/// Seconds between two checks for suspicions.
const STEP_S: f64 = 0.05;

#[test]
fn no_controller_is_suspected_under_load() {
    let seconds = std::env::var("FAILURE_LOAD_SECONDS")
        .ok()
        .and_then(|text| text.parse().ok());
    let seconds: f64 = seconds.unwrap_or(LOAD_DURATION_S);
    let ends_at = COUNTING_BEGINS_S + seconds;
    let mut scenario =
        format!("seed 4\ncontrollers {CONTROLLERS}\nmachines 30\nat 2 job service 30 spread\n");
    scenario +=
        &format!("at 20 linearizability_probes {seconds}\nat 25 lost_store_responses {seconds}\n");
    let jobs = (seconds / 2.0) as usize;
    for job in 0..jobs {
        let at = 20.0 + 2.0 * job as f64;
        scenario += &format!("at {at} job array 8 run=4 gpus=1\n");
    }
    let mut world = run_scenario(&format!("{scenario}until {COUNTING_BEGINS_S}\n"));
    world.ignore_violations_of("not_served");
    let mut suspicions = 0;
    let mut suspected = [false; CONTROLLERS];
    while world.now < ends_at {
        world.run_until(world.now + STEP_S);
        for (node, before) in suspected.iter_mut().enumerate() {
            let now = world.is_suspected(node);
            suspicions += usize::from(now && !*before);
            *before = now;
        }
    }
    println!(
        "{suspicions} suspicions in {seconds} s of load, {:?}",
        world.counters
    );
    assert_eq!(suspicions, 0);
    assert_no_violations("no controller is suspected under load", &world);
}
