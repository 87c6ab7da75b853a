//! What one observer knows of one other controller.

use crate::interval::IntervalEstimate;
use crate::local_health::LocalHealth;
use crate::opinion::StoredOpinion;
use crate::{Incarnation, Seconds, Settings};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Factor by which each refuted suspicion raises the threshold.
const REFUTATION_FACTOR: f64 = 1.5;
/// Refuted suspicions beyond this many raise the threshold no further.
const MAX_REFUTATIONS: u32 = 8;

/// How far the failure of a controller is established.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It has answered recently.
    Alive,
    /// This observer gets no answers from it.
    Suspected,
    /// A quorum of observers gets no answers from it, or this observer gets none and its key in the store is
    /// gone.
    Confirmed,
    /// Confirmed, and it owns nothing any more.
    HandedOver,
}

/// What the judgement of a controller is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// The judgement.
    pub stage: Stage,
    /// The process that last answered.
    pub incarnation: Option<Incarnation>,
    /// How long its answers have been missing.
    pub silence_s: Seconds,
    /// The silence after which this observer suspects it.
    pub threshold_s: Seconds,
    /// How long ago a message of its own arrived, if one did.
    pub last_message_s: Option<Seconds>,
    /// Observers that suspect it, this one included.
    pub votes: usize,
    /// Whether its key in the key-value store is gone.
    pub key_gone: bool,
    /// Whether workers that left it recently reached the observer.
    pub workers_left: bool,
}

/// The circumstances in which an observer judges its peers.
#[derive(Debug)]
pub struct EvaluationContext<'a> {
    settings: &'a Settings,
    /// The factor by which the observer's own slowness raises thresholds.
    threshold_factor: f64,
    /// Silence before this time does not count.
    silence_counts_from: Seconds,
    now: Seconds,
}

impl<'a> EvaluationContext<'a> {
    /// The circumstances at the time `now`.
    pub fn new(settings: &'a Settings, health: &LocalHealth, now: Seconds) -> Self {
        Self {
            settings,
            threshold_factor: health.threshold_factor(),
            silence_counts_from: health.silence_counts_from(),
            now,
        }
    }
}

/// One controller, as an observer knows it.
#[derive(Debug)]
pub struct Peer<C> {
    incarnation: Option<Incarnation>,
    /// When the heartbeat was sent that it last answered.
    last_answered_sent: Seconds,
    /// When its last answer arrived.
    last_answer: Option<Seconds>,
    /// When a message of its own last arrived.
    last_message: Option<Seconds>,
    answer_interval: IntervalEstimate,
    /// Suspicions of the present process that turned out to be wrong.
    refutations: u32,
    last_refutation: Seconds,
    key_gone: bool,
    owns_nothing: bool,
    last_worker_left: Option<Seconds>,
    opinions: BTreeMap<C, StoredOpinion>,
    stage: Stage,
}

impl<C: Ord + Clone> Peer<C> {
    /// A controller of which nothing is known yet.
    pub fn new() -> Self {
        Self {
            incarnation: None,
            last_answered_sent: Seconds::NEG_INFINITY,
            last_answer: None,
            last_message: None,
            answer_interval: IntervalEstimate::default(),
            refutations: 0,
            last_refutation: Seconds::NEG_INFINITY,
            key_gone: false,
            owns_nothing: false,
            last_worker_left: None,
            opinions: BTreeMap::new(),
            stage: Stage::Alive,
        }
    }

    /// Records the answer to the heartbeat sent at `sent`. An answer to an earlier heartbeat than the last
    /// answered one is ignored: it may be of an earlier process.
    pub fn heartbeat_answered(&mut self, incarnation: Incarnation, sent: Seconds, now: Seconds) {
        if sent < self.last_answered_sent {
            return;
        }
        self.last_answered_sent = sent;
        if self.incarnation == Some(incarnation) {
            self.same_process_answered(now);
        } else {
            self.new_process_answered();
        }
        self.incarnation = Some(incarnation);
        self.last_answer = Some(now);
    }

    fn same_process_answered(&mut self, now: Seconds) {
        if let Some(previous) = self.last_answer {
            self.answer_interval.add(now - previous);
        }
        if self.stage >= Stage::Suspected {
            self.refutations += 1;
            self.last_refutation = now;
        }
    }

    fn new_process_answered(&mut self) {
        self.answer_interval = IntervalEstimate::default();
        self.last_worker_left = None;
        self.refutations = 0;
    }

    /// Records that a message of its own arrived.
    pub fn message_received(&mut self, now: Seconds) {
        self.last_message = Some(now);
    }

    /// Records that a worker left it.
    pub fn worker_left(&mut self, now: Seconds) {
        self.last_worker_left = Some(now);
    }

    /// Records an observer's opinion in place of its previous one.
    pub fn receive_opinion(&mut self, from: &C, opinion: StoredOpinion) {
        self.opinions.insert(from.clone(), opinion);
    }

    /// Sets whether its key in the key-value store is gone.
    pub fn set_key_gone(&mut self, gone: bool) {
        self.key_gone = gone;
    }

    /// Sets whether it owns nothing any more.
    pub fn set_owns_nothing(&mut self, owns_nothing: bool) {
        self.owns_nothing = owns_nothing;
    }

    /// The last opinion of each other observer.
    pub fn opinions(&self) -> impl Iterator<Item = (&C, &StoredOpinion)> {
        self.opinions.iter()
    }

    /// The process that last answered.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// The last judgement.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// How long its answers have been missing, as far as silence counts.
    pub fn silence(&self, context: &EvaluationContext) -> Seconds {
        let counts_from = context.silence_counts_from;
        let last_answer = self.last_answer.unwrap_or(counts_from);
        context.now - last_answer.max(counts_from)
    }

    /// Whether it answered within its threshold, even if the observer has paused since.
    pub fn has_answered_recently(&self, context: &EvaluationContext) -> bool {
        let threshold = self.threshold(context);
        self.last_answer
            .is_some_and(|answer| context.now - answer < threshold)
    }

    /// The silence after which it is suspected.
    fn threshold(&self, context: &EvaluationContext) -> Seconds {
        let settings = context.settings;
        let least = if self.has_lost_workers(context) {
            settings.suspect_corroborated_after_s
        } else {
            settings.suspect_after_s
        };
        let usual = least.max(self.answer_interval.longest_usual());
        let raised = usual * context.threshold_factor * self.refutation_factor(context);
        raised.min(settings.max_suspect_after_s)
    }

    fn has_lost_workers(&self, context: &EvaluationContext) -> bool {
        self.last_worker_left
            .is_some_and(|left| context.now - left < context.settings.suspect_after_s)
    }

    /// The factor by which refuted suspicions raise the threshold: a controller that was suspected wrongly is
    /// suspected more slowly for a while.
    fn refutation_factor(&self, context: &EvaluationContext) -> f64 {
        let settings = context.settings;
        if context.now - self.last_refutation > settings.refutation_ttl_s {
            return 1.0;
        }
        // The cap makes the conversion lossless.
        REFUTATION_FACTOR
            .powi(self.refutations.min(MAX_REFUTATIONS) as i32)
            .min(settings.max_threshold_factor)
    }

    /// Observers that get no answers from any process of it; `own` says whether this one does not. Old
    /// opinions do not count. Which process an observer heard last does not matter: it may have been cut off
    /// while the controller restarted.
    fn votes(&self, own: bool, context: &EvaluationContext) -> usize {
        let ttl = context.settings.opinion_ttl_s;
        let counts =
            |opinion: &&StoredOpinion| opinion.suspects && context.now - opinion.received_at < ttl;
        usize::from(own) + self.opinions.values().filter(counts).count()
    }

    /// Judges it again and returns the new judgement.
    pub fn update_stage(&mut self, context: &EvaluationContext) -> Stage {
        self.stage = self.determine_stage(context);
        self.stage
    }

    fn determine_stage(&self, context: &EvaluationContext) -> Stage {
        let is_suspected = self.silence(context) > self.threshold(context);
        if !is_suspected {
            return Stage::Alive;
        }
        let has_quorum = self.votes(true, context) >= context.settings.quorum;
        match (self.key_gone || has_quorum, self.owns_nothing) {
            (false, _) => Stage::Suspected,
            (true, false) => Stage::Confirmed,
            (true, true) => Stage::HandedOver,
        }
    }

    /// What the judgement is based on.
    pub fn evidence(&self, context: &EvaluationContext) -> Evidence {
        Evidence {
            stage: self.stage,
            incarnation: self.incarnation,
            silence_s: self.silence(context),
            threshold_s: self.threshold(context),
            last_message_s: self.last_message.map(|message| context.now - message),
            votes: self.votes(self.stage >= Stage::Suspected, context),
            key_gone: self.key_gone,
            workers_left: self.has_lost_workers(context),
        }
    }
}
