//! Index of the machines that shards can spare, by kind. It is built once for many demands, so that the cost
//! of each transfer does not grow with the fleet.

use crate::core::messages::capacity_demand::{MachineDemand, MachineOffer};
use crate::ids::{ControllerName, MachineId};
use std::collections::{BTreeMap, VecDeque};

/// A machine that can be spared, and the controller that owns it.
#[derive(Debug, PartialEq)]
pub(super) struct SpareMachine {
    /// Its name in the shard map.
    pub(super) id: MachineId,
    /// The controller to whose shard it belongs at present.
    pub(super) owner: ControllerName,
}

/// The machines that shards can spare, in the order in which they are taken.
#[derive(Default)]
pub(super) struct SparePool {
    /// Idle machines that no plan uses.
    pub(super) idle: SpareMachines,
    /// Machines with opportunistic work only.
    pub(super) opportunistic_only: SpareMachines,
    /// Idle machines that are kept for forecast demand.
    pub(super) reserved: SpareMachines,
}

impl SparePool {
    /// Takes an acceptable machine of a controller other than `except`, preferably an idle one of the
    /// cheapest kind. Demand of queued tasks may also take idle machines that other shards reserve for
    /// forecast demand.
    pub(super) fn take_for(
        &mut self,
        demand: &MachineDemand,
        except: &ControllerName,
    ) -> Option<SpareMachine> {
        let cheapest = std::slice::from_ref(&demand.offer);
        let idle = self.idle.take(cheapest, except);
        let idle = idle.or_else(|| self.idle.take(&demand.any_of, except));
        if idle.is_some() || demand.opportunistic {
            return idle;
        }
        let preemptible = self.opportunistic_only.take(&demand.any_of, except);
        match demand.urgency {
            Some(_) => preemptible.or_else(|| self.reserved.take(&demand.any_of, except)),
            None => preemptible,
        }
    }
}

/// A machine and its position in its shard's list; earlier machines are taken first.
#[derive(Debug)]
struct ListedMachine {
    position: usize,
    id: MachineId,
}

/// Machines that may be taken from their shards, by kind and shard, in the order in which the shards list
/// them.
#[derive(Debug, Default)]
pub(super) struct SpareMachines {
    by_kind: BTreeMap<MachineOffer, BTreeMap<ControllerName, VecDeque<ListedMachine>>>,
}

impl SpareMachines {
    /// Adds the machines that a shard can spare, with their kinds.
    pub(super) fn add(
        &mut self,
        node: &ControllerName,
        listed: impl IntoIterator<Item = (MachineId, MachineOffer)>,
    ) {
        for (position, (id, offer)) in listed.into_iter().enumerate() {
            let shards = self.by_kind.entry(offer).or_default();
            let machines = shards.entry(node.clone()).or_default();
            machines.push_back(ListedMachine { position, id });
        }
    }

    /// Takes a machine of any of these kinds from the first controller, by name, that has one and is not
    /// `except`. Of that controller's machines of these kinds, the one that it lists first is taken.
    pub(super) fn take(
        &mut self,
        kinds: &[MachineOffer],
        except: &ControllerName,
    ) -> Option<SpareMachine> {
        let first_of = |kind: &MachineOffer| {
            let shards = self.by_kind.get(kind)?.iter();
            let mut others = shards.filter(|(node, _)| *node != except);
            let (node, first) = others.find_map(|(node, listed)| Some((node, listed.front()?)))?;
            Some((node.clone(), first.position, kind.clone()))
        };
        let (owner, _, kind) = kinds.iter().filter_map(first_of).min()?;
        let machines = self.by_kind.get_mut(&kind)?.get_mut(&owner)?;
        let ListedMachine { id, .. } = machines.pop_front()?;
        Some(SpareMachine { id, owner })
    }
}

#[cfg(test)]
mod tests;
