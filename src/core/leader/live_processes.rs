//! The controller processes that are registered in the store.

use crate::core::model::process::ProcessId;
use crate::core::store::replica::StoreReplica;
use crate::ids::ControllerName;
use std::collections::BTreeMap;

/// Controllers whose keys are in the store, each with the incarnation of its process, in order of their names.
///
/// A key ends with its process's lease, so an owner that is not among them has failed or was restarted.
pub(super) struct LiveProcesses {
    incarnations: BTreeMap<ControllerName, u64>,
}

impl LiveProcesses {
    /// The processes registered as of this replica.
    pub(super) fn registered_in(store: &StoreReplica) -> Self {
        let registered = store.nodes().iter();
        Self {
            incarnations: registered
                .map(|(node, stored)| (node.clone(), stored.record.incarnation))
                .collect(),
        }
    }

    /// How many there are.
    pub(super) fn count(&self) -> usize {
        self.incarnations.len()
    }

    /// Whether there are none.
    pub(super) fn is_empty(&self) -> bool {
        self.incarnations.is_empty()
    }

    /// The controllers that have a live process.
    pub(super) fn nodes(&self) -> impl Iterator<Item = &ControllerName> {
        self.incarnations.keys()
    }

    /// Whether the controller has a live process.
    pub(super) fn has_node(&self, node: &ControllerName) -> bool {
        self.incarnations.contains_key(node)
    }

    /// Whether this very process is live.
    pub(super) fn contains(&self, process: &ProcessId) -> bool {
        self.incarnations.get(&process.node) == Some(&process.incarnation)
    }

    /// The live process of a controller.
    pub(super) fn process_of(&self, node: &ControllerName) -> Option<ProcessId> {
        let incarnation = self.incarnations.get(node)?;
        Some(ProcessId::new(node.clone(), *incarnation))
    }
}
