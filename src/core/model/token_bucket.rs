//! A rate limit with one second's worth of burst.

use crate::core::model::time::Time;

/// A token bucket: it fills at a constant rate and holds at most one second's worth of tokens.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    tokens: f64,
    /// When `tokens` was last brought up to date.
    updated_at: Time,
}

impl TokenBucket {
    /// A bucket that fills with `rate` tokens per second and holds `tokens` at `now`.
    pub fn new(rate: f64, tokens: f64, now: Time) -> Self {
        Self {
            rate,
            tokens,
            updated_at: now,
        }
    }

    /// Changes the rate in tokens per second, also for the time since the bucket was last used.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Whether a token is available.
    pub fn has_token(&mut self, now: Time) -> bool {
        let gained = (now - self.updated_at) * self.rate;
        self.tokens = (self.tokens + gained).min(self.rate.max(1.0));
        self.updated_at = now;
        self.tokens >= 1.0
    }

    /// Takes a token if one is available, and returns whether it did.
    pub fn take(&mut self, now: Time) -> bool {
        let taken = self.has_token(now);
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}
