//! The effects of a step, and what is to be done with each call's reply.

use super::authority::AuthorityCall;
use super::job_records::RecordWrite;
use super::leader::MapWrite;
use super::pacing::Pacing;
use super::peers::{MeshMessage, MeshReply};
use super::rebalance::CloudWork;
use super::user_requests::UserWrite;
use super::{Answer, CallId, CloudCall, Effect, RequestId, StateCall, StateReply, Time};
use crate::ids::{Attempt, MachineId, Node, TaskId};
use crate::wire::{DirectOrders, Write};
use rand::Rng;
use rand::rngs::StdRng;
use std::collections::HashMap;

/// What a reply belongs to.
#[derive(Debug)]
pub enum Pending {
    Sync {
        sent: Time,
    },
    UserWrite(UserWrite),
    Authority(AuthorityCall),
    Records(Vec<RecordWrite>),
    Map(MapWrite),
    /// The machine types are written.
    Types(Write),
    Orders {
        machine: MachineId,
        sent: Vec<(TaskId, Attempt)>,
    },
    Hello {
        node: Node,
        sent: Time,
    },
    Relay {
        request: RequestId,
    },
    /// A report that its machine's owner answers.
    RelayedReport {
        request: RequestId,
        owner: Node,
    },
    Notice,
    Cloud(Option<CloudWork>),
}

pub struct Io {
    pub now: Time,
    pub wall_ms: u64,
    /// Of requests to the state service.
    pub pacing: Pacing,
    rng: StdRng,
    next_call: u64,
    calls: HashMap<CallId, Pending>,
    direct_orders: usize,
    effects: Vec<Effect>,
}

impl Io {
    pub fn new(rng: StdRng, pacing: Pacing) -> Self {
        let (calls, effects) = (HashMap::new(), Vec::new());
        Self { now: 0.0, wall_ms: 0, pacing, rng, next_call: 0, calls, direct_orders: 0, effects }
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
        if let Some(Pending::Orders { .. }) = pending {
            self.direct_orders -= 1;
        }
        pending
    }

    /// Direct orders to workers that are under way.
    pub fn direct_orders(&self) -> usize {
        self.direct_orders
    }

    fn call(&mut self, pending: Pending) -> CallId {
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

    pub fn state(&mut self, pending: Pending, what: StateCall) {
        let call = self.call(pending);
        self.effects.push(Effect::State(call, what));
    }

    /// `pending`: the leader's business; None for the machine types.
    pub fn cloud(&mut self, pending: Option<CloudWork>, what: CloudCall) {
        let call = self.call(Pending::Cloud(pending));
        self.effects.push(Effect::Cloud(call, what));
    }

    pub fn worker(
        &mut self,
        machine: &MachineId,
        address: &str,
        sent: Vec<(TaskId, Attempt)>,
        orders: DirectOrders,
    ) {
        self.direct_orders += 1;
        let call = self.call(Pending::Orders { machine: machine.clone(), sent });
        self.effects.push(Effect::Worker(call, address.to_owned(), orders));
    }

    pub fn mesh(&mut self, pending: Pending, node: &Node, message: MeshMessage) {
        let call = self.call(pending);
        self.effects.push(Effect::Mesh(call, node.clone(), message));
    }

    /// Whether requests to the state service that can wait may be sent.
    pub fn may_write(&self) -> bool {
        self.pacing.open(self.now)
    }

    /// The state service has answered: how soon more may be asked of it.
    pub fn pace(&mut self, reply: &StateReply) {
        match reply {
            StateReply::Busy => {
                let spread = self.jitter(1.0);
                self.pacing.refused(self.now, spread);
            }
            StateReply::Refused | StateReply::Unknown => {}
            _ => self.pacing.served(self.now),
        }
    }

    /// `seconds`, give or take a quarter, so that controllers do not act in step.
    pub fn jitter(&mut self, seconds: Time) -> Time {
        seconds * self.rng.random_range(0.75..1.25)
    }
}
