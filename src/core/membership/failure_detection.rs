//! What this controller remembers for failure detection, of itself and of leases that are to be ended.

use crate::core::messages::detection::AbandonedLease;
use crate::core::model::time::Time;

/// The state of failure detection, apart from the detector of siblings itself, which is in
/// [`Peers`](crate::core::membership::peers::Peers).
#[derive(Debug, Default)]
pub struct FailureDetection {
    /// Calls that the store refused since its last other reply.
    store_refusals: u32,
    /// The lease that this controller's previous incarnation stepped down from, and when it did.
    abandoned: Option<(AbandonedLease, Time)>,
    /// The abandoned lease of a sibling that was ended last.
    ended_lease: Option<u64>,
    /// The change of the shard map up to which siblings were looked up in it.
    shard_map_change: Option<u64>,
    /// When this controller checks itself for a partial failure next.
    next_self_check: Time,
}

impl FailureDetection {
    /// The store refused a call.
    pub fn record_store_refusal(&mut self) {
        self.store_refusals += 1;
    }

    /// The store replied otherwise, or not at all, which is no refusal.
    pub fn reset_store_refusals(&mut self) {
        self.store_refusals = 0;
    }

    /// Calls that the store refused since its last other reply.
    pub fn store_refusals(&self) -> u32 {
        self.store_refusals
    }

    /// The previous incarnation has stepped down without ending its lease, which is reported to siblings.
    pub fn announce_abandoned_lease(&mut self, lease: AbandonedLease, now: Time) {
        self.abandoned = Some((lease, now));
    }

    /// The abandoned lease that is reported to siblings, and since when.
    pub fn abandoned_lease(&self) -> Option<(&AbandonedLease, Time)> {
        self.abandoned
            .as_ref()
            .map(|(lease, since)| (lease, *since))
    }

    /// Stops reporting the abandoned lease.
    pub fn withdraw_abandoned_lease(&mut self) {
        self.abandoned = None;
    }

    /// Whether this abandoned lease of a sibling was the last one that this controller ended.
    pub fn has_ended_lease(&self, lease: u64) -> bool {
        self.ended_lease == Some(lease)
    }

    /// This controller ends the abandoned lease of a sibling.
    pub fn record_ended_lease(&mut self, lease: u64) {
        self.ended_lease = Some(lease);
    }

    /// Whether the shard map has changed since the last call. `changes` counts its changes.
    pub fn take_shard_map_change(&mut self, changes: u64) -> bool {
        self.shard_map_change.replace(changes) != Some(changes)
    }

    /// Whether this controller is to check itself for a partial failure now. If so, the next check is
    /// due after `interval`.
    pub fn take_self_check(&mut self, interval: Time, now: Time) -> bool {
        let is_due = now >= self.next_self_check;
        if is_due {
            self.next_self_check = now + interval;
        }
        is_due
    }
}
