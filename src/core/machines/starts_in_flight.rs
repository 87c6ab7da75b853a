//! Start commands in flight to machines. This module alone tracks whether the start of an attempt may still
//! reach its machine.
//!
//! A start is sent in direct messages, each on its own connection, and in responses to the machine's
//! heartbeats. The attempt may begin on the machine until every message that carried its start is known to
//! have been executed, refused or never sent. A heartbeat that does not report the attempt does not change
//! this. If such an attempt were taken to be absent, or if the worker forgot its exit, it could begin while
//! the task runs elsewhere (`docs/incidents/2026-12-start-under-way.md`).
//!
//! A message is also void if the machine has reported a higher fencing token or a later agent epoch: the
//! worker executes nothing that was sent under an earlier one. The entries outlive the attempts. They also
//! remain while the machine belongs to other owners.

use crate::core::effects::CallId;
use crate::ids::{Attempt, FencingToken, MachineId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies an attempt by its task and its number within the task.
pub type AttemptKey = (TaskId, Attempt);

/// The fence of a message: a worker executes the message only if it is in this agent epoch and knows no
/// higher token.
#[derive(Clone, Copy, Debug)]
pub struct Fence {
    /// The machine's fencing token when the message was sent.
    pub token: FencingToken,
    /// The worker's agent epoch for which the message is valid.
    pub agent_epoch: u64,
}

/// A direct message that contains starts and may still arrive.
#[derive(Debug)]
struct DirectMessage {
    call: CallId,
    fence: Fence,
    starts: BTreeSet<AttemptKey>,
    /// Whether its answer is no longer awaited. The message may have been executed or may still arrive.
    outcome_unknown: bool,
}

/// The response to a heartbeat, with the starts that it contains.
#[derive(Debug)]
struct HeartbeatResponse {
    fence: Fence,
    starts: BTreeSet<AttemptKey>,
}

/// The starts in flight to one machine.
#[derive(Debug, Default)]
struct MachineStarts {
    direct: Vec<DirectMessage>,
    /// The response to its newest heartbeat. A worker has one heartbeat in flight at a time. It executes the
    /// response before it sends the next heartbeat, or never.
    response: Option<HeartbeatResponse>,
}

impl MachineStarts {
    fn is_empty(&self) -> bool {
        self.direct.is_empty() && self.response.is_none()
    }

    fn may_arrive(&self, attempt: &AttemptKey) -> bool {
        let in_response = self
            .response
            .as_ref()
            .is_some_and(|response| response.starts.contains(attempt));
        in_response
            || self
                .direct
                .iter()
                .any(|message| message.starts.contains(attempt))
    }

    fn awaits_answer(&self, attempt: &AttemptKey) -> bool {
        self.direct
            .iter()
            .any(|message| !message.outcome_unknown && message.starts.contains(attempt))
    }
}

/// The starts that may still arrive, by machine.
#[derive(Debug, Default)]
pub struct StartsInFlight {
    machines: BTreeMap<MachineId, MachineStarts>,
}

impl StartsInFlight {
    /// Records that a direct message with these starts was sent. Messages without starts are not tracked.
    pub fn record_direct_message(
        &mut self,
        machine: &MachineId,
        call: CallId,
        fence: Fence,
        starts: BTreeSet<AttemptKey>,
    ) {
        if starts.is_empty() {
            return;
        }
        let message = DirectMessage {
            call,
            fence,
            starts,
            outcome_unknown: false,
        };
        let in_flight = self.machines.entry(machine.clone()).or_default();
        in_flight.direct.push(message);
    }

    /// Records that a direct message was executed, refused or never sent, so that it can no longer arrive.
    /// Returns the starts that it contained.
    pub fn record_outcome(&mut self, machine: &MachineId, call: CallId) -> BTreeSet<AttemptKey> {
        let Some(in_flight) = self.machines.get_mut(machine) else {
            return BTreeSet::new();
        };
        let position = in_flight
            .direct
            .iter()
            .position(|message| message.call == call);
        let starts = position
            .map(|position| in_flight.direct.swap_remove(position).starts)
            .unwrap_or_default();
        self.remove_if_empty(machine);
        starts
    }

    /// Records that no valid answer to a direct message arrived. The message may have been executed or may
    /// still arrive. Returns the number of such messages to the machine.
    pub fn record_unknown_outcome(&mut self, machine: &MachineId, call: CallId) -> usize {
        let Some(in_flight) = self.machines.get_mut(machine) else {
            return 0;
        };
        let direct = &mut in_flight.direct;
        for message in direct.iter_mut().filter(|message| message.call == call) {
            message.outcome_unknown = true;
        }
        direct
            .iter()
            .filter(|message| message.outcome_unknown)
            .count()
    }

    /// Records that the response to a heartbeat contains these starts under this fence.
    pub fn record_heartbeat_response(
        &mut self,
        machine: &MachineId,
        fence: Fence,
        starts: BTreeSet<AttemptKey>,
    ) {
        if starts.is_empty() {
            return;
        }
        let in_flight = self.machines.entry(machine.clone()).or_default();
        in_flight.response = Some(HeartbeatResponse { fence, starts });
    }

    /// Discards the response to the previous heartbeat after a newer one was received: the worker has
    /// executed that response or never will.
    pub fn clear_heartbeat_response(&mut self, machine: &MachineId) {
        if let Some(in_flight) = self.machines.get_mut(machine) {
            in_flight.response = None;
            self.remove_if_empty(machine);
        }
    }

    /// Discards the messages that were sent under an earlier token or agent epoch than these, which the
    /// machine has reported.
    pub fn discard_outdated(&mut self, machine: &MachineId, token: FencingToken, agent_epoch: u64) {
        let Some(in_flight) = self.machines.get_mut(machine) else {
            return;
        };
        let is_outdated = |fence: Fence| fence.token < token || fence.agent_epoch < agent_epoch;
        in_flight
            .direct
            .retain(|message| !is_outdated(message.fence));
        in_flight
            .response
            .take_if(|response| is_outdated(response.fence));
        self.remove_if_empty(machine);
    }

    /// Discards the starts to machines that no longer exist.
    pub fn retain_machines(&mut self, exists: impl Fn(&MachineId) -> bool) {
        self.machines.retain(|machine, _| exists(machine));
    }

    /// Discards all starts to a machine after its agent epoch has ended: none of them can be executed any
    /// more.
    pub fn discard_all(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }

    /// Returns whether a start of this attempt may still arrive at the machine.
    pub fn may_arrive(&self, machine: &MachineId, attempt: &AttemptKey) -> bool {
        self.machines
            .get(machine)
            .is_some_and(|in_flight| in_flight.may_arrive(attempt))
    }

    /// Returns whether a direct message with the start of this attempt still awaits its answer.
    pub fn awaits_answer(&self, machine: &MachineId, attempt: &AttemptKey) -> bool {
        self.machines
            .get(machine)
            .is_some_and(|in_flight| in_flight.awaits_answer(attempt))
    }

    /// Removes the machine's entry if it has no starts left.
    fn remove_if_empty(&mut self, machine: &MachineId) {
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
