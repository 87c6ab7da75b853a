//! Identity of a controller's process.

use crate::ids::ControllerName;
use serde::{Deserialize, Serialize};

/// One process of a controller: the controller's name and an incarnation that changes with every start.
/// Serialized as a pair.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(ControllerName, u64)", into = "(ControllerName, u64)")]
pub struct ProcessId {
    /// The controller.
    pub node: ControllerName,
    /// Which of its processes.
    pub incarnation: u64,
}

impl ProcessId {
    /// The process of `node` with this incarnation.
    pub fn new(node: ControllerName, incarnation: u64) -> Self {
        Self { node, incarnation }
    }
}

impl From<(ControllerName, u64)> for ProcessId {
    fn from((node, incarnation): (ControllerName, u64)) -> Self {
        Self { node, incarnation }
    }
}

impl From<ProcessId> for (ControllerName, u64) {
    fn from(process: ProcessId) -> Self {
        (process.node, process.incarnation)
    }
}
