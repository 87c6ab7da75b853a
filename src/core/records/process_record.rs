//! The record of a controller's process in the key-value store.

use crate::core::model::process::ProcessId;
use crate::ids::{ControllerName, FencingToken, MachineId};
use serde::{Deserialize, Serialize};

/// A process of a controller. It is stored under the controller's key and, while the process leads, under the
/// leader's key. Both keys are bound to the lease of the process in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessRecord {
    /// The controller that the process runs.
    pub node: ControllerName,
    /// Number that distinguishes this process from earlier and later processes of the controller.
    pub incarnation: u64,
    /// The lease in the store to which the record is bound. The store removes the record when the lease ends.
    pub lease: u64,
    /// Whether it keeps to the grants of limited teams: once a team has a grant record, the process starts no
    /// task beyond its grant.
    #[serde(rename = "quota", default, skip_serializing_if = "std::ops::Not::not")]
    pub keeps_grants: bool,
    /// Whether it understands that an owner uses tokens above the one in the shard map
    /// ([`crate::core::records::shard_map::ShardOwner::raises`]).
    #[serde(rename = "raises", default, skip_serializing_if = "std::ops::Not::not")]
    pub raises_tokens: bool,
    /// Processes to whose failover this process consents: as far as it can tell, their shards may be
    /// reassigned. It stores its consents here when it receives no messages from the leader
    /// ([`crate::core::membership::ownership`]).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub consents: Vec<ProcessId>,
    /// Requests to the leader to assign machines to this process ([`crate::core::machines::claims`]).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<MachineClaim>,
}

/// A request of a process to be assigned a machine that another process owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineClaim {
    /// The machine that the process requests.
    #[serde(rename = "m")]
    pub machine: MachineId,
    /// The fencing token under which the machine is owned. The claim is ignored once this token has changed.
    #[serde(rename = "t")]
    pub token: FencingToken,
}
