//! The leader's working copy of the shard map: which process owns which teams and machines, under which
//! fencing token.
//!
//! Only the leader writes the map, with the versions of its leader key and of the stored values as
//! preconditions, and only on change. A machine is used only once it is in the stored map, so the map names
//! every machine that may hold tasks. A fencing token is the leader key's revision with a counter of the
//! leader's changes below it: it is never used twice, and rises with every change and every leader.

mod machine_chunks;

use crate::core::leader::shard_map_editor::machine_chunks::MachineChunks;
use crate::core::records::keys::{MAP_PREFIX, teams_key};
use crate::core::records::shard_map::{ShardEntry, ShardMap, ShardMapChunk, ShardOwner};
use crate::core::records::versioned::Versioned;
use crate::ids::{FencingToken, MachineId, Team, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Low bits of a fencing token, which count the changes under one version of the leader key.
const CHANGE_BITS: u32 = 16;

/// Fraction of these changes after which the leader key is claimed anew, long before they run out.
const EXHAUSTED_FRACTION: f64 = 0.5;

/// Bytes that a machine takes in a stored value at most: it may have an owner's record to itself.
const MACHINE_BYTES: f64 = 150.0;

/// The shard map as the leader wants it to be, and which of its stored values have to be written for that.
pub struct ShardMapEditor {
    owners: ShardMap,
    /// Version of the leader key, the high bits of the fencing tokens.
    leader_version: Version,
    /// Changes numbered so far, the low bits of the last fencing token.
    changes: u64,
    chunks: MachineChunks,
    /// Whether the value that lists the teams has to be written.
    teams_dirty: bool,
    /// Chunks of machines that have to be written.
    dirty_chunks: BTreeSet<usize>,
}

/// The key that stores a chunk of machines.
fn chunk_key(chunk: usize) -> String {
    format!("{MAP_PREFIX}m{chunk:04}")
}

/// The number of the chunk that this key stores; None for any other key.
fn chunk_number(key: &str) -> Option<usize> {
    key.strip_prefix(MAP_PREFIX)?
        .strip_prefix('m')?
        .parse()
        .ok()
}

impl ShardMapEditor {
    /// Continues the stored map under this version of the leader key, in values of up to `value_kb` KiB.
    pub fn new(
        leader_version: Version,
        stored: &BTreeMap<String, Versioned<ShardMapChunk>>,
        value_kb: f64,
    ) -> Self {
        let mut chunks = MachineChunks::new(chunk_capacity(value_kb));
        let mut dirty_chunks = BTreeSet::new();
        for (key, stored_chunk) in stored {
            let Some(number) = chunk_number(key) else {
                continue;
            };
            chunks.ensure(number);
            let shards = &stored_chunk.record.shards;
            for id in shards.iter().flat_map(|shard| &shard.machines) {
                // Listed twice: split off by an earlier leader that did not write the rest.
                dirty_chunks.extend(chunks.place(id, number));
            }
        }
        Self {
            owners: ShardMap::read(stored.values().map(|chunk| &chunk.record)),
            leader_version,
            changes: 0,
            chunks,
            teams_dirty: false,
            dirty_chunks,
        }
    }

    /// Replaces the working copy by what is stored; the numbering of changes continues.
    pub fn reload(&mut self, stored: &BTreeMap<String, Versioned<ShardMapChunk>>, value_kb: f64) {
        *self = Self {
            changes: self.changes,
            ..Self::new(self.leader_version, stored, value_kb)
        };
    }

    /// The owners of all teams and machines, with the changes made so far.
    pub fn owners(&self) -> &ShardMap {
        &self.owners
    }

    /// A fencing token that was never used; None if this version of the leader key has no more.
    pub fn next_token(&mut self) -> Option<FencingToken> {
        self.changes += 1;
        (self.changes < 1 << CHANGE_BITS).then_some(FencingToken(
            (self.leader_version << CHANGE_BITS) | self.changes,
        ))
    }

    /// Whether so many changes are numbered that the leader key should be claimed anew.
    pub fn tokens_running_low(&self) -> bool {
        self.changes as f64 > f64::from(1 << CHANGE_BITS) * EXHAUSTED_FRACTION
    }

    /// Sets the owner of a team.
    pub fn set_team(&mut self, team: &Team, owner: ShardOwner) {
        self.owners.teams.insert(team.clone(), owner);
        self.teams_dirty = true;
    }

    /// Sets the token since which every owner of a team has kept to its grants; None if that is unknown.
    pub fn set_grants_kept_since(&mut self, team: &Team, since: Option<FencingToken>) {
        let kept_since = &mut self.owners.grants_kept_since;
        let before = match since {
            Some(since) => kept_since.insert(team.clone(), since),
            None => kept_since.remove(team),
        };
        self.teams_dirty |= before != since;
    }

    /// Notes for a team that gets a new owner whether its owners have kept to its grants without a gap.
    pub fn update_grants_kept_since(
        &mut self,
        team: &Team,
        owner: &ShardOwner,
        keeps_grants: bool,
    ) {
        let before = self.owners.grants_kept_since.get(team).copied();
        let since = keeps_grants.then(|| before.unwrap_or(owner.token));
        self.set_grants_kept_since(team, since);
    }

    /// Sets the owner of a machine.
    pub fn set_machine(&mut self, id: &MachineId, owner: ShardOwner) {
        let chunk = self.chunks.chunk_for(id);
        self.owners.machines.insert(id.clone(), owner);
        self.dirty_chunks.insert(chunk);
    }

    /// Removes a machine from the map.
    pub fn remove_machine(&mut self, id: &MachineId) {
        if let Some(chunk) = self.chunks.remove(id) {
            self.owners.machines.remove(id);
            self.dirty_chunks.insert(chunk);
        }
    }

    /// The keys and values that differ from what is stored: up to `limit` of them, and about `bytes` in all.
    pub fn take_dirty(&mut self, limit: usize, bytes: usize) -> Vec<(String, ShardMapChunk)> {
        let mut values = Vec::new();
        let mut size = 0;
        if std::mem::take(&mut self.teams_dirty) {
            values.push((teams_key(), self.teams_value()));
        }
        while values.len() < limit
            && size < bytes
            && let Some(chunk) = self.dirty_chunks.pop_first()
        {
            // Written when values could be larger: what is too much goes into chunks of its own, which are
            // written first so that every machine is on the map at all times.
            if let Some(split) = self.chunks.split_off(chunk) {
                self.dirty_chunks.insert(chunk);
                values.push((chunk_key(split), self.machines_value(split)));
                continue;
            }
            let value = self.machines_value(chunk);
            size += serde_json::to_string(&value).map_or(0, |text| text.len());
            values.push((chunk_key(chunk), value));
        }
        values
    }

    /// The value that lists the teams.
    fn teams_value(&self) -> ShardMapChunk {
        let mut shards = BTreeMap::new();
        for (team, owner) in &self.owners.teams {
            entry_of(&mut shards, owner).teams.push(team.clone());
        }
        ShardMapChunk {
            shards: shards.into_values().collect(),
            grants_kept_since: self.owners.grants_kept_since.clone(),
        }
    }

    /// The value of one chunk of machines.
    fn machines_value(&self, chunk: usize) -> ShardMapChunk {
        let mut shards = BTreeMap::new();
        for id in self.chunks.machines_in(chunk) {
            if let Some(owner) = self.owners.machines.get(id) {
                entry_of(&mut shards, owner).machines.push(id.clone());
            }
        }
        ShardMapChunk {
            shards: shards.into_values().collect(),
            ..ShardMapChunk::default()
        }
    }
}

/// Machines that a value of this many KiB holds; at least one.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the cast rounds down and saturates, which is what is wanted here"
)]
fn chunk_capacity(value_kb: f64) -> usize {
    ((value_kb * 1024.0 / MACHINE_BYTES) as usize).max(1)
}

/// The entry of an owner among the shards of one value; empty at first.
fn entry_of<'shards, 'owner>(
    shards: &'shards mut BTreeMap<&'owner ShardOwner, ShardEntry>,
    owner: &'owner ShardOwner,
) -> &'shards mut ShardEntry {
    shards.entry(owner).or_insert_with(|| ShardEntry {
        owner: owner.clone(),
        teams: Vec::new(),
        machines: Vec::new(),
    })
}

#[cfg(test)]
mod tests;
