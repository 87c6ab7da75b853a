//! Workers that follow redirects between controllers and stop their tasks when their lease expires. Their
//! tasks also end by themselves. All workers record the starts and ends of tasks in one history.

use super::worker::empty_heartbeat;
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
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Pause between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between two checks of the lease and the tasks of a worker.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long tasks run; consecutive starts take consecutive entries.
const TASK_DURATIONS: [Duration; 4] = [
    Duration::from_millis(300),
    Duration::from_millis(900),
    Duration::from_millis(1700),
    Duration::from_millis(3100),
];

/// A copy of every message of direct commands whose number is a multiple of this arrives once more.
const MESSAGES_PER_COPY: usize = 2;
/// How long after its message a copy arrives; consecutive copies take consecutive entries.
const COPY_DELAYS: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_millis(1100),
    Duration::from_millis(2500),
    Duration::from_millis(6000),
    Duration::from_millis(12_000),
];

/// The starts and ends of tasks, as the workers recorded them.
#[derive(Debug, Default)]
pub struct History {
    /// The number of copies of each running task.
    pub running: BTreeMap<String, usize>,
    /// The team of each service, whose tasks run until they are stopped. All other jobs belong to one team.
    pub team_of_service: BTreeMap<String, String>,
    /// Starts of tasks on all machines.
    pub starts: usize,
    /// The largest number of tasks of a team that ran at once.
    pub peak_running: usize,
    /// Starts after which more tasks of the team ran than its limit allows.
    pub limit_violations: usize,
    /// Starts of a task of which another copy was running.
    pub duplicate_starts: usize,
    /// Starts of an attempt that the same session of its worker had already started and forgotten.
    pub repeated_attempts: usize,
    /// Copies of messages whose token and session still matched, so that they were executed.
    pub executed_copies: usize,
    /// Messages of direct commands that were executed.
    messages: usize,
    /// The attempts that were started, with the machine and its session.
    started_attempts: BTreeSet<(MachineId, u64, String, Attempt)>,
    /// The largest number of tasks of each team that may run at once.
    pub limit: usize,
}

impl History {
    /// Counts a message of direct commands. Returns how long after it a copy arrives, if one does.
    fn count_message(&mut self) -> Option<Duration> {
        self.messages += 1;
        let is_copied = self.messages.is_multiple_of(MESSAGES_PER_COPY);
        let copies = self.messages / MESSAGES_PER_COPY;
        is_copied.then_some(COPY_DELAYS[copies % COPY_DELAYS.len()])
    }

    fn record_start(&mut self, task: &str) {
        self.starts += 1;
        let copies = self.running.entry(task.to_owned()).or_default();
        *copies += 1;
        self.duplicate_starts += usize::from(*copies > 1);
        let running = self.running_of(self.team_of(task));
        self.peak_running = self.peak_running.max(running);
        self.limit_violations += usize::from(running > self.limit);
    }

    /// The team of a task of a service; `None` for tasks of other jobs.
    fn team_of(&self, task: &str) -> Option<&String> {
        let (job, _) = task.split_once('/')?;
        self.team_of_service.get(job)
    }

    /// The number of running tasks of a team.
    fn running_of(&self, team: Option<&String>) -> usize {
        let of_team = self
            .running
            .iter()
            .filter(|(task, _)| self.team_of(task) == team);
        of_team.map(|(_, copies)| copies).sum()
    }

    fn record_end(&mut self, task: &str) {
        let remaining = self.running.get_mut(task).map_or(0, |copies| {
            *copies -= 1;
            *copies
        });
        if remaining == 0 {
            self.running.remove(task);
        }
    }
}

struct Task {
    state: TaskState,
    /// `None` if it runs until it is stopped.
    ends_at: Option<Instant>,
    exit_reason: Option<ExitReason>,
}

struct Machine {
    id: MachineId,
    address: SocketAddr,
    agent_epoch: u64,
    sequence: u64,
    token: FencingToken,
    /// Start of the present lease: when the last answered heartbeat was sent, or when this agent epoch began.
    lease_started_at: Instant,
    lease: Duration,
    tasks: BTreeMap<(String, Attempt), Task>,
    history: Rc<RefCell<History>>,
}

impl Machine {
    fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), running)| ReportedTask {
                task: task.clone(),
                attempt: *attempt,
                state: running.state,
                exit: running.exit_reason,
                checkpointed: None,
            });
        let (agent_epoch, sequence, token) = (self.agent_epoch, self.sequence, self.token);
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
                Command::Start { task, attempt } => self.start(task, attempt),
                Command::Stop { task, attempt, .. } => {
                    self.exit(&(task, attempt), ExitReason::Stopped)
                }
                Command::Forget { task, attempt } => {
                    self.tasks.remove(&(task, attempt));
                }
            }
        }
    }

    /// Executes a message of direct commands, and returns whether its token and session permitted that.
    fn handle_message(&mut self, message: DirectCommands) -> bool {
        let is_current = message.token >= self.token && message.agent_epoch == self.agent_epoch;
        if is_current {
            self.token = message.token;
            self.execute(message.commands);
        }
        is_current
    }

    fn start(&mut self, task: String, attempt: Attempt) {
        let key = (task, attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let mut history = self.history.borrow_mut();
        history.record_start(&key.0);
        let attempt = (self.id.clone(), self.agent_epoch, key.0.clone(), key.1);
        let is_new = history.started_attempts.insert(attempt);
        history.repeated_attempts += usize::from(!is_new);
        let duration = TASK_DURATIONS[history.starts % TASK_DURATIONS.len()];
        let is_service = history.team_of(&key.0).is_some();
        let task = Task {
            state: TaskState::Running,
            ends_at: (!is_service).then(|| Instant::now() + duration),
            exit_reason: None,
        };
        self.tasks.insert(key, task);
    }

    fn exit(&mut self, key: &(String, Attempt), reason: ExitReason) {
        let Some(task) = self
            .tasks
            .get_mut(key)
            .filter(|t| t.state == TaskState::Running)
        else {
            return;
        };
        task.state = TaskState::Exited;
        task.exit_reason = Some(reason);
        self.history.borrow_mut().record_end(&key.0);
    }

    /// Ends the tasks whose time is over. If the lease has expired, stops all tasks and begins a new agent
    /// epoch.
    fn update_tasks(&mut self) {
        let now = Instant::now();
        let finished: Vec<(String, Attempt)> = self
            .tasks
            .iter()
            .filter(|(_, t)| t.ends_at.is_some_and(|ends_at| now >= ends_at))
            .map(|(key, _)| key.clone())
            .collect();
        finished
            .iter()
            .for_each(|key| self.exit(key, ExitReason::Done));
        if now > self.lease_started_at + self.lease {
            let all: Vec<(String, Attempt)> = self.tasks.keys().cloned().collect();
            all.iter()
                .for_each(|key| self.exit(key, ExitReason::Stopped));
            self.tasks.clear();
            self.agent_epoch += 1;
            self.lease_started_at = now;
        }
    }
}

/// Starts workers that send heartbeats to the controllers at `fronts`. Returns their common history and their
/// entries in the listing of the cloud.
pub async fn start_fleet(
    machines: usize,
    fronts: &[(String, SocketAddr)],
    lease: Duration,
    limit: usize,
) -> (Rc<RefCell<History>>, Vec<Value>) {
    let history = Rc::new(RefCell::new(History {
        limit,
        ..History::default()
    }));
    let mut cloud_machines = Vec::new();
    for number in 1..=machines {
        let (listener, address) = listen().await;
        let id = MachineId::from(format!("m-{number:06}"));
        let machine = Rc::new(RefCell::new(Machine {
            id: id.clone(),
            address,
            agent_epoch: 1,
            sequence: 0,
            token: FencingToken(0),
            lease_started_at: Instant::now(),
            lease,
            tasks: BTreeMap::new(),
            history: history.clone(),
        }));
        cloud_machines.push(serde_json::json!({"nameId": id, "address":
            address.to_string(), "breed": "g8", "yard": "a", "loaners": false, "stance": "running",
            "heldS": 600.0}));
        let served_machine = machine.clone();
        spawn_local(serve(listener, MAX_CONNECTIONS, move |request| {
            handle_request(served_machine.clone(), request)
        }));
        spawn_local(run_tasks(machine.clone()));
        spawn_local(send_heartbeats(machine, fronts.to_vec(), number));
    }
    (history, cloud_machines)
}

async fn run_tasks(machine: Rc<RefCell<Machine>>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        machine.borrow_mut().update_tasks();
    }
}

async fn handle_request(machine: Rc<RefCell<Machine>>, request: Request<Incoming>) -> Reply {
    let Ok(body) = read_body(request.into_body(), BODY_LIMIT, TIMEOUT).await else {
        return reply(400, Vec::new(), MESSAGE_PACK);
    };
    let Some(message) = decode::<DirectCommands>(&body) else {
        return reply(400, Vec::new(), MESSAGE_PACK);
    };
    let is_executed = machine.borrow_mut().handle_message(message);
    if is_executed {
        deliver_copy_later(&machine, &body);
    }
    let status = if is_executed { 200 } else { 409 };
    let heartbeat = encode(&machine.borrow_mut().heartbeat());
    reply(status, heartbeat, MESSAGE_PACK)
}

/// Lets a copy of some messages of direct commands arrive later. Nobody waits for the answer.
fn deliver_copy_later(machine: &Rc<RefCell<Machine>>, body: &[u8]) {
    let history = machine.borrow().history.clone();
    let delay = history.borrow_mut().count_message();
    let copy = decode::<DirectCommands>(body);
    let (Some(delay), Some(copy)) = (delay, copy) else {
        return;
    };
    let machine = machine.clone();
    spawn_local(async move {
        tokio::time::sleep(delay).await;
        let is_executed = machine.borrow_mut().handle_message(copy);
        history.borrow_mut().executed_copies += usize::from(is_executed);
    });
}

/// Sends heartbeats to one controller after the other, beginning with number `first`. After a redirect it
/// goes to the controller that was named, otherwise to the next one.
async fn send_heartbeats(
    machine: Rc<RefCell<Machine>>,
    fronts: Vec<(String, SocketAddr)>,
    first: usize,
) {
    let mut current = first % fronts.len();
    loop {
        let client = Client::new(fronts[current].1, MESSAGE_PACK, 1);
        let next = wait_for_redirect(&machine, &client).await;
        let named = next.and_then(|name| fronts.iter().position(|(node, _)| *node == name));
        current = named
            .filter(|named| *named != current)
            .unwrap_or((current + 1) % fronts.len());
        if named.is_none() {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }
}

/// Sends heartbeats to one controller until it redirects the worker, and returns the controller that it
/// names. Returns nothing if a heartbeat fails or the redirect names no controller.
async fn wait_for_redirect(machine: &Rc<RefCell<Machine>>, client: &Client) -> Option<String> {
    loop {
        let sent_at = Instant::now();
        let (body, agent_epoch) = {
            let mut machine = machine.borrow_mut();
            (encode(&machine.heartbeat()), machine.agent_epoch)
        };
        let answer = client
            .send(Method::POST, "/checkin", body, Duration::from_secs(4))
            .await;
        let (status, body) = answer.ok()?;
        if status == 421 {
            let named = decode::<Value>(&body)?;
            return named["conductor"].as_str().map(str::to_owned);
        }
        let answer = decode::<HeartbeatResponse>(&body).filter(|_| status == 200)?;
        {
            let mut machine = machine.borrow_mut();
            if answer.token >= machine.token && agent_epoch == machine.agent_epoch {
                machine.token = answer.token;
                machine.lease_started_at = machine.lease_started_at.max(sent_at);
                machine.execute(answer.commands);
            }
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}
