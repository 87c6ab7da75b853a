//! Log of what this process is entitled to and of what it tells machines to do, for the analysis of incidents:
//! machines gained and lost, starts, and messages with stops and forgets. Each line names the token and the agent
//! epoch under which it holds.

use crate::core::machines::machine::{CommandBatch, Machine};
use crate::core::machines::starts_in_flight::{AttemptKey, Fence};
use crate::core::model::time::Time;
use crate::core::model::token_bucket::TokenBucket;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{Attempt, FencingToken, MachineId, TaskId, Team};
use crate::wire::Command;
use std::collections::BTreeMap;

/// Lines per second that one process writes about commands. With [`MAX_NAMES`], a line has some 300 bytes.
const COMMAND_LINES_PER_S: f64 = 10.0;

/// Names that one line lists; further ones are only counted.
const MAX_NAMES: usize = 4;

/// Limits the lines about commands, and counts those that were left out.
#[derive(Debug)]
pub struct DecisionLog {
    permitted: TokenBucket,
    left_out: u64,
    /// Commands to forget an exit since the last call of [`Self::take_forgets`].
    forgets: usize,
}

impl DecisionLog {
    /// Creates a log that may write a second's lines at once.
    pub fn new(now: Time) -> Self {
        Self {
            permitted: TokenBucket::new(COMMAND_LINES_PER_S, COMMAND_LINES_PER_S, now),
            left_out: 0,
            forgets: 0,
        }
    }

    /// Takes the number of commands to forget an exit that were sent since the last call.
    pub(super) fn take_forgets(&mut self) -> usize {
        std::mem::take(&mut self.forgets)
    }

    /// Takes the permission for one line. The first line after a gap is preceded by the number of those left
    /// out.
    pub(super) fn permits_line(&mut self, now: Time) -> bool {
        if !self.permitted.take(now) {
            self.left_out += 1;
            return false;
        }
        let left_out = std::mem::take(&mut self.left_out);
        if left_out > 0 {
            tracing::info!(left_out, "lines about commands were left out");
        }
        true
    }

    /// Logs a message to a machine that contains stops. Starts are logged when they are issued, messages that only
    /// let the worker forget exits are counted.
    pub fn log_commands(
        &mut self,
        machine: &MachineId,
        fence: Fence,
        batch: &CommandBatch,
        now: Time,
    ) {
        let stops = describe(&batch.commands, |command| match command {
            Command::Stop { task, attempt, .. } => Some((task, *attempt)),
            _ => None,
        });
        let forgets = describe(&batch.commands, |command| match command {
            Command::Forget { task, attempt } => Some((task, *attempt)),
            _ => None,
        });
        let is_forget = |command: &&Command| matches!(command, Command::Forget { .. });
        self.forgets += batch.commands.iter().filter(is_forget).count();
        if stops.is_empty() || !self.permits_line(now) {
            return;
        }
        tracing::info!(
            %machine,
            token = fence.token.0,
            agent_epoch = fence.agent_epoch,
            starts = batch.starts.len(),
            %stops,
            %forgets,
            "stops sent to a machine"
        );
    }

    /// Logs the start of an attempt, and what proves that no other attempt of the task is on a machine.
    pub fn log_start(&mut self, start: &IssuedStart, now: Time) {
        if !self.permits_line(now) {
            return;
        }
        tracing::info!(
            task = %start.task,
            attempt = start.attempt.0,
            machine = %start.machine.id,
            token = start.machine.command_tokens.current().0,
            agent_epoch = start.machine.agent_epoch(),
            team = %start.team,
            team_token = start.team_token.0,
            proof = if start.is_team_reconciled {
                "all machines have reported"
            } else {
                "no earlier owner may have started it"
            },
            "start allowed"
        );
    }
}

/// An attempt whose start was issued.
pub struct IssuedStart<'a> {
    /// Its task.
    pub task: &'a TaskId,
    /// Its number.
    pub attempt: Attempt,
    /// The machine on which it is started.
    pub machine: &'a Machine,
    /// The team of its job.
    pub team: &'a Team,
    /// The fencing token of the team.
    pub team_token: FencingToken,
    /// Whether every machine has reported which of the team's tasks it runs.
    pub is_team_reconciled: bool,
}

/// The number of commands that `select` selects, with the first of their tasks and attempts; empty if there are
/// none.
fn describe(
    commands: &[Command],
    select: impl Fn(&Command) -> Option<(&String, Attempt)>,
) -> String {
    let selected: Vec<String> = commands
        .iter()
        .filter_map(select)
        .map(|(task, attempt)| format!("{task}@{}", attempt.0))
        .collect();
    if selected.is_empty() {
        return String::new();
    }
    let named = selected.iter().take(MAX_NAMES);
    let names: Vec<&str> = named.map(String::as_str).collect();
    format!("{}: {}", selected.len(), names.join(" "))
}

/// Whether a machine came to this process or went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OwnershipChange {
    /// The map assigns it to this process, or under a new token.
    Gained,
    /// The map assigns it to another process.
    Lost,
}

/// The machines that one read of the shard map has brought to this process or taken from it.
#[derive(Debug, Default)]
pub struct MachineChanges(BTreeMap<(OwnershipChange, FencingToken), Vec<MachineId>>);

impl MachineChanges {
    /// Records that the machine changed hands under this token.
    pub fn record(&mut self, change: OwnershipChange, token: FencingToken, machine: &MachineId) {
        let machines = self.0.entry((change, token)).or_default();
        machines.push(machine.clone());
    }

    /// Writes one line for the machines of each token.
    pub fn log(&self, store: &StoreReplica, now: Time) {
        for ((change, token), machines) in &self.0 {
            let named = machines.iter().take(MAX_NAMES);
            let names: Vec<&str> = named.map(MachineId::as_str).collect();
            tracing::info!(
                ?change,
                token = token.0,
                machines = machines.len(),
                first = %names.join(" "),
                map_revision = store.map_revision(),
                read_s_ago = %format_args!("{:.2}", now - store.current_as_of()),
                "machines changed their owner or token"
            );
        }
    }
}

impl Shard {
    /// Warns of an attempt that appeared on a machine of this process although no start of it was in flight, and
    /// counts it. `shown` is the token in the heartbeat: no message with its start has a higher one.
    pub(super) fn report_unexpected_attempt(
        &mut self,
        machine_id: &MachineId,
        key: &AttemptKey,
        shown: FencingToken,
    ) {
        let other = self.find_other_attempt(machine_id, key);
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let Some(tracked) = machine.attempts.get_mut(key) else {
            return;
        };
        tracked.last_start_token = tracked.last_start_token.max(Some(shown));
        let (task, attempt) = key;
        let (other_machine, other_attempt) = other.unzip();
        tracing::warn!(
            %task,
            attempt = attempt.0,
            machine = %machine_id,
            token = shown.0,
            agent_epoch = machine.agent_epoch(),
            other_machine = ?other_machine,
            other_attempt = ?other_attempt,
            "an attempt appeared that this process has not started under its present token"
        );
        self.unexpected_attempts += 1;
    }

    /// Another attempt of the task that may be on a machine.
    fn find_other_attempt(
        &self,
        machine_id: &MachineId,
        key: &AttemptKey,
    ) -> Option<(MachineId, Attempt)> {
        let (task, attempt) = key;
        let found = self.find_live_attempt(task);
        found.filter(|(machine, other)| machine != machine_id || other != attempt)
    }
}

#[cfg(test)]
mod tests;
