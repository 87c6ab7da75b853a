//! A simulated key-value store with versions, preconditions, leases and a change log.

use ochredrum::core::effects::{StoreCall, StoreReply};
use ochredrum::wire::{Change, Changes, Entry, Listing, Transaction, Write};
use serde_json::Value;
use std::collections::BTreeMap;

/// The value of a key with its version and the lease that it is attached to, if any.
struct Key {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

/// A lease. The keys attached to it are deleted when it expires.
struct Lease {
    /// Duration in seconds that a renewal restores.
    ttl: f64,
    /// When it expires unless it is renewed.
    ends: f64,
}

/// Maximum number of entries in one page of a listing. It is small, so that controllers have to read several
/// pages.
const DEFAULT_PAGE_SIZE: usize = 20;

/// Maximum length of a value as JSON, in bytes. Controllers must not write longer values.
const MAX_VALUE_BYTES: usize = 4096;

/// The key-value store.
pub struct Store {
    /// Maximum number of entries in one page of a listing.
    pub page_size: usize,
    keys: BTreeMap<String, Key>,
    leases: BTreeMap<u64, Lease>,
    revision: u64,
    log: Vec<Change>,
    next_lease: u64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            page_size: DEFAULT_PAGE_SIZE,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            revision: 0,
            log: Vec::new(),
            next_lease: 0,
        }
    }
}

impl Store {
    /// Handles a request. If `outage_ended` is given, every lease first gets its full duration from that time
    /// on.
    pub fn call(&mut self, now: f64, call: StoreCall, outage_ended: Option<f64>) -> StoreReply {
        if let Some(end) = outage_ended {
            for lease in self.leases.values_mut() {
                lease.ends = end + lease.ttl;
            }
        }
        self.expire(now);
        match call {
            StoreCall::List { prefix, from } => StoreReply::Listing(self.list(prefix, from)),
            StoreCall::Changes { prefix, from } => StoreReply::Changes(self.changes(prefix, from)),
            StoreCall::Commit(transaction) => self.commit(transaction),
            StoreCall::LeaseCreate { ttl_ms } => {
                self.next_lease += 1;
                let ttl = ttl_ms as f64 / 1e3;
                self.leases.insert(
                    self.next_lease,
                    Lease {
                        ttl,
                        ends: now + ttl,
                    },
                );
                StoreReply::LeaseCreated(self.next_lease)
            }
            StoreCall::LeaseRenew { lease } => match self.leases.get_mut(&lease) {
                Some(lease) => {
                    lease.ends = now + lease.ttl;
                    StoreReply::Done
                }
                None => StoreReply::LeaseNotFound,
            },
            StoreCall::LeaseEnd { lease } => {
                if let Some(lease) = self.leases.get_mut(&lease) {
                    lease.ends = now;
                    self.expire(now + 1e-9);
                    return StoreReply::Done;
                }
                StoreReply::LeaseNotFound
            }
        }
    }

    /// One page of the entries with a prefix whose keys are greater than `from`.
    fn list(&self, prefix: &str, from: Option<String>) -> Listing {
        let after = |key: &String| from.as_ref().is_none_or(|from| key > from);
        let all = self
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && after(key));
        let entries: Vec<Entry> = all
            .map(|(key, stored)| Entry {
                key: key.clone(),
                value: stored.value.clone(),
                version: stored.version,
            })
            .collect();
        let more = entries.len() > self.page_size;
        let entries = entries.into_iter().take(self.page_size).collect();
        Listing {
            entries,
            more,
            revision: self.revision,
        }
    }

    /// The changes of keys with a prefix after version `from`.
    fn changes(&self, prefix: &str, from: u64) -> Changes {
        let matches = |change: &&Change| {
            let key = change.put_key.as_ref().or(change.deleted_key.as_ref());
            change.version > from && key.is_some_and(|key| key.starts_with(prefix))
        };
        // The log is ordered by version, so a binary search finds the first newer change.
        let newer = self.log.partition_point(|change| change.version <= from);
        let events = self.log[newer..].iter().filter(matches).cloned().collect();
        Changes {
            revision: self.revision,
            events,
        }
    }

    /// Applies a transaction if its preconditions hold and its leases exist.
    fn commit(&mut self, transaction: Transaction) -> StoreReply {
        let version = |key: &String| self.keys.get(key).map_or(0, |stored| stored.version);
        let mut preconditions = transaction.preconditions.iter();
        if preconditions.any(|wanted| version(&wanted.key) != wanted.version) {
            return StoreReply::Conflict;
        }
        let lease_is_gone = |write: &Write| match write {
            Write::Put {
                lease: Some(lease), ..
            } => !self.leases.contains_key(lease),
            _ => false,
        };
        if transaction.writes.iter().any(lease_is_gone) {
            return StoreReply::LeaseNotFound;
        }
        self.revision += 1;
        for write in transaction.writes {
            self.write(write);
        }
        StoreReply::Committed(self.revision)
    }

    /// The values of all keys with a prefix.
    #[allow(
        dead_code,
        reason = "one of the two test binaries that share this file does not use it"
    )]
    pub fn values_under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Value> {
        let keys = self.keys.range(prefix.to_owned()..);
        keys.take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(_, key)| &key.value)
    }

    /// How many times a key was written, deletions not included.
    #[allow(
        dead_code,
        reason = "one of the two test binaries that share this file does not use it"
    )]
    pub fn put_count(&self, key: &str) -> usize {
        self.log
            .iter()
            .filter(|change| change.put_key.as_deref() == Some(key))
            .count()
    }

    /// Removes the leases that have expired, and deletes their keys.
    fn expire(&mut self, now: f64) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends < now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.leases.remove(&id);
            let is_attached = |key: &Key| key.lease == Some(id);
            let gone: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, key)| is_attached(key))
                .map(|(key, _)| key.clone())
                .collect();
            if !gone.is_empty() {
                self.revision += 1;
            }
            for key in gone {
                self.write(Write::Delete { key });
            }
        }
    }

    /// Applies one write at the current revision and adds it to the change log.
    fn write(&mut self, write: Write) {
        let version = self.revision;
        let change = match write {
            Write::Put { key, value, lease } => {
                assert!(
                    value.to_string().len() <= MAX_VALUE_BYTES,
                    "value of {key} exceeds {MAX_VALUE_BYTES} bytes"
                );
                self.keys.insert(
                    key.clone(),
                    Key {
                        value: value.clone(),
                        version,
                        lease,
                    },
                );
                Change {
                    put_key: Some(key),
                    deleted_key: None,
                    value,
                    version,
                }
            }
            Write::Delete { key } => {
                self.keys.remove(&key);
                Change {
                    put_key: None,
                    deleted_key: Some(key),
                    value: Value::Null,
                    version,
                }
            }
        };
        self.log.push(change);
    }
}
