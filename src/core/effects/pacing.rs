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
    shortest_pause: Time,
    /// When requests that can wait may be sent again.
    resumes_at: Time,
    /// Consecutive refusals, up to [`MAX_DOUBLINGS`].
    refusals: u32,
}

impl Pacing {
    /// Pacing that holds back nothing yet, for the configured rate of writes.
    pub fn new(config: &Config) -> Self {
        let shortest_pause = PAUSE_WRITES / config.deployment.state.write_rps;
        Self {
            shortest_pause,
            resumes_at: Time::NEG_INFINITY,
            refusals: 0,
        }
    }

    /// Whether requests that can wait may be sent.
    pub fn may_send(&self, now: Time) -> bool {
        now >= self.resumes_at
    }

    /// When requests that can wait may be sent again.
    pub fn resumes_at(&self) -> Time {
        self.resumes_at
    }

    /// A request was refused because the rate is used up. `spread` is a random factor around 1, so that controllers
    /// do not all retry at once. Refusals of requests sent before the pause do not lengthen it.
    pub fn record_refusal(&mut self, now: Time, spread: f64) {
        if self.may_send(now) {
            let pause = self.shortest_pause * f64::from(1 << self.refusals);
            self.resumes_at = now + pause * spread;
            self.refusals = (self.refusals + 1).min(MAX_DOUBLINGS);
        }
    }

    /// A request was served: after the pause, this resets its length.
    pub fn record_success(&mut self, now: Time) {
        if self.may_send(now) {
            self.refusals = 0;
        }
    }
}

#[cfg(test)]
mod tests;
