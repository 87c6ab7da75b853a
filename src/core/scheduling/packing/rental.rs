//! Selects the machine to rent for a task.

use crate::core::messages::capacity_demand::MachineOffer;
use crate::core::model::resources::Resources;
use crate::core::scheduling::catalog::{price, tasks_per_machine, total_resources};
use crate::core::scheduling::constraints::accepts_machine;
use crate::ids::Zone;
use crate::wire::{JobSpec, MachineType};
use std::collections::{BTreeMap, BTreeSet};

/// Requirements of a task for a machine to be rented.
pub(super) struct RentalRequest<'a> {
    /// Specification of the job, which restricts types, zones and spot instances.
    pub(super) spec: &'a JobSpec,
    /// Resources that one task needs.
    pub(super) need: &'a Resources,
    /// Whether the job's constraints permit a further task in a zone.
    pub(super) accepts_zone: &'a dyn Fn(&Zone) -> bool,
}

impl RentalRequest<'_> {
    fn accepted_zones<'t>(&self, machine_type: &'t MachineType) -> impl Iterator<Item = &'t Zone> {
        let accepts_zone = self.accepts_zone;
        machine_type
            .zones
            .iter()
            .filter(move |zone| accepts_zone(zone))
    }

    fn types_that_hold<'t>(
        &self,
        types: &'t [MachineType],
    ) -> impl Iterator<Item = &'t MachineType> {
        let need = *self.need;
        types
            .iter()
            .filter(move |machine_type| total_resources(machine_type).holds(&need))
    }

    /// The offer of a type in a zone; `None` if the job does not accept it.
    fn offer(&self, machine_type: &MachineType, zone: &Zone, spot: bool) -> Option<MachineOffer> {
        accepts_machine(self.spec, &machine_type.name, zone, spot).then(|| MachineOffer {
            type_name: machine_type.name.clone(),
            zone: zone.clone(),
            spot,
        })
    }

    /// Returns every offer that can run the task.
    pub(super) fn offers(&self, types: &[MachineType]) -> Vec<MachineOffer> {
        let mut offers = Vec::new();
        for machine_type in self.types_that_hold(types) {
            for zone in self.accepted_zones(machine_type) {
                offers.extend([false, true].map(|spot| self.offer(machine_type, zone, spot)));
            }
        }
        offers.into_iter().flatten().collect()
    }

    /// Returns the offer with the lowest price per task, and the total resources of such a machine. Among
    /// equal prices the zone with the fewest machines is chosen. Offers in `excluded` are not considered.
    pub(super) fn cheapest(
        &self,
        types: &[MachineType],
        machines_in_zone: &BTreeMap<Zone, u32>,
        excluded: &BTreeSet<MachineOffer>,
    ) -> Option<(MachineOffer, Resources)> {
        let mut cheapest: Option<((f64, u32), MachineOffer, Resources)> = None;
        for machine_type in self.types_that_hold(types) {
            let total = total_resources(machine_type);
            let tasks = tasks_per_machine(machine_type, self.need);
            for zone in self.accepted_zones(machine_type) {
                let machines = machines_in_zone.get(zone).copied().unwrap_or(0);
                let offers = [true, false].map(|spot| self.offer(machine_type, zone, spot));
                for offer in offers.into_iter().flatten() {
                    let cost = (price(machine_type, offer.spot) / tasks, machines);
                    let is_cheaper = cheapest
                        .as_ref()
                        .is_none_or(|(lowest, _, _)| cost < *lowest);
                    if is_cheaper && !excluded.contains(&offer) {
                        cheapest = Some((cost, offer, total));
                    }
                }
            }
        }
        cheapest.map(|(_, offer, total)| (offer, total))
    }
}
