use super::*;
use crate::core::machines::machine::TrackedAttempt;
use crate::core::messages::shard_update::UnresponsiveMachine;
use crate::core::records::job_record::JobRecord;
use crate::core::records::keys::job_key;
use crate::core::records::shard_map::{ShardEntry, ShardOwner};
use crate::core::records::versioned::put;
use crate::core::shard::owned_jobs::describe_terminating_attempt;
use crate::core::test_support::{
    apply_shard_map, heartbeat, owner, record, shard, shard_of_team_red,
};
use crate::ids::{Attempt, FencingToken, TaskId, Version};

/// The machine's owner may have changed without this process having read the new shard map. The new owner
/// then answers the machine, and its tasks keep running. Found in simulated days with a starved controller.
#[test]
fn machine_is_known_empty_only_by_a_map_read_after_its_lease_expired() {
    let (mut shard, mut outbox, mut store) = shard();
    let own_entry = ShardEntry {
        owner: owner("n0"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    apply_shard_map(&mut store, 5, vec![own_entry]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    store.set_current_as_of(9.0);
    shard.expire_machines(&store, 60.0);
    assert!(!shard.machines[&MachineId::from("m-1")].known_empty);
    store.set_current_as_of(59.0);
    shard.expire_machines(&store, 60.0);
    assert!(shard.machines[&MachineId::from("m-1")].known_empty);
}

/// The next owner of an unresponsive machine counts its lease from the last answer that the former owner
/// reported, if the map shows that no other process owned the machine in between.
#[test]
fn new_owner_counts_the_lease_of_an_unresponsive_machine_from_its_last_answer() {
    let (mut shard, mut outbox, mut store) = shard();
    let mut unresponsive = UnresponsiveMachines::default();
    let declared = |id: &str| UnresponsiveMachine {
        machine: id.into(),
        token: FencingToken(8),
        age: 6.0,
    };
    unresponsive.record([declared("m-1"), declared("m-2")], 20.0);
    let successor = ShardOwner {
        previous_token: Some(FencingToken(8)),
        ..owner("n0")
    };
    let with_previous_token = ShardEntry {
        owner: successor,
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    let without_previous_token = ShardEntry {
        owner: owner("n0"),
        teams: vec![],
        machines: vec!["m-2".into()],
    };
    apply_shard_map(
        &mut store,
        5,
        vec![with_previous_token, without_previous_token],
    );
    outbox.begin_step(21.0, 0);
    shard.apply_map_changes(&mut outbox, &store, &unresponsive);
    let answered = |shard: &Shard, id: &str| shard.machines[&MachineId::from(id)].last_answered;
    assert!((14.0..14.1).contains(&answered(&shard, "m-1")));
    assert_eq!(answered(&shard, "m-2"), 21.0);
}

/// In the first seconds after a shard was assigned, one machine got the replicas of four images, which shared
/// its fetch rate, while hundreds of other machines were about to send their first heartbeats.
#[test]
fn replicas_that_would_queue_for_an_image_fetch_wait_for_machines_about_to_report() {
    let (mut shard, mut outbox, mut store) = shard();
    let machines = vec!["m-1".into(), "m-2".into()];
    apply_shard_map(
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
    assert_eq!(started(&shard), 4, "the wait is bounded");
}

/// Siblings were told of the machine's last answer, so no later one may be sent under the same token.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one history of events, each step depends on the ones before"
)]
fn unresponsive_machine_is_not_answered_until_it_has_a_new_token() {
    let (mut shard, mut outbox, mut store) = shard();
    let own_entry = ShardEntry {
        owner: owner("n0"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    apply_shard_map(&mut store, 5, vec![own_entry]);
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
        "without any heartbeats, the fault may be this process's own"
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
    // Under a new token its heartbeats are accepted again, and the time without heartbeats starts anew.
    let renewed = ShardOwner {
        token: FencingToken(10),
        ..owner("n0")
    };
    let own_entry = ShardEntry {
        owner: renewed,
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    apply_shard_map(&mut store, 6, vec![own_entry]);
    outbox.begin_step(1.0 + lease * 0.8, 0);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    shard.declare_unresponsive(&current, 1.0 + lease * 0.8);
    let machine = &shard.machines[&MachineId::from("m-1")];
    assert!(!machine.unresponsive && machine.token == FencingToken(10));
}

/// A shard that owns a machine, beside a sibling that owns team `red` and asks for observations.
fn shard_observed_by_owner_of_red() -> (Shard, Outbox, StoreReplica) {
    let (mut shard, mut outbox, mut store) = shard();
    let own_entry = ShardEntry {
        owner: owner("n0"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    let other = ShardEntry {
        owner: owner("n1"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    apply_shard_map(&mut store, 5, vec![own_entry, other]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    shard.listeners.insert("n1".into());
    (shard, outbox, store)
}

/// A leader that assigns itself a machine owns it by its own write, before it has read earlier jobs.
#[test]
fn machine_with_a_task_of_an_unknown_job_is_not_reported_as_reconciled() {
    let (mut shard, outbox, mut store) = shard_observed_by_owner_of_red();
    let id = MachineId::from("m-1");
    shard.machines.get_mut(&id).unwrap().token_confirmed = true;
    let task = TaskId {
        job: "req-000001".into(),
        index: 0,
    };
    let reported = crate::wire::ReportedTask {
        task: task.to_string(),
        attempt: Attempt(1),
        state: crate::wire::TaskState::Running,
        exit: None,
        checkpointed: None,
    };
    shard.apply_reported_task(&store, &id, task.clone(), &reported, outbox.now);
    let update_lengths = |shard: &Shard, store: &StoreReplica| {
        let update = shard.peer_update_for(
            &"n1".into(),
            store,
            None,
            ImageHints::new(),
            Default::default(),
        );
        (update.reconciled.len(), update.observations.len())
    };
    assert_eq!(update_lengths(&shard, &store), (0, 0));
    store.apply_write(&put(&job_key(&task.job), &record(false), None), 4);
    shard.apply_reported_task(&store, &id, task, &reported, outbox.now);
    assert_eq!(update_lengths(&shard, &store), (1, 1));
}

/// Otherwise the team's owner starts tasks beside it, over the limit.
#[test]
fn a_task_whose_job_is_first_read_as_cancelled_is_reported_to_its_teams_owner() {
    let (mut shard, mut outbox, mut store) = shard_observed_by_owner_of_red();
    let mut shown = heartbeat("m-1", 1, 1, FencingToken(9));
    shown.tasks.push(crate::wire::ReportedTask {
        task: "req-000001/0".into(),
        attempt: Attempt(1),
        state: crate::wire::TaskState::Running,
        exit: None,
        checkpointed: None,
    });
    shard.handle_heartbeat(&store, &Catalog::default(), &shown, 0.0);

    let cancelled = record(false).to_cancelled(0);
    store.apply_write(&put(&job_key(&"req-000001".into()), &cancelled, None), 6);
    store.set_revision(6);
    let unresponsive = UnresponsiveMachines::default();
    shard.advance(&mut outbox, &mut store, &Catalog::default(), &unresponsive);
    let images = ImageHints::new();
    let update = shard.peer_update_for(&"n1".into(), &store, None, images, Default::default());
    let reported = update
        .observations
        .iter()
        .flat_map(|machine| &machine.tasks);
    assert_eq!((update.reconciled.len(), reported.count()), (1, 1));
}

/// A sibling may read of the team's next owner before this process does, and then omits the team from its
/// updates. Such an update must not count as proof that the team has no tasks on the sibling's machines.
#[test]
fn update_without_a_team_does_not_reconcile_its_machines() {
    let (mut shard, mut outbox, mut store) = shard();
    let own_entry = ShardEntry {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    let other = ShardEntry {
        owner: owner("n1"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    apply_shard_map(&mut store, 5, vec![own_entry, other]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    let id = MachineId::from("m-1");
    let mut machine = Machine::new(id.clone(), FencingToken(9), 0.0);
    let mut tracked = TrackedAttempt::new(0.0);
    tracked.team = Some("red".into());
    let task = TaskId {
        job: "req-000001".into(),
        index: 0,
    };
    machine.attempts.insert((task, Attempt(1)), tracked);
    shard.machines.insert(id.clone(), machine);
    let update_about = |teams: &[&str]| crate::core::messages::shard_update::PeerUpdate {
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
    shard.apply_peer_update(&mut outbox, &store, &"n1".into(), 1, update_about(&[]));
    assert!(
        shard.machines.contains_key(&id)
            && !shard.teams[&Team::from("red")].unreconciled.is_empty()
    );
    shard.apply_peer_update(&mut outbox, &store, &"n1".into(), 1, update_about(&["red"]));
    assert!(
        !shard.machines.contains_key(&id)
            && shard.teams[&Team::from("red")].unreconciled.is_empty()
    );
}

/// The map assigned the team to another controller and back between two reads by this process, which does not
/// know the tasks that the other controller started in between.
#[test]
fn team_with_a_new_token_is_reconciled_again() {
    let (mut shard, mut outbox, mut store) = shard();
    let other = ShardEntry {
        owner: owner("n1"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    let own_token = |token| ShardOwner {
        token: FencingToken(token),
        ..owner("n0")
    };
    let entry_with_token = |token| ShardEntry {
        owner: own_token(token),
        teams: vec!["red".into()],
        machines: vec![],
    };
    apply_shard_map(&mut store, 5, vec![entry_with_token(9), other.clone()]);
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
    assert_eq!(shard.jobs[&id].unreconciled_count(), 0);
    apply_shard_map(&mut store, 8, vec![entry_with_token(11), other]);
    store.apply_write(
        &put(&job_key(&"req-000002".into()), &record(false), None),
        9,
    );
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    assert!(!shard.teams[&Team::from("red")].unreconciled.is_empty());
    shard.apply_job_record(&store, &id, &Rc::new(record(false)), 7, (1.0, 0));
    assert_eq!(
        shard.jobs[&id].unreconciled_count(),
        2,
        "the other controller may have started them"
    );
}

/// A leader that assigns itself a team writes the map before it has read earlier jobs, which the team's
/// former owner may have read and started.
#[test]
fn only_unstarted_jobs_recorded_after_the_team_was_gained_need_no_reconciliation() {
    let (mut shard, mut outbox, mut store) = shard();
    let own_entry = ShardEntry {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    let other = ShardEntry {
        owner: owner("n1"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    apply_shard_map(&mut store, 105, vec![own_entry, other]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    let ids = ["req-000001", "req-000002", "req-000003"].map(JobId::from);
    for (id, version, done) in [
        (&ids[0], 100, false),
        (&ids[1], 107, true),
        (&ids[2], 108, false),
    ] {
        shard.apply_job_record(&store, id, &Rc::new(record(done)), version, (1.0, 0));
    }
    let unreconciled = ids.map(|id| shard.jobs[&id].unreconciled_count());
    assert_eq!(
        unreconciled,
        [2, 1, 0],
        "recorded before the team was gained; recorded later, but partly done; recorded later"
    );
}

/// Until all machines have reported their tasks, a team's new owner counts jobs that were cancelled recently,
/// or after it gained the team, as still running. A long history of older cancellations delays no start.
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
        ..record(false).to_cancelled(at)
    };
    let write_record =
        |store: &mut StoreReplica, id: &str, record: &JobRecord, version: Version| {
            store.apply_write(&put(&job_key(&id.into()), record, None), version);
        };
    for number in 0..50 {
        let old = cancelled(now_ms - 61_000);
        write_record(&mut store, &format!("req-{number:06}"), &old, number + 1);
    }
    let own_entry = |teams| ShardEntry {
        owner: owner("n0"),
        teams,
        machines: vec!["m-1".into()],
    };
    apply_shard_map(&mut store, 60, vec![own_entry(vec!["red".into()])]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    store.set_revision(60);
    outbox.begin_step(1.0, now_ms);
    let used = |shard: &Shard, store: &StoreReplica| shard.usage(store, now_ms).gpus(&"red".into());
    assert_eq!(used(&shard, &store), 0.0, "ended long ago");
    write_record(&mut store, "req-000100", &cancelled(recent_ms), 59);
    assert_eq!(used(&shard, &store), 2.0, "may still be running");
    // An old cancellation that was recorded after the team was gained counts too.
    write_record(&mut store, "req-000101", &cancelled(1), 61);
    assert_eq!(used(&shard, &store), 4.0);
    // A reported attempt is counted on its machine, and not a second time.
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
    // A record from an older software version does not name its team, and no later record shows that it is
    // old.
    let plain = JobRecord {
        ended_ms: None,
        terminating: None,
        ..cancelled(1)
    };
    write_record(&mut store, "req-000102", &plain, 62);
    assert!(!shard.usage(&store, now_ms).allows(&team_limits, 1.0, 1.0));
    shard
        .teams
        .get_mut(&Team::from("red"))
        .unwrap()
        .unreconciled
        .clear();
    assert_eq!(
        used(&shard, &store),
        1.0,
        "reconciled: only reported attempts count"
    );
    assert!(shard.usage(&store, now_ms).allows(&team_limits, 1.0, 1.0));
}

/// Records from an older software version do not contain their time. They are at least as old as any record
/// that was written after them.
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
        ..record(false).to_cancelled(1)
    };
    store.apply_write(&put(&job_key(&"req-000001".into()), &plain, None), 10);
    assert!(store.has_unattributed_cancellation_since(since));
    store.apply_write(
        &put(
            &job_key(&"req-000002".into()),
            &record(false).to_done(1500),
            None,
        ),
        11,
    );
    assert!(store.has_unattributed_cancellation_since(since));
    store.apply_write(
        &put(
            &job_key(&"req-000003".into()),
            &record(false).to_done(900),
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

/// Starts on many machines at once must not use up all sockets: further messages are sent as earlier ones are
/// answered.
#[test]
fn direct_messages_in_flight_are_bounded() {
    let (mut shard, mut outbox, mut store) = shard();
    let ids: Vec<MachineId> = (0..150)
        .map(|n| MachineId::from(format!("m-{n:03}")))
        .collect();
    let own_entry = ShardEntry {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: ids.clone(),
    };
    apply_shard_map(&mut store, 5, vec![own_entry]);
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
    assert_eq!(sent.len(), 105, "for a limit of 700 sockets");
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

/// A deadline counts from the submission. Every other time counts from the end of the last dependency.
#[test]
fn waiting_for_dependencies_counts_towards_the_deadline_only() {
    let (mut shard, _, mut store) = shard_of_team_red();
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
            &put(&job_key(&id.into()), &record(false).to_done(at_ms), None),
            at_ms,
        );
    };
    done(&mut store, "req-000001", 55_000);
    shard.apply_job_record(&store, &id, &Rc::new(waiting.clone()), 9, (now, wall_ms));
    assert!(shard.jobs.is_empty(), "one dependency is not done");
    done(&mut store, "req-000002", 40_000);
    shard.apply_job_record(&store, &id, &Rc::new(waiting), 9, (now, wall_ms));
    let job = &shard.jobs[&id];
    assert_eq!(
        job.runnable_since, 95.0,
        "the last dependency was done 5 s ago"
    );
    assert_eq!(
        job.deadline,
        Some(140.0),
        "accepted 50 s ago, due 90 s after that"
    );
}
