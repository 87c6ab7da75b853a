//! Rented machines that have not sent a heartbeat yet.

use crate::core::messages::capacity_demand::MachineOffer;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::Catalog;
use crate::ids::{ControllerName, MachineId};
use std::collections::{BTreeMap, BTreeSet};

/// Multiple of its boot time after which a machine without a heartbeat is returned.
const OVERDUE_BOOT_TIMES: f64 = 3.5;

/// Multiple of its boot time after which a machine is late; most machines are ready before that.
const LATE_BOOT_TIMES: f64 = 1.6;

/// Number of late machines that may be replaced by new rentals, if [`REPLACED_FRACTION`] of them is not more.
/// The number is limited because, if most machines are late, their replacements would be late as well.
const MIN_REPLACED_MACHINES: usize = 2;

/// Fraction of the late machines that are replaced, if that is more than [`MIN_REPLACED_MACHINES`].
const REPLACED_FRACTION: f64 = 0.25;

/// A rented machine that has not sent a heartbeat yet.
pub(super) struct PendingMachine {
    /// The offer under which it was rented.
    pub(super) offer: MachineOffer,
    /// When it was rented; derived from its age if it is known only from the cloud's list.
    pub(super) rented_at: Time,
    /// The controller for which it was rented; None if it is known only from the cloud's list.
    pub(super) node: Option<ControllerName>,
}

/// All rented machines that have not sent a heartbeat yet.
#[derive(Default)]
pub(super) struct PendingMachines {
    machines: BTreeMap<MachineId, PendingMachine>,
}

impl PendingMachines {
    /// Adds a machine that was just rented.
    pub(super) fn add(&mut self, id: MachineId, machine: PendingMachine) {
        self.machines.insert(id, machine);
    }

    /// Adds a machine from the cloud's list, unless it is known already.
    pub(super) fn add_listed(&mut self, id: MachineId, machine: PendingMachine) {
        self.machines.entry(id).or_insert(machine);
    }

    /// Removes a machine that has sent a heartbeat or was returned.
    pub(super) fn remove(&mut self, id: &MachineId) -> Option<PendingMachine> {
        self.machines.remove(id)
    }

    /// Machines that are so late that they should be returned.
    pub(super) fn overdue_machines(
        &self,
        catalog: &Catalog,
        now: Time,
    ) -> impl Iterator<Item = &MachineId> {
        let overdue = move |pending: &PendingMachine| {
            now - pending.rented_at > catalog.boot_s(&pending.offer.type_name) * OVERDUE_BOOT_TIMES
        };
        let machines = self.machines.iter();
        machines
            .filter(move |(_, pending)| overdue(pending))
            .map(|(id, _)| id)
    }

    /// Machines that count as future capacity: all except the late ones that are replaced.
    pub(super) fn expected_machines(
        &self,
        catalog: &Catalog,
        now: Time,
    ) -> impl Iterator<Item = &PendingMachine> {
        let replaced = self.machines_to_replace(catalog, now);
        let machines = self.machines.iter();
        machines
            .filter(move |(id, _)| !replaced.contains(*id))
            .map(|(_, pending)| pending)
    }

    /// Late machines that no longer count as expected, so that others are rented in their place. Some
    /// machines never become ready, and tasks would wait for them for several boot times. A replaced machine
    /// that does send a heartbeat is used or returned like any other.
    fn machines_to_replace(&self, catalog: &Catalog, now: Time) -> BTreeSet<MachineId> {
        let is_late = |pending: &PendingMachine| {
            now - pending.rented_at > catalog.boot_s(&pending.offer.type_name) * LATE_BOOT_TIMES
        };
        let machines = self.machines.iter();
        let mut late: Vec<(&MachineId, Time)> = machines
            .filter(|(_, pending)| is_late(pending))
            .map(|(id, pending)| (id, pending.rented_at))
            .collect();
        late.sort_by(|(_, one), (_, other)| one.total_cmp(other));
        let replaced = late.iter().take(count_to_replace(late.len()));
        replaced.map(|(id, _)| (*id).clone()).collect()
    }
}

/// Maximum number of machines to replace, given the number of late ones.
#[expect(
    clippy::cast_possible_truncation,
    reason = "a rounded fraction of a count fits into the type of the count"
)]
fn count_to_replace(late: usize) -> usize {
    let part = (late as f64 * REPLACED_FRACTION).ceil() as usize;
    part.max(MIN_REPLACED_MACHINES)
}

#[cfg(test)]
mod tests;
