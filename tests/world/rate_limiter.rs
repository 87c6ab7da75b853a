//! The rate limits of the store: a token bucket each for requests and for writes, with a burst of one second.

use super::Limits;
use ochredrum::core::effects::StoreCall;

/// Token buckets for requests and writes.
#[derive(Default)]
pub struct RateLimiter {
    requests: f64,
    writes: f64,
    /// When tokens were last added; `None` before the first request.
    refilled_at: Option<f64>,
}

impl RateLimiter {
    /// Takes the tokens that a request needs and returns whether there were enough. If not, none are taken.
    pub fn try_acquire(&mut self, now: f64, limits: &Limits, call: &StoreCall) -> bool {
        let elapsed = self
            .refilled_at
            .replace(now)
            .map_or(1.0, |refilled_at| now - refilled_at);
        self.requests = (self.requests + elapsed * limits.rps).min(limits.rps);
        self.writes = (self.writes + elapsed * limits.write_rps).min(limits.write_rps);
        let writes = match call {
            StoreCall::Commit(transaction) => transaction.writes.len() as f64,
            _ => 0.0,
        };
        if self.requests < 1.0 || self.writes < writes {
            return false;
        }
        self.requests -= 1.0;
        self.writes -= writes;
        true
    }
}
