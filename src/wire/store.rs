//! Messages of the key-value store: entries, compare-and-swap transactions, changes and leases.
//!
//! Protocol words: `guards` (preconditions), `stamp` (version of a key), `ledger` (revision of the
//! store), `data` (value), `write` (put), `drop` (delete), `log` (changes), `tenure` (lease), `lifeMs`
//! (time to live of a lease).

use crate::ids::Version;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A condition of a transaction: a key has this version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The version that it must have; 0 means that it must not exist.
    #[serde(rename = "stamp")]
    pub version: Version,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Creates or replaces a key.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        #[serde(rename = "data")]
        value: Value,
        /// The lease with which the store deletes the key, if any.
        #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Write {
    /// Size of the value in bytes, as the store's limit on values counts it.
    pub fn value_bytes(&self) -> usize {
        match self {
            Self::Put { value, .. } => value.to_string().len(),
            Self::Delete { .. } => 0,
        }
    }
}

/// A compare-and-swap transaction: all writes are applied if all preconditions hold, else none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// What is written.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Whether it writes a key that is attached to a lease.
    pub fn has_lease(&self) -> bool {
        self.writes
            .iter()
            .any(|write| matches!(write, Write::Put { lease: Some(_), .. }))
    }
}

/// The result of a committed transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommitResponse {
    /// The store's revision with it, which is the new version of all written keys.
    #[serde(rename = "ledger")]
    pub revision: Version,
}

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// Its value.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision of its last write.
    #[serde(rename = "stamp")]
    pub version: Version,
}

/// One page of the entries under a prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The entries of this page.
    pub entries: Vec<Entry>,
    /// Whether there is another page.
    #[serde(default)]
    pub more: bool,
    /// The store's revision at the time of the read.
    #[serde(rename = "ledger")]
    pub revision: Version,
}

/// The changes under a prefix since a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The revision up to which the changes are complete.
    #[serde(rename = "ledger")]
    pub revision: Version,
    /// The changes.
    #[serde(rename = "log", default)]
    pub events: Vec<Change>,
}

/// A change of one key: exactly one of `put` and `deleted` names it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The key, if it was written.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put_key: Option<String>,
    /// The key, if it was deleted.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub deleted_key: Option<String>,
    /// The written value; null for a deletion.
    #[serde(rename = "data", default)]
    pub value: Value,
    /// The revision of the change.
    #[serde(rename = "stamp")]
    pub version: Version,
}

/// A request for a new lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Milliseconds after which it expires unless it is renewed.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// The answer to a request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The new lease.
    #[serde(rename = "tenure")]
    pub lease: u64,
}
