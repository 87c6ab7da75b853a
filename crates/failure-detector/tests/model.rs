//! Simulations of three and five observers in a network with delays, retransmissions, pauses, restarts and
//! cuts in one direction, drawn from seeds. *Completeness*: a controller that stops or pauses is confirmed
//! failed within a stated time by every healthy observer. *Accuracy*: a controller that runs and is connected
//! to enough others is never confirmed failed.
//!
//! A fault that these simulations found: an observer that was cut off while a controller restarted kept the
//! process that it had heard last, counted no votes about the next one, and never confirmed its failure.
//!
//! The last tests show that each rule is needed: they disable the quorum, the rule that isolated observers
//! share no opinions, the observer's detection of its own pauses, and confirmation itself (with a quorum that
//! can't be reached).

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
/// Judgements depend on no more than this time before them.
const MEMORY_S: f64 = 9.0;

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
    at: f64,
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
    /// Links from one node to another that pass nothing, and until when.
    cuts: BTreeMap<(usize, usize), f64>,
    loss: f64,
    /// When two nodes were last not connected, or one of them did not run.
    last_apart: Vec<Vec<f64>>,
    /// Since when each node has not run, if it does not.
    not_running_since: Vec<Option<f64>>,
    /// When each node last did not run.
    last_paused: Vec<f64>,
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
            cuts: BTreeMap::new(),
            loss: 0.0,
            last_apart: vec![vec![f64::NEG_INFINITY; count]; count],
            not_running_since: vec![None; count],
            last_paused: vec![f64::NEG_INFINITY; count],
            violations: BTreeSet::new(),
        }
    }

    fn runs(&self, node: usize) -> bool {
        self.now >= self.nodes[node].stopped_until && self.now >= self.nodes[node].paused_until
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        self.cuts
            .get(&(from, to))
            .is_none_or(|until| self.now >= *until)
    }

    fn send(&mut self, from: usize, to: usize, sent: f64, message: Message) {
        if !self.passes(from, to) {
            return;
        }
        let mut delay = self.rng.random_range(0.001..0.02);
        // A lost packet is retransmitted; an answer still arrives within the timeout.
        if self.rng.random_bool(self.loss) {
            delay += self.rng.random_range(0.2..0.37);
        }
        self.messages.push(Envelope {
            at: self.now + delay,
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
            2 => self.cut(node, other, until),
            3 => (0..count).for_each(|from| self.cut(from, node, until)),
            4 => (0..count).for_each(|to| self.cut(node, to, until)),
            5 => (0..count).for_each(|one| self.nodes[one].paused_until = until),
            _ => self.loss = self.rng.random_range(0.0..0.3),
        }
    }

    fn cut(&mut self, from: usize, to: usize, until: f64) {
        self.cuts.insert((from, to), until);
    }

    fn restart(&mut self, node: usize, back: f64) {
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        let incarnation = Incarnation(self.rng.random());
        let fresh = Detector::new(others.collect::<Vec<_>>(), self.settings);
        let next_heartbeat = BTreeMap::new();
        self.nodes[node] = Node {
            detector: fresh,
            incarnation,
            stopped_until: back,
            paused_until: 0.0,
            next_heartbeat,
        };
        self.messages.retain(|envelope| envelope.to != node);
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|envelope| envelope.at <= self.now && self.runs(envelope.to));
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

    fn heartbeats(&mut self, from: usize) {
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

    /// Whether two nodes run and reach each other.
    fn are_connected(&self, one: usize, other: usize) -> bool {
        let runs = self.runs(one) && self.runs(other);
        runs && self.passes(one, other) && self.passes(other, one)
    }

    /// The number of nodes that have been connected to a node for long.
    fn connected_for_long(&self, node: usize) -> usize {
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        others
            .filter(|other| self.now - self.last_apart[node][*other] > MEMORY_S)
            .count()
    }

    /// Whether a node runs and the nodes not connected to it for long are no quorum.
    fn is_healthy(&self, node: usize) -> bool {
        let enough = self.nodes.len() - (self.nodes.len() / 2 + 1);
        self.runs(node) && self.connected_for_long(node) >= enough
    }

    fn check(&mut self, observer: usize, before: &[Stage]) {
        for of in (0..self.nodes.len()).filter(|of| *of != observer) {
            let stage = self.nodes[observer].detector.stage(&of);
            let newly = stage >= Stage::Confirmed && before[of] < Stage::Confirmed;
            if newly && self.is_healthy(of) {
                self.violations.insert("confirmed though it is healthy");
            }
            let stopped =
                self.not_running_since[of].filter(|since| self.now - since > CONFIRMED_WITHIN_S);
            let quorum = self.nodes.len() / 2 + 1;
            let has_quorum = self.connected_for_long(observer) + 1 >= quorum;
            if stopped.is_some() && has_quorum && stage < Stage::Confirmed {
                self.violations.insert("not confirmed in time");
            }
            let direct = self.passes(of, observer) && self.passes(observer, of);
            let woke = self.now - self.last_paused[observer] < STEP_S * 1.5;
            if stage >= Stage::Suspected && before[of] == Stage::Alive && woke && direct {
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
                    self.last_apart[node][other] = self.now;
                }
            }
            self.not_running_since[node] =
                (!self.runs(node)).then(|| self.not_running_since[node].unwrap_or(self.now));
            if !self.runs(node) {
                self.last_paused[node] = self.now;
            } else {
                let now = self.now;
                self.nodes[node].detector.begin_step(now);
            }
        }
        self.deliver();
        for node in (0..count)
            .filter(|node| self.runs(*node))
            .collect::<Vec<_>>()
        {
            let before: Vec<Stage> = (0..count)
                .map(|of| self.nodes[node].detector.stage(&of))
                .collect();
            self.nodes[node].detector.update_stages(self.now);
            self.heartbeats(node);
            self.check(node, &before);
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

/// The violations found by a number of schedules, and how often. The environment variable
/// `DETECTOR_SCHEDULES=from-to` selects other schedules.
fn violations(change: impl Fn(&mut Settings)) -> BTreeMap<&'static str, usize> {
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
    assert_eq!(violations(|_| {}), BTreeMap::new());
}

#[test]
fn without_a_quorum_one_broken_link_confirms_a_failure() {
    assert!(
        violations(|settings| settings.quorum = 1).contains_key("confirmed though it is healthy")
    );
}

/// Two of five nodes receive nothing, and the link between two others is cut: 0 must not confirm the failure
/// of 1, which 2 hears.
#[test]
fn isolated_observers_that_share_opinions_confirm_a_failure_wrongly() {
    let confirmed = |shares_opinions_when_isolated: bool| {
        let settings = Settings {
            shares_opinions_when_isolated,
            ..settings(5)
        };
        let mut simulation = Simulation::new(1, 5, settings);
        for (from, to) in [(0, 1), (1, 0)] {
            simulation.cut(from, to, DURATION_S);
        }
        for deaf in [3, 4] {
            (0..5).for_each(|from| simulation.cut(from, deaf, DURATION_S));
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
fn an_observer_that_ignores_its_own_pause_suspects_others() {
    let found = violations(|settings| settings.process_pause_s = f64::INFINITY);
    assert!(
        found.contains_key("suspected after the observer's own pause"),
        "{found:?}"
    );
}

#[test]
fn a_quorum_that_cannot_be_reached_confirms_nothing_in_time() {
    assert!(violations(|settings| settings.quorum = 6).contains_key("not confirmed in time"));
}
