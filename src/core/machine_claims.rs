//! Machines whose owners can be reached neither by them nor from here. Two zones that can't reach each other
//! leave the machines of one with an owner in the other: their reports can't be relayed, and their leases
//! would run out. The controller that hears them claims them in its own key, and the leader moves them to
//! it, as it moves any machine: their tasks keep running and stay their teams'. So a claim decides nothing
//! of what is allowed; one that the map has overtaken is passed over.

use super::deferred_heartbeats::DeferralReason;
use super::leader::Leader;
use super::part_map::{ShardMap, ShardOwner};
use super::store::StoreReplica;
use super::{Core, RequestId, Time};
use crate::config::Config;
use crate::ids::{FencingToken, MachineId, Node};
use crate::wire::Heartbeat;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Leases for which a claim stands, and for which a claimed machine stays where it was claimed, even
/// with a controller that has no team.
const CLAIM_LEASES: f64 = 3.0;
/// Part of the limit on values that claims may take.
const VALUE_PART: f64 = 0.5;
/// Bytes that one claim takes at most, as it is stored.
const CLAIM_BYTES: f64 = 48.0;

/// A machine that is claimed from whoever owns it under this term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineClaim {
    #[serde(rename = "m")]
    pub machine: MachineId,
    #[serde(rename = "t")]
    pub token: FencingToken,
}

/// What this controller claims.
pub struct MachineClaims {
    claims: BTreeMap<MachineId, (FencingToken, Time)>,
    most_claims: usize,
    standing: Time,
}

impl MachineClaims {
    /// None yet.
    pub fn new(config: &Config) -> Self {
        let deployment = &config.deployment;
        let bytes = deployment.state.value_kb * 1024.0 * VALUE_PART;
        Self {
            claims: BTreeMap::new(),
            most_claims: (bytes / CLAIM_BYTES) as usize,
            standing: deployment.workers.lease_s * CLAIM_LEASES,
        }
    }

    /// What stands in this process's key.
    pub fn told(&self) -> Vec<MachineClaim> {
        let claims = self.claims.iter();
        claims
            .map(|(id, (token, _))| MachineClaim {
                machine: id.clone(),
                token: *token,
            })
            .collect()
    }

    /// Claims a machine; whether there is room for it. Claims that the map has overtaken make room.
    fn add(
        &mut self,
        machine: &MachineId,
        token: FencingToken,
        owners: &ShardMap,
        now: Time,
    ) -> bool {
        let standing = self.standing;
        self.claims.retain(|id, (token, since)| {
            let open = owners
                .machines
                .get(id)
                .is_some_and(|owner| owner.token == *token);
            open && now - *since < standing
        });
        let known = self.claims.contains_key(machine);
        let room = self.claims.len() < self.most_claims;
        if known || room {
            self.claims.insert(machine.clone(), (token, now));
        }
        known || room
    }
}

impl Core {
    /// Whether a machine is to be claimed: neither its worker nor this controller reaches its owner. A worker
    /// that has not shown the owner's token may be on its way there, unless it is in this controller's
    /// zone, where other siblings are heard and the owner is not.
    pub(super) fn may_claim(&self, heartbeat: &Heartbeat, owner: &ShardOwner) -> bool {
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
    pub(super) fn claim(&mut self, request: RequestId, heartbeat: Heartbeat, owner: &ShardOwner) {
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
        self.wait_for_map(request, heartbeat, owner, DeferralReason::Claim);
    }
}

impl Leader {
    /// Gives claimed machines to those who claim them, if the map still has them where they were then.
    pub(super) fn serve_claims(
        &mut self,
        store: &StoreReplica,
        living: &BTreeMap<Node, u64>,
        now: Time,
    ) {
        let standing = self.config.deployment.workers.lease_s * CLAIM_LEASES;
        self.claimed.retain(|_, since| now - *since < standing);
        for (node, process) in store.nodes() {
            let incarnation = process.record.incarnation;
            for claim in &process.record.claims {
                let Some(owner) = self.map.owners.machines.get(&claim.machine) else {
                    continue;
                };
                let former = (owner.node.clone(), owner.incarnation);
                let lives = living.get(&former.0) == Some(&former.1);
                if owner.token != claim.token || owner.node == *node || !lives {
                    continue;
                }
                tracing::info!(
                    "{} moves from {} to {node}, which hears it",
                    claim.machine,
                    former.0
                );
                self.assign_machine(&claim.machine, node, incarnation, Some(former));
                self.claimed.insert(claim.machine.clone(), now);
            }
        }
    }
}

#[cfg(test)]
mod tests;
