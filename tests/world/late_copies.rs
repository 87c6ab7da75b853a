//! Late copies of messages that were delivered before. Nobody waits for the answer to a copy.

use super::calls::NO_EPOCH;
use super::controllers::Requester;
use super::faults::Condition;
use super::{Event, World};
use ochredrum::core::effects::{Input, RequestId, UserRequest};
use rand::Rng;

/// Probability that a message is copied under [`Condition::LateCopies`].
const COPIED_PROBABILITY: f64 = 0.15;
/// Shortest time in seconds after the message until its copy arrives.
const SHORTEST_DELAY_S: f64 = 0.1;
/// Longest time in seconds after the message until its copy arrives.
const LONGEST_DELAY_S: f64 = 150.0;

impl Event {
    /// A copy of the message that this event delivers; `None` if the event delivers no request.
    pub(super) fn late_copy(&self) -> Option<Self> {
        let epoch = NO_EPOCH;
        Some(match self {
            Self::StoreRequest {
                node,
                call,
                request,
                ..
            } => Self::StoreRequest {
                node: *node,
                epoch,
                call: *call,
                request: request.clone(),
            },
            Self::CloudRequest {
                node,
                call,
                request,
                ..
            } => Self::CloudRequest {
                node: *node,
                epoch,
                call: *call,
                request: request.clone(),
            },
            Self::DirectCommands {
                node,
                call,
                address,
                commands,
                ..
            } => Self::DirectCommands {
                node: *node,
                epoch,
                call: *call,
                address: address.clone(),
                commands: commands.clone(),
            },
            Self::MeshMessage {
                from,
                call,
                to,
                message,
                ..
            } => {
                let Input::Mesh(request, message) = message.as_ref() else {
                    return None;
                };
                Self::MeshMessage {
                    from: *from,
                    epoch,
                    call: *call,
                    to: *to,
                    message: Box::new(Input::Mesh(*request, message.clone())),
                }
            }
            Self::Heartbeat {
                machine,
                node,
                heartbeat,
                ..
            } => Self::Heartbeat {
                machine: machine.clone(),
                node: *node,
                heartbeat: heartbeat.clone(),
                live: false,
            },
            _ => return None,
        })
    }
}

impl World {
    /// Schedules a copy of a message for a random later time, if the condition for it is in effect.
    pub(super) fn copy_later(&mut self, event: &Event) {
        let copy = self.draws_copy().then(|| event.late_copy()).flatten();
        if let Some(copy) = copy {
            let delay = self.draw_copy_delay();
            self.schedule_after(delay, copy);
        }
    }

    /// Schedules a copy of a user's request for a random later time, if the condition for it is in effect.
    pub(super) fn copy_user_request_later(&mut self, node: usize, request: &UserRequest) {
        if self.draws_copy() {
            let request = request.clone();
            let delay = self.draw_copy_delay();
            self.schedule_after(delay, Event::CopiedUserRequest { node, request });
        }
    }

    /// Delivers the copy of a user's request.
    pub(super) fn deliver_copied_user_request(&mut self, node: usize, request: UserRequest) {
        self.counters.late_copies += 1;
        let input = Input::User(RequestId(0), request);
        self.deliver_request(node, Requester::Nobody, input);
    }

    fn draws_copy(&mut self) -> bool {
        self.network.has(Condition::LateCopies) && self.rng.random_bool(COPIED_PROBABILITY)
    }

    /// Draws the seconds until a copy arrives, uniformly by order of magnitude.
    fn draw_copy_delay(&mut self) -> f64 {
        let magnitudes = SHORTEST_DELAY_S.ln()..LONGEST_DELAY_S.ln();
        self.rng.random_range(magnitudes).exp()
    }
}
