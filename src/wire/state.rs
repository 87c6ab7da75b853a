//! The state service's keys, transactions, changes and leases.

use crate::ids::Version;
use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: Version,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Write {
    /// Size of the value, as its limit counts it.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Put { value, .. } => value.to_string().len(),
            Self::Delete { .. } => 0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Whether it writes a key that hangs on a lease.
    pub fn has_lease(&self) -> bool {
        self.writes
            .iter()
            .any(|write| matches!(write, Write::Put { lease: Some(_), .. }))
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    #[serde(rename = "ledger")]
    pub revision: Version,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub key: String,
    #[serde(rename = "data")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: Version,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    pub entries: Vec<Entry>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "ledger")]
    pub revision: Version,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    #[serde(rename = "ledger")]
    pub revision: Version,
    #[serde(rename = "log", default)]
    pub events: Vec<Change>,
}

/// A change of a key: a put has data, a removal does not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub deleted: Option<String>,
    #[serde(rename = "data", default)]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: Version,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseLife {
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseId {
    #[serde(rename = "tenure")]
    pub lease: u64,
}
