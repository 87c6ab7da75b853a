//! Zones whose machines are not heard any more, as when a zone is cut off from everything. A machine rented
//! there could not report, so what waits for it would wait until the zone is back. The leader rents in
//! other zones meanwhile, and counts on nothing that is on its way there.

use crate::config::Workers;
use crate::core::model::time::Time;
use crate::ids::Zone;
use std::collections::{BTreeMap, BTreeSet};

/// Machines of a zone that must be silent together before the zone is taken for cut off: fewer may have
/// ended each by itself.
const SILENT_TOGETHER: usize = 3;

/// Part of a zone's machines that must be silent. The rest may be with owners that have had them for too
/// short a time to tell.
const SILENT_PART: f64 = 0.5;

/// Leases for which a zone counts as cut off after that was last seen. Silent machines are returned after
/// about as many, and then nothing tells of the zone any more.
const REMEMBERED_LEASES: f64 = 3.0;

/// The zones that are taken for cut off, each until when.
#[derive(Debug, Default)]
pub struct ZoneContact {
    cut_off_until: BTreeMap<Zone, Time>,
}

/// Machines of one zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneMachines {
    pub all: usize,
    /// Of these, such as their owners do not hear any more.
    pub silent: usize,
}

impl ZoneMachines {
    fn seem_cut_off(&self) -> bool {
        self.silent >= SILENT_TOGETHER && self.silent as f64 >= self.all as f64 * SILENT_PART
    }
}

impl ZoneContact {
    /// Takes up how many machines of each zone are silent. A zone without machines tells nothing.
    pub fn update(&mut self, zones: &BTreeMap<Zone, ZoneMachines>, workers: &Workers, now: Time) {
        for (zone, machines) in zones {
            if !machines.seem_cut_off() {
                self.cut_off_until.remove(zone);
                continue;
            }
            let until = now + workers.lease_s * REMEMBERED_LEASES;
            if self.cut_off_until.insert(zone.clone(), until).is_none() {
                let ZoneMachines { all, silent } = machines;
                tracing::info!(
                    "{silent} of {all} machines of zone {zone} are silent: it is cut off"
                );
            }
        }
        self.cut_off_until.retain(|_, until| now < *until);
    }

    /// Whether the zone is taken for cut off.
    pub fn is_cut_off(&self, zone: &Zone) -> bool {
        self.cut_off_until.contains_key(zone)
    }

    /// All zones that are taken for cut off.
    pub fn cut_off(&self) -> BTreeSet<Zone> {
        self.cut_off_until.keys().cloned().collect()
    }
}

#[cfg(test)]
mod tests;
