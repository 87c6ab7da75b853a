//! How well the observer itself does: who is slow takes others for silent. Lifeguard's local health.

use crate::{Seconds, Settings};

/// Part of the distance to the largest stretch that one slow step adds.
const STEP_UP: f64 = 0.5;

/// The observer's own slowness, and when it last stood still.
#[derive(Clone, Copy, Debug)]
pub struct LocalHealth {
    last_step: Option<Seconds>,
    /// From when on silence counts.
    pub counts_from: Seconds,
    stretch: f64,
    stretched: Seconds,
}

impl LocalHealth {
    /// Of an observer that has not taken a step yet.
    pub fn new() -> Self {
        Self {
            last_step: None,
            counts_from: 0.0,
            stretch: 1.0,
            stretched: 0.0,
        }
    }

    /// A step of the observer begins.
    pub fn step(&mut self, settings: &Settings, now: Seconds) {
        let Some(last) = self.last_step.replace(now) else {
            self.counts_from = now;
            return;
        };
        let pause = now - last;
        if pause > settings.standstill_s {
            self.counts_from = now;
        }
        if pause > settings.slow_step_s {
            self.stretch += (settings.stretch_at_most - self.stretch) * STEP_UP;
            self.stretched = now;
        } else if now - self.stretched > settings.suspect_after_s {
            self.stretch = 1.0;
        }
    }

    /// By how much the observer's thresholds are stretched.
    pub fn stretch(&self) -> f64 {
        self.stretch
    }
}
