//! What the controllers tell one another: that they live, vouchers and consents for authority,
//! how many tasks run (for display), and users' requests that a controller cannot answer itself. Who of
//! them lives is judged by the detector ([`crate::core::controller::failure_detection`]).

use crate::config::Config;
use crate::core::model::process::ProcessId;
use crate::core::model::time::Time;
use crate::ids::{JobId, Node};
use failure_detector::{Detector, Settings};
use std::collections::BTreeMap;

pub(crate) struct Peer {
    /// From its last reply, and when the hello that it answered was sent.
    pub(crate) incarnation: Option<(u64, Time)>,
    pub(crate) has_state: bool,
    pub(crate) sends_workers: bool,
    /// When the state service last served it, at the least.
    pub(crate) served: Time,
    pub(crate) hello_out: bool,
    /// ProcessId and number of its newest hello.
    pub(crate) newest: (u64, u64),
    /// The process whose authority is known to end by itself.
    pub(crate) bounded: Option<u64>,
    /// It has begun anew and is to hear all that is known of images.
    pub(crate) ignorant: bool,
    pub(crate) running: BTreeMap<JobId, (u32, u32)>,
    /// When a worker was last sent to it.
    pub(crate) sent_worker: Time,
}

/// Images are told with every so many hellos.
pub(crate) const IMAGES_EVERY: u64 = 10;

/// Hellos to each sibling in one lease of a worker.
pub(crate) const HELLOS_PER_LEASE: f64 = 20.0;

/// Hellos for which what a sibling told in one of them counts as recent.
pub(crate) const RECENT_HELLOS: f64 = 4.0;

pub struct Peers {
    pub(crate) node: Node,
    pub(crate) peers: BTreeMap<Node, Peer>,
    pub(crate) detector: Detector<Node>,
    pub(crate) next_hello: Time,
    pub(crate) interval: Time,
    pub(crate) recent: Time,
    pub(crate) number: u64,
    pub(crate) heard_workers: Time,
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

    pub fn says_authority_ends(&mut self, ProcessId { node, incarnation }: &ProcessId) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.bounded = Some(*incarnation);
        }
    }

    /// Whether this process's authority is known to end a bounded time after its key has gone.
    pub fn authority_ends(&self, ProcessId { node, incarnation }: &ProcessId) -> bool {
        self.peers
            .get(node)
            .is_some_and(|peer| peer.bounded == Some(*incarnation))
    }

    /// What judges the siblings.
    pub fn detector(&self) -> &Detector<Node> {
        &self.detector
    }

    /// The same, for evidence.
    pub(crate) fn detector_mut(&mut self) -> &mut Detector<Node> {
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
        self.detector.heartbeat_answered(
            node,
            failure_detector::Incarnation(incarnation),
            now,
            now,
        );
        if let Some(peer) = self.peers.get_mut(node) {
            peer.has_state = true;
            peer.served = now;
        }
    }

    /// A sibling answered a hello that was sent at `sent`: the state service had served it `state_age`
    /// before.
    pub(crate) fn served(&mut self, node: &Node, sent: Time, state_age: Time) {
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
