//! The stored record of a controller's process.

use crate::core::model::process::ProcessId;
use crate::ids::{ControllerName, FencingToken, MachineId};
use serde::{Deserialize, Serialize};

/// A controller's process, stored under its own key and, while it leads, under the leader's key. Both keys are
/// bound to its lease in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessRecord {
    /// The controller.
    pub node: ControllerName,
    /// Which of its processes.
    pub incarnation: u64,
    /// The lease of the store that the record is bound to.
    pub lease: u64,
    /// It keeps to the grants of limited teams: once a team has a grant record, it starts no task beyond its
    /// grant.
    #[serde(rename = "quota", default, skip_serializing_if = "std::ops::Not::not")]
    pub keeps_grants: bool,
    /// Processes whose shards may be reassigned as far as this process can tell; stored here because it does not
    /// hear from the leader
    /// ([`crate::core::membership::ownership`]).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub consents: Vec<ProcessId>,
    /// Machines that it asks the leader to assign to it ([`crate::core::machines::claims`]).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<MachineClaim>,
}

/// A request to be assigned a machine that is owned under this fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineClaim {
    /// The machine.
    #[serde(rename = "m")]
    pub machine: MachineId,
    /// The fencing token of its owner.
    #[serde(rename = "t")]
    pub token: FencingToken,
}
