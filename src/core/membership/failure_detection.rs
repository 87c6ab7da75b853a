//! What this controller remembers for failure detection, of itself and of leases that are to be ended.

use crate::core::messages::detection::AbandonedLease;
use crate::core::model::time::Time;

/// The state of failure detection, apart from the detector of siblings itself, which is in
/// [`Peers`](crate::core::membership::peers::Peers).
#[derive(Debug, Default)]
pub struct FailureDetection {
    /// Calls that the store refused since its last other reply.
    refusals: u32,
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
    pub fn store_refused(&mut self) {
        self.refusals += 1;
    }

    /// The store replied otherwise, or not at all, which is no refusal.
    pub fn store_not_refused(&mut self) {
        self.refusals = 0;
    }

    /// Calls that the store refused since its last other reply.
    pub fn refusals(&self) -> u32 {
        self.refusals
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
    pub fn has_ended(&self, lease: u64) -> bool {
        self.ended_lease == Some(lease)
    }

    /// This controller ends the abandoned lease of a sibling.
    pub fn note_ended(&mut self, lease: u64) {
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
