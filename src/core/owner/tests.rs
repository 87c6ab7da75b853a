use super::super::owned_jobs::describe_leaving;
use super::super::part_map::{Owner as MapOwner, Share};
use super::super::test_support::{map, owner, record, share};
use super::super::unresponsive::Unresponsive;
use super::super::view::{job_key, put};
use super::*;
use crate::ids::TaskId;

/// Its owner may have changed without this process having read so; then somebody else answers
/// it, and its tasks live on (hunted days of a starved controller).
#[test]
fn a_silent_machine_is_empty_only_by_a_map_read_after_its_lease() {
    let (mut share, mut io, mut view) = share();
    let mine = Share {
        owner: owner("n0"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    map(&mut view, 5, vec![mine]);
    share.follow_map(&mut io, &view, &UnresponsiveMachines::default());
    view.current_as_of = 9.0;
    share.expire_machines(&view, 60.0);
    assert!(!share.machines[&MachineId::from("m-1")].empty);
    view.current_as_of = 59.0;
    share.expire_machines(&view, 60.0);
    assert!(share.machines[&MachineId::from("m-1")].empty);
}

/// Who has a silent machine next counts its lease from the last answer that its former owner
/// told of, if the map says that nobody else had it in between.
#[test]
fn the_lease_of_a_silent_machine_is_counted_on_through_a_hand_over() {
    let (mut share, mut io, mut view) = share();
    let mut unresponsive = UnresponsiveMachines::default();
    let said = |id: &str| Unresponsive {
        machine: id.into(),
        term: Term(8),
        age: 6.0,
    };
    unresponsive.note([said("m-1"), said("m-2")], 20.0);
    let known = MapOwner {
        prior: Some(Term(8)),
        ..owner("n0")
    };
    let chain = Share {
        owner: known,
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    let other = Share {
        owner: owner("n0"),
        teams: vec![],
        machines: vec!["m-2".into()],
    };
    map(&mut view, 5, vec![chain, other]);
    io.begin(21.0, 0);
    share.follow_map(&mut io, &view, &unresponsive);
    let answered = |share: &Owner, id: &str| share.machines[&MachineId::from(id)].answered;
    assert!((14.0..14.1).contains(&answered(&share, "m-1")));
    assert_eq!(answered(&share, "m-2"), 21.0);
}

/// In the first seconds of a share one machine got the replicas of four images, which shared
/// its fetch rate, while hundreds were about to report.
#[test]
fn what_would_queue_for_a_fetch_waits_for_machines_about_to_report() {
    let (mut share, mut io, mut view) = share();
    let machines = vec!["m-1".into(), "m-2".into()];
    map(
        &mut view,
        5,
        vec![Share {
            owner: owner("n0"),
            teams: vec!["red".into()],
            machines,
        }],
    );
    share.follow_map(&mut io, &view, &UnresponsiveMachines::default());
    let first = share.machines.get_mut(&MachineId::from("m-1")).unwrap();
    first.trusted = true;
    first.total = Resources {
        cpus: 32.0,
        gpus: 8.0,
        memory_gb: 100.0,
    };
    first.fetch_rate = 1.0;
    for (id, image) in [("req-000001", "a"), ("req-000002", "b")] {
        let mut record = record(false);
        Rc::make_mut(record.spec.as_mut().unwrap()).image = image.into();
        share.take_job(&view, &id.into(), &Rc::new(record), 9, (0.0, 0));
    }
    let started = |share: &Owner| share.machines[&MachineId::from("m-1")].attempts.len();
    io.begin(0.1, 0);
    let mut usage = share.usage(&view, io.wall_ms);
    share.schedule(io.now, &mut usage, &Catalog::default());
    assert_eq!(
        started(&share),
        2,
        "both replicas of one image, none of the other"
    );
    io.begin(60.0, 0);
    let mut usage = share.usage(&view, io.wall_ms);
    share.schedule(io.now, &mut usage, &Catalog::default());
    assert_eq!(started(&share), 4, "not for ever");
}

/// What was said of its last answer has to stay true until it has a fresh token.
#[test]
fn a_machine_said_to_be_silent_is_not_answered_under_that_term() {
    let (mut share, mut io, mut view) = share();
    let mine = Share {
        owner: owner("n0"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    map(&mut view, 5, vec![mine]);
    share.follow_map(&mut io, &view, &UnresponsiveMachines::default());
    let report = |seq| crate::wire::Report {
        machine: "m-1".into(),
        address: "a".into(),
        type_name: "g".into(),
        zone: "z".into(),
        spot: false,
        session: 1,
        seq,
        token: Term(9),
        notice_s: None,
        tasks: Vec::new(),
    };
    let checkin = |share: &mut Owner, io: &mut Io, now, seq| {
        io.begin(now, 0);
        let answer = share.checkin(io, &view, &Catalog::default(), report(seq));
        answer.unwrap().status
    };
    assert_eq!(checkin(&mut share, &mut io, 1.0, 1), 200);
    let lease = share.config.deployment.workers.lease_s;
    let mut current = View::new(&share.config);
    current.current_as_of = 1.0 + lease * 0.75;
    share.declare_unresponsive(&current, 1.0 + lease * 0.75);
    assert!(
        share.unresponsive(lease).is_empty(),
        "hearing nobody says nothing of one"
    );
    share.heard = 1.0 + lease * 0.75;
    share.declare_unresponsive(&current, 1.0 + lease * 0.75);
    assert_eq!(share.unresponsive(lease).len(), 1);
    assert_eq!(checkin(&mut share, &mut io, 1.0 + lease * 0.78, 2), 503);
    assert_eq!(share.need.raise, [("m-1".into(), Term(9))]);
    // With a fresh token it is heard again, and has the time to be.
    let fresh = MapOwner {
        term: Term(10),
        ..owner("n0")
    };
    let mine = Share {
        owner: fresh,
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    map(&mut view, 6, vec![mine]);
    io.begin(1.0 + lease * 0.8, 0);
    share.follow_map(&mut io, &view, &UnresponsiveMachines::default());
    share.declare_unresponsive(&current, 1.0 + lease * 0.8);
    let machine = &share.machines[&MachineId::from("m-1")];
    assert!(!machine.unresponsive && machine.token == Term(10));
}

/// A leader owns a machine by its own write, before it has read the jobs that came before.
#[test]
fn a_machine_with_unknown_tasks_is_not_told_as_settled() {
    let (mut share, mut io, mut view) = share();
    let mine = Share {
        owner: owner("n0"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    let other = Share {
        owner: owner("n1"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    map(&mut view, 5, vec![mine, other]);
    share.follow_map(&mut io, &view, &UnresponsiveMachines::default());
    share.listeners.insert("n1".into());
    let id = MachineId::from("m-1");
    share.machines.get_mut(&id).unwrap().trusted = true;
    let task = TaskId {
        job: "req-000001".into(),
        index: 0,
    };
    let shown = crate::wire::ReportedTask {
        task: task.to_string(),
        attempt: Attempt(1),
        state: crate::wire::TaskState::Running,
        why: None,
        saved: None,
    };
    share.take_task(&mut io, &view, &id, task.clone(), &shown);
    let news = |share: &Owner, view: &View| {
        let news = share.update_for(&"n1".into(), view, None, Hints::new(), Default::default());
        (news.settled.len(), news.observations.len())
    };
    assert_eq!(news(&share, &view), (0, 0));
    view.apply_write(&put(&job_key(&task.job), &record(false), None), 4);
    share.take_task(&mut io, &view, &id, task, &shown);
    assert_eq!(news(&share, &view), (1, 1));
}

/// A sibling that has read of the team's next owner before this one did leaves it out.
#[test]
fn silence_about_a_team_that_the_sender_gives_to_another_says_nothing() {
    let (mut share, mut io, mut view) = share();
    let mine = Share {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    let other = Share {
        owner: owner("n1"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    map(&mut view, 5, vec![mine, other]);
    share.follow_map(&mut io, &view, &UnresponsiveMachines::default());
    let id = MachineId::from("m-1");
    let mut machine = Machine::named(id.clone(), Term(9), 0.0);
    let mut tracked = TrackedAttempt::new(0.0);
    tracked.team = Some("red".into());
    let task = TaskId {
        job: "req-000001".into(),
        index: 0,
    };
    machine.attempts.insert((task, Attempt(1)), tracked);
    share.machines.insert(id.clone(), machine);
    let news = |teams: &[&str]| super::super::peer_sync::PeerUpdate {
        revision: 7,
        teams: teams.iter().map(|team| Team::from(*team)).collect(),
        listening: false,
        settled: vec![(id.clone(), Term(9))],
        observations: vec![],
        commands: vec![],
        need: Need::default(),
        refused: None,
        images: Hints::new(),
        contacts: Default::default(),
    };
    share.take_update(&mut io, &view, &"n1".into(), 1, news(&[]));
    assert!(
        share.machines.contains_key(&id) && !share.teams[&Team::from("red")].unsettled.is_empty()
    );
    share.take_update(&mut io, &view, &"n1".into(), 1, news(&["red"]));
    assert!(
        !share.machines.contains_key(&id) && share.teams[&Team::from("red")].unsettled.is_empty()
    );
}

/// The map gave the team to another controller and back between two reads of it: what that one has
/// started meanwhile is not known here.
#[test]
fn a_team_under_another_term_is_settled_anew() {
    let (mut share, mut io, mut view) = share();
    let other = Share {
        owner: owner("n1"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    let mine = |term| MapOwner {
        term: Term(term),
        ..owner("n0")
    };
    let share_of = |term| Share {
        owner: mine(term),
        teams: vec!["red".into()],
        machines: vec![],
    };
    map(&mut view, 5, vec![share_of(9), other.clone()]);
    share.follow_map(&mut io, &view, &UnresponsiveMachines::default());
    share
        .teams
        .get_mut(&Team::from("red"))
        .unwrap()
        .unsettled
        .clear();
    let id = JobId::from("req-000001");
    view.apply_write(&put(&job_key(&id), &record(false), None), 7);
    share.take_job(&view, &id, &Rc::new(record(false)), 7, (1.0, 0));
    assert_eq!(share.jobs[&id].unsettled(), 0);
    map(&mut view, 8, vec![share_of(11), other]);
    view.apply_write(
        &put(&job_key(&"req-000002".into()), &record(false), None),
        9,
    );
    share.follow_map(&mut io, &view, &UnresponsiveMachines::default());
    assert!(!share.teams[&Team::from("red")].unsettled.is_empty());
    share.take_job(&view, &id, &Rc::new(record(false)), 7, (1.0, 0));
    assert_eq!(
        share.jobs[&id].unsettled(),
        2,
        "perhaps started elsewhere meanwhile"
    );
}

/// A leader that gives itself a team has written the map before it has read the jobs that the
/// team's former owner read, and perhaps started, before that.
#[test]
fn only_jobs_from_after_the_gain_are_known_to_run_nowhere() {
    let (mut share, mut io, mut view) = share();
    let mine = Share {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    let other = Share {
        owner: owner("n1"),
        teams: vec![],
        machines: vec!["m-1".into()],
    };
    map(&mut view, 105, vec![mine, other]);
    share.follow_map(&mut io, &view, &UnresponsiveMachines::default());
    let ids = ["req-000001", "req-000002", "req-000003"].map(JobId::from);
    for (id, version, done) in [
        (&ids[0], 100, false),
        (&ids[1], 107, true),
        (&ids[2], 108, false),
    ] {
        share.take_job(&view, id, &Rc::new(record(done)), version, (1.0, 0));
    }
    let unsettled = ids.map(|id| share.jobs[&id].unsettled());
    assert_eq!(
        unsettled,
        [2, 1, 0],
        "before the gain; begun before it was seen; after it"
    );
}

/// A team's new owner counts what was cancelled lately, and since it has the team, until all machines
/// have told what they hold; a long history of cancellations delays nothing.
#[test]
fn only_recent_cancellations_count_towards_a_limit() {
    let (mut share, mut io, mut view) = share();
    let now_ms = 1_000_000;
    let recent_ms = now_ms - 59_000;
    let cancelled = |at: u64| JobRecord {
        ended_ms: Some(at),
        ..record(false).cancelled(at)
    };
    let tell = |view: &mut View, id: &str, record: &JobRecord, version: Version| {
        view.apply_write(&put(&job_key(&id.into()), record, None), version);
    };
    for number in 0..50 {
        let old = cancelled(now_ms - 61_000);
        tell(&mut view, &format!("req-{number:06}"), &old, number + 1);
    }
    let mine = |teams| Share {
        owner: owner("n0"),
        teams,
        machines: vec!["m-1".into()],
    };
    map(&mut view, 60, vec![mine(vec!["red".into()])]);
    share.follow_map(&mut io, &view, &UnresponsiveMachines::default());
    io.begin(1.0, now_ms);
    let used = |share: &Owner, view: &View| share.usage(view, now_ms).gpus(&"red".into());
    assert_eq!(used(&share, &view), 0.0, "long gone");
    tell(&mut view, "req-000100", &cancelled(recent_ms), 59);
    assert_eq!(used(&share, &view), 2.0, "perhaps still there");
    // Carried out late, after newer ones: the team was gained before.
    tell(&mut view, "req-000101", &cancelled(1), 61);
    assert_eq!(used(&share, &view), 4.0);
    // What is seen is counted where it is, and not twice.
    let machine = share.machines.get_mut(&MachineId::from("m-1")).unwrap();
    let mut tracked = TrackedAttempt::new(0.0);
    describe_leaving(
        &mut tracked,
        view.job(&"req-000100".into())
            .unwrap()
            .record
            .leaving
            .as_ref()
            .unwrap(),
    );
    tracked.forget = true;
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
    assert_eq!(used(&share, &view), 4.0);
    let limits = crate::config::TeamLimits {
        name: "red".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: 9.0,
    };
    assert!(share.usage(&view, now_ms).allows(&limits, 1.0, 1.0));
    // Whose it was is not known: by an older version, and no later record is old.
    let plain = JobRecord {
        ended_ms: None,
        leaving: None,
        ..cancelled(1)
    };
    tell(&mut view, "req-000102", &plain, 62);
    assert!(!share.usage(&view, now_ms).allows(&limits, 1.0, 1.0));
    share
        .teams
        .get_mut(&Team::from("red"))
        .unwrap()
        .unsettled
        .clear();
    assert_eq!(used(&share, &view), 1.0, "settled: only what is held");
    assert!(share.usage(&view, now_ms).allows(&limits, 1.0, 1.0));
}

/// Records of an older version, which don't tell their time, are as old as the records before which
/// they were written.
#[test]
fn cancellations_without_a_time_count_until_a_later_record_is_old() {
    let (_, _, mut view) = share();
    let since = super::super::cancelled::Since {
        wall_ms: 1000,
        version: 90,
    };
    let plain = JobRecord {
        ended_ms: None,
        leaving: None,
        ..record(false).cancelled(1)
    };
    view.apply_write(&put(&job_key(&"req-000001".into()), &plain, None), 10);
    assert!(view.undescribed_cancellation_since(since));
    view.apply_write(
        &put(
            &job_key(&"req-000002".into()),
            &record(false).done(1500),
            None,
        ),
        11,
    );
    assert!(view.undescribed_cancellation_since(since));
    view.apply_write(
        &put(
            &job_key(&"req-000003".into()),
            &record(false).done(900),
            None,
        ),
        12,
    );
    assert!(!view.undescribed_cancellation_since(since));
    view.apply_write(&put(&job_key(&"req-000004".into()), &plain, None), 91);
    assert!(
        view.undescribed_cancellation_since(since),
        "since the team was gained"
    );
}

/// Starts on many machines at once do not take all sockets: what is over goes as others are answered.
#[test]
fn direct_orders_under_way_are_bounded() {
    let (mut share, mut io, mut view) = share();
    let ids: Vec<MachineId> = (0..150)
        .map(|n| MachineId::from(format!("m-{n:03}")))
        .collect();
    let mine = Share {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: ids.clone(),
    };
    map(&mut view, 5, vec![mine]);
    share.follow_map(&mut io, &view, &UnresponsiveMachines::default());
    for (index, id) in (0..).zip(&ids) {
        let machine = share.machines.get_mut(id).unwrap();
        machine.trusted = true;
        let task = TaskId {
            job: "req-000001".into(),
            index,
        };
        machine
            .attempts
            .insert((task, Attempt(1)), TrackedAttempt::new(0.0));
        share.unsent_orders.insert(id.clone());
    }
    share.push_orders(&mut io);
    let sent = io.take_effects();
    assert_eq!(sent.len(), 105, "of 700 sockets");
    share.push_orders(&mut io);
    assert!(io.take_effects().is_empty());
    for effect in sent.into_iter().take(20) {
        let crate::core::Effect::Worker(call, ..) = effect else {
            panic!("{effect:?}")
        };
        assert!(io.finish(call).is_some());
    }
    share.push_orders(&mut io);
    assert_eq!(io.take_effects().len(), 20);
}

/// A deadline counts from the submission; every other time from when the last dependency was done.
#[test]
fn waiting_for_others_counts_towards_the_deadline_only() {
    let (mut share, mut io, mut view) = share();
    let mine = Share {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    map(&mut view, 5, vec![mine]);
    share.follow_map(&mut io, &view, &UnresponsiveMachines::default());
    let mut waiting = JobRecord {
        accepted_ms: 10_000,
        ..record(false)
    };
    let spec = Rc::make_mut(waiting.spec.as_mut().unwrap());
    spec.dependencies = vec!["req-000001".into(), "req-000002".into()];
    spec.deadline_s = Some(90.0);
    let (id, now, wall_ms) = (JobId::from("req-000003"), 100.0, 60_000);
    let done = |view: &mut View, id: &str, at_ms: u64| {
        view.apply_write(
            &put(&job_key(&id.into()), &record(false).done(at_ms), None),
            at_ms,
        );
    };
    done(&mut view, "req-000001", 55_000);
    share.take_job(&view, &id, &Rc::new(waiting.clone()), 9, (now, wall_ms));
    assert!(share.jobs.is_empty(), "one of them is not done");
    done(&mut view, "req-000002", 40_000);
    share.take_job(&view, &id, &Rc::new(waiting), 9, (now, wall_ms));
    let job = &share.jobs[&id];
    assert_eq!(job.submitted, 95.0, "5 s ago, with the last of them");
    assert_eq!(
        job.deadline,
        Some(140.0),
        "accepted 50 s ago, due 90 s after that"
    );
}
