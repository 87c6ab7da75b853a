//! Lease extensions. During an outage of the store, a majority of the controllers can extend a process's
//! ownership. Each controller grants an extension for a short time, and only while the store does not
//! answer it either.

use crate::core::membership::ownership::OwnershipLease;
use crate::core::model::process::ProcessId;
use crate::core::model::time::{MAX_CLOCK_DRIFT, Time};
use crate::core::store::replica::StoreReplica;
use crate::ids::ControllerName;
use std::collections::BTreeMap;

/// Duration of an extension as a fraction of a worker's lease.
const DURATION_WORKER_LEASES: f64 = 0.2;

/// Fraction of the lease's lifetime after which extensions are requested if no renewal succeeds.
const REQUEST_TTLS: f64 = 0.5;

/// Fraction of the lease's lifetime after which extensions are granted if the store does not answer.
const STORE_SILENCE_TTLS: f64 = 0.3;

/// The extensions that this controller has received and granted.
pub(super) struct LeaseExtensions {
    /// Seconds for which one extension is valid.
    pub(super) duration: Time,
    /// Seconds by which a received extension counts as expired early.
    margin: Time,
    /// When the extension that each sibling granted expires.
    pub(super) received_until: BTreeMap<ControllerName, Time>,
    /// When the extension that this controller granted to each sibling expires.
    granted_until: BTreeMap<ControllerName, Time>,
}

impl LeaseExtensions {
    /// Creates the state without any extension.
    pub(super) fn new(worker_lease: Time, margin: Time) -> Self {
        Self {
            duration: worker_lease * DURATION_WORKER_LEASES,
            margin,
            received_until: BTreeMap::new(),
            granted_until: BTreeMap::new(),
        }
    }

    /// Discards the extensions that siblings have granted.
    pub(super) fn clear_received(&mut self) {
        self.received_until.clear();
    }

    /// Returns whether no extension that this controller granted to a sibling is still valid.
    pub(super) fn has_none_granted_to(&self, sibling: &ControllerName, now: Time) -> bool {
        self.granted_until
            .get(sibling)
            .is_none_or(|until| *until < now)
    }

    /// Returns whether all extensions that an earlier process of this controller may have granted have
    /// expired. `now` counts from the start of this process.
    pub(super) fn predecessor_extensions_have_expired(&self, now: Time) -> bool {
        now > self.duration
    }
}

impl OwnershipLease {
    /// Returns the time until which a majority, this controller included, extends its ownership.
    pub(super) fn extended_until(&self) -> Time {
        if self.consents.includes(&self.process()) {
            return Time::NEG_INFINITY;
        }
        let mut expiries: Vec<Time> = self.extensions.received_until.values().copied().collect();
        expiries.sort_by(|left, right| right.total_cmp(left));
        // One vote of the majority is this controller's own, and positions start at zero.
        let last_required = self.majority.checked_sub(2);
        last_required
            .and_then(|position| expiries.get(position))
            .copied()
            .unwrap_or(Time::NEG_INFINITY)
    }

    /// Returns whether hellos to siblings must request extensions.
    pub fn wants_extension(&self, now: Time) -> bool {
        // A restarted controller's own vote counts only after the duration of one extension. The majority
        // includes that vote, so none is requested once this controller has consented to its own failover.
        self.lease_id().is_some()
            && now - self.renewed_at > self.ttl * REQUEST_TTLS
            && self.extensions.predecessor_extensions_have_expired(now)
            && !self.consents.includes(&self.process())
    }

    /// Grants an extension to a sibling's process, if possible, and returns whether it did. This controller
    /// does not consent to the failover of that process until the extension has expired.
    pub fn grant_extension(
        &mut self,
        process: &ProcessId,
        store: &StoreReplica,
        now: Time,
    ) -> bool {
        let is_registered = store.is_registered(&process.node, process.incarnation);
        let store_is_silent = store.seconds_since_store_reply(now) > self.ttl * STORE_SILENCE_TTLS;
        let is_granted = is_registered
            && store_is_silent
            && !self.consents.includes(process)
            && self.extensions.predecessor_extensions_have_expired(now);
        if is_granted {
            let until = now + self.extensions.duration * (1.0 + MAX_CLOCK_DRIFT);
            self.extensions
                .granted_until
                .insert(process.node.clone(), until);
        }
        is_granted
    }

    /// Records that a sibling granted an extension in reply to the request sent at `sent`.
    pub fn extension_received(&mut self, sibling: &ControllerName, sent: Time, now: Time) {
        if self.wants_extension(now) {
            let extensions = &mut self.extensions;
            let until = sent + extensions.duration * (1.0 - MAX_CLOCK_DRIFT) - extensions.margin;
            extensions.received_until.insert(sibling.clone(), until);
        }
    }
}
