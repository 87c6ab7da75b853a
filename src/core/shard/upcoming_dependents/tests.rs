use super::*;
use crate::core::effects::outbox::Outbox;
use crate::core::machines::machine::{Phase, TrackedAttempt};
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::records::job_record::JobRecord;
use crate::core::records::keys::job_key;
use crate::core::records::shard_map::ShardEntry;
use crate::core::records::versioned::put;
use crate::core::shard::owned_jobs::describe_attempt;
use crate::core::test_support::{apply_shard_map, machine_types, owner, shard};
use crate::ids::{Attempt, TaskId, Version};
use crate::wire::TaskState;

const BOOT_S: Time = 30.0;

fn record(id: u32, tasks: u32, dependencies: &[u32]) -> (JobId, JobRecord) {
    let mut spec = serde_json::json!({"c": "batch", "t": "red", "k": "sweep", "p": "standard",
        "n": tasks, "cpu": 1.0, "gpu": 0.0, "mem": 1.0, "img": "i", "igb": 1.0, "est": 40.0,
        "ck": 0.0, "sv": 0.0});
    let dependencies: Vec<String> = dependencies.iter().map(|id| format!("{id:06}")).collect();
    spec["aw"] = dependencies.join(" ").into();
    let stored = serde_json::json!({"s": "pending", "at": 0, "n": tasks, "j": spec});
    (
        JobId::from(format!("req-{id:06}")),
        serde_json::from_value(stored).unwrap(),
    )
}

struct Fixture {
    shard: Shard,
    outbox: Outbox,
    store: StoreReplica,
}

impl Fixture {
    fn new() -> Self {
        let (mut shard, mut outbox, mut store) = shard();
        let machines = vec!["m-1".into()];
        let shard_entry = ShardEntry {
            owner: owner("n0"),
            teams: vec!["red".into()],
            machines,
        };
        apply_shard_map(&mut store, 1, vec![shard_entry]);
        shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
        Self {
            shard,
            outbox,
            store,
        }
    }

    fn accept(&mut self, (id, record): (JobId, JobRecord), version: Version) {
        self.store
            .apply_write(&put(&job_key(&id), &record, None), version);
        if record
            .spec
            .as_ref()
            .is_some_and(|spec| spec.dependencies.is_empty())
        {
            let spec = record.spec.clone().unwrap();
            let job = Job::new(spec, Rc::new(record), version, 0.0, true);
            self.shard.jobs.insert(id, job);
        }
    }

    /// Marks a task as running since `started_at`, or as fetching its image if that is `None`.
    fn run(&mut self, id: u32, index: u32, started_at: Option<Time>) {
        let id = JobId::from(format!("req-{id:06}"));
        let job = self.shard.jobs.get_mut(&id).unwrap();
        let mut tracked = TrackedAttempt::new(0.0);
        describe_attempt(&mut tracked, &self.shard.config, &job.spec);
        tracked.phase = Phase::Seen(TaskState::Running);
        tracked.started_at = started_at;
        job.set_task(
            index,
            crate::core::jobs::job::Task::Placed("m-1".into(), Attempt(1)),
            None,
        );
        let machine = self
            .shard
            .machines
            .get_mut(&MachineId::from("m-1"))
            .unwrap();
        machine
            .attempts
            .insert((TaskId { job: id, index }, Attempt(1)), tracked);
    }

    fn upcoming_dependents(&mut self, now: Time) -> UpcomingDependents {
        self.outbox.begin_step(now, 0);
        let types: Vec<_> = machine_types()
            .into_iter()
            .map(|machine_type| MachineType {
                boot_s: BOOT_S,
                ..machine_type
            })
            .collect();
        self.shard
            .upcoming_dependents(&self.store, Usage::default(), &types, now)
    }
}

/// Machines for a dependent job are planned at most one boot time before all its dependencies are expected to
/// end.
#[test]
fn dependents_are_planned_one_boot_time_before_their_dependencies_end() {
    let mut fixture = Fixture::new();
    fixture.accept(record(1, 2, &[]), 1);
    fixture.accept(record(2, 1, &[]), 2);
    fixture.accept(record(3, 5, &[1, 2]), 3);
    fixture.accept(record(4, 7, &[3]), 4);
    fixture.run(1, 0, Some(0.0));
    assert!(
        fixture.upcoming_dependents(20.0).demands.is_empty(),
        "one of its tasks waits"
    );
    fixture.run(1, 1, None);
    fixture.run(2, 0, Some(0.0));
    assert!(
        fixture.upcoming_dependents(20.0).demands.is_empty(),
        "one of its tasks fetches its image"
    );
    fixture.run(1, 1, Some(8.0));
    assert!(
        fixture.upcoming_dependents(17.0).demands.is_empty(),
        "more than a boot away"
    );
    let upcoming_dependents = fixture.upcoming_dependents(18.0);
    assert_eq!(
        upcoming_dependents.demands.len(),
        1,
        "not the dependents of dependents"
    );
    assert_eq!(upcoming_dependents.demands[0].count, 5);
    assert_eq!(
        upcoming_dependents.released[0].1.cpus, 3.0,
        "the resources that the dependencies release"
    );
}

/// No machine is planned for a job that is cancelled with its dependency or depends on another shard's job.
#[test]
fn dependents_of_cancelled_or_foreign_jobs_are_not_planned() {
    let mut fixture = Fixture::new();
    fixture.accept(record(1, 1, &[]), 1);
    fixture.accept(record(2, 1, &[]), 2);
    fixture.accept(record(3, 5, &[1, 2]), 3);
    fixture.run(1, 0, Some(0.0));
    fixture.run(2, 0, Some(0.0));
    assert_eq!(fixture.upcoming_dependents(20.0).demands.len(), 1);
    let removed_job = fixture.shard.jobs.remove(&JobId::from("req-000002"));
    assert!(
        fixture.upcoming_dependents(20.0).demands.is_empty(),
        "a dependency runs in another shard"
    );
    fixture
        .shard
        .jobs
        .insert("req-000002".into(), removed_job.unwrap());
    let (id, cancelled) = record(2, 1, &[]);
    fixture.accept((id, cancelled.to_cancelled(1)), 5);
    assert!(
        fixture.upcoming_dependents(20.0).demands.is_empty(),
        "cancelled with its dependency"
    );
}
