//! Detection of zones that can't be reached, as when a network partition separates a zone from all others.
//!
//! The heartbeats of a machine rented in such a zone would not arrive, so its tasks would wait until the
//! partition ends. The leader rents in other zones meanwhile, and does not expect machines that boot in the
//! zone.

use crate::config::Workers;
use crate::core::model::time::Time;
use crate::ids::Zone;
use std::collections::BTreeMap;

/// Number of a zone's machines that must be unresponsive at the same time for the zone to count as
/// unreachable. Fewer may have failed independently.
const MIN_UNRESPONSIVE_MACHINES: usize = 3;

/// Fraction of a zone's machines that must be unresponsive for the zone to count as unreachable. The
/// others may have been assigned to their owners too recently to be declared unresponsive yet.
const UNRESPONSIVE_FRACTION: f64 = 0.5;

/// Worker leases for which a zone continues to count as unreachable after enough of its machines were last
/// unresponsive. Unresponsive machines are returned after about as many leases, and from then on nothing
/// indicates the state of the zone.
const UNREACHABLE_LEASES: f64 = 3.0;

/// The zones that count as unreachable at present.
#[derive(Debug, Default)]
pub(super) struct ZoneContact {
    /// When each zone stops counting as unreachable, unless its machines indicate it again before.
    unreachable_until: BTreeMap<Zone, Time>,
}

/// Numbers of machines in one zone.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZoneMachines {
    /// Machines of the zone in the shard map.
    pub(super) total: usize,
    /// Those of them that their owners have declared unresponsive.
    pub(super) unresponsive: usize,
}

impl ZoneMachines {
    /// Whether so many machines are unresponsive that the zone as a whole is probably unreachable.
    fn indicate_unreachable_zone(&self) -> bool {
        self.unresponsive >= MIN_UNRESPONSIVE_MACHINES
            && self.unresponsive as f64 >= self.total as f64 * UNRESPONSIVE_FRACTION
    }
}

impl ZoneContact {
    /// Updates the state of the zones from the counts of their machines. A zone without machines keeps its
    /// state until that expires.
    pub(super) fn update(
        &mut self,
        zones: &BTreeMap<Zone, ZoneMachines>,
        workers: &Workers,
        now: Time,
    ) {
        for (zone, machines) in zones {
            if !machines.indicate_unreachable_zone() {
                self.unreachable_until.remove(zone);
                continue;
            }
            let until = now + workers.lease_s * UNREACHABLE_LEASES;
            if self.unreachable_until.insert(zone.clone(), until).is_none() {
                tracing::info!(
                    %zone,
                    silent = machines.unresponsive,
                    total = machines.total,
                    "zone unreachable: machines are rented in other zones"
                );
            }
        }
        self.unreachable_until.retain(|_, until| now < *until);
    }

    /// Whether the zone counts as unreachable.
    pub(super) fn is_unreachable(&self, zone: &Zone) -> bool {
        self.unreachable_until.contains_key(zone)
    }
}

#[cfg(test)]
mod tests;
