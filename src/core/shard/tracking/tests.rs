use super::*;
use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::Pending;
use crate::core::effects::{CallId, Effect, WorkerReply};
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::records::keys::job_key;
use crate::core::records::shard_map::{ShardEntry, ShardOwner};
use crate::core::records::versioned::put;
use crate::core::shard::commands::MAX_UNANSWERED_MESSAGES;
use crate::core::test_support::{map, owner, record, shard};
use crate::ids::{Attempt, FencingToken};
use std::rc::Rc;

const JOB: &str = "req-000001";

/// A shard with the team and two machines, which have shown its token.
struct Fixture {
    shard: Shard,
    outbox: Outbox,
    store: StoreReplica,
    token: FencingToken,
    sequence: u64,
}

impl Fixture {
    fn new() -> Self {
        let (shard, outbox, store) = shard();
        let mut fixture = Self {
            shard,
            outbox,
            store,
            token: FencingToken(9),
            sequence: 0,
        };
        fixture.assign(5, owner("n0"), owner("n0"));
        let job = record(false);
        fixture
            .store
            .apply_write(&put(&job_key(&JOB.into()), &job, None), 7);
        let (shard, store) = (&mut fixture.shard, &fixture.store);
        shard.apply_job_record(store, &JOB.into(), &Rc::new(job), 7, (0.0, 0));
        fixture.heartbeat("m-1", &[]);
        fixture.heartbeat("m-2", &[]);
        fixture
    }

    /// The shard map assigns the first machine to one owner, and the second and the team to another.
    fn assign(&mut self, version: u64, first: ShardOwner, rest: ShardOwner) {
        let first = ShardEntry {
            owner: first,
            teams: vec![],
            machines: vec!["m-1".into()],
        };
        let rest = ShardEntry {
            owner: rest,
            teams: vec!["red".into()],
            machines: vec!["m-2".into()],
        };
        map(&mut self.store, version, vec![first, rest]);
        let unresponsive = UnresponsiveMachines::default();
        self.shard
            .apply_map_changes(&mut self.outbox, &self.store, &unresponsive);
    }

    /// The leader removes the first machine, which is deleted, from the shard map.
    fn delete_first(&mut self) {
        let rest = ShardEntry {
            owner: owner("n0"),
            teams: vec!["red".into()],
            machines: vec!["m-2".into()],
        };
        map(&mut self.store, 8, vec![rest]);
        let unresponsive = UnresponsiveMachines::default();
        self.shard
            .apply_map_changes(&mut self.outbox, &self.store, &unresponsive);
    }

    /// The next heartbeat of a machine.
    fn next_heartbeat(&mut self, machine: &str, tasks: &[ReportedTask]) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: machine.into(),
            address: "a".into(),
            type_name: "g".into(),
            zone: "z".into(),
            spot: false,
            agent_epoch: 1,
            sequence: self.sequence,
            token: self.token,
            reclaim_notice_s: None,
            tasks: tasks.to_vec(),
        }
    }

    /// A worker sends a heartbeat; returns the commands in the response.
    fn heartbeat(&mut self, machine: &str, tasks: &[ReportedTask]) -> Vec<Command> {
        let heartbeat = self.next_heartbeat(machine, tasks);
        self.handle_heartbeat(heartbeat)
    }

    fn handle_heartbeat(&mut self, heartbeat: Heartbeat) -> Vec<Command> {
        let catalog = Catalog::default();
        let answer =
            self.shard
                .handle_heartbeat(&self.store, &catalog, &heartbeat, self.outbox.now);
        match answer.unwrap().body {
            Body::HeartbeatResponse(answer) => answer.commands,
            _ => Vec::new(),
        }
    }

    /// The newest heartbeat once more.
    fn copy_of_last_heartbeat(&mut self, machine: &str) -> Heartbeat {
        self.sequence -= 1;
        self.next_heartbeat(machine, &[])
    }

    /// A sibling reports that the first machine is reconciled under a token, without any task.
    fn observe(&mut self, token: FencingToken) {
        let update = crate::core::messages::shard_update::PeerUpdate {
            revision: 100,
            teams: ["red".into()].into(),
            wants_observations: false,
            reconciled: vec![("m-1".into(), token)],
            observations: vec![],
            commands: vec![],
            demand: Default::default(),
            unavailable_offers: None,
            images: Default::default(),
            contacts: Default::default(),
        };
        self.shard
            .apply_peer_update(&mut self.outbox, &self.store, &"n1".into(), 1, update);
    }

    /// Starts a task on the first machine; returns the direct message with the start.
    fn start(&mut self, index: u32) -> CallId {
        self.shard.start_task(
            &JOB.into(),
            index,
            &"m-1".into(),
            Attempt(1),
            self.outbox.now,
        );
        self.send_direct().unwrap().0
    }

    /// The next direct message.
    fn send_direct(&mut self) -> Option<(CallId, Vec<Command>)> {
        self.shard.send_direct_commands(&mut self.outbox);
        self.outbox
            .take_effects()
            .into_iter()
            .find_map(|effect| match effect {
                Effect::Worker(call, _, message) => Some((call, message.commands)),
                _ => None,
            })
    }

    fn reply(&mut self, call: CallId, reply: WorkerReply) {
        let Some(Pending::DirectCommands { machine }) = self.outbox.take_pending(call) else {
            panic!("not a direct message")
        };
        let store = &self.store;
        self.shard
            .handle_command_reply(store, &machine, call, reply, self.outbox.now);
    }

    fn tracks(&self, index: u32) -> bool {
        let machine = self.shard.machines.get(&MachineId::from("m-1"));
        machine.is_some_and(|machine| machine.attempts.contains_key(&(task(index), Attempt(1))))
    }

    /// Starts that are issued in a round of placement.
    fn started_in_a_round(&mut self) -> usize {
        let catalog = Catalog::default();
        let before: usize = self
            .shard
            .machines
            .values()
            .map(|machine| machine.attempts.len())
            .sum();
        for machine in self.shard.machines.values_mut() {
            machine.total = Resources {
                cpus: 9.0,
                gpus: 9.0,
                memory_gb: 9.0,
            };
            machine.fetch_rate = 1.0;
        }
        let mut usage = self.shard.usage(&self.store, self.outbox.wall_ms);
        self.shard.schedule(self.outbox.now, &mut usage, &catalog);
        self.shard
            .machines
            .values()
            .map(|machine| machine.attempts.len())
            .sum::<usize>()
            - before
    }
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JOB.into(),
        index,
    }
}

fn reported(index: u32, attempt: u64, state: TaskState, why: Option<Exit>) -> ReportedTask {
    let (task, attempt) = (task(index).to_string(), Attempt(attempt));
    ReportedTask {
        task,
        attempt,
        state,
        exit: why,
        checkpointed: None,
    }
}

fn refused_start(index: u32) -> ReportedTask {
    reported(index, 1, TaskState::Exited, Some(Exit::NoRoom))
}

fn forgets(commands: &[Command]) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, Command::Forget { .. }))
}

/// Two messages with one start are in flight; the later is refused, the earlier arrives late.
#[test]
fn a_refused_message_proves_nothing_of_an_earlier_one() {
    let mut fixture = Fixture::new();
    let delayed = fixture.start(0);
    let refused = fixture.start(1);
    fixture.reply(refused, WorkerReply::NotSent);
    assert!(fixture.tracks(0), "its start may still arrive");
    assert!(
        !fixture.tracks(1),
        "the only message with its start never left"
    );
    fixture.reply(delayed, WorkerReply::Unknown);
    for _ in 0..5 {
        fixture.heartbeat("m-1", &[]);
    }
    assert!(fixture.tracks(0));
    let machine = &fixture.shard.machines[&MachineId::from("m-1")];
    assert!(machine.needs_new_token, "a new token makes it void");
}

/// The same when heartbeats do not show the task while the earlier message is in flight.
#[test]
fn heartbeats_without_a_task_prove_nothing_while_its_start_is_in_flight() {
    let mut fixture = Fixture::new();
    let delayed = fixture.start(0);
    fixture.heartbeat("m-1", &[]);
    let refused = fixture.start(1);
    fixture.reply(refused, WorkerReply::NotSent);
    fixture
        .shard
        .stop_attempt(&"m-1".into(), &task(0), Attempt(1), 0.0);
    for _ in 0..5 {
        fixture.heartbeat("m-1", &[]);
    }
    assert!(fixture.tracks(0));
    fixture.reply(delayed, WorkerReply::Unknown);
    fixture.heartbeat("m-1", &[]);
    assert!(fixture.tracks(0));
    fixture.token = FencingToken(11);
    fixture.assign(
        8,
        ShardOwner {
            token: FencingToken(11),
            ..owner("n0")
        },
        owner("n0"),
    );
    fixture.heartbeat("m-1", &[]);
    fixture.heartbeat("m-1", &[]);
    assert!(
        !fixture.tracks(0),
        "void under the new token, and not there"
    );
}

/// A worker that has forgotten an exit would start the task again.
#[test]
fn an_exit_is_not_forgotten_while_a_start_is_in_flight() {
    let mut fixture = Fixture::new();
    let delayed = fixture.start(0);
    fixture.heartbeat("m-1", &[]);
    let commands = fixture.heartbeat("m-1", &[refused_start(0)]);
    assert!(!forgets(&commands), "the direct message may still come");
    let answer = fixture.next_heartbeat("m-1", &[refused_start(0)]);
    fixture.reply(delayed, WorkerReply::Executed(answer));
    assert!(forgets(&fixture.heartbeat("m-1", &[refused_start(0)])));
}

/// A start in the response to a heartbeat may arrive until the worker sends the next heartbeat.
#[test]
fn an_exit_is_not_forgotten_while_the_response_to_a_heartbeat_is_in_flight() {
    let mut fixture = Fixture::new();
    let first = fixture.start(0);
    let commands = fixture.heartbeat("m-1", &[]);
    assert!(matches!(commands[..], [Command::Start { .. }]));
    let answer = fixture.next_heartbeat("m-1", &[refused_start(0)]);
    fixture.reply(first, WorkerReply::Executed(answer));
    fixture.shard.unsent_commands.insert("m-1".into());
    let direct = fixture
        .send_direct()
        .map(|(_, commands)| commands)
        .unwrap_or_default();
    assert!(!forgets(&direct), "overtakes the response");
    assert!(forgets(&fixture.heartbeat("m-1", &[refused_start(0)])));
}

/// A message sent under an earlier ownership of the machine proves nothing under a later token, and needs no
/// new one.
#[test]
fn a_message_of_an_earlier_ownership_is_void_under_the_present_token() {
    let mut fixture = Fixture::new();
    let delayed = fixture.start(0);
    fixture.assign(
        8,
        ShardOwner {
            token: FencingToken(10),
            ..owner("n1")
        },
        owner("n0"),
    );
    fixture.assign(
        9,
        ShardOwner {
            token: FencingToken(11),
            ..owner("n0")
        },
        owner("n0"),
    );
    fixture.reply(delayed, WorkerReply::Unknown);
    assert!(fixture.tracks(0));
    fixture.token = FencingToken(11);
    assert!(
        forgets(&fixture.heartbeat("m-1", &[refused_start(0)])),
        "shown under the present token"
    );
}

/// A refusal that is received after the machine had another owner, before it has shown the new token.
#[test]
fn a_refusal_received_after_the_machine_came_back_proves_nothing_of_an_earlier_message() {
    let mut fixture = Fixture::new();
    fixture.start(0);
    let refused = fixture.start(1);
    fixture.assign(
        8,
        ShardOwner {
            token: FencingToken(10),
            ..owner("n1")
        },
        owner("n0"),
    );
    fixture.assign(
        9,
        ShardOwner {
            token: FencingToken(11),
            ..owner("n0")
        },
        owner("n0"),
    );
    fixture.reply(refused, WorkerReply::NotSent);
    assert!(fixture.tracks(0));
}

/// A surplus attempt is still on its machine when the other ends.
#[test]
fn a_task_waits_until_every_attempt_of_it_has_ended() {
    let mut fixture = Fixture::new();
    let first = fixture.start(0);
    fixture
        .shard
        .start_task(&JOB.into(), 1, &"m-1".into(), Attempt(1), 0.0);
    let running = |index| reported(index, 1, TaskState::Running, None);
    let answer = fixture.next_heartbeat("m-1", &[running(0), running(1)]);
    fixture.reply(first, WorkerReply::Executed(answer));
    fixture.heartbeat("m-2", &[reported(0, 2, TaskState::Running, None)]);
    let failed = reported(0, 1, TaskState::Exited, Some(Exit::Stopped));
    fixture.heartbeat("m-1", &[failed.clone(), running(1)]);
    assert_eq!(
        fixture.started_in_a_round(),
        0,
        "it is on the second machine"
    );
    fixture.heartbeat(
        "m-2",
        &[reported(0, 2, TaskState::Exited, Some(Exit::Stopped))],
    );
    assert_eq!(fixture.started_in_a_round(), 1);
    assert_eq!(
        fixture.shard.starts_held_back, 0,
        "known, so the last safeguard was not needed"
    );
}

/// A refused message whose start is also in the response to a heartbeat: the task is kept, and nothing has to
/// be made void.
#[test]
fn a_refused_message_needs_no_new_token_while_a_response_carries_the_start() {
    let mut fixture = Fixture::new();
    let refused = fixture.start(0);
    fixture.heartbeat("m-1", &[]);
    fixture.reply(refused, WorkerReply::NotSent);
    assert!(fixture.tracks(0));
    assert!(!fixture.shard.machines[&MachineId::from("m-1")].needs_new_token);
}

/// Once a start in flight is void, a task that is not shown is not there, and may start elsewhere.
#[test]
fn a_start_in_flight_is_void_once_its_machine_cannot_execute_it() {
    let tracked_after = |happens: fn(&mut Fixture)| {
        let mut fixture = Fixture::new();
        let late = fixture.start(0);
        fixture.reply(late, WorkerReply::Unknown);
        happens(&mut fixture);
        fixture.tracks(0)
    };
    assert!(tracked_after(|_| {}));
    assert!(!tracked_after(|fixture| {
        let later = Heartbeat {
            agent_epoch: 2,
            ..fixture.next_heartbeat("m-1", &[])
        };
        fixture.handle_heartbeat(later);
    }));
    assert!(!tracked_after(|fixture| {
        fixture.store.set_current_as_of(1000.0);
        fixture.shard.expire_machines(&fixture.store, 1000.0);
    }));
    assert!(!tracked_after(Fixture::delete_first));
    assert!(!tracked_after(|fixture| {
        fixture.assign(
            8,
            ShardOwner {
                token: FencingToken(10),
                ..owner("n1")
            },
            owner("n0"),
        );
        fixture.observe(FencingToken(10));
    }));
}

/// These prove nothing: a heartbeat with a lower token, a copy, observations of a former owner or under an
/// earlier token.
#[test]
fn outdated_heartbeats_and_observations_leave_a_task_where_it_may_be() {
    let mut fixture = Fixture::new();
    let late = fixture.start(0);
    let older = fixture.copy_of_last_heartbeat("m-1");
    fixture.reply(late, WorkerReply::Executed(older));
    assert!(
        fixture.tracks(0),
        "the answer is older than the last heartbeat"
    );
    fixture
        .shard
        .stop_attempt(&"m-1".into(), &task(0), Attempt(1), 0.0);
    fixture.assign(
        8,
        ShardOwner {
            token: FencingToken(11),
            ..owner("n0")
        },
        owner("n0"),
    );
    for _ in 0..5 {
        fixture.heartbeat("m-1", &[]);
    }
    assert!(fixture.tracks(0), "shown under a lower token");
    fixture.observe(FencingToken(9));
    assert!(fixture.tracks(0), "not the owner of the machine");
    fixture.assign(
        9,
        ShardOwner {
            token: FencingToken(12),
            ..owner("n1")
        },
        owner("n0"),
    );
    fixture.observe(FencingToken(9));
    assert!(fixture.tracks(0), "an earlier token");
    fixture.observe(FencingToken(12));
    assert!(!fixture.tracks(0));
}

/// The last safeguard: a task that waits by a fault of the tracking is not started beside its attempt.
#[test]
fn a_second_attempt_is_held_back_and_counted() {
    let mut fixture = Fixture::new();
    fixture.start(0);
    let job = fixture.shard.jobs.get_mut(&JOB.into()).unwrap();
    job.set(0, Task::Waiting, None);
    assert_eq!(
        fixture.started_in_a_round(),
        1,
        "the other task of the job only"
    );
    assert_eq!(fixture.shard.starts_held_back, 1);
}

/// A worker that answers no direct message receives all commands in the responses to its heartbeats, and gets
/// a new token now and then, so that the number of messages that may arrive late stays bounded.
#[test]
fn a_worker_that_never_answers_gets_a_new_token() {
    let mut fixture = Fixture::new();
    let needs_new_token =
        |fixture: &Fixture| fixture.shard.machines[&MachineId::from("m-1")].needs_new_token;
    for attempt in 1..=MAX_UNANSWERED_MESSAGES {
        assert!(!needs_new_token(&fixture));
        let number = Attempt(attempt as u64);
        fixture
            .shard
            .start_task(&JOB.into(), 0, &"m-1".into(), number, 0.0);
        let (call, commands) = fixture.send_direct().unwrap();
        let starts = commands
            .iter()
            .filter(|command| matches!(command, Command::Start { .. }));
        assert_eq!(
            starts.count(),
            1,
            "an attempt that was seen needs no other start"
        );
        fixture.reply(call, WorkerReply::Unknown);
        let running: Vec<ReportedTask> = (1..=attempt as u64)
            .map(|number| reported(0, number, TaskState::Running, None))
            .collect();
        fixture.heartbeat("m-1", &running);
    }
    assert!(needs_new_token(&fixture));
}
