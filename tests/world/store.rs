//! The state service's stand-in.

use ochredrum::core::effects::{StoreCall, StoreReply};
use ochredrum::wire::{Change, Changes, Entry, Listing, Write};
use serde_json::Value;
use std::collections::BTreeMap;

struct Key {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: f64,
    ends: f64,
}

/// Items in one page of a listing: few, so that controllers have to read several.
const DEFAULT_PAGE_SIZE: usize = 20;

pub struct Store {
    /// Items in one page of a listing at most.
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
    /// `outage_ended`: leases have their full time again from then on.
    pub fn call(&mut self, now: f64, call: StoreCall, outage_ended: Option<f64>) -> StoreReply {
        if let Some(end) = outage_ended {
            for lease in self.leases.values_mut() {
                lease.ends = end + lease.ttl;
            }
        }
        self.expire(now);
        match call {
            StoreCall::List { prefix, from } => {
                let after = |key: &String| from.as_ref().is_none_or(|from| key > from);
                let all = self
                    .keys
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && after(k));
                let entries: Vec<Entry> = all
                    .map(|(key, k)| Entry {
                        key: key.clone(),
                        value: k.value.clone(),
                        version: k.version,
                    })
                    .collect();
                let more = entries.len() > self.page_size;
                let entries = entries.into_iter().take(self.page_size).collect();
                StoreReply::Listing(Listing {
                    entries,
                    more,
                    revision: self.revision,
                })
            }
            StoreCall::Changes { prefix, from } => {
                let hit = |c: &&Change| {
                    let key = c.put.as_ref().or(c.deleted.as_ref());
                    c.version > from && key.is_some_and(|key| key.starts_with(prefix))
                };
                // In the order of their versions; a long log is not read from its beginning.
                let newer = self.log.partition_point(|change| change.version <= from);
                let events = self.log[newer..].iter().filter(hit).cloned().collect();
                StoreReply::Changes(Changes {
                    revision: self.revision,
                    events,
                })
            }
            StoreCall::Commit(transaction) => {
                let version = |key: &String| self.keys.get(key).map_or(0, |k| k.version);
                if transaction
                    .preconditions
                    .iter()
                    .any(|g| version(&g.key) != g.version)
                {
                    return StoreReply::Conflict;
                }
                let dead = |write: &Write| matches!(write, Write::Put { lease: Some(lease), .. } if !self.leases.contains_key(lease));
                if transaction.writes.iter().any(dead) {
                    return StoreReply::LeaseGone;
                }
                self.revision += 1;
                for write in transaction.writes {
                    self.write(write);
                }
                StoreReply::Committed(self.revision)
            }
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
                StoreReply::Lease(self.next_lease)
            }
            StoreCall::LeaseRenew { lease } => match self.leases.get_mut(&lease) {
                Some(lease) => {
                    lease.ends = now + lease.ttl;
                    StoreReply::Done
                }
                None => StoreReply::LeaseGone,
            },
            StoreCall::LeaseEnd { lease } => {
                if let Some(lease) = self.leases.get_mut(&lease) {
                    lease.ends = now;
                    self.expire(now + 1e-9);
                    return StoreReply::Done;
                }
                StoreReply::LeaseGone
            }
        }
    }

    /// What is stored under the keys that begin so.
    #[allow(dead_code)] // One of the two test programs that share this file has no use for it.
    pub fn values_under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Value> {
        let keys = self.keys.range(prefix.to_owned()..);
        keys.take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(_, key)| &key.value)
    }

    /// How often a key was written.
    #[allow(dead_code)] // One of the two test programs that share this file has no use for it.
    pub fn puts_of(&self, key: &str) -> usize {
        self.log
            .iter()
            .filter(|change| change.put.as_deref() == Some(key))
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
                    put: Some(key),
                    deleted: None,
                    value,
                    version,
                }
            }
            Write::Delete { key } => {
                self.keys.remove(&key);
                Change {
                    put: None,
                    deleted: Some(key),
                    value: Value::Null,
                    version,
                }
            }
        };
        self.log.push(change);
    }
}
