use super::*;
use crate::wire::Priority;
use std::rc::Rc;

fn id(number: usize) -> JobId {
    format!("req-{number:06}").into()
}

fn record(
    status: &str,
    dependencies: &[usize],
    priority: &str,
    deadline_s: Option<f64>,
) -> JobRecord {
    let numbers: Vec<String> = dependencies
        .iter()
        .map(|number| format!("{number:06}"))
        .collect();
    let mut spec = serde_json::json!({"c": "c", "t": "red", "k": "sweep", "p": priority, "n": 1,
        "cpu": 1.0, "gpu": 0.0, "mem": 1.0, "img": "i", "igb": 1.0, "est": 10.0, "ck": 0.0, "sv": 0.0});
    if !dependencies.is_empty() {
        spec["aw"] = numbers.join(" ").into();
    }
    if let Some(deadline_s) = deadline_s {
        spec["dl"] = deadline_s.into();
    }
    serde_json::from_value(serde_json::json!({"s": status, "at": 1000, "n": 1, "jd": spec}))
        .unwrap()
}

#[derive(Default)]
struct Records {
    jobs: BTreeMap<JobId, Rc<JobRecord>>,
    index: Dependencies,
    /// Number of jobs reported as changed so far.
    changed: usize,
}

impl Records {
    fn put(&mut self, number: usize, record: JobRecord) -> BTreeSet<JobId> {
        let (jobs, mut changed) = (&self.jobs, BTreeSet::new());
        let job = |id: &JobId| jobs.get(id).map(|job| &**job);
        self.index
            .apply_record(&id(number), job(&id(number)), &record, job, &mut changed);
        self.jobs.insert(id(number), Rc::new(record));
        let job = |id: &JobId| self.jobs.get(id).map(|job| &**job);
        self.index.propagate_urgency(job, &mut changed);
        self.changed += changed.len();
        changed
    }
}

/// A full read lists jobs in the order of their ids, so a dependent may be read before its dependency.
#[test]
fn a_cancellation_reaches_dependents_in_any_read_order() {
    const LENGTH: usize = 500;
    for backwards in [false, true] {
        let mut records = Records::default();
        let chain: Vec<usize> = (2..=LENGTH).collect();
        let order: Vec<usize> = if backwards {
            chain.into_iter().rev().collect()
        } else {
            chain
        };
        for number in order {
            records.put(number, record("pending", &[number - 1], "standard", None));
        }
        records.put(1, record("withdrawn", &[], "standard", None));
        assert!((2..=LENGTH).all(|number| records.index.has_cancelled_dependency(&id(number))));
        // Job 901 is submitted later and depends on the cancelled jobs. Job 902 does not.
        records.put(901, record("pending", &[LENGTH, 1], "standard", None));
        records.put(902, record("pending", &[900], "standard", None));
        assert!(
            records.index.has_cancelled_dependency(&id(901))
                && !records.index.has_cancelled_dependency(&id(902))
        );
        // The index drops the jobs when their own cancellation is recorded.
        (2..=LENGTH).for_each(|number| {
            drop(records.put(number, record("withdrawn", &[], "standard", None)))
        });
        records.put(901, record("withdrawn", &[], "standard", None));
        assert!(records.index.dependency_cancelled.is_empty());
        assert_eq!(records.index.dependents.len(), 1, "only those of job 900");
    }
}

#[test]
fn a_finished_job_changes_only_its_dependents() {
    let mut records = Records::default();
    for number in 1..=200 {
        records.put(number, record("pending", &[], "standard", None));
    }
    for number in 201..=500 {
        records.put(number, record("pending", &[1, 2], "standard", None));
    }
    let before = records.changed;
    assert_eq!(
        records.put(1, record("done", &[], "standard", None)).len(),
        300
    );
    assert_eq!(
        records.put(3, record("done", &[], "standard", None)).len(),
        0
    );
    assert_eq!(records.changed - before, 300);
    assert!(!records.index.dependents.contains_key(&id(1)));
}

#[test]
fn urgency_reaches_all_dependencies_and_never_falls() {
    let mut records = Records::default();
    records.put(1, record("pending", &[], "best_effort", None));
    records.put(2, record("pending", &[1], "best_effort", None));
    assert_eq!(
        records.index.inherited_urgency(&id(1)).unwrap().priority,
        Priority::Low
    );
    let changed = records.put(3, record("pending", &[2], "high", Some(60.0)));
    assert_eq!(changed, [id(1), id(2)].into());
    // Job 3 is due at 61 s and takes 10 s, so job 2 is due at 51 s. Job 2 also takes 10 s.
    let inherited =
        |records: &Records, number| *records.index.inherited_urgency(&id(number)).unwrap();
    assert_eq!(
        inherited(&records, 2),
        Urgency {
            priority: Priority::High,
            due_ms: Some(51_000)
        }
    );
    assert_eq!(
        inherited(&records, 1),
        Urgency {
            priority: Priority::High,
            due_ms: Some(41_000)
        }
    );
    records.put(4, record("pending", &[1], "standard", Some(600.0)));
    records.put(3, record("withdrawn", &[], "high", None));
    assert_eq!(
        inherited(&records, 1),
        Urgency {
            priority: Priority::High,
            due_ms: Some(41_000)
        }
    );
    // A job that is read before its dependencies also passes its urgency on to them.
    records.put(12, record("pending", &[11], "critical", None));
    records.put(11, record("pending", &[10], "best_effort", None));
    records.put(10, record("pending", &[], "best_effort", None));
    assert_eq!(inherited(&records, 10).priority, Priority::Production);
}
