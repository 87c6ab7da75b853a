//! The commands in the next message to a machine.

use super::{Machine, Phase, TrackedAttempt};
use crate::core::machines::starts_in_flight::{AttemptKey, StartsInFlight};
use crate::wire::Command;
use std::collections::BTreeSet;

/// The kind of message that carries commands to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandChannel {
    /// A direct message, on a connection that the controller opens.
    Direct,
    /// The response to a heartbeat.
    HeartbeatResponse,
}

/// The commands of one message to a machine.
#[derive(Debug, Default)]
pub struct CommandBatch {
    /// Start, stop and forget commands, ordered by task and attempt.
    pub commands: Vec<Command>,
    /// The attempts for which `commands` contains a start.
    pub starts: BTreeSet<AttemptKey>,
}

impl Machine {
    /// Returns the commands for the next message. `in_flight` holds the starts that have already been sent.
    pub fn commands(&self, in_flight: &StartsInFlight, channel: CommandChannel) -> CommandBatch {
        let mut batch = CommandBatch::default();
        for (key, tracked) in &self.attempts {
            let Some(command) = self.command(key, tracked, in_flight, channel) else {
                continue;
            };
            if matches!(command, Command::Start { .. }) {
                batch.starts.insert(key.clone());
            }
            batch.commands.push(command);
        }
        batch
    }

    /// Returns the command that an attempt needs, if any.
    fn command(
        &self,
        key: &AttemptKey,
        tracked: &TrackedAttempt,
        in_flight: &StartsInFlight,
        channel: CommandChannel,
    ) -> Option<Command> {
        let (task, attempt) = (key.0.to_string(), key.1);
        match (&tracked.phase, tracked.stop) {
            (Phase::Issued, None) => {
                // A start in an unanswered direct message is not sent in a second one. The response to a
                // heartbeat carries all starts, because direct messages may not reach the machine.
                let is_sent =
                    channel == CommandChannel::Direct && in_flight.awaits_answer(&self.id, key);
                (!is_sent).then_some(Command::Start { task, attempt })
            }
            (Phase::Issued | Phase::Seen(_), Some(grace_s)) => Some(Command::Stop {
                task,
                attempt,
                grace_s,
            }),
            (Phase::Exited(_), _) if self.may_forget(tracked) => {
                Some(Command::Forget { task, attempt })
            }
            (Phase::Seen(_), None) | (Phase::Exited(_), _) => None,
        }
    }
}
