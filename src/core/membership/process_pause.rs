//! Detects that the process was paused, for example because its host was suspended.
//!
//! The clock continues during a pause. When the process resumes, all its timers have elapsed, and its
//! information about siblings and workers is out of date. The absence of messages during the pause is
//! no evidence that they have failed. The ownership lease expires by the clock and needs no special handling.
//! Until the process has read the store again, and every worker has had time to send a heartbeat, it
//! concludes nothing from missing messages, and plans neither rentals nor returns of machines.

use crate::config::Config;
use crate::core::model::time::Time;

/// Time without a step that counts as a pause, as a fraction of a worker's lease. Steps are usually much
/// more frequent.
const PAUSE_LEASES: f64 = 0.1;

/// Number of heartbeat intervals within which every worker sends a heartbeat.
const HEARTBEAT_INTERVALS: f64 = 1.5;

/// Measures the time between steps, and tracks whether the process has caught up since the last pause.
pub struct ProcessPause {
    /// Seconds without a step above which the process counts as paused.
    threshold: Time,
    /// Seconds within which every worker sends a heartbeat.
    heartbeat_period: Time,
    last_step: Option<Time>,
    /// When the process resumed after a pause. None once it has caught up.
    resumed_at: Option<Time>,
}

impl ProcessPause {
    /// Creates the state of a process that has taken no step yet.
    pub fn new(config: &Config) -> Self {
        let workers = &config.deployment.workers;
        Self {
            threshold: workers.lease_s * PAUSE_LEASES,
            heartbeat_period: workers.report_s * HEARTBEAT_INTERVALS,
            last_step: None,
            resumed_at: None,
        }
    }

    /// Records that a step begins. Returns the duration of the pause before it, if there was one.
    pub fn record_step(&mut self, now: Time) -> Option<Time> {
        let elapsed = now - self.last_step.replace(now).unwrap_or(now);
        let was_paused = elapsed > self.threshold;
        if was_paused {
            self.resumed_at = Some(now);
        }
        was_paused.then_some(elapsed)
    }

    /// Returns whether the process's information about siblings and workers may still date from before a
    /// pause. `current_as_of` is the time at which the last read of the store was sent.
    pub fn is_catching_up(&mut self, current_as_of: Time, now: Time) -> bool {
        let caught_up =
            |resumed: &Time| current_as_of >= *resumed && now >= *resumed + self.heartbeat_period;
        if self.resumed_at.as_ref().is_some_and(caught_up) {
            self.resumed_at = None;
        }
        self.resumed_at.is_some()
    }
}

#[cfg(test)]
mod tests;
