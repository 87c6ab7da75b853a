//! A rate limit with one second's worth of burst.

use crate::core::model::time::Time;

/// Tokens that come at a steady rate and are kept for up to a second.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    tokens: f64,
    filled: Time,
}

impl TokenBucket {
    /// A bucket for so many requests a second, with `tokens` of them to begin with.
    pub fn new(rate: f64, tokens: f64, now: Time) -> Self {
        Self {
            rate,
            tokens,
            filled: now,
        }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Whether there is a token.
    pub fn has_token(&mut self, now: Time) -> bool {
        let gained = (now - self.filled) * self.rate;
        self.tokens = (self.tokens + gained).min(self.rate.max(1.0));
        self.filled = now;
        self.tokens >= 1.0
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Time) -> bool {
        let taken = self.has_token(now);
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}
