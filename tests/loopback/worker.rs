//! A worker that sends heartbeats to the program and executes its direct commands, or holds them.

use super::{MAX_CONNECTIONS, WAIT, listen};
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

/// How often the worker sends a heartbeat.
const REPORT_EVERY: Duration = Duration::from_millis(500);
/// How often a test checks what it waits for.
const POLL_EVERY: Duration = Duration::from_millis(10);

/// What happens to messages of direct commands.
#[derive(PartialEq)]
enum Messages {
    /// They are executed and answered.
    Serve,
    /// The next one is held: neither executed nor answered.
    HoldNext,
    /// This one is held.
    Held(DirectCommands),
}

struct Machine {
    id: MachineId,
    address: SocketAddr,
    sequence: u64,
    token: FencingToken,
    tasks: BTreeMap<(String, Attempt), TaskState>,
    /// Every task that ever ran here.
    ran: BTreeSet<String>,
    messages: Messages,
}

/// A worker. While it holds a message it sends no heartbeats.
pub struct StandInWorker {
    machine: Rc<RefCell<Machine>>,
    listening: AbortHandle,
}

/// The first heartbeat of a machine without tasks.
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
                    self.ran.insert(task.clone());
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

    /// Executes a direct message if its token and session match.
    fn take_message(&mut self, message: DirectCommands) -> u16 {
        if message.token < self.token || message.agent_epoch != 1 {
            return 409;
        }
        self.token = message.token;
        self.execute(message.commands);
        200
    }
}

impl StandInWorker {
    /// A worker that reports to the program at `front` from now on.
    pub async fn start(id: &str, front: SocketAddr) -> Self {
        let (listener, address) = listen().await;
        let machine = Rc::new(RefCell::new(Machine {
            id: id.into(),
            address,
            sequence: 0,
            token: FencingToken(0),
            tasks: BTreeMap::new(),
            ran: BTreeSet::new(),
            messages: Messages::Serve,
        }));
        let taking = machine.clone();
        let listening = spawn_local(serve(listener, MAX_CONNECTIONS, move |request| {
            take_request(taking.clone(), request)
        }));
        spawn_local(send_heartbeats(machine.clone(), front));
        Self {
            machine,
            listening: listening.abort_handle(),
        }
    }

    /// Holds the next message of direct commands: it is neither executed nor answered.
    pub fn hold_next_message(&self) {
        self.machine.borrow_mut().messages = Messages::HoldNext;
    }

    /// Executes and answers messages of direct commands again.
    pub fn serve_messages(&self) {
        self.machine.borrow_mut().messages = Messages::Serve;
    }

    /// Whether a message is held.
    pub fn holds_message(&self) -> bool {
        matches!(self.machine.borrow().messages, Messages::Held(_))
    }

    /// Accepts no more connections.
    pub fn refuse_connections(&self) {
        self.listening.abort();
    }

    /// Executes the message that is held.
    pub fn execute_held_message(&self) {
        let mut machine = self.machine.borrow_mut();
        if let Messages::Held(message) = std::mem::replace(&mut machine.messages, Messages::Serve) {
            machine.take_message(message);
        }
    }

    /// Whether a task runs on this worker.
    pub fn runs(&self, task: &str) -> bool {
        let running = |(key, state): (&(String, Attempt), &TaskState)| {
            key.0 == task && *state == TaskState::Running
        };
        self.machine.borrow().tasks.iter().any(running)
    }

    /// Whether a task ever ran on this worker.
    pub fn ran(&self, task: &str) -> bool {
        self.machine.borrow().ran.contains(task)
    }

    /// Waits until its heartbeats show a fencing token.
    pub async fn has_token(&self) {
        wait_for(|| self.machine.borrow().token > FencingToken(0)).await;
        tokio::time::sleep(REPORT_EVERY * 2).await;
    }

    /// Waits until a task runs here.
    pub async fn has_task(&self, task: &str) {
        wait_for(|| self.runs(task)).await;
    }
}

async fn wait_for(condition: impl Fn() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < WAIT, "the condition was not met in time");
        tokio::time::sleep(POLL_EVERY).await;
    }
}

async fn take_request(machine: Rc<RefCell<Machine>>, request: Request<Incoming>) -> Reply {
    let body = read_body(request.into_body(), BODY_LIMIT, WAIT)
        .await
        .unwrap();
    let Some(message) = decode::<DirectCommands>(&body) else {
        return reply(400, Vec::new(), MESSAGE_PACK);
    };
    if machine.borrow().messages == Messages::HoldNext {
        machine.borrow_mut().messages = Messages::Held(message);
        std::future::pending::<()>().await;
        return reply(500, Vec::new(), MESSAGE_PACK);
    }
    let mut machine = machine.borrow_mut();
    let status = machine.take_message(message);
    reply(status, encode(&machine.heartbeat()), MESSAGE_PACK)
}

async fn send_heartbeats(machine: Rc<RefCell<Machine>>, front: SocketAddr) {
    let client = Client::new(front, MESSAGE_PACK, 1);
    loop {
        tokio::time::sleep(REPORT_EVERY).await;
        if matches!(machine.borrow().messages, Messages::Held(_)) {
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
