use crate::core::model::process::ProcessId;
use crate::ids::{FencingToken, MachineId, Node};
use serde::{Deserialize, Serialize};

/// A controller's process, as its own key and the leader's key name it. Both hang on its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessRecord {
    pub node: Node,
    pub incarnation: u64,
    pub lease: u64,
    /// It starts nothing of a limited team beyond its grant, once its team has a record of grants.
    #[serde(rename = "quota", default, skip_serializing_if = "std::ops::Not::not")]
    pub keeps_grants: bool,
    /// Processes whose share it lets be handed on, told here as it does not hear the leader
    /// ([`crate::core::membership::ownership`]).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub consents: Vec<ProcessId>,
    /// Machines that the leader is to give to it ([`crate::core::machines::claims`]).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<MachineClaim>,
}

/// A machine that is claimed from whoever owns it under this term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineClaim {
    #[serde(rename = "m")]
    pub machine: MachineId,
    #[serde(rename = "t")]
    pub token: FencingToken,
}
