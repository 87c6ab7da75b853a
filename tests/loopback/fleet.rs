//! Workers that follow redirects of the controllers, end their tasks by themselves, respect their leases, and record one
//! history of what ran.

use super::worker::empty_heartbeat;
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
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// How often a worker sends a heartbeat.
const REPORT_EVERY: Duration = Duration::from_millis(500);
/// How often a worker checks its lease and its tasks.
const TURN: Duration = Duration::from_millis(50);
/// How long tasks run, in turn.
const RUNS: [Duration; 4] = [
    Duration::from_millis(300),
    Duration::from_millis(900),
    Duration::from_millis(1700),
    Duration::from_millis(3100),
];

/// What ran, as the workers recorded it.
#[derive(Debug, Default)]
pub struct History {
    /// Copies of each task that run now.
    pub running: BTreeMap<String, usize>,
    /// Tasks that were started.
    pub starts: usize,
    /// The largest number of tasks that ran at once.
    pub most_at_once: usize,
    /// Moments at which more ran than the limit allows.
    pub overshoots: usize,
    /// Starts of a task that ran on another machine.
    pub ran_twice: usize,
    /// The largest number of tasks that may run at once.
    pub limit: usize,
}

impl History {
    fn started(&mut self, task: &str) {
        self.starts += 1;
        let copies = self.running.entry(task.to_owned()).or_default();
        *copies += 1;
        self.ran_twice += usize::from(*copies > 1);
        let running = self.running.values().sum();
        self.most_at_once = self.most_at_once.max(running);
        self.overshoots += usize::from(running > self.limit);
    }

    fn ended(&mut self, task: &str) {
        let left = self.running.get_mut(task).map_or(0, |copies| {
            *copies -= 1;
            *copies
        });
        if left == 0 {
            self.running.remove(task);
        }
    }
}

struct Task {
    state: TaskState,
    ends: Instant,
    why: Option<ExitReason>,
}

struct Machine {
    id: MachineId,
    address: SocketAddr,
    agent_epoch: u64,
    sequence: u64,
    token: FencingToken,
    answered: Instant,
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
                exit: running.why,
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

    fn start(&mut self, task: String, attempt: Attempt) {
        let key = (task, attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let mut history = self.history.borrow_mut();
        history.started(&key.0);
        let run = RUNS[history.starts % RUNS.len()];
        let task = Task {
            state: TaskState::Running,
            ends: Instant::now() + run,
            why: None,
        };
        self.tasks.insert(key, task);
    }

    fn exit(&mut self, key: &(String, Attempt), why: ExitReason) {
        let Some(task) = self
            .tasks
            .get_mut(key)
            .filter(|t| t.state == TaskState::Running)
        else {
            return;
        };
        task.state = TaskState::Exited;
        task.why = Some(why);
        self.history.borrow_mut().ended(&key.0);
    }

    /// Tasks end by themselves, or with the machine's lease.
    fn pass_time(&mut self) {
        let now = Instant::now();
        let over: Vec<(String, Attempt)> = self
            .tasks
            .iter()
            .filter(|(_, t)| now >= t.ends)
            .map(|(key, _)| key.clone())
            .collect();
        over.iter().for_each(|key| self.exit(key, ExitReason::Done));
        if now > self.answered + self.lease {
            let all: Vec<(String, Attempt)> = self.tasks.keys().cloned().collect();
            all.iter()
                .for_each(|key| self.exit(key, ExitReason::Stopped));
            self.tasks.clear();
            self.agent_epoch += 1;
            self.answered = now;
        }
    }
}

/// Starts workers that report to the controllers at `fronts`. Returns their history and their entries in the listing of
/// the cloud.
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
    let mut listed = Vec::new();
    for number in 1..=machines {
        let (listener, address) = listen().await;
        let id = MachineId::from(format!("m-{number:06}"));
        let machine = Rc::new(RefCell::new(Machine {
            id: id.clone(),
            address,
            agent_epoch: 1,
            sequence: 0,
            token: FencingToken(0),
            answered: Instant::now(),
            lease,
            tasks: BTreeMap::new(),
            history: history.clone(),
        }));
        listed.push(serde_json::json!({"nameId": id, "address":
            address.to_string(), "breed": "g8", "yard": "a", "loaners": false, "stance": "running",
            "heldS": 600.0}));
        let taking = machine.clone();
        spawn_local(serve(listener, MAX_CONNECTIONS, move |request| {
            take_request(taking.clone(), request)
        }));
        spawn_local(pass_time(machine.clone()));
        spawn_local(send_heartbeats(machine, fronts.to_vec(), number));
    }
    (history, listed)
}

async fn pass_time(machine: Rc<RefCell<Machine>>) {
    loop {
        tokio::time::sleep(TURN).await;
        machine.borrow_mut().pass_time();
    }
}

async fn take_request(machine: Rc<RefCell<Machine>>, request: Request<Incoming>) -> Reply {
    let Ok(body) = read_body(request.into_body(), BODY_LIMIT, WAIT).await else {
        return reply(400, Vec::new(), MESSAGE_PACK);
    };
    let mut machine = machine.borrow_mut();
    let status = match decode::<DirectCommands>(&body) {
        None => 400,
        Some(message)
            if message.token < machine.token || message.agent_epoch != machine.agent_epoch =>
        {
            409
        }
        Some(message) => {
            machine.token = message.token;
            machine.execute(message.commands);
            200
        }
    };
    reply(status, encode(&machine.heartbeat()), MESSAGE_PACK)
}

async fn send_heartbeats(
    machine: Rc<RefCell<Machine>>,
    fronts: Vec<(String, SocketAddr)>,
    first: usize,
) {
    let mut at = first % fronts.len();
    loop {
        let client = Client::new(fronts[at].1, MESSAGE_PACK, 1);
        let next = redirect_to(&machine, &client).await;
        let named = next.and_then(|name| fronts.iter().position(|(node, _)| *node == name));
        at = named
            .filter(|named| *named != at)
            .unwrap_or((at + 1) % fronts.len());
        if named.is_none() {
            tokio::time::sleep(REPORT_EVERY).await;
        }
    }
}

/// Sends heartbeats to one controller until it redirects the worker, and returns the controller that it names.
async fn redirect_to(machine: &Rc<RefCell<Machine>>, client: &Client) -> Option<String> {
    loop {
        let sent = Instant::now();
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
                machine.answered = machine.answered.max(sent);
                machine.execute(answer.commands);
            }
        }
        tokio::time::sleep(REPORT_EVERY).await;
    }
}
