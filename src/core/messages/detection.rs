use crate::core::model::time::Time;
use crate::ids::Node;
use failure_detector::Opinion;
use serde::{Deserialize, Serialize};

/// What a process that takes part in the detection of failures tells with every hello.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Detection {
    /// What it thinks of its siblings.
    #[serde(rename = "o")]
    pub opinions: Vec<Opinion<Node>>,
    /// How long ago the state service served it.
    #[serde(rename = "s")]
    pub state_age: Time,
    /// Its predecessor, which has ended by itself though its key may still be there.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub resignation: Option<Resignation>,
}

/// A process that acts no more, and the lease on which its keys hang.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resignation {
    /// The process.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Its lease in the state service.
    #[serde(rename = "l")]
    pub lease: u64,
}
