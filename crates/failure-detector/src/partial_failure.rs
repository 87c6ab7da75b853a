//! Partial failures, which a controller detects itself. Such a controller still runs, but has lost contact
//! with the workers or the key-value store while other controllers still have it.

use crate::Seconds;

/// Longest usual time between two heartbeats of a worker, in intervals between heartbeats.
const LONGEST_REPORT_INTERVALS: f64 = 1.5;
/// Silence of all workers, in intervals between a worker's heartbeats, after which one worker that reaches
/// another controller is sufficient evidence.
const LONG_SILENCE_REPORT_INTERVALS: f64 = 2.0;
/// The same silence as a fraction of a worker's lease, which applies if it is longer.
const LONG_SILENCE_LEASE_FRACTION: f64 = 0.3;
/// Fraction of the controller's machines that must have reached other controllers.
const REACHING_OTHERS_FRACTION: f64 = 0.5;
/// Consecutive refusals by the key-value store that count as a failure. A single one may be transient.
const MIN_REFUSALS: u32 = 2;
/// Fraction of the lifetime of the controller's key for which the store must have served it nothing.
const REFUSED_LIFETIME_FRACTION: f64 = 0.4;

/// A contact that a controller has lost while other controllers still have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartialFailure {
    /// No worker reaches the controller, but its workers reach other controllers.
    CutFromWorkers,
    /// The key-value store refuses the controller's calls, but serves other controllers.
    RefusedByStore,
}

/// A controller's contact with workers and the store, and that of other controllers for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ControllerContacts {
    /// Configured interval between two heartbeats of a worker.
    pub report_s: Seconds,
    /// How long a worker keeps running tasks without an answer to a heartbeat.
    pub lease_s: Seconds,
    /// Lifetime of the controller's key in the store.
    pub key_lifetime_s: Seconds,
    /// Number of machines that the controller owns.
    pub machines: usize,
    /// How long no worker has reached the controller.
    pub worker_silence_s: Seconds,
    /// Number of the controller's machines whose workers recently reached other controllers.
    pub machines_reaching_others: usize,
    /// Whether another controller recently redirected a worker to this one.
    pub others_redirect_workers: bool,
    /// How long the store has served nothing to the controller.
    pub store_silence_s: Seconds,
    /// Number of consecutive refusals by the store.
    pub refusals: u32,
    /// Number of other controllers that have answered recently.
    pub others_reachable: usize,
    /// Number of those controllers that the store served while it refused this controller.
    pub others_served_by_store: usize,
}

impl ControllerContacts {
    /// Returns the contact that the controller has lost, if other controllers still have it.
    pub fn partial_failure(&self) -> Option<PartialFailure> {
        if self.has_lost_workers() {
            Some(PartialFailure::CutFromWorkers)
        } else if self.is_refused_by_store_alone() {
            Some(PartialFailure::RefusedByStore)
        } else {
            None
        }
    }

    fn has_lost_workers(&self) -> bool {
        if self.machines == 0 {
            return false;
        }
        let required = (self.machines as f64 * REACHING_OTHERS_FRACTION).ceil();
        let enough_reach_others = self.machines_reaching_others as f64 >= required;
        let missed_heartbeats = self.worker_silence_s > self.report_s * LONGEST_REPORT_INTERVALS;
        let long_silence_s = (self.report_s * LONG_SILENCE_REPORT_INTERVALS)
            .max(self.lease_s * LONG_SILENCE_LEASE_FRACTION);
        let is_long_silence = self.worker_silence_s > long_silence_s;
        (missed_heartbeats && enough_reach_others)
            || (is_long_silence && self.others_redirect_workers)
    }

    fn is_refused_by_store_alone(&self) -> bool {
        self.refusals >= MIN_REFUSALS
            && self.store_silence_s > self.key_lifetime_s * REFUSED_LIFETIME_FRACTION
            && self.others_served_by_store > 0
            && self.others_served_by_store * 2 > self.others_reachable
    }
}
