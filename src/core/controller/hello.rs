use crate::core::Core;
use crate::core::effects::pending::Pending;
use crate::core::effects::{Answer, Body, RequestId, UserRequest};
use crate::core::leader::Leader;
use crate::core::membership::peers::IMAGES_EVERY;
use crate::core::messages::mesh::{Hello, HelloReply, MeshMessage, MeshReply};
use crate::core::model::process::ProcessId;
use crate::core::shard::Shard;
use crate::ids::Node;
use failure_detector::Incarnation;

impl Core {
    pub(crate) fn hello_when_due(&mut self) {
        let now = self.outbox.now;
        if now < self.peers.next_hello {
            return;
        }
        self.peers.next_hello = now + self.outbox.jitter(self.peers.interval);
        self.peers.number += 1;
        let holds_lease = self.ownership.holds_lease(now);
        let owner = self.shard.as_ref().filter(|_| holds_lease);
        let running = owner.map(Shard::running).unwrap_or_default();
        let (wants_extension, wants_consent) = (
            self.ownership.wants_extension(now).is_some(),
            self.ownership.wanted_consents(),
        );
        if let Some(owner) = &self.shard {
            self.unresponsive.note(owner.unresponsive(now), now);
        }
        if self.store.complete() {
            self.unresponsive.prune(self.store.owners());
            self.contacts.prune(self.store.owners());
        }
        let unresponsive = self.unresponsive.all(now);
        let detection = self.own_detection();
        let acts_on_failures = self.acts_on_failures();
        let behind = now - self.store.current_as_of > self.peers.recent;
        let final_states_after =
            (behind && self.store.complete()).then(|| self.store.final_states_known());
        let nodes: Vec<Node> = self.peers.peers.keys().cloned().collect();
        for node in nodes {
            let Some(peer) = self.peers.peers.get_mut(&node) else {
                continue;
            };
            if std::mem::replace(&mut peer.hello_out, true) {
                continue;
            }
            let now_and_then = self.peers.number.is_multiple_of(IMAGES_EVERY);
            let update = self.shard.as_ref().filter(|_| holds_lease).map(|owner| {
                let (images, contacts) = match (std::mem::take(&mut peer.ignorant), now_and_then) {
                    (true, _) => (owner.known_images(), self.contacts.with(owner.contacts())),
                    (false, true) => (owner.own_images(), owner.contacts()),
                    (false, false) => Default::default(),
                };
                let contacts = if acts_on_failures {
                    contacts
                } else {
                    Default::default()
                };
                owner.update_for(
                    &node,
                    &self.store,
                    self.leader.as_ref().map(Leader::refused),
                    images,
                    contacts,
                )
            });
            let hello = Hello {
                from: self.peers.node.clone(),
                incarnation: self.ownership.incarnation(),
                number: self.peers.number,
                wants_extension,
                wants_consent: wants_consent.clone(),
                running: running.clone(),
                unresponsive: unresponsive.clone(),
                update,
                final_states_after,
                authority_ends: true,
                detection: detection.clone(),
            };
            let pending = Pending::Hello {
                node: node.clone(),
                sent: now,
            };
            self.outbox
                .mesh(pending, &node, MeshMessage::Hello(Box::new(hello)));
        }
    }

    pub(crate) fn mesh_message(&mut self, request: RequestId, message: MeshMessage) {
        match message {
            MeshMessage::Hello(hello) => self.hello(request, *hello),
            MeshMessage::Submit(id, spec) | MeshMessage::SubmitDependent(id, spec) => {
                self.relayed_request(request, UserRequest::Submit(id, spec));
            }
            MeshMessage::Poll(id) => self.relayed_request(request, UserRequest::Poll(id)),
            MeshMessage::Cancel(id) => self.relayed_request(request, UserRequest::Cancel(id)),
            MeshMessage::Heartbeat(heartbeat) => self.relayed_heartbeat(request, &heartbeat),
            MeshMessage::Cancelled(_) => {
                self.store.want_sync();
                self.outbox.mesh_answer(request, MeshReply::Noted);
            }
        }
    }

    pub(crate) fn hello(&mut self, request: RequestId, hello: Hello) {
        let now = self.outbox.now;
        let Hello {
            from,
            incarnation,
            wants_consent,
            unresponsive,
            ..
        } = hello;
        self.peers.detector.message_received(&from, now);
        let registered = self.store.is_registered(&from, incarnation);
        if hello.authority_ends {
            self.peers
                .says_authority_ends(&ProcessId::new(from.clone(), incarnation));
        }
        let Some(peer) = self.peers.peers.get_mut(&from) else {
            return self.outbox.mesh_answer(request, MeshReply::Noted);
        };
        // True whenever it was said: that it arrives late only makes it weaker.
        self.unresponsive.note(unresponsive, now);
        // Held up in the network, hellos arrive late: what they tell is then left out.
        let late = peer.newest.0 == incarnation && peer.newest.1 >= hello.number;
        let sends_workers = now - peer.sent_worker < self.peers.recent;
        if !late {
            peer.ignorant |= peer.newest.0 != incarnation;
            peer.newest = (incarnation, hello.number);
            peer.running = hello
                .running
                .into_iter()
                .map(|(job, done, runs)| (job, (done, runs)))
                .collect();
        }
        let grants_extension = hello.wants_extension
            && self
                .ownership
                .grant_extension(&from, incarnation, &self.store, now);
        let consents = wants_consent
            .into_iter()
            .filter(|process| self.ownership.consent(process, now))
            .collect();
        if let (Some(update), None, false) = (&hello.update, &self.shard, late) {
            self.hints.extend(update.images.clone());
        }
        if let (Some(mut update), false) = (hello.update, late) {
            self.contacts.extend(std::mem::take(&mut update.contacts));
            if let Some(leader) = self.leader.as_mut() {
                leader.set_demand(&from, update.demand.clone());
            }
            if let Some(owner) = self.shard.as_mut() {
                owner.take_update(&mut self.outbox, &self.store, &from, incarnation, update);
            }
        }
        if let Some(detection) = hello.detection.filter(|_| !late) {
            self.take_detection(&from, incarnation, detection);
        }
        let reply = HelloReply {
            incarnation: self.ownership.incarnation(),
            grants_extension,
            consents,
            detection: self.own_detection(),
            has_state: self.has_state(),
            sends_workers,
            // A view that is being read again knows what it knew before, but one that never was
            // complete says nothing. Nor is a process told whose key has gone: its authority is to end.
            final_states: hello
                .final_states_after
                .filter(|_| self.store.complete() && registered)
                .map(|from| self.store.final_states_after(from)),
        };
        self.outbox.mesh_answer(request, MeshReply::Hello(reply));
    }

    pub(crate) fn mesh_reply(&mut self, pending: Pending, reply: Option<MeshReply>) {
        let now = self.outbox.now;
        match (pending, reply) {
            (Pending::Hello { node, sent }, reply) => {
                if let Some(peer) = self.peers.peers.get_mut(&node) {
                    peer.hello_out = false;
                }
                let Some(MeshReply::Hello(reply)) = reply else {
                    return;
                };
                if let Some(peer) = self.peers.peers.get_mut(&node) {
                    peer.incarnation = Some((reply.incarnation, sent));
                    peer.has_state = reply.has_state;
                    peer.sends_workers = reply.sends_workers;
                }
                let incarnation = Incarnation(reply.incarnation);
                self.peers
                    .detector
                    .heartbeat_answered(&node, incarnation, sent, now);
                if let Some(detection) = reply.detection {
                    self.peers.served(&node, sent, detection.state_age);
                    self.take_detection(&node, reply.incarnation, detection);
                }
                if let Some(final_states) = reply.final_states {
                    let complete = final_states.complete;
                    self.store.take_final_states(final_states);
                    if complete {
                        self.ownership.note_sibling_known_as_of(&node, sent);
                    } else {
                        self.peers.sync_soon(now);
                    }
                }
                if reply.grants_extension {
                    self.ownership.extension_granted(&node, sent, now);
                }
                self.ownership.consented(&node, &reply.consents);
            }
            (
                Pending::Relay { request },
                Some(MeshReply::Answer {
                    status,
                    body,
                    retry_after,
                }),
            ) => {
                let body = body.map_or(Body::Empty, Body::Value);
                self.outbox.answer(
                    request,
                    Answer {
                        status,
                        body,
                        retry_after,
                    },
                );
            }
            (
                Pending::RelayedHeartbeat {
                    request,
                    owner,
                    heartbeat,
                },
                reply,
            ) => {
                let answer = match reply {
                    Some(MeshReply::HeartbeatResponse(answer)) => answer,
                    _ => None,
                };
                self.heartbeat_relayed(request, &owner, *heartbeat, answer);
            }
            (Pending::Relay { request }, _) => {
                self.outbox.answer(request, Answer::unavailable());
            }
            _ => {}
        }
    }

    /// Whether this controller's reads of the state service work.
    pub(crate) fn has_state(&self) -> bool {
        let silence = self.store.state_silence(self.outbox.now);
        self.store.complete() && silence < self.peers.recent
    }

    /// Able to take requests: reads the state service, or reaches a sibling that may (in an
    /// outage for all, staying in rotation costs users less than leaving and coming back).
    pub(crate) fn health(&mut self, request: RequestId) {
        let able = self.store.complete()
            && self.catalog.known()
            && (self.has_state() || self.peers.heard_any(self.outbox.now));
        self.outbox
            .answer(request, Answer::empty(if able { 200 } else { 503 }));
    }
}
