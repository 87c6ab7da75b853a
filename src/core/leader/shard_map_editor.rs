//! The part map: which process of which controller owns which teams and machines, under which
//! term. Only the leader writes it, guarded by its leader key and the map's versions, and only on
//! change. A machine is used only once it is in the stored map, so the map names every machine
//! that may hold tasks. A term is the leader key's revision with a counter of the leader's changes
//! below it: never used twice, and higher with every change and every leader.

use crate::core::records::keys::{MAP_PREFIX, teams_key};
use crate::core::records::shard_map::{ShardEntry, ShardMap, ShardMapChunk, ShardOwner};
use crate::core::records::versioned::Versioned;
use crate::ids::{FencingToken, MachineId, Team, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Changes that one leadership can number.
pub(crate) const CHANGE_BITS: u32 = 16;

/// Part of them after which leadership is claimed anew, long before they run out.
pub(crate) const EXHAUSTED_PART: f64 = 0.5;

/// The map as its leader wants it to be.
pub struct ShardMapEditor {
    pub owners: ShardMap,
    pub(crate) leader: Version,
    pub(crate) changes: u64,
    pub(crate) chunk_of: BTreeMap<MachineId, usize>,
    pub(crate) members: Vec<BTreeSet<MachineId>>,
    pub(crate) teams_dirty: bool,
    pub(crate) dirty: BTreeSet<usize>,
    pub(crate) capacity: usize,
}

pub(crate) fn chunk_key(chunk: usize) -> String {
    format!("{MAP_PREFIX}m{chunk:04}")
}

impl ShardMapEditor {
    /// Continues the stored map under a new leadership.
    pub fn new(
        leader: Version,
        stored: &BTreeMap<String, Versioned<ShardMapChunk>>,
        kb: f64,
    ) -> Self {
        let owners = ShardMap::read(stored.values().map(|chunk| &chunk.record));
        // Every machine may have an owner's record to itself: up to 150 bytes.
        let capacity = ((kb * 1024.0 / 150.0) as usize).max(1);
        let (mut chunk_of, mut members): (BTreeMap<MachineId, usize>, Vec<BTreeSet<MachineId>>) =
            Default::default();
        let mut dirty = BTreeSet::new();
        for (key, chunk) in stored {
            let prefix = format!("{MAP_PREFIX}m");
            let number = key
                .strip_prefix(&prefix)
                .and_then(|n| n.parse::<usize>().ok());
            if let Some(number) = number {
                members.resize_with(members.len().max(number + 1), BTreeSet::new);
                for id in chunk.record.shards.iter().flat_map(|shard| &shard.machines) {
                    // Split off by an earlier leader that could not write the rest.
                    if let Some(split) = chunk_of.insert(id.clone(), number) {
                        members[split].remove(id);
                        dirty.insert(split);
                    }
                    members[number].insert(id.clone());
                }
            }
        }
        let teams_dirty = false;
        Self {
            owners,
            leader,
            changes: 0,
            chunk_of,
            members,
            teams_dirty,
            dirty,
            capacity,
        }
    }

    /// Takes up what is stored, and goes on counting.
    pub fn follow(&mut self, stored: ShardMapEditor) {
        *self = ShardMapEditor {
            changes: self.changes,
            ..stored
        };
    }

    /// A term that nobody has used; None when this leadership has no more.
    pub fn next_token(&mut self) -> Option<FencingToken> {
        self.changes += 1;
        (self.changes < 1 << CHANGE_BITS)
            .then_some(FencingToken((self.leader << CHANGE_BITS) | self.changes))
    }

    /// Whether this leadership has numbered so many changes that it should be claimed anew.
    pub fn terms_exhausted(&self) -> bool {
        self.changes as f64 > f64::from(1 << CHANGE_BITS) * EXHAUSTED_PART
    }

    pub fn set_team(&mut self, team: &Team, owner: ShardOwner) {
        self.owners.teams.insert(team.clone(), owner);
        self.teams_dirty = true;
    }

    /// Since which term every owner of a team has kept to its grants; None if that is not known.
    pub fn set_grants_kept_since(&mut self, team: &Team, since: Option<FencingToken>) {
        let known = &mut self.owners.grants_kept_since;
        let before = match since {
            Some(since) => known.insert(team.clone(), since),
            None => known.remove(team),
        };
        self.teams_dirty |= before != since;
    }

    /// A team goes to `owner`: notes whether grants have been kept to all the time.
    pub fn carry_grants(&mut self, team: &Team, owner: &ShardOwner, keeps_grants: bool) {
        let before = self.owners.grants_kept_since.get(team).copied();
        let since = keeps_grants.then(|| before.unwrap_or(owner.token));
        self.set_grants_kept_since(team, since);
    }

    pub fn set_machine(&mut self, id: &MachineId, owner: ShardOwner) {
        let chunk = match self.chunk_of.get(id) {
            Some(chunk) => *chunk,
            None => {
                let open = self
                    .members
                    .iter()
                    .position(|ids| ids.len() < self.capacity);
                let chunk = open.unwrap_or(self.members.len());
                self.members
                    .resize_with(self.members.len().max(chunk + 1), BTreeSet::new);
                self.members[chunk].insert(id.clone());
                self.chunk_of.insert(id.clone(), chunk);
                chunk
            }
        };
        self.owners.machines.insert(id.clone(), owner);
        self.dirty.insert(chunk);
    }

    pub fn remove_machine(&mut self, id: &MachineId) {
        if let Some(chunk) = self.chunk_of.remove(id) {
            self.owners.machines.remove(id);
            self.members[chunk].remove(id);
            self.dirty.insert(chunk);
        }
    }

    /// Values that differ from what is stored: up to `limit` of them, and about `bytes` in all.
    pub fn take_dirty(&mut self, limit: usize, bytes: usize) -> Vec<(String, ShardMapChunk)> {
        let mut values = Vec::new();
        let mut size = 0;
        if std::mem::take(&mut self.teams_dirty) {
            let mut shards: BTreeMap<&ShardOwner, ShardEntry> = BTreeMap::new();
            let grants_kept_since = self.owners.grants_kept_since.clone();
            for (team, owner) in &self.owners.teams {
                shard(&mut shards, owner).teams.push(team.clone());
            }
            values.push((
                teams_key(),
                ShardMapChunk {
                    shards: shards.into_values().collect(),
                    grants_kept_since,
                },
            ));
        }
        while values.len() < limit
            && size < bytes
            && let Some(chunk) = self.dirty.pop_first()
        {
            // Written when values could be larger: what is too much goes into values of its own, first,
            // so that no machine is ever off the map.
            if self.members[chunk].len() > self.capacity {
                self.dirty.insert(chunk);
                let rest = self.members[chunk].iter().skip(self.capacity);
                let piece: BTreeSet<MachineId> = rest.take(self.capacity).cloned().collect();
                let fresh = self.members.len();
                for id in &piece {
                    self.members[chunk].remove(id);
                    self.chunk_of.insert(id.clone(), fresh);
                }
                values.push(self.value(fresh, &piece));
                self.members.push(piece);
                continue;
            }
            let value = self.value(chunk, &self.members[chunk]);
            size += serde_json::to_string(&value.1).map_or(0, |text| text.len());
            values.push(value);
        }
        values
    }

    pub(crate) fn value(
        &self,
        chunk: usize,
        members: &BTreeSet<MachineId>,
    ) -> (String, ShardMapChunk) {
        let mut shards: BTreeMap<&ShardOwner, ShardEntry> = BTreeMap::new();
        for id in members {
            if let Some(owner) = self.owners.machines.get(id) {
                shard(&mut shards, owner).machines.push(id.clone());
            }
        }
        let shards = shards.into_values().collect();
        (
            chunk_key(chunk),
            ShardMapChunk {
                shards,
                ..ShardMapChunk::default()
            },
        )
    }
}

pub(crate) fn shard<'a, 'b>(
    shards: &'b mut BTreeMap<&'a ShardOwner, ShardEntry>,
    owner: &'a ShardOwner,
) -> &'b mut ShardEntry {
    shards.entry(owner).or_insert_with(|| ShardEntry {
        owner: owner.clone(),
        teams: Vec::new(),
        machines: Vec::new(),
    })
}

#[cfg(test)]
mod tests;
