//! Consents to the failover of a process's shard.
//!
//! Before the leader reassigns the shard of a process, that process's key in the store must have expired
//! and no lease extension for it may be valid. The second condition holds if the process has ended or a
//! majority of the controllers consents. A controller that consents has granted the process no extension
//! that is still valid, and never grants it another. A controller that cannot reach the leader publishes
//! its consents in its own key. If the network between zones is partitioned, the leader may be unable to
//! reach any other controller although all of them can read the store.
//!
//! If so many controllers are down that no majority can consent, the leader waits until the process's
//! ownership must have ended. A process whose key was deleted can no longer advance `current_as_of`: it
//! counts only reads that show its key, and a sibling that has seen the deletion sends it no final states.
//! Its ownership therefore ends one staleness bound after the deletion. (Every sibling would have to send
//! final states, so a single one that does not is sufficient. A sibling that restarted has read the store
//! since.) A process states in its hellos that it follows this rule. For other processes the leader waits
//! for consents.

use crate::core::membership::ownership::OwnershipLease;
use crate::core::membership::peers::Peers;
use crate::core::model::process::ProcessId;
use crate::core::model::time::{MAX_CLOCK_DRIFT, Time};
use crate::core::store::replica::StoreReplica;
use crate::ids::ControllerName;
use std::collections::{BTreeMap, BTreeSet};

/// Fraction of the lease's lifetime between two checks of whether to publish consents.
const PUBLISH_TTLS: f64 = 0.1;

/// Number of controllers that have consented to a failover, and the number that is required.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConsentProgress {
    /// Number of controllers that have consented in reply to a hello.
    pub given: usize,
    /// Number of controllers that form a majority.
    pub needed: usize,
}

/// The consents that this controller has given, and those that it collects as the leader.
#[derive(Default)]
pub(super) struct FailoverConsents {
    /// Processes to whose failover this controller has consented. It never grants them an extension.
    given: BTreeSet<ProcessId>,
    /// Siblings that have consented, by the process for whose failover this leader requests consent.
    requests: BTreeMap<ProcessId, BTreeSet<ControllerName>>,
    /// When the leader first found that a process has no key.
    unregistered_since: BTreeMap<ProcessId, Time>,
    /// Whether there is a request that has not been sent to siblings yet.
    has_unsent_request: bool,
    /// Processes to whose failover this controller consents in its own key.
    published: Vec<ProcessId>,
    next_publication: Time,
}

impl FailoverConsents {
    /// Returns whether this controller has consented to the failover of a process.
    pub(super) fn includes(&self, process: &ProcessId) -> bool {
        self.given.contains(process)
    }

    /// Discards the requests made as the leader and the published consents. Given consents stay valid.
    pub(super) fn clear_requests(&mut self) {
        self.requests.clear();
        self.unregistered_since.clear();
        self.published.clear();
    }
}

impl OwnershipLease {
    /// Consents to the failover of a process, and returns true, unless an extension that this controller
    /// granted to the process may still be valid.
    pub fn try_consent(&mut self, process: &ProcessId, now: Time) -> bool {
        let has_no_valid_extension = if *process == self.process() {
            // While its ownership lasts, this controller counts towards the majority that extends it.
            !self.holds_lease(now)
        } else {
            self.extensions.has_none_granted_to(&process.node, now)
        };
        let can_consent =
            has_no_valid_extension && self.extensions.predecessor_extensions_have_expired(now);
        if can_consent {
            self.consents.given.insert(process.clone());
        }
        can_consent
    }

    /// Returns the processes for whose failover the consent of siblings is requested.
    pub fn pending_consent_requests(&self) -> Vec<ProcessId> {
        self.consents.requests.keys().cloned().collect()
    }

    /// Returns how many consents to the failover of a process were collected in replies to hellos.
    pub fn consent_progress(&self, process: &ProcessId) -> ConsentProgress {
        let requested = self.consents.requests.get(process);
        ConsentProgress {
            given: requested.map_or(0, BTreeSet::len),
            needed: self.majority,
        }
    }

    /// Records that a sibling consented to the failover of these processes.
    pub fn consents_received(&mut self, from: &ControllerName, processes: &[ProcessId]) {
        for process in processes {
            if let Some(consents) = self.consents.requests.get_mut(process) {
                consents.insert(from.clone());
            }
        }
    }

    /// Returns whether the ownership of a process has certainly ended, so that the leader may assign its
    /// shard to others. While the process has no key, requests the consent of siblings.
    pub fn confirm_ownership_ended(
        &mut self,
        process: &ProcessId,
        store: &StoreReplica,
        peers: &Peers,
        now: Time,
    ) -> bool {
        if process.node == self.controller {
            // It is an earlier process of this controller, or this process before it stepped down.
            return process.incarnation != self.incarnation;
        }
        if let Some(registered) = store.node(&process.node) {
            // If a later process of that controller has registered, this one has ended.
            return registered.record.incarnation != process.incarnation;
        }
        let unregistered_since = &mut self.consents.unregistered_since;
        let since = *unregistered_since.entry(process.clone()).or_insert(now);
        let answering = peers.incarnation_of(&process.node, since);
        if answering.is_some_and(|incarnation| incarnation != process.incarnation) {
            return true;
        }
        let expired_at = since + self.staleness_bound * (1.0 + MAX_CLOCK_DRIFT) + self.margin;
        self.request_majority_consent(process, store, now)
            || (peers.has_bounded_staleness(process) && now > expired_at)
    }

    /// Requests the consent of siblings to the failover of a process. Returns whether a majority consents,
    /// in replies to hellos or in the keys of controllers.
    fn request_majority_consent(
        &mut self,
        process: &ProcessId,
        store: &StoreReplica,
        now: Time,
    ) -> bool {
        let own = self
            .try_consent(process, now)
            .then(|| self.controller.clone());
        let requests = &mut self.consents.requests;
        self.consents.has_unsent_request |= !requests.contains_key(process);
        let replied = requests.entry(process.clone()).or_default();
        let published = store
            .nodes()
            .iter()
            .filter(|(_, stored)| stored.record.consents.contains(process))
            .map(|(controller, _)| controller);
        let consenting: BTreeSet<&ControllerName> =
            replied.iter().chain(published).chain(&own).collect();
        consenting.len() >= self.majority
    }

    /// Returns whether there is a request for consents that has not been sent, and marks it as sent.
    pub fn take_unsent_consent_request(&mut self) -> bool {
        std::mem::take(&mut self.consents.has_unsent_request)
    }

    /// Discards the requests for consent that concern none of these processes.
    pub fn retain_consent_requests(&mut self, failed: &BTreeSet<ProcessId>) {
        let consents = &mut self.consents;
        consents
            .requests
            .retain(|process, _| failed.contains(process));
        consents
            .unregistered_since
            .retain(|process, _| failed.contains(process));
    }

    /// Returns the processes to whose failover this process's key must state consent.
    pub fn published_consents(&self) -> &[ProcessId] {
        &self.consents.published
    }

    /// If the leader is unreachable, consents to the failover of every process that owns a team or machine
    /// but has no key, since the leader cannot request it. Consents remain valid permanently.
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
        let is_unreachable = |controller: &ControllerName| {
            *controller != self.controller && !peers.is_reachable(controller, now)
        };
        let leader = store.leader();
        if leader.is_none_or(|leader| !is_unreachable(&leader.record.node)) {
            return;
        }
        let owners = store.shard_map().owning_processes().into_iter();
        self.consents.published = owners
            .filter(|process| store.node(&process.node).is_none())
            .filter(|process| self.try_consent(process, now))
            .collect();
    }
}
