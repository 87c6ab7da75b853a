use super::*;
use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::Pending;
use crate::core::effects::{Body, CallId, Effect, WorkerReply};
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::records::keys::job_key;
use crate::core::records::shard_map::{ShardEntry, ShardOwner};
use crate::core::records::versioned::put;
use crate::core::shard::commands::MAX_UNANSWERED_MESSAGES;
use crate::core::test_support::{apply_shard_map, owner, record, shard};
use crate::ids::{Attempt, FencingToken};
use crate::wire::Command;
use std::rc::Rc;

const JOB: &str = "req-000001";

/// A shard with one team and two machines that have shown their tokens.
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

    /// Assigns the first machine to one owner, and the second machine and the team to another.
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
        apply_shard_map(&mut self.store, version, vec![first, rest]);
        let unresponsive = UnresponsiveMachines::default();
        self.shard
            .apply_map_changes(&mut self.outbox, &self.store, &unresponsive);
    }

    /// Assigns all to this process under this token, with as many higher tokens.
    fn assign_token(&mut self, version: u64, token: u64, raises: u64) {
        let first = ShardOwner {
            token: FencingToken(token),
            raises,
            ..owner("n0")
        };
        self.assign(version, first, owner("n0"));
        self.token = FencingToken(token);
    }

    /// The token under which commands are sent to the first machine.
    fn command_token(&self) -> FencingToken {
        let machine = self.shard.machines.get(&MachineId::from("m-1")).unwrap();
        machine.command_tokens.current()
    }

    /// Removes the first machine from the shard map, as the leader does once the machine is deleted.
    fn delete_first_machine(&mut self) {
        let rest = ShardEntry {
            owner: owner("n0"),
            teams: vec!["red".into()],
            machines: vec!["m-2".into()],
        };
        apply_shard_map(&mut self.store, 8, vec![rest]);
        let unresponsive = UnresponsiveMachines::default();
        self.shard
            .apply_map_changes(&mut self.outbox, &self.store, &unresponsive);
    }

    /// Creates the next heartbeat of a machine, with a new sequence number.
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

    /// Handles the next heartbeat of a machine and returns the commands in the response.
    fn heartbeat(&mut self, machine: &str, tasks: &[ReportedTask]) -> Vec<Command> {
        let heartbeat = self.next_heartbeat(machine, tasks);
        self.handle_heartbeat(heartbeat)
    }

    /// Handles a heartbeat and returns the commands in the response; none if it is refused.
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

    /// Creates a heartbeat with the sequence number of the last one.
    fn copy_of_last_heartbeat(&mut self, machine: &str) -> Heartbeat {
        self.sequence -= 1;
        self.next_heartbeat(machine, &[])
    }

    /// Applies an update in which a sibling reports the first machine as reconciled under a token, without
    /// tasks.
    fn apply_empty_observation(&mut self, token: FencingToken) {
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

    /// Starts a task on the first machine and returns the call id of the direct message with the start.
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

    /// Sends direct messages and returns the first one.
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

    /// Whether the first attempt of a task is tracked on the first machine.
    fn tracks(&self, index: u32) -> bool {
        let machine = self.shard.machines.get(&MachineId::from("m-1"));
        machine.is_some_and(|machine| machine.attempts.contains_key(&(task(index), Attempt(1))))
    }

    /// Runs a placement round and returns the number of starts that it issues.
    fn starts_in_placement_round(&mut self) -> usize {
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

fn reported(index: u32, attempt: u64, state: TaskState, exit: Option<ExitReason>) -> ReportedTask {
    let (task, attempt) = (task(index).to_string(), Attempt(attempt));
    ReportedTask {
        task,
        attempt,
        state,
        exit,
        checkpointed: None,
    }
}

fn refused_start(index: u32) -> ReportedTask {
    reported(index, 1, TaskState::Exited, Some(ExitReason::NoRoom))
}

fn contains_forget(commands: &[Command]) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, Command::Forget { .. }))
}

/// Two messages with the same start are in flight. The later one could not be sent, the earlier one may still
/// arrive.
#[test]
fn unsent_message_does_not_void_an_earlier_start() {
    let mut fixture = Fixture::new();
    let delayed = fixture.start(0);
    let unsent = fixture.start(1);
    fixture.reply(unsent, WorkerReply::NotSent);
    assert!(fixture.tracks(0), "its start may still arrive");
    assert!(
        !fixture.tracks(1),
        "the only message with its start was not sent"
    );
    fixture.reply(delayed, WorkerReply::Unknown);
    for _ in 0..5 {
        fixture.heartbeat("m-1", &[]);
    }
    assert!(fixture.tracks(0));
    let machine = &fixture.shard.machines[&MachineId::from("m-1")];
    assert!(machine.needs_new_token, "a new token voids the start");
}

/// Two messages with the same start are in flight, and heartbeats do not show the task. Neither these
/// heartbeats nor the failure to send the later message proves that the attempt is absent.
#[test]
fn attempt_missing_from_heartbeats_is_kept_while_its_start_is_in_flight() {
    let mut fixture = Fixture::new();
    let delayed = fixture.start(0);
    fixture.heartbeat("m-1", &[]);
    let unsent = fixture.start(1);
    fixture.reply(unsent, WorkerReply::NotSent);
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
        "its start is void under the new token, and the machine does not show it"
    );
}

/// A worker that has forgotten an exit would execute a late start of the same attempt.
#[test]
fn an_exit_is_not_forgotten_while_a_start_is_in_flight() {
    let mut fixture = Fixture::new();
    let delayed = fixture.start(0);
    fixture.heartbeat("m-1", &[]);
    let commands = fixture.heartbeat("m-1", &[refused_start(0)]);
    assert!(
        !contains_forget(&commands),
        "the direct message may still arrive"
    );
    let answer = fixture.next_heartbeat("m-1", &[refused_start(0)]);
    fixture.reply(delayed, WorkerReply::Executed(answer));
    assert!(
        !contains_forget(&fixture.heartbeat("m-1", &[refused_start(0)])),
        "a copy of the direct message may still arrive"
    );
    fixture.assign_token(8, 11, 0);
    assert!(contains_forget(
        &fixture.heartbeat("m-1", &[refused_start(0)])
    ));
}

/// A late copy of an answered start would start an attempt whose exit the worker has forgotten.
#[test]
fn an_exit_is_forgotten_under_a_higher_token_than_the_starts_of_its_attempt() {
    let mut fixture = Fixture::new();
    fixture.assign_token(8, 20, 5);
    fixture.heartbeat("m-1", &[]);
    let start = fixture.start(0);
    let started_under = fixture.command_token();
    let answer = fixture.next_heartbeat("m-1", &[refused_start(0)]);
    fixture.reply(start, WorkerReply::Executed(answer));
    fixture.shard.unsent_commands.insert("m-1".into());
    assert!(fixture.send_direct().is_none(), "the token is not higher");
    let commands = fixture.heartbeat("m-1", &[refused_start(0)]);
    assert!(contains_forget(&commands) && fixture.command_token() > started_under);
    fixture.heartbeat("m-1", &[]);
    assert!(!fixture.tracks(0));
}

/// A start in the response to a heartbeat may arrive until the worker has sent its next heartbeat.
#[test]
fn an_exit_is_not_forgotten_while_the_response_to_a_heartbeat_is_in_flight() {
    let mut fixture = Fixture::new();
    fixture.assign_token(8, 20, 5);
    fixture.heartbeat("m-1", &[]);
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
    assert!(
        !contains_forget(&direct),
        "the direct message may overtake the response"
    );
    assert!(contains_forget(
        &fixture.heartbeat("m-1", &[refused_start(0)])
    ));
}

/// The token may have been raised between a direct message with a start and a response that repeats it.
#[test]
fn an_exit_is_not_forgotten_while_a_response_under_a_raised_token_repeats_its_start() {
    let mut fixture = Fixture::new();
    fixture.assign_token(8, 20, 5);
    fixture.heartbeat("m-1", &[]);
    let other = fixture.start(1);
    let answer = fixture.next_heartbeat("m-1", &[refused_start(1)]);
    fixture.reply(other, WorkerReply::Executed(answer));
    let first = fixture.start(0);
    let commands = fixture.heartbeat("m-1", &[refused_start(1)]);
    assert!(
        contains_forget(&commands) && commands.len() == 2,
        "{commands:?}"
    );
    let answer = fixture.next_heartbeat("m-1", &[refused_start(0)]);
    fixture.reply(first, WorkerReply::Executed(answer));
    fixture.shard.unsent_commands.insert("m-1".into());
    assert!(
        fixture.send_direct().is_none(),
        "the direct message may overtake the response"
    );
}

/// A start that was sent under an earlier ownership of the machine is void once the machine has shown a later
/// token, so it delays no forgetting of exits.
#[test]
fn message_of_an_earlier_ownership_is_void_under_the_current_token() {
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
        contains_forget(&fixture.heartbeat("m-1", &[refused_start(0)])),
        "reported under the current token"
    );
}

/// The failure to send is received after the machine had another owner, and before it has shown its new
/// token.
#[test]
fn unsent_message_does_not_void_an_earlier_start_after_the_machine_was_regained() {
    let mut fixture = Fixture::new();
    fixture.start(0);
    let unsent = fixture.start(1);
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
    fixture.reply(unsent, WorkerReply::NotSent);
    assert!(fixture.tracks(0));
}

/// A surplus attempt may still be on its machine when the other attempt ends.
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
    let failed = reported(0, 1, TaskState::Exited, Some(ExitReason::Stopped));
    fixture.heartbeat("m-1", &[failed.clone(), running(1)]);
    assert_eq!(
        fixture.starts_in_placement_round(),
        0,
        "an attempt is still on the second machine"
    );
    fixture.heartbeat(
        "m-2",
        &[reported(0, 2, TaskState::Exited, Some(ExitReason::Stopped))],
    );
    assert_eq!(fixture.starts_in_placement_round(), 1);
    assert_eq!(
        fixture.shard.starts_held_back, 0,
        "the attempts were known, so no start had to be held back"
    );
}

/// The response to a heartbeat carries the same start as an unsent message: the attempt is kept, and no start
/// has to be voided.
#[test]
fn unsent_message_needs_no_new_token_while_a_response_carries_the_start() {
    let mut fixture = Fixture::new();
    let unsent = fixture.start(0);
    fixture.heartbeat("m-1", &[]);
    fixture.reply(unsent, WorkerReply::NotSent);
    assert!(fixture.tracks(0));
    assert!(!fixture.shard.machines[&MachineId::from("m-1")].needs_new_token);
}

/// Once a start in flight is void, an attempt that the machine does not show is dropped, and the task may
/// start elsewhere.
#[test]
fn a_start_in_flight_is_void_once_its_machine_cannot_execute_it() {
    let tracked_after = |event: fn(&mut Fixture)| {
        let mut fixture = Fixture::new();
        let late = fixture.start(0);
        fixture.reply(late, WorkerReply::Unknown);
        event(&mut fixture);
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
    assert!(!tracked_after(Fixture::delete_first_machine));
    assert!(!tracked_after(|fixture| {
        fixture.assign(
            8,
            ShardOwner {
                token: FencingToken(10),
                ..owner("n1")
            },
            owner("n0"),
        );
        fixture.apply_empty_observation(FencingToken(10));
    }));
}

/// None of these proves that an attempt is absent: a heartbeat under a lower token, a duplicate heartbeat, an
/// observation of a controller that does not own the machine, or an observation under an earlier token.
#[test]
fn outdated_heartbeats_and_observations_do_not_drop_an_attempt() {
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
    assert!(fixture.tracks(0), "the heartbeats have a lower token");
    fixture.apply_empty_observation(FencingToken(9));
    assert!(fixture.tracks(0), "the sibling does not own the machine");
    fixture.assign(
        9,
        ShardOwner {
            token: FencingToken(12),
            ..owner("n1")
        },
        owner("n0"),
    );
    fixture.apply_empty_observation(FencingToken(9));
    assert!(fixture.tracks(0), "the observation has an earlier token");
    fixture.apply_empty_observation(FencingToken(12));
    assert!(!fixture.tracks(0));
}

/// If the tracking wrongly shows a task as waiting while an attempt of it may still run, no second attempt is
/// started.
#[test]
fn second_attempt_is_held_back_and_counted() {
    let mut fixture = Fixture::new();
    fixture.start(0);
    let job = fixture.shard.jobs.get_mut(&JOB.into()).unwrap();
    job.set_task(0, Task::Waiting, None);
    assert_eq!(
        fixture.starts_in_placement_round(),
        1,
        "only the other task of the job"
    );
    assert_eq!(fixture.shard.starts_held_back, 1);
}

/// A worker that answers no direct message receives all commands in the responses to its heartbeats. It gets
/// a new token after a number of unanswered messages, so that the number of messages that may arrive late
/// stays bounded.
#[test]
fn worker_that_never_answers_gets_a_new_token() {
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
            "an attempt that was reported needs no further start"
        );
        fixture.reply(call, WorkerReply::Unknown);
        let running: Vec<ReportedTask> = (1..=attempt as u64)
            .map(|number| reported(0, number, TaskState::Running, None))
            .collect();
        fixture.heartbeat("m-1", &running);
    }
    assert!(needs_new_token(&fixture));
}
