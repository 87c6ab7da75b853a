//! Pacing of requests to the store after it has refused one because its rate is used up.
//!
//! The rate is shared by all controllers and may fall without notice. The first refusal therefore holds back
//! every request that can wait, for longer with each further refusal. Lease renewals and writes of the keys bound
//! to the lease are never held back: they are the first to be served when the store has capacity again.

use crate::config::Config;
use crate::core::model::time::Time;

/// The shortest pause, in writes that the store serves meanwhile.
const PAUSE_WRITES: f64 = 2.0;

/// The pause is doubled this often at most.
const MAX_DOUBLINGS: u32 = 3;

/// When requests that can wait may be sent; the pause doubles with each refusal.
#[derive(Debug)]
pub struct Pacing {
    shortest: Time,
    /// When requests that can wait may be sent again.
    resume: Time,
    /// Consecutive refusals, up to [`MAX_DOUBLINGS`].
    refusals: u32,
}

impl Pacing {
    /// Pacing that holds back nothing yet, for the configured rate of writes.
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

    /// When requests that can wait may be sent again.
    pub fn resume(&self) -> Time {
        self.resume
    }

    /// A request was refused because the rate is used up. `spread` is a random factor around 1, so that controllers
    /// do not all retry at once. Refusals of requests sent before the pause do not lengthen it.
    pub fn refused(&mut self, now: Time, spread: f64) {
        if self.open(now) {
            let pause = self.shortest * f64::from(1 << self.refusals);
            self.resume = now + pause * spread;
            self.refusals = (self.refusals + 1).min(MAX_DOUBLINGS);
        }
    }

    /// A request was served: after the pause, this resets its length.
    pub fn served(&mut self, now: Time) {
        if self.open(now) {
            self.refusals = 0;
        }
    }
}

#[cfg(test)]
mod tests;
