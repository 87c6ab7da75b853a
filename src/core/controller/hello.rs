//! Exchanges hellos with siblings, and dispatches all messages and replies of siblings.

use crate::core::Core;
use crate::core::effects::pending::Pending;
use crate::core::effects::{Answer, Body, RequestId, UserRequest};
use crate::core::leader::Leader;
use crate::core::membership::peers::ImageScope;
use crate::core::messages::mesh::{Hello, HelloReply, MeshMessage, MeshReply};
use crate::core::messages::shard_update::{ImageHints, MachineContacts, PeerUpdate};
use crate::core::model::process::ProcessId;
use crate::core::model::time::Time;
use crate::core::shard::Shard;
use crate::ids::{ControllerName, Version};

impl Core {
    /// Sends a hello to every sibling if the next round is due. Skips siblings that have not answered the
    /// previous hello.
    pub(crate) fn send_hellos_when_due(&mut self) {
        let now = self.outbox.now;
        if !self.peers.hello_is_due(now) {
            return;
        }
        let delay = self.outbox.jitter(self.peers.hello_interval());
        let number = self.peers.begin_hello_round(now + delay);
        self.update_machine_information();
        let hello = self.hello_without_update(number);
        let nodes: Vec<ControllerName> = self.peers.names().cloned().collect();
        for node in nodes {
            if !self.peers.begin_hello(&node) {
                continue;
            }
            let hello = Hello {
                update: self.peer_update_for(&node),
                ..hello.clone()
            };
            let pending = Pending::Hello {
                node: node.clone(),
                sent: now,
            };
            self.outbox
                .send_to_sibling(pending, &node, MeshMessage::Hello(Box::new(hello)));
        }
    }

    /// Updates the unresponsive machines and the machine contacts. Hellos may also contain those of other
    /// shards' machines.
    fn update_machine_information(&mut self) {
        let now = self.outbox.now;
        if let Some(shard) = &self.shard {
            self.unresponsive
                .record(shard.unresponsive_machines(now), now);
        }
        if self.store.is_complete() {
            self.unresponsive.prune(self.store.shard_map());
            self.contacts.prune(self.store.shard_map());
        }
    }

    /// Creates a hello with the fields that are the same for all siblings.
    fn hello_without_update(&self, number: u64) -> Hello {
        let now = self.outbox.now;
        let process = self.ownership.process();
        Hello {
            from: process.node,
            incarnation: process.incarnation,
            sequence_number: number,
            wants_extension: self.ownership.wants_extension(now),
            wants_consent: self.ownership.pending_consent_requests(),
            task_counts: self
                .leased_shard()
                .map(Shard::all_task_counts)
                .unwrap_or_default(),
            unresponsive: self.unresponsive.declarations(now),
            update: None,
            final_states_after: self.wanted_final_states_after(),
            bounded_staleness: true,
            detection: self.detection_report(),
        }
    }

    /// Returns the shard if the ownership lease is valid.
    fn leased_shard(&self) -> Option<&Shard> {
        let holds_lease = self.ownership.holds_lease(self.outbox.now);
        self.shard.as_ref().filter(|_| holds_lease)
    }

    /// Returns the version after which to request final states from siblings. `None` while reads of the store
    /// succeed, and while the replica is incomplete.
    fn wanted_final_states_after(&self) -> Option<Version> {
        let is_behind = self.outbox.now - self.store.current_as_of() > self.peers.recent_window();
        (is_behind && self.store.is_complete()).then(|| self.store.final_states_known_up_to())
    }

    /// Creates this shard's update for the sibling `node`. `None` unless the ownership lease is valid.
    fn peer_update_for(&mut self, node: &ControllerName) -> Option<PeerUpdate> {
        self.leased_shard()?;
        let scope = self.peers.take_image_scope(node);
        let shard = self.shard.as_ref()?;
        let (images, contacts) = match scope {
            ImageScope::AllKnown => (
                shard.images_on_all_machines(),
                self.contacts.extended_with(shard.machine_contacts()),
            ),
            ImageScope::OwnMachines => (shard.images_on_owned_machines(), shard.machine_contacts()),
            ImageScope::None => (ImageHints::default(), MachineContacts::default()),
        };
        let contacts = if self.acts_on_failures() {
            contacts
        } else {
            MachineContacts::default()
        };
        let unavailable_offers = self.leader.as_ref().map(Leader::unavailable_offers);
        Some(shard.peer_update_for(node, &self.store, unavailable_offers, images, contacts))
    }

    /// Handles a sibling's message.
    pub(crate) fn handle_mesh_message(&mut self, request: RequestId, message: MeshMessage) {
        match message {
            MeshMessage::Hello(hello) => self.handle_hello(request, *hello),
            MeshMessage::Submit(id, spec) | MeshMessage::SubmitDependent(id, spec) => {
                self.handle_relayed_request(request, UserRequest::Submit(id, spec));
            }
            MeshMessage::Poll(id) => self.handle_relayed_request(request, UserRequest::Poll(id)),
            MeshMessage::Cancel(id) => {
                self.handle_relayed_request(request, UserRequest::Cancel(id))
            }
            MeshMessage::Heartbeat(heartbeat) => self.answer_relayed_heartbeat(request, &heartbeat),
            MeshMessage::Cancelled(_) => {
                self.store.request_read();
                self.outbox.answer_sibling(request, MeshReply::Acknowledged);
            }
        }
    }

    /// Applies a sibling's hello and replies to it.
    fn handle_hello(&mut self, request: RequestId, hello: Hello) {
        let now = self.outbox.now;
        let sender = ProcessId::new(hello.from, hello.incarnation);
        self.peers
            .detector_mut()
            .message_received(&sender.node, now);
        if !self.peers.includes(&sender.node) {
            return self.outbox.answer_sibling(request, MeshReply::Acknowledged);
        }
        if hello.bounded_staleness {
            self.peers.record_bounded_staleness(&sender);
        }
        // The unresponsive machines of a delayed hello are recorded, too. The delay makes the recorded time
        // of the last answer to a worker later. This is safe, because the next owner counts the worker's
        // lease from that time and so only waits longer.
        self.unresponsive.record(hello.unresponsive, now);
        let is_newest =
            self.peers
                .hello_received(&sender, hello.sequence_number, hello.task_counts);
        let grants_extension =
            hello.wants_extension && self.ownership.grant_extension(&sender, &self.store, now);
        let consents = hello
            .wants_consent
            .into_iter()
            .filter(|process| self.ownership.try_consent(process, now))
            .collect();
        if is_newest {
            if let Some(update) = hello.update {
                self.apply_update(&sender, update);
            }
            if let Some(report) = hello.detection {
                self.apply_detection_report(&sender, report);
            }
        }
        let reply = HelloReply {
            grants_extension,
            consents,
            ..self.build_hello_reply(&sender, hello.final_states_after)
        };
        self.outbox.answer_sibling(request, MeshReply::Hello(reply));
    }

    /// Creates a reply to a hello, without a grant of a lease extension and without consents.
    /// `final_states_after` is the version after which the sender requested final states.
    fn build_hello_reply(&self, to: &ProcessId, final_states_after: Option<Version>) -> HelloReply {
        HelloReply {
            incarnation: self.ownership.incarnation(),
            grants_extension: false,
            consents: Vec::new(),
            reads_store: self.reads_store(),
            redirects_workers: self.peers.redirects_to(&to.node, self.outbox.now),
            final_states: final_states_after
                .filter(|_| self.may_send_final_states(to))
                .map(|version| self.store.final_states_after(version)),
            detection: self.detection_report(),
        }
    }

    /// Applies the update of a sibling's shard.
    fn apply_update(&mut self, sender: &ProcessId, mut update: PeerUpdate) {
        self.contacts.extend(std::mem::take(&mut update.contacts));
        if let Some(leader) = self.leader.as_mut() {
            leader.set_demand(&sender.node, update.demand.clone());
        }
        match self.shard.as_mut() {
            Some(shard) => shard.apply_peer_update(
                &mut self.outbox,
                &self.store,
                &sender.node,
                sender.incarnation,
                update,
            ),
            None => self.image_hints.extend(update.images),
        }
    }

    /// Returns whether final states may be sent to a process. A replica that was once complete keeps its
    /// content while it is read again, but one that has never been complete may lack final states. A process
    /// that is not registered receives none, because they would prolong its ownership.
    fn may_send_final_states(&self, to: &ProcessId) -> bool {
        self.store.is_complete() && self.store.is_registered(&to.node, to.incarnation)
    }

    /// Handles the reply to a message to a sibling. `reply` is `None` if the message failed.
    pub(crate) fn handle_mesh_reply(&mut self, pending: Pending, reply: Option<MeshReply>) {
        match pending {
            Pending::Hello { node, sent } => {
                self.peers.hello_finished(&node);
                if let Some(MeshReply::Hello(reply)) = reply {
                    self.handle_hello_reply(&node, sent, reply);
                }
            }
            Pending::RelayedRequest { request } => {
                self.outbox.answer(request, from_mesh_reply(reply));
            }
            Pending::RelayedHeartbeat {
                request,
                owner,
                heartbeat,
            } => {
                let response = match reply {
                    Some(MeshReply::HeartbeatResponse(response)) => response,
                    _ => None,
                };
                self.finish_heartbeat_relay(request, &owner, *heartbeat, response);
            }
            _ => {}
        }
    }

    /// Applies a sibling's reply to the hello that was sent to it at `sent`.
    fn handle_hello_reply(&mut self, node: &ControllerName, sent: Time, reply: HelloReply) {
        let now = self.outbox.now;
        self.peers.hello_answered(node, sent, &reply, now);
        if let Some(report) = reply.detection {
            let process = ProcessId::new(node.clone(), reply.incarnation);
            self.apply_detection_report(&process, report);
        }
        if let Some(final_states) = reply.final_states {
            let is_complete = final_states.complete;
            self.store.apply_final_states(final_states);
            if is_complete {
                self.ownership.record_sibling_current_as_of(node, sent);
            } else {
                self.peers.send_hellos_soon(now);
            }
        }
        if reply.grants_extension {
            self.ownership.extension_received(node, sent, now);
        }
        self.ownership.consents_received(node, &reply.consents);
    }

    /// Returns whether the replica is complete and the store has replied recently.
    pub(crate) fn reads_store(&self) -> bool {
        let silence = self.store.seconds_since_store_reply(self.outbox.now);
        self.store.is_complete() && silence < self.peers.recent_window()
    }

    /// Answers a health check with 200 if this controller can serve requests, and with 503 otherwise. Its
    /// replica must be complete, it must know the machine types, and it must read the store or reach a
    /// sibling. The sibling need not read the store: if all controllers are cut off from the store, staying
    /// in the load balancer costs users less than leaving and returning.
    pub(crate) fn answer_health_check(&mut self, request: RequestId) {
        let is_healthy = self.store.is_complete()
            && self.catalog.is_known()
            && (self.reads_store() || self.peers.any_reachable(self.outbox.now));
        self.outbox
            .answer(request, Answer::empty(if is_healthy { 200 } else { 503 }));
    }
}

/// Converts a sibling's reply to a relayed request into the answer for the user.
fn from_mesh_reply(reply: Option<MeshReply>) -> Answer {
    match reply {
        Some(MeshReply::Answer {
            status,
            body,
            retry_after,
        }) => Answer {
            status,
            body: body.map_or(Body::Empty, Body::Json),
            retry_after,
        },
        _ => Answer::unavailable(),
    }
}

#[cfg(test)]
mod tests;
