//! Partial failures, which a controller detects itself: it still runs, but has lost contacts that its work
//! requires and that other controllers have.

use crate::Seconds;

/// The longest usual time between two heartbeats of a worker, as a multiple of the interval.
const LONGEST_REPORT_INTERVALS: f64 = 1.5;
/// Time without any worker after which it suffices that some worker reaches other controllers, in intervals
/// between a worker's heartbeats, or as this fraction of a worker's lease if that is longer.
const LONG_SILENCE_REPORT_INTERVALS: f64 = 2.0;
const LONG_SILENCE_LEASE_FRACTION: f64 = 0.3;
/// Fraction of its machines that must have been seen by other controllers.
const ELSEWHERE_FRACTION: f64 = 0.5;
/// Consecutive refusals by the key-value store that are no coincidence.
const MIN_REFUSALS: u32 = 2;
/// Fraction of the lifetime of its key for which the store must have served a controller nothing.
const REFUSED_LIFETIME_FRACTION: f64 = 0.4;

/// What a controller has lost while others still have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartialFailure {
    /// No worker reaches it, but its workers reach other controllers.
    CutFromWorkers,
    /// The key-value store refuses it, but serves other controllers.
    RefusedByStore,
}

/// What a controller knows of its own contacts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ControllerContacts {
    /// Interval between two heartbeats of a worker.
    pub report_s: Seconds,
    /// How long a worker keeps running without an answer.
    pub lease_s: Seconds,
    /// Lifetime of the controller's key in the store.
    pub key_lifetime_s: Seconds,
    /// Machines that it owns.
    pub machines: usize,
    /// How long no worker has reached it.
    pub worker_silence_s: Seconds,
    /// Of its machines, those whose workers recently reached other controllers.
    pub machines_reaching_others: usize,
    /// Whether some other controller was recently reached by a worker, which it redirected here.
    pub others_redirect_workers: bool,
    /// How long the store has served it nothing.
    pub store_silence_s: Seconds,
    /// Refusals by the store since it last answered otherwise.
    pub refusals: u32,
    /// Other controllers that answer.
    pub others_reachable: usize,
    /// Of these, the ones that the store served while it refused this controller.
    pub others_served_by_store: usize,
}

impl ControllerContacts {
    /// What the controller has lost, if another one could do better.
    pub fn partial_failure(&self) -> Option<PartialFailure> {
        if self.is_cut_from_workers() {
            Some(PartialFailure::CutFromWorkers)
        } else if self.is_refused_alone() {
            Some(PartialFailure::RefusedByStore)
        } else {
            None
        }
    }

    fn is_cut_from_workers(&self) -> bool {
        if self.machines == 0 {
            return false;
        }
        let enough = (self.machines as f64 * ELSEWHERE_FRACTION).ceil();
        let enough_elsewhere = self.machines_reaching_others as f64 >= enough;
        let missed_heartbeats = self.worker_silence_s > self.report_s * LONGEST_REPORT_INTERVALS;
        let long_silence = (self.report_s * LONG_SILENCE_REPORT_INTERVALS)
            .max(self.lease_s * LONG_SILENCE_LEASE_FRACTION);
        let silent_for_long = self.worker_silence_s > long_silence;
        (missed_heartbeats && enough_elsewhere) || (silent_for_long && self.others_redirect_workers)
    }

    fn is_refused_alone(&self) -> bool {
        self.refusals >= MIN_REFUSALS
            && self.store_silence_s > self.key_lifetime_s * REFUSED_LIFETIME_FRACTION
            && self.others_served_by_store > 0
            && self.others_served_by_store * 2 > self.others_reachable
    }
}
