use super::*;
use crate::core::machines::machine::TrackedAttempt;
use crate::core::messages::shard_update::UnresponsiveMachine;
use crate::core::records::job_record::JobRecord;
use crate::core::records::keys::job_key;
use crate::core::records::shard_map::{ShardEntry, ShardOwner};
use crate::core::records::versioned::put;
use crate::core::shard::owned_jobs::describe_terminating_attempt;
use crate::core::test_support::{map, owner, record, shard};
use crate::ids::{Attempt, FencingToken, TaskId, Version};

/// Its owner may have changed without this process having read so; then somebody else answers
/// it, and its tasks live on (hunted days of a starved controller).
#[test]
fn a_silent_machine_is_empty_only_by_a_map_read_after_its_lease() {
    let (mut shard, mut outbox, mut store) = shard();
    let mine = ShardEntry {
        owner: owner("n0"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    map(&mut store, 5, vec![mine]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    store.set_current_as_of(9.0);
    shard.expire_machines(&store, 60.0);
    assert!(!shard.machines[&MachineId::from("m-1")].known_empty);
    store.set_current_as_of(59.0);
    shard.expire_machines(&store, 60.0);
    assert!(shard.machines[&MachineId::from("m-1")].known_empty);
}

/// Who has a silent machine next counts its lease from the last answer that its former owner
/// told of, if the map says that nobody else had it in between.
#[test]
fn the_lease_of_a_silent_machine_is_counted_on_through_a_hand_over() {
    let (mut shard, mut outbox, mut store) = shard();
    let mut unresponsive = UnresponsiveMachines::default();
    let said = |id: &str| UnresponsiveMachine {
        machine: id.into(),
        token: FencingToken(8),
        age: 6.0,
    };
    unresponsive.note([said("m-1"), said("m-2")], 20.0);
    let known = ShardOwner {
        previous_token: Some(FencingToken(8)),
        ..owner("n0")
    };
    let chain = ShardEntry {
        owner: known,
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    let other = ShardEntry {
        owner: owner("n0"),
        teams: vec![],
        machines: vec!["m-2".into()],
    };
    map(&mut store, 5, vec![chain, other]);
    outbox.begin_step(21.0, 0);
    shard.apply_map_changes(&mut outbox, &store, &unresponsive);
    let answered = |shard: &Shard, id: &str| shard.machines[&MachineId::from(id)].last_answered;
    assert!((14.0..14.1).contains(&answered(&shard, "m-1")));
    assert_eq!(answered(&shard, "m-2"), 21.0);
}

/// In the first seconds of a share one machine got the replicas of four images, which shared
/// its fetch rate, while hundreds were about to report.
#[test]
fn what_would_queue_for_a_fetch_waits_for_machines_about_to_report() {
    let (mut shard, mut outbox, mut store) = shard();
    let machines = vec!["m-1".into(), "m-2".into()];
    map(
        &mut store,
        5,
        vec![ShardEntry {
            owner: owner("n0"),
            teams: vec!["red".into()],
            machines,
        }],
    );
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    let first = shard.machines.get_mut(&MachineId::from("m-1")).unwrap();
    first.token_confirmed = true;
    first.total = Resources {
        cpus: 32.0,
        gpus: 8.0,
        memory_gb: 100.0,
    };
    first.fetch_rate = 1.0;
    for (id, image) in [("req-000001", "a"), ("req-000002", "b")] {
        let mut record = record(false);
        Rc::make_mut(record.spec.as_mut().unwrap()).image = image.into();
        shard.apply_job_record(&store, &id.into(), &Rc::new(record), 9, (0.0, 0));
    }
    let started = |shard: &Shard| shard.machines[&MachineId::from("m-1")].attempts.len();
    outbox.begin_step(0.1, 0);
    let mut usage = shard.usage(&store, outbox.wall_ms);
    shard.schedule(outbox.now, &mut usage, &Catalog::default());
    assert_eq!(
        started(&shard),
        2,
        "both replicas of one image, none of the other"
    );
    outbox.begin_step(60.0, 0);
    let mut usage = shard.usage(&store, outbox.wall_ms);
    shard.schedule(outbox.now, &mut usage, &Catalog::default());
    assert_eq!(started(&shard), 4, "not for ever");
}

/// What was said of its last answer has to stay true until it has a fresh token.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one history of events, each step depends on the ones before"
)]
fn a_machine_declared_unresponsive_is_not_answered_under_that_token() {
    let (mut shard, mut outbox, mut store) = shard();
    let mine = ShardEntry {
        owner: owner("n0"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    map(&mut store, 5, vec![mine]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    let heartbeat = |sequence| crate::wire::Heartbeat {
        machine: "m-1".into(),
        address: "a".into(),
        type_name: "g".into(),
        zone: "z".into(),
        spot: false,
        agent_epoch: 1,
        sequence,
        token: FencingToken(9),
        reclaim_notice_s: None,
        tasks: Vec::new(),
    };
    let handle_heartbeat = |shard: &mut Shard, outbox: &mut Outbox, now, sequence| {
        outbox.begin_step(now, 0);
        let answer = shard.handle_heartbeat(
            &store,
            &Catalog::default(),
            &heartbeat(sequence),
            outbox.now,
        );
        answer.unwrap().status
    };
    assert_eq!(handle_heartbeat(&mut shard, &mut outbox, 1.0, 1), 200);
    let lease = shard.config.deployment.workers.lease_s;
    let mut current = StoreReplica::new(&shard.config);
    current.set_current_as_of(1.0 + lease * 0.75);
    shard.declare_unresponsive(&current, 1.0 + lease * 0.75);
    assert!(
        shard.unresponsive_machines(lease).is_empty(),
        "hearing nobody says nothing of one"
    );
    shard.last_heartbeat = 1.0 + lease * 0.75;
    shard.declare_unresponsive(&current, 1.0 + lease * 0.75);
    assert_eq!(shard.unresponsive_machines(lease).len(), 1);
    assert_eq!(
        handle_heartbeat(&mut shard, &mut outbox, 1.0 + lease * 0.78, 2),
        503
    );
    assert_eq!(
        shard.demand.tokens_to_renew,
        [("m-1".into(), FencingToken(9))]
    );
    // With a fresh token it is heard again, and has the time to be.
    let fresh = ShardOwner {
        token: FencingToken(10),
        ..owner("n0")
    };
    let mine = ShardEntry {
        owner: fresh,
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    map(&mut store, 6, vec![mine]);
    outbox.begin_step(1.0 + lease * 0.8, 0);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    shard.declare_unresponsive(&current, 1.0 + lease * 0.8);
    let machine = &shard.machines[&MachineId::from("m-1")];
    assert!(!machine.unresponsive && machine.token == FencingToken(10));
}

/// A leader owns a machine by its own write, before it has read the jobs that came before.
#[test]
fn a_machine_with_unknown_tasks_is_not_told_as_settled() {
    let (mut shard, mut outbox, mut store) = shard();
    let mine = ShardEntry {
        owner: owner("n0"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    let other = ShardEntry {
        owner: owner("n1"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    map(&mut store, 5, vec![mine, other]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    shard.listeners.insert("n1".into());
    let id = MachineId::from("m-1");
    shard.machines.get_mut(&id).unwrap().token_confirmed = true;
    let task = TaskId {
        job: "req-000001".into(),
        index: 0,
    };
    let shown = crate::wire::ReportedTask {
        task: task.to_string(),
        attempt: Attempt(1),
        state: crate::wire::TaskState::Running,
        exit: None,
        checkpointed: None,
    };
    shard.apply_reported_task(&store, &id, task.clone(), &shown, outbox.now);
    let news = |shard: &Shard, store: &StoreReplica| {
        let news = shard.peer_update_for(
            &"n1".into(),
            store,
            None,
            ImageHints::new(),
            Default::default(),
        );
        (news.reconciled.len(), news.observations.len())
    };
    assert_eq!(news(&shard, &store), (0, 0));
    store.apply_write(&put(&job_key(&task.job), &record(false), None), 4);
    shard.apply_reported_task(&store, &id, task, &shown, outbox.now);
    assert_eq!(news(&shard, &store), (1, 1));
}

/// A sibling that has read of the team's next owner before this one did leaves it out.
#[test]
fn silence_about_a_team_that_the_sender_gives_to_another_says_nothing() {
    let (mut shard, mut outbox, mut store) = shard();
    let mine = ShardEntry {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    let other = ShardEntry {
        owner: owner("n1"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    map(&mut store, 5, vec![mine, other]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    let id = MachineId::from("m-1");
    let mut machine = Machine::named(id.clone(), FencingToken(9), 0.0);
    let mut tracked = TrackedAttempt::new(0.0);
    tracked.team = Some("red".into());
    let task = TaskId {
        job: "req-000001".into(),
        index: 0,
    };
    machine.attempts.insert((task, Attempt(1)), tracked);
    shard.machines.insert(id.clone(), machine);
    let news = |teams: &[&str]| crate::core::messages::shard_update::PeerUpdate {
        revision: 7,
        teams: teams.iter().map(|team| Team::from(*team)).collect(),
        wants_observations: false,
        reconciled: vec![(id.clone(), FencingToken(9))],
        observations: vec![],
        commands: vec![],
        demand: CapacityDemand::default(),
        unavailable_offers: None,
        images: ImageHints::new(),
        contacts: Default::default(),
    };
    shard.apply_peer_update(&mut outbox, &store, &"n1".into(), 1, news(&[]));
    assert!(
        shard.machines.contains_key(&id)
            && !shard.teams[&Team::from("red")].unreconciled.is_empty()
    );
    shard.apply_peer_update(&mut outbox, &store, &"n1".into(), 1, news(&["red"]));
    assert!(
        !shard.machines.contains_key(&id)
            && shard.teams[&Team::from("red")].unreconciled.is_empty()
    );
}

/// The map gave the team to another controller and back between two reads of it: what that one has
/// started meanwhile is not known here.
#[test]
fn a_team_under_another_term_is_settled_anew() {
    let (mut shard, mut outbox, mut store) = shard();
    let other = ShardEntry {
        owner: owner("n1"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    let mine = |token| ShardOwner {
        token: FencingToken(token),
        ..owner("n0")
    };
    let share_of = |token| ShardEntry {
        owner: mine(token),
        teams: vec!["red".into()],
        machines: vec![],
    };
    map(&mut store, 5, vec![share_of(9), other.clone()]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    shard
        .teams
        .get_mut(&Team::from("red"))
        .unwrap()
        .unreconciled
        .clear();
    let id = JobId::from("req-000001");
    store.apply_write(&put(&job_key(&id), &record(false), None), 7);
    shard.apply_job_record(&store, &id, &Rc::new(record(false)), 7, (1.0, 0));
    assert_eq!(shard.jobs[&id].unreconciled(), 0);
    map(&mut store, 8, vec![share_of(11), other]);
    store.apply_write(
        &put(&job_key(&"req-000002".into()), &record(false), None),
        9,
    );
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    assert!(!shard.teams[&Team::from("red")].unreconciled.is_empty());
    shard.apply_job_record(&store, &id, &Rc::new(record(false)), 7, (1.0, 0));
    assert_eq!(
        shard.jobs[&id].unreconciled(),
        2,
        "perhaps started elsewhere meanwhile"
    );
}

/// A leader that gives itself a team has written the map before it has read the jobs that the
/// team's former owner read, and perhaps started, before that.
#[test]
fn only_jobs_from_after_the_gain_are_known_to_run_nowhere() {
    let (mut shard, mut outbox, mut store) = shard();
    let mine = ShardEntry {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    let other = ShardEntry {
        owner: owner("n1"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    map(&mut store, 105, vec![mine, other]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    let ids = ["req-000001", "req-000002", "req-000003"].map(JobId::from);
    for (id, version, done) in [
        (&ids[0], 100, false),
        (&ids[1], 107, true),
        (&ids[2], 108, false),
    ] {
        shard.apply_job_record(&store, id, &Rc::new(record(done)), version, (1.0, 0));
    }
    let unreconciled = ids.map(|id| shard.jobs[&id].unreconciled());
    assert_eq!(
        unreconciled,
        [2, 1, 0],
        "before the gain; begun before it was seen; after it"
    );
}

/// A team's new owner counts what was cancelled lately, and since it has the team, until all machines
/// have told what they hold; a long history of cancellations delays nothing.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one history of events, each step depends on the ones before"
)]
fn only_recent_cancellations_count_towards_a_limit() {
    let (mut shard, mut outbox, mut store) = shard();
    let now_ms = 1_000_000;
    let recent_ms = now_ms - 59_000;
    let cancelled = |at: u64| JobRecord {
        ended_ms: Some(at),
        ..record(false).cancelled(at)
    };
    let tell = |store: &mut StoreReplica, id: &str, record: &JobRecord, version: Version| {
        store.apply_write(&put(&job_key(&id.into()), record, None), version);
    };
    for number in 0..50 {
        let old = cancelled(now_ms - 61_000);
        tell(&mut store, &format!("req-{number:06}"), &old, number + 1);
    }
    let mine = |teams| ShardEntry {
        owner: owner("n0"),
        teams,
        machines: vec!["m-1".into()],
    };
    map(&mut store, 60, vec![mine(vec!["red".into()])]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    outbox.begin_step(1.0, now_ms);
    let used = |shard: &Shard, store: &StoreReplica| shard.usage(store, now_ms).gpus(&"red".into());
    assert_eq!(used(&shard, &store), 0.0, "long gone");
    tell(&mut store, "req-000100", &cancelled(recent_ms), 59);
    assert_eq!(used(&shard, &store), 2.0, "perhaps still there");
    // Carried out late, after newer ones: the team was gained before.
    tell(&mut store, "req-000101", &cancelled(1), 61);
    assert_eq!(used(&shard, &store), 4.0);
    // What is seen is counted where it is, and not twice.
    let machine = shard.machines.get_mut(&MachineId::from("m-1")).unwrap();
    let mut tracked = TrackedAttempt::new(0.0);
    describe_terminating_attempt(
        &mut tracked,
        store
            .job(&"req-000100".into())
            .unwrap()
            .record
            .terminating
            .as_ref()
            .unwrap(),
    );
    tracked.may_forget = true;
    machine.attempts.insert(
        (
            TaskId {
                job: "req-000100".into(),
                index: 1,
            },
            Attempt(1),
        ),
        tracked,
    );
    assert_eq!(used(&shard, &store), 4.0);
    let team_limits = crate::config::TeamLimits {
        name: "red".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: 9.0,
    };
    assert!(shard.usage(&store, now_ms).allows(&team_limits, 1.0, 1.0));
    // Whose it was is not known: by an older version, and no later record is old.
    let plain = JobRecord {
        ended_ms: None,
        terminating: None,
        ..cancelled(1)
    };
    tell(&mut store, "req-000102", &plain, 62);
    assert!(!shard.usage(&store, now_ms).allows(&team_limits, 1.0, 1.0));
    shard
        .teams
        .get_mut(&Team::from("red"))
        .unwrap()
        .unreconciled
        .clear();
    assert_eq!(used(&shard, &store), 1.0, "settled: only what is held");
    assert!(shard.usage(&store, now_ms).allows(&team_limits, 1.0, 1.0));
}

/// Records of an older version, which don't tell their time, are as old as the records before which
/// they were written.
#[test]
fn cancellations_without_a_time_count_until_a_later_record_is_old() {
    let (_, _, mut store) = shard();
    let since = crate::core::store::cancelled_jobs::CancelledSince {
        wall_ms: 1000,
        version: 90,
    };
    let plain = JobRecord {
        ended_ms: None,
        terminating: None,
        ..record(false).cancelled(1)
    };
    store.apply_write(&put(&job_key(&"req-000001".into()), &plain, None), 10);
    assert!(store.has_unattributed_cancellation_since(since));
    store.apply_write(
        &put(
            &job_key(&"req-000002".into()),
            &record(false).done(1500),
            None,
        ),
        11,
    );
    assert!(store.has_unattributed_cancellation_since(since));
    store.apply_write(
        &put(
            &job_key(&"req-000003".into()),
            &record(false).done(900),
            None,
        ),
        12,
    );
    assert!(!store.has_unattributed_cancellation_since(since));
    store.apply_write(&put(&job_key(&"req-000004".into()), &plain, None), 91);
    assert!(
        store.has_unattributed_cancellation_since(since),
        "since the team was gained"
    );
}

/// Starts on many machines at once do not take all sockets: what is over goes as others are answered.
#[test]
fn direct_orders_under_way_are_bounded() {
    let (mut shard, mut outbox, mut store) = shard();
    let ids: Vec<MachineId> = (0..150)
        .map(|n| MachineId::from(format!("m-{n:03}")))
        .collect();
    let mine = ShardEntry {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: ids.clone(),
    };
    map(&mut store, 5, vec![mine]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    for (index, id) in (0..).zip(&ids) {
        let machine = shard.machines.get_mut(id).unwrap();
        machine.token_confirmed = true;
        let task = TaskId {
            job: "req-000001".into(),
            index,
        };
        machine
            .attempts
            .insert((task, Attempt(1)), TrackedAttempt::new(0.0));
        shard.unsent_commands.insert(id.clone());
    }
    shard.send_direct_commands(&mut outbox);
    let sent = outbox.take_effects();
    assert_eq!(sent.len(), 105, "of 700 sockets");
    shard.send_direct_commands(&mut outbox);
    assert!(outbox.take_effects().is_empty());
    for effect in sent.into_iter().take(20) {
        let crate::core::Effect::Worker(call, ..) = effect else {
            panic!("{effect:?}")
        };
        assert!(outbox.take_pending(call).is_some());
    }
    shard.send_direct_commands(&mut outbox);
    assert_eq!(outbox.take_effects().len(), 20);
}

/// A deadline counts from the submission; every other time from when the last dependency was done.
#[test]
fn waiting_for_others_counts_towards_the_deadline_only() {
    let (mut shard, mut outbox, mut store) = shard();
    let mine = ShardEntry {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    map(&mut store, 5, vec![mine]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    let mut waiting = JobRecord {
        accepted_ms: 10_000,
        ..record(false)
    };
    let spec = Rc::make_mut(waiting.spec.as_mut().unwrap());
    spec.dependencies = vec!["req-000001".into(), "req-000002".into()];
    spec.deadline_s = Some(90.0);
    let (id, now, wall_ms) = (JobId::from("req-000003"), 100.0, 60_000);
    let done = |store: &mut StoreReplica, id: &str, at_ms: u64| {
        store.apply_write(
            &put(&job_key(&id.into()), &record(false).done(at_ms), None),
            at_ms,
        );
    };
    done(&mut store, "req-000001", 55_000);
    shard.apply_job_record(&store, &id, &Rc::new(waiting.clone()), 9, (now, wall_ms));
    assert!(shard.jobs.is_empty(), "one of them is not done");
    done(&mut store, "req-000002", 40_000);
    shard.apply_job_record(&store, &id, &Rc::new(waiting), 9, (now, wall_ms));
    let job = &shard.jobs[&id];
    assert_eq!(job.submitted, 95.0, "5 s ago, with the last of them");
    assert_eq!(
        job.deadline,
        Some(140.0),
        "accepted 50 s ago, due 90 s after that"
    );
}
