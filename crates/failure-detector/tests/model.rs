//! Three and five observers in a simulated network with delays, lost packets that are sent again, standstills, restarts and cuts in
//! one direction, drawn from seeds. *Completeness*: who ends or stands still is confirmed within a stated
//! time by everybody who is well. *Accuracy*: who lives and is reached by enough others never is.
//!
//! Found by it: an observer that was cut off while a controller restarted kept to the process that it had heard
//! last, took no vote about the next one, and never confirmed its failure.
//!
//! Guards that were taken out, each found by the test named for it: the quorum, the rule that who hears
//! nobody tells nothing, the standstill of the observer, confirmation at all (a quorum nobody can reach).

use failure_detector::{Detector, Incarnation, Opinion, SUSPECT_HEARTBEATS, Settings, Stage};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const HEARTBEAT_S: f64 = 0.5;
const DEADLINE_S: f64 = 0.8;
const STEP_S: f64 = 0.05;
const PLAY_S: f64 = 60.0;
/// Who has failed is confirmed within this time: 15 heartbeats.
const CONFIRMED_WITHIN_S: f64 = 7.5;
/// Judgements rest on what was so within this time.
const REMEMBERED_S: f64 = 9.0;

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
    down_until: f64,
    still_until: f64,
    next_heartbeat: BTreeMap<usize, f64>,
}

struct Play {
    now: f64,
    rng: StdRng,
    settings: Settings,
    nodes: Vec<Node>,
    messages: Vec<Envelope>,
    /// From whom to whom nothing passes, until when.
    cuts: BTreeMap<(usize, usize), f64>,
    loss: f64,
    /// When two of them last did not reach each other, or one of them did not run.
    apart: Vec<Vec<f64>>,
    /// Since when each has not run, if so.
    stopped: Vec<Option<f64>>,
    /// When each last stood still.
    still: Vec<f64>,
    found: BTreeSet<&'static str>,
}

impl Play {
    fn new(seed: u64, count: usize, settings: Settings) -> Self {
        let nodes = (0..count).map(|index| Node {
            detector: Detector::new((0..count).filter(|other| *other != index), settings),
            incarnation: Incarnation(100 + index as u64),
            down_until: 0.0,
            still_until: 0.0,
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
            apart: vec![vec![f64::NEG_INFINITY; count]; count],
            stopped: vec![None; count],
            still: vec![f64::NEG_INFINITY; count],
            found: BTreeSet::new(),
        }
    }

    fn runs(&self, node: usize) -> bool {
        self.now >= self.nodes[node].down_until && self.now >= self.nodes[node].still_until
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
        // A packet that is lost is sent again; an answer still comes within its deadline.
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

    fn trouble(&mut self) {
        let count = self.nodes.len();
        let node = self.rng.random_range(0..count);
        let other = (node + self.rng.random_range(1..count)) % count;
        let until = self.now + self.rng.random_range(2.0..15.0);
        match self.rng.random_range(0..7) {
            0 => self.restart(node, until),
            1 => self.nodes[node].still_until = until,
            2 => self.cut(node, other, until),
            3 => (0..count).for_each(|from| self.cut(from, node, until)),
            4 => (0..count).for_each(|to| self.cut(node, to, until)),
            5 => (0..count).for_each(|one| self.nodes[one].still_until = until),
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
            down_until: back,
            still_until: 0.0,
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
                    node.detector.opinions(&from, opinions, now);
                    let incarnation = node.incarnation;
                    let opinions = node.detector.opinions_to_tell(now);
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
                } if now - sent < DEADLINE_S => {
                    node.detector
                        .heartbeat_answered(&from, incarnation, sent, now);
                    node.detector.opinions(&from, opinions, now);
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
            *next = self.now + DEADLINE_S;
            let opinions = self.nodes[from].detector.opinions_to_tell(self.now);
            self.send(from, to, self.now, Message::Heartbeat { opinions });
        }
    }

    /// Whether two run and reach each other.
    fn in_touch(&self, one: usize, other: usize) -> bool {
        let runs = self.runs(one) && self.runs(other);
        runs && self.passes(one, other) && self.passes(other, one)
    }

    /// Those that have been in touch with a node for long.
    fn in_touch_for_long(&self, node: usize) -> usize {
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        others
            .filter(|other| self.now - self.apart[node][*other] > REMEMBERED_S)
            .count()
    }

    /// Whether so many others have been in touch with it for long that the rest are no quorum.
    fn is_well(&self, node: usize) -> bool {
        let enough = self.nodes.len() - (self.nodes.len() / 2 + 1);
        self.runs(node) && self.in_touch_for_long(node) >= enough
    }

    fn check(&mut self, observer: usize, before: &[Stage]) {
        for of in (0..self.nodes.len()).filter(|of| *of != observer) {
            let stage = self.nodes[observer].detector.stage(&of);
            let newly = stage >= Stage::Confirmed && before[of] < Stage::Confirmed;
            if newly && self.is_well(of) {
                self.found.insert("confirmed though it is well");
            }
            let stopped = self.stopped[of].filter(|since| self.now - since > CONFIRMED_WITHIN_S);
            let quorum = self.nodes.len() / 2 + 1;
            let has_quorum = self.in_touch_for_long(observer) + 1 >= quorum;
            if stopped.is_some() && has_quorum && stage < Stage::Confirmed {
                self.found.insert("not confirmed in time");
            }
            let direct = self.passes(of, observer) && self.passes(observer, of);
            let woke = self.now - self.still[observer] < STEP_S * 1.5;
            if stage >= Stage::Suspected && before[of] == Stage::Alive && woke && direct {
                self.found.insert("suspected by who stood still");
            }
        }
    }

    fn step(&mut self) {
        let count = self.nodes.len();
        self.now += STEP_S;
        for node in 0..count {
            for other in (0..count).filter(|other| *other != node) {
                if !self.in_touch(node, other) {
                    self.apart[node][other] = self.now;
                }
            }
            self.stopped[node] = (!self.runs(node)).then(|| self.stopped[node].unwrap_or(self.now));
            if !self.runs(node) {
                self.still[node] = self.now;
            } else {
                let now = self.now;
                self.nodes[node].detector.step(now);
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
            self.nodes[node].detector.judge(self.now);
            self.heartbeats(node);
            self.check(node, &before);
        }
    }

    fn run(mut self) -> BTreeSet<&'static str> {
        let mut next_trouble = self.rng.random_range(5.0..12.0);
        while self.now < PLAY_S {
            if self.now >= next_trouble {
                self.trouble();
                next_trouble = self.now + self.rng.random_range(1.0..18.0);
            }
            self.step();
        }
        self.found
    }
}

fn settings(controllers: usize) -> Settings {
    Settings::new(HEARTBEAT_S, SUSPECT_HEARTBEATS, controllers)
}

/// What a number of schedules find. More by hand: `DETECTOR_SCHEDULES=from-to`.
fn found(change: impl Fn(&mut Settings)) -> BTreeMap<&'static str, usize> {
    let schedules = std::env::var("DETECTOR_SCHEDULES").unwrap_or_else(|_| "1-300".into());
    let (from, to) = schedules.split_once('-').expect("from-to");
    let mut found = BTreeMap::new();
    for seed in from.parse::<u64>().expect("a number")..=to.parse().expect("a number") {
        let count = if seed % 2 == 0 { 3 } else { 5 };
        let mut settings = settings(count);
        change(&mut settings);
        for what in Play::new(seed, count, settings).run() {
            println!("schedule {seed}: {what}");
            *found.entry(what).or_default() += 1;
        }
    }
    found
}

#[test]
fn who_has_failed_is_confirmed_in_time_and_who_is_well_never() {
    assert_eq!(found(|_| {}), BTreeMap::new());
}

#[test]
fn without_a_quorum_one_broken_link_confirms_a_failure() {
    assert!(found(|settings| settings.quorum = 1).contains_key("confirmed though it is well"));
}

/// Nothing reaches two of five, and one link between two others is cut: 0 must not confirm the failure of 1,
/// which 2 hears.
#[test]
fn if_those_who_hear_nobody_tell_their_opinions_they_confirm_a_failure() {
    let confirmed = |alone_tells: bool| {
        let settings = Settings {
            alone_tells,
            ..settings(5)
        };
        let mut play = Play::new(1, 5, settings);
        for (from, to) in [(0, 1), (1, 0)] {
            play.cut(from, to, PLAY_S);
        }
        for deaf in [3, 4] {
            (0..5).for_each(|from| play.cut(from, deaf, PLAY_S));
        }
        while play.now < 10.0 {
            play.step();
        }
        play.nodes[0].detector.stage(&1) >= Stage::Confirmed
    };
    assert!(confirmed(true));
    assert!(!confirmed(false));
}

#[test]
fn without_noticing_its_own_standstill_an_observer_suspects_others() {
    let found = found(|settings| settings.standstill_s = f64::INFINITY);
    assert!(
        found.contains_key("suspected by who stood still"),
        "{found:?}"
    );
}

#[test]
fn a_quorum_that_nobody_can_reach_confirms_nothing_in_time() {
    assert!(found(|settings| settings.quorum = 6).contains_key("not confirmed in time"));
}
