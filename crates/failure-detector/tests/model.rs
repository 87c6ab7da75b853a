//! Simulations of three and five observers in a network. Seeds determine delays, retransmissions, pauses,
//! restarts and partitions in one direction. The simulations check two properties. *Completeness*: every
//! healthy observer confirms the failure of a controller that stops or pauses within a fixed time.
//! *Accuracy*: no observer confirms the failure of a controller that runs and is connected to enough others.
//!
//! They guard against a fault in which an observer never confirmed a failure. The observer had been
//! disconnected while the controller restarted. It stored the previous process and counted no votes on the
//! next one.
//!
//! The last tests show that each rule is necessary. They disable the quorum, the rule that isolated observers
//! share no opinions, the observer's detection of its own pauses, and confirmation itself (with a quorum that
//! cannot be reached).

#![allow(
    clippy::cast_possible_truncation,
    clippy::indexing_slicing,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    clippy::unwrap_used,
    reason = "a test fails by panicking, and states a whole case in one place"
)]

use failure_detector::{Detector, Incarnation, Opinion, SUSPECT_HEARTBEATS, Settings, Stage};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const HEARTBEAT_S: f64 = 0.5;
const TIMEOUT_S: f64 = 0.8;
const STEP_S: f64 = 0.05;
const DURATION_S: f64 = 60.0;
/// A failure is confirmed within this time: 15 heartbeats.
const CONFIRMED_WITHIN_S: f64 = 7.5;
/// Two nodes that have been connected for longer than this have a stable connection: no opinion and no
/// missing answer from before still counts.
const STABLE_AFTER_S: f64 = 9.0;

enum Message {
    Heartbeat {
        opinions: Vec<Opinion<usize>>,
    },
    Answer {
        incarnation: Incarnation,
        sent: f64,
        opinions: Vec<Opinion<usize>>,
    },
}

struct Envelope {
    delivery_at: f64,
    from: usize,
    to: usize,
    sent: f64,
    message: Message,
}

struct Node {
    detector: Detector<usize>,
    incarnation: Incarnation,
    stopped_until: f64,
    paused_until: f64,
    next_heartbeat: BTreeMap<usize, f64>,
}

struct Simulation {
    now: f64,
    rng: StdRng,
    settings: Settings,
    nodes: Vec<Node>,
    messages: Vec<Envelope>,
    /// When each blocked link from one node to another delivers messages again.
    blocked_until: BTreeMap<(usize, usize), f64>,
    loss_probability: f64,
    /// When each pair of nodes was last not connected, or one of them did not run.
    last_disconnected: Vec<Vec<f64>>,
    /// Since when each node has not run. None while it runs.
    not_running_since: Vec<Option<f64>>,
    /// When each node last did not run, because it was stopped or paused.
    last_not_running: Vec<f64>,
    violations: BTreeSet<&'static str>,
}

impl Simulation {
    fn new(seed: u64, count: usize, settings: Settings) -> Self {
        let nodes = (0..count).map(|index| Node {
            detector: Detector::new((0..count).filter(|other| *other != index), settings),
            incarnation: Incarnation(100 + index as u64),
            stopped_until: 0.0,
            paused_until: 0.0,
            next_heartbeat: BTreeMap::new(),
        });
        Self {
            now: 0.0,
            rng: StdRng::seed_from_u64(seed),
            settings,
            nodes: nodes.collect(),
            messages: Vec::new(),
            blocked_until: BTreeMap::new(),
            loss_probability: 0.0,
            last_disconnected: vec![vec![f64::NEG_INFINITY; count]; count],
            not_running_since: vec![None; count],
            last_not_running: vec![f64::NEG_INFINITY; count],
            violations: BTreeSet::new(),
        }
    }

    fn is_running(&self, node: usize) -> bool {
        self.now >= self.nodes[node].stopped_until && self.now >= self.nodes[node].paused_until
    }

    fn link_delivers(&self, from: usize, to: usize) -> bool {
        self.blocked_until
            .get(&(from, to))
            .is_none_or(|until| self.now >= *until)
    }

    fn send(&mut self, from: usize, to: usize, sent: f64, message: Message) {
        if !self.link_delivers(from, to) {
            return;
        }
        let mut delay = self.rng.random_range(0.001..0.02);
        // A lost packet is retransmitted, and an answer still arrives within the timeout.
        if self.rng.random_bool(self.loss_probability) {
            delay += self.rng.random_range(0.2..0.37);
        }
        self.messages.push(Envelope {
            delivery_at: self.now + delay,
            from,
            to,
            sent,
            message,
        });
    }

    fn inject_fault(&mut self) {
        let count = self.nodes.len();
        let node = self.rng.random_range(0..count);
        let other = (node + self.rng.random_range(1..count)) % count;
        let until = self.now + self.rng.random_range(2.0..15.0);
        match self.rng.random_range(0..7) {
            0 => self.restart(node, until),
            1 => self.nodes[node].paused_until = until,
            2 => self.block_link(node, other, until),
            3 => (0..count).for_each(|from| self.block_link(from, node, until)),
            4 => (0..count).for_each(|to| self.block_link(node, to, until)),
            5 => (0..count).for_each(|one| self.nodes[one].paused_until = until),
            _ => self.loss_probability = self.rng.random_range(0.0..0.3),
        }
    }

    fn block_link(&mut self, from: usize, to: usize, until: f64) {
        self.blocked_until.insert((from, to), until);
    }

    fn restart(&mut self, node: usize, until: f64) {
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        let incarnation = Incarnation(self.rng.random());
        let detector = Detector::new(others.collect::<Vec<_>>(), self.settings);
        let next_heartbeat = BTreeMap::new();
        self.nodes[node] = Node {
            detector,
            incarnation,
            stopped_until: until,
            paused_until: 0.0,
            next_heartbeat,
        };
        self.messages.retain(|envelope| envelope.to != node);
    }

    fn deliver_due_messages(&mut self) {
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|envelope| envelope.delivery_at <= self.now && self.is_running(envelope.to));
        self.messages = later;
        let due: Vec<Envelope> = due;
        for Envelope {
            from,
            to,
            sent,
            message,
            ..
        } in due
        {
            let now = self.now;
            let node = &mut self.nodes[to];
            match message {
                Message::Heartbeat { opinions } => {
                    node.detector.message_received(&from, now);
                    node.detector.receive_opinions(&from, opinions, now);
                    let incarnation = node.incarnation;
                    let opinions = node.detector.opinions_to_send(now);
                    let answer = Message::Answer {
                        incarnation,
                        sent,
                        opinions,
                    };
                    self.send(to, from, sent, answer);
                }
                Message::Answer {
                    incarnation,
                    sent,
                    opinions,
                } if now - sent < TIMEOUT_S => {
                    node.detector
                        .heartbeat_answered(&from, incarnation, sent, now);
                    node.detector.receive_opinions(&from, opinions, now);
                    let next = self.rng.random_range(0.75..1.25) * HEARTBEAT_S + sent;
                    node.next_heartbeat.insert(from, next);
                }
                Message::Answer { .. } => {}
            }
        }
    }

    fn send_due_heartbeats(&mut self, from: usize) {
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            let next = self.nodes[from].next_heartbeat.entry(to).or_insert(0.0);
            if self.now < *next {
                continue;
            }
            *next = self.now + TIMEOUT_S;
            let opinions = self.nodes[from].detector.opinions_to_send(self.now);
            self.send(from, to, self.now, Message::Heartbeat { opinions });
        }
    }

    /// Returns whether two nodes run and the links between them deliver in both directions.
    fn are_connected(&self, one: usize, other: usize) -> bool {
        let both_run = self.is_running(one) && self.is_running(other);
        both_run && self.link_delivers(one, other) && self.link_delivers(other, one)
    }

    /// Counts the other nodes that have a stable connection to a node.
    fn count_stable_connections(&self, node: usize) -> usize {
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        others
            .filter(|other| self.now - self.last_disconnected[node][*other] > STABLE_AFTER_S)
            .count()
    }

    /// Returns whether a node runs, and the nodes without a stable connection to it do not form a quorum.
    fn is_healthy(&self, node: usize) -> bool {
        let required = self.nodes.len() - (self.nodes.len() / 2 + 1);
        self.is_running(node) && self.count_stable_connections(node) >= required
    }

    /// Records the violations that an observer shows. `before` holds its stages before this step.
    fn check_stages(&mut self, observer: usize, before: &[Stage]) {
        for controller in (0..self.nodes.len()).filter(|controller| *controller != observer) {
            let stage = self.nodes[observer].detector.stage(&controller);
            let newly_confirmed =
                stage >= Stage::Confirmed && before[controller] < Stage::Confirmed;
            if newly_confirmed && self.is_healthy(controller) {
                self.violations.insert("confirmed though it is healthy");
            }
            let overdue = self.not_running_since[controller]
                .filter(|since| self.now - since > CONFIRMED_WITHIN_S);
            let quorum = self.nodes.len() / 2 + 1;
            let has_quorum = self.count_stable_connections(observer) + 1 >= quorum;
            if overdue.is_some() && has_quorum && stage < Stage::Confirmed {
                self.violations.insert("not confirmed in time");
            }
            let links_deliver = self.link_delivers(controller, observer)
                && self.link_delivers(observer, controller);
            let has_just_resumed = self.now - self.last_not_running[observer] < STEP_S * 1.5;
            if stage >= Stage::Suspected
                && before[controller] == Stage::Alive
                && has_just_resumed
                && links_deliver
            {
                self.violations
                    .insert("suspected after the observer's own pause");
            }
        }
    }

    fn step(&mut self) {
        let count = self.nodes.len();
        self.now += STEP_S;
        for node in 0..count {
            for other in (0..count).filter(|other| *other != node) {
                if !self.are_connected(node, other) {
                    self.last_disconnected[node][other] = self.now;
                }
            }
            self.not_running_since[node] =
                (!self.is_running(node)).then(|| self.not_running_since[node].unwrap_or(self.now));
            if !self.is_running(node) {
                self.last_not_running[node] = self.now;
            } else {
                let now = self.now;
                self.nodes[node].detector.begin_step(now);
            }
        }
        self.deliver_due_messages();
        for node in (0..count)
            .filter(|node| self.is_running(*node))
            .collect::<Vec<_>>()
        {
            let before: Vec<Stage> = (0..count)
                .map(|controller| self.nodes[node].detector.stage(&controller))
                .collect();
            self.nodes[node].detector.update_stages(self.now);
            self.send_due_heartbeats(node);
            self.check_stages(node, &before);
        }
    }

    fn run(mut self) -> BTreeSet<&'static str> {
        let mut next_fault = self.rng.random_range(5.0..12.0);
        while self.now < DURATION_S {
            if self.now >= next_fault {
                self.inject_fault();
                next_fault = self.now + self.rng.random_range(1.0..18.0);
            }
            self.step();
        }
        self.violations
    }
}

fn settings(controllers: usize) -> Settings {
    Settings::new(HEARTBEAT_S, SUSPECT_HEARTBEATS, controllers)
}

/// Runs a range of schedules and returns how many of them showed each violation. The environment variable
/// `DETECTOR_SCHEDULES=from-to` selects other schedules.
fn count_violations(change: impl Fn(&mut Settings)) -> BTreeMap<&'static str, usize> {
    let schedules = std::env::var("DETECTOR_SCHEDULES").unwrap_or_else(|_| "1-300".into());
    let (from, to) = schedules.split_once('-').expect("from-to");
    let mut found = BTreeMap::new();
    for seed in from.parse::<u64>().expect("a number")..=to.parse().expect("a number") {
        let count = if seed % 2 == 0 { 3 } else { 5 };
        let mut settings = settings(count);
        change(&mut settings);
        for violation in Simulation::new(seed, count, settings).run() {
            println!("schedule {seed}: {violation}");
            *found.entry(violation).or_default() += 1;
        }
    }
    found
}

#[test]
fn failures_are_confirmed_in_time_and_healthy_controllers_never_are() {
    assert_eq!(count_violations(|_| {}), BTreeMap::new());
}

#[test]
fn without_a_quorum_one_blocked_link_confirms_a_failure() {
    assert!(
        count_violations(|settings| settings.quorum = 1)
            .contains_key("confirmed though it is healthy")
    );
}

/// Nodes 3 and 4 of five receive nothing, and the link between 0 and 1 is blocked. Node 0 must not confirm
/// the failure of node 1, which node 2 can reach.
#[test]
fn opinions_of_isolated_observers_confirm_a_failure_wrongly() {
    let confirmed = |shares_opinions_when_isolated: bool| {
        let settings = Settings {
            shares_opinions_when_isolated,
            ..settings(5)
        };
        let mut simulation = Simulation::new(1, 5, settings);
        for (from, to) in [(0, 1), (1, 0)] {
            simulation.block_link(from, to, DURATION_S);
        }
        for isolated in [3, 4] {
            (0..5).for_each(|from| simulation.block_link(from, isolated, DURATION_S));
        }
        while simulation.now < 10.0 {
            simulation.step();
        }
        simulation.nodes[0].detector.stage(&1) >= Stage::Confirmed
    };
    assert!(confirmed(true));
    assert!(!confirmed(false));
}

#[test]
fn observer_that_ignores_its_own_pause_suspects_others() {
    let found = count_violations(|settings| settings.process_pause_s = f64::INFINITY);
    assert!(
        found.contains_key("suspected after the observer's own pause"),
        "{found:?}"
    );
}

#[test]
fn unreachable_quorum_confirms_no_failure_in_time() {
    assert!(count_violations(|settings| settings.quorum = 6).contains_key("not confirmed in time"));
}
