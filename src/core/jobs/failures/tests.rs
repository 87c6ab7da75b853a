use super::*;

const LONGEST: Time = 32.0;

fn failing(machines: &[&str]) -> JobFailures {
    let mut failures = JobFailures::default();
    for machine in machines {
        failures.record_failure(&MachineId::from(*machine), LONGEST, 0.0);
    }
    failures
}

/// A job that fails on one faulty machine, however often, does not count as failing everywhere.
#[test]
fn failures_on_one_machine_do_not_mark_the_job_as_failing() {
    let failures = failing(&["m-1", "m-1", "m-1", "m-1"]);
    assert!(!failures.fails_everywhere());
    assert!(failures.failed_on_one_machine());
    assert_eq!(failures.avoided_machines().map(BTreeSet::len), Some(1));
}

/// A job that fails on every machine must not be started whole again and again: without probes, all its tasks were
/// once started four times each within eight seconds.
#[test]
fn probes_come_at_growing_intervals_up_to_the_longest() {
    let mut failures = failing(&["m-1", "m-2", "m-3"]);
    assert!(failures.fails_everywhere());
    assert_eq!(failures.avoided_machines(), None);
    let mut now = 0.0;
    let mut intervals = Vec::new();
    for _ in 0..7 {
        let from = now;
        while !failures.may_probe(now) {
            now += 1.0;
        }
        intervals.push(now - from);
        failures.record_failure(&"m-4".into(), LONGEST, now);
        // Started together with the task before.
        failures.record_failure(&"m-5".into(), LONGEST, now);
    }
    assert_eq!(intervals, [2.0, 4.0, 8.0, 16.0, 32.0, 32.0, 32.0]);
}

/// A probe that runs shows that the machines caused the failures.
#[test]
fn a_job_with_a_running_task_is_not_failing_everywhere() {
    let mut failures = failing(&["m-1", "m-2", "m-3"]);
    failures.record_long_run();
    assert!(!failures.fails_everywhere());
}
