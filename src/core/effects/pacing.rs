//! Pacing of requests to the state service after it has said that its rate is used up.
//!
//! The rate is shared by all controllers and may fall without notice. So the first refusal holds
//! back everything that can wait, for longer with each further refusal. Lease renewals and the keys
//! that hang on the lease are never held back: they come first when there is room again.

use crate::config::Config;
use crate::core::model::time::Time;

/// The shortest pause, in writes that the state service takes meanwhile.
const PAUSE_WRITES: f64 = 2.0;

/// The pause is doubled this often at most.
const MAX_DOUBLINGS: u32 = 3;

/// When requests that can wait may be sent.
#[derive(Debug)]
pub struct Pacing {
    shortest: Time,
    resume: Time,
    refusals: u32,
}

impl Pacing {
    /// Open, for the given limits.
    pub fn new(config: &Config) -> Self {
        let shortest = PAUSE_WRITES / config.deployment.state.write_rps;
        Self {
            shortest,
            resume: Time::NEG_INFINITY,
            refusals: 0,
        }
    }

    /// Whether requests that can wait may be sent.
    pub fn open(&self, now: Time) -> bool {
        now >= self.resume
    }

    /// When they may be sent again.
    pub fn resume(&self) -> Time {
        self.resume
    }

    /// A request was refused because the rate is used up. `spread` is a random factor around 1, so
    /// that controllers do not all come back at once. Refusals of what was sent before the pause
    /// do not lengthen it.
    pub fn refused(&mut self, now: Time, spread: f64) {
        if self.open(now) {
            let pause = self.shortest * f64::from(1 << self.refusals);
            self.resume = now + pause * spread;
            self.refusals = (self.refusals + 1).min(MAX_DOUBLINGS);
        }
    }

    /// A request was carried out.
    pub fn served(&mut self, now: Time) {
        if self.open(now) {
            self.refusals = 0;
        }
    }
}

#[cfg(test)]
mod tests;
