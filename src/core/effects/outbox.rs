//! The effects of a step, and the pending calls of the controller.

use crate::config::Config;
use crate::core::effects::pacing::Pacing;
use crate::core::effects::pending::{CloudOperation, Pending};
use crate::core::effects::{Answer, CallId, CloudCall, Effect, RequestId, StoreCall, StoreReply};
use crate::core::messages::mesh::{MeshMessage, MeshReply};
use crate::core::model::time::Time;
use crate::ids::{ControllerName, MachineId};
use crate::wire::DirectCommands;
use rand::Rng;
use rand::rngs::StdRng;
use std::collections::HashMap;

/// Collects the effects of a step and matches replies to pending calls. It also holds the time of the step,
/// the random number generator and the pacing of requests to the store.
pub struct Outbox {
    /// The monotonic time of the step.
    pub now: Time,
    /// The wall-clock time of the step, in milliseconds.
    pub wall_ms: u64,
    /// Pacing of writes to the store.
    writes: Pacing,
    /// Pacing of all requests to the store.
    requests: Pacing,
    rng: StdRng,
    /// The id of the last call. Ids are ascending.
    last_call_id: u64,
    pending: HashMap<CallId, Pending>,
    /// Number of pending calls to workers.
    pending_worker_calls: usize,
    effects: Vec<Effect>,
}

impl Outbox {
    /// Creates an outbox without effects or pending calls.
    pub fn new(rng: StdRng, config: &Config) -> Self {
        let (pending, effects) = (HashMap::new(), Vec::new());
        let (writes, requests) = (Pacing::new(config), Pacing::new(config));
        Self {
            now: 0.0,
            wall_ms: 0,
            writes,
            requests,
            rng,
            last_call_id: 0,
            pending,
            pending_worker_calls: 0,
            effects,
        }
    }

    /// Begins a step at this monotonic and wall-clock time.
    pub fn begin_step(&mut self, now: Time, wall_ms: u64) {
        self.now = now;
        self.wall_ms = wall_ms;
    }

    /// Takes the effects of the step, in the order in which they were added.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Removes and returns the pending call of a reply. `None` if the call is not pending.
    pub fn take_pending(&mut self, call: CallId) -> Option<Pending> {
        let pending = self.pending.remove(&call);
        if let Some(Pending::DirectCommands { .. } | Pending::Inspection { .. }) = pending {
            self.pending_worker_calls -= 1;
        }
        pending
    }

    /// Number of calls to workers whose replies have not arrived.
    pub fn pending_worker_calls(&self) -> usize {
        self.pending_worker_calls
    }

    /// Adds a pending call and returns its id.
    fn add_pending(&mut self, pending: Pending) -> CallId {
        self.last_call_id += 1;
        let call = CallId(self.last_call_id);
        self.pending.insert(call, pending);
        call
    }

    /// Answers a request of a user, a worker or an operator.
    pub fn answer(&mut self, request: RequestId, answer: Answer) {
        self.effects.push(Effect::Answer(request, answer));
    }

    /// Answers a message of a sibling.
    pub fn answer_sibling(&mut self, request: RequestId, reply: MeshReply) {
        self.effects.push(Effect::MeshAnswer(request, reply));
    }

    /// Sends a call to the store.
    pub fn call_store(&mut self, pending: Pending, request: StoreCall) {
        let call = self.add_pending(pending);
        self.effects.push(Effect::Store(call, request));
    }

    /// Sends a call to the cloud. `operation` is the leader's operation, or `None` for a read of the machine
    /// types.
    pub fn call_cloud(&mut self, operation: Option<CloudOperation>, request: CloudCall) {
        let call = self.add_pending(Pending::Cloud(operation));
        self.effects.push(Effect::Cloud(call, request));
    }

    /// Sends commands to the worker of a machine at this address.
    pub fn send_commands(
        &mut self,
        machine: &MachineId,
        address: &str,
        commands: DirectCommands,
    ) -> CallId {
        self.call_worker(
            Pending::DirectCommands {
                machine: machine.clone(),
            },
            address,
            commands,
        )
    }

    /// Requests the task list of a machine. `commands` is empty, and the reply holds the worker's state.
    pub fn inspect_machine(
        &mut self,
        machine: &MachineId,
        address: &str,
        commands: DirectCommands,
    ) {
        self.call_worker(
            Pending::Inspection {
                machine: machine.clone(),
            },
            address,
            commands,
        );
    }

    fn call_worker(&mut self, pending: Pending, address: &str, commands: DirectCommands) -> CallId {
        self.pending_worker_calls += 1;
        let call = self.add_pending(pending);
        self.effects
            .push(Effect::Worker(call, address.to_owned(), commands));
        call
    }

    /// Sends a message to a sibling.
    pub fn send_to_sibling(
        &mut self,
        pending: Pending,
        node: &ControllerName,
        message: MeshMessage,
    ) {
        let call = self.add_pending(pending);
        self.effects.push(Effect::Mesh(call, node.clone(), message));
    }

    /// Whether a request to the store may be sent now. Requests that cannot be delayed ignore this.
    pub fn may_read(&self) -> bool {
        self.requests.may_send(self.now)
    }

    /// Whether a write to the store may be sent now. Writes that cannot be delayed ignore this.
    pub fn may_write(&self) -> bool {
        self.may_read() && self.writes.may_send(self.now)
    }

    /// The time from which on writes that can be delayed may be sent again.
    pub fn writes_resume_at(&self) -> Time {
        self.requests.resumes_at().max(self.writes.resumes_at())
    }

    /// Adjusts the pacing to a reply of the store. A refused write does not hold back reads: the rate limit
    /// of all requests is far higher than that of writes.
    pub fn update_pacing(&mut self, is_write: bool, reply: &StoreReply) {
        let now = self.now;
        match reply {
            StoreReply::Busy => {
                let jitter = self.jitter(1.0);
                let pacing = if is_write {
                    &mut self.writes
                } else {
                    &mut self.requests
                };
                pacing.record_refusal(now, jitter);
            }
            StoreReply::Refused | StoreReply::Unknown => {}
            _ if is_write => self.writes.record_success(now),
            _ => self.requests.record_success(now),
        }
    }

    /// Returns `seconds` times a random factor from 0.75 to 1.25, so that controllers do not act
    /// simultaneously.
    pub fn jitter(&mut self, seconds: Time) -> Time {
        seconds * self.rng.random_range(0.75..1.25)
    }
}
