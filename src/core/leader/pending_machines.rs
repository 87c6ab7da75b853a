//! Machines that were rented and have not reported yet.

use crate::core::messages::capacity_demand::MachineOffer;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::Catalog;
use crate::ids::{ControllerName, MachineId};
use std::collections::{BTreeMap, BTreeSet};

/// Machines that take this many times their boot time are given up and returned.
const OVERDUE_BOOTS: f64 = 3.5;

/// Machines that take this many times their boot time are late; most are ready before that.
const LATE_BOOTS: f64 = 1.6;

/// Late machines in whose place others are rented: so many, or [`REPLACED_LATE_FRACTION`] of them if that is
/// more. Where most are late, others would be late as well.
const REPLACED_LATE: usize = 2;

/// See [`REPLACED_LATE`].
const REPLACED_LATE_FRACTION: f64 = 0.25;

/// A machine that was rented and has not reported yet.
pub(super) struct PendingMachine {
    /// Its kind.
    pub(super) offer: MachineOffer,
    /// When it was rented.
    pub(super) rented: Time,
    /// The controller it was rented for, if known.
    pub(super) node: Option<ControllerName>,
}

/// All such machines.
#[derive(Default)]
pub(super) struct PendingMachines {
    machines: BTreeMap<MachineId, PendingMachine>,
}

impl PendingMachines {
    /// Adds a machine that was just rented.
    pub(super) fn add(&mut self, id: MachineId, machine: PendingMachine) {
        self.machines.insert(id, machine);
    }

    /// Adds a machine found in the cloud's list, unless it is known already.
    pub(super) fn add_listed(&mut self, id: MachineId, machine: PendingMachine) {
        self.machines.entry(id).or_insert(machine);
    }

    /// Removes a machine that has reported or was returned.
    pub(super) fn remove(&mut self, id: &MachineId) -> Option<PendingMachine> {
        self.machines.remove(id)
    }

    /// Machines that are so late that they are to be returned.
    pub(super) fn overdue(&self, catalog: &Catalog, now: Time) -> impl Iterator<Item = &MachineId> {
        let overdue = move |pending: &PendingMachine| {
            now - pending.rented > catalog.boot_s(&pending.offer.type_name) * OVERDUE_BOOTS
        };
        let machines = self.machines.iter();
        machines
            .filter(move |(_, pending)| overdue(pending))
            .map(|(id, _)| id)
    }

    /// Machines that are expected to report in time: all but those in whose place others are rented.
    pub(super) fn expected(
        &self,
        catalog: &Catalog,
        now: Time,
    ) -> impl Iterator<Item = &PendingMachine> {
        let replaced = self.replaced(catalog, now);
        let machines = self.machines.iter();
        machines
            .filter(move |(id, _)| !replaced.contains(*id))
            .map(|(_, pending)| pending)
    }

    /// Late machines that no longer count as expected, so that others are rented in their place: some never
    /// become ready, and tasks would wait for them for several boot times. If they do report they are used
    /// or returned as any other.
    fn replaced(&self, catalog: &Catalog, now: Time) -> BTreeSet<MachineId> {
        let is_late = |pending: &PendingMachine| {
            now - pending.rented > catalog.boot_s(&pending.offer.type_name) * LATE_BOOTS
        };
        let machines = self.machines.iter();
        let mut late: Vec<(&MachineId, Time)> = machines
            .filter(|(_, pending)| is_late(pending))
            .map(|(id, pending)| (id, pending.rented))
            .collect();
        late.sort_by(|(_, one), (_, other)| one.total_cmp(other));
        let replaced = late.iter().take(replaced_count(late.len()));
        replaced.map(|(id, _)| (*id).clone()).collect()
    }
}

/// How many of so many late machines are replaced.
#[expect(
    clippy::cast_possible_truncation,
    reason = "a fraction of a count is a count again"
)]
fn replaced_count(late: usize) -> usize {
    let part = (late as f64 * REPLACED_LATE_FRACTION).ceil() as usize;
    part.max(REPLACED_LATE)
}

#[cfg(test)]
mod tests;
