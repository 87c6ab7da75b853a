//! Tracks the observer's own health, as Lifeguard does. A slow observer would otherwise suspect controllers
//! whose answers it has not processed yet.

use crate::{Seconds, Settings};

/// Fraction of the distance to the largest threshold factor that one slow step adds.
const SLOW_STEP_GAIN: f64 = 0.5;

/// How slowly the observer runs, and since when silence counts.
#[derive(Clone, Copy, Debug)]
pub struct LocalHealth {
    last_step: Option<Seconds>,
    silence_counts_from: Seconds,
    threshold_factor: f64,
    last_slow_step: Seconds,
}

impl LocalHealth {
    /// Creates the health of an observer that has taken no step yet.
    pub fn new() -> Self {
        Self {
            last_step: None,
            silence_counts_from: 0.0,
            threshold_factor: 1.0,
            last_slow_step: 0.0,
        }
    }

    /// Records that a step of the observer begins, and evaluates the time since the previous one.
    pub fn record_step(&mut self, settings: &Settings, now: Seconds) {
        let Some(previous) = self.last_step.replace(now) else {
            self.silence_counts_from = now;
            return;
        };
        let elapsed = now - previous;
        if elapsed > settings.process_pause_s {
            self.silence_counts_from = now;
        }
        if elapsed > settings.slow_step_s {
            self.threshold_factor +=
                (settings.max_threshold_factor - self.threshold_factor) * SLOW_STEP_GAIN;
            self.last_slow_step = now;
        } else if now - self.last_slow_step > settings.suspect_after_s {
            self.threshold_factor = 1.0;
        }
    }

    /// Returns the time from which the silence of others counts: the observer's first step, or the first
    /// step after its last pause.
    pub fn silence_counts_from(&self) -> Seconds {
        self.silence_counts_from
    }

    /// Returns the factor by which the observer's thresholds are raised; 1 if it is not slow.
    pub fn threshold_factor(&self) -> f64 {
        self.threshold_factor
    }
}
