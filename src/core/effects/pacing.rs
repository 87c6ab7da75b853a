//! Pacing of requests to the store after a request exceeded its rate limit.
//!
//! All controllers share the rate limit, and it may drop without notice. The first refusal therefore delays
//! all requests of its kind that can be delayed, and each further refusal doubles the delay. Lease renewals
//! and writes of the keys attached to the lease are never delayed, so that they are served first when the
//! store has capacity again.

use crate::config::Config;
use crate::core::model::time::Time;

/// The shortest pause, as the number of writes that the rate limit permits in that time.
const SHORTEST_PAUSE_WRITES: f64 = 2.0;

/// The pause is doubled at most this many times.
const MAX_DOUBLINGS: u32 = 3;

/// The end of the current pause, and the number of refusals, which determines the length of the next pause.
#[derive(Debug)]
pub struct Pacing {
    /// Seconds of the pause after the first refusal.
    shortest_pause: Time,
    /// The end of the current or last pause.
    resumes_at: Time,
    /// Number of consecutive refusals, at most [`MAX_DOUBLINGS`].
    refusals: u32,
}

impl Pacing {
    /// Creates a pacing without a pause, for the configured rate limit of writes.
    pub fn new(config: &Config) -> Self {
        let shortest_pause = SHORTEST_PAUSE_WRITES / config.deployment.state.write_rps;
        Self {
            shortest_pause,
            resumes_at: Time::NEG_INFINITY,
            refusals: 0,
        }
    }

    /// Whether no pause is in progress, so that requests that can be delayed may be sent.
    pub fn may_send(&self, now: Time) -> bool {
        now >= self.resumes_at
    }

    /// The end of the current or last pause.
    pub fn resumes_at(&self) -> Time {
        self.resumes_at
    }

    /// Starts a pause after a request exceeded the rate limit. `jitter` is a random factor around 1, so that
    /// controllers do not retry at the same time. A refusal during a pause belongs to a request that was sent
    /// before the pause, and does not lengthen it.
    pub fn record_refusal(&mut self, now: Time, jitter: f64) {
        if self.may_send(now) {
            let pause = self.shortest_pause * f64::from(1 << self.refusals);
            self.resumes_at = now + pause * jitter;
            self.refusals = (self.refusals + 1).min(MAX_DOUBLINGS);
        }
    }

    /// Records that the store has served a request. Outside a pause, this makes the next pause the shortest.
    pub fn record_success(&mut self, now: Time) {
        if self.may_send(now) {
            self.refusals = 0;
        }
    }
}

#[cfg(test)]
mod tests;
