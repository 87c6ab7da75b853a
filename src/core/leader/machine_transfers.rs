//! Transfers of machines from shards that can spare them to shards that lack some.
//!
//! Transfers do not wait for the periodic [rebalancing](super::rebalance), because queued tasks depend on
//! them. Demand that no shard can meet leads to rentals ([`super::scaling`]).

use crate::core::leader::Leader;
use crate::core::leader::live_processes::LiveProcesses;
use crate::core::leader::spare_machines::{SpareMachine, SparePool};
use crate::core::messages::capacity_demand::{CapacityDemand, MachineDemand, MachineOffer};
use crate::core::model::time::Time;
use crate::ids::{ControllerName, MachineId};
use crate::wire::Priority;
use std::collections::BTreeSet;

/// Minimum interval between two transfers of machines in use, in worker leases.
const URGENT_TRANSFER_INTERVAL_LEASES: f64 = 0.25;

impl Leader {
    /// Transfers machines to the shards that lack some; demands of opportunistic work are served last.
    pub(super) fn serve_machine_demands(&mut self, live: &LiveProcesses, now: Time) {
        self.serve_demands_where(live, now, |demand| !demand.opportunistic);
        self.serve_demands_where(live, now, |demand| demand.opportunistic);
    }

    /// Serves the demands that satisfy `is_served`, as far as other shards can spare machines for them.
    fn serve_demands_where(
        &mut self,
        live: &LiveProcesses,
        now: Time,
        is_served: fn(&MachineDemand) -> bool,
    ) {
        let mut demands = self.demands.values();
        if !demands.any(|demand| demand.machine_demands.iter().any(is_served)) {
            return;
        }
        let mut pool = self.spare_pool();
        let mut transferred = BTreeSet::new();
        for node in live.nodes() {
            let Some(demand) = self.demands.get_mut(node) else {
                continue;
            };
            let machine_demands = std::mem::take(&mut demand.machine_demands);
            let (served, mut open): (Vec<MachineDemand>, Vec<MachineDemand>) =
                machine_demands.into_iter().partition(is_served);
            for mut demand in served {
                self.serve_demand(&mut demand, node, &mut pool, &mut transferred, live, now);
                if demand.count > 0 {
                    open.push(demand);
                }
            }
            if let Some(demand) = self.demands.get_mut(node) {
                demand.machine_demands = open;
            }
        }
        self.remove_transferred(&transferred);
    }

    /// Transfers machines to `node` until the demand is met or no other shard has a suitable machine.
    fn serve_demand(
        &mut self,
        demand: &mut MachineDemand,
        node: &ControllerName,
        pool: &mut SparePool,
        transferred: &mut BTreeSet<MachineId>,
        live: &LiveProcesses,
        now: Time,
    ) {
        while demand.count > 0 {
            let found = pool.take_for(demand, node);
            let Some(spare) = found.or_else(|| self.take_machine_in_use(demand, node, now)) else {
                return;
            };
            self.reassign_machine(&spare.id, &spare.owner, node, live);
            transferred.insert(spare.id);
            demand.count -= 1;
        }
    }

    /// Collects the machines that shards can spare. Leaves out machines that are to be returned, that have
    /// another owner by now, or whose kind is unknown.
    fn spare_pool(&self) -> SparePool {
        let mut pool = SparePool::default();
        for (node, demand) in &self.demands {
            let usable = |ids: &[MachineId]| -> Vec<(MachineId, MachineOffer)> {
                let owned = ids
                    .iter()
                    .filter(|id| !self.cloud.is_release_pending(id) && self.owns_machine(node, id));
                owned
                    .filter_map(|id| Some((id.clone(), self.cloud.offer_of(id)?.clone())))
                    .collect()
            };
            pool.idle.add(node, usable(&demand.spare_machines));
            pool.opportunistic_only
                .add(node, usable(&demand.opportunistic_only_machines));
            pool.reserved.add(node, usable(&demand.forecast_reserve));
        }
        pool
    }

    /// Picks a machine in use for a demand of queued tasks if none of its on-demand kinds can be rented at
    /// present. The machine needs enough GPUs that are free or used by tasks of normal or low priority, and
    /// its own shard must have only less urgent demands. Machines in use are transferred one at a time,
    /// because the effect of a transfer has to show before the next one.
    fn take_machine_in_use(
        &mut self,
        demand: &MachineDemand,
        to: &ControllerName,
        now: Time,
    ) -> Option<SpareMachine> {
        let urgency = demand.urgency.filter(|_| !demand.opportunistic)?;
        let mut on_demand = demand.any_of.iter().filter(|offer| !offer.spot);
        if now < self.next_urgent_transfer
            || !on_demand.all(|offer| self.cloud.is_unavailable(offer))
        {
            return None;
        }
        let found = self.machine_with_most_free_gpus(demand, to, urgency)?;
        self.next_urgent_transfer =
            now + self.config.deployment.workers.lease_s * URGENT_TRANSFER_INTERVAL_LEASES;
        Some(found)
    }

    /// The acceptable machine with the most free GPUs, among the shards other than `to` that have only less
    /// urgent demands.
    fn machine_with_most_free_gpus(
        &self,
        demand: &MachineDemand,
        to: &ControllerName,
        urgency: Priority,
    ) -> Option<SpareMachine> {
        let is_acceptable = |id: &MachineId| {
            let offer = self.cloud.offer_of(id);
            offer.is_some_and(|offer| demand.any_of.contains(offer))
        };
        let others = self
            .demands
            .iter()
            .filter(|(node, other)| *node != to && has_only_less_urgent_demands(other, urgency));
        let machines = others.flat_map(|(node, other)| {
            let machines = other.machines_with_free_gpus.iter();
            machines.map(move |(id, free_gpus)| (node, id, *free_gpus))
        });
        let (node, id, _) = machines
            .filter(|(node, id, free_gpus)| {
                *free_gpus >= demand.gpus && is_acceptable(id) && self.owns_machine(node, id)
            })
            .max_by(|(_, _, one), (_, _, other)| one.total_cmp(other))?;
        Some(SpareMachine {
            id: id.clone(),
            owner: node.clone(),
        })
    }

    /// Reassigns a machine from one live controller to another.
    pub(super) fn reassign_machine(
        &mut self,
        id: &MachineId,
        from: &ControllerName,
        to: &ControllerName,
        live: &LiveProcesses,
    ) {
        tracing::info!(machine = %id, %from, %to, "machine reassigned to another shard");
        if let Some(to) = live.process_of(to) {
            self.assign_machine(id, &to, live.process_of(from), live);
        }
    }

    /// Removes transferred machines from the controllers' reports of machines that they can spare.
    pub(super) fn remove_transferred(&mut self, transferred: &BTreeSet<MachineId>) {
        if !transferred.is_empty() {
            for demand in self.demands.values_mut() {
                demand.remove_machines(transferred);
            }
        }
    }
}

/// Whether all demands of a shard are less urgent than this; demands of opportunistic work don't count.
fn has_only_less_urgent_demands(demand: &CapacityDemand, urgency: Priority) -> bool {
    let demands = demand.machine_demands.iter();
    demands
        .filter(|other| !other.opportunistic)
        .all(|other| other.urgency < Some(urgency))
}
