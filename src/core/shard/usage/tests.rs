use super::*;
use crate::config::Config;
use crate::core::effects::outbox::Outbox;
use crate::core::machines::machine::Phase;
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::records::job_record::JobRecord;
use crate::core::records::keys::job_key;
use crate::core::records::shard_map::ShardEntry;
use crate::core::records::versioned::put;
use crate::core::scheduling::catalog::Catalog;
use crate::core::test_support::{
    apply_shard_map, heartbeat, machine_types, owner, record, shard_with_config,
};
use crate::ids::{Attempt, FencingToken, Version};
use crate::wire::{ReportedTask, TaskState};
use std::rc::Rc;

/// The version at which the shard map assigns the team and its machines to the shard.
const GAINED: Version = 10;
/// A job that the team's former owner has started. Its record was written before the shard map.
const STARTED_JOB: &str = "req-000001";
/// A job that waits.
const WAITING_JOB: &str = "req-000002";
/// The time of day in milliseconds.
const WALL_MS: u64 = 1_000_000;

fn config_with_limit(gpus: f64) -> Config {
    let limited = format!("teams = [{{ name = \"red\", gpus_max = {gpus:?} }}]");
    let text = crate::config::TEST_SETTINGS.replace(r#"teams = [{ name = "red" }]"#, &limited);
    Config::parse(&text).unwrap()
}

/// A shard whose replica has the shard map by its own write, before it has read up to that version.
struct Fixture {
    shard: Shard,
    outbox: Outbox,
    store: StoreReplica,
}

impl Fixture {
    /// `read_up_to` is the revision that the replica has read.
    fn new(gpus_max: f64, read_up_to: Version) -> Self {
        let (shard, outbox, store) = shard_with_config(config_with_limit(gpus_max));
        let mut fixture = Self {
            shard,
            outbox,
            store,
        };
        fixture.store.set_revision(read_up_to);
        let entry = ShardEntry {
            owner: owner("n0"),
            teams: vec!["red".into()],
            machines: vec!["m-1".into(), "m-2".into()],
        };
        apply_shard_map(&mut fixture.store, GAINED, vec![entry]);
        fixture.advance(0.0);
        fixture
    }

    fn put_job(&mut self, id: &str, record: &JobRecord, version: Version) {
        let write = put(&job_key(&id.into()), record, None);
        self.store.apply_write(&write, version);
    }

    /// Applies a heartbeat that shows the shard's token and these running tasks.
    fn report(&mut self, machine: &str, sequence: u64, tasks: &[&str]) {
        let mut report = heartbeat(machine, 1, sequence, FencingToken(9));
        report.tasks = tasks.iter().map(|task| running(task)).collect();
        let now = self.outbox.now;
        self.shard
            .handle_heartbeat(&self.store, &catalog(), &report, now);
    }

    /// Lets the replica read all changes up to this version.
    fn read_up_to(&mut self, version: Version) {
        self.store.set_revision(version);
    }

    fn advance(&mut self, now: f64) {
        self.outbox.begin_step(now, WALL_MS);
        self.shard.advance(
            &mut self.outbox,
            &mut self.store,
            &catalog(),
            &UnresponsiveMachines::default(),
        );
        self.outbox.take_effects();
    }

    /// Number of tasks of a job that this shard has started.
    fn started(&self, job: &str) -> usize {
        let attempts = self
            .shard
            .machines
            .values()
            .flat_map(|machine| &machine.attempts);
        attempts
            .filter(|((task, _), tracked)| {
                task.job == JobId::from(job) && tracked.phase == Phase::Issued
            })
            .count()
    }
}

fn catalog() -> Catalog {
    Catalog::with_types(machine_types())
}

fn running(task: &str) -> ReportedTask {
    ReportedTask {
        task: task.into(),
        attempt: Attempt(1),
        state: TaskState::Running,
        exit: None,
        checkpointed: None,
    }
}

/// A leader knows of a team that it assigns to itself before it has read the jobs that the former owner started.
#[test]
fn a_limited_team_starts_nothing_beside_running_tasks_of_jobs_that_are_not_read_yet() {
    let mut fixture = Fixture::new(3.0, 5);
    fixture.put_job(WAITING_JOB, &record(false), 4);
    fixture.advance(1.0);
    fixture.report("m-1", 1, &["req-000001/0", "req-000001/1"]);
    fixture.report("m-2", 1, &[]);
    fixture.advance(2.0);
    assert_eq!(fixture.started(WAITING_JOB), 0);

    fixture.put_job(STARTED_JOB, &record(false), 8);
    fixture.read_up_to(GAINED);
    fixture.advance(3.0);
    assert_eq!(fixture.started(WAITING_JOB), 1, "3 GPUs, 2 in use");
}

/// Otherwise a former owner starts a job that the next owner, which has not read the end either, does not count.
#[test]
fn a_job_is_not_started_before_its_dependency_is_read_as_done() {
    let mut fixture = Fixture::new(0.0, GAINED);
    fixture.report("m-1", 1, &[]);
    fixture.report("m-2", 1, &[]);
    let dependency = record(false);
    fixture.put_job(STARTED_JOB, &dependency, 4);
    let mut dependent = record(false);
    Rc::make_mut(dependent.spec.as_mut().unwrap()).dependencies = vec![STARTED_JOB.into()];
    fixture.put_job(WAITING_JOB, &dependent, 5);
    fixture.advance(1.0);

    let done = dependency.to_done(WALL_MS);
    fixture.put_job(STARTED_JOB, &done, GAINED + 2);
    fixture.advance(2.0);
    assert_eq!(fixture.started(WAITING_JOB), 0);

    fixture.read_up_to(GAINED + 2);
    fixture.advance(3.0);
    assert_eq!(fixture.started(WAITING_JOB), 2);
}
