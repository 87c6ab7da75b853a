//! A worker that sends heartbeats to a controller. It executes direct commands at once, or holds a message of
//! them until the test releases it.

use super::{MAX_CONNECTIONS, TIMEOUT, listen};
use hyper::body::Incoming;
use hyper::{Method, Request};
use ochredrum::front::MESSAGE_PACK;
use ochredrum::http::{Client, Reply, read_body, reply, serve};
use ochredrum::ids::{Attempt, FencingToken, MachineId};
use ochredrum::wire::{
    BODY_LIMIT, Command, DirectCommands, ExitReason, Heartbeat, HeartbeatResponse, ReportedTask,
    TaskState, decode, encode,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{AbortHandle, spawn_local};

/// Pause between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between two checks of a condition that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How the worker treats messages of direct commands.
#[derive(PartialEq)]
enum MessageHandling {
    /// Messages are executed and answered.
    Serve,
    /// The next message will be held: neither executed nor answered.
    HoldNext,
    /// This message is held. Others are executed and answered.
    Held(DirectCommands),
}

struct Machine {
    id: MachineId,
    address: SocketAddr,
    sequence: u64,
    token: FencingToken,
    tasks: BTreeMap<(String, Attempt), TaskState>,
    /// Every task that was started here, including those that have ended.
    started_tasks: BTreeSet<String>,
    message_handling: MessageHandling,
}

/// A running worker. It sends no heartbeats while it holds a message.
pub struct StandInWorker {
    machine: Rc<RefCell<Machine>>,
    server: AbortHandle,
}

/// Returns the first heartbeat of a machine without tasks.
pub fn empty_heartbeat(machine: &MachineId, address: SocketAddr) -> Heartbeat {
    Heartbeat {
        machine: machine.clone(),
        address: address.to_string(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: 1,
        sequence: 1,
        token: FencingToken(0),
        reclaim_notice_s: None,
        tasks: Vec::new(),
    }
}

impl Machine {
    fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), state)| ReportedTask {
                task: task.clone(),
                attempt: *attempt,
                state: *state,
                exit: (*state == TaskState::Exited).then_some(ExitReason::Stopped),
                checkpointed: None,
            });
        let (agent_epoch, sequence, token) = (1, self.sequence, self.token);
        Heartbeat {
            agent_epoch,
            sequence,
            token,
            tasks: tasks.collect(),
            ..empty_heartbeat(&self.id, self.address)
        }
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    self.started_tasks.insert(task.clone());
                    self.tasks
                        .entry((task, attempt))
                        .or_insert(TaskState::Running);
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some(state) = self.tasks.get_mut(&(task, attempt)) {
                        *state = TaskState::Exited;
                    }
                }
                Command::Forget { task, attempt } => {
                    self.tasks.remove(&(task, attempt));
                }
            }
        }
    }

    /// Executes a direct message and returns status 200, or 409 if its fencing token is outdated or its agent
    /// epoch is another one.
    fn handle_message(&mut self, message: DirectCommands) -> u16 {
        if message.token < self.token || message.agent_epoch != 1 {
            return 409;
        }
        self.token = message.token;
        self.execute(message.commands);
        200
    }
}

impl StandInWorker {
    /// Starts a worker that sends heartbeats to the controller at `front`.
    pub async fn start(id: &str, front: SocketAddr) -> Self {
        let (listener, address) = listen().await;
        let machine = Rc::new(RefCell::new(Machine {
            id: id.into(),
            address,
            sequence: 0,
            token: FencingToken(0),
            tasks: BTreeMap::new(),
            started_tasks: BTreeSet::new(),
            message_handling: MessageHandling::Serve,
        }));
        let served_machine = machine.clone();
        let server = spawn_local(serve(listener, MAX_CONNECTIONS, move |request| {
            handle_request(served_machine.clone(), request)
        }));
        spawn_local(send_heartbeats(machine.clone(), front));
        Self {
            machine,
            server: server.abort_handle(),
        }
    }

    /// Holds the next message of direct commands, so that it is neither executed nor answered.
    pub fn hold_next_message(&self) {
        self.machine.borrow_mut().message_handling = MessageHandling::HoldNext;
    }

    /// Executes and answers messages of direct commands again. A held message is discarded.
    pub fn serve_messages(&self) {
        self.machine.borrow_mut().message_handling = MessageHandling::Serve;
    }

    /// Whether a message of direct commands is held.
    pub fn holds_message(&self) -> bool {
        matches!(
            self.machine.borrow().message_handling,
            MessageHandling::Held(_)
        )
    }

    /// Stops accepting connections.
    pub fn refuse_connections(&self) {
        self.server.abort();
    }

    /// Executes the held message, if there is one, without answering it.
    pub fn execute_held_message(&self) {
        let mut machine = self.machine.borrow_mut();
        if let MessageHandling::Held(message) =
            std::mem::replace(&mut machine.message_handling, MessageHandling::Serve)
        {
            machine.handle_message(message);
        }
    }

    /// Whether a task runs on this worker now.
    pub fn is_running(&self, task: &str) -> bool {
        let running = |(key, state): (&(String, Attempt), &TaskState)| {
            key.0 == task && *state == TaskState::Running
        };
        self.machine.borrow().tasks.iter().any(running)
    }

    /// Whether a task was ever started on this worker.
    pub fn has_started(&self, task: &str) -> bool {
        self.machine.borrow().started_tasks.contains(task)
    }

    /// Waits until the worker has a fencing token and has sent it in a heartbeat.
    pub async fn wait_for_token(&self) {
        wait_for(|| self.machine.borrow().token > FencingToken(0)).await;
        tokio::time::sleep(HEARTBEAT_INTERVAL * 2).await;
    }

    /// Waits until a task runs on this worker.
    pub async fn wait_for_task(&self, task: &str) {
        wait_for(|| self.is_running(task)).await;
    }
}

async fn wait_for(condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < TIMEOUT,
            "the condition was not met in time"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn handle_request(machine: Rc<RefCell<Machine>>, request: Request<Incoming>) -> Reply {
    let body = read_body(request.into_body(), BODY_LIMIT, TIMEOUT)
        .await
        .unwrap();
    let Some(message) = decode::<DirectCommands>(&body) else {
        return reply(400, Vec::new(), MESSAGE_PACK);
    };
    if machine.borrow().message_handling == MessageHandling::HoldNext {
        machine.borrow_mut().message_handling = MessageHandling::Held(message);
        std::future::pending::<()>().await;
        return reply(500, Vec::new(), MESSAGE_PACK);
    }
    let mut machine = machine.borrow_mut();
    let status = machine.handle_message(message);
    reply(status, encode(&machine.heartbeat()), MESSAGE_PACK)
}

async fn send_heartbeats(machine: Rc<RefCell<Machine>>, front: SocketAddr) {
    let client = Client::new(front, MESSAGE_PACK, 1);
    loop {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        if matches!(machine.borrow().message_handling, MessageHandling::Held(_)) {
            continue;
        }
        let body = encode(&machine.borrow_mut().heartbeat());
        let sent = client
            .send(Method::POST, "/checkin", body, Duration::from_secs(4))
            .await;
        let Ok((200, body)) = sent else { continue };
        let Some(answer) = decode::<HeartbeatResponse>(&body) else {
            continue;
        };
        let mut machine = machine.borrow_mut();
        if answer.token >= machine.token {
            machine.token = answer.token;
            machine.execute(answer.commands);
        }
    }
}
