use crate::core::Core;
use crate::core::controller::deferred_heartbeats::DeferralReason;
use crate::core::effects::RequestId;
use crate::core::records::shard_map::ShardOwner;
use crate::wire::Heartbeat;

impl Core {
    /// Whether a machine is to be claimed: neither its worker nor this controller reaches its owner. A worker
    /// that has not shown the owner's token may be on its way there, unless it is in this controller's
    /// zone, where other siblings are heard and the owner is not.
    pub(crate) fn may_claim(&self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
        let now = self.outbox.now;
        let living = self.store.is_registered(&owner.node, owner.incarnation);
        let comes_from_owner = heartbeat.token == owner.token;
        let same_zone = heartbeat.zone == self.config.zone && self.peers.heard_any(now);
        owner.node != self.config.node
            && living
            && (comes_from_owner || same_zone)
            && !self.peers.hears(&owner.node, now)
            && !(self.acts_on_failures() && self.lease_expires_soon(&owner.node))
            && self.shard.is_some()
            && self.ownership.holds_lease(now)
    }

    /// Claims a machine; its report is answered as soon as the map gives it to this controller.
    pub(crate) fn claim(&mut self, request: RequestId, heartbeat: Heartbeat, owner: &ShardOwner) {
        let now = self.outbox.now;
        let full = self.deferred_heartbeats.are_full();
        if full
            || !self
                .claims
                .add(&heartbeat.machine, owner.token, self.store.owners(), now)
        {
            return self.send_elsewhere(request, &owner.node);
        }
        tracing::debug!(
            "{} can't reach {} and is claimed",
            heartbeat.machine,
            owner.node
        );
        self.defer_heartbeat(request, heartbeat, owner, DeferralReason::Claim);
    }
}
