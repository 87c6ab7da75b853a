//! The observer's own health, as in Lifeguard: an observer that is slow itself would take others for silent.

use crate::{Seconds, Settings};

/// The part of the distance to the largest threshold factor that one slow step adds.
const STEP_UP: f64 = 0.5;

/// How slow the observer is, and when it last paused.
#[derive(Clone, Copy, Debug)]
pub struct LocalHealth {
    last_step: Option<Seconds>,
    silence_counts_from: Seconds,
    threshold_factor: f64,
    last_slow_step: Seconds,
}

impl LocalHealth {
    /// The health of an observer that has taken no step yet.
    pub fn new() -> Self {
        Self {
            last_step: None,
            silence_counts_from: 0.0,
            threshold_factor: 1.0,
            last_slow_step: 0.0,
        }
    }

    /// Records that a step of the observer begins.
    pub fn record_step(&mut self, settings: &Settings, now: Seconds) {
        let Some(last) = self.last_step.replace(now) else {
            self.silence_counts_from = now;
            return;
        };
        let pause = now - last;
        if pause > settings.process_pause_s {
            self.silence_counts_from = now;
        }
        if pause > settings.slow_step_s {
            self.threshold_factor +=
                (settings.max_threshold_factor - self.threshold_factor) * STEP_UP;
            self.last_slow_step = now;
        } else if now - self.last_slow_step > settings.suspect_after_s {
            self.threshold_factor = 1.0;
        }
    }

    /// The time from which silence of others counts: the observer's first step, or the one after its last
    /// pause.
    pub fn silence_counts_from(&self) -> Seconds {
        self.silence_counts_from
    }

    /// The factor by which the observer's thresholds are raised; 1 if it is not slow.
    pub fn threshold_factor(&self) -> f64 {
        self.threshold_factor
    }
}
