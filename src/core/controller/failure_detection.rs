//! Acts on failures of siblings and on partial failures of this controller.
//!
//! The [`failure_detector`] assigns each sibling a stage. This module passes evidence to it and acts on the
//! stages:
//!
//! - Suspicion alone changes no ownership. A worker that comes from a suspected sibling is not redirected
//!   back to it ([`crate::core::controller::heartbeat_routing`]).
//! - If a quorum confirms that the leader has failed, another controller takes over the leader's key.
//!   That is safe at any time, since each write of the shard map has that key as a precondition.
//! - A shard is failed over only under the conditions that [`crate::core::membership::ownership`] describes.
//!   A controller that has partially failed steps down, so that the failover need not wait until its lease
//!   expires. The controller ends the lease itself. If the store refuses its calls, a sibling ends the lease.

use crate::core::Core;
use crate::core::controller::ownership::StepDownReason;
use crate::core::messages::detection::{AbandonedLease, DetectionReport};
use crate::core::model::process::ProcessId;
use crate::core::model::time::Time;
use crate::core::shard::Shard;
use crate::ids::{ControllerName, Version};
use failure_detector::{ControllerContacts, Evidence, PartialFailure, Stage, StageChange};
use std::collections::BTreeSet;

/// Time by which a sibling's last contact with the store must be later than this controller's own, in
/// lifetimes of the ownership lease. Only such a contact shows that the store serves the sibling but not this
/// controller.
const LATER_CONTACT_TTLS: f64 = 0.1;

/// Interval between two checks of this controller for a partial failure, in worker leases. A check may
/// examine all machines of the shard, so it does not run on every step.
const SELF_CHECK_LEASES: f64 = 0.005;

/// Time for which a heartbeat that a sibling relayed counts as recent, in intervals between heartbeats.
const RECENT_RELAY_INTERVALS: f64 = 2.0;

/// Time from the last answer of a process that has ended until its key is gone, in lifetimes of the
/// ownership lease. It is more than one lifetime, because the last renewal may be later than the last answer.
const LEASE_EXPIRY_TTLS: f64 = 1.2;

/// Time for which an abandoned lease is reported to siblings, in worker leases.
const ABANDONED_LEASE_REPORT_LEASES: f64 = 2.0;

/// Time for which a controller that workers cannot reach requests no ownership lease, in worker leases.
const UNREACHABLE_PAUSE_LEASES: f64 = 2.0;

impl Core {
    /// Whether this controller takes part in failure detection and acts on the failures found. This is a
    /// feature setting.
    pub(crate) fn acts_on_failures(&self) -> bool {
        self.config.features.acts_on_failures()
    }

    /// Updates the stage of every sibling from the present evidence, and logs each change.
    pub(crate) fn update_sibling_stages(&mut self) {
        self.add_store_evidence();
        for change in self.peers.detector_mut().update_stages(self.outbox.now) {
            log_stage_change(&change);
        }
        if self.abandoned_lease_is_settled() {
            self.detection.withdraw_abandoned_lease();
        }
    }

    /// Adds evidence from the store: which siblings have no key, and which own nothing in the shard map.
    fn add_store_evidence(&mut self) {
        if !self.store.is_complete() {
            return;
        }
        let map_changes = self.store.shard_map_changes();
        let owning_nodes = self
            .detection
            .take_shard_map_change(map_changes)
            .then(|| self.owning_nodes());
        for sibling in &self.config.siblings {
            let node = &sibling.controller;
            let detector = self.peers.detector_mut();
            detector.set_key_gone(node, self.store.node(node).is_none());
            if let Some(owning_nodes) = &owning_nodes {
                detector.set_owns_nothing(node, !owning_nodes.contains(node));
            }
        }
    }

    /// The controllers that own at least one team or machine in the shard map.
    fn owning_nodes(&self) -> BTreeSet<ControllerName> {
        let processes = self.store.shard_map().owning_processes().into_iter();
        processes.map(|process| process.node).collect()
    }

    /// Whether reports to siblings may omit the lease that this controller's previous incarnation abandoned:
    /// the key attached to it is gone, or it has been reported for long enough.
    fn abandoned_lease_is_settled(&self) -> bool {
        let Some((abandoned, since)) = self.detection.abandoned_lease() else {
            return false;
        };
        let key_is_gone = !self
            .store
            .is_registered(&self.config.controller, abandoned.incarnation);
        let report_for = self.config.deployment.workers.lease_s * ABANDONED_LEASE_REPORT_LEASES;
        (key_is_gone && self.reads_store()) || self.outbox.now - since > report_for
    }

    /// The report that this controller sends to siblings. None if it takes no part in failure detection.
    pub(crate) fn detection_report(&self) -> Option<DetectionReport> {
        let now = self.outbox.now;
        self.acts_on_failures().then(|| DetectionReport {
            opinions: self.peers.detector().opinions_to_send(now),
            store_silence: self.store.seconds_since_store_reply(now).min(f64::MAX),
            abandoned_lease: self
                .detection
                .abandoned_lease()
                .map(|(lease, _)| lease.clone()),
        })
    }

    /// Passes a sibling's opinions to the detector, and ends the lease that the sibling reports as abandoned.
    pub(crate) fn apply_detection_report(&mut self, from: &ProcessId, report: DetectionReport) {
        if !self.acts_on_failures() {
            return;
        }
        self.peers
            .detector_mut()
            .receive_opinions(&from.node, report.opinions, self.outbox.now);
        if let Some(abandoned) = report
            .abandoned_lease
            .filter(|abandoned| abandoned.incarnation != from.incarnation)
        {
            self.end_abandoned_lease(&from.node, &abandoned);
        }
    }

    /// Ends the lease of a sibling's process that stepped down but could not end it. Repeated reports of
    /// the same lease are ignored.
    fn end_abandoned_lease(&mut self, of: &ControllerName, abandoned: &AbandonedLease) {
        let lease = abandoned.lease;
        let is_registered = self.store.node(of).is_some_and(|stored| {
            stored.record.incarnation == abandoned.incarnation && stored.record.lease == lease
        });
        if !is_registered || !self.reads_store() || self.detection.has_ended_lease(lease) {
            return;
        }
        tracing::info!(controller = %of, lease, "ending the lease of a controller that stepped down");
        self.detection.record_ended_lease(lease);
        self.end_lease(lease);
        self.store.request_read();
    }

    /// Steps down if this controller has lost contact with workers or the store while siblings still have
    /// it, so that a sibling can serve the shard.
    pub(crate) fn step_down_on_partial_failure(&mut self, lease: u64) {
        let now = self.outbox.now;
        let worker_lease = self.config.deployment.workers.lease_s;
        let interval = worker_lease * SELF_CHECK_LEASES;
        if self.shard.is_none() || !self.detection.take_self_check(interval, now) {
            return;
        }
        let Some(failure) = self.collect_contacts().partial_failure() else {
            return;
        };
        match failure {
            PartialFailure::CutFromWorkers => {
                self.end_lease(lease);
                let pause = worker_lease * UNREACHABLE_PAUSE_LEASES;
                self.step_down(StepDownReason::UnreachableByWorkers, pause);
            }
            PartialFailure::RefusedByStore => {
                let incarnation = self.ownership.incarnation();
                let abandoned = AbandonedLease { incarnation, lease };
                self.detection.announce_abandoned_lease(abandoned, now);
                self.step_down(StepDownReason::RefusedByStore, 0.0);
            }
        }
        self.peers.send_hellos_soon(now);
    }

    /// Collects this controller's contacts with workers and the store, and for comparison those of its
    /// siblings.
    fn collect_contacts(&self) -> ControllerContacts {
        let workers = &self.config.deployment.workers;
        let mut contacts = ControllerContacts {
            report_s: workers.report_s,
            lease_s: workers.lease_s,
            key_lifetime_s: self.ownership.ttl(),
            worker_silence_s: self.outbox.now - self.peers.last_worker_contact(),
            ..ControllerContacts::default()
        };
        // This examines all machines of the shard, so it runs only if workers are silent.
        if let Some(shard) = &self.shard
            && contacts.worker_silence_s > workers.report_s
        {
            self.add_worker_contacts(shard, &mut contacts);
        }
        if self.acts_on_failures() && self.detection.store_refusals() > 0 {
            self.add_store_contacts(&mut contacts);
        }
        contacts
    }

    fn add_worker_contacts(&self, shard: &Shard, contacts: &mut ControllerContacts) {
        let now = self.outbox.now;
        contacts.machines = shard.machine_count();
        contacts.others_redirect_workers = self.peers.sibling_redirects_workers(now);
        if self.acts_on_failures() {
            let since = now - contacts.report_s * RECENT_RELAY_INTERVALS;
            contacts.machines_reaching_others = shard.machines_relayed_since(since);
        }
    }

    fn add_store_contacts(&self, contacts: &mut ControllerContacts) {
        let now = self.outbox.now;
        let silence = self.store.seconds_since_store_reply(now);
        let later = now - silence + self.ownership.ttl() * LATER_CONTACT_TTLS;
        contacts.store_silence_s = silence;
        contacts.refusals = self.detection.store_refusals();
        contacts.others_reachable = self.peers.reachable_siblings(now).count();
        contacts.others_served_by_store = self.peers.count_with_store_contact(later, now);
    }

    /// Whether renewing the lease would keep the key of a process that cannot act: its ownership has ended,
    /// and it receives nothing from the store or from any sibling. Its renewals may still reach the store,
    /// and would then prevent the failover of its shard forever. Renewals resume once the store or a
    /// sibling answers.
    pub(crate) fn renewal_would_delay_failover(&self) -> bool {
        let now = self.outbox.now;
        self.acts_on_failures()
            && !self.ownership.holds_lease(now)
            && self.store.seconds_since_store_reply(now) > self.ownership.ttl()
            && !self.peers.any_reachable(now)
    }

    /// The version of the leader's key, if the leader has failed and this controller is to take over. Of the
    /// controllers that could, the first by name takes over, so that they do not compete for the key.
    pub(crate) fn failed_leader_key_version(&self) -> Option<Version> {
        let leader = self.store.leader()?;
        let node = &leader.record.node;
        let takes_over = self.acts_on_failures()
            && *node != self.config.controller
            && self.peers.detector().has_failed(node)
            && self.reads_store()
            && self.ownership.holds_lease(self.outbox.now)
            && !self.has_preferred_successor();
        takes_over.then_some(leader.version)
    }

    /// Whether a sibling that could lead precedes this controller by name.
    fn has_preferred_successor(&self) -> bool {
        self.peers
            .names()
            .filter(|node| **node < self.config.controller)
            .any(|node| self.can_serve(node))
    }

    /// Whether a sibling has recently answered that it reads the store, and has a key there. A sibling
    /// without a key has stepped down, possibly because workers cannot reach it.
    pub(crate) fn can_serve(&self, sibling: &ControllerName) -> bool {
        self.peers.reads_store(sibling, self.outbox.now) && self.store.node(sibling).is_some()
    }

    /// Whether a worker would get no answer if it were redirected to this owner. That is so if the owner is
    /// not registered in the store or has failed. It is also so if the owner is a process of this controller,
    /// which could not answer the worker itself.
    pub(crate) fn is_unreachable_owner(&self, node: &ControllerName, incarnation: u64) -> bool {
        *node == self.config.controller
            || !self.store.is_registered(node, incarnation)
            || self.peers.detector().has_failed(node)
    }

    /// Whether a controller has failed and its lease is about to expire, so that its shard is failed over
    /// soon. If its key remains for longer, the controller is alive but cannot be reached by a quorum. Its
    /// machines are then claimed.
    pub(crate) fn lease_expires_soon(&self, node: &ControllerName) -> bool {
        let detector = self.peers.detector();
        let expires_after: Time = self.ownership.ttl() * LEASE_EXPIRY_TTLS;
        detector.has_failed(node) && detector.silence(node, self.outbox.now) < expires_after
    }
}

/// Logs that a sibling has reached another stage.
fn log_stage_change(change: &StageChange<ControllerName>) {
    let StageChange {
        controller,
        from,
        to,
        evidence,
    } = change;
    let Evidence {
        votes, key_gone, ..
    } = evidence;
    let incarnation = evidence.incarnation.map_or(0, |incarnation| incarnation.0);
    match to {
        Stage::Alive => {
            tracing::info!(%controller, incarnation, previous_stage = ?from, "controller is alive");
        }
        Stage::Suspected => {
            let silence_seconds = format_args!("{:.1}", evidence.silence_s);
            tracing::info!(
                %controller, incarnation, %silence_seconds, "controller is suspected to have failed"
            );
        }
        Stage::Confirmed => {
            tracing::info!(%controller, votes, key_gone, "controller has failed");
        }
        Stage::HandedOver => {
            tracing::info!(%controller, "failed controller no longer owns any team or machine");
        }
    }
}

#[cfg(test)]
mod tests;
