//! Thresholds of a detector, all of them in proportion to the interval between heartbeats.

use crate::Seconds;

/// Default number of heartbeats without an answer after which a controller is suspected. One lost message may
/// take more than two of them, since the next heartbeat is sent only after the timeout of the first.
pub const SUSPECT_HEARTBEATS: f64 = 4.0;
/// The lowest value that may be set in place of [`SUSPECT_HEARTBEATS`].
pub const MIN_SUSPECT_HEARTBEATS: f64 = 2.0;
/// Fraction of the usual threshold that suffices if workers have left the controller as well.
const CORROBORATED_FRACTION: f64 = 0.8;
/// The highest threshold in heartbeats, however slow the controller or its observer is.
const MAX_SUSPECT_HEARTBEATS: f64 = 12.0;
/// An observer whose own steps are more than this many heartbeats apart has paused.
const PROCESS_PAUSE_HEARTBEATS: f64 = 2.0;
/// An observer whose own steps are more than this many heartbeats apart is slow.
const SLOW_STEP_HEARTBEATS: f64 = 0.5;
/// Heartbeats for which an opinion of another observer counts.
const OPINION_HEARTBEATS: f64 = 4.0;
/// Heartbeats after which a refuted suspicion is forgotten.
const REFUTATION_HEARTBEATS: f64 = 60.0;
/// The largest factor by which thresholds grow for a slow observer, and for a controller that was suspected
/// wrongly.
const MAX_THRESHOLD_FACTOR: f64 = 2.5;

/// Thresholds of a detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Interval between two heartbeats.
    pub heartbeat_s: Seconds,
    /// Silence after which a controller is suspected if neither it nor the observer is slow.
    pub suspect_after_s: Seconds,
    /// The same if workers have left the controller.
    pub suspect_corroborated_after_s: Seconds,
    /// Silence after which a controller is suspected in any case.
    pub max_suspect_after_s: Seconds,
    /// An observer whose steps are further apart has paused.
    pub process_pause_s: Seconds,
    /// An observer whose steps are further apart is slow.
    pub slow_step_s: Seconds,
    /// How long an opinion counts.
    pub opinion_ttl_s: Seconds,
    /// How long a refuted suspicion is remembered.
    pub refutation_ttl_s: Seconds,
    /// The largest factor by which a slow observer, and refuted suspicions, raise a threshold; 1 disables both.
    pub max_threshold_factor: f64,
    /// Observers, this one included, that must suspect a controller to confirm its failure.
    pub quorum: usize,
    /// Whether an observer that gets no answers from any other controller shares its opinions.
    pub shares_opinions_when_isolated: bool,
}

impl Settings {
    /// The settings for a fleet of `controllers`, the observer included. Fewer `suspect_heartbeats` than
    /// [`MIN_SUSPECT_HEARTBEATS`] count as that many, since suspicion must allow for one lost message.
    pub fn new(heartbeat_s: Seconds, suspect_heartbeats: f64, controllers: usize) -> Self {
        let suspect_heartbeats = suspect_heartbeats.max(MIN_SUSPECT_HEARTBEATS);
        let suspect_after_s = heartbeat_s * suspect_heartbeats;
        let max_factor = MAX_SUSPECT_HEARTBEATS / SUSPECT_HEARTBEATS;
        Self {
            heartbeat_s,
            suspect_after_s,
            suspect_corroborated_after_s: suspect_after_s * CORROBORATED_FRACTION,
            max_suspect_after_s: suspect_after_s * max_factor,
            process_pause_s: heartbeat_s * PROCESS_PAUSE_HEARTBEATS,
            slow_step_s: heartbeat_s * SLOW_STEP_HEARTBEATS,
            opinion_ttl_s: heartbeat_s * OPINION_HEARTBEATS,
            refutation_ttl_s: heartbeat_s * REFUTATION_HEARTBEATS,
            max_threshold_factor: MAX_THRESHOLD_FACTOR,
            quorum: controllers / 2 + 1,
            shares_opinions_when_isolated: false,
        }
    }
}
