use super::*;

const LONGEST_INTERVAL_S: Time = 32.0;

fn failures_on(machines: &[&str]) -> JobFailures {
    let mut failures = JobFailures::default();
    for machine in machines {
        failures.record_failure(&MachineId::from(*machine), LONGEST_INTERVAL_S, 0.0);
    }
    failures
}

/// Failures on one machine, however many, must not make the job count as failing on every machine.
#[test]
fn failures_on_one_machine_do_not_mark_the_job_as_failing() {
    let failures = failures_on(&["m-1", "m-1", "m-1", "m-1"]);
    assert!(!failures.fails_everywhere());
    assert!(failures.failed_on_one_machine());
    assert_eq!(failures.avoided_machines().map(BTreeSet::len), Some(1));
}

/// Guards against repeated starts of all tasks of a job that fails on every machine. Without probes, each
/// task was started four times within eight seconds.
#[test]
fn probe_intervals_double_up_to_the_longest() {
    let mut failures = failures_on(&["m-1", "m-2", "m-3"]);
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
        failures.record_failure(&"m-4".into(), LONGEST_INTERVAL_S, now);
        // This task was started together with the previous one.
        failures.record_failure(&"m-5".into(), LONGEST_INTERVAL_S, now);
    }
    assert_eq!(intervals, [2.0, 4.0, 8.0, 16.0, 32.0, 32.0, 32.0]);
}

/// A task that runs for long shows that the machines, not the job, caused the failures.
#[test]
fn a_job_with_a_long_run_does_not_fail_everywhere() {
    let mut failures = failures_on(&["m-1", "m-2", "m-3"]);
    failures.record_long_run();
    assert!(!failures.fails_everywhere());
}
