//! What the controllers tell one another: that they live, vouchers and consents for authority,
//! how many tasks run (for display), and users' requests that a controller cannot answer itself.

use super::io::Pending;
use super::lead::Lead;
use super::{Answer, Body, Core, RequestId, Time, UserRequest};
use crate::config::Config;
use crate::ids::{JobId, Node, Term};
use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MeshMessage {
    Hello(Box<Hello>),
    Submit(JobId, Box<JobSpec>),
    Poll(JobId),
    Cancel(JobId),
    /// This job was cancelled; saves the leader the wait for its next sync.
    Cancelled(JobId),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    pub from: Node,
    /// The sender leads under this term and cannot renew its lease.
    pub wants_voucher: Option<Term>,
    /// The sender holds the leader key under this term and wants to act.
    pub wants_consent: Option<Term>,
    /// From the leader: tasks done and running, of jobs that run.
    pub running: Option<Vec<(JobId, u32, u32)>>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MeshReply {
    Hello(HelloReply),
    Answer { status: u16, body: Option<Value>, retry_after: Option<u32> },
    Noted,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HelloReply {
    pub incarnation: u64,
    pub vouches: bool,
    pub consents: bool,
    pub has_state: bool,
    /// Workers came here lately and were sent to the leader.
    pub sends_workers: bool,
}

struct Peer {
    /// From its last reply, and when the hello that it answered was sent.
    incarnation: Option<(u64, Time)>,
    heard: Time,
    has_state: bool,
    sends_workers: bool,
    hello_out: bool,
}

pub struct Peers {
    node: Node,
    incarnation: u64,
    peers: BTreeMap<Node, Peer>,
    next_hello: Time,
    interval: Time,
    recent: Time,
    running: BTreeMap<JobId, (u32, u32)>,
    heard_workers: Time,
    sent_worker_away: Time,
}

impl Peers {
    pub fn new(config: &Config, incarnation: u64) -> Self {
        let peer = || Peer {
            incarnation: None,
            heard: Time::NEG_INFINITY,
            has_state: false,
            sends_workers: false,
            hello_out: false,
        };
        let interval = config.deployment.workers.lease_s / 20.0;
        Self {
            node: config.node.clone(),
            incarnation,
            peers: config.siblings.iter().map(|s| (s.node.clone(), peer())).collect(),
            next_hello: 0.0,
            interval,
            recent: interval * 4.0,
            running: BTreeMap::new(),
            heard_workers: Time::NEG_INFINITY,
            sent_worker_away: Time::NEG_INFINITY,
        }
    }

    /// Which process of `node` answered a hello sent after `since`. Only replies count: a hello
    /// of an earlier process may be held up in the network and arrive after a later one's.
    pub fn incarnation_of(&self, node: &Node, since: Time) -> Option<u64> {
        let (incarnation, sent) = self.peers.get(node)?.incarnation?;
        (sent > since).then_some(incarnation)
    }

    pub fn heard_any(&self, now: Time) -> bool {
        self.peers.values().any(|peer| now - peer.heard < self.recent)
    }

    /// A sibling that can read the state service.
    pub fn with_state(&self, now: Time) -> Option<&Node> {
        let usable = |peer: &Peer| peer.has_state && now - peer.heard < self.recent;
        self.peers.iter().find(|(_, peer)| usable(peer)).map(|(node, _)| node)
    }

    pub fn running(&self, job: &JobId) -> Option<(u32, u32)> {
        self.running.get(job).copied()
    }

    pub fn heard_workers(&mut self, now: Time) {
        self.heard_workers = now;
    }

    pub fn sent_worker_away(&mut self, now: Time) {
        self.sent_worker_away = now;
    }

    /// Workers reach siblings but, for `silence` seconds, not this controller.
    pub fn cut_from_workers(&self, now: Time, silence: Time) -> bool {
        let elsewhere = |peer: &Peer| peer.sends_workers && now - peer.heard < self.recent;
        now - self.heard_workers > silence && self.peers.values().any(elsewhere)
    }
}

impl Core {
    pub(super) fn hello_when_due(&mut self) {
        let now = self.io.now;
        if now < self.peers.next_hello {
            return;
        }
        self.peers.next_hello = now + self.io.jitter(self.peers.interval);
        let entitled = self.authority.entitled(now);
        let running = self.lead.as_ref().filter(|_| entitled).map(Lead::running);
        let hello = Hello {
            from: self.peers.node.clone(),
            wants_voucher: self.authority.wants_voucher(now),
            wants_consent: self.authority.wants_consent(),
            running,
        };
        for (node, peer) in &mut self.peers.peers {
            if !std::mem::replace(&mut peer.hello_out, true) {
                let pending = Pending::Hello { node: node.clone(), sent: now };
                self.io.mesh(pending, node, MeshMessage::Hello(Box::new(hello.clone())));
            }
        }
    }

    pub(super) fn mesh_message(&mut self, request: RequestId, message: MeshMessage) {
        let now = self.io.now;
        match message {
            MeshMessage::Hello(hello) => {
                if let Some(running) = hello.running {
                    self.peers.running =
                        running.into_iter().map(|(job, done, runs)| (job, (done, runs))).collect();
                }
                let reply = HelloReply {
                    incarnation: self.peers.incarnation,
                    vouches: hello.wants_voucher.is_some_and(|term| {
                        self.authority.vouch(&hello.from, term, &self.view, now)
                    }),
                    consents: hello
                        .wants_consent
                        .is_some_and(|term| self.authority.consent(&hello.from, term, now)),
                    has_state: self.has_state(),
                    sends_workers: now - self.peers.sent_worker_away < self.peers.recent,
                };
                self.io.mesh_answer(request, MeshReply::Hello(reply));
            }
            MeshMessage::Submit(id, spec) => {
                self.relayed_request(request, UserRequest::Submit(id, spec));
            }
            MeshMessage::Poll(id) => self.relayed_request(request, UserRequest::Poll(id)),
            MeshMessage::Cancel(id) => self.relayed_request(request, UserRequest::Cancel(id)),
            MeshMessage::Cancelled(_) => {
                self.view.want_sync();
                self.io.mesh_answer(request, MeshReply::Noted);
            }
        }
    }

    pub(super) fn mesh_reply(&mut self, pending: Pending, reply: Option<MeshReply>) {
        let now = self.io.now;
        match (pending, reply) {
            (Pending::Hello { node, sent }, reply) => {
                if let Some(peer) = self.peers.peers.get_mut(&node) {
                    peer.hello_out = false;
                }
                let Some(MeshReply::Hello(reply)) = reply else { return };
                if let Some(peer) = self.peers.peers.get_mut(&node) {
                    peer.incarnation = Some((reply.incarnation, sent));
                    peer.heard = now;
                    peer.has_state = reply.has_state;
                    peer.sends_workers = reply.sends_workers;
                }
                if reply.vouches {
                    self.authority.vouched(&node, sent, now);
                }
                if reply.consents {
                    self.authority.consented(node);
                }
            }
            (Pending::Relay { request }, Some(MeshReply::Answer { status, body, retry_after })) => {
                let body = body.map_or(Body::Empty, Body::Value);
                self.io.answer(request, Answer { status, body, retry_after });
            }
            (Pending::Relay { request }, _) => {
                self.io.answer(request, Answer::unavailable());
            }
            _ => {}
        }
    }

    /// Whether this controller's reads of the state service work.
    pub(super) fn has_state(&self) -> bool {
        let silence = self.view.state_silence(self.io.now);
        self.view.complete() && silence < self.peers.recent
    }

    /// Able to take requests: reads the state service, or reaches a sibling that may (in an
    /// outage for all, staying in rotation costs users less than leaving and coming back).
    pub(super) fn health(&mut self, request: RequestId) {
        let able = self.view.complete()
            && self.supply.known()
            && (self.has_state() || self.peers.heard_any(self.io.now));
        self.io.answer(request, Answer::empty(if able { 200 } else { 503 }));
    }
}
