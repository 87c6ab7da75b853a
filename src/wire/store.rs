//! Messages of the key-value store: entries, compare-and-swap transactions, changes and leases.
//!
//! Protocol names: `guards` (preconditions), `stamp` (version of a key), `ledger` (revision of the
//! store), `data` (value), `write` (put), `drop` (delete), `log` (changes), `tenure` (lease), `lifeMs`
//! (time to live of a lease).

use crate::ids::Version;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A condition of a transaction: a key must have a given version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// The key whose version is compared.
    pub key: String,
    /// The version that the key must have; 0 means that the key must not exist.
    #[serde(rename = "stamp")]
    pub version: Version,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Creates or replaces a key.
    Put {
        /// The key to create or replace.
        #[serde(rename = "write")]
        key: String,
        /// The new value of the key.
        #[serde(rename = "data")]
        value: Value,
        /// The lease at whose end the store deletes the key, if any.
        #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key to delete.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Write {
    /// Size of the value in bytes, as the store's limit on values counts it; 0 for a deletion.
    pub fn value_bytes(&self) -> usize {
        match self {
            Self::Put { value, .. } => value.to_string().len(),
            Self::Delete { .. } => 0,
        }
    }
}

/// A compare-and-swap transaction: the store applies all writes if all preconditions hold, else none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Writes that are applied together.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Whether the transaction attaches a key to a lease.
    pub fn has_lease(&self) -> bool {
        self.writes
            .iter()
            .any(|write| matches!(write, Write::Put { lease: Some(_), .. }))
    }
}

/// The result of a committed transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommitResponse {
    /// The store's revision after the transaction, which is the new version of all written keys.
    #[serde(rename = "ledger")]
    pub revision: Version,
}

/// A key with its value and version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The whole key, prefix included.
    pub key: String,
    /// The stored value.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision of the key's last write.
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
    /// The changes, in the order of the store's answer.
    #[serde(rename = "log", default)]
    pub events: Vec<Change>,
}

/// A change of one key: exactly one of `put_key` and `deleted_key` names the key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The key if it was created or replaced, else `None`.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put_key: Option<String>,
    /// The key if it was deleted, else `None`.
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
    /// Milliseconds after which the lease expires unless it is renewed.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// The answer to a request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The id of the new lease.
    #[serde(rename = "tenure")]
    pub lease: u64,
}
