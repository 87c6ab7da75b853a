//! What this controller knows of its siblings from the hellos that controllers exchange: which of
//! their processes answer, whether they can read the store, and how many tasks run in their shards
//! (for display). Whether a sibling is alive is decided by the failure detector.

use crate::config::Config;
use crate::core::messages::mesh::HelloReply;
use crate::core::model::process::ProcessId;
use crate::core::model::time::Time;
use crate::ids::{ControllerName, JobId};
use failure_detector::{Detector, Incarnation, Settings};
use std::collections::BTreeMap;

/// Hellos between two that list the images on this controller's machines.
const IMAGES_EVERY: u64 = 10;

/// Hellos to each sibling in one lease of a worker.
const HELLOS_PER_LEASE: f64 = 20.0;

/// Intervals between hellos within which an event counts as recent.
const RECENT_HELLOS: f64 = 4.0;

/// Part of the interval between hellos after which one with urgent content is sent.
const URGENT_HELLO_INTERVALS: f64 = 0.2;

/// The process of a sibling that answered a hello.
struct Answer {
    incarnation: u64,
    /// When the hello was sent.
    sent: Time,
}

/// Identifies a hello of one sibling.
#[derive(Default)]
struct HelloNumber {
    incarnation: u64,
    number: u64,
}

/// One sibling.
struct Peer {
    last_answer: Option<Answer>,
    /// Whether it could read the store when it last answered.
    reads_store: bool,
    /// Whether it had recently redirected workers to this controller when it last answered.
    redirects_workers: bool,
    /// A time at or after which the store answered it.
    store_contact: Time,
    hello_in_flight: bool,
    newest_hello: HelloNumber,
    /// The incarnation that has stated that its staleness is bounded.
    bounded_staleness: Option<u64>,
    /// Its process is new to this controller and is to be sent all images and contacts that are known.
    needs_all_images: bool,
    /// Tasks done and running, of the jobs that run in its shard.
    running: BTreeMap<JobId, (u32, u32)>,
    /// When this controller last redirected a worker to it.
    last_redirect: Time,
}

impl Peer {
    fn new() -> Self {
        Self {
            last_answer: None,
            reads_store: false,
            redirects_workers: false,
            store_contact: Time::NEG_INFINITY,
            hello_in_flight: false,
            newest_hello: HelloNumber::default(),
            bounded_staleness: None,
            needs_all_images: true,
            running: BTreeMap::new(),
            last_redirect: Time::NEG_INFINITY,
        }
    }
}

/// Which images a hello lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ImageScope {
    /// None.
    None,
    /// Those on the machines of the sender's shard.
    OwnMachines,
    /// All that the sender knows of.
    AllKnown,
}

/// The siblings of this controller.
pub struct Peers {
    peers: BTreeMap<ControllerName, Peer>,
    detector: Detector<ControllerName>,
    next_hello: Time,
    hello_interval: Time,
    /// Seconds within which an event counts as recent.
    recent_window: Time,
    /// Number of the newest hello of this process.
    hello_number: u64,
    last_worker_contact: Time,
}

impl Peers {
    /// None of the configured siblings has answered yet.
    pub fn new(config: &Config) -> Self {
        let hello_interval = config.deployment.workers.lease_s / HELLOS_PER_LEASE;
        let suspect_heartbeats = config.features.suspect_heartbeats();
        let settings = Settings::new(
            hello_interval,
            suspect_heartbeats,
            config.controller_count(),
        );
        let siblings = || {
            config
                .siblings
                .iter()
                .map(|sibling| sibling.controller.clone())
        };
        Self {
            detector: Detector::new(siblings(), settings),
            peers: siblings().map(|node| (node, Peer::new())).collect(),
            next_hello: 0.0,
            hello_interval,
            recent_window: hello_interval * RECENT_HELLOS,
            hello_number: 0,
            last_worker_contact: Time::NEG_INFINITY,
        }
    }

    /// The failure detector, which judges the siblings.
    pub fn detector(&self) -> &Detector<ControllerName> {
        &self.detector
    }

    /// The failure detector, to add evidence.
    pub fn detector_mut(&mut self) -> &mut Detector<ControllerName> {
        &mut self.detector
    }

    /// The names of all siblings.
    pub fn nodes(&self) -> impl Iterator<Item = &ControllerName> {
        self.peers.keys()
    }

    /// Whether this controller has a sibling of this name.
    pub fn includes(&self, node: &ControllerName) -> bool {
        self.peers.contains_key(node)
    }

    /// Seconds within which an event counts as recent_window: a few intervals between hellos.
    pub fn recent_window(&self) -> Time {
        self.recent_window
    }

    // Hellos that this controller sends.

    /// Whether the siblings are to be sent the next hello.
    pub fn hello_is_due(&self, now: Time) -> bool {
        now >= self.next_hello
    }

    /// Seconds between two hellos, before jitter.
    pub fn hello_interval(&self) -> Time {
        self.hello_interval
    }

    /// Begins a round of hellos; the next is due at `next`. Returns the number of these hellos.
    pub fn begin_hello_round(&mut self, next: Time) -> u64 {
        self.next_hello = next;
        self.hello_number += 1;
        self.hello_number
    }

    /// Content for siblings has arisen that should not wait for the next regular hello.
    pub fn send_hellos_soon(&mut self, now: Time) {
        let soon = now + self.hello_interval * URGENT_HELLO_INTERVALS;
        self.next_hello = self.next_hello.min(soon);
    }

    /// A hello is about to be sent to a sibling. Returns false if the one before is still in flight:
    /// then none is to be sent.
    pub fn begin_hello(&mut self, node: &ControllerName) -> bool {
        let peer = self.peers.get_mut(node);
        peer.is_some_and(|peer| !std::mem::replace(&mut peer.hello_in_flight, true))
    }

    /// Which images the hello that is sent to a sibling now lists: all once to a new process, and
    /// this shard's in every few hellos.
    pub fn take_image_scope(&mut self, node: &ControllerName) -> ImageScope {
        let peer = self.peers.get_mut(node);
        if peer.is_some_and(|peer| std::mem::take(&mut peer.needs_all_images)) {
            ImageScope::AllKnown
        } else if self.hello_number.is_multiple_of(IMAGES_EVERY) {
            ImageScope::OwnMachines
        } else {
            ImageScope::None
        }
    }

    /// A hello was answered, or there will be no answer.
    pub fn hello_finished(&mut self, node: &ControllerName) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.hello_in_flight = false;
        }
    }

    /// A sibling answered the hello that was sent to it at `sent`.
    pub fn hello_answered(
        &mut self,
        node: &ControllerName,
        sent: Time,
        reply: &HelloReply,
        now: Time,
    ) {
        let incarnation = reply.incarnation;
        if let Some(peer) = self.peers.get_mut(node) {
            peer.last_answer = Some(Answer { incarnation, sent });
            peer.reads_store = reply.reads_store;
            peer.redirects_workers = reply.redirects_workers;
            if let Some(report) = &reply.detection {
                peer.store_contact = peer.store_contact.max(sent - report.store_silence);
            }
        }
        self.detector
            .heartbeat_answered(node, Incarnation(incarnation), sent, now);
    }

    // Hellos that this controller receives.

    /// A sibling's process has sent a hello with this number. Returns whether it is newer than all
    /// that were received from this process before. If not, it was delayed in the network and its
    /// content is ignored.
    pub fn hello_received(
        &mut self,
        from: &ProcessId,
        number: u64,
        running: Vec<(JobId, u32, u32)>,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(&from.node) else {
            return false;
        };
        let is_same_process = peer.newest_hello.incarnation == from.incarnation;
        if is_same_process && peer.newest_hello.number >= number {
            return false;
        }
        peer.needs_all_images |= !is_same_process;
        peer.newest_hello = HelloNumber {
            incarnation: from.incarnation,
            number,
        };
        peer.running = running
            .into_iter()
            .map(|(job, done, running)| (job, (done, running)))
            .collect();
        true
    }

    /// A sibling's process has stated that its ownership ends a bounded time after its key is gone.
    pub fn note_bounded_staleness(&mut self, process: &ProcessId) {
        if let Some(peer) = self.peers.get_mut(&process.node) {
            peer.bounded_staleness = Some(process.incarnation);
        }
    }

    /// Whether this process is known to lose its ownership a bounded time after its key is gone.
    pub fn has_bounded_staleness(&self, process: &ProcessId) -> bool {
        self.peers
            .get(&process.node)
            .is_some_and(|peer| peer.bounded_staleness == Some(process.incarnation))
    }

    // What the siblings are like.

    /// Which process of `node` answered a hello that was sent after `since`. Only replies count: a
    /// hello from an earlier process may be delayed in the network and arrive after a later one's.
    pub fn incarnation_of(&self, node: &ControllerName, since: Time) -> Option<u64> {
        let answer = self.peers.get(node)?.last_answer.as_ref()?;
        (answer.sent > since).then_some(answer.incarnation)
    }

    /// Whether any sibling has answered recently.
    pub fn any_reachable(&self, now: Time) -> bool {
        self.detector.any_reachable(now)
    }

    /// Whether a sibling has answered recently.
    pub fn is_reachable(&self, node: &ControllerName, now: Time) -> bool {
        self.detector.is_reachable(node, now)
    }

    /// Siblings that have answered recently.
    pub fn reachable_siblings(&self, now: Time) -> impl Iterator<Item = &ControllerName> {
        self.reachable_peers(now).map(|(node, _)| node)
    }

    fn reachable_peers(&self, now: Time) -> impl Iterator<Item = (&ControllerName, &Peer)> {
        self.peers
            .iter()
            .filter(move |(node, _)| self.is_reachable(node, now))
    }

    /// Number of siblings that have answered recently and that the store answered after `since`.
    pub fn count_with_store_contact(&self, since: Time, now: Time) -> usize {
        self.reachable_peers(now)
            .filter(|(_, peer)| peer.store_contact > since)
            .count()
    }

    /// Whether a sibling has answered recently that it can read the store.
    pub fn reads_store(&self, node: &ControllerName, now: Time) -> bool {
        self.is_reachable(node, now) && self.peers.get(node).is_some_and(|peer| peer.reads_store)
    }

    /// The first sibling by name that can read the store, and so answer users' requests.
    pub fn sibling_reading_store(&self, now: Time) -> Option<&ControllerName> {
        self.nodes().find(|node| self.reads_store(node, now))
    }

    /// Tasks done and running of a job that runs in a sibling's shard.
    pub fn task_counts(&self, job: &JobId) -> Option<(u32, u32)> {
        self.peers
            .values()
            .find_map(|peer| peer.running.get(job).copied())
    }

    // Contact with workers.

    /// A worker's heartbeat was answered here.
    pub fn note_worker_contact(&mut self, now: Time) {
        self.last_worker_contact = now;
    }

    /// When a worker's heartbeat was last answered here.
    pub fn last_worker_contact(&self) -> Time {
        self.last_worker_contact
    }

    /// A worker is redirected to a sibling.
    pub fn note_redirect(&mut self, to: &ControllerName, now: Time) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.last_redirect = now;
        }
    }

    /// Whether workers were recently redirected to a sibling.
    pub fn redirects_to(&self, node: &ControllerName, now: Time) -> bool {
        let peer = self.peers.get(node);
        peer.is_some_and(|peer| now - peer.last_redirect < self.recent_window)
    }

    /// Whether a sibling that has answered recently redirects workers to this controller, so that
    /// workers reach that sibling.
    pub fn sibling_redirects_workers(&self, now: Time) -> bool {
        self.reachable_peers(now)
            .any(|(_, peer)| peer.redirects_workers)
    }

    /// Has a sibling's process that reads the store answer a hello.
    #[cfg(test)]
    pub fn record_answer(&mut self, node: &ControllerName, incarnation: u64, now: Time) {
        self.detector
            .heartbeat_answered(node, Incarnation(incarnation), now, now);
        if let Some(peer) = self.peers.get_mut(node) {
            peer.reads_store = true;
            peer.store_contact = now;
        }
    }
}
