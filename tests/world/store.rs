//! A stand-in for the key-value store: versions, preconditions, leases and a change log.

use ochredrum::core::effects::{StoreCall, StoreReply};
use ochredrum::wire::{Change, Changes, Entry, Listing, Transaction, Write};
use serde_json::Value;
use std::collections::BTreeMap;

/// A stored value.
struct Key {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

/// A lease that holds keys.
struct Lease {
    ttl: f64,
    ends: f64,
}

/// Entries in one page of a listing: few, so that controllers have to read several pages.
const DEFAULT_PAGE_SIZE: usize = 20;

/// The key-value store.
pub struct Store {
    /// Entries in one page of a listing at most.
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
    /// Answers a request. If an outage has ended at `outage_ended`, all leases have their full duration again from then
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

    /// One page of the keys with a prefix, after `from`.
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
        // The log is ordered by version; a long one is not read from its beginning.
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

    /// How often a key was written.
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

    fn expire(&mut self, now: f64) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.ends < now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.leases.remove(&id);
            let hangs = |k: &Key| k.lease == Some(id);
            let gone: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, k)| hangs(k))
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

    fn write(&mut self, write: Write) {
        let version = self.revision;
        let change = match write {
            Write::Put { key, value, lease } => {
                assert!(
                    value.to_string().len() <= 4096,
                    "value of {key} over the limit"
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
