//! A digest of all effects of the controllers of a simulation: their order, moments and contents in serialized form, so
//! that it does not depend on names in the code.

use ochredrum::core::effects::{Answer, Body, CloudCall, Effect, StoreCall};
use serde::Serialize;
use serde_json::json;

/// FNV-1a, 64 bits: the same on every platform and in every version of the standard library.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// A running hash over effects.
pub struct EffectDigest {
    hash: u64,
    effects: u64,
}

impl Default for EffectDigest {
    fn default() -> Self {
        Self {
            hash: OFFSET_BASIS,
            effects: 0,
        }
    }
}

impl EffectDigest {
    /// Adds one effect of a controller.
    pub fn add(&mut self, now: f64, node: usize, effect: &Effect) {
        self.effects += 1;
        self.add_json(&json!([now, node]));
        match effect {
            Effect::Answer(request, answer) => {
                self.add_json(&json!(["answer", request.0]));
                self.add_answer(answer);
            }
            Effect::MeshAnswer(request, reply) => {
                self.add_json(&json!(["mesh_answer", request.0, reply]));
            }
            Effect::State(call, what) => {
                self.add_json(&json!(["state", call.0]));
                self.add_state_call(what);
            }
            Effect::Cloud(call, what) => {
                self.add_json(&json!(["cloud", call.0]));
                self.add_cloud_call(what);
            }
            Effect::Worker(call, address, commands) => {
                self.add_json(&json!(["worker", call.0, address, commands]));
            }
            Effect::Mesh(call, to, message) => {
                self.add_json(&json!(["mesh", call.0, to, message]));
            }
        }
    }

    fn add_answer(&mut self, answer: &Answer) {
        self.add_json(&json!([answer.status, answer.retry_after]));
        match &answer.body {
            Body::Empty => self.add_json(&json!("empty")),
            Body::Value(value) => self.add_json(value),
            Body::HeartbeatResponse(commands) => self.add_json(commands),
            Body::Status(status) => self.add_json(status),
        }
    }

    fn add_state_call(&mut self, call: &StoreCall) {
        match call {
            StoreCall::List { prefix, from } => self.add_json(&json!(["list", prefix, from])),
            StoreCall::Changes { prefix, from } => self.add_json(&json!(["changes", prefix, from])),
            StoreCall::Commit(transaction) => self.add_json(transaction),
            StoreCall::LeaseCreate { ttl_ms } => self.add_json(&json!(["create", ttl_ms])),
            StoreCall::LeaseRenew { lease } => self.add_json(&json!(["renew", lease])),
            StoreCall::LeaseEnd { lease } => self.add_json(&json!(["end", lease])),
        }
    }

    fn add_cloud_call(&mut self, call: &CloudCall) {
        match call {
            CloudCall::Types => self.add_json(&json!("types")),
            CloudCall::List { after } => self.add_json(&json!(["list", after])),
            CloudCall::Rent(rental) => self.add_json(rental),
            CloudCall::Release(machines) => self.add_json(machines),
        }
    }

    fn add_json<T: Serialize>(&mut self, value: &T) {
        let text = serde_json::to_string(value).expect("effects can be serialized");
        for byte in text.bytes() {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(PRIME);
        }
    }
}

impl std::fmt::Display for EffectDigest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} {:016x}", self.effects, self.hash)
    }
}
