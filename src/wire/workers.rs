//! Workers' reports, and what they are told.

use crate::ids::{Attempt, FencingToken, MachineId, Node, TypeName, Zone};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "drumhead")]
    pub machine: MachineId,
    pub address: String,
    #[serde(rename = "breed")]
    pub type_name: TypeName,
    #[serde(rename = "yard")]
    pub zone: Zone,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    #[serde(rename = "stint")]
    pub agent_epoch: u64,
    #[serde(rename = "tally")]
    pub sequence: u64,
    #[serde(rename = "baton")]
    pub token: FencingToken,
    #[serde(rename = "recallS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "beats", default)]
    pub tasks: Vec<ReportedTask>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    #[serde(rename = "beat")]
    pub task: String,
    #[serde(rename = "take")]
    pub attempt: Attempt,
    #[serde(rename = "stance")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Exit>,
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "flushing")]
    Checkpointing,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Exit {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "mates_gone")]
    PeersGone,
    #[serde(rename = "incomplete")]
    Alone,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    NoRoom,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "no_such")]
    UnknownJob,
    /// A word that this version does not know: treated as a failure.
    #[serde(other)]
    Other,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call")]
pub enum Command {
    #[serde(rename = "start")]
    Start {
        #[serde(rename = "beat")]
        task: String,
        #[serde(rename = "take")]
        attempt: Attempt,
    },
    #[serde(rename = "stop")]
    Stop {
        #[serde(rename = "beat")]
        task: String,
        #[serde(rename = "take")]
        attempt: Attempt,
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    #[serde(rename = "forget")]
    Forget {
        #[serde(rename = "beat")]
        task: String,
        #[serde(rename = "take")]
        attempt: Attempt,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "baton")]
    pub token: FencingToken,
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    #[serde(rename = "baton")]
    pub token: FencingToken,
    #[serde(rename = "stint")]
    pub agent_epoch: u64,
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}

/// Tells a worker which controller to report to.
pub fn redirect_to(node: Option<&Node>) -> Value {
    match node {
        Some(node) => json!({"conductor": node}),
        None => json!({}),
    }
}
