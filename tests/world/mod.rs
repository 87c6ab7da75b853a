//! A small world in virtual time around real [`Core`]s: state service, cloud, workers, users and a
//! network with faults, all by the published protocol. Every rule is checked as things happen.

mod allowance;
mod cloud;
mod faults;
mod odd;
mod old;
mod orders;
mod state;
mod users;
mod worker;

use allowance::Allowance;
use cloud::Cloud;
use faults::Network;
use ochredrum::config::Config;
use ochredrum::core::peers::MeshReply;
use ochredrum::core::{
    Answer, CallId, CloudCall, CloudReply, Core, Effect, Input, RequestId, StateCall, StateReply,
};
use ochredrum::ids::{JobId, MachineId, Node};
use ochredrum::wire::{DirectOrders, JobSpec, Report, Transaction, Write};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::State;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use users::Users;
use worker::Worker;

pub use faults::{Fault, MapFault, UpgradeOrder, Who};
pub use orders::OrderFate;

pub const REPORT_S: f64 = 1.0;
pub const LEASE_S: f64 = 10.0;
pub const GANG_WAIT_S: f64 = 30.0;
pub const GANG_PEER_S: f64 = 4.0;
pub const CANCEL_S: f64 = 30.0;
pub const GPUS_MAX: f64 = 24.0;
const RESTART_S: f64 = 5.0;
const TICK_S: f64 = 0.05;

/// What the state service takes in one value, in one transaction and in a second.
#[derive(Clone, Copy)]
pub struct Limits {
    pub value_kb: f64,
    pub txn_ops: usize,
    pub rps: f64,
    pub write_rps: f64,
}

impl Limits {
    fn settings(&self, section: &str) -> String {
        let Self { value_kb, txn_ops, rps, write_rps } = self;
        format!(
            "[{section}]\nrps = {rps:?}\nwrite_rps = {write_rps:?}\n\
             value_kb = {value_kb:?}\ntxn_ops = {txn_ops}\n"
        )
    }
}

/// `next`: the limits that will hold later, if this version is told of them.
pub fn settings(index: usize, nodes: usize, limits: Limits, next: Option<Limits>) -> String {
    let state = limits.settings("deployment.state");
    let next = next.map(|next| next.settings("deployment.state.next")).unwrap_or_default();
    let siblings: String = (0..nodes)
        .filter(|other| *other != index)
        .map(|other| {
            format!(
                "[[siblings]]\nhost_name = \"n{other}\"\naddr = \"127.0.0.1:{}\"\n",
                9100 + other
            )
        })
        .collect();
    format!(
        r#"
host_name = "n{index}"
area = "a"
front = "127.0.0.1:{}"
mesh_addr = "127.0.0.1:{}"
{siblings}
[services]
cloud = "127.0.0.1:9301"
state = "127.0.0.1:9302"
[deployment]
clock_error_ms = 5.0
[[deployment.teams]]
name = "blue"
gpus = 8.0
gpus_max = {GPUS_MAX}
[[deployment.teams]]
name = "red"
[[deployment.objectives]]
kind = "wait"
class = "chat"
within_s = 10.0
[deployment.workers]
report_s = {REPORT_S}
lease_s = {LEASE_S}
gang_wait_s = {GANG_WAIT_S}
gang_peer_s = {GANG_PEER_S}
cancel_s = {CANCEL_S}
{state}{next}[deployment.cloud]
rps = 2.0
list_lag_s = 5.0
[deployment.limits]
mem_mb = 56.0
fd_limit = 700
"#,
        9000 + index,
        9100 + index
    )
}

/// What happens at a moment.
pub enum Event {
    Tick {
        node: usize,
        epoch: u64,
    },
    Input {
        node: usize,
        epoch: u64,
        input: Box<Input>,
    },
    State {
        node: usize,
        epoch: u64,
        call: CallId,
        what: StateCall,
    },
    Cloud {
        node: usize,
        epoch: u64,
        call: CallId,
        what: CloudCall,
    },
    Orders {
        node: usize,
        epoch: u64,
        call: CallId,
        address: String,
        orders: DirectOrders,
    },
    Mesh {
        from: usize,
        epoch: u64,
        call: CallId,
        to: usize,
        message: Box<Input>,
    },
    Report {
        machine: MachineId,
        node: usize,
        report: Report,
        live: bool,
    },
    ReportAnswer {
        machine: MachineId,
        number: u64,
        answer: Option<Answer>,
    },
    Worker {
        machine: MachineId,
    },
    BootDone {
        machine: MachineId,
    },
    Submit {
        job: usize,
    },
    Cancel {
        job: usize,
    },
    Poll {
        job: usize,
    },
    /// A poll or repeat at this controller, whatever it is answered.
    Look {
        job: usize,
        node: usize,
        ask: users::Ask,
    },
    /// By now nothing may be left of a cancelled job.
    CancelDue {
        job: usize,
    },
    /// Looks for jobs that are left waiting.
    Watch,
    /// What a scenario needs to have come about by now, or it proves nothing.
    Expect {
        job: usize,
        what: String,
    },
    /// Users send odd requests until then.
    OddRequest {
        until: f64,
    },
    /// The state service's next limits hold from now on.
    LimitsFall,
    AskUnknown,
    UserAnswer {
        job: Option<usize>,
        ask: users::Ask,
        asked: f64,
        answer: Option<Answer>,
    },
    Restart {
        node: usize,
    },
    /// Ends, and comes back with the present version.
    Upgrade {
        node: usize,
    },
    Thaw {
        node: usize,
        epoch: u64,
    },
    Fault(Fault),
    FaultEnds(u64),
}

struct Timed(f64, u64, Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

struct Controller {
    core: Option<Core>,
    epoch: u64,
    started: f64,
    /// Clocks run at slightly different rates.
    rate: f64,
    next_request: u64,
    asked: BTreeMap<RequestId, Asker>,
    /// Stands still until then; what arrives meanwhile waits.
    frozen_until: f64,
    held: Vec<Input>,
}

enum Asker {
    User { job: Option<usize>, ask: users::Ask, asked: f64 },
    Worker { machine: MachineId, number: u64, live: bool },
    Sibling { from: usize, epoch: u64, call: CallId },
}

pub struct World {
    pub now: f64,
    sequence: u64,
    events: BinaryHeap<Reverse<Timed>>,
    rng: StdRng,
    nodes: Vec<Controller>,
    state: State,
    cloud: Cloud,
    workers: BTreeMap<MachineId, Worker>,
    users: Users,
    net: Network,
    pub broken: Vec<String>,
    pub log: Vec<String>,
    pub work: Work,
    pub limits: Limits,
    /// The limits that hold from some moment on.
    pub next_limits: Option<Limits>,
    /// Requests and changes that the state service takes at this moment.
    allowance: Allowance,
    /// Controllers of the version before; they come back so until they are upgraded.
    pub old: BTreeSet<usize>,
    /// Since when no trouble is on.
    calm_since: f64,
    /// When a controller last ended.
    crashed: f64,
    /// Reports kept for the next leader, and who led last.
    kept: Vec<(MachineId, Report)>,
    led: Option<usize>,
    /// What happens at the map write that comes after so many more.
    map_fault: Option<(usize, MapFault)>,
}

/// What the controllers asked of others so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    pub state_requests: usize,
    /// Written to the state service.
    pub state_bytes: usize,
    /// Refused because the rate was used up.
    pub state_busy: usize,
    pub odd_requests: usize,
    /// Starts after their users were told that the job is cancelled.
    pub starts_after_cancel: usize,
    pub mesh_bytes: usize,
    pub orders: usize,
}

impl World {
    pub fn new(seed: u64, controllers: usize) -> Self {
        let nodes = (0..controllers).map(|index| Controller {
            core: None,
            epoch: 0,
            started: 0.0,
            rate: 1.0 + (index as f64 - 1.0) * 0.0004,
            next_request: 0,
            asked: BTreeMap::new(),
            frozen_until: 0.0,
            held: Vec::new(),
        });
        let mut world = Self {
            now: 0.0,
            sequence: 0,
            events: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(seed),
            nodes: nodes.collect(),
            state: State::default(),
            cloud: Cloud::default(),
            workers: BTreeMap::new(),
            users: Users::default(),
            net: Network::default(),
            broken: Vec::new(),
            log: Vec::new(),
            work: Work::default(),
            limits: Limits { value_kb: 4.0, txn_ops: 8, rps: 120.0, write_rps: 25.0 },
            next_limits: None,
            allowance: Allowance::default(),
            old: BTreeSet::new(),
            calm_since: 0.0,
            crashed: 0.0,
            kept: Vec::new(),
            led: None,
            map_fault: None,
        };
        for node in 0..controllers {
            world.at(0.1 * node as f64, Event::Restart { node });
        }
        world.at(7.0, Event::AskUnknown);
        world.at(5.0, Event::Watch);
        world
    }

    pub fn at(&mut self, time: f64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(Timed(time, self.sequence, event)));
    }

    fn after(&mut self, delay: f64, event: Event) {
        self.at(self.now + delay, event);
    }

    fn note(&mut self, text: String) {
        self.log.push(format!("{:8.3} {text}", self.now));
    }

    pub fn breaks(&mut self, rule: &str, what: String) {
        let text = format!("{rule} at {:.3}: {what}", self.now);
        self.note(text.clone());
        self.broken.push(text);
    }

    /// Machines that are up at the start.
    pub fn add_machines(&mut self, count: usize, spot: bool) {
        for _ in 0..count {
            let zone = ["a", "b"][self.cloud.count() % 2];
            let machine = self.cloud.create("g8", zone, spot, self.now - 100.0);
            self.boot(&machine);
        }
    }

    pub fn add_job(&mut self, at: f64, spec: JobSpec, run_s: f64) -> usize {
        let job = self.users.add(spec, run_s);
        self.at(at, Event::Submit { job });
        job
    }

    pub fn run(&mut self, until: f64) {
        while let Some(Reverse(Timed(time, _, _))) = self.events.peek() {
            if *time > until {
                break;
            }
            let Some(Reverse(Timed(time, _, event))) = self.events.pop() else { break };
            self.now = self.now.max(time);
            self.happen(event);
        }
        self.now = until;
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick { node, epoch } => {
                if self.nodes[node].epoch == epoch && self.nodes[node].core.is_some() {
                    self.step(node, Vec::new());
                    self.copies_to_new_leader();
                    self.after(TICK_S, Event::Tick { node, epoch });
                }
            }
            Event::Input { node, epoch, input } => {
                if self.nodes[node].epoch == epoch {
                    self.step(node, vec![*input]);
                }
            }
            Event::State { node, epoch, call, what } => self.state_request(node, epoch, call, what),
            Event::Cloud { node, epoch, call, what } => self.cloud_request(node, epoch, call, what),
            Event::Orders { node, epoch, call, address, orders } => {
                self.direct_orders(node, epoch, call, &address, orders);
            }
            Event::Mesh { from, epoch, call, to, message } => {
                self.ask_node(to, Asker::Sibling { from, epoch, call }, *message);
            }
            Event::Report { machine, node, report, live } => {
                let number = report.seq;
                let asker = Asker::Worker { machine, number, live };
                self.ask_node(node, asker, Input::Report(RequestId(0), report));
            }
            Event::ReportAnswer { machine, number, answer } => {
                self.report_answered(&machine, number, answer);
            }
            Event::Worker { machine } => self.worker_turn(&machine),
            Event::BootDone { machine } => self.boot(&machine),
            Event::Submit { job } => self.user_asks(job, users::Ask::Submit),
            Event::Cancel { job } => self.user_asks(job, users::Ask::Cancel),
            Event::Poll { job } => self.user_asks(job, users::Ask::Poll),
            Event::Look { job, node, ask } => self.look(job, node, ask),
            Event::CancelDue { job } => self.cancel_due(job),
            Event::Watch => self.watch(),
            Event::Expect { job, what } => self.expect(job, &what),
            Event::AskUnknown => self.ask_unknown(),
            Event::UserAnswer { job, ask, asked, answer } => {
                self.user_answered(job, ask, asked, answer);
            }
            Event::Restart { node } => self.restart(node),
            Event::Upgrade { node } => {
                self.old.remove(&node);
                let leads = if self.leader() == Some(node) { ", the leader" } else { "" };
                let old = self.old.len();
                self.note(format!(
                    "n{node}{leads} is upgraded, {old} of the version before are left"
                ));
                self.crash(node, RESTART_S);
            }
            Event::Thaw { node, epoch } => {
                if self.nodes[node].epoch == epoch {
                    let held = std::mem::take(&mut self.nodes[node].held);
                    self.step(node, held);
                }
            }
            Event::OddRequest { until } => self.odd_request(until),
            Event::LimitsFall => {
                self.limits = self.next_limits.unwrap_or(self.limits);
                self.note("the state service lowers its limits".into());
            }
            Event::Fault(fault) => self.fault(fault),
            Event::FaultEnds(id) => self.net.end(id),
        }
    }

    // ---- controllers ----

    fn restart(&mut self, node: usize) {
        let next = self.next_limits.filter(|_| !self.old.contains(&node));
        let text = settings(node, self.nodes.len(), self.limits, next);
        let Ok(config) = Config::parse(&text) else { panic!("settings of the runner") };
        let seed = self.rng.random();
        let controller = &mut self.nodes[node];
        if controller.core.is_some() {
            return;
        }
        controller.epoch += 1;
        controller.started = self.now;
        controller.frozen_until = 0.0;
        controller.held.clear();
        controller.core = Some(Core::new(config, seed));
        let epoch = controller.epoch;
        self.note(format!("n{node} starts"));
        self.at(self.now, Event::Tick { node, epoch });
    }

    fn crash(&mut self, node: usize, back_after: f64) {
        if self.nodes[node].core.take().is_some() {
            self.nodes[node].epoch += 1;
            // Whoever asked sees the connection break.
            for (_, asker) in std::mem::take(&mut self.nodes[node].asked) {
                if let Asker::User { job, ask, asked } = asker {
                    self.after(0.0, Event::UserAnswer { job, ask, asked, answer: None });
                }
            }
            self.crashed = self.now;
            self.note(format!("n{node} crashes"));
            self.after(back_after, Event::Restart { node });
        }
    }

    fn clock(&self, node: usize) -> f64 {
        (self.now - self.nodes[node].started) * self.nodes[node].rate
    }

    /// Kept copies of reports reach every controller as another one begins to lead.
    fn copies_to_new_leader(&mut self) {
        let leader = self.leader();
        if self.kept.is_empty() || leader.is_none() || leader == self.led {
            self.led = leader.or(self.led);
            return;
        }
        self.led = leader;
        for (machine, report) in std::mem::take(&mut self.kept) {
            for node in 0..self.nodes.len() {
                let (machine, report) = (machine.clone(), report.clone());
                self.after(0.01, Event::Report { machine, node, report, live: false });
            }
        }
    }

    /// The controller that acts, if one does.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|node| {
            self.nodes[*node].core.as_ref().is_some_and(|core| core.leads(self.clock(*node)))
        })
    }

    fn ask_node(&mut self, node: usize, asker: Asker, input: Input) {
        if self.nodes[node].core.is_none() {
            return self.answer_asker(node, asker, None, None);
        }
        let controller = &mut self.nodes[node];
        if self.old.contains(&node) && !old::reads(&input) {
            return self.answer_asker(node, asker, None, None);
        }
        controller.next_request += 1;
        let request = RequestId(controller.next_request);
        controller.asked.insert(request, asker);
        let input = match input {
            Input::User(_, what) => Input::User(request, what),
            Input::Report(_, report) => Input::Report(request, report),
            Input::Mesh(_, message) => Input::Mesh(request, message),
            other => other,
        };
        self.step(node, vec![input]);
    }

    fn answer_asker(
        &mut self,
        node: usize,
        asker: Asker,
        answer: Option<Answer>,
        mesh: Option<MeshReply>,
    ) {
        let delay = self.latency();
        match asker {
            Asker::User { job, ask, asked } => {
                // Users wait for 2 or 5 s; what comes later they never see.
                let poll = matches!(ask, users::Ask::Poll | users::Ask::Look);
                let patience = if poll { 2.0 } else { 5.0 };
                let answer = answer.filter(|_| self.now < asked + patience);
                self.after(delay, Event::UserAnswer { job, ask, asked, answer });
            }
            Asker::Worker { machine, number, live } => {
                let passes = self.net.passes(Who::Node(node), Who::Machine(machine.clone()));
                if live && passes && !self.net.deaf(&machine) {
                    self.after(delay, Event::ReportAnswer { machine, number, answer });
                }
            }
            Asker::Sibling { from, epoch, call } => {
                if self.net.passes(Who::Node(node), Who::Node(from)) {
                    let input = Box::new(Input::MeshReply(call, mesh));
                    self.after(delay, Event::Input { node: from, epoch, input });
                }
            }
        }
    }

    fn step(&mut self, node: usize, batch: Vec<Input>) {
        if self.now < self.nodes[node].frozen_until {
            return self.nodes[node].held.extend(batch);
        }
        let now = self.clock(node);
        let wall = 1_700_000_000_000 + (self.now * 1e3) as u64;
        let old = self.old.contains(&node);
        let batch = if old { batch.into_iter().map(old::sees).collect() } else { batch };
        let Some(core) = self.nodes[node].core.as_mut() else { return };
        let span = tracing::info_span!("", n = node, t = self.now);
        let before = core.starts_held_back();
        let effects = span.in_scope(|| core.step(now, wall, batch));
        let held_back = core.starts_held_back() > before;
        if held_back {
            // The last guard kept the rule, but nothing should come to it.
            self.breaks("start_held_back", format!("n{node} was about to start a task twice"));
        }
        for effect in effects {
            self.effect(node, effect);
        }
        self.one_owner();
    }

    /// Never may two controllers be entitled to start a team's tasks.
    fn one_owner(&mut self) {
        let mut owners: BTreeMap<String, usize> = BTreeMap::new();
        for node in 0..self.nodes.len() {
            let clock = self.clock(node);
            if let Some(core) = self.nodes[node].core.as_ref() {
                for team in core.teams(clock) {
                    *owners.entry(team.to_string()).or_default() += 1;
                }
            }
        }
        for (team, _) in owners.into_iter().filter(|(_, count)| *count > 1) {
            self.breaks("two_owners", format!("two controllers may start tasks of {team}"));
        }
    }

    fn effect(&mut self, node: usize, effect: Effect) {
        let epoch = self.nodes[node].epoch;
        let me = Who::Node(node);
        let old = self.old.contains(&node);
        match effect {
            Effect::Answer(request, answer) => {
                if let Some(asker) = self.nodes[node].asked.remove(&request) {
                    self.answer_asker(node, asker, Some(answer), None);
                }
            }
            Effect::MeshAnswer(request, mut reply) => {
                if old {
                    old::plain_reply(&mut reply);
                }
                if let Some(asker) = self.nodes[node].asked.remove(&request) {
                    self.answer_asker(node, asker, None, Some(reply));
                }
            }
            Effect::State(call, what) => {
                let what = if old { old::writes(what) } else { what };
                self.work.state_requests += 1;
                if let StateCall::Commit(transaction) = &what {
                    let text = serde_json::to_string(transaction);
                    self.work.state_bytes += text.map_or(0, |text| text.len());
                }
                let lost = Box::new(Input::State(call, StateReply::Unknown));
                let unsent = Box::new(Input::State(call, StateReply::Refused));
                let commit = matches!(what, StateCall::Commit(_));
                let late = commit && self.late_commit(&what);
                if commit && self.net.lost_answers() && self.rng.random_bool(0.3) {
                    // Nobody is of this epoch, so the answer reaches nobody.
                    self.after(0.002, Event::State { node, epoch: u64::MAX, call, what });
                    return self.after(LEASE_S / 12.0, Event::Input { node, epoch, input: lost });
                }
                let event = Event::State { node, epoch, call, what };
                if late {
                    let delay = self.rng.random_range(1.5..LEASE_S * 1.5);
                    self.after(delay, event);
                    return self.after(LEASE_S / 12.0, Event::Input { node, epoch, input: lost });
                }
                self.send(me, Who::State, LEASE_S / 12.0, event, node, lost, unsent);
            }
            Effect::Cloud(call, what) => {
                let lost = Box::new(Input::Cloud(call, CloudReply::Unknown));
                let unsent = Box::new(Input::Cloud(call, CloudReply::Refused));
                let event = Event::Cloud { node, epoch, call, what };
                self.send(me, Who::Cloud, LEASE_S / 3.0, event, node, lost, unsent);
            }
            Effect::Worker(call, address, orders) => self.send_orders(node, call, address, orders),
            Effect::Mesh(call, to, mut message) => {
                if old {
                    old::plain_message(&mut message);
                }
                let Some(to) = index(&to) else { return };
                let mut body = Vec::new();
                ciborium::into_writer(&message, &mut body).ok();
                self.work.mesh_bytes += body.len();
                let lost = Box::new(Input::MeshReply(call, None));
                let unsent = Box::new(Input::MeshReply(call, None));
                let message = Box::new(Input::Mesh(RequestId(0), message));
                let event = Event::Mesh { from: node, epoch, call, to, message };
                self.send(me, Who::Node(to), LEASE_S / 12.0, event, node, lost, unsent);
            }
        }
    }

    /// Sends a call over the network. The caller gives up at its deadline; a cut drops the call,
    /// or holds it and delivers it when the cut ends.
    #[allow(clippy::too_many_arguments)]
    fn send(
        &mut self,
        from: Who,
        to: Who,
        deadline: f64,
        event: Event,
        node: usize,
        lost: Box<Input>,
        unsent: Box<Input>,
    ) {
        let epoch = self.nodes[node].epoch;
        if self.net.passes(from.clone(), to.clone()) {
            let delay = self.latency();
            self.after(delay, event);
            return self.after(deadline, Event::Input { node, epoch, input: lost });
        }
        match self.net.held_until(&from, &to) {
            Some(end) if self.rng.random_bool(0.5) => {
                self.at(end + 0.01, event);
                self.after(deadline, Event::Input { node, epoch, input: lost });
            }
            _ => self.after(deadline, Event::Input { node, epoch, input: unsent }),
        }
    }

    fn latency(&mut self) -> f64 {
        if self.rng.random_bool(0.01) {
            self.rng.random_range(0.05..0.4)
        } else {
            self.rng.random_range(0.001..0.006)
        }
    }

    fn reply(&mut self, node: usize, epoch: u64, from: Who, input: Input) {
        if self.net.passes(from, Who::Node(node)) {
            let delay = self.latency();
            self.after(delay, Event::Input { node, epoch, input: Box::new(input) });
        }
    }

    fn state_request(&mut self, node: usize, epoch: u64, call: CallId, what: StateCall) {
        let reply = if self.net.state_refuses(node) {
            StateReply::Refused
        } else {
            if !self.allowance.take(self.now, &self.limits, &what) {
                self.work.state_busy += 1;
                return self.reply(node, epoch, Who::State, Input::State(call, StateReply::Busy));
            }
            if let StateCall::Commit(transaction) = &what
                && self.over_limits(transaction)
            {
                let rejected = Input::State(call, StateReply::Rejected);
                return self.reply(node, epoch, Who::State, rejected);
            }
            let down_for = self.net.take_outage_end(self.now);
            let map = writes_map(&what);
            let reply = self.state.call(self.now, what, down_for);
            if map
                && matches!(reply, StateReply::Committed(_))
                && self.map_fault_due(MapFault::Crash)
            {
                return self.crash(node, RESTART_S);
            }
            reply
        };
        self.reply(node, epoch, Who::State, Input::State(call, reply));
    }

    /// What the real service would refuse for ever, and so should never be asked.
    fn over_limits(&mut self, transaction: &Transaction) -> bool {
        let largest = transaction.writes.iter().map(Write::bytes).max().unwrap_or(0);
        let text = serde_json::to_string(transaction).unwrap_or_default();
        let ops = self.limits.txn_ops;
        let over = largest as f64 > self.limits.value_kb * 1024.0
            || transaction.writes.len() > ops
            || transaction.guards.len() > ops * 4
            || text.len() > ochredrum::wire::BODY_LIMIT;
        if over {
            let (writes, guards) = (transaction.writes.len(), transaction.guards.len());
            let what = format!("{writes} writes, {guards} guards, value of {largest} bytes");
            self.breaks("over_limit", what);
        }
        over
    }

    /// Counts a write of the map; whether it is the one at which this fault happens.
    fn map_fault_due(&mut self, fault: MapFault) -> bool {
        let Some((left, _)) = self.map_fault.as_mut().filter(|(_, due)| *due == fault) else {
            return false;
        };
        *left -= 1;
        let due = *left == 0;
        if due {
            self.map_fault = None;
        }
        due
    }

    /// Whether a transaction is to be carried out late, without an answer.
    fn late_commit(&mut self, what: &StateCall) -> bool {
        (writes_map(what) && self.map_fault_due(MapFault::Late))
            || (self.net.late_writes() && self.rng.random_bool(0.3))
    }

    fn cloud_request(&mut self, node: usize, epoch: u64, call: CallId, what: CloudCall) {
        if self.net.cloud_down() {
            let input = Input::Cloud(call, CloudReply::Refused);
            return self.reply(node, epoch, Who::Cloud, input);
        }
        let (reply, booting) = self.cloud.call(self.now, what);
        for machine in booting {
            let boot = if self.net.instant_boots() { 0.3..2.0 } else { 6.0..14.0 };
            let boot = self.rng.random_range(boot);
            self.after(boot, Event::BootDone { machine });
        }
        for machine in self.cloud.take_deleted() {
            self.note(format!("{machine} deleted"));
            if let Some(worker) = self.workers.remove(&machine) {
                self.users.starts_gone += worker.starts;
            }
        }
        self.reply(node, epoch, Who::Cloud, Input::Cloud(call, reply));
    }

    /// Everything that was asked for is served, now that all troubles are over.
    pub fn check_served(&mut self) {
        for (id, problem) in self.unserved() {
            self.breaks("not_served", format!("{id}: {problem}"));
        }
    }

    pub fn job_id(&self, job: usize) -> JobId {
        self.users.id(job)
    }

    /// What the controllers' shares have looked at because something happened, and rounds of placement.
    pub fn core_work(&self) -> (u64, u64) {
        let cores = self.nodes.iter().filter_map(|node| node.core.as_ref());
        cores.map(Core::work).fold((0, 0), |sum, work| (sum.0 + work.0, sum.1 + work.1))
    }

    /// How often a controller has begun to lead.
    pub fn leaderships(&self) -> usize {
        self.state.puts_of("ochredrum/leader")
    }

    pub fn starts(&self) -> u64 {
        self.workers.values().map(|w| w.starts).sum::<u64>() + self.users.starts_gone
    }
}

fn writes_map(what: &StateCall) -> bool {
    let of_map = |write: &Write| match write {
        Write::Put { key, .. } | Write::Delete { key } => key.starts_with("ochredrum/map/"),
    };
    matches!(what, StateCall::Commit(transaction) if transaction.writes.iter().any(of_map))
}

fn index(node: &Node) -> Option<usize> {
    node.as_str().strip_prefix('n')?.parse().ok()
}
