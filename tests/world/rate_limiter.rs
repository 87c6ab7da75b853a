//! The rate limits of the store for requests and for writes, each with a burst of one second.

use super::Limits;
use ochredrum::core::effects::StoreCall;

/// Requests and writes that the store still accepts at this moment.
#[derive(Default)]
pub struct RateLimiter {
    requests: f64,
    writes: f64,
    /// When it was last refilled.
    refilled_at: Option<f64>,
}

impl RateLimiter {
    /// Whether a request is within the limits; if so it is counted.
    pub fn try_acquire(&mut self, now: f64, limits: &Limits, call: &StoreCall) -> bool {
        let passed = self
            .refilled_at
            .replace(now)
            .map_or(1.0, |filled| now - filled);
        self.requests = (self.requests + passed * limits.rps).min(limits.rps);
        self.writes = (self.writes + passed * limits.write_rps).min(limits.write_rps);
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
