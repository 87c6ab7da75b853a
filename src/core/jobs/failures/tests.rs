use super::*;

const LONGEST: Time = 32.0;

fn failing(machines: &[&str]) -> JobFailures {
    let mut failures = JobFailures::default();
    for machine in machines {
        failures.failed(&MachineId::from(*machine), LONGEST, 0.0);
    }
    failures
}

/// A job that fails on a faulty machine, however often, is not taken for broken.
#[test]
fn one_machine_says_nothing_of_the_job() {
    let failures = failing(&["m-1", "m-1", "m-1", "m-1"]);
    assert!(!failures.fails_everywhere());
    assert!(failures.on_one_machine_only());
    assert_eq!(failures.avoided().map(BTreeSet::len), Some(1));
}

/// Jobs that failed on every machine were started whole, again and again (seen in a log: eleven tasks
/// four times each within eight seconds).
#[test]
fn probes_come_at_growing_intervals_up_to_the_longest() {
    let mut failures = failing(&["m-1", "m-2", "m-3"]);
    assert!(failures.fails_everywhere());
    assert_eq!(failures.avoided(), None);
    let mut now = 0.0;
    let mut intervals = Vec::new();
    for _ in 0..7 {
        let from = now;
        while !failures.may_probe(now) {
            now += 1.0;
        }
        intervals.push(now - from);
        failures.failed(&"m-4".into(), LONGEST, now);
        // Of the same wave.
        failures.failed(&"m-5".into(), LONGEST, now);
    }
    assert_eq!(intervals, [2.0, 4.0, 8.0, 16.0, 32.0, 32.0, 32.0]);
}

/// A probe that runs shows that the machines were at fault.
#[test]
fn a_job_that_runs_somewhere_is_not_broken() {
    let mut failures = failing(&["m-1", "m-2", "m-3"]);
    failures.prove();
    assert!(!failures.fails_everywhere());
}
