//! The effects of a step, and what is to be done with each call's reply.

use crate::config::Config;
use crate::core::effects::pacing::Pacing;
use crate::core::effects::pending::{CloudOperation, Pending};
use crate::core::effects::{Answer, CallId, CloudCall, Effect, RequestId, StoreCall, StoreReply};
use crate::core::messages::mesh::{MeshMessage, MeshReply};
use crate::core::model::time::Time;
use crate::ids::{MachineId, Node};
use crate::wire::DirectCommands;
use rand::Rng;
use rand::rngs::StdRng;
use std::collections::HashMap;

pub struct Outbox {
    pub now: Time,
    pub wall_ms: u64,
    /// Of changes in the state service, and of all requests to it.
    pub(crate) changes: Pacing,
    pub(crate) requests: Pacing,
    pub(crate) rng: StdRng,
    pub(crate) next_call: u64,
    pub(crate) calls: HashMap<CallId, Pending>,
    pub(crate) direct_commands: usize,
    pub(crate) effects: Vec<Effect>,
}

impl Outbox {
    pub fn new(rng: StdRng, config: &Config) -> Self {
        let (calls, effects) = (HashMap::new(), Vec::new());
        let (changes, requests) = (Pacing::new(config), Pacing::new(config));
        Self {
            now: 0.0,
            wall_ms: 0,
            changes,
            requests,
            rng,
            next_call: 0,
            calls,
            direct_commands: 0,
            effects,
        }
    }

    pub fn begin(&mut self, now: Time, wall_ms: u64) {
        self.now = now;
        self.wall_ms = wall_ms;
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn finish(&mut self, call: CallId) -> Option<Pending> {
        let pending = self.calls.remove(&call);
        if let Some(Pending::DirectCommands { .. } | Pending::Inspection { .. }) = pending {
            self.direct_commands -= 1;
        }
        pending
    }

    /// Direct orders to workers that are under way.
    pub fn direct_commands(&self) -> usize {
        self.direct_commands
    }

    pub(crate) fn call(&mut self, pending: Pending) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.calls.insert(call, pending);
        call
    }

    pub fn answer(&mut self, request: RequestId, answer: Answer) {
        self.effects.push(Effect::Answer(request, answer));
    }

    pub fn mesh_answer(&mut self, request: RequestId, reply: MeshReply) {
        self.effects.push(Effect::MeshAnswer(request, reply));
    }

    pub fn state(&mut self, pending: Pending, what: StoreCall) {
        let call = self.call(pending);
        self.effects.push(Effect::State(call, what));
    }

    /// `pending`: the leader's business; None for the machine types.
    pub fn cloud(&mut self, pending: Option<CloudOperation>, what: CloudCall) {
        let call = self.call(Pending::Cloud(pending));
        self.effects.push(Effect::Cloud(call, what));
    }

    pub fn worker(
        &mut self,
        machine: &MachineId,
        address: &str,
        commands: DirectCommands,
    ) -> CallId {
        self.direct(
            Pending::DirectCommands {
                machine: machine.clone(),
            },
            address,
            commands,
        )
    }

    /// Asks a machine what it holds, by orders that order nothing.
    pub fn inspect(&mut self, machine: &MachineId, address: &str, commands: DirectCommands) {
        self.direct(
            Pending::Inspection {
                machine: machine.clone(),
            },
            address,
            commands,
        );
    }

    pub(crate) fn direct(
        &mut self,
        pending: Pending,
        address: &str,
        commands: DirectCommands,
    ) -> CallId {
        self.direct_commands += 1;
        let call = self.call(pending);
        self.effects
            .push(Effect::Worker(call, address.to_owned(), commands));
        call
    }

    pub fn mesh(&mut self, pending: Pending, node: &Node, message: MeshMessage) {
        let call = self.call(pending);
        self.effects.push(Effect::Mesh(call, node.clone(), message));
    }

    /// Whether requests to the state service that can wait may be sent.
    pub fn may_read(&self) -> bool {
        self.requests.open(self.now)
    }

    /// Whether changes in the state service that can wait may be asked for.
    pub fn may_write(&self) -> bool {
        self.may_read() && self.changes.open(self.now)
    }

    /// When changes may be asked for again.
    pub fn write_resumes(&self) -> Time {
        self.requests.resume().max(self.changes.resume())
    }

    /// The state service has answered: how soon more may be asked of it. A refused change says nothing
    /// of the rate of all requests, which is far higher.
    pub fn pace(&mut self, change: bool, reply: &StoreReply) {
        let now = self.now;
        match reply {
            StoreReply::Busy => {
                let spread = self.jitter(1.0);
                let pacing = if change {
                    &mut self.changes
                } else {
                    &mut self.requests
                };
                pacing.refused(now, spread);
            }
            StoreReply::Refused | StoreReply::Unknown => {}
            _ if change => self.changes.served(now),
            _ => self.requests.served(now),
        }
    }

    /// `seconds`, give or take a quarter, so that controllers do not act in step.
    pub fn jitter(&mut self, seconds: Time) -> Time {
        seconds * self.rng.random_range(0.75..1.25)
    }
}
