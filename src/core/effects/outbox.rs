//! The effects of a step, and the calls whose replies are pending.

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

/// Collects the effects of a step and matches replies to calls. It also holds the time of the step, the random
/// number generator, and the pacing of requests to the store.
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
    /// The number of the last call.
    last_call_id: u64,
    pending: HashMap<CallId, Pending>,
    pending_worker_calls: usize,
    effects: Vec<Effect>,
}

impl Outbox {
    /// An outbox without effects or pending calls.
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

    /// Begins a step at this time.
    pub fn begin_step(&mut self, now: Time, wall_ms: u64) {
        self.now = now;
        self.wall_ms = wall_ms;
    }

    /// Takes the effects collected so far, in their order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes what a reply belongs to; `None` if the call is not pending.
    pub fn take_pending(&mut self, call: CallId) -> Option<Pending> {
        let pending = self.pending.remove(&call);
        if let Some(Pending::DirectCommands { .. } | Pending::Inspection { .. }) = pending {
            self.pending_worker_calls -= 1;
        }
        pending
    }

    /// Number of calls to workers whose replies are pending.
    pub fn pending_worker_calls(&self) -> usize {
        self.pending_worker_calls
    }

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

    /// Calls the store.
    pub fn call_store(&mut self, pending: Pending, request: StoreCall) {
        let call = self.add_pending(pending);
        self.effects.push(Effect::Store(call, request));
    }

    /// Calls the cloud. `operation`: the leader's operation, or `None` if the machine types are read.
    pub fn call_cloud(&mut self, operation: Option<CloudOperation>, request: CloudCall) {
        let call = self.add_pending(Pending::Cloud(operation));
        self.effects.push(Effect::Cloud(call, request));
    }

    /// Sends commands to a worker.
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

    /// Asks a machine for its tasks, by an empty set of commands.
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

    /// Whether requests to the store that can wait may be sent.
    pub fn may_read(&self) -> bool {
        self.requests.may_send(self.now)
    }

    /// Whether writes to the store that can wait may be sent.
    pub fn may_write(&self) -> bool {
        self.may_read() && self.writes.may_send(self.now)
    }

    /// When writes that can wait may be sent again.
    pub fn writes_resume_at(&self) -> Time {
        self.requests.resumes_at().max(self.writes.resumes_at())
    }

    /// Adjusts the pacing to a reply of the store. A write refused for its rate says nothing about the rate of all
    /// requests, which is far higher.
    pub fn update_pacing(&mut self, is_write: bool, reply: &StoreReply) {
        let now = self.now;
        match reply {
            StoreReply::Busy => {
                let spread = self.jitter(1.0);
                let pacing = if is_write {
                    &mut self.writes
                } else {
                    &mut self.requests
                };
                pacing.record_refusal(now, spread);
            }
            StoreReply::Refused | StoreReply::Unknown => {}
            _ if is_write => self.writes.record_success(now),
            _ => self.requests.record_success(now),
        }
    }

    /// `seconds` times a random factor from 0.75 to 1.25, so that controllers do not act in step.
    pub fn jitter(&mut self, seconds: Time) -> Time {
        seconds * self.rng.random_range(0.75..1.25)
    }
}
