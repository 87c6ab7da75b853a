//! Consents to the failover of a process's shard.
//!
//! Before the leader assigns the shard of a process to others it has to know, besides the expiry of
//! the process's key in the store, that no lease extension for it is valid: the process has ended, or
//! a majority of the controllers consents. Each of these has granted it no extension that is still
//! valid, and never grants it another. A controller that does not hear the leader publishes its
//! consents in its own key: if zones are partitioned from one another the leader may hear no other
//! controller, though all can read the store.
//!
//! If so many controllers are down that no majority can consent, the leader waits until the
//! process's ownership must have ended. A process whose key has been deleted learns nothing more,
//! since it counts only reads that show its key, and a sibling that has seen the key deleted sends it
//! no final states; so its ownership ends one staleness bound after that. (Every sibling would have
//! to answer, so one that does not is enough. A sibling that has restarted has read the store since.)
//! A process states in its hellos that it keeps to this; for others the leader waits for consents.

use crate::core::membership::ownership::OwnershipLease;
use crate::core::membership::peers::Peers;
use crate::core::model::process::ProcessId;
use crate::core::model::time::{MAX_CLOCK_DRIFT, Time};
use crate::core::store::replica::StoreReplica;
use crate::ids::ControllerName;
use std::collections::{BTreeMap, BTreeSet};

/// Part of the lease's lifetime between two checks whether consents are to be published.
const PUBLISH_TTLS: f64 = 0.1;

/// How many controllers have consented to a failover, and how many it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConsentProgress {
    /// Controllers that have consented in reply to a hello.
    pub given: usize,
    /// Controllers that are a majority.
    pub needed: usize,
}

/// The consents that this controller has given, and those that it collects as the leader.
#[derive(Default)]
pub(super) struct FailoverConsents {
    /// Processes to whose failover this controller has consented; it grants them no extension.
    given: BTreeSet<ProcessId>,
    /// Processes whose failover the leader has requested consent to, and the siblings that consented.
    requests: BTreeMap<ProcessId, BTreeSet<ControllerName>>,
    /// When the leader first found that a process has no key.
    unregistered_since: BTreeMap<ProcessId, Time>,
    /// There is a request that siblings have not been sent yet.
    has_unsent_request: bool,
    /// Consents that are published in this process's key.
    published: Vec<ProcessId>,
    next_publication: Time,
}

impl FailoverConsents {
    /// Whether this controller has consented to the failover of a process.
    pub(super) fn includes(&self, process: &ProcessId) -> bool {
        self.given.contains(process)
    }

    /// Drops what was collected as the leader, and what is published. The consents given stay valid.
    pub(super) fn clear_requests(&mut self) {
        self.requests.clear();
        self.unregistered_since.clear();
        self.published.clear();
    }
}

impl OwnershipLease {
    /// Answers a request for consent to the failover of a process. There is none while an extension
    /// that was granted here is valid.
    pub fn try_consent(&mut self, process: &ProcessId, now: Time) -> bool {
        let is_released = if *process == self.process() {
            // This controller's own vote supports its ownership for as long as that lasts.
            !self.holds_lease(now)
        } else {
            self.extensions.none_granted_to(&process.node, now)
        };
        let consents = is_released && self.extensions.predecessors_have_expired(now);
        if consents {
            self.consents.given.insert(process.clone());
        }
        consents
    }

    /// Processes to whose failover siblings are to be asked for consent.
    pub fn pending_consent_requests(&self) -> Vec<ProcessId> {
        self.consents.requests.keys().cloned().collect()
    }

    /// Consents to the failover of a process, as collected in replies to hellos.
    pub fn consent_progress(&self, process: &ProcessId) -> ConsentProgress {
        let requested = self.consents.requests.get(process);
        ConsentProgress {
            given: requested.map_or(0, BTreeSet::len),
            needed: self.majority,
        }
    }

    /// A sibling has consented to the failover of these processes.
    pub fn consents_received(&mut self, from: &ControllerName, processes: &[ProcessId]) {
        for process in processes {
            if let Some(consents) = self.consents.requests.get_mut(process) {
                consents.insert(from.clone());
            }
        }
    }

    /// Whether the ownership of a process without a key has certainly ended, so that the leader may
    /// assign its shard to others. Requests consents until then.
    pub fn confirm_ownership_ended(
        &mut self,
        process: &ProcessId,
        store: &StoreReplica,
        peers: &Peers,
        now: Time,
    ) -> bool {
        if process.node == self.node {
            // An earlier process of this controller, or this one before it stepped down.
            return process.incarnation != self.incarnation;
        }
        if let Some(registered) = store.node(&process.node) {
            // Its successor has registered, so it has ended.
            return registered.record.incarnation != process.incarnation;
        }
        let unregistered_since = &mut self.consents.unregistered_since;
        let since = *unregistered_since.entry(process.clone()).or_insert(now);
        let answering = peers.incarnation_of(&process.node, since);
        if answering.is_some_and(|incarnation| incarnation != process.incarnation) {
            return true;
        }
        let expired_at = since + self.staleness_bound * (1.0 + MAX_CLOCK_DRIFT) + self.margin;
        self.majority_consents(process, store, now)
            || (peers.has_bounded_staleness(process) && now > expired_at)
    }

    /// Whether a majority consents to the failover of a process, in replies to hellos or in their
    /// keys; requests the consent of siblings.
    fn majority_consents(&mut self, process: &ProcessId, store: &StoreReplica, now: Time) -> bool {
        let own = self.try_consent(process, now).then(|| self.node.clone());
        let requests = &mut self.consents.requests;
        self.consents.has_unsent_request |= !requests.contains_key(process);
        let replied = requests.entry(process.clone()).or_default();
        let published = store
            .nodes()
            .iter()
            .filter(|(_, stored)| stored.record.consents.contains(process))
            .map(|(node, _)| node);
        let consenting: BTreeSet<&ControllerName> =
            replied.iter().chain(published).chain(&own).collect();
        consenting.len() >= self.majority
    }

    /// Whether there is a request for consents that is to be sent at once. Counts as sent then.
    pub fn take_unsent_request(&mut self) -> bool {
        std::mem::take(&mut self.consents.has_unsent_request)
    }

    /// Drops the requests for consent that concern none of these processes.
    pub fn retain_consent_requests(&mut self, ended: &BTreeSet<ProcessId>) {
        let consents = &mut self.consents;
        consents
            .requests
            .retain(|process, _| ended.contains(process));
        consents
            .unregistered_since
            .retain(|process, _| ended.contains(process));
    }

    /// Consents that are to be published in this process's key.
    pub fn published_consents(&self) -> &[ProcessId] {
        &self.consents.published
    }

    /// Consents to the failover of processes that own something but have no key, while the leader,
    /// which would request that, is not heard. Consents are kept, since they are valid for good.
    pub fn publish_consents_if_leader_unreachable(
        &mut self,
        store: &StoreReplica,
        peers: &Peers,
        now: Time,
    ) {
        if now < self.consents.next_publication {
            return;
        }
        self.consents.next_publication = now + self.ttl * PUBLISH_TTLS;
        let is_unheard =
            |node: &ControllerName| *node != self.node && !peers.is_reachable(node, now);
        let leader = store.leader();
        if leader.is_none_or(|leader| !is_unheard(&leader.record.node)) {
            return;
        }
        let owning = store.shard_map().owning_processes().into_iter();
        self.consents.published = owning
            .filter(|process| store.node(&process.node).is_none())
            .filter(|process| self.try_consent(process, now))
            .collect();
    }
}
