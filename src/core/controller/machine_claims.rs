//! When this controller claims a machine that can't reach its owner ([`crate::core::machines::claims`]).

use crate::core::Core;
use crate::core::controller::deferred_heartbeats::DeferralReason;
use crate::core::effects::RequestId;
use crate::core::records::shard_map::ShardOwner;
use crate::wire::Heartbeat;

impl Core {
    /// Whether a machine is to be claimed: neither its worker nor this controller reaches its owner, which is
    /// registered all the same. A worker that has not shown the owner's token may be about to reach the owner,
    /// unless it is in this controller's zone, where other siblings are heard and the owner is not.
    pub(crate) fn should_claim(&self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        let now = self.outbox.now;
        let owner_is_live = self.store.is_registered(&owner.node, owner.incarnation);
        let shows_owners_token = heartbeat.token == owner.token;
        let same_zone = heartbeat.zone == self.config.zone && self.peers.heard_any(now);
        owner.node != self.config.node
            && owner_is_live
            && (shows_owners_token || same_zone)
            && !self.peers.hears(&owner.node, now)
            && !(self.acts_on_failures() && self.lease_expires_soon(&owner.node))
            && self.shard.is_some()
            && self.ownership.holds_lease(now)
    }

    /// Claims a machine; its heartbeat is answered as soon as the shard map gives it to this controller. Without
    /// capacity for that the worker is sent to the owner.
    pub(crate) fn claim_machine(
        &mut self,
        request: RequestId,
        heartbeat: Heartbeat,
        owner: &ShardOwner,
    ) {
        let now = self.outbox.now;
        let owners = self.store.owners();
        let is_claimed = !self.deferred_heartbeats.is_full()
            && self
                .claims
                .add(&heartbeat.machine, owner.token, owners, now);
        if !is_claimed {
            return self.send_to_next_controller(request, &owner.node);
        }
        tracing::debug!(
            machine = %heartbeat.machine,
            owner = %owner.node,
            "claimed a machine that can't reach its owner"
        );
        self.defer_heartbeat(request, heartbeat, owner, DeferralReason::Claim);
    }
}
