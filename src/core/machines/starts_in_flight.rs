//! Start commands in flight to machines: the one place that knows whether the start of an attempt may
//! still reach its machine.
//!
//! A start travels in direct messages, each on a connection of its own, and in the responses to the
//! machine's heartbeats. Until every message that carried it is known to have been executed, refused or
//! never sent, the attempt may begin on the machine, whatever its heartbeats show meanwhile: an attempt
//! that is taken to be absent, or whose exit the worker forgets, would then begin while the task
//! runs elsewhere (`docs/incidents/2026-12-start-under-way.md`).
//!
//! A machine that has shown a higher fencing token or a later agent epoch executes nothing that was sent
//! under an earlier one, so that makes a message void too. These records outlive the attempts, and the
//! machine's changes to other owners and back.

use crate::core::effects::CallId;
use crate::ids::{Attempt, FencingToken, MachineId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// One attempt of a task.
pub type AttemptKey = (TaskId, Attempt);

/// A worker executes a message only if it knows no higher token, and is in this agent epoch.
#[derive(Clone, Copy, Debug)]
pub struct Fence {
    /// The machine's fencing token when the message was sent.
    pub token: FencingToken,
    /// The worker's agent epoch for which it is meant.
    pub agent_epoch: u64,
}

/// A direct message with starts.
#[derive(Debug)]
struct DirectMessage {
    call: CallId,
    fence: Fence,
    starts: BTreeSet<AttemptKey>,
    /// Its answer is no longer awaited, but the message may still arrive.
    given_up: bool,
}

/// The starts in the response to a heartbeat of this agent epoch.
#[derive(Debug)]
struct HeartbeatResponse {
    agent_epoch: u64,
    starts: BTreeSet<AttemptKey>,
}

/// The starts in flight to one machine.
#[derive(Debug, Default)]
struct MachineStarts {
    direct: Vec<DirectMessage>,
    /// The response to its newest heartbeat. A worker has one heartbeat in flight at a time, and executes
    /// the response before it sends the next one, or never.
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
            .any(|message| !message.given_up && message.starts.contains(attempt))
    }
}

/// Starts that may still arrive, by machine.
#[derive(Debug, Default)]
pub struct StartsInFlight {
    machines: BTreeMap<MachineId, MachineStarts>,
}

impl StartsInFlight {
    /// Records a direct message with these starts that is sent now.
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
            given_up: false,
        };
        let in_flight = self.machines.entry(machine.clone()).or_default();
        in_flight.direct.push(message);
    }

    /// A direct message was executed or refused, or was never sent: it will not arrive, or not again.
    /// Returns the starts it carried.
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
        self.prune(machine);
        starts
    }

    /// A direct message was not answered in time: it was executed, or was not, or will be later.
    /// Returns how many messages to the machine may now arrive late.
    pub fn record_timeout(&mut self, machine: &MachineId, call: CallId) -> usize {
        let Some(in_flight) = self.machines.get_mut(machine) else {
            return 0;
        };
        let direct = &mut in_flight.direct;
        for message in direct.iter_mut().filter(|message| message.call == call) {
            message.given_up = true;
        }
        direct.iter().filter(|message| message.given_up).count()
    }

    /// Records that a heartbeat of this agent epoch is answered with these starts.
    pub fn record_heartbeat_response(
        &mut self,
        machine: &MachineId,
        agent_epoch: u64,
        starts: BTreeSet<AttemptKey>,
    ) {
        if starts.is_empty() {
            return;
        }
        let in_flight = self.machines.entry(machine.clone()).or_default();
        in_flight.response = Some(HeartbeatResponse {
            agent_epoch,
            starts,
        });
    }

    /// A newer heartbeat of the machine was received: the response to the one before was executed, or
    /// never will be.
    pub fn clear_heartbeat_response(&mut self, machine: &MachineId) {
        if let Some(in_flight) = self.machines.get_mut(machine) {
            in_flight.response = None;
            self.prune(machine);
        }
    }

    /// The machine has shown this token and agent epoch: what was sent under earlier ones is void.
    pub fn discard_outdated(&mut self, machine: &MachineId, token: FencingToken, agent_epoch: u64) {
        let Some(in_flight) = self.machines.get_mut(machine) else {
            return;
        };
        in_flight.direct.retain(|message| {
            message.fence.token >= token && message.fence.agent_epoch >= agent_epoch
        });
        in_flight
            .response
            .take_if(|response| response.agent_epoch < agent_epoch);
        self.prune(machine);
    }

    /// Drops the starts to machines that no longer exist.
    pub fn retain_machines(&mut self, exists: impl Fn(&MachineId) -> bool) {
        self.machines.retain(|machine, _| exists(machine));
    }

    /// The agent epoch in which everything was sent is over: nothing of it will be executed.
    pub fn discard_all(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }

    /// Whether a start of this attempt may still arrive.
    pub fn may_arrive(&self, machine: &MachineId, attempt: &AttemptKey) -> bool {
        self.machines
            .get(machine)
            .is_some_and(|in_flight| in_flight.may_arrive(attempt))
    }

    /// Whether a direct message with the start of this attempt is awaiting its answer.
    pub fn awaits_answer(&self, machine: &MachineId, attempt: &AttemptKey) -> bool {
        self.machines
            .get(machine)
            .is_some_and(|in_flight| in_flight.awaits_answer(attempt))
    }

    /// Keeps no entry without starts.
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
