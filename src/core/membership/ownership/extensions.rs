//! Lease extensions: during an outage of the store a majority of the controllers may extend a
//! process's ownership, each for a short time and only while it cannot read the store itself.

use crate::core::membership::ownership::OwnershipLease;
use crate::core::model::process::ProcessId;
use crate::core::model::time::{MAX_CLOCK_DRIFT, Time};
use crate::core::store::replica::StoreReplica;
use crate::ids::ControllerName;
use std::collections::BTreeMap;

/// Duration of an extension, as a part of a worker's lease.
const DURATION_WORKER_LEASES: f64 = 0.2;

/// Part of the lease's lifetime without a renewal after which extensions are requested.
const REQUEST_TTLS: f64 = 0.5;

/// Part of the lease's lifetime without an answer of the store after which extensions are granted.
const STORE_SILENCE_TTLS: f64 = 0.3;

/// The extensions that this controller has received and granted.
pub(super) struct LeaseExtensions {
    /// Seconds for which one extension is valid.
    pub(super) duration: Time,
    /// Seconds by which an extension counts as expired before it is.
    margin: Time,
    /// Until when the extension from each sibling is valid.
    pub(super) received_until: BTreeMap<ControllerName, Time>,
    /// Until when this controller's extension for each sibling is valid.
    granted_until: BTreeMap<ControllerName, Time>,
}

impl LeaseExtensions {
    /// None yet.
    pub(super) fn new(worker_lease: Time, margin: Time) -> Self {
        Self {
            duration: worker_lease * DURATION_WORKER_LEASES,
            margin,
            received_until: BTreeMap::new(),
            granted_until: BTreeMap::new(),
        }
    }

    /// Forgets the extensions that siblings have granted.
    pub(super) fn clear_received(&mut self) {
        self.received_until.clear();
    }

    /// Whether no extension that this controller granted to a sibling is still valid.
    pub(super) fn none_granted_to(&self, node: &ControllerName, now: Time) -> bool {
        self.granted_until
            .get(node)
            .is_none_or(|until| *until < now)
    }

    /// Whether all extensions that an earlier process of this controller may have granted have
    /// expired. `now` counts from the start of the process.
    pub(super) fn predecessors_have_expired(&self, now: Time) -> bool {
        now > self.duration
    }
}

impl OwnershipLease {
    /// Until when the extensions of a majority are valid, this controller's own vote included.
    pub(super) fn extended_until(&self) -> Time {
        if self.consents.includes(&self.process()) {
            return Time::NEG_INFINITY;
        }
        let mut expiries: Vec<Time> = self.extensions.received_until.values().copied().collect();
        expiries.sort_by(|left, right| right.total_cmp(left));
        // One vote is this controller's own, and positions count from zero.
        let last_of_majority = self.majority.checked_sub(2);
        last_of_majority
            .and_then(|position| expiries.get(position))
            .copied()
            .unwrap_or(Time::NEG_INFINITY)
    }

    /// Whether siblings are to be asked for extensions.
    pub fn wants_extension(&self, now: Time) -> bool {
        // A restarted controller's own vote counts only after the duration of one extension. And a
        // majority needs that vote, which the leader may have by now for the failover of this shard.
        self.lease_id().is_some()
            && now - self.renewed_at > self.ttl * REQUEST_TTLS
            && self.extensions.predecessors_have_expired(now)
            && !self.consents.includes(&self.process())
    }

    /// Answers a sibling's request for an extension. If it is granted, this controller consents to no
    /// failover of that process until the extension has expired.
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
            && self.extensions.predecessors_have_expired(now);
        if is_granted {
            let until = now + self.extensions.duration * (1.0 + MAX_CLOCK_DRIFT);
            self.extensions
                .granted_until
                .insert(process.node.clone(), until);
        }
        is_granted
    }

    /// A sibling has granted an extension at the request sent at `sent`.
    pub fn extension_received(&mut self, node: &ControllerName, sent: Time, now: Time) {
        if self.wants_extension(now) {
            let extensions = &mut self.extensions;
            let until = sent + extensions.duration * (1.0 - MAX_CLOCK_DRIFT) - extensions.margin;
            extensions.received_until.insert(node.clone(), until);
        }
    }
}
