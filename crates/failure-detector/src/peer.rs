//! The evidence that one observer has about one other controller, and the rules that determine its stage.

use crate::interval::IntervalEstimate;
use crate::local_health::LocalHealth;
use crate::opinion::StoredOpinion;
use crate::{Incarnation, Seconds, Settings};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Factor by which each refuted suspicion raises the threshold.
const REFUTATION_FACTOR: f64 = 1.5;
/// Number of refuted suspicions beyond which further ones do not raise the threshold.
const MAX_REFUTATIONS: u32 = 8;

/// How far an observer has established the failure of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The controller has answered recently.
    Alive,
    /// This observer receives no answers from the controller.
    Suspected,
    /// A quorum of observers receives no answers from the controller; or this observer receives none, and
    /// the controller's key is missing from the store.
    Confirmed,
    /// The failure is confirmed, and the controller owns no team and no machine any more.
    HandedOver,
}

/// The evidence for the stage of a controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// Stage of the controller when it was last determined.
    pub stage: Stage,
    /// Process of the controller that answered last. None if none has.
    pub incarnation: Option<Incarnation>,
    /// How long the controller's answers have been missing.
    pub silence_s: Seconds,
    /// Silence after which this observer suspects the controller.
    pub threshold_s: Seconds,
    /// How long ago a message arrived that the controller sent on its own initiative. None if none has.
    pub last_message_s: Option<Seconds>,
    /// Number of observers that suspect the controller, this one included.
    pub votes: usize,
    /// Whether the controller's key is missing from the key-value store.
    pub key_gone: bool,
    /// Whether workers of the controller have recently switched to the observer.
    pub workers_left: bool,
}

/// The observer's settings, its own health and the time, with which it determines the stages of its peers.
#[derive(Debug)]
pub struct EvaluationContext<'a> {
    settings: &'a Settings,
    /// Factor by which thresholds are raised because the observer is slow.
    threshold_factor: f64,
    /// Silence before this time does not count.
    silence_counts_from: Seconds,
    now: Seconds,
}

impl<'a> EvaluationContext<'a> {
    /// Creates the context of an evaluation at the time `now`.
    pub fn new(settings: &'a Settings, health: &LocalHealth, now: Seconds) -> Self {
        Self {
            settings,
            threshold_factor: health.threshold_factor(),
            silence_counts_from: health.silence_counts_from(),
            now,
        }
    }
}

/// The state that an observer keeps about one other controller.
#[derive(Debug)]
pub struct Peer<C> {
    incarnation: Option<Incarnation>,
    /// When the newest heartbeat that it has answered was sent.
    last_answered_sent: Seconds,
    /// When its last answer arrived.
    last_answer: Option<Seconds>,
    /// When a message that it sent on its own initiative last arrived.
    last_message: Option<Seconds>,
    answer_interval: IntervalEstimate,
    /// Number of suspicions of the present process that an answer refuted.
    refutations: u32,
    last_refutation: Seconds,
    key_gone: bool,
    owns_nothing: bool,
    last_worker_left: Option<Seconds>,
    opinions: BTreeMap<C, StoredOpinion>,
    stage: Stage,
}

impl<C: Ord + Clone> Peer<C> {
    /// Creates the state of a controller without any evidence.
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

    /// Records the answer to the heartbeat sent at `sent`. If a later heartbeat was already answered, this
    /// answer is ignored, since it may come from an earlier process.
    pub fn heartbeat_answered(&mut self, incarnation: Incarnation, sent: Seconds, now: Seconds) {
        if sent < self.last_answered_sent {
            return;
        }
        self.last_answered_sent = sent;
        if self.incarnation == Some(incarnation) {
            self.record_answer_of_same_process(now);
        } else {
            self.reset_for_new_process();
        }
        self.incarnation = Some(incarnation);
        self.last_answer = Some(now);
    }

    fn record_answer_of_same_process(&mut self, now: Seconds) {
        if let Some(previous) = self.last_answer {
            self.answer_interval.add(now - previous);
        }
        if self.stage >= Stage::Suspected {
            self.refutations += 1;
            self.last_refutation = now;
        }
    }

    fn reset_for_new_process(&mut self) {
        self.answer_interval = IntervalEstimate::default();
        self.last_worker_left = None;
        self.refutations = 0;
    }

    /// Records the arrival of a message that the controller sent on its own initiative.
    pub fn message_received(&mut self, now: Seconds) {
        self.last_message = Some(now);
    }

    /// Records that a worker of the controller has switched to the observer.
    pub fn worker_left(&mut self, now: Seconds) {
        self.last_worker_left = Some(now);
    }

    /// Replaces the stored opinion of an observer.
    pub fn receive_opinion(&mut self, from: &C, opinion: StoredOpinion) {
        self.opinions.insert(from.clone(), opinion);
    }

    /// Sets whether the controller's key is missing from the key-value store.
    pub fn set_key_gone(&mut self, gone: bool) {
        self.key_gone = gone;
    }

    /// Sets whether the controller owns no team and no machine any more.
    pub fn set_owns_nothing(&mut self, owns_nothing: bool) {
        self.owns_nothing = owns_nothing;
    }

    /// Returns the last opinion of each other observer.
    pub fn opinions(&self) -> impl Iterator<Item = (&C, &StoredOpinion)> {
        self.opinions.iter()
    }

    /// Returns the process that answered last.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns the stage as of the last update.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns how long its answers have been missing. Silence during a pause of the observer does not count.
    pub fn silence(&self, context: &EvaluationContext) -> Seconds {
        let counts_from = context.silence_counts_from;
        let last_answer = self.last_answer.unwrap_or(counts_from);
        context.now - last_answer.max(counts_from)
    }

    /// Returns whether it answered within its threshold. The time of a pause of the observer counts here.
    pub fn has_answered_recently(&self, context: &EvaluationContext) -> bool {
        let threshold = self.threshold(context);
        self.last_answer
            .is_some_and(|answer| context.now - answer < threshold)
    }

    /// Returns the silence after which the controller is suspected.
    fn threshold(&self, context: &EvaluationContext) -> Seconds {
        let settings = context.settings;
        let minimum = if self.has_lost_workers(context) {
            settings.suspect_corroborated_after_s
        } else {
            settings.suspect_after_s
        };
        let usual = minimum.max(self.answer_interval.longest_usual());
        let raised = usual * context.threshold_factor * self.refutation_factor(context);
        raised.min(settings.max_suspect_after_s)
    }

    fn has_lost_workers(&self, context: &EvaluationContext) -> bool {
        self.last_worker_left
            .is_some_and(|left| context.now - left < context.settings.suspect_after_s)
    }

    /// Returns the factor by which refuted suspicions raise the threshold. A controller that was suspected
    /// wrongly has a higher threshold until the refutations expire.
    fn refutation_factor(&self, context: &EvaluationContext) -> f64 {
        let settings = context.settings;
        if context.now - self.last_refutation > settings.refutation_ttl_s {
            return 1.0;
        }
        // The limit on refutations makes the conversion lossless.
        REFUTATION_FACTOR
            .powi(self.refutations.min(MAX_REFUTATIONS) as i32)
            .min(settings.max_threshold_factor)
    }

    /// Returns the number of observers that receive no answers from any process of the controller.
    /// `own_vote` states whether this observer is one of them. Expired opinions do not count. Votes count
    /// whichever process answered the observer last, since the observer may have been disconnected while the
    /// controller restarted.
    fn votes(&self, own_vote: bool, context: &EvaluationContext) -> usize {
        let ttl = context.settings.opinion_ttl_s;
        let counts =
            |opinion: &&StoredOpinion| opinion.suspects && context.now - opinion.received_at < ttl;
        usize::from(own_vote) + self.opinions.values().filter(counts).count()
    }

    /// Determines the stage again and returns it.
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

    /// Returns the evidence for the stage.
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
