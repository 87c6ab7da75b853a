//! State of failure detection that concerns this controller itself and abandoned leases.

use crate::core::messages::detection::AbandonedLease;
use crate::core::model::time::Time;

/// The store's refusals, abandoned leases, and the schedule of self-checks. The detector of failed siblings
/// is part of [`Peers`](crate::core::membership::peers::Peers).
#[derive(Debug, Default)]
pub struct FailureDetection {
    /// Number of consecutive calls that the store refused.
    store_refusals: u32,
    /// Lease that this controller's previous incarnation abandoned when it stepped down, and when that was.
    abandoned: Option<(AbandonedLease, Time)>,
    /// Abandoned lease of a sibling that this controller ended last.
    ended_lease: Option<u64>,
    /// Number of changes of the shard map when siblings were last looked up in it.
    seen_shard_map_changes: Option<u64>,
    /// When this controller next checks itself for a partial failure.
    next_self_check: Time,
}

impl FailureDetection {
    /// Records that the store refused a call.
    pub fn record_store_refusal(&mut self) {
        self.store_refusals += 1;
    }

    /// Records that the store replied otherwise or not at all, neither of which is a refusal.
    pub fn reset_store_refusals(&mut self) {
        self.store_refusals = 0;
    }

    /// Returns the number of consecutive calls that the store refused.
    pub fn store_refusals(&self) -> u32 {
        self.store_refusals
    }

    /// Starts reporting to siblings that the previous incarnation stepped down without ending this lease.
    pub fn announce_abandoned_lease(&mut self, lease: AbandonedLease, now: Time) {
        self.abandoned = Some((lease, now));
    }

    /// Returns the abandoned lease that is reported to siblings, and since when it is reported.
    pub fn abandoned_lease(&self) -> Option<(&AbandonedLease, Time)> {
        self.abandoned
            .as_ref()
            .map(|(lease, since)| (lease, *since))
    }

    /// Stops reporting the abandoned lease to siblings.
    pub fn withdraw_abandoned_lease(&mut self) {
        self.abandoned = None;
    }

    /// Returns whether this abandoned lease of a sibling is the one that this controller ended last.
    pub fn has_ended_lease(&self, lease: u64) -> bool {
        self.ended_lease == Some(lease)
    }

    /// Records that this controller is ending this abandoned lease of a sibling.
    pub fn record_ended_lease(&mut self, lease: u64) {
        self.ended_lease = Some(lease);
    }

    /// Returns whether the shard map has changed since the last call. `changes` is the number of its changes.
    pub fn take_shard_map_change(&mut self, changes: u64) -> bool {
        self.seen_shard_map_changes.replace(changes) != Some(changes)
    }

    /// Returns whether a check of this controller for a partial failure is due. If it is, schedules the next
    /// one after `interval`.
    pub fn take_self_check(&mut self, interval: Time, now: Time) -> bool {
        let is_due = now >= self.next_self_check;
        if is_due {
            self.next_self_check = now + interval;
        }
        is_due
    }
}
