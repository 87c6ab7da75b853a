//! Workers: reports, leases, sessions, tokens, and tasks as the protocol has them.

use super::faults::{CutManner, Who};
use super::{Event, FAILS_AT_ONCE, GANG_PEER_S, GANG_WAIT_S, GPUS_MAX, LEASE_S, REPORT_S, World};
use ochredrum::core::effects::{Answer, Body, CallId, Input, WorkerReply};
use ochredrum::ids::{Attempt, FencingToken, JobId, MachineId, TaskId};
use ochredrum::wire::{
    Command, DirectCommands, Exit, Heartbeat, JobSpec, Kind, ReportedTask, TaskState,
};
use rand::Rng;
use std::collections::BTreeMap;

const ANSWER_WAIT: f64 = 4.0;
/// How often a worker looks at its lease and its tasks.
/// A start that was sent when its job was cancelled has begun by then.
const IN_FLIGHT_S: f64 = 1.5;
const TURN: f64 = 0.1;

#[derive(Clone, Debug)]
pub struct Running {
    pub state: TaskState,
    pub why: Option<Exit>,
    pub checkpointed: bool,
    /// When the present state ends by itself.
    until: f64,
}

impl Running {
    /// On its machine by the rules: from when it has its image until it exits.
    pub fn on_machine(&self) -> bool {
        matches!(
            self.state,
            TaskState::Waiting | TaskState::Running | TaskState::Checkpointing
        )
    }
}

pub struct Worker {
    pub id: MachineId,
    agent_epoch: u64,
    sequence: u64,
    token: FencingToken,
    /// When the last answered report was sent, or the session began.
    renewed: f64,
    node: usize,
    out: Option<(u64, f64)>,
    next_report: f64,
    last_report: f64,
    changed: bool,
    token_news: f64,
    leaves: Option<f64>,
    images: Vec<String>,
    pub hung_until: f64,
    pub tasks: BTreeMap<(TaskId, Attempt), Running>,
    pub starts: u64,
}

impl Worker {
    fn heartbeat(&mut self, now: f64, cloud: &super::cloud::Cloud) -> Heartbeat {
        self.sequence += 1;
        let owned = cloud.get(&self.id);
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), running)| ReportedTask {
                task: task.to_string(),
                attempt: *attempt,
                state: running.state,
                exit: running.why,
                checkpointed: running.checkpointed.then_some(true),
            });
        Heartbeat {
            machine: self.id.clone(),
            address: self.id.to_string(),
            type_name: owned.map_or("g8".into(), |o| o.type_name.clone()),
            zone: owned.map_or("a".into(), |o| o.zone.clone()),
            spot: owned.is_some_and(|o| o.spot),
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            reclaim_notice_s: self.leaves.map(|at| at - now),
            tasks: tasks.collect(),
        }
    }
}

impl World {
    pub(super) fn boot(&mut self, machine: &MachineId) {
        if self.cloud.get(machine).is_none() {
            return;
        }
        self.cloud.up(machine, self.now);
        let worker = Worker {
            id: machine.clone(),
            agent_epoch: 1,
            sequence: 0,
            token: FencingToken(0),
            renewed: self.now,
            node: self.rng.random_range(0..self.nodes.len()),
            out: None,
            next_report: self.now,
            last_report: self.now,
            changed: false,
            token_news: f64::NEG_INFINITY,
            leaves: None,
            images: Vec::new(),
            hung_until: 0.0,
            tasks: BTreeMap::new(),
            starts: 0,
        };
        self.workers.insert(machine.clone(), worker);
        self.after(
            0.0,
            Event::Worker {
                machine: machine.clone(),
            },
        );
    }

    pub(super) fn notice(&mut self, machine: &MachineId, seconds: f64) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.leaves = Some(now + seconds);
            worker.changed = true;
        }
    }

    pub(super) fn worker_turn(&mut self, id: &MachineId) {
        let (now, nodes) = (self.now, self.nodes.len());
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.leaves.is_some_and(|at| now >= at) {
            self.users.starts_gone += worker.starts;
            self.workers.remove(id);
            self.cloud.call(now, release(id));
            self.cloud.take_deleted();
            return;
        }
        if now - worker.renewed > LEASE_S {
            if now >= worker.hung_until {
                let lost = worker.tasks.values().filter(|task| task.on_machine());
                self.work.lost_with_leases += lost.count();
            }
            worker.tasks.clear();
            worker.agent_epoch += 1;
            worker.renewed = now;
            worker.changed = true;
        }
        // What hangs past its lease counts as ended with it: it could not go on.
        if now < worker.hung_until {
            return self.after(
                TURN,
                Event::Worker {
                    machine: id.clone(),
                },
            );
        }
        self.advance_tasks(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.out.is_some_and(|(_, sent)| now - sent > ANSWER_WAIT) {
            worker.out = None;
            worker.node = (worker.node + 1) % nodes;
            worker.next_report = now + 1.0;
        }
        let urgent = worker.changed && now >= worker.last_report + 0.5;
        if worker.out.is_none() && (now >= worker.next_report || urgent) {
            worker.changed = false;
            worker.last_report = now;
            worker.next_report = now + REPORT_S * self.rng.random_range(0.75..1.25);
            let heartbeat = worker.heartbeat(now, &self.cloud);
            let node = worker.node;
            worker.out = Some((heartbeat.sequence, now));
            self.send_report(id, node, heartbeat);
        }
        self.after(
            TURN,
            Event::Worker {
                machine: id.clone(),
            },
        );
    }

    fn send_report(&mut self, id: &MachineId, node: usize, heartbeat: Heartbeat) {
        let (me, to) = (Who::Machine(id.clone()), Who::Node(node));
        let event = |heartbeat: &Heartbeat, live| Event::Heartbeat {
            machine: id.clone(),
            node,
            heartbeat: heartbeat.clone(),
            live,
        };
        if self.net.copies_for_next() && self.rng.random_bool(0.3) {
            self.kept.push((id.clone(), heartbeat.clone()));
        }
        if self.net.mute(id) {
            return;
        }
        if let Some(delay) = self.copy_delay() {
            self.after(delay, event(&heartbeat, false));
        }
        if self.net.passes(me.clone(), to.clone()) {
            let delay = self.latency();
            self.after(delay, event(&heartbeat, true));
            return;
        }
        if let Some(end) = self.net.held_until(&me, &to) {
            self.at(end + 0.01, event(&heartbeat, false));
        }
        if let Some(CutManner::Refused | CutManner::Reset) = self.net.kept_from(&me, &to) {
            let (machine, number) = (id.clone(), heartbeat.sequence);
            let delay = self.latency();
            self.after(
                delay,
                Event::HeartbeatResponse {
                    machine,
                    number,
                    answer: None,
                },
            );
        }
    }

    pub(super) fn report_answered(&mut self, id: &MachineId, number: u64, answer: Option<Answer>) {
        let now = self.now;
        let nodes = self.nodes.len();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let waited = |sent: f64| now < sent + ANSWER_WAIT && now >= worker.hung_until;
        let out = worker
            .out
            .filter(|(out, sent)| *out == number && waited(*sent));
        let Some((out, sent)) = out else { return };
        debug_assert_eq!(out, number);
        worker.out = None;
        match answer {
            Some(Answer {
                status: 200,
                body: Body::HeartbeatResponse(answer),
                ..
            }) => {
                // Answers to reports of an earlier session are dropped.
                if answer.token < worker.token || sent < worker.renewed {
                    return;
                }
                if answer.token > worker.token {
                    worker.token = answer.token;
                    if now - worker.token_news > LEASE_S / 2.0 {
                        worker.token_news = now;
                        worker.changed = true;
                    }
                }
                worker.renewed = sent;
                for order in answer.commands {
                    self.execute(id, order);
                }
            }
            Some(Answer {
                status: 421,
                body: Body::Value(body),
                ..
            }) => {
                let named = body["conductor"].as_str().and_then(|n| n.strip_prefix('n'));
                match named
                    .and_then(|n| n.parse::<usize>().ok())
                    .filter(|n| *n != worker.node)
                {
                    Some(node) => {
                        worker.node = node;
                        worker.next_report = now;
                    }
                    None => {
                        worker.node = (worker.node + 1) % nodes;
                        worker.next_report = now + 1.0;
                    }
                }
            }
            _ => {
                worker.node = (worker.node + 1) % nodes;
                worker.next_report = now + 1.0;
            }
        }
    }

    pub(super) fn direct_orders(
        &mut self,
        node: usize,
        epoch: u64,
        call: CallId,
        address: &str,
        commands: DirectCommands,
    ) {
        let id = MachineId::from(address);
        if self.net.deaf(&id) {
            return;
        }
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        if now < worker.hung_until {
            // Executed when it goes on, whoever still waits for it.
            let (until, address) = (worker.hung_until + TURN * 1.5, address.to_owned());
            return self.at(
                until,
                Event::DirectCommands {
                    node,
                    epoch,
                    call,
                    address,
                    commands,
                },
            );
        }
        let fenced = commands.token < worker.token || commands.agent_epoch != worker.agent_epoch;
        if !fenced {
            worker.token = commands.token;
            for order in commands.commands {
                self.execute(&id, order);
            }
        }
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let heartbeat = worker.heartbeat(now, &self.cloud);
        let reply = if fenced {
            WorkerReply::Fenced(heartbeat)
        } else {
            WorkerReply::Executed(heartbeat)
        };
        self.reply(node, epoch, Who::Machine(id), Input::Worker(call, reply));
    }

    fn execute(&mut self, id: &MachineId, order: Command) {
        let now = self.now;
        match order {
            Command::Start { task, attempt } => {
                let Some(task) = TaskId::parse(&task) else {
                    return self.breaks("bad_order", format!("start of {task:?}"));
                };
                self.execute_start(id, task, attempt);
            }
            Command::Stop {
                task,
                attempt,
                grace_s,
            } => {
                let Some(task) = TaskId::parse(&task) else {
                    return;
                };
                let save = self
                    .users
                    .spec(&task.job)
                    .map(|s| (s.checkpoint_interval_s, s.checkpoint_write_s));
                let Some(worker) = self.workers.get_mut(id) else {
                    return;
                };
                let Some(running) = worker.tasks.get_mut(&(task, attempt)) else {
                    return;
                };
                if running.state == TaskState::Exited {
                    return;
                }
                let (checkpoint, save) = save.unwrap_or((0.0, 0.0));
                let saves = checkpoint > 0.0 && grace_s >= save;
                if saves && running.state == TaskState::Running {
                    running.state = TaskState::Checkpointing;
                    running.until = now + save;
                } else if running.state != TaskState::Checkpointing || grace_s == 0.0 {
                    exit(running, Exit::Stopped);
                }
                worker.changed = true;
            }
            Command::Forget { task, attempt } => {
                let Some(task) = TaskId::parse(&task) else {
                    return;
                };
                if let Some(worker) = self.workers.get_mut(id) {
                    let key = (task, attempt);
                    if worker
                        .tasks
                        .get(&key)
                        .is_some_and(|t| t.state == TaskState::Exited)
                    {
                        worker.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn execute_start(&mut self, id: &MachineId, task: TaskId, attempt: Attempt) {
        let now = self.now;
        let Some(spec) = self.users.spec(&task.job).cloned() else {
            return self.breaks("bad_order", format!("start of unknown {task}"));
        };
        let kind = self.cloud.kind_of(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.tasks.contains_key(&(task.clone(), attempt)) {
            return;
        }
        worker.changed = true;
        let mut room = (kind.gpus, kind.cpus, kind.memory_gb);
        let mut busy = false;
        for ((other, _), running) in &worker.tasks {
            if running.state == TaskState::Exited {
                continue;
            }
            busy |= *other == task;
            if let Some(spec) = self.users.spec(&other.job) {
                room = (
                    room.0 - spec.gpus,
                    room.1 - spec.cpus,
                    room.2 - spec.memory_gb,
                );
            }
        }
        let image = spec.image.to_string();
        let cached = worker.images.contains(&image);
        let fetch = if cached {
            0.05
        } else {
            spec.image_gb / kind.fetch_gb_per_s
        };
        let mut running = Running {
            state: TaskState::Fetching,
            why: None,
            checkpointed: false,
            until: now + fetch,
        };
        let full = room.0 < spec.gpus - 1e-6
            || room.1 < spec.cpus - 1e-6
            || room.2 < spec.memory_gb - 1e-6;
        if busy {
            exit(&mut running, Exit::Busy);
        } else if full {
            exit(&mut running, Exit::NoRoom);
            self.note(format!("{id} has no room for {task}"));
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.tasks.insert((task, attempt), running);
        }
    }

    /// Tasks get their images, run, save and end.
    fn advance_tasks(&mut self, id: &MachineId) {
        let now = self.now;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let due: Vec<(TaskId, Attempt)> = worker
            .tasks
            .iter()
            .filter(|(_, t)| t.state != TaskState::Exited && t.until <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for (task, attempt) in due {
            let Some(spec) = self.users.spec(&task.job).cloned() else {
                continue;
            };
            let run_s = self.users.run_s(&task);
            let faulty = self.net.faulty(id) || run_s == FAILS_AT_ONCE;
            let Some(worker) = self.workers.get_mut(id) else {
                return;
            };
            let Some(running) = worker.tasks.get_mut(&(task.clone(), attempt)) else {
                continue;
            };
            worker.changed = true;
            match running.state {
                TaskState::Waiting if faulty => exit(running, Exit::Error),
                TaskState::Fetching => {
                    running.state = TaskState::Waiting;
                    running.until = now;
                    let image = spec.image.to_string();
                    if !worker.images.contains(&image) {
                        worker.images.push(image);
                    }
                    worker.starts += 1;
                    self.users.begun(&task);
                    self.check_start(id, &task, attempt);
                }
                TaskState::Waiting => {
                    if spec.kind == Kind::Gang && !self.gang_complete(&task, attempt, spec.tasks) {
                        if let Some(worker) = self.workers.get_mut(id)
                            && let Some(running) = worker.tasks.get_mut(&(task.clone(), attempt))
                            && now > running.until + GANG_WAIT_S
                        {
                            exit(running, Exit::GangIncomplete);
                        }
                        continue;
                    }
                    if let Some(worker) = self.workers.get_mut(id)
                        && let Some(running) = worker.tasks.get_mut(&(task.clone(), attempt))
                    {
                        running.state = TaskState::Running;
                        running.until = if spec.kind == Kind::Service {
                            f64::INFINITY
                        } else {
                            now + run_s
                        };
                    }
                }
                TaskState::Running => {
                    exit(running, Exit::Done);
                    self.users.finished(&task);
                    if spec.kind == Kind::Gang {
                        self.gang_completes(&task.job, attempt, spec.tasks);
                    }
                    self.called_off_at_end(&task.job);
                }
                TaskState::Checkpointing => {
                    running.checkpointed = true;
                    exit(running, Exit::Stopped);
                }
                TaskState::Exited => {}
            }
        }
        self.gang_losses(id);
    }

    fn gang_complete(&self, task: &TaskId, attempt: Attempt, tasks: u32) -> bool {
        let mut ready = 0;
        for worker in self.workers.values() {
            for ((other, same), running) in &worker.tasks {
                if other.job == task.job && *same == attempt && running.on_machine() {
                    ready += 1;
                }
            }
        }
        ready >= tasks
    }

    /// A gang's tasks complete together.
    fn gang_completes(&mut self, job: &JobId, attempt: Attempt, tasks: u32) {
        for index in 0..tasks {
            let task = TaskId {
                job: job.clone(),
                index,
            };
            self.users.finished(&task);
            for worker in self.workers.values_mut() {
                if let Some(running) = worker.tasks.get_mut(&(task.clone(), attempt))
                    && running.state != TaskState::Exited
                {
                    exit(running, Exit::Done);
                    worker.changed = true;
                }
            }
        }
    }

    /// Running gang tasks notice that another of their attempt is gone.
    fn gang_losses(&mut self, id: &MachineId) {
        let now = self.now;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut lonely = Vec::new();
        for ((task, attempt), running) in &worker.tasks {
            let Some(spec) = self.users.spec(&task.job) else {
                continue;
            };
            let gang = spec.kind == Kind::Gang && spec.tasks > 1;
            if gang
                && running.state == TaskState::Running
                && !self.users.is_finished_any(&task.job)
                && !self.gang_complete(task, *attempt, spec.tasks)
                && running.until > now + GANG_PEER_S
            {
                lonely.push((task.clone(), *attempt));
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            for key in lonely {
                if let Some(running) = worker.tasks.get_mut(&key) {
                    exit(running, Exit::PeersGone);
                    worker.changed = true;
                }
            }
        }
    }

    /// The rules about a task that starts: it has its image from now on.
    fn check_start(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) {
        let Some(spec) = self.users.spec(&task.job).cloned() else {
            return;
        };
        let Some(owned) = self.cloud.get(id) else {
            return;
        };
        let (zone, spot, type_name) = (owned.zone.clone(), owned.spot, owned.type_name.clone());
        let mut twice = None;
        let mut gpus = 0.0;
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        for worker in self.workers.values() {
            let at = self
                .cloud
                .get(&worker.id)
                .map_or("?".into(), |o| o.zone.to_string());
            for ((other, same), running) in &worker.tasks {
                if !running.on_machine() {
                    continue;
                }
                if other == task && (worker.id != *id || *same != attempt) {
                    twice = Some(worker.id.clone());
                }
                if other.job == task.job {
                    *zones.entry(at.clone()).or_default() += 1;
                }
                if let Some(theirs) = self.users.spec(&other.job)
                    && theirs.team.as_str() == "blue"
                {
                    gpus += theirs.gpus;
                }
            }
        }
        if let Some(other) = twice {
            self.breaks("ran_twice", format!("{task} on {id} and {other}"));
        }
        if gpus > GPUS_MAX + 1e-6 {
            self.breaks("quota", format!("blue uses {gpus} GPUs"));
        }
        let half = spec.tasks.div_ceil(2);
        let misplaced = (spot && !spec.spot)
            || spec
                .types
                .as_ref()
                .is_some_and(|types| !types.contains(&type_name))
            || spec.zone.as_ref().is_some_and(|only| *only != zone)
            || (spec.one_zone && zones.len() > 1)
            || (spec.spread && zones.get(zone.as_str()).copied().unwrap_or(0) > half);
        if misplaced {
            self.breaks(
                "wrong_place",
                format!("{task} on {id} in {zone}, job in {zones:?}"),
            );
        }
        if let Some(needed) = self.users.not_ready(&task.job) {
            self.breaks(
                "too_early",
                format!("{task} starts on {id}, {needed} is not done"),
            );
        }
        if let Some(told) = self
            .users
            .told_cancelled(&task.job)
            .filter(|told| *told < self.now)
        {
            self.work.starts_after_cancel += 1;
            // With no trouble, what was under way then has been stopped by now. A machine that hung
            // carries out what had reached it once it goes on (order day 28).
            let hung_until = self.workers.get(id).map_or(0.0, |worker| worker.hung_until);
            let arrived_by = told.max(hung_until) + IN_FLIGHT_S;
            if self.calm_for(told, LEASE_S * 2.0) && self.now > arrived_by {
                self.breaks("started_cancelled", format!("{task} starts on {id}"));
            }
        }
        if self.users.cancelled_for_long(&task.job, self.now) {
            self.breaks("ran_cancelled", format!("{task} starts on {id}"));
        }
    }

    /// Whether some machine could run one task of a job, within its team's limit. Jobs that are bound to
    /// one another's places, or need more than one machine at once, are left out.
    pub(super) fn has_room(&self, spec: &JobSpec) -> bool {
        if spec.kind == Kind::Gang || spec.one_zone || spec.spread {
            return false;
        }
        let used = |worker: &Worker| {
            let running = worker
                .tasks
                .iter()
                .filter(|(_, r)| r.state != TaskState::Exited);
            let specs = running.filter_map(|((task, _), _)| self.users.spec(&task.job));
            specs.fold((0.0, 0.0, 0.0, 0.0), |sum, s| {
                let blue = if s.team.as_str() == "blue" {
                    s.gpus
                } else {
                    0.0
                };
                (
                    sum.0 + s.gpus,
                    sum.1 + s.cpus,
                    sum.2 + s.memory_gb,
                    sum.3 + blue,
                )
            })
        };
        let blue: f64 = self.workers.values().map(|worker| used(worker).3).sum();
        if spec.team.as_str() == "blue" && blue + spec.gpus > GPUS_MAX {
            return false;
        }
        self.workers.values().any(|worker| {
            let Some(owned) = self.cloud.get(&worker.id) else {
                return false;
            };
            let kind = self.cloud.kind_of(&worker.id);
            let used = used(worker);
            (spec.spot || !owned.spot)
                && spec.zone.as_ref().is_none_or(|zone| *zone == owned.zone)
                && used.0 + spec.gpus <= kind.gpus
                && used.1 + spec.cpus <= kind.cpus
                && used.2 + spec.memory_gb <= kind.memory_gb
        })
    }

    /// Tasks of a job that are on a machine by the rules.
    /// Whether there was no trouble from `before` seconds before a moment until now.
    fn calm_for(&self, since: f64, before: f64) -> bool {
        self.net.calm() && self.calm_since.max(self.crashed) < since - before
    }

    pub(super) fn tasks_on(&self, job: &JobId) -> usize {
        let tasks = self.workers.values().flat_map(|w| &w.tasks);
        tasks
            .filter(|((task, _), running)| task.job == *job && running.on_machine())
            .count()
    }
}

fn exit(running: &mut Running, why: Exit) {
    running.state = TaskState::Exited;
    running.why = Some(why);
    running.until = f64::INFINITY;
}

fn release(id: &MachineId) -> ochredrum::core::effects::CloudCall {
    let machines = vec![id.clone()];
    ochredrum::core::effects::CloudCall::Release(ochredrum::wire::MachineNames { machines })
}
