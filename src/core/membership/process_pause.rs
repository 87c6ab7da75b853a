//! A process that stood still, as its host paused it, goes on with a clock that has run meanwhile. All its
//! timers are over at once, and what it knows of others is as old as the pause is long: that it heard
//! nobody says nothing of them. What its authority rests on ends by the clock and needs no care here; but
//! until it has read the state service again, and workers have had the time to report, it draws no
//! conclusion from silence, returns no machine and plans none.

use crate::config::Config;
use crate::core::model::time::Time;

/// Steps come many times a lease; a pause of this part of one between two steps is a standstill.
const STANDSTILL_LEASES: f64 = 0.1;

/// Workers report within this many report times.
const REPORT_TIMES: f64 = 1.5;

pub struct ProcessPause {
    standstill: Time,
    reports_within: Time,
    last_step: Option<Time>,
    resumed: Option<Time>,
}

impl ProcessPause {
    pub fn new(config: &Config) -> Self {
        let workers = &config.deployment.workers;
        Self {
            standstill: workers.lease_s * STANDSTILL_LEASES,
            reports_within: workers.report_s * REPORT_TIMES,
            last_step: None,
            resumed: None,
        }
    }

    /// A step begins. For how long the process has stood still, if it has.
    pub fn step(&mut self, now: Time) -> Option<Time> {
        let paused = now - self.last_step.replace(now).unwrap_or(now);
        let stood_still = paused > self.standstill;
        if stood_still {
            self.resumed = Some(now);
        }
        stood_still.then_some(paused)
    }

    /// Whether what the process knows of others is still from before a standstill. `current_as_of`: when
    /// the last read of the state service was sent.
    pub fn lasts(&mut self, current_as_of: Time, now: Time) -> bool {
        let over =
            |resumed: &Time| current_as_of >= *resumed && now >= *resumed + self.reports_within;
        if self.resumed.as_ref().is_some_and(over) {
            self.resumed = None;
        }
        self.resumed.is_some()
    }
}

#[cfg(test)]
mod tests;
