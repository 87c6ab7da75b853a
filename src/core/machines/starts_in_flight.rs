//! Starts under way to machines: the one place that knows whether a start of an attempt may still
//! reach its machine.
//!
//! A start travels in direct messages, each on a connection of its own, and in the answers to the
//! machine's reports. Until every message that carried it is known to have been executed, refused or
//! never sent, the attempt may begin on the machine, whatever its reports show meanwhile: an attempt
//! that is taken to be absent, or whose exit the worker forgets, would then begin while the task
//! runs elsewhere (`docs/incidents/2026-12-start-under-way.md`).
//!
//! A machine that has shown a higher token or a later session executes nothing that was sent under
//! an earlier one, so that settles a message too. What is known here outlives the attempts and the
//! moves of a machine to other controllers and back.

use crate::core::effects::CallId;
use crate::ids::{Attempt, FencingToken, MachineId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// One attempt of a task.
pub type AttemptKey = (TaskId, Attempt);

/// A direct message with starts.
#[derive(Debug)]
struct DirectMessage {
    call: CallId,
    token: FencingToken,
    agent_epoch: u64,
    starts: BTreeSet<AttemptKey>,
    /// Its answer is not waited for any more, but it may still arrive.
    given_up: bool,
}

/// What is under way to one machine.
#[derive(Debug, Default)]
struct MachineStarts {
    direct: Vec<DirectMessage>,
    /// The answer to its newest report. A worker has one report under way at a time, and executes the
    /// answer before it reports again or never.
    answer: Option<HeartbeatResponse>,
}

/// The starts in the answer to a report of this session.
#[derive(Debug)]
struct HeartbeatResponse {
    agent_epoch: u64,
    starts: BTreeSet<AttemptKey>,
}

impl MachineStarts {
    fn is_empty(&self) -> bool {
        self.direct.is_empty() && self.answer.is_none()
    }
}

/// Starts that may still arrive, by machine.
#[derive(Debug, Default)]
pub struct StartsInFlight {
    machines: BTreeMap<MachineId, MachineStarts>,
}

impl StartsInFlight {
    /// A direct message with these starts is sent.
    pub fn sent(
        &mut self,
        machine: &MachineId,
        call: CallId,
        (token, agent_epoch): (FencingToken, u64),
        starts: BTreeSet<AttemptKey>,
    ) {
        if !starts.is_empty() {
            let message = DirectMessage {
                call,
                token,
                agent_epoch,
                starts,
                given_up: false,
            };
            self.machines
                .entry(machine.clone())
                .or_default()
                .direct
                .push(message);
        }
    }

    /// A direct message was executed or refused, or it never left: it will not arrive (again). The
    /// starts it carried.
    pub fn outcome_known(&mut self, machine: &MachineId, call: CallId) -> BTreeSet<AttemptKey> {
        let Some(starts) = self.machines.get_mut(machine) else {
            return BTreeSet::new();
        };
        let at = starts
            .direct
            .iter()
            .position(|message| message.call == call);
        let reconciled = at
            .map(|at| starts.direct.swap_remove(at).starts)
            .unwrap_or_default();
        self.prune(machine);
        reconciled
    }

    /// A direct message got no answer in time: executed, or not, or later. How many there are now
    /// that may arrive late.
    pub fn given_up(&mut self, machine: &MachineId, call: CallId) -> usize {
        let Some(starts) = self.machines.get_mut(machine) else {
            return 0;
        };
        for message in starts
            .direct
            .iter_mut()
            .filter(|message| message.call == call)
        {
            message.given_up = true;
        }
        starts
            .direct
            .iter()
            .filter(|message| message.given_up)
            .count()
    }

    /// A report of the machine, in this session, is answered with these starts.
    pub fn answered(
        &mut self,
        machine: &MachineId,
        agent_epoch: u64,
        starts: BTreeSet<AttemptKey>,
    ) {
        if !starts.is_empty() {
            let answer = HeartbeatResponse {
                agent_epoch,
                starts,
            };
            self.machines.entry(machine.clone()).or_default().answer = Some(answer);
        }
    }

    /// A newer report of the machine was received: the answer to the one before was executed, or never
    /// will be.
    pub fn reported(&mut self, machine: &MachineId) {
        if let Some(starts) = self.machines.get_mut(machine) {
            starts.answer = None;
            self.prune(machine);
        }
    }

    /// The machine has shown this token and session: what was sent under earlier ones is void.
    pub fn shown(&mut self, machine: &MachineId, token: FencingToken, agent_epoch: u64) {
        if let Some(starts) = self.machines.get_mut(machine) {
            starts
                .direct
                .retain(|message| message.token >= token && message.agent_epoch >= agent_epoch);
            starts
                .answer
                .take_if(|answer| answer.agent_epoch < agent_epoch);
            self.prune(machine);
        }
    }

    /// Keeps what is under way to these machines; the others are gone.
    pub fn retain(&mut self, known: impl Fn(&MachineId) -> bool) {
        self.machines.retain(|machine, _| known(machine));
    }

    /// The session in which everything was sent is over.
    pub fn void(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }

    /// Whether a start of this attempt may still arrive.
    pub fn may_arrive(&self, machine: &MachineId, attempt: &AttemptKey) -> bool {
        self.machines.get(machine).is_some_and(|starts| {
            starts
                .answer
                .as_ref()
                .is_some_and(|answer| answer.starts.contains(attempt))
                || starts
                    .direct
                    .iter()
                    .any(|message| message.starts.contains(attempt))
        })
    }

    /// Whether a direct message with its start is waiting for an answer.
    pub fn awaits_answer(&self, machine: &MachineId, attempt: &AttemptKey) -> bool {
        self.machines.get(machine).is_some_and(|starts| {
            let waits = |message: &DirectMessage| !message.given_up;
            starts
                .direct
                .iter()
                .any(|m| waits(m) && m.starts.contains(attempt))
        })
    }

    fn prune(&mut self, machine: &MachineId) {
        if self
            .machines
            .get(machine)
            .is_some_and(MachineStarts::is_empty)
        {
            self.machines.remove(machine);
        }
    }
}

#[cfg(test)]
mod tests;
