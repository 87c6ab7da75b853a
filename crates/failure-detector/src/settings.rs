//! Thresholds of a detector. All of them are proportional to the interval between heartbeats.

use crate::Seconds;

/// Default number of heartbeat intervals without an answer after which a controller is suspected. One lost
/// message may take more than two intervals, since the next heartbeat is sent only after the first timed out.
pub const SUSPECT_HEARTBEATS: f64 = 4.0;
/// Lowest number of heartbeat intervals that may be configured in place of [`SUSPECT_HEARTBEATS`].
pub const MIN_SUSPECT_HEARTBEATS: f64 = 2.0;
/// Fraction of the usual threshold that applies if workers have switched from the controller to the observer.
const CORROBORATED_FRACTION: f64 = 0.8;
/// Highest threshold in heartbeat intervals, however slow the controller or the observer is. It holds for the
/// default [`SUSPECT_HEARTBEATS`] and changes in proportion to a configured number.
const MAX_SUSPECT_HEARTBEATS: f64 = 12.0;
/// An observer has paused if two of its steps are more than this many heartbeat intervals apart.
const PROCESS_PAUSE_HEARTBEATS: f64 = 2.0;
/// An observer is slow if two of its steps are more than this many heartbeat intervals apart.
const SLOW_STEP_HEARTBEATS: f64 = 0.5;
/// Heartbeat intervals after which an opinion of another observer expires.
const OPINION_HEARTBEATS: f64 = 4.0;
/// Heartbeat intervals after which refuted suspicions no longer raise the threshold.
const REFUTATION_HEARTBEATS: f64 = 60.0;
/// Largest factor by which thresholds are raised for a slow observer, and for a controller that was suspected
/// wrongly.
const MAX_THRESHOLD_FACTOR: f64 = 2.5;

/// Thresholds of a detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Interval between two heartbeats to the same controller.
    pub heartbeat_s: Seconds,
    /// Silence after which a controller is suspected if neither it nor the observer is slow.
    pub suspect_after_s: Seconds,
    /// The same threshold if workers have switched from the controller to the observer.
    pub suspect_corroborated_after_s: Seconds,
    /// Upper limit of the threshold, however far other factors raise it.
    pub max_suspect_after_s: Seconds,
    /// Time between two steps of the observer above which it has paused.
    pub process_pause_s: Seconds,
    /// Time between two steps of the observer above which it is slow.
    pub slow_step_s: Seconds,
    /// Time after which an opinion of another observer no longer counts.
    pub opinion_ttl_s: Seconds,
    /// Time after which refuted suspicions no longer raise the threshold.
    pub refutation_ttl_s: Seconds,
    /// Largest factor by which a slow observer raises a threshold, and by which refuted suspicions do; 1
    /// disables both.
    pub max_threshold_factor: f64,
    /// Number of observers, this one included, that must suspect a controller to confirm its failure.
    pub quorum: usize,
    /// Whether an observer that receives no answers from any other controller still sends its opinions.
    pub shares_opinions_when_isolated: bool,
}

impl Settings {
    /// Creates the settings for a fleet of `controllers`, the observer included. `suspect_heartbeats` below
    /// [`MIN_SUSPECT_HEARTBEATS`] are raised to it, since the threshold must allow for one lost message.
    pub fn new(heartbeat_s: Seconds, suspect_heartbeats: f64, controllers: usize) -> Self {
        let suspect_heartbeats = suspect_heartbeats.max(MIN_SUSPECT_HEARTBEATS);
        let suspect_after_s = heartbeat_s * suspect_heartbeats;
        let max_threshold_ratio = MAX_SUSPECT_HEARTBEATS / SUSPECT_HEARTBEATS;
        Self {
            heartbeat_s,
            suspect_after_s,
            suspect_corroborated_after_s: suspect_after_s * CORROBORATED_FRACTION,
            max_suspect_after_s: suspect_after_s * max_threshold_ratio,
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
