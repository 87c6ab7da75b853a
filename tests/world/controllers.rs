//! Processes of controllers, the requests that they receive, and their steps.

use super::faults::MachineCondition;
use super::network::Endpoint;
use super::settings::settings;
use super::{Event, RESTART_DELAY_S, TICK_INTERVAL_S, World, previous_version, users};
use failure_detector::Stage;
use ochredrum::config::Config;
use ochredrum::core::Core;
use ochredrum::core::effects::{Answer, CallId, Input, RequestId};
use ochredrum::core::messages::mesh::MeshReply;
use ochredrum::ids::{ControllerName, MachineId};
use rand::Rng;
use std::collections::BTreeMap;

/// Seconds that users wait for the answer to a poll.
const POLL_TIMEOUT_S: f64 = 2.0;
/// Seconds that users wait for the answer to a submission or a cancellation.
const SUBMIT_TIMEOUT_S: f64 = 5.0;
/// Difference between the clock rates of controllers with successive indices.
const CLOCK_DRIFT: f64 = 0.0004;
/// Seconds until a replayed heartbeat arrives.
const REPLAY_DELAY_S: f64 = 0.01;
/// The wall clock at the beginning of the simulation, in milliseconds since 1970.
const WALL_CLOCK_START_MS: u64 = 1_700_000_000_000;

/// A controller and its process, which may not be running.
pub struct Controller {
    /// The state machine; absent while the process does not run.
    pub core: Option<Core>,
    /// Number of starts and crashes so far. Events for an earlier process have another epoch and are dropped.
    pub epoch: u64,
    /// Virtual time of the last start.
    started: f64,
    /// Rate of the controller's clock relative to virtual time, slightly above or below 1.
    clock_rate: f64,
    /// Number of the last request that it received.
    next_request: u64,
    /// The senders of the requests that it has not answered yet.
    pub unanswered_requests: BTreeMap<RequestId, Requester>,
    /// Virtual time until which the process is paused and its inputs are deferred.
    pub paused_until: f64,
    /// Inputs that arrived while the process was paused.
    pub deferred_inputs: Vec<Input>,
}

impl Controller {
    /// Creates a controller whose process has not started.
    pub fn new(index: usize) -> Self {
        Self {
            core: None,
            epoch: 0,
            started: 0.0,
            clock_rate: 1.0 + (index as f64 - 1.0) * CLOCK_DRIFT,
            next_request: 0,
            unanswered_requests: BTreeMap::new(),
            paused_until: 0.0,
            deferred_inputs: Vec::new(),
        }
    }
}

/// The sender of a request to a controller.
pub enum Requester {
    /// A user, about one of the jobs in the world or with an unusual request.
    User {
        /// The index of the job; `None` for an unusual submission and for a poll of an unknown job.
        job: Option<usize>,
        kind: users::RequestKind,
        /// When the request was sent.
        sent_at: f64,
    },
    /// A worker that sent a heartbeat.
    Worker {
        machine: MachineId,
        /// The sequence number of the heartbeat.
        number: u64,
        /// Whether the worker waits for the answer. It does not for duplicates, which have no connection.
        live: bool,
    },
    /// The sender of a late copy, who does not wait for an answer.
    Nobody,
    /// Another controller.
    Sibling {
        from: usize,
        epoch: u64,
        call: CallId,
    },
}

impl World {
    /// Starts the process of a controller unless it is already running.
    pub(super) fn restart(&mut self, node: usize) {
        let next = self
            .next_limits
            .filter(|_| !self.previous_version_nodes.contains(&node));
        let teams = &self.limited_teams;
        let text = settings(node, self.nodes.len(), self.limits, next, teams);
        let Ok(mut config) = Config::parse(&text) else {
            panic!("the generated settings are invalid")
        };
        if !self.previous_version_nodes.contains(&node) {
            config.features = self.features.clone();
        }
        let seed = self.rng.random();
        let controller = &mut self.nodes[node];
        if controller.core.is_some() {
            return;
        }
        controller.epoch += 1;
        controller.started = self.now;
        controller.paused_until = 0.0;
        controller.deferred_inputs.clear();
        controller.core = Some(Core::new(config, seed));
        let epoch = controller.epoch;
        self.log_event(format!("n{node} starts"));
        self.schedule_at(self.now, Event::Tick { node, epoch });
    }

    /// Ends the process of a controller and schedules its restart.
    pub(super) fn crash(&mut self, node: usize, restart_delay_s: f64) {
        if self.nodes[node].core.take().is_some() {
            self.nodes[node].epoch += 1;
            // Users see that their connections break.
            for (_, requester) in std::mem::take(&mut self.nodes[node].unanswered_requests) {
                if let Requester::User { job, kind, sent_at } = requester {
                    self.schedule_after(
                        0.0,
                        Event::UserAnswer {
                            job,
                            kind,
                            sent_at,
                            answer: None,
                        },
                    );
                }
            }
            self.last_crash_at = self.now;
            self.log_event(format!("n{node} crashes"));
            self.schedule_after(restart_delay_s, Event::Restart { node });
        }
    }

    /// Crashes a controller, which is restarted with the present version.
    pub(super) fn upgrade(&mut self, node: usize) {
        self.previous_version_nodes.remove(&node);
        let leader_note = if self.leader() == Some(node) {
            ", the leader"
        } else {
            ""
        };
        let remaining = self.previous_version_nodes.len();
        self.log_event(format!(
            "n{node}{leader_note} is upgraded, {remaining} of the previous version are left"
        ));
        self.crash(node, RESTART_DELAY_S);
    }

    /// Performs a periodic step of a controller and schedules the next.
    pub(super) fn tick(&mut self, node: usize, epoch: u64) {
        if self.nodes[node].epoch == epoch && self.nodes[node].core.is_some() {
            self.step(node, Vec::new());
            self.replay_to_new_leader();
            self.schedule_after(TICK_INTERVAL_S, Event::Tick { node, epoch });
            self.pause_if_slow(node, epoch);
        }
    }

    /// Resumes a paused controller, which processes its deferred inputs.
    pub(super) fn resume(&mut self, node: usize, epoch: u64) {
        if self.nodes[node].epoch == epoch {
            let deferred = std::mem::take(&mut self.nodes[node].deferred_inputs);
            self.step(node, deferred);
        }
    }

    /// The seconds since the start of a controller's process, by its own clock.
    pub(super) fn clock(&self, node: usize) -> f64 {
        (self.now - self.nodes[node].started) * self.nodes[node].clock_rate
    }

    /// Sends the recorded heartbeats to every controller once the leader has changed.
    pub(super) fn replay_to_new_leader(&mut self) {
        let leader = self.leader();
        if self.replay_buffer.is_empty() || leader.is_none() || leader == self.last_leader {
            self.last_leader = leader.or(self.last_leader);
            return;
        }
        self.last_leader = leader;
        for (machine, heartbeat) in std::mem::take(&mut self.replay_buffer) {
            for node in 0..self.nodes.len() {
                let (machine, heartbeat) = (machine.clone(), heartbeat.clone());
                self.schedule_after(
                    REPLAY_DELAY_S,
                    Event::Heartbeat {
                        machine,
                        node,
                        heartbeat,
                        live: false,
                    },
                );
            }
        }
    }

    /// The current leader, if there is one.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|node| {
            self.nodes[*node]
                .core
                .as_ref()
                .is_some_and(|core| core.leads(self.clock(*node)))
        })
    }

    /// Whether a running controller other than `node` suspects `node` to have failed.
    pub fn is_suspected(&self, node: usize) -> bool {
        let name = ControllerName::from(format!("n{node}"));
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        let mut running = others.filter(|other| self.now >= self.nodes[*other].paused_until);
        running.any(|other| {
            let core = self.nodes[other].core.as_ref();
            core.is_some_and(|core| core.sibling_stage(&name) != Stage::Alive)
        })
    }

    /// Whether a controller other than `node` has reconciled a team, so that it may start the team's tasks.
    pub fn is_reconciled_by_another(&self, team: &str, node: usize) -> bool {
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        let mut cores = others.filter_map(|other| Some((other, self.nodes[other].core.as_ref()?)));
        cores.any(|(other, core)| {
            core.reconciled_teams(self.clock(other))
                .iter()
                .any(|reconciled| reconciled.as_str() == team)
        })
    }

    /// Delivers a request to a controller. The connection breaks if its process does not run or cannot read
    /// the request.
    pub(super) fn deliver_request(&mut self, node: usize, requester: Requester, input: Input) {
        if self.nodes[node].core.is_none() {
            return self.send_answer(node, requester, None, None);
        }
        let controller = &mut self.nodes[node];
        if self.previous_version_nodes.contains(&node) && !previous_version::can_read(&input) {
            return self.send_answer(node, requester, None, None);
        }
        controller.next_request += 1;
        let request = RequestId(controller.next_request);
        controller.unanswered_requests.insert(request, requester);
        let input = match input {
            Input::User(_, user_request) => Input::User(request, user_request),
            Input::Heartbeat(_, heartbeat) => Input::Heartbeat(request, heartbeat),
            Input::Mesh(_, message) => Input::Mesh(request, message),
            other => other,
        };
        self.step(node, vec![input]);
    }

    /// Sends an answer back to the sender of a request, unless the network blocks it. If `answer` and `mesh`
    /// are both `None`, the sender sees a broken connection.
    pub(super) fn send_answer(
        &mut self,
        node: usize,
        requester: Requester,
        answer: Option<Answer>,
        mesh: Option<MeshReply>,
    ) {
        let delay = self.draw_latency();
        match requester {
            Requester::Nobody => {}
            Requester::User { job, kind, sent_at } => {
                // Users ignore answers after their timeout.
                let is_poll = matches!(
                    kind,
                    users::RequestKind::Poll | users::RequestKind::ProbePoll
                );
                let timeout = if is_poll {
                    POLL_TIMEOUT_S
                } else {
                    SUBMIT_TIMEOUT_S
                };
                let answer = answer.filter(|_| self.now < sent_at + timeout);
                self.schedule_after(
                    delay,
                    Event::UserAnswer {
                        job,
                        kind,
                        sent_at,
                        answer,
                    },
                );
            }
            Requester::Worker {
                machine,
                number,
                live,
            } => {
                let passes = self
                    .network
                    .passes(&Endpoint::Node(node), &Endpoint::Machine(machine.clone()));
                if live
                    && passes
                    && !self
                        .network
                        .machine_has(&machine, MachineCondition::InboundLost)
                {
                    self.schedule_after(
                        delay,
                        Event::HeartbeatResponse {
                            machine,
                            number,
                            answer,
                        },
                    );
                }
            }
            Requester::Sibling { from, epoch, call } => {
                if self
                    .network
                    .passes(&Endpoint::Node(node), &Endpoint::Node(from))
                {
                    let input = Input::MeshReply(call, mesh);
                    self.schedule_input(delay, from, epoch, input);
                }
            }
        }
    }

    /// Lets a controller process inputs and executes the resulting effects. While it is paused, inputs are
    /// deferred.
    pub(super) fn step(&mut self, node: usize, batch: Vec<Input>) {
        if self.now < self.nodes[node].paused_until {
            return self.nodes[node].deferred_inputs.extend(batch);
        }
        let now = self.clock(node);
        let wall_ms = WALL_CLOCK_START_MS + (self.now * 1e3) as u64;
        let is_previous_version = self.previous_version_nodes.contains(&node);
        let batch = if is_previous_version {
            batch
                .into_iter()
                .map(previous_version::strip_input)
                .collect()
        } else {
            batch
        };
        let Some(core) = self.nodes[node].core.as_mut() else {
            return;
        };
        let span = tracing::info_span!("", n = node, t = self.now);
        let before = core.starts_held_back();
        let unexpected_before = core.unexpected_attempts();
        let effects = span.in_scope(|| core.step(now, wall_ms, batch));
        let start_withheld = core.starts_held_back() > before;
        let unexpected = core.unexpected_attempts() > unexpected_before;
        if start_withheld {
            // The core's last check prevented the duplicate start, but no start should get as far as that
            // check.
            self.record_violation(
                "start_held_back",
                format!("n{node} was about to start a task twice"),
            );
        }
        if unexpected {
            self.record_violation(
                "unexpected_attempt",
                format!("n{node} has an attempt that it did not start"),
            );
        }
        for effect in effects {
            self.execute_effect(node, effect);
        }
        self.check_single_owner();
    }

    /// Checks that at most one controller may start tasks of each team.
    pub(super) fn check_single_owner(&mut self) {
        let mut owners: BTreeMap<String, usize> = BTreeMap::new();
        for node in 0..self.nodes.len() {
            let clock = self.clock(node);
            if let Some(core) = self.nodes[node].core.as_ref() {
                for team in core.reconciled_teams(clock) {
                    *owners.entry(team.to_string()).or_default() += 1;
                }
            }
        }
        for (team, _) in owners.into_iter().filter(|(_, count)| *count > 1) {
            self.record_violation(
                "two_owners",
                format!("two controllers may start tasks of {team}"),
            );
        }
    }

    /// Pauses a slow process after its step.
    pub(super) fn pause_if_slow(&mut self, node: usize, epoch: u64) {
        if let Some(pause) = self.network.slow_step_interval_s(node)
            && self.now >= self.nodes[node].paused_until
        {
            let until = self.now + pause;
            self.nodes[node].paused_until = self.nodes[node].paused_until.max(until);
            self.schedule_at(until, Event::Resume { node, epoch });
        }
    }
}
