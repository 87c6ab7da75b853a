//! Machines that shares can spare, by kind: looked up once for all that is wanted in one turn, so
//! that moving many machines costs in proportion to them and not to the fleet.

use crate::core::messages::capacity_demand::MachineOffer;
use crate::ids::{MachineId, Node};
use std::collections::{BTreeMap, VecDeque};

/// Machines of one share and kind, with their places in the share's list.
type Listed = VecDeque<(usize, MachineId)>;

/// Machines that may be taken from their shares, in the order in which the shares list them.
#[derive(Debug, Default)]
pub struct SpareMachines {
    by_kind: BTreeMap<MachineOffer, BTreeMap<Node, Listed>>,
}

impl SpareMachines {
    /// Adds the machines that a share lists, with their kinds.
    pub fn add<'a>(
        &mut self,
        node: &Node,
        listed: impl Iterator<Item = (&'a MachineId, &'a MachineOffer)>,
    ) {
        for (place, (id, offer)) in listed.enumerate() {
            let of_kind = self.by_kind.entry(offer.clone()).or_default();
            of_kind
                .entry(node.clone())
                .or_default()
                .push_back((place, id.clone()));
        }
    }

    /// Takes the first machine of any of these kinds that is in another share than `except`.
    pub fn take(&mut self, kinds: &[MachineOffer], except: &Node) -> Option<(MachineId, Node)> {
        let first_of = |kind: &MachineOffer| {
            let shards = self.by_kind.get(kind)?.iter();
            let mut others = shards.filter(|(node, listed)| *node != except && !listed.is_empty());
            let (node, listed) = others.next()?;
            Some((node.clone(), listed.front()?.0, kind.clone()))
        };
        let (node, _, kind) = kinds.iter().filter_map(first_of).min()?;
        let (_, id) = self.by_kind.get_mut(&kind)?.get_mut(&node)?.pop_front()?;
        Some((id, node))
    }
}

#[cfg(test)]
mod tests;
