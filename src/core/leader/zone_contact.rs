//! Zones whose machines are no longer heard, as when a zone's network is partitioned from all others.
//!
//! A machine rented in such a zone could not report, so tasks for it would wait until the zone is back. The
//! leader rents in other zones meanwhile, and does not count on machines that are booting there.

use crate::config::Workers;
use crate::core::model::time::Time;
use crate::ids::Zone;
use std::collections::BTreeMap;

/// Machines of a zone that must be silent at the same time for the zone to count as unreachable: fewer may
/// have failed independently.
const LEAST_SILENT: usize = 3;

/// Fraction of a zone's machines that must be silent. The others may have owners that got them too recently
/// to tell.
const SILENT_FRACTION: f64 = 0.5;

/// Worker leases for which a zone counts as unreachable after it last seemed so. Silent machines are returned
/// after about as many, and then nothing shows the state of the zone any more.
const REMEMBERED_LEASES: f64 = 3.0;

/// The zones that count as unreachable.
#[derive(Debug, Default)]
pub(super) struct ZoneContact {
    /// Until when each counts as that.
    unreachable_until: BTreeMap<Zone, Time>,
}

/// Numbers of machines in one zone.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZoneMachines {
    /// All of them.
    pub(super) total: usize,
    /// Those that their owners no longer hear.
    pub(super) silent: usize,
}

impl ZoneMachines {
    /// Whether so many are silent that the zone as a whole seems unreachable.
    fn seem_unreachable(&self) -> bool {
        self.silent >= LEAST_SILENT && self.silent as f64 >= self.total as f64 * SILENT_FRACTION
    }
}

impl ZoneContact {
    /// Takes in how many machines of each zone are silent. A zone without machines keeps its state until that
    /// expires.
    pub(super) fn update(
        &mut self,
        zones: &BTreeMap<Zone, ZoneMachines>,
        workers: &Workers,
        now: Time,
    ) {
        for (zone, machines) in zones {
            if !machines.seem_unreachable() {
                self.unreachable_until.remove(zone);
                continue;
            }
            let until = now + workers.lease_s * REMEMBERED_LEASES;
            if self.unreachable_until.insert(zone.clone(), until).is_none() {
                tracing::info!(
                    %zone,
                    silent = machines.silent,
                    total = machines.total,
                    "zone counts as unreachable"
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
