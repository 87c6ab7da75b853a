//! Versions of records, and the parts of compare-and-swap transactions.

use crate::ids::Version;
use crate::wire::{Precondition, Write};
use quota_ledger::TeamLedger;
use serde::Serialize;

/// A team's stored grant record.
#[derive(Clone, Debug)]
pub struct StoredLedger {
    /// The version of the stored value.
    pub version: Version,
    /// The grants; `None` if the stored value is not a valid record.
    pub ledger: Option<TeamLedger>,
}

/// A record and the version of the store's value that holds it.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// The version of the stored value.
    pub version: Version,
    /// The record.
    pub record: T,
}

/// The precondition that `key` still has this version; 0 if it must not exist.
pub fn precondition(key: &str, version: Version) -> Precondition {
    Precondition {
        key: key.to_owned(),
        version,
    }
}

/// The write of a record under `key`. With `lease`, the store removes the key when that lease ends.
pub fn put<T: Serialize>(key: &str, record: &T, lease: Option<u64>) -> Write {
    let value = serde_json::to_value(record).unwrap_or_default();
    Write::Put {
        key: key.to_owned(),
        value,
        lease,
    }
}
