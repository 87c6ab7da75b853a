//! What a detector goes by, all of it in proportion to the time between heartbeats.

use crate::Seconds;

/// Heartbeats without an answer after which a controller is suspected. One lost message may take more than
/// two of them, for the next is sent only once the deadline of the first is over.
pub const SUSPECT_HEARTBEATS: f64 = 4.0;
/// The fewest that may be set.
pub const LEAST_SUSPECT_HEARTBEATS: f64 = 2.0;
/// The same as [`SUSPECT_HEARTBEATS`], if workers have left the controller as well, as a part of it.
const CORROBORATED_PART: f64 = 0.8;
/// However slow a controller or its observer is, it is suspected after this many heartbeats.
const SUSPECT_HEARTBEATS_AT_MOST: f64 = 12.0;
/// An observer whose own steps are this many heartbeats apart has stood still.
const STANDSTILL_HEARTBEATS: f64 = 2.0;
/// An observer whose own steps are this part of a heartbeat apart is slow.
const SLOW_STEP_HEARTBEATS: f64 = 0.5;
/// Heartbeats for which an opinion of another observer counts.
const OPINION_HEARTBEATS: f64 = 4.0;
/// Heartbeats after which a refuted suspicion is forgotten.
const FORGET_REFUTED_HEARTBEATS: f64 = 60.0;
/// Thresholds of a slow observer, and of a controller that was suspected wrongly, grow this far.
const STRETCH_AT_MOST: f64 = 2.5;

/// Thresholds of a detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time between two heartbeats.
    pub heartbeat_s: Seconds,
    /// Silence after which a controller is suspected, if it and the observer are as quick as usual.
    pub suspect_after_s: Seconds,
    /// The same, if workers have left the controller.
    pub suspect_corroborated_after_s: Seconds,
    /// Silence after which a controller is suspected in any case.
    pub suspect_at_most_s: Seconds,
    /// Time between two steps of the observer beyond which it has stood still.
    pub standstill_s: Seconds,
    /// Time between two steps of the observer beyond which it is slow.
    pub slow_step_s: Seconds,
    /// How long an opinion counts.
    pub opinion_lasts_s: Seconds,
    /// How long a refuted suspicion is remembered.
    pub refuted_lasts_s: Seconds,
    /// How far slowness and refuted suspicions stretch a threshold, each; 1: not at all.
    pub stretch_at_most: f64,
    /// Observers, the own one among them, that have to suspect a controller to confirm its failure.
    pub quorum: usize,
    /// Whether an observer that hears nobody tells its opinions.
    pub alone_tells: bool,
}

impl Settings {
    /// Those for this many controllers, the observer among them. Fewer than [`LEAST_SUSPECT_HEARTBEATS`]
    /// count as that many, since suspicion must allow for one lost message.
    pub fn new(heartbeat_s: Seconds, suspect_heartbeats: f64, controllers: usize) -> Self {
        let suspect_heartbeats = suspect_heartbeats.max(LEAST_SUSPECT_HEARTBEATS);
        let suspect_after_s = heartbeat_s * suspect_heartbeats;
        let at_most = SUSPECT_HEARTBEATS_AT_MOST / SUSPECT_HEARTBEATS;
        Self {
            heartbeat_s,
            suspect_after_s,
            suspect_corroborated_after_s: suspect_after_s * CORROBORATED_PART,
            suspect_at_most_s: suspect_after_s * at_most,
            standstill_s: heartbeat_s * STANDSTILL_HEARTBEATS,
            slow_step_s: heartbeat_s * SLOW_STEP_HEARTBEATS,
            opinion_lasts_s: heartbeat_s * OPINION_HEARTBEATS,
            refuted_lasts_s: heartbeat_s * FORGET_REFUTED_HEARTBEATS,
            stretch_at_most: STRETCH_AT_MOST,
            quorum: controllers / 2 + 1,
            alone_tells: false,
        }
    }
}
