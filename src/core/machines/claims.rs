//! Claims of machines that are partitioned from their owners.
//!
//! A network partition between two zones may separate machines in one zone from their owner in the other.
//! Their heartbeats cannot be relayed to that owner, so their leases would expire. A controller that receives
//! their heartbeats claims them in its own key, and the leader reassigns them to that controller like any
//! other machine. Their tasks keep running and stay with their teams. A claim alone grants nothing. The
//! leader ignores a claim whose token is no longer the one in the shard map.

use crate::config::Config;
use crate::core::model::time::Time;
use crate::core::records::process_record::MachineClaim;
use crate::core::records::shard_map::ShardMap;
use crate::ids::{FencingToken, MachineId};
use std::collections::BTreeMap;

/// Time for which a claim is valid, in durations of a worker's lease. A reassigned machine also stays with
/// the claimant for this time, even if the claimant owns no team.
pub(crate) const CLAIM_VALIDITY_LEASES: f64 = 3.0;

/// Fraction of the size limit of a stored value that claims may use.
const MAX_VALUE_FRACTION: f64 = 0.5;

/// Maximum size of one stored claim, in bytes.
const MAX_CLAIM_BYTES: f64 = 48.0;

/// A claim of one machine.
struct Claim {
    /// The token under which the machine was owned when it was claimed.
    token: FencingToken,
    /// When the claim was last made or renewed.
    renewed_at: Time,
}

/// The claims of this controller, by machine.
pub struct MachineClaims {
    claims: BTreeMap<MachineId, Claim>,
    /// Maximum number of claims that the stored value can hold.
    capacity: usize,
    /// Seconds for which a claim is valid after it was last made or renewed.
    valid_s: Time,
}

impl MachineClaims {
    /// Creates an empty set of claims, with its capacity and validity taken from the settings.
    pub fn new(config: &Config) -> Self {
        let deployment = &config.deployment;
        let bytes = deployment.state.value_kb * 1024.0 * MAX_VALUE_FRACTION;
        Self {
            claims: BTreeMap::new(),
            capacity: round_down(bytes / MAX_CLAIM_BYTES),
            valid_s: deployment.workers.lease_s * CLAIM_VALIDITY_LEASES,
        }
    }

    /// Returns the claims in the form in which this process stores them under its key.
    pub fn records(&self) -> Vec<MachineClaim> {
        let claims = self.claims.iter();
        claims
            .map(|(id, claim)| MachineClaim {
                machine: id.clone(),
                token: claim.token,
            })
            .collect()
    }

    /// Claims a machine that is owned under `token`, or renews its claim. Returns false if there is no
    /// capacity for another claim. Expired claims and claims whose token the shard map has replaced are
    /// removed first.
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
            is_current && now - claim.renewed_at < valid_s
        });
        let is_known = self.claims.contains_key(machine);
        let has_capacity = self.claims.len() < self.capacity;
        if is_known || has_capacity {
            let claim = Claim {
                token,
                renewed_at: now,
            };
            self.claims.insert(machine.clone(), claim);
        }
        is_known || has_capacity
    }
}

/// Rounds a number down to an integer; negative numbers become 0.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the cast truncates and saturates as intended"
)]
fn round_down(number: f64) -> usize {
    number as usize
}

#[cfg(test)]
mod tests;
