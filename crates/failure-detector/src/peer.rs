//! What one observer knows of one other controller.

use crate::interval::UsualInterval;
use crate::opinion::Received;
use crate::{Incarnation, Seconds, Settings};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How far the failure of a controller is established.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It has answered lately.
    Alive,
    /// This observer does not hear it.
    Suspected,
    /// A quorum of observers does not hear it, or this one does not and its key has gone.
    Confirmed,
    /// Confirmed, and nothing is its own any more.
    HandedOver,
}

/// Why a controller is judged as it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// The judgement.
    pub stage: Stage,
    /// The process that was heard last.
    pub incarnation: Option<Incarnation>,
    /// How long its answers have been missing.
    pub silence_s: Seconds,
    /// The silence after which this observer suspects it.
    pub threshold_s: Seconds,
    /// How long ago one of its own messages arrived, if one did.
    pub last_message_s: Option<Seconds>,
    /// Observers that suspect it, the own one among them.
    pub votes: usize,
    /// Whether its key in the state service has gone.
    pub key_gone: bool,
    /// Workers that left it were here lately.
    pub workers_left: bool,
}

/// One controller, as an observer knows it.
#[derive(Debug)]
pub struct Peer<C> {
    incarnation: Option<Incarnation>,
    /// When the heartbeat was sent that it answered last.
    answered_sent: Seconds,
    /// When its last answer arrived.
    heard: Option<Seconds>,
    /// When its last own message arrived.
    received: Option<Seconds>,
    usual: UsualInterval,
    /// Suspicions of a process that turned out to live, and when the last one did.
    refuted: u32,
    refuted_at: Seconds,
    pub key_gone: bool,
    pub owns_nothing: bool,
    workers_left: Option<Seconds>,
    opinions: BTreeMap<C, Received>,
    pub stage: Stage,
}

impl<C: Ord + Clone> Peer<C> {
    pub fn new() -> Self {
        Self {
            incarnation: None,
            answered_sent: Seconds::NEG_INFINITY,
            heard: None,
            received: None,
            usual: UsualInterval::default(),
            refuted: 0,
            refuted_at: Seconds::NEG_INFINITY,
            key_gone: false,
            owns_nothing: false,
            workers_left: None,
            opinions: BTreeMap::new(),
            stage: Stage::Alive,
        }
    }

    /// It answered a heartbeat that was sent at `sent`. An answer to an earlier one than the last says
    /// nothing: it may be of an earlier process.
    pub fn answered(&mut self, incarnation: Incarnation, sent: Seconds, now: Seconds) {
        if sent < self.answered_sent {
            return;
        }
        self.answered_sent = sent;
        let same_process = self.incarnation == Some(incarnation);
        if let Some(before) = self.heard.filter(|_| same_process) {
            self.usual.add(now - before);
        }
        if !same_process {
            self.usual = UsualInterval::default();
            self.workers_left = None;
            self.refuted = 0;
        }
        if same_process && self.stage >= Stage::Suspected {
            self.refuted += 1;
            self.refuted_at = now;
        }
        self.incarnation = Some(incarnation);
        self.heard = Some(now);
    }

    pub fn received(&mut self, now: Seconds) {
        self.received = Some(now);
    }

    pub fn workers_left(&mut self, now: Seconds) {
        self.workers_left = Some(now);
    }

    pub fn opinion(&mut self, from: &C, opinion: Received) {
        self.opinions.insert(from.clone(), opinion);
    }

    pub fn told(&self) -> impl Iterator<Item = (&C, &Received)> {
        self.opinions.iter()
    }

    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// How long it has not answered, not counting the time before `counts_from`.
    pub fn silence(&self, counts_from: Seconds, now: Seconds) -> Seconds {
        now - self.heard.unwrap_or(counts_from).max(counts_from)
    }

    /// Whether it answered within this time, whatever the observer did meanwhile.
    pub fn heard_within(&self, time: Seconds, now: Seconds) -> bool {
        self.heard.is_some_and(|heard| now - heard < time)
    }

    /// The silence after which it is suspected.
    pub fn threshold(&self, settings: &Settings, observer_stretch: f64, now: Seconds) -> Seconds {
        let least = match self.has_lost_workers(settings, now) {
            true => settings.suspect_corroborated_after_s,
            false => settings.suspect_after_s,
        };
        let usual = least.max(self.usual.longest());
        let stretched = usual * observer_stretch * self.damping(settings, now);
        stretched.min(settings.suspect_at_most_s)
    }

    fn has_lost_workers(&self, settings: &Settings, now: Seconds) -> bool {
        self.workers_left
            .is_some_and(|at| now - at < settings.suspect_after_s)
    }

    /// Who was suspected wrongly is suspected more slowly for a while.
    fn damping(&self, settings: &Settings, now: Seconds) -> f64 {
        if now - self.refuted_at > settings.refuted_lasts_s {
            return 1.0;
        }
        1.5_f64
            .powi(self.refuted.min(8) as i32)
            .min(settings.stretch_at_most)
    }

    /// Observers that hear no process of it, `own` if this one does not. What was said long ago does not
    /// count. Which process an observer heard last does not matter: it may have been cut off while
    /// the controller restarted.
    pub fn votes(&self, own: bool, settings: &Settings, now: Seconds) -> usize {
        let counts =
            |opinion: &&Received| opinion.suspects && now - opinion.at < settings.opinion_lasts_s;
        usize::from(own) + self.opinions.values().filter(counts).count()
    }

    /// Judges it anew.
    pub fn judge(
        &self,
        settings: &Settings,
        counts_from: Seconds,
        stretch: f64,
        now: Seconds,
    ) -> Stage {
        let suspected = self.silence(counts_from, now) > self.threshold(settings, stretch, now);
        if !suspected {
            return Stage::Alive;
        }
        let confirmed = self.key_gone || self.votes(true, settings, now) >= settings.quorum;
        match (confirmed, self.owns_nothing) {
            (false, _) => Stage::Suspected,
            (true, false) => Stage::Confirmed,
            (true, true) => Stage::HandedOver,
        }
    }

    pub fn evidence(
        &self,
        settings: &Settings,
        counts_from: Seconds,
        stretch: f64,
        now: Seconds,
    ) -> Evidence {
        Evidence {
            stage: self.stage,
            incarnation: self.incarnation,
            silence_s: self.silence(counts_from, now),
            threshold_s: self.threshold(settings, stretch, now),
            last_message_s: self.received.map(|at| now - at),
            votes: self.votes(self.stage >= Stage::Suspected, settings, now),
            key_gone: self.key_gone,
            workers_left: self.has_lost_workers(settings, now),
        }
    }
}
