//! Which machine to rent for a task.

use crate::core::messages::capacity_demand::MachineOffer;
use crate::core::model::resources::Resources;
use crate::core::scheduling::catalog::{price, tasks_per_machine, total_resources};
use crate::core::scheduling::constraints::accepts_machine;
use crate::ids::Zone;
use crate::wire::{JobSpec, MachineType};
use std::collections::{BTreeMap, BTreeSet};

/// What a rented machine has to satisfy.
pub(super) struct RentalRequest<'a> {
    /// The job.
    pub(super) spec: &'a JobSpec,
    /// What one task needs.
    pub(super) need: &'a Resources,
    /// Whether the job may have a further task in a zone.
    pub(super) zone_allows: &'a dyn Fn(&Zone) -> bool,
}

impl RentalRequest<'_> {
    fn zones<'t>(&self, of_type: &'t MachineType) -> impl Iterator<Item = &'t Zone> {
        let zone_allows = self.zone_allows;
        of_type.zones.iter().filter(move |zone| zone_allows(zone))
    }

    fn types_that_hold<'t>(
        &self,
        types: &'t [MachineType],
    ) -> impl Iterator<Item = &'t MachineType> {
        let need = *self.need;
        types
            .iter()
            .filter(move |of_type| total_resources(of_type).holds(&need))
    }

    /// The offer of a type in a zone, if the job accepts it.
    fn offer(&self, of_type: &MachineType, zone: &Zone, spot: bool) -> Option<MachineOffer> {
        accepts_machine(self.spec, &of_type.name, zone, spot).then(|| MachineOffer {
            type_name: of_type.name.clone(),
            zone: zone.clone(),
            spot,
        })
    }

    /// Every offer that can run the task.
    pub(super) fn offers(&self, types: &[MachineType]) -> Vec<MachineOffer> {
        let mut offers = Vec::new();
        for of_type in self.types_that_hold(types) {
            for zone in self.zones(of_type) {
                offers.extend([false, true].map(|spot| self.offer(of_type, zone, spot)));
            }
        }
        offers.into_iter().flatten().collect()
    }

    /// The offer with the lowest price per task, and all resources of such a machine. Among equal prices
    /// the zone with the fewest machines is chosen. Offers in `excluded` are passed over.
    pub(super) fn cheapest(
        &self,
        types: &[MachineType],
        machines_in_zone: &BTreeMap<Zone, u32>,
        excluded: &BTreeSet<MachineOffer>,
    ) -> Option<(MachineOffer, Resources)> {
        let mut best: Option<((f64, u32), MachineOffer, Resources)> = None;
        for of_type in self.types_that_hold(types) {
            let total = total_resources(of_type);
            let tasks = tasks_per_machine(of_type, self.need);
            for zone in self.zones(of_type) {
                let machines = machines_in_zone.get(zone).copied().unwrap_or(0);
                let offers = [true, false].map(|spot| self.offer(of_type, zone, spot));
                for offer in offers.into_iter().flatten() {
                    let cost = (price(of_type, offer.spot) / tasks, machines);
                    let is_cheaper = best.as_ref().is_none_or(|(least, _, _)| cost < *least);
                    if is_cheaper && !excluded.contains(&offer) {
                        best = Some((cost, offer, total));
                    }
                }
            }
        }
        best.map(|(_, offer, total)| (offer, total))
    }
}
