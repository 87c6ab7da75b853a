//! Controllers: what reaches them, and what they ask of others.

use super::faults::{Condition, MachineCondition};
use super::network::{CutManner, Endpoint};
use super::settings::settings;
use super::{Event, LEASE_S, World, previous_version, users};
use failure_detector::Stage;
use ochredrum::config::Config;
use ochredrum::core::Core;
use ochredrum::core::effects::{
    Answer, CallId, CloudReply, Effect, Input, RequestId, StoreCall, StoreReply,
};
use ochredrum::core::messages::mesh::MeshReply;
use ochredrum::ids::{MachineId, Node};
use rand::Rng;
use std::collections::BTreeMap;

pub struct Controller {
    pub core: Option<Core>,
    pub epoch: u64,
    pub started: f64,
    /// Clocks run at slightly different rates.
    pub rate: f64,
    pub next_request: u64,
    pub pending_requests: BTreeMap<RequestId, Asker>,
    /// Stands still until then; what arrives meanwhile waits.
    pub frozen_until: f64,
    pub deferred_inputs: Vec<Input>,
}

pub enum Asker {
    User {
        job: Option<usize>,
        kind: users::RequestKind,
        asked: f64,
    },
    Worker {
        machine: MachineId,
        number: u64,
        live: bool,
    },
    Sibling {
        from: usize,
        epoch: u64,
        call: CallId,
    },
}

impl World {
    pub(super) fn restart(&mut self, node: usize) {
        let next = self
            .next_limits
            .filter(|_| !self.previous_version_nodes.contains(&node));
        let text = settings(node, self.nodes.len(), self.limits, next);
        let Ok(mut config) = Config::parse(&text) else {
            panic!("settings of the runner")
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
        controller.frozen_until = 0.0;
        controller.deferred_inputs.clear();
        controller.core = Some(Core::new(config, seed));
        let epoch = controller.epoch;
        self.note(format!("n{node} starts"));
        self.at(self.now, Event::Tick { node, epoch });
    }

    pub(super) fn crash(&mut self, node: usize, back_after: f64) {
        if self.nodes[node].core.take().is_some() {
            self.nodes[node].epoch += 1;
            // Whoever asked sees the connection break.
            for (_, asker) in std::mem::take(&mut self.nodes[node].pending_requests) {
                if let Asker::User { job, kind, asked } = asker {
                    self.after(
                        0.0,
                        Event::UserAnswer {
                            job,
                            kind,
                            asked,
                            answer: None,
                        },
                    );
                }
            }
            self.crashed = self.now;
            self.note(format!("n{node} crashes"));
            self.after(back_after, Event::Restart { node });
        }
    }

    pub(super) fn clock(&self, node: usize) -> f64 {
        (self.now - self.nodes[node].started) * self.nodes[node].rate
    }

    /// Kept copies of reports reach every controller as another one begins to lead.
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
                self.after(
                    0.01,
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

    /// The controller that acts, if one does.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|node| {
            self.nodes[*node]
                .core
                .as_ref()
                .is_some_and(|core| core.leads(self.clock(*node)))
        })
    }

    /// Whether a controller that runs, other than `node`, suspects it to have failed.
    pub fn is_suspected(&self, node: usize) -> bool {
        let name = Node::from(format!("n{node}"));
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        let mut running = others.filter(|other| self.now >= self.nodes[*other].frozen_until);
        running.any(|other| {
            let core = self.nodes[other].core.as_ref();
            core.is_some_and(|core| core.stage_of(&name) != Stage::Alive)
        })
    }

    /// Whether a controller other than `node` may start all tasks of a team.
    pub fn is_settled(&self, team: &str, node: usize) -> bool {
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        let mut cores = others.filter_map(|other| Some((other, self.nodes[other].core.as_ref()?)));
        cores.any(|(other, core)| {
            core.teams(self.clock(other))
                .iter()
                .any(|settled| settled.as_str() == team)
        })
    }

    pub(super) fn ask_node(&mut self, node: usize, asker: Asker, input: Input) {
        if self.nodes[node].core.is_none() {
            return self.answer_asker(node, asker, None, None);
        }
        let controller = &mut self.nodes[node];
        if self.previous_version_nodes.contains(&node) && !previous_version::can_read(&input) {
            return self.answer_asker(node, asker, None, None);
        }
        controller.next_request += 1;
        let request = RequestId(controller.next_request);
        controller.pending_requests.insert(request, asker);
        let input = match input {
            Input::User(_, what) => Input::User(request, what),
            Input::Heartbeat(_, heartbeat) => Input::Heartbeat(request, heartbeat),
            Input::Mesh(_, message) => Input::Mesh(request, message),
            other => other,
        };
        self.step(node, vec![input]);
    }

    pub(super) fn answer_asker(
        &mut self,
        node: usize,
        asker: Asker,
        answer: Option<Answer>,
        mesh: Option<MeshReply>,
    ) {
        let delay = self.latency();
        match asker {
            Asker::User { job, kind, asked } => {
                // Users wait for 2 or 5 s; what comes later they never see.
                let poll = matches!(
                    kind,
                    users::RequestKind::Poll | users::RequestKind::ProbePoll
                );
                let patience = if poll { 2.0 } else { 5.0 };
                let answer = answer.filter(|_| self.now < asked + patience);
                self.after(
                    delay,
                    Event::UserAnswer {
                        job,
                        kind,
                        asked,
                        answer,
                    },
                );
            }
            Asker::Worker {
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
                    self.after(
                        delay,
                        Event::HeartbeatResponse {
                            machine,
                            number,
                            answer,
                        },
                    );
                }
            }
            Asker::Sibling { from, epoch, call } => {
                if self
                    .network
                    .passes(&Endpoint::Node(node), &Endpoint::Node(from))
                {
                    let input = Box::new(Input::MeshReply(call, mesh));
                    self.after(
                        delay,
                        Event::Input {
                            node: from,
                            epoch,
                            input,
                        },
                    );
                }
            }
        }
    }

    pub(super) fn step(&mut self, node: usize, batch: Vec<Input>) {
        if self.now < self.nodes[node].frozen_until {
            return self.nodes[node].deferred_inputs.extend(batch);
        }
        let now = self.clock(node);
        let wall = 1_700_000_000_000 + (self.now * 1e3) as u64;
        let previous = self.previous_version_nodes.contains(&node);
        let batch = if previous {
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
        let effects = span.in_scope(|| core.step(now, wall, batch));
        let start_withheld = core.starts_held_back() > before;
        if start_withheld {
            // The last guard kept the rule, but nothing should come to it.
            self.record_violation(
                "start_held_back",
                format!("n{node} was about to start a task twice"),
            );
        }
        for effect in effects {
            self.effect_digest.add(self.now, node, &effect);
            self.effect(node, effect);
        }
        self.one_owner();
    }

    /// Never may two controllers be entitled to start a team's tasks.
    pub(super) fn one_owner(&mut self) {
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
            self.record_violation(
                "two_owners",
                format!("two controllers may start tasks of {team}"),
            );
        }
    }

    pub(super) fn effect(&mut self, node: usize, effect: Effect) {
        let epoch = self.nodes[node].epoch;
        let me = Endpoint::Node(node);
        let previous = self.previous_version_nodes.contains(&node);
        match effect {
            Effect::Answer(request, answer) => {
                if let Some(asker) = self.nodes[node].pending_requests.remove(&request) {
                    self.answer_asker(node, asker, Some(answer), None);
                }
            }
            Effect::MeshAnswer(request, mut reply) => {
                if previous {
                    previous_version::strip_reply(&mut reply);
                }
                if let Some(asker) = self.nodes[node].pending_requests.remove(&request) {
                    self.answer_asker(node, asker, None, Some(reply));
                }
            }
            Effect::State(call, what) => {
                let what = if previous {
                    previous_version::strip_write(what)
                } else {
                    what
                };
                self.work.store_requests += 1;
                if let StoreCall::Commit(transaction) = &what {
                    let text = serde_json::to_string(transaction);
                    self.work.store_bytes_written += text.map_or(0, |text| text.len());
                }
                let lost = Box::new(Input::State(call, StoreReply::Unknown));
                let unsent = Box::new(Input::State(call, StoreReply::Refused));
                let commit = matches!(what, StoreCall::Commit(_));
                let late = commit && self.late_commit(&what);
                if commit
                    && self.network.has(Condition::LostStoreResponses)
                    && self.rng.random_bool(0.3)
                {
                    // Nobody is of this epoch, so the answer reaches nobody.
                    self.after(
                        0.002,
                        Event::State {
                            node,
                            epoch: u64::MAX,
                            call,
                            what,
                        },
                    );
                    return self.after(
                        LEASE_S / 12.0,
                        Event::Input {
                            node,
                            epoch,
                            input: lost,
                        },
                    );
                }
                let event = Event::State {
                    node,
                    epoch,
                    call,
                    what,
                };
                if late {
                    let delay = self.rng.random_range(1.5..LEASE_S * 1.5);
                    self.after(delay, event);
                    return self.after(
                        LEASE_S / 12.0,
                        Event::Input {
                            node,
                            epoch,
                            input: lost,
                        },
                    );
                }
                self.send(
                    me,
                    Endpoint::State,
                    LEASE_S / 12.0,
                    event,
                    node,
                    lost,
                    unsent,
                );
            }
            Effect::Cloud(call, what) => {
                let lost = Box::new(Input::Cloud(call, CloudReply::Unknown));
                let unsent = Box::new(Input::Cloud(call, CloudReply::Refused));
                let event = Event::Cloud {
                    node,
                    epoch,
                    call,
                    what,
                };
                self.send(
                    me,
                    Endpoint::Cloud,
                    LEASE_S / 3.0,
                    event,
                    node,
                    lost,
                    unsent,
                );
            }
            Effect::Worker(call, address, commands) => {
                self.send_direct_commands(node, call, address, commands)
            }
            Effect::Mesh(call, to, mut message) => {
                if previous {
                    previous_version::strip_message(&mut message);
                }
                let Some(to) = index(&to) else { return };
                let mut body = Vec::new();
                ciborium::into_writer(&message, &mut body).ok();
                self.work.mesh_bytes += body.len();
                self.work.largest_message = self.work.largest_message.max(body.len());
                let lost = Box::new(Input::MeshReply(call, None));
                let unsent = Box::new(Input::MeshReply(call, None));
                let message = Box::new(Input::Mesh(RequestId(0), message));
                let event = Event::Mesh {
                    from: node,
                    epoch,
                    call,
                    to,
                    message,
                };
                self.send(
                    me,
                    Endpoint::Node(to),
                    LEASE_S / 12.0,
                    event,
                    node,
                    lost,
                    unsent,
                );
            }
        }
    }

    /// Sends a call over the network. The caller gives up at its deadline; a cut drops the call,
    /// or holds it and delivers it when the cut ends.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn send(
        &mut self,
        from: Endpoint,
        to: Endpoint,
        deadline: f64,
        event: Event,
        node: usize,
        lost: Box<Input>,
        unsent: Box<Input>,
    ) {
        let epoch = self.nodes[node].epoch;
        if self.network.passes(&from, &to) {
            let delay = self.latency();
            self.after(delay, event);
            return self.after(
                deadline,
                Event::Input {
                    node,
                    epoch,
                    input: lost,
                },
            );
        }
        match self.network.cut_manner(&from, &to) {
            Some(CutManner::Refused) => {
                let delay = self.latency();
                self.after(
                    delay,
                    Event::Input {
                        node,
                        epoch,
                        input: unsent,
                    },
                );
            }
            Some(CutManner::Reset) => {
                let delay = self.latency();
                self.after(
                    delay,
                    Event::Input {
                        node,
                        epoch,
                        input: lost,
                    },
                );
            }
            Some(CutManner::Held) if self.rng.random_bool(0.5) => {
                if let Some(end) = self.network.held_until(&from, &to) {
                    self.at(end + 0.01, event);
                }
                self.after(
                    deadline,
                    Event::Input {
                        node,
                        epoch,
                        input: lost,
                    },
                );
            }
            _ => self.after(
                deadline,
                Event::Input {
                    node,
                    epoch,
                    input: unsent,
                },
            ),
        }
    }

    /// An overloaded process gets a turn only now and then.
    pub(super) fn pause_if_slow(&mut self, node: usize, epoch: u64) {
        if let Some(pause) = self.network.pause_between_turns(node)
            && self.now >= self.nodes[node].frozen_until
        {
            let until = self.now + pause;
            self.nodes[node].frozen_until = self.nodes[node].frozen_until.max(until);
            self.at(until, Event::Resume { node, epoch });
        }
    }

    pub(super) fn latency(&mut self) -> f64 {
        if self.rng.random_bool(0.01) {
            self.rng.random_range(0.05..0.4)
        } else {
            self.rng.random_range(0.001..0.006)
        }
    }

    pub(super) fn reply(&mut self, node: usize, epoch: u64, from: Endpoint, input: Input) {
        if self.network.passes(&from, &Endpoint::Node(node)) {
            let delay = self.latency();
            self.after(
                delay,
                Event::Input {
                    node,
                    epoch,
                    input: Box::new(input),
                },
            );
        }
    }
}

fn index(node: &Node) -> Option<usize> {
    node.as_str().strip_prefix('n')?.parse().ok()
}
