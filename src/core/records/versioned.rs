use crate::ids::Version;
use crate::wire::{Precondition, Write};
use quota_ledger::TeamLedger;
use serde::Serialize;

/// A team's record of grants as it is stored.
#[derive(Clone, Debug)]
pub struct StoredLedger {
    pub version: Version,
    /// None if what is stored is no valid record.
    pub ledger: Option<TeamLedger>,
}

#[derive(Clone, Debug)]
pub struct Versioned<T> {
    pub version: Version,
    pub record: T,
}

pub fn precondition(key: &str, version: Version) -> Precondition {
    Precondition {
        key: key.to_owned(),
        version,
    }
}

pub fn put<T: Serialize>(key: &str, record: &T, lease: Option<u64>) -> Write {
    let value = serde_json::to_value(record).unwrap_or_default();
    Write::Put {
        key: key.to_owned(),
        value,
        lease,
    }
}
