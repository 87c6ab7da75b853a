//! Claims of machines that can't reach their owners, nor their owners them.
//!
//! A network partition between two zones leaves machines in one zone with an owner in the other: their
//! heartbeats can't be relayed, and their leases would expire. The controller that hears them claims them in
//! its own key, and the leader moves them to its shard as it moves any machine: their tasks keep running, and
//! their teams keep them. So a claim by itself permits nothing; one that the shard map has overtaken is ignored.

use crate::config::Config;
use crate::core::model::time::Time;
use crate::core::records::process_record::MachineClaim;
use crate::core::records::shard_map::ShardMap;
use crate::ids::{FencingToken, MachineId};
use std::collections::BTreeMap;

/// Worker leases for which a claim is valid, and for which a claimed machine stays with the claimant, even if
/// that controller has no team.
pub(crate) const CLAIM_VALIDITY_LEASES: f64 = 3.0;

/// Fraction of the limit on a stored value that claims may take.
const VALUE_FRACTION: f64 = 0.5;

/// Bytes that one stored claim takes at most.
const CLAIM_BYTES: f64 = 48.0;

/// The owner's fencing token that a claim refers to, and when the claim was last made.
struct Claim {
    token: FencingToken,
    since: Time,
}

/// The machines that this controller claims.
pub struct MachineClaims {
    claims: BTreeMap<MachineId, Claim>,
    /// How many claims the stored value holds.
    capacity: usize,
    /// Seconds for which a claim is valid.
    valid_s: Time,
}

impl MachineClaims {
    /// No claims yet.
    pub fn new(config: &Config) -> Self {
        let deployment = &config.deployment;
        let bytes = deployment.state.value_kb * 1024.0 * VALUE_FRACTION;
        Self {
            claims: BTreeMap::new(),
            capacity: whole(bytes / CLAIM_BYTES),
            valid_s: deployment.workers.lease_s * CLAIM_VALIDITY_LEASES,
        }
    }

    /// The claims as they are stored in this process's key.
    pub fn records(&self) -> Vec<MachineClaim> {
        let claims = self.claims.iter();
        claims
            .map(|(id, claim)| MachineClaim {
                machine: id.clone(),
                token: claim.token,
            })
            .collect()
    }

    /// Claims a machine from its owner under this token; returns whether there was capacity for it. Claims that
    /// have expired or that the shard map has overtaken are removed first.
    pub(crate) fn add(
        &mut self,
        machine: &MachineId,
        token: FencingToken,
        owners: &ShardMap,
        now: Time,
    ) -> bool {
        let valid_s = self.valid_s;
        self.claims.retain(|id, claim| {
            let owner = owners.machines.get(id);
            let is_current = owner.is_some_and(|owner| owner.token == claim.token);
            is_current && now - claim.since < valid_s
        });
        let is_known = self.claims.contains_key(machine);
        let has_capacity = self.claims.len() < self.capacity;
        if is_known || has_capacity {
            let claim = Claim { token, since: now };
            self.claims.insert(machine.clone(), claim);
        }
        is_known || has_capacity
    }
}

/// The number rounded down.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the cast rounds down and saturates, which is what is wanted here"
)]
fn whole(number: f64) -> usize {
    number as usize
}

#[cfg(test)]
mod tests;
