//! Records with their versions, and the preconditions and writes of compare-and-swap transactions.

use crate::ids::Version;
use crate::wire::{Precondition, Write};
use quota_ledger::TeamLedger;
use serde::Serialize;

/// The stored grant record of a team.
#[derive(Clone, Debug)]
pub struct StoredLedger {
    /// The version of the stored value.
    pub version: Version,
    /// The grants; `None` if the stored value is not a valid record.
    pub ledger: Option<TeamLedger>,
}

/// A record and the version of the stored value from which it was read.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// The version of the stored value.
    pub version: Version,
    /// The record that was read.
    pub record: T,
}

/// Returns the precondition that `key` still has this version. Version 0 means that the key does not exist.
pub fn precondition(key: &str, version: Version) -> Precondition {
    Precondition {
        key: key.to_owned(),
        version,
    }
}

/// Returns the write that stores a record under `key`. With `lease`, the store removes the key when that
/// lease ends.
pub fn put<T: Serialize>(key: &str, record: &T, lease: Option<u64>) -> Write {
    let value = serde_json::to_value(record).unwrap_or_default();
    Write::Put {
        key: key.to_owned(),
        value,
        lease,
    }
}
