//! Calls of controllers to the store, the cloud, workers and siblings, and how the network transmits them and
//! their answers.

use super::faults::Condition;
use super::network::{CutManner, Endpoint};
use super::{Event, LEASE_S, World, previous_version};
use ochredrum::core::effects::{
    CallId, CloudCall, CloudReply, Effect, Input, RequestId, StoreCall, StoreReply,
};
use ochredrum::core::messages::mesh::MeshMessage;
use ochredrum::ids::ControllerName;
use rand::Rng;

/// Seconds that a controller waits for an answer of the store or of a sibling.
const SHORT_TIMEOUT_S: f64 = LEASE_S / 12.0;
/// Seconds that a controller waits for an answer of the cloud.
const CLOUD_TIMEOUT_S: f64 = LEASE_S / 3.0;
/// An epoch that no controller ever has. Answers addressed to it are dropped.
pub(super) const NO_EPOCH: u64 = u64::MAX;
/// Probability that the response to a transaction is lost under [`Condition::LostStoreResponses`].
const LOST_PROBABILITY: f64 = 0.3;
/// Seconds until a transaction whose response is lost takes effect.
const LOST_RESPONSE_DELAY_S: f64 = 0.002;
/// Probability that a controller's call under a cut of [`CutManner::Held`] is delivered after the cut.
const HELD_PROBABILITY: f64 = 0.5;
/// Seconds from the end of a cut until the messages that it held are delivered.
pub(super) const HELD_DELIVERY_S: f64 = 0.01;
/// Probability that a message is slow.
const SLOW_PROBABILITY: f64 = 0.01;

/// A call that a controller sends to another participant.
pub(super) struct Call {
    /// The calling controller.
    pub node: usize,
    /// The participant that is called.
    pub to: Endpoint,
    /// Seconds that the controller waits for the answer.
    pub timeout: f64,
    /// The event that delivers the call.
    pub event: Event,
    /// The controller's input if it cannot tell whether the call was delivered.
    pub unknown_outcome: Input,
    /// The controller's input if the call was certainly not delivered.
    pub not_delivered: Input,
}

impl World {
    /// Executes one effect that a controller has returned.
    pub(super) fn execute_effect(&mut self, node: usize, effect: Effect) {
        let epoch = self.nodes[node].epoch;
        let is_previous_version = self.previous_version_nodes.contains(&node);
        match effect {
            Effect::Answer(request, answer) => {
                if let Some(requester) = self.nodes[node].unanswered_requests.remove(&request) {
                    self.send_answer(node, requester, Some(answer), None);
                }
            }
            Effect::MeshAnswer(request, mut reply) => {
                if is_previous_version {
                    previous_version::strip_reply(&mut reply);
                }
                if let Some(requester) = self.nodes[node].unanswered_requests.remove(&request) {
                    self.send_answer(node, requester, None, Some(reply));
                }
            }
            Effect::Store(call, request) => {
                let request = if is_previous_version {
                    previous_version::strip_write(request)
                } else {
                    request
                };
                self.call_store(node, call, request);
            }
            Effect::Cloud(call, request) => self.call_cloud(node, epoch, call, request),
            Effect::Worker(call, address, commands) => {
                self.send_direct_commands(node, call, address, commands);
            }
            Effect::Mesh(call, to, mut message) => {
                if is_previous_version {
                    previous_version::strip_message(&mut message);
                }
                self.call_sibling(node, call, &to, message);
            }
        }
    }

    fn call_store(&mut self, node: usize, call: CallId, request: StoreCall) {
        let epoch = self.nodes[node].epoch;
        self.counters.store_requests += 1;
        if let StoreCall::Commit(transaction) = &request {
            let text = serde_json::to_string(transaction);
            self.counters.store_bytes_written += text.map_or(0, |text| text.len());
        }
        let unknown_outcome = Input::Store(call, StoreReply::Unknown);
        let commit = matches!(request, StoreCall::Commit(_));
        let late = commit && self.takes_effect_late(&request);
        let event = |epoch| Event::StoreRequest {
            node,
            epoch,
            call,
            request,
        };
        let responses_get_lost = self.network.has(Condition::LostStoreResponses);
        if commit && responses_get_lost && self.rng.random_bool(LOST_PROBABILITY) {
            self.schedule_after(LOST_RESPONSE_DELAY_S, event(NO_EPOCH));
            return self.schedule_input(SHORT_TIMEOUT_S, node, epoch, unknown_outcome);
        }
        if late {
            let delay = self.rng.random_range(1.5..LEASE_S * 1.5);
            self.schedule_after(delay, event(epoch));
            return self.schedule_input(SHORT_TIMEOUT_S, node, epoch, unknown_outcome);
        }
        self.send(Call {
            node,
            to: Endpoint::Store,
            timeout: SHORT_TIMEOUT_S,
            event: event(epoch),
            unknown_outcome,
            not_delivered: Input::Store(call, StoreReply::Refused),
        });
    }

    fn call_cloud(&mut self, node: usize, epoch: u64, call: CallId, request: CloudCall) {
        let event = Event::CloudRequest {
            node,
            epoch,
            call,
            request,
        };
        self.send(Call {
            node,
            to: Endpoint::Cloud,
            timeout: CLOUD_TIMEOUT_S,
            event,
            unknown_outcome: Input::Cloud(call, CloudReply::Unknown),
            not_delivered: Input::Cloud(call, CloudReply::Refused),
        });
    }

    fn call_sibling(
        &mut self,
        node: usize,
        call: CallId,
        to: &ControllerName,
        message: MeshMessage,
    ) {
        let Some(to) = index_in_name(to) else { return };
        let mut body = Vec::new();
        ciborium::into_writer(&message, &mut body).ok();
        self.counters.mesh_bytes += body.len();
        self.counters.largest_message = self.counters.largest_message.max(body.len());
        let event = Event::MeshMessage {
            from: node,
            epoch: self.nodes[node].epoch,
            call,
            to,
            message: Box::new(Input::Mesh(RequestId(0), message)),
        };
        self.send(Call {
            node,
            to: Endpoint::Node(to),
            timeout: SHORT_TIMEOUT_S,
            event,
            unknown_outcome: Input::MeshReply(call, None),
            not_delivered: Input::MeshReply(call, None),
        });
    }

    /// Sends a call over the network. If no cut affects it, the caller receives `unknown_outcome` at its
    /// timeout unless it was answered before. Otherwise the manner of the cut determines whether the call is
    /// delivered later, and which input the caller receives when.
    pub(super) fn send(&mut self, call: Call) {
        let Call {
            node,
            to,
            timeout,
            event,
            unknown_outcome,
            not_delivered,
        } = call;
        let from = Endpoint::Node(node);
        let epoch = self.nodes[node].epoch;
        if self.network.passes(&from, &to) {
            self.copy_later(&event);
            let delay = self.draw_latency();
            self.schedule_after(delay, event);
            return self.schedule_input(timeout, node, epoch, unknown_outcome);
        }
        match self.network.cut_manner(&from, &to) {
            Some(CutManner::Refused) => {
                let delay = self.draw_latency();
                self.schedule_input(delay, node, epoch, not_delivered);
            }
            Some(CutManner::Reset) => {
                let delay = self.draw_latency();
                self.schedule_input(delay, node, epoch, unknown_outcome);
            }
            Some(CutManner::Held) if self.rng.random_bool(HELD_PROBABILITY) => {
                if let Some(end) = self.network.held_until(&from, &to) {
                    self.schedule_at(end + HELD_DELIVERY_S, event);
                }
                self.schedule_input(timeout, node, epoch, unknown_outcome);
            }
            _ => self.schedule_input(timeout, node, epoch, not_delivered),
        }
    }

    /// Schedules an input for a controller. The input is dropped if the process has ended by then.
    pub(super) fn schedule_input(&mut self, delay: f64, node: usize, epoch: u64, input: Input) {
        let input = Box::new(input);
        self.schedule_after(delay, Event::Input { node, epoch, input });
    }

    /// Draws the seconds that a message takes to arrive.
    pub(super) fn draw_latency(&mut self) -> f64 {
        if self.rng.random_bool(SLOW_PROBABILITY) {
            self.rng.random_range(0.05..0.4)
        } else {
            self.rng.random_range(0.001..0.006)
        }
    }

    /// Sends the answer to a call back to its controller, unless a cut blocks it.
    pub(super) fn reply(&mut self, node: usize, epoch: u64, from: Endpoint, input: Input) {
        if self.network.passes(&from, &Endpoint::Node(node)) {
            let delay = self.draw_latency();
            self.schedule_input(delay, node, epoch, input);
        }
    }
}

/// The index in a controller's name: `n2` has index 2.
fn index_in_name(node: &ControllerName) -> Option<usize> {
    node.as_str().strip_prefix('n')?.parse().ok()
}
