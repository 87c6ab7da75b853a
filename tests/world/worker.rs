//! Simulated workers, which implement the protocol's heartbeats, leases, sessions and fencing tokens.

use super::calls::HELD_DELIVERY_S;
use super::cloud::Cloud;
use super::faults::{Condition, MachineCondition};
use super::network::{CutManner, Endpoint};
use super::tasks::RunningTask;
use super::{Event, HEARTBEAT_INTERVAL_S, LEASE_S, World};
use ochredrum::core::effects::{Answer, Body, CallId, CloudCall, Input, WorkerReply};
use ochredrum::ids::{Attempt, FencingToken, MachineId, TaskId};
use ochredrum::wire::{DirectCommands, Heartbeat, HeartbeatResponse, MachineIds, ReportedTask};
use rand::Rng;
use std::collections::BTreeMap;

/// Seconds that a worker waits for the answer to a heartbeat.
const ANSWER_TIMEOUT_S: f64 = 4.0;
/// Seconds that a worker waits before it sends a heartbeat to the next controller.
const RETRY_DELAY_S: f64 = 1.0;
/// Minimum number of seconds between a heartbeat and the next one that reports a change.
const MIN_CHANGE_REPORT_INTERVAL_S: f64 = 0.5;
/// Seconds between a worker's checks of its lease and its tasks.
const WORKER_TICK_INTERVAL_S: f64 = 0.1;
/// Probability that a heartbeat is recorded under [`Condition::ReplayToNextLeader`].
const RECORDED_PROBABILITY: f64 = 0.3;
/// The machine type in a heartbeat if the cloud no longer has the machine.
const DEFAULT_TYPE: &str = "g8";
/// The zone in a heartbeat if the cloud no longer has the machine.
const DEFAULT_ZONE: &str = "a";

/// The worker process on one machine.
pub struct Worker {
    /// The machine on which it runs.
    pub id: MachineId,
    /// Number of its session; a new session begins when its lease expires.
    agent_epoch: u64,
    /// Sequence number of its last heartbeat.
    sequence: u64,
    /// The newest fencing token that it has received.
    token: FencingToken,
    /// When the last answered heartbeat was sent, or when the session began if that was later.
    lease_renewed_at: f64,
    /// Index of the controller to which it sends heartbeats.
    node: usize,
    /// Sequence number and sending time of the heartbeat whose answer it waits for.
    in_flight: Option<(u64, f64)>,
    next_heartbeat: f64,
    last_heartbeat: f64,
    /// Whether its state has changed since the last heartbeat.
    pub changed: bool,
    /// When a new token last caused an early heartbeat.
    token_changed_at: f64,
    /// When the cloud terminates its machine, after a termination notice.
    terminates_at: Option<f64>,
    /// Images that it has cached.
    pub images: Vec<String>,
    /// Virtual time until which it hangs and executes nothing.
    pub hung_until: f64,
    /// Attempts that it was commanded to start and has not yet been commanded to forget.
    pub tasks: BTreeMap<(TaskId, Attempt), RunningTask>,
    /// Number of task starts on it.
    pub starts: u64,
}

impl Worker {
    /// Creates its next heartbeat.
    fn create_heartbeat(&mut self, now: f64, cloud: &Cloud) -> Heartbeat {
        self.sequence += 1;
        let rented = cloud.get(&self.id);
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), running)| ReportedTask {
                task: task.to_string(),
                attempt: *attempt,
                state: running.state,
                exit: running.exit,
                checkpointed: running.checkpointed.then_some(true),
            });
        Heartbeat {
            machine: self.id.clone(),
            address: self.id.to_string(),
            type_name: rented.map_or(DEFAULT_TYPE.into(), |rented| rented.type_name.clone()),
            zone: rented.map_or(DEFAULT_ZONE.into(), |rented| rented.zone.clone()),
            spot: rented.is_some_and(|rented| rented.spot),
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            reclaim_notice_s: self.terminates_at.map(|at| at - now),
            tasks: tasks.collect(),
        }
    }

    /// Switches to the next controller and postpones the next heartbeat.
    fn try_next_controller(&mut self, now: f64, controllers: usize) {
        self.node = (self.node + 1) % controllers;
        self.next_heartbeat = now + RETRY_DELAY_S;
    }

    /// Ends the session and all its tasks, and begins a new one.
    fn begin_session(&mut self, now: f64) {
        self.tasks.clear();
        self.agent_epoch += 1;
        self.lease_renewed_at = now;
        self.changed = true;
    }

    /// Whether its next heartbeat is due. Changes make it due earlier.
    fn heartbeat_is_due(&self, now: f64) -> bool {
        let urgent = self.changed && now >= self.last_heartbeat + MIN_CHANGE_REPORT_INTERVAL_S;
        self.in_flight.is_none() && (now >= self.next_heartbeat || urgent)
    }

    /// Adopts a newer fencing token from the answer to a heartbeat.
    ///
    /// A new token is reported early, but at most once in half a lease duration.
    fn update_token(&mut self, now: f64, token: FencingToken) {
        if token > self.token {
            self.token = token;
            if now - self.token_changed_at > LEASE_S / 2.0 {
                self.token_changed_at = now;
                self.changed = true;
            }
        }
    }

    /// Follows a redirect to the controller that owns the machine, or tries the next controller if no other
    /// is named.
    fn follow_redirect(&mut self, now: f64, owner: Option<usize>, controllers: usize) {
        match owner.filter(|owner| *owner != self.node) {
            Some(owner) => {
                self.node = owner;
                self.next_heartbeat = now;
            }
            None => self.try_next_controller(now, controllers),
        }
    }
}

impl World {
    /// Starts the worker of a machine that has booted, if the cloud still has the machine.
    pub(super) fn boot(&mut self, machine: &MachineId) {
        if self.cloud.get(machine).is_none() {
            return;
        }
        self.cloud.mark_running(machine, self.now);
        let worker = Worker {
            id: machine.clone(),
            agent_epoch: 1,
            sequence: 0,
            token: FencingToken(0),
            lease_renewed_at: self.now,
            node: self.rng.random_range(0..self.nodes.len()),
            in_flight: None,
            next_heartbeat: self.now,
            last_heartbeat: self.now,
            changed: false,
            token_changed_at: f64::NEG_INFINITY,
            terminates_at: None,
            images: Vec::new(),
            hung_until: 0.0,
            tasks: BTreeMap::new(),
            starts: 0,
        };
        self.workers.insert(machine.clone(), worker);
        self.schedule_worker_tick(machine, 0.0);
    }

    fn schedule_worker_tick(&mut self, id: &MachineId, delay: f64) {
        let machine = id.clone();
        self.schedule_after(delay, Event::WorkerTick { machine });
    }

    /// Notifies a machine that the cloud will terminate it in this many seconds.
    pub(super) fn give_termination_notice(&mut self, machine: &MachineId, seconds: f64) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.terminates_at = Some(now + seconds);
            worker.changed = true;
        }
    }

    /// Performs a periodic check of a worker's lease, tasks and heartbeats.
    pub(super) fn worker_tick(&mut self, id: &MachineId) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.terminates_at.is_some_and(|at| now >= at) {
            return self.remove_worker(id);
        }
        if now - worker.lease_renewed_at > LEASE_S {
            // A worker that hangs past its lease could not have continued, so its tasks do not count as lost.
            if now >= worker.hung_until {
                let lost = worker.tasks.values().filter(|task| task.is_on_machine());
                self.counters.lost_with_leases += lost.count();
            }
            worker.begin_session(now);
        }
        if now >= worker.hung_until {
            self.advance_tasks(id);
            self.report_if_due(id);
        }
        if self.workers.contains_key(id) {
            self.schedule_worker_tick(id, WORKER_TICK_INTERVAL_S);
        }
    }

    /// Removes a worker whose machine the cloud terminates, and releases the machine.
    fn remove_worker(&mut self, id: &MachineId) {
        if let Some(worker) = self.workers.remove(id) {
            self.users.starts_on_removed_machines += worker.starts;
        }
        let machines = vec![id.clone()];
        let release = CloudCall::Release(MachineIds { machines });
        self.cloud.call(self.now, release);
        // The worker was already removed above.
        self.cloud.take_released();
    }

    /// Gives up a heartbeat that was not answered in time, then sends the next one if it is due.
    fn report_if_due(&mut self, id: &MachineId) {
        let (now, controllers) = (self.now, self.nodes.len());
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let in_flight = worker.in_flight;
        if in_flight.is_some_and(|(_, sent)| now - sent > ANSWER_TIMEOUT_S) {
            worker.in_flight = None;
            worker.try_next_controller(now, controllers);
        }
        if worker.heartbeat_is_due(now) {
            worker.changed = false;
            worker.last_heartbeat = now;
            worker.next_heartbeat = now + HEARTBEAT_INTERVAL_S * self.rng.random_range(0.75..1.25);
            let heartbeat = worker.create_heartbeat(now, &self.cloud);
            let node = worker.node;
            worker.in_flight = Some((heartbeat.sequence, now));
            self.counters.count_heartbeat(&heartbeat);
            self.send_heartbeat(id, node, heartbeat);
        }
    }

    fn send_heartbeat(&mut self, id: &MachineId, node: usize, heartbeat: Heartbeat) {
        let (me, to) = (Endpoint::Machine(id.clone()), Endpoint::Node(node));
        let event = |heartbeat: &Heartbeat, live| Event::Heartbeat {
            machine: id.clone(),
            node,
            heartbeat: heartbeat.clone(),
            live,
        };
        if self.network.has(Condition::ReplayToNextLeader)
            && self.rng.random_bool(RECORDED_PROBABILITY)
        {
            self.replay_buffer.push((id.clone(), heartbeat.clone()));
        }
        if self
            .network
            .machine_has(id, MachineCondition::HeartbeatsLost)
        {
            return;
        }
        if let Some(delay) = self.draw_duplicate_delay() {
            self.schedule_after(delay, event(&heartbeat, false));
        }
        if self.network.passes(&me, &to) {
            let delay = self.draw_latency();
            let live = event(&heartbeat, true);
            self.copy_later(&live);
            self.schedule_after(delay, live);
            return;
        }
        if let Some(end) = self.network.held_until(&me, &to) {
            self.schedule_at(end + HELD_DELIVERY_S, event(&heartbeat, false));
        }
        if let Some(CutManner::Refused | CutManner::Reset) = self.network.cut_manner(&me, &to) {
            let (machine, number) = (id.clone(), heartbeat.sequence);
            let delay = self.draw_latency();
            self.schedule_after(
                delay,
                Event::HeartbeatResponse {
                    machine,
                    number,
                    answer: None,
                },
            );
        }
    }

    /// Handles the answer to a heartbeat. Only an answer to the heartbeat in flight that arrives in time
    /// counts.
    pub(super) fn receive_heartbeat_response(
        &mut self,
        id: &MachineId,
        number: u64,
        answer: Option<Answer>,
    ) {
        let (now, controllers) = (self.now, self.nodes.len());
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let in_time = |sent: f64| now < sent + ANSWER_TIMEOUT_S && now >= worker.hung_until;
        let awaited = worker
            .in_flight
            .filter(|(sequence, sent)| *sequence == number && in_time(*sent));
        let Some((_, sent)) = awaited else { return };
        worker.in_flight = None;
        match answer {
            Some(Answer {
                status: 200,
                body: Body::HeartbeatResponse(response),
                ..
            }) => self.handle_response(id, sent, response),
            Some(Answer {
                status: 421,
                body: Body::Json(body),
                ..
            }) => {
                let named = body["conductor"]
                    .as_str()
                    .and_then(|name| name.strip_prefix('n'));
                let owner = named.and_then(|index| index.parse::<usize>().ok());
                worker.follow_redirect(now, owner, controllers);
            }
            _ => worker.try_next_controller(now, controllers),
        }
    }

    /// Renews the lease from the time at which the heartbeat was sent, and executes the commands in the
    /// response.
    fn handle_response(&mut self, id: &MachineId, sent: f64, response: HeartbeatResponse) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // Answers to heartbeats of an earlier session are dropped.
        if response.token < worker.token || sent < worker.lease_renewed_at {
            return;
        }
        worker.update_token(now, response.token);
        worker.lease_renewed_at = sent;
        for command in response.commands {
            self.execute(id, command);
        }
    }

    /// Delivers direct commands to a worker, which rejects those with an old token or for another session.
    pub(super) fn receive_direct_commands(
        &mut self,
        node: usize,
        epoch: u64,
        call: CallId,
        address: &str,
        commands: DirectCommands,
    ) {
        let id = MachineId::from(address);
        if self.network.machine_has(&id, MachineCondition::InboundLost) {
            return;
        }
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        if now < worker.hung_until {
            // They are executed when the worker continues, whether or not the sender still waits.
            let (until, address) = (
                worker.hung_until + WORKER_TICK_INTERVAL_S * 1.5,
                address.to_owned(),
            );
            return self.schedule_at(
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
            for command in commands.commands {
                self.execute(&id, command);
            }
        }
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let heartbeat = worker.create_heartbeat(now, &self.cloud);
        let reply = if fenced {
            WorkerReply::Fenced(heartbeat)
        } else {
            WorkerReply::Executed(heartbeat)
        };
        self.reply(
            node,
            epoch,
            Endpoint::Machine(id),
            Input::Worker(call, reply),
        );
    }
}
