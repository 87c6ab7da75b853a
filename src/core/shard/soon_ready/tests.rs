use super::*;
use crate::core::effects::outbox::Outbox;
use crate::core::machines::machine::{Phase, TrackedAttempt};
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::records::keys::job_key;
use crate::core::records::shard_map::ShardEntry as MapShare;
use crate::core::records::versioned::put;
use crate::core::shard::owned_jobs::describe;
use crate::core::test_support::{map, owner as map_owner, shard, types};
use crate::ids::{Attempt, TaskId, Version};
use crate::wire::TaskState;

const BOOT_S: Time = 30.0;

fn record(id: u32, tasks: u32, needs: &[u32]) -> (JobId, JobRecord) {
    let mut spec = serde_json::json!({"c": "batch", "t": "red", "k": "sweep", "p": "standard",
        "n": tasks, "cpu": 1.0, "gpu": 0.0, "mem": 1.0, "img": "i", "igb": 1.0, "est": 40.0,
        "ck": 0.0, "sv": 0.0});
    let needs: Vec<String> = needs.iter().map(|id| format!("{id:06}")).collect();
    spec["aw"] = needs.join(" ").into();
    let stored = serde_json::json!({"s": "pending", "at": 0, "n": tasks, "j": spec});
    (
        JobId::from(format!("req-{id:06}")),
        serde_json::from_value(stored).unwrap(),
    )
}

struct Fixture {
    owner: Shard,
    outbox: Outbox,
    store: StoreReplica,
}

impl Fixture {
    fn new() -> Self {
        let (mut owner, mut outbox, mut store) = shard();
        let machines = vec!["m-1".into()];
        let mine = MapShare {
            owner: map_owner("n0"),
            teams: vec!["red".into()],
            machines,
        };
        map(&mut store, 1, vec![mine]);
        owner.follow_map(&mut outbox, &store, &UnresponsiveMachines::default());
        Self {
            owner,
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
            self.owner.jobs.insert(id, job);
        }
    }

    /// A task runs since `began`, or fetches its image if that is None.
    fn run(&mut self, id: u32, index: u32, began: Option<Time>) {
        let id = JobId::from(format!("req-{id:06}"));
        let job = self.owner.jobs.get_mut(&id).unwrap();
        let mut tracked = TrackedAttempt::new(0.0);
        describe(&mut tracked, &self.owner.config, &job.spec);
        tracked.phase = Phase::Seen(TaskState::Running);
        tracked.started_at = began;
        job.set(
            index,
            crate::core::jobs::job::Task::Placed("m-1".into(), Attempt(1)),
            None,
        );
        let machine = self
            .owner
            .machines
            .get_mut(&MachineId::from("m-1"))
            .unwrap();
        machine
            .attempts
            .insert((TaskId { job: id, index }, Attempt(1)), tracked);
    }

    fn upcoming(&mut self, now: Time) -> SoonReadyJobs {
        self.outbox.begin(now, 0);
        let types: Vec<_> = types()
            .into_iter()
            .map(|t| MachineType {
                boot_s: BOOT_S,
                ..t
            })
            .collect();
        self.owner
            .upcoming(&self.store, Usage::default(), &types, now)
    }
}

/// One boot time ahead of the expected end of all that a job needs, and not earlier.
#[test]
fn what_comes_next_is_planned_one_boot_ahead() {
    let mut shard = Fixture::new();
    shard.accept(record(1, 2, &[]), 1);
    shard.accept(record(2, 1, &[]), 2);
    shard.accept(record(3, 5, &[1, 2]), 3);
    shard.accept(record(4, 7, &[3]), 4);
    shard.run(1, 0, Some(0.0));
    assert!(shard.upcoming(20.0).wanted.is_empty(), "a task of it waits");
    shard.run(1, 1, None);
    shard.run(2, 0, Some(0.0));
    assert!(
        shard.upcoming(20.0).wanted.is_empty(),
        "a task of it fetches its image"
    );
    shard.run(1, 1, Some(8.0));
    assert!(
        shard.upcoming(17.0).wanted.is_empty(),
        "more than a boot away"
    );
    let upcoming = shard.upcoming(18.0);
    assert_eq!(upcoming.wanted.len(), 1, "not what comes after that");
    assert_eq!(upcoming.wanted[0].count, 5);
    assert_eq!(
        upcoming.released[0].1.cpus, 3.0,
        "in the room that is left behind"
    );
}

/// Nothing is planned for what will not come, or is another share's to wait for.
#[test]
fn what_may_not_come_is_not_planned() {
    let mut shard = Fixture::new();
    shard.accept(record(1, 1, &[]), 1);
    shard.accept(record(2, 1, &[]), 2);
    shard.accept(record(3, 5, &[1, 2]), 3);
    shard.run(1, 0, Some(0.0));
    shard.run(2, 0, Some(0.0));
    assert_eq!(shard.upcoming(20.0).wanted.len(), 1);
    let elsewhere = shard.owner.jobs.remove(&JobId::from("req-000002"));
    assert!(
        shard.upcoming(20.0).wanted.is_empty(),
        "runs in another share"
    );
    shard
        .owner
        .jobs
        .insert("req-000002".into(), elsewhere.unwrap());
    let (id, cancelled) = record(2, 1, &[]);
    shard.accept((id, cancelled.cancelled(1)), 5);
    assert!(
        shard.upcoming(20.0).wanted.is_empty(),
        "cancelled with what it needs"
    );
}
