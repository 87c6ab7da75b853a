//! Scale out and scale in: rents machines that shards lack and no other shard can spare, and returns machines
//! that are not needed or have failed.

use crate::core::effects::CloudReply;
use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::CloudOperation;
use crate::core::leader::Leader;
use crate::core::leader::live_processes::LiveProcesses;
use crate::core::leader::pending_machines::PendingMachine;
use crate::core::leader::zone_contact::ZoneMachines;
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::messages::capacity_demand::{MachineDemand, MachineOffer};
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::Catalog;
use crate::ids::{ControllerName, Zone};
use std::collections::BTreeMap;

/// Seconds between two plans of rentals and returns.
const PLAN_INTERVAL_S: Time = 1.0;

/// The number of machines of one kind that a controller lacks.
struct Shortage {
    node: ControllerName,
    count: u32,
}

impl Leader {
    /// Plans rentals and returns if a plan is due, the catalog is known and this process is not catching up
    /// after a pause.
    pub(super) fn plan_scaling_when_due(
        &mut self,
        catalog: &Catalog,
        unresponsive: &UnresponsiveMachines,
        live: &LiveProcesses,
        now: Time,
    ) {
        if now < self.next_scaling_plan || !catalog.is_known() || self.catching_up {
            return;
        }
        self.next_scaling_plan = now + PLAN_INTERVAL_S;
        self.mark_unreachable_zones(catalog, unresponsive, now);
        self.plan_scale_in(catalog, now);
        if self.cloud.may_plan_rentals(now) {
            for (offer, shortages) in self.shortages(catalog, now, live) {
                self.cloud
                    .queue_rentals(&offer, &nodes_round_robin(&shortages));
            }
        }
    }

    /// Handles the cloud's reply to a request.
    pub fn handle_cloud_reply(
        &mut self,
        outbox: &mut Outbox,
        operation: CloudOperation,
        reply: CloudReply,
    ) {
        self.cloud
            .handle_reply(outbox, operation, reply, self.editor.shard_map());
    }

    /// Marks all offers in unreachable zones as unavailable, as if the cloud had no capacity there.
    fn mark_unreachable_zones(
        &mut self,
        catalog: &Catalog,
        unresponsive: &UnresponsiveMachines,
        now: Time,
    ) {
        let zones = self.machines_by_zone(unresponsive);
        let workers = &self.config.deployment.workers;
        self.zone_contact.update(&zones, workers, now);
        self.cloud.expire_unavailable(now);
        for machine_type in catalog.types() {
            let zones = machine_type.zones.iter();
            for zone in zones.filter(|zone| self.zone_contact.is_unreachable(zone)) {
                for spot in [false, true] {
                    let offer = MachineOffer {
                        type_name: machine_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    // The plan that finds the mark expired sets it again.
                    self.cloud
                        .set_unavailable(offer, now + PLAN_INTERVAL_S * 2.0);
                }
            }
        }
    }

    /// Counts the machines of each zone; machines whose kind is unknown are left out.
    fn machines_by_zone(
        &self,
        unresponsive: &UnresponsiveMachines,
    ) -> BTreeMap<Zone, ZoneMachines> {
        let mut zones: BTreeMap<Zone, ZoneMachines> = BTreeMap::new();
        for (id, owner) in &self.editor.shard_map().machines {
            let Some(offer) = self.cloud.offer_of(id) else {
                continue;
            };
            let machines = zones.entry(offer.zone.clone()).or_default();
            machines.total += 1;
            machines.unresponsive +=
                usize::from(unresponsive.last_answered(id, owner.token).is_some());
        }
        zones
    }

    /// Queues the return of machines that did not become ready, that no shard needs, or that stopped sending
    /// heartbeats.
    fn plan_scale_in(&mut self, catalog: &Catalog, now: Time) {
        self.cloud.queue_overdue_releases(catalog, now);
        for demand in self.demands.values() {
            self.cloud
                .queue_releases(demand.surplus_machines.iter().cloned());
            self.cloud
                .queue_releases(demand.unheard_machines.iter().cloned());
        }
    }

    /// Machines that shards lack beyond the expected ones, by kind. Kinds that can't be rented at present are
    /// left out.
    fn shortages(
        &self,
        catalog: &Catalog,
        now: Time,
        live: &LiveProcesses,
    ) -> BTreeMap<MachineOffer, Vec<Shortage>> {
        let is_reachable = |pending: &&PendingMachine| {
            let zone = &pending.offer.zone;
            !self.zone_contact.is_unreachable(zone)
        };
        let expected_machines: Vec<&PendingMachine> = self
            .cloud
            .expected_machines(catalog, now)
            .filter(is_reachable)
            .collect();
        // Expected machines that were rented for an unknown shard, or that their shard no longer needs, count
        // for the first shard that lacks machines of any kind.
        let for_any_shard = expected_machines
            .iter()
            .filter(|pending| pending.node.is_none());
        let mut for_any_shard = u32::try_from(for_any_shard.count()).unwrap_or(u32::MAX);
        let mut shortages: BTreeMap<MachineOffer, Vec<Shortage>> = BTreeMap::new();
        for node in live.nodes() {
            let Some(demand) = self.demands.get(node) else {
                continue;
            };
            let mut expected_counts = count_expected_for(node, &expected_machines);
            let lacking = subtract_expected(&demand.machine_demands, &mut expected_counts);
            for_any_shard += expected_counts.values().sum::<u32>();
            for (offer, count) in lacking {
                let served = count.min(for_any_shard);
                for_any_shard -= served;
                if count > served && !self.cloud.is_unavailable(offer) {
                    let shortage = Shortage {
                        node: node.clone(),
                        count: count - served,
                    };
                    shortages.entry(offer.clone()).or_default().push(shortage);
                }
            }
        }
        shortages
    }
}

/// Counts the expected machines that were rented for this controller, by kind.
fn count_expected_for<'machines>(
    node: &ControllerName,
    expected_machines: &[&'machines PendingMachine],
) -> BTreeMap<&'machines MachineOffer, u32> {
    let mut by_kind = BTreeMap::new();
    for pending in expected_machines {
        if pending.node.as_ref() == Some(node) {
            *by_kind.entry(&pending.offer).or_default() += 1;
        }
    }
    by_kind
}

/// Number of machines of each kind that are lacking beyond the expected ones. Expected machines of any
/// acceptable kind serve a demand; they are subtracted from `expected_counts`.
fn subtract_expected<'demands>(
    demands: &'demands [MachineDemand],
    expected_counts: &mut BTreeMap<&MachineOffer, u32>,
) -> BTreeMap<&'demands MachineOffer, u32> {
    let mut lacking = BTreeMap::new();
    for demand in demands {
        let mut count = demand.count;
        for kind in std::iter::once(&demand.offer).chain(&demand.any_of) {
            if let Some(remaining) = expected_counts.get_mut(kind) {
                let served = count.min(*remaining);
                *remaining -= served;
                count -= served;
            }
        }
        *lacking.entry(&demand.offer).or_default() += count;
    }
    lacking
}

/// One entry for each lacking machine: the controller that lacks it. The order is round-robin, so that every
/// controller gets some machines if the cloud has too few.
fn nodes_round_robin(shortages: &[Shortage]) -> Vec<ControllerName> {
    let counts = shortages.iter().map(|shortage| shortage.count);
    let rounds = 0..counts.max().unwrap_or(0);
    let in_turn = rounds.flat_map(|round| {
        shortages
            .iter()
            .filter(move |shortage| shortage.count > round)
    });
    in_turn.map(|shortage| shortage.node.clone()).collect()
}
