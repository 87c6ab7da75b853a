//! A token bucket rate limiter with a burst of one second.

use crate::core::model::time::Time;

/// A token bucket that fills at a constant rate. Its capacity is the tokens of one second, but at least one.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    tokens: f64,
    /// When `tokens` was last updated.
    updated_at: Time,
}

impl TokenBucket {
    /// Creates a bucket that fills with `rate` tokens per second and holds `tokens` at `now`.
    pub fn new(rate: f64, tokens: f64, now: Time) -> Self {
        Self {
            rate,
            tokens,
            updated_at: now,
        }
    }

    /// Sets the rate in tokens per second. It also applies to the time since the bucket was last updated.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Updates the bucket and returns whether a token is available.
    pub fn has_token(&mut self, now: Time) -> bool {
        let gained = (now - self.updated_at) * self.rate;
        self.tokens = (self.tokens + gained).min(self.rate.max(1.0));
        self.updated_at = now;
        self.tokens >= 1.0
    }

    /// Takes a token if one is available. Returns whether a token was taken.
    pub fn take(&mut self, now: Time) -> bool {
        let taken = self.has_token(now);
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}
