//! Claims machines that can't reach their owners. [`crate::core::machines::claims`] holds the claims.

use crate::core::Core;
use crate::core::controller::deferred_heartbeats::DeferralReason;
use crate::core::effects::RequestId;
use crate::core::records::shard_map::ShardOwner;
use crate::wire::Heartbeat;

impl Core {
    /// Whether this controller should claim a machine: the owner is registered in the store, but neither this
    /// controller nor the machine's worker can reach it. A worker that has not shown the owner's token
    /// may still reach the owner. It is assumed to be cut off if it is in this controller's zone, and this
    /// controller reaches a sibling but not the owner. With failure detection, a machine is not claimed if
    /// the owner's lease expires soon, since its shard is then failed over.
    pub(crate) fn should_claim(&self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        let now = self.outbox.now;
        let owner_is_registered = self.store.is_registered(&owner.node, owner.incarnation);
        let shows_owners_token = owner.includes(heartbeat.token);
        let same_zone = heartbeat.zone == self.config.zone && self.peers.any_reachable(now);
        owner.node != self.config.controller
            && owner_is_registered
            && (shows_owners_token || same_zone)
            && !self.peers.is_reachable(&owner.node, now)
            && !(self.acts_on_failures() && self.lease_expires_soon(&owner.node))
            && self.shard.is_some()
            && self.ownership.holds_lease(now)
    }

    /// Claims a machine, and defers its heartbeat until the shard map assigns the machine to this
    /// controller. If there is no capacity for the claim or the heartbeat, the worker is sent to the next
    /// controller.
    pub(crate) fn claim_machine(
        &mut self,
        request: RequestId,
        heartbeat: Heartbeat,
        owner: &ShardOwner,
    ) {
        let now = self.outbox.now;
        let shard_map = self.store.shard_map();
        let is_claimed = !self.deferred_heartbeats.is_full()
            && self
                .claims
                .add(&heartbeat.machine, owner.token, shard_map, now);
        if !is_claimed {
            return self.send_to_next_controller(request, &owner.node);
        }
        tracing::debug!(
            machine = %heartbeat.machine,
            owner = %owner.node,
            "machine claimed: its worker cannot reach the owner"
        );
        self.defer_heartbeat(request, heartbeat, owner, DeferralReason::Claim);
    }
}
