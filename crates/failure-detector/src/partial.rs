//! A controller that has failed in part judges itself: it still runs, but what it is for needs contacts that
//! it has lost and that others have.

use crate::Seconds;

/// Time between two reports of a worker, at the longest, as a multiple of the usual.
const LONGEST_REPORT_TIMES: f64 = 1.5;
/// Time without any worker after which it is enough that some worker comes to others: so many report times,
/// or this part of a lease if that is more.
const LONG_SILENCE_REPORT_TIMES: f64 = 2.0;
const LONG_SILENCE_LEASES: f64 = 0.3;
/// Part of its machines that must be heard elsewhere.
const ELSEWHERE_PART: f64 = 0.5;
/// Refusals in a row, none of them answered otherwise, that are no accident.
const REFUSALS: u32 = 2;
/// Part of the lifetime of its key for which a controller waits before it takes itself for refused.
const REFUSED_LIFETIMES: f64 = 0.4;

/// What a controller has lost, though others have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartialFailure {
    /// No worker reaches it, while its workers reach others.
    CutFromWorkers,
    /// The state service refuses it, while others are served.
    RefusedByState,
}

/// What a controller knows of its own contacts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnContact {
    /// Time between two reports of a worker.
    pub report_s: Seconds,
    /// How long a worker lives without an answer.
    pub lease_s: Seconds,
    /// Lifetime of its key in the state service.
    pub key_lifetime_s: Seconds,
    /// Machines that it owns.
    pub machines: usize,
    /// How long no worker has reached it.
    pub workers_silent_s: Seconds,
    /// Of its machines, those whose workers were with others lately.
    pub machines_elsewhere: usize,
    /// Whether another controller was visited lately by a worker that it sent here.
    pub others_get_workers: bool,
    /// How long the state service has served it nothing.
    pub state_silent_s: Seconds,
    /// Refusals of the state service since it last answered in another way.
    pub refusals: u32,
    /// Other controllers that are heard.
    pub others_heard: usize,
    /// Of these, such as the state service served while it refused this controller.
    pub others_served: usize,
}

impl OwnContact {
    /// What it has lost, if another controller could do better.
    pub fn partial_failure(&self) -> Option<PartialFailure> {
        if self.is_cut_from_workers() {
            Some(PartialFailure::CutFromWorkers)
        } else if self.is_refused_alone() {
            Some(PartialFailure::RefusedByState)
        } else {
            None
        }
    }

    fn is_cut_from_workers(&self) -> bool {
        if self.machines == 0 {
            return false;
        }
        let most = (self.machines as f64 * ELSEWHERE_PART).ceil();
        let most_elsewhere = self.machines_elsewhere as f64 >= most;
        let missed_reports = self.workers_silent_s > self.report_s * LONGEST_REPORT_TIMES;
        let long =
            (self.report_s * LONG_SILENCE_REPORT_TIMES).max(self.lease_s * LONG_SILENCE_LEASES);
        let silent_for_long = self.workers_silent_s > long;
        (missed_reports && most_elsewhere) || (silent_for_long && self.others_get_workers)
    }

    fn is_refused_alone(&self) -> bool {
        self.refusals >= REFUSALS
            && self.state_silent_s > self.key_lifetime_s * REFUSED_LIFETIMES
            && self.others_served > 0
            && self.others_served * 2 > self.others_heard
    }
}
