//! Scale out and scale in: which machines are rented since no shard can spare them, and which are returned.

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
use crate::ids::{Node, Zone};
use std::collections::BTreeMap;

/// Seconds between two plans of what is rented and returned.
const PLAN_INTERVAL_S: Time = 1.0;

/// A controller, and how many machines of one kind it lacks.
struct Shortage {
    node: Node,
    count: u32,
}

impl Leader {
    /// Plans rentals and returns, if a plan is due and what it is based on is known.
    pub(super) fn plan_scaling_when_due(
        &mut self,
        catalog: &Catalog,
        unresponsive: &UnresponsiveMachines,
        live: &LiveProcesses,
        now: Time,
    ) {
        if now < self.next_scaling || !catalog.known() || self.catching_up {
            return;
        }
        self.next_scaling = now + PLAN_INTERVAL_S;
        self.note_unreachable_zones(catalog, unresponsive, now);
        self.plan_scale_in(catalog, now);
        if self.cloud.may_plan_rentals(now) {
            for (offer, shortages) in self.shortages(catalog, now, live) {
                self.cloud.rent(&offer, &in_turn(&shortages));
            }
        }
    }

    /// Takes in the cloud's reply to a request.
    pub fn handle_cloud_reply(
        &mut self,
        outbox: &mut Outbox,
        operation: CloudOperation,
        reply: CloudReply,
    ) {
        self.cloud
            .replied(outbox, operation, reply, self.editor.owners());
    }

    /// Offers in unreachable zones count as unavailable, as if the cloud had no capacity there.
    fn note_unreachable_zones(
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
                    // Renewed with the next plan.
                    self.cloud
                        .set_unavailable(offer, now + PLAN_INTERVAL_S * 2.0);
                }
            }
        }
    }

    /// The machines of each zone, as far as their zones are known.
    fn machines_by_zone(
        &self,
        unresponsive: &UnresponsiveMachines,
    ) -> BTreeMap<Zone, ZoneMachines> {
        let mut zones: BTreeMap<Zone, ZoneMachines> = BTreeMap::new();
        for (id, owner) in &self.editor.owners().machines {
            let Some(offer) = self.cloud.offer_of(id) else {
                continue;
            };
            let machines = zones.entry(offer.zone.clone()).or_default();
            machines.total += 1;
            machines.silent += usize::from(unresponsive.answered(id, owner.token).is_some());
        }
        zones
    }

    /// Returns machines that did not become ready, that no shard needs, or that went silent.
    fn plan_scale_in(&mut self, catalog: &Catalog, now: Time) {
        self.cloud.release_overdue(catalog, now);
        for demand in self.demands.values() {
            self.cloud.release(demand.surplus_machines.iter().cloned());
            self.cloud.release(demand.unheard_machines.iter().cloned());
        }
    }

    /// Machines that shards lack beyond those that are expected, by kind; kinds that can't be rented at
    /// present are left out.
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
        let expected: Vec<&PendingMachine> = self
            .cloud
            .expected(catalog, now)
            .filter(is_reachable)
            .collect();
        // Expected machines that were rented for no shard in particular, or whose shard has no use for them
        // any more, serve the first shard that lacks some.
        let unclaimed = expected.iter().filter(|pending| pending.node.is_none());
        let mut unclaimed = u32::try_from(unclaimed.count()).unwrap_or(u32::MAX);
        let mut shortages: BTreeMap<MachineOffer, Vec<Shortage>> = BTreeMap::new();
        for node in live.nodes() {
            let Some(demand) = self.demands.get(node) else {
                continue;
            };
            let mut expected = expected_for(node, &expected);
            let lacking = subtract_expected(&demand.machine_demands, &mut expected);
            unclaimed += expected.values().sum::<u32>();
            for (offer, count) in lacking {
                let served = count.min(unclaimed);
                unclaimed -= served;
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

/// The expected machines that were rented for this controller, by kind.
fn expected_for<'machines>(
    node: &Node,
    expected: &[&'machines PendingMachine],
) -> BTreeMap<&'machines MachineOffer, u32> {
    let mut by_kind = BTreeMap::new();
    for pending in expected {
        if pending.node.as_ref() == Some(node) {
            *by_kind.entry(&pending.offer).or_default() += 1;
        }
    }
    by_kind
}

/// How many machines of each kind are lacking beside the expected ones; a demand is served by expected
/// machines of any acceptable kind, which are taken out of `expected`.
fn subtract_expected<'demands>(
    demands: &'demands [MachineDemand],
    expected: &mut BTreeMap<&MachineOffer, u32>,
) -> BTreeMap<&'demands MachineOffer, u32> {
    let mut lacking = BTreeMap::new();
    for demand in demands {
        let mut count = demand.count;
        for kind in std::iter::once(&demand.offer).chain(&demand.any_of) {
            if let Some(expected) = expected.get_mut(kind) {
                let served = count.min(*expected);
                *expected -= served;
                count -= served;
            }
        }
        *lacking.entry(&demand.offer).or_default() += count;
    }
    lacking
}

/// One controller for each machine that is lacking. The controllers take turns, so that each gets some if
/// the cloud has fewer.
fn in_turn(shortages: &[Shortage]) -> Vec<Node> {
    let counts = shortages.iter().map(|shortage| shortage.count);
    let turns = 0..counts.max().unwrap_or(0);
    let in_turn = turns.flat_map(|turn| {
        shortages
            .iter()
            .filter(move |shortage| shortage.count > turn)
    });
    in_turn.map(|shortage| shortage.node.clone()).collect()
}
