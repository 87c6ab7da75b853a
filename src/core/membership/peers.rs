//! Information about siblings from the hellos that controllers exchange: which of their processes answer,
//! whether they can read the store, and how many tasks run in their shards (for display). The failure
//! detector decides whether a sibling is alive.

use crate::config::Config;
use crate::core::messages::mesh::HelloReply;
use crate::core::model::process::ProcessId;
use crate::core::model::time::Time;
use crate::ids::{ControllerName, JobId};
use failure_detector::{Detector, Incarnation, Settings};
use std::collections::BTreeMap;

/// One in this many hellos lists the images on this controller's machines.
const HELLOS_PER_IMAGE_LIST: u64 = 10;

/// Number of hellos to each sibling during one lease of a worker.
const HELLOS_PER_LEASE: f64 = 20.0;

/// Number of intervals between hellos within which an event counts as recent.
const RECENT_HELLOS: f64 = 4.0;

/// Fraction of the interval between hellos after which a hello with urgent content is sent.
const URGENT_HELLO_INTERVALS: f64 = 0.2;

/// A sibling's answer to a hello, which shows which process of it was running.
struct Answer {
    incarnation: u64,
    /// When the hello was sent.
    sent: Time,
}

/// Process and sequence number of a hello from one sibling.
#[derive(Default)]
struct HelloNumber {
    incarnation: u64,
    number: u64,
}

/// The state that this controller keeps about one sibling.
struct Peer {
    last_answer: Option<Answer>,
    /// Whether it could read the store when it last answered.
    reads_store: bool,
    /// Whether it had recently redirected workers to this controller when it last answered.
    redirects_workers: bool,
    /// The latest time for which reports show that the store answered the sibling then or later.
    store_contact: Time,
    hello_in_flight: bool,
    newest_hello: HelloNumber,
    /// Incarnation of the last process that stated that its ownership ends a bounded time after its key is
    /// deleted; `None` if none has.
    bounded_staleness: Option<u64>,
    /// Whether its process is new to this controller and must be sent all known images and contacts.
    needs_all_images: bool,
    /// Numbers of done and of running tasks of each job that runs in its shard.
    task_counts: BTreeMap<JobId, (u32, u32)>,
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
            task_counts: BTreeMap::new(),
            last_redirect: Time::NEG_INFINITY,
        }
    }
}

/// The images and machine contacts that a hello lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ImageScope {
    /// No images and no contacts.
    None,
    /// Those of the machines in the sender's shard.
    OwnMachines,
    /// All that the sender knows of, whichever shard the machines belong to.
    AllKnown,
}

/// The siblings of this controller, their failure detector, and the schedule of hellos to them.
pub struct Peers {
    peers: BTreeMap<ControllerName, Peer>,
    detector: Detector<ControllerName>,
    next_hello: Time,
    hello_interval: Time,
    /// Seconds for which an event counts as recent.
    recent_window: Time,
    /// Sequence number of the newest hello of this process.
    hello_number: u64,
    last_worker_contact: Time,
}

impl Peers {
    /// Creates the state in which none of the configured siblings has answered yet.
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
            peers: siblings().map(|sibling| (sibling, Peer::new())).collect(),
            next_hello: 0.0,
            hello_interval,
            recent_window: hello_interval * RECENT_HELLOS,
            hello_number: 0,
            last_worker_contact: Time::NEG_INFINITY,
        }
    }

    /// Returns the failure detector, which tracks the stages of the siblings.
    pub fn detector(&self) -> &Detector<ControllerName> {
        &self.detector
    }

    /// Returns the failure detector for adding evidence.
    pub fn detector_mut(&mut self) -> &mut Detector<ControllerName> {
        &mut self.detector
    }

    /// Returns the names of all configured siblings.
    pub fn names(&self) -> impl Iterator<Item = &ControllerName> {
        self.peers.keys()
    }

    /// Returns whether a sibling of this name is configured.
    pub fn includes(&self, sibling: &ControllerName) -> bool {
        self.peers.contains_key(sibling)
    }

    /// Returns the seconds for which an event counts as recent, which are a few intervals between hellos.
    pub fn recent_window(&self) -> Time {
        self.recent_window
    }

    // Sending hellos.

    /// Returns whether the next hello to the siblings is due.
    pub fn hello_is_due(&self, now: Time) -> bool {
        now >= self.next_hello
    }

    /// Returns the seconds between two hellos, before jitter.
    pub fn hello_interval(&self) -> Time {
        self.hello_interval
    }

    /// Begins a round of hellos to all siblings. The next round is due at `next`. Returns the sequence number
    /// of these hellos.
    pub fn begin_hello_round(&mut self, next: Time) -> u64 {
        self.next_hello = next;
        self.hello_number += 1;
        self.hello_number
    }

    /// Moves the next round of hellos forward for content that should not wait for the regular one.
    pub fn send_hellos_soon(&mut self, now: Time) {
        let soon = now + self.hello_interval * URGENT_HELLO_INTERVALS;
        self.next_hello = self.next_hello.min(soon);
    }

    /// Marks a hello to a sibling as in flight. Returns false if the previous one still is, in which case no
    /// hello may be sent.
    pub fn begin_hello(&mut self, sibling: &ControllerName) -> bool {
        let peer = self.peers.get_mut(sibling);
        peer.is_some_and(|peer| !std::mem::replace(&mut peer.hello_in_flight, true))
    }

    /// Returns which images the hello that is sent to a sibling now must list. A new process is sent all of
    /// them once. Otherwise, one in `HELLOS_PER_IMAGE_LIST` hellos lists those of this shard.
    pub fn take_image_scope(&mut self, sibling: &ControllerName) -> ImageScope {
        let peer = self.peers.get_mut(sibling);
        if peer.is_some_and(|peer| std::mem::take(&mut peer.needs_all_images)) {
            ImageScope::AllKnown
        } else if self.hello_number.is_multiple_of(HELLOS_PER_IMAGE_LIST) {
            ImageScope::OwnMachines
        } else {
            ImageScope::None
        }
    }

    /// Records that a hello was answered or failed, so that the next one may be sent.
    pub fn hello_finished(&mut self, sibling: &ControllerName) {
        if let Some(peer) = self.peers.get_mut(sibling) {
            peer.hello_in_flight = false;
        }
    }

    /// Records a sibling's reply to the hello that was sent to it at `sent`.
    pub fn hello_answered(
        &mut self,
        sibling: &ControllerName,
        sent: Time,
        reply: &HelloReply,
        now: Time,
    ) {
        let incarnation = reply.incarnation;
        if let Some(peer) = self.peers.get_mut(sibling) {
            peer.last_answer = Some(Answer { incarnation, sent });
            peer.reads_store = reply.reads_store;
            peer.redirects_workers = reply.redirects_workers;
            if let Some(report) = &reply.detection {
                peer.store_contact = peer.store_contact.max(sent - report.store_silence);
            }
        }
        self.detector
            .heartbeat_answered(sibling, Incarnation(incarnation), sent, now);
    }

    // Receiving hellos.

    /// Records a hello with this sequence number from a sibling's process. Returns whether the hello is newer
    /// than all others from this process. If it is not, it was delayed in the network, and its content is
    /// ignored. So is a hello from a sibling that is not configured.
    pub fn hello_received(
        &mut self,
        from: &ProcessId,
        number: u64,
        task_counts: Vec<(JobId, u32, u32)>,
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
        peer.task_counts = task_counts
            .into_iter()
            .map(|(job, done, running)| (job, (done, running)))
            .collect();
        true
    }

    /// Records that a sibling's process stated that its ownership ends a bounded time after its key is
    /// deleted.
    pub fn record_bounded_staleness(&mut self, process: &ProcessId) {
        if let Some(peer) = self.peers.get_mut(&process.node) {
            peer.bounded_staleness = Some(process.incarnation);
        }
    }

    /// Returns whether this process stated that its ownership ends a bounded time after its key is deleted.
    pub fn has_bounded_staleness(&self, process: &ProcessId) -> bool {
        self.peers
            .get(&process.node)
            .is_some_and(|peer| peer.bounded_staleness == Some(process.incarnation))
    }

    // State of the siblings.

    /// Returns the incarnation of a sibling that answered a hello sent after `since`. Only replies count,
    /// since a hello of an earlier process may be delayed and arrive after one of a later process.
    pub fn incarnation_of(&self, sibling: &ControllerName, since: Time) -> Option<u64> {
        let answer = self.peers.get(sibling)?.last_answer.as_ref()?;
        (answer.sent > since).then_some(answer.incarnation)
    }

    /// Returns whether any sibling has answered recently.
    pub fn any_reachable(&self, now: Time) -> bool {
        self.detector.any_reachable(now)
    }

    /// Returns whether a sibling has answered recently.
    pub fn is_reachable(&self, sibling: &ControllerName, now: Time) -> bool {
        self.detector.is_reachable(sibling, now)
    }

    /// Returns the siblings that have answered recently.
    pub fn reachable_siblings(&self, now: Time) -> impl Iterator<Item = &ControllerName> {
        self.reachable_peers(now).map(|(sibling, _)| sibling)
    }

    fn reachable_peers(&self, now: Time) -> impl Iterator<Item = (&ControllerName, &Peer)> {
        self.peers
            .iter()
            .filter(move |(sibling, _)| self.is_reachable(sibling, now))
    }

    /// Counts the siblings that have answered recently and that the store answered after `since`.
    pub fn count_with_store_contact(&self, since: Time, now: Time) -> usize {
        self.reachable_peers(now)
            .filter(|(_, peer)| peer.store_contact > since)
            .count()
    }

    /// Returns whether a sibling has recently answered that it can read the store.
    pub fn reads_store(&self, sibling: &ControllerName, now: Time) -> bool {
        self.is_reachable(sibling, now)
            && self.peers.get(sibling).is_some_and(|peer| peer.reads_store)
    }

    /// Returns the first sibling in order of name that can read the store and so can answer users' requests.
    pub fn sibling_reading_store(&self, now: Time) -> Option<&ControllerName> {
        self.names().find(|sibling| self.reads_store(sibling, now))
    }

    /// Returns the numbers of done and of running tasks of a job that runs in a sibling's shard.
    pub fn task_counts(&self, job: &JobId) -> Option<(u32, u32)> {
        self.peers
            .values()
            .find_map(|peer| peer.task_counts.get(job).copied())
    }

    // Contact with workers.

    /// Records that this controller answered a worker's heartbeat.
    pub fn record_worker_contact(&mut self, now: Time) {
        self.last_worker_contact = now;
    }

    /// Returns when this controller last answered a worker's heartbeat.
    pub fn last_worker_contact(&self) -> Time {
        self.last_worker_contact
    }

    /// Records that this controller redirects a worker to a sibling.
    pub fn record_redirect(&mut self, to: &ControllerName, now: Time) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.last_redirect = now;
        }
    }

    /// Returns whether this controller recently redirected workers to a sibling.
    pub fn redirects_to(&self, sibling: &ControllerName, now: Time) -> bool {
        let peer = self.peers.get(sibling);
        peer.is_some_and(|peer| now - peer.last_redirect < self.recent_window)
    }

    /// Returns whether a reachable sibling redirects workers to this controller, which shows that workers
    /// reach that sibling.
    pub fn sibling_redirects_workers(&self, now: Time) -> bool {
        self.reachable_peers(now)
            .any(|(_, peer)| peer.redirects_workers)
    }

    /// Records that a sibling's process, which can read the store, answered a hello.
    #[cfg(test)]
    pub fn record_answer(&mut self, sibling: &ControllerName, incarnation: u64, now: Time) {
        self.detector
            .heartbeat_answered(sibling, Incarnation(incarnation), now, now);
        if let Some(peer) = self.peers.get_mut(sibling) {
            peer.reads_store = true;
            peer.store_contact = now;
        }
    }
}
