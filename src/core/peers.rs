//! What the controllers tell one another: that they live, vouchers and consents for authority,
//! how many tasks run (for display), and users' requests that a controller cannot answer itself. Who of
//! them lives is judged by the detector ([`super::failure_detection`]).

use super::mesh_messages::{Hello, HelloReply};
use super::outbox::Pending;
use super::owner::Shard;
use super::ownership::Process;
use super::{Answer, Body, Core, RequestId, Time, UserRequest};
use crate::config::Config;
use crate::ids::{JobId, Node};
use failure_detector::{Detector, Incarnation, Settings};
use std::collections::BTreeMap;

pub use super::mesh_messages::{MeshMessage, MeshReply};

struct Peer {
    /// From its last reply, and when the hello that it answered was sent.
    incarnation: Option<(u64, Time)>,
    has_state: bool,
    sends_workers: bool,
    /// When the state service last served it, at the least.
    served: Time,
    hello_out: bool,
    /// Process and number of its newest hello.
    newest: (u64, u64),
    /// The process whose authority is known to end by itself.
    bounded: Option<u64>,
    /// It has begun anew and is to hear all that is known of images.
    ignorant: bool,
    running: BTreeMap<JobId, (u32, u32)>,
    /// When a worker was last sent to it.
    sent_worker: Time,
}

/// Images are told with every so many hellos.
const IMAGES_EVERY: u64 = 10;
/// Hellos to each sibling in one lease of a worker.
const HELLOS_PER_LEASE: f64 = 20.0;
/// Hellos for which what a sibling told in one of them counts as recent.
const RECENT_HELLOS: f64 = 4.0;

pub struct Peers {
    node: Node,
    peers: BTreeMap<Node, Peer>,
    detector: Detector<Node>,
    next_hello: Time,
    interval: Time,
    recent: Time,
    number: u64,
    heard_workers: Time,
}

impl Peers {
    pub fn new(config: &Config) -> Self {
        let peer = || Peer {
            incarnation: None,
            has_state: false,
            sends_workers: false,
            served: Time::NEG_INFINITY,
            hello_out: false,
            newest: (0, 0),
            bounded: None,
            ignorant: true,
            running: BTreeMap::new(),
            sent_worker: Time::NEG_INFINITY,
        };
        let interval = config.deployment.workers.lease_s / HELLOS_PER_LEASE;
        let suspect_heartbeats = config.features.suspect_heartbeats();
        let settings = Settings::new(interval, suspect_heartbeats, config.controllers());
        let siblings = config.siblings.iter().map(|sibling| sibling.node.clone());
        Self {
            node: config.node.clone(),
            detector: Detector::new(siblings, settings),
            peers: config
                .siblings
                .iter()
                .map(|s| (s.node.clone(), peer()))
                .collect(),
            next_hello: 0.0,
            interval,
            recent: interval * RECENT_HELLOS,
            number: 0,
            heard_workers: Time::NEG_INFINITY,
        }
    }

    /// Which process of `node` answered a hello sent after `since`. Only replies count: a hello
    /// of an earlier process may be held up in the network and arrive after a later one's.
    pub fn incarnation_of(&self, node: &Node, since: Time) -> Option<u64> {
        let (incarnation, sent) = self.peers.get(node)?.incarnation?;
        (sent > since).then_some(incarnation)
    }

    pub fn says_authority_ends(&mut self, (node, incarnation): &Process) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.bounded = Some(*incarnation);
        }
    }

    /// Whether this process's authority is known to end a bounded time after its key has gone.
    pub fn authority_ends(&self, (node, incarnation): &Process) -> bool {
        self.peers
            .get(node)
            .is_some_and(|peer| peer.bounded == Some(*incarnation))
    }

    /// What judges the siblings.
    pub fn detector(&self) -> &Detector<Node> {
        &self.detector
    }

    /// The same, for evidence.
    pub(super) fn detector_mut(&mut self) -> &mut Detector<Node> {
        &mut self.detector
    }

    /// Whether any sibling has answered lately.
    pub fn heard_any(&self, now: Time) -> bool {
        self.detector.hears_any(now)
    }

    /// Whether a sibling has answered lately.
    pub fn hears(&self, node: &Node, now: Time) -> bool {
        self.detector.hears(node, now)
    }

    /// Siblings that have answered lately.
    pub fn heard(&self, now: Time) -> impl Iterator<Item = &Node> {
        self.peers.keys().filter(move |node| self.hears(node, now))
    }

    /// Siblings that have answered lately and were served by the state service after this moment.
    pub fn served_since(&self, since: Time, now: Time) -> usize {
        self.heard(now)
            .filter(|node| self.peers[*node].served > since)
            .count()
    }

    /// Whether a sibling has answered lately, and that it can read the state service.
    pub fn reads_state(&self, node: &Node, now: Time) -> bool {
        self.hears(node, now) && self.peers.get(node).is_some_and(|peer| peer.has_state)
    }

    /// A sibling's process that reads the state service answers.
    #[cfg(test)]
    pub fn answered(&mut self, node: &Node, incarnation: u64, now: Time) {
        self.detector
            .heartbeat_answered(node, Incarnation(incarnation), now, now);
        if let Some(peer) = self.peers.get_mut(node) {
            peer.has_state = true;
            peer.served = now;
        }
    }

    /// A sibling answered a hello that was sent at `sent`: the state service had served it `state_age`
    /// before.
    pub(super) fn served(&mut self, node: &Node, sent: Time, state_age: Time) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.served = peer.served.max(sent - state_age);
        }
    }

    /// A sibling that can read the state service.
    pub fn with_state(&self, now: Time) -> Option<&Node> {
        self.peers.keys().find(|node| self.reads_state(node, now))
    }

    pub fn running(&self, job: &JobId) -> Option<(u32, u32)> {
        self.peers
            .values()
            .find_map(|peer| peer.running.get(job).copied())
    }

    pub fn heard_workers(&mut self, now: Time) {
        self.heard_workers = now;
    }

    /// When a worker was last heard.
    pub fn workers_heard(&self) -> Time {
        self.heard_workers
    }

    pub fn sent_worker(&mut self, to: &Node, now: Time) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.sent_worker = now;
        }
    }

    /// Something to tell has come up that should not wait for the next hello.
    pub fn sync_soon(&mut self, now: Time) {
        self.next_hello = self.next_hello.min(now + self.interval * 0.2);
    }

    /// Whether workers that this controller sent to siblings were there lately.
    pub fn siblings_get_workers(&self, now: Time) -> bool {
        self.heard(now).any(|node| self.peers[node].sends_workers)
    }
}

impl Core {
    pub(super) fn hello_when_due(&mut self) {
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
                owner.update_for(&node, &self.store, self.leader.as_ref(), images, contacts)
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

    pub(super) fn mesh_message(&mut self, request: RequestId, message: MeshMessage) {
        match message {
            MeshMessage::Hello(hello) => self.hello(request, *hello),
            MeshMessage::Submit(id, spec) | MeshMessage::SubmitDependent(id, spec) => {
                self.relayed_request(request, UserRequest::Submit(id, spec));
            }
            MeshMessage::Poll(id) => self.relayed_request(request, UserRequest::Poll(id)),
            MeshMessage::Cancel(id) => self.relayed_request(request, UserRequest::Cancel(id)),
            MeshMessage::Heartbeat(heartbeat) => self.relayed_heartbeat(request, *heartbeat),
            MeshMessage::Cancelled(_) => {
                self.store.want_sync();
                self.outbox.mesh_answer(request, MeshReply::Noted);
            }
        }
    }

    fn hello(&mut self, request: RequestId, hello: Hello) {
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
            self.peers.says_authority_ends(&(from.clone(), incarnation));
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
                leader.needs(&from, update.need.clone());
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

    pub(super) fn mesh_reply(&mut self, pending: Pending, reply: Option<MeshReply>) {
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
    pub(super) fn has_state(&self) -> bool {
        let silence = self.store.state_silence(self.outbox.now);
        self.store.complete() && silence < self.peers.recent
    }

    /// Able to take requests: reads the state service, or reaches a sibling that may (in an
    /// outage for all, staying in rotation costs users less than leaving and coming back).
    pub(super) fn health(&mut self, request: RequestId) {
        let able = self.store.complete()
            && self.catalog.known()
            && (self.has_state() || self.peers.heard_any(self.outbox.now));
        self.outbox
            .answer(request, Answer::empty(if able { 200 } else { 503 }));
    }
}
