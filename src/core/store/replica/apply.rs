//! Applies the puts and removals of the store to the replica.

use crate::core::records::job_record::JobRecord;
use crate::core::records::keys::{LEADER_KEY, StoreKey, node_key, quota_key};
use crate::core::records::shard_map::ShardMap;
use crate::core::records::versioned::{StoredLedger, Versioned};
use crate::core::store::replica::StoreReplica;
use crate::ids::{JobId, Team, Version};
use crate::wire::{Change, Write};
use quota_ledger::TeamLedger;
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

impl StoreReplica {
    /// Applies a write of this process that was committed with this version, before the next read returns it.
    pub fn apply_write(&mut self, write: &Write, version: Version) {
        self.apply_writes(std::slice::from_ref(write), version);
    }

    /// Applies the writes of a transaction of this process that was committed with this version.
    pub fn apply_writes(&mut self, writes: &[Write], version: Version) {
        for write in writes {
            match write {
                Write::Put { key, value, .. } => self.put(key, value, version),
                Write::Delete { key } => self.remove(key, version),
            }
        }
        self.update_shard_map();
    }

    /// Applies one change that a read returned.
    pub(super) fn apply_change(&mut self, change: &Change) {
        if let Some(key) = &change.put_key {
            self.put(key, &change.value, change.version);
        } else if let Some(key) = &change.deleted_key {
            self.remove(key, change.version);
        }
    }

    /// Applies a value of a key unless a newer value or a later removal is known. Ignores a value that cannot
    /// be decoded; the key keeps its known value.
    pub(super) fn put(&mut self, key: &str, value: &Value, version: Version) {
        let store_key = StoreKey::parse(key);
        if let StoreKey::Job(id) = store_key {
            return self.put_job_value(key, id, value, version);
        }
        if self
            .removed
            .get(key)
            .is_some_and(|removed| *removed >= version)
        {
            return;
        }
        match store_key {
            StoreKey::Leader => replace_if_newer(&mut self.leader, value, version),
            StoreKey::MachineTypes => replace_if_newer(&mut self.machine_types, value, version),
            StoreKey::Node(node) => {
                insert_if_newer(&mut self.nodes, node, value, version);
            }
            StoreKey::ShardMapChunk => {
                self.shard_map_is_stale |=
                    insert_if_newer(&mut self.map_chunks, key.to_owned(), value, version);
            }
            StoreKey::Ledger(team) => self.put_ledger(team, value, version),
            StoreKey::Job(_) | StoreKey::Unknown => {}
        }
    }

    fn put_job_value(&mut self, key: &str, id: JobId, value: &Value, version: Version) {
        if self.knows_job(&id, version) {
            return;
        }
        let Ok(record) = JobRecord::deserialize(value) else {
            tracing::error!(key, "cannot decode stored job record, ignoring it");
            return;
        };
        self.put_job(id, record, version);
    }

    /// Applies the record of a job unless this version or a newer one is known.
    pub(super) fn put_job(&mut self, id: JobId, record: JobRecord, version: Version) {
        if self.knows_job(&id, version) {
            return;
        }
        if record.is_final() {
            self.final_states.insert((version, id.clone()));
            self.cancelled_jobs.insert(&id, &record, version);
        }
        let jobs = &self.jobs;
        let job = |id: &JobId| jobs.get(id).map(|job| &*job.record);
        self.dependencies
            .apply_record(&id, job(&id), &record, job, &mut self.changed_jobs);
        self.changed_jobs.insert(id.clone());
        let record = Rc::new(record);
        self.jobs.insert(id, Versioned { version, record });
    }

    /// Whether this version of a job's record or a newer version is known.
    fn knows_job(&self, id: &JobId, version: Version) -> bool {
        self.jobs
            .get(id)
            .is_some_and(|known| known.version >= version)
    }

    fn put_ledger(&mut self, team: Team, value: &Value, version: Version) {
        if self
            .ledgers
            .get(&team)
            .is_some_and(|known| known.version >= version)
        {
            return;
        }
        // Logged once for each stored value. The team is then handled like a team without a grant record.
        let ledger = TeamLedger::decode(value)
            .inspect_err(|error| {
                tracing::error!(
                    %team,
                    %error,
                    "cannot decode stored grant record, applying the rules for teams without one"
                );
            })
            .ok();
        self.ledgers.insert(team, StoredLedger { version, ledger });
    }

    /// Removes a key unless a newer value is known. Ignores job records and machine types, which controllers
    /// never remove, and unknown keys.
    fn remove(&mut self, key: &str, version: Version) {
        match StoreKey::parse(key) {
            StoreKey::Leader => {
                self.leader.take_if(|known| known.version <= version);
            }
            StoreKey::Node(node) => {
                remove_if_not_newer(&mut self.nodes, &node, version);
            }
            StoreKey::ShardMapChunk => {
                self.shard_map_is_stale |= remove_if_not_newer(&mut self.map_chunks, key, version);
            }
            StoreKey::Ledger(team) => {
                let known = self.ledgers.get(&team);
                if known.is_some_and(|known| known.version <= version) {
                    self.ledgers.remove(&team);
                }
            }
            StoreKey::MachineTypes | StoreKey::Job(_) | StoreKey::Unknown => return,
        }
        self.removed.insert(key.to_owned(), version);
    }

    /// Removes the keys that a full read at `revision` did not list, unless a newer value is known.
    pub(super) fn remove_unlisted(&mut self, listed: &BTreeSet<String>, revision: Version) {
        let mut unlisted: Vec<String> = self.map_chunks.keys().cloned().collect();
        unlisted.push(LEADER_KEY.to_owned());
        unlisted.extend(self.nodes.keys().map(node_key));
        unlisted.extend(self.ledgers.keys().filter_map(quota_key));
        unlisted.retain(|key| !listed.contains(key));
        for key in unlisted {
            self.remove(&key, revision);
        }
    }

    /// Assembles the shard map from its chunks if some of them changed. This examines the whole map, so a read
    /// or a transaction does it once, after all of its changes.
    pub(super) fn update_shard_map(&mut self) {
        if !std::mem::take(&mut self.shard_map_is_stale) {
            return;
        }
        self.shard_map_changes += 1;
        let chunks = self.map_chunks.values().map(|chunk| &chunk.record);
        self.shard_map = ShardMap::from_chunks(chunks);
    }
}

/// Decodes a value if it is newer than the known one. `None` if it is not newer or cannot be decoded.
fn decode_if_newer<T: for<'de> Deserialize<'de>>(
    known: Option<&Versioned<T>>,
    value: &Value,
    version: Version,
) -> Option<Versioned<T>> {
    if known.is_some_and(|known| known.version >= version) {
        return None;
    }
    let record = T::deserialize(value).ok()?;
    Some(Versioned { version, record })
}

fn replace_if_newer<T: for<'de> Deserialize<'de>>(
    known: &mut Option<Versioned<T>>,
    value: &Value,
    version: Version,
) {
    if let Some(newer) = decode_if_newer(known.as_ref(), value, version) {
        *known = Some(newer);
    }
}

/// Inserts a value unless a newer one is known or it cannot be decoded. Returns whether it was inserted.
fn insert_if_newer<K: Ord, T: for<'de> Deserialize<'de>>(
    records: &mut BTreeMap<K, Versioned<T>>,
    key: K,
    value: &Value,
    version: Version,
) -> bool {
    let Some(newer) = decode_if_newer(records.get(&key), value, version) else {
        return false;
    };
    records.insert(key, newer);
    true
}

/// Removes a record unless it is newer than the removal. Returns whether a record was removed.
fn remove_if_not_newer<K, Q, T>(
    records: &mut BTreeMap<K, Versioned<T>>,
    key: &Q,
    version: Version,
) -> bool
where
    K: Ord + std::borrow::Borrow<Q>,
    Q: Ord + ?Sized,
{
    let known = records.get(key);
    let removable = known.is_some_and(|known| known.version <= version);
    if removable {
        records.remove(key);
    }
    removable
}

#[cfg(test)]
mod tests;
