//! The identity of a controller's process.

use crate::ids::ControllerName;
use serde::{Deserialize, Serialize};

/// A process of a controller: the controller's name and an incarnation that differs at every start.
/// Serialized as a pair.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(ControllerName, u64)", into = "(ControllerName, u64)")]
pub struct ProcessId {
    /// The name of the controller.
    pub node: ControllerName,
    /// The incarnation, which distinguishes the processes of the same controller.
    pub incarnation: u64,
}

impl ProcessId {
    /// Creates the identity of the process of `node` with this incarnation.
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
