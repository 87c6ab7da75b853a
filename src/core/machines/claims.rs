//! Machines whose owners can be reached neither by them nor from here. Two zones that can't reach each other
//! leave the machines of one with an owner in the other: their reports can't be relayed, and their leases
//! would run out. The controller that hears them claims them in its own key, and the leader moves them to
//! it, as it moves any machine: their tasks keep running and stay their teams'. So a claim decides nothing
//! of what is allowed; one that the map has overtaken is passed over.

use crate::config::Config;
use crate::core::model::time::Time;
use crate::core::records::process_record::MachineClaim;
use crate::core::records::shard_map::ShardMap;
use crate::ids::{FencingToken, MachineId};
use std::collections::BTreeMap;

/// Leases for which a claim stands, and for which a claimed machine stays where it was claimed, even
/// with a controller that has no team.
pub(crate) const CLAIM_LEASES: f64 = 3.0;

/// Part of the limit on values that claims may take.
pub(crate) const VALUE_PART: f64 = 0.5;

/// Bytes that one claim takes at most, as it is stored.
pub(crate) const CLAIM_BYTES: f64 = 48.0;

/// What this controller claims.
pub struct MachineClaims {
    pub(crate) claims: BTreeMap<MachineId, (FencingToken, Time)>,
    pub(crate) most_claims: usize,
    pub(crate) standing: Time,
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
    pub(crate) fn add(
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

#[cfg(test)]
mod tests;
