//! The controller processes that are registered in the store.

use crate::core::model::process::ProcessId;
use crate::core::store::replica::StoreReplica;
use crate::ids::ControllerName;
use std::collections::BTreeMap;

/// Registered controllers, each with the incarnation of its process, ordered by name.
///
/// A process's key disappears from the store when its lease ends. So an owner that is not registered has
/// failed or was restarted.
pub(super) struct LiveProcesses {
    incarnations: BTreeMap<ControllerName, u64>,
    /// Whether each of them understands that owners raise the tokens of their machines.
    all_raise_tokens: bool,
}

impl LiveProcesses {
    /// Reads the registered processes from the replica.
    pub(super) fn registered_in(store: &StoreReplica) -> Self {
        let registered = store.nodes().iter();
        let mut records = store.nodes().values().map(|stored| &stored.record);
        Self {
            all_raise_tokens: records.all(|record| record.raises_tokens),
            incarnations: registered
                .map(|(node, stored)| (node.clone(), stored.record.incarnation))
                .collect(),
        }
    }

    /// Whether machines may be granted tokens that their owners raise: every live process understands them.
    pub(super) fn all_raise_tokens(&self) -> bool {
        self.all_raise_tokens
    }

    /// Number of live processes.
    pub(super) fn count(&self) -> usize {
        self.incarnations.len()
    }

    /// Whether no process is live.
    pub(super) fn is_empty(&self) -> bool {
        self.incarnations.is_empty()
    }

    /// The controllers that have a live process, ordered by name.
    pub(super) fn nodes(&self) -> impl Iterator<Item = &ControllerName> {
        self.incarnations.keys()
    }

    /// Whether the controller has a live process.
    pub(super) fn has_node(&self, node: &ControllerName) -> bool {
        self.incarnations.contains_key(node)
    }

    /// Whether this process is live; false if its controller runs as another incarnation.
    pub(super) fn contains(&self, process: &ProcessId) -> bool {
        self.incarnations.get(&process.node) == Some(&process.incarnation)
    }

    /// The live process of a controller; None if it has none.
    pub(super) fn process_of(&self, node: &ControllerName) -> Option<ProcessId> {
        let incarnation = self.incarnations.get(node)?;
        Some(ProcessId::new(node.clone(), *incarnation))
    }
}

#[cfg(test)]
mod tests;
