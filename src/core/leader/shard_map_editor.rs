//! The leader's working copy of the shard map, which records the owner and the fencing token of each team and
//! machine.
//!
//! Only the leader writes the map, and only values that changed. The versions of the leader key and of the
//! replaced values are preconditions. A machine is used only after it is in the stored map, so the map lists
//! every machine that may run tasks. A fencing token combines the leader key's version (high bits) with a
//! counter of the tokens issued under that version (low bits). No token is issued twice, and each is higher
//! than all earlier ones, including those of earlier leaders.

mod machine_chunks;

use crate::core::leader::shard_map_editor::machine_chunks::MachineChunks;
use crate::core::records::keys::{MAP_PREFIX, teams_key};
use crate::core::records::shard_map::{ShardEntry, ShardMap, ShardMapChunk, ShardOwner};
use crate::core::records::versioned::Versioned;
use crate::ids::{FencingToken, MachineId, Team, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Number of low bits of a fencing token; they count the tokens issued under one version of the leader key.
const TOKEN_COUNT_BITS: u32 = 16;

/// Mask of the low bits of a fencing token that hold the count.
const TOKEN_COUNT_MASK: u64 = (1 << TOKEN_COUNT_BITS) - 1;

/// Number of higher tokens that the owner of a machine is granted with an assignment. The next assignment under
/// the same version of the leader key skips them.
const MAX_RAISES: u64 = 256;

/// Fraction of the tokens of one leader key version after which the key is claimed again, long before they
/// run out.
const RECLAIM_KEY_FRACTION: f64 = 0.5;

/// Most bytes that a machine takes in a stored value, including an owner record that no other machine shares.
const MACHINE_BYTES: f64 = 158.0;

/// The shard map with the leader's changes, and the stored values that have to be rewritten for them.
pub struct ShardMapEditor {
    shard_map: ShardMap,
    /// Version of the leader key; the high bits of new fencing tokens.
    leader_version: Version,
    /// Number of fencing tokens issued so far; the low bits of the last one.
    issued_token_count: u64,
    chunks: MachineChunks,
    /// Whether the value that lists the teams has to be rewritten.
    teams_dirty: bool,
    /// Chunks of machines that have to be rewritten.
    dirty_chunks: BTreeSet<usize>,
}

/// The key under which a chunk of machines is stored.
fn chunk_key(chunk: usize) -> String {
    format!("{MAP_PREFIX}m{chunk:04}")
}

/// The number of the chunk of machines that is stored under this key; None for any other key.
fn chunk_number(key: &str) -> Option<usize> {
    key.strip_prefix(MAP_PREFIX)?
        .strip_prefix('m')?
        .parse()
        .ok()
}

impl ShardMapEditor {
    /// Starts from the stored map. New fencing tokens are issued under `leader_version`, and values are
    /// limited to `value_kb` KiB.
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
            chunks.ensure_chunk(number);
            let shards = &stored_chunk.record.shards;
            for id in shards.iter().flat_map(|shard| &shard.machines) {
                // A machine is listed twice if an earlier leader split its chunk and did not write the
                // remainder.
                dirty_chunks.extend(chunks.place(id, number));
            }
        }
        Self {
            shard_map: ShardMap::from_chunks(stored.values().map(|chunk| &chunk.record)),
            leader_version,
            issued_token_count: 0,
            chunks,
            teams_dirty: false,
            dirty_chunks,
        }
    }

    /// Replaces the working copy by the stored map; the numbering of fencing tokens continues.
    pub fn reload(&mut self, stored: &BTreeMap<String, Versioned<ShardMapChunk>>, value_kb: f64) {
        *self = Self {
            issued_token_count: self.issued_token_count,
            ..Self::new(self.leader_version, stored, value_kb)
        };
    }

    /// The owners of all teams and machines, including unwritten changes.
    pub fn shard_map(&self) -> &ShardMap {
        &self.shard_map
    }

    /// Issues an unused fencing token; None if none are left under this version of the leader key.
    pub fn next_token(&mut self) -> Option<FencingToken> {
        self.issued_token_count += 1;
        (self.issued_token_count < 1 << TOKEN_COUNT_BITS).then_some(FencingToken(
            (self.leader_version << TOKEN_COUNT_BITS) | self.issued_token_count,
        ))
    }

    /// Issues an unused fencing token above `floor`, which may lie in the range of an earlier assignment; None
    /// if none are left under this version of the leader key.
    pub fn next_token_above(&mut self, floor: FencingToken) -> Option<FencingToken> {
        if floor.0 >> TOKEN_COUNT_BITS == self.leader_version {
            let count = floor.0 & TOKEN_COUNT_MASK;
            self.issued_token_count = self.issued_token_count.max(count);
        }
        self.next_token()
    }

    /// Number of tokens above `token` that its owner may be granted. All of them belong to the same version of
    /// the leader key.
    pub fn grantable_raises(token: FencingToken) -> u64 {
        let left = TOKEN_COUNT_MASK - (token.0 & TOKEN_COUNT_MASK);
        left.min(MAX_RAISES)
    }

    /// Whether so many fencing tokens are used that the leader key should be claimed again.
    pub fn tokens_running_low(&self) -> bool {
        self.issued_token_count as f64 > f64::from(1 << TOKEN_COUNT_BITS) * RECLAIM_KEY_FRACTION
    }

    /// Sets the owner of a team, and marks the chunk with the teams' owners as changed.
    pub fn set_team(&mut self, team: &Team, owner: ShardOwner) {
        self.shard_map.teams.insert(team.clone(), owner);
        self.teams_dirty = true;
    }

    /// Sets the token since which every owner of a team has respected its grants; None if there is no such
    /// token.
    pub fn set_grants_kept_since(&mut self, team: &Team, since: Option<FencingToken>) {
        let kept_since = &mut self.shard_map.grants_kept_since;
        let before = match since {
            Some(since) => kept_since.insert(team.clone(), since),
            None => kept_since.remove(team),
        };
        self.teams_dirty |= before != since;
    }

    /// Updates, for a team that gets a new owner, the token since which every owner has respected its grants.
    /// An earlier token stays if the new owner respects them too; otherwise the entry is removed.
    pub fn update_grants_kept_since(
        &mut self,
        team: &Team,
        owner: &ShardOwner,
        keeps_grants: bool,
    ) {
        let before = self.shard_map.grants_kept_since.get(team).copied();
        let since = keeps_grants.then(|| before.unwrap_or(owner.token));
        self.set_grants_kept_since(team, since);
    }

    /// Sets the owner of a machine, and marks its chunk as changed. A new machine is assigned to a chunk.
    pub fn set_machine(&mut self, id: &MachineId, owner: ShardOwner) {
        let chunk = self.chunks.find_or_assign_chunk(id);
        self.shard_map.machines.insert(id.clone(), owner);
        self.dirty_chunks.insert(chunk);
    }

    /// Removes a machine from the map, if it is listed.
    pub fn remove_machine(&mut self, id: &MachineId) {
        if let Some(chunk) = self.chunks.remove(id) {
            self.shard_map.machines.remove(id);
            self.dirty_chunks.insert(chunk);
        }
    }

    /// Takes the changed values with their keys, up to `limit` values. No further value is added once the
    /// chunks of machines have `bytes` bytes; the teams and newly split chunks do not count towards that.
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
            // A chunk may exceed the present limit if it was written under a larger one. The excess is split
            // off into new chunks, which are written first so that every machine stays in the stored map.
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

    /// Builds the value that lists the teams.
    fn teams_value(&self) -> ShardMapChunk {
        let mut shards = BTreeMap::new();
        for (team, owner) in &self.shard_map.teams {
            entry_for(&mut shards, owner).teams.push(team.clone());
        }
        ShardMapChunk {
            shards: shards.into_values().collect(),
            grants_kept_since: self.shard_map.grants_kept_since.clone(),
        }
    }

    /// Builds the value of one chunk of machines.
    fn machines_value(&self, chunk: usize) -> ShardMapChunk {
        let mut shards = BTreeMap::new();
        for id in self.chunks.machines_in(chunk) {
            if let Some(owner) = self.shard_map.machines.get(id) {
                entry_for(&mut shards, owner).machines.push(id.clone());
            }
        }
        ShardMapChunk {
            shards: shards.into_values().collect(),
            ..ShardMapChunk::default()
        }
    }
}

/// Number of machines that fit into a value of this many KiB; at least one.
#[expect(
    clippy::cast_possible_truncation,
    reason = "rounding down and saturation are intended"
)]
fn chunk_capacity(value_kb: f64) -> usize {
    ((value_kb * 1024.0 / MACHINE_BYTES) as usize).max(1)
}

/// Finds the entry of an owner in one value, or inserts an empty one.
fn entry_for<'shards, 'owner>(
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
