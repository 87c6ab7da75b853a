//! The fencing tokens under which an owner sends commands to its machine.
//!
//! A direct message may reach the worker again after it was executed and answered. While the worker still
//! reports the attempts that the message starts, the copy has no effect. Once the worker has forgotten an
//! attempt, only a higher token keeps a copy from starting it again. An exit is therefore forgotten only in a
//! message under a higher token than every start of the attempt. The owner raises the token itself, within
//! the range that the shard map grants with the assignment, so that this costs no write to the store.

use super::{Machine, Phase, TrackedAttempt};
use crate::core::machines::starts_in_flight::AttemptKey;
use crate::core::model::time::Time;
use crate::ids::FencingToken;
use std::collections::BTreeSet;

/// Shortest time between two raises, in durations of a worker's lease. A worker reports a higher token early
/// at most this often.
const RAISE_INTERVAL_LEASES: f64 = 0.5;

/// Number of exits that wait for a higher token at which the token is raised at once, or requested from the
/// leader if the range is used up. It bounds the length of heartbeats.
const MAX_UNFENCED_EXITS: usize = 128;

/// The range of tokens of one assignment of a machine, and the token in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandTokens {
    /// The token in the shard map, the lowest of the range.
    assigned: FencingToken,
    /// The highest token of the range.
    highest: FencingToken,
    /// The token under which commands are sent.
    current: FencingToken,
}

impl CommandTokens {
    /// The tokens of an assignment that grants `raises` tokens above `assigned`.
    pub fn new(assigned: FencingToken, raises: u64) -> Self {
        Self {
            assigned,
            highest: assigned.raised_by(raises),
            current: assigned,
        }
    }

    /// The token under which commands are sent.
    pub fn current(&self) -> FencingToken {
        self.current
    }

    /// Whether a worker that shows this token has heard from the owner under this assignment.
    pub fn include(&self, shown: FencingToken) -> bool {
        (self.assigned..=self.current).contains(&shown)
    }

    /// Raises the token by one. Returns false if the range is used up.
    fn raise(&mut self) -> bool {
        let is_available = self.current < self.highest;
        if is_available {
            self.current = self.current.raised_by(1);
        }
        is_available
    }
}

impl Machine {
    /// Raises the command token if exits wait for it, unless it was raised a short time ago. Requests a new
    /// token for the machine if many exits wait and the range is used up.
    pub fn raise_command_token_if_needed(&mut self, lease_s: Time, now: Time) {
        let unfenced = self.unfenced_exits();
        let is_due = now >= self.command_token_raised_at + lease_s * RAISE_INTERVAL_LEASES;
        if unfenced == 0 || (!is_due && unfenced < MAX_UNFENCED_EXITS) {
            return;
        }
        if self.command_tokens.raise() {
            self.command_token_raised_at = now;
        } else if unfenced >= MAX_UNFENCED_EXITS {
            self.needs_new_token = true;
        }
    }

    /// Records that a message under the present command token contains these starts.
    pub fn record_starts(&mut self, starts: &BTreeSet<AttemptKey>) {
        let token = self.command_tokens.current();
        for key in starts {
            if let Some(tracked) = self.attempts.get_mut(key) {
                tracked.last_start_token = Some(token);
            }
        }
    }

    /// Whether a message under the present command token may contain the command to forget the attempt: no
    /// message with a start of it is executed after that one.
    pub(super) fn may_forget(&self, tracked: &TrackedAttempt) -> bool {
        let current = self.command_tokens.current();
        let is_fenced = |token| token < current;
        tracked.may_forget && tracked.last_start_token.is_none_or(is_fenced)
    }

    /// The number of exits that may be forgotten once the command token is higher.
    fn unfenced_exits(&self) -> usize {
        let waits = |tracked: &&TrackedAttempt| {
            matches!(tracked.phase, Phase::Exited(_))
                && tracked.may_forget
                && !self.may_forget(tracked)
        };
        self.attempts.values().filter(waits).count()
    }
}

#[cfg(test)]
mod tests;
