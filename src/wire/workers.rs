//! Workers' reports, and what they are told.

use crate::ids::{Attempt, MachineId, Node, Term, TypeName, Zone};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
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
    pub session: u64,
    #[serde(rename = "tally")]
    pub seq: u64,
    #[serde(rename = "baton")]
    pub token: Term,
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
    pub saved: Option<bool>,
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
    Saving,
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
pub enum Order {
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
pub struct ReportAnswer {
    #[serde(rename = "baton")]
    pub token: Term,
    #[serde(rename = "calls")]
    pub orders: Vec<Order>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectOrders {
    #[serde(rename = "baton")]
    pub token: Term,
    #[serde(rename = "stint")]
    pub session: u64,
    #[serde(rename = "calls")]
    pub orders: Vec<Order>,
}

/// Tells a worker which controller to report to.
pub fn report_to(node: Option<&Node>) -> Value {
    match node {
        Some(node) => json!({"conductor": node}),
        None => json!({}),
    }
}
