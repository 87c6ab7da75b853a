//! Detects that the process was paused, for example because its host was suspended.
//!
//! The clock of a paused process runs on. When it resumes, all its timers have elapsed, and what it
//! knows of others is as old as the pause is long: that it received no messages says nothing about
//! them. Its ownership lease expires by the clock and needs no special care. But until it has read
//! the store again, and workers have had the time to send heartbeats, it draws no conclusion from
//! silence, returns no machine and plans none.

use crate::config::Config;
use crate::core::model::time::Time;

/// Part of a worker's lease without a step that counts as a pause. There are many steps in a lease.
const PAUSE_LEASES: f64 = 0.1;

/// Intervals between heartbeats in which every worker sends one.
const HEARTBEAT_INTERVALS: f64 = 1.5;

/// Measures the time between steps and remembers the last pause.
pub struct ProcessPause {
    /// Seconds without a step that count as a pause.
    threshold: Time,
    /// Seconds in which every worker sends a heartbeat.
    heartbeats_within: Time,
    last_step: Option<Time>,
    /// When the process resumed, until it has caught up.
    resumed: Option<Time>,
}

impl ProcessPause {
    /// No step yet.
    pub fn new(config: &Config) -> Self {
        let workers = &config.deployment.workers;
        Self {
            threshold: workers.lease_s * PAUSE_LEASES,
            heartbeats_within: workers.report_s * HEARTBEAT_INTERVALS,
            last_step: None,
            resumed: None,
        }
    }

    /// A step begins. Returns the duration of the pause before it, if there was one.
    pub fn record_step(&mut self, now: Time) -> Option<Time> {
        let elapsed = now - self.last_step.replace(now).unwrap_or(now);
        let was_paused = elapsed > self.threshold;
        if was_paused {
            self.resumed = Some(now);
        }
        was_paused.then_some(elapsed)
    }

    /// Whether what the process knows of others may still be from before a pause. `current_as_of`:
    /// when the last read of the store was sent.
    pub fn is_catching_up(&mut self, current_as_of: Time, now: Time) -> bool {
        let caught_up =
            |resumed: &Time| current_as_of >= *resumed && now >= *resumed + self.heartbeats_within;
        if self.resumed.as_ref().is_some_and(caught_up) {
            self.resumed = None;
        }
        self.resumed.is_some()
    }
}

#[cfg(test)]
mod tests;
