//! The part map: which process of which controller owns which teams and machines, under which
//! term. Only the leader writes it, guarded by its leader key and the map's versions, and only on
//! change. A machine is used only once it is in the stored map, so the map names every machine
//! that may hold tasks. A term is the leader key's revision with a counter of the leader's changes
//! below it: never used twice, and higher with every change and every leader.

use super::ownership::Process;
use super::store::{MAP_PREFIX, Versioned};
use crate::ids::{FencingToken, MachineId, Node, Team, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Changes that one leadership can number.
const CHANGE_BITS: u32 = 16;
/// Part of them after which leadership is claimed anew, long before they run out.
const EXHAUSTED_PART: f64 = 0.5;

/// One stored value of the map.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ShardMapChunk {
    #[serde(rename = "shares")]
    pub shards: Vec<ShardEntry>,
    /// Beside teams: since which term every owner has kept to its grants ([`super::team_grants`]).
    /// A leader that does not know this field leaves it out, and so nobody relies on it.
    #[serde(rename = "q", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub grants_kept_since: BTreeMap<Team, FencingToken>,
}

/// What one process owns under one term, as far as one chunk tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardEntry {
    #[serde(rename = "o")]
    pub owner: ShardOwner,
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<Team>,
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<MachineId>,
}

/// A process of a controller, and the term under which it owns something.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardOwner {
    #[serde(rename = "n")]
    pub node: Node,
    #[serde(rename = "i")]
    pub incarnation: u64,
    #[serde(rename = "t")]
    pub token: FencingToken,
    /// The process it was taken from, if that was alive.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub former: Option<Process>,
    /// The term directly before, if its owner had said that it answers the machine no more.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub prior: Option<FencingToken>,
}

impl ShardOwner {
    pub fn is(&self, node: &Node, incarnation: u64) -> bool {
        self.node == *node && self.incarnation == incarnation
    }
}

/// The whole map, by what is owned.
#[derive(Clone, Debug, Default)]
pub struct ShardMap {
    pub teams: BTreeMap<Team, ShardOwner>,
    pub machines: BTreeMap<MachineId, ShardOwner>,
    pub grants_kept_since: BTreeMap<Team, FencingToken>,
}

impl ShardMap {
    pub fn read<'a>(chunks: impl Iterator<Item = &'a ShardMapChunk>) -> Self {
        let mut owners = Self::default();
        for chunk in chunks {
            owners
                .grants_kept_since
                .extend(chunk.grants_kept_since.clone());
            for shard in &chunk.shards {
                let teams = shard
                    .teams
                    .iter()
                    .map(|team| (team.clone(), shard.owner.clone()));
                owners.teams.extend(teams);
                let machines = shard
                    .machines
                    .iter()
                    .map(|id| (id.clone(), shard.owner.clone()));
                owners.machines.extend(machines);
            }
        }
        owners
    }
}

/// The map as its leader wants it to be.
pub struct ShardMapEditor {
    pub owners: ShardMap,
    leader: Version,
    changes: u64,
    chunk_of: BTreeMap<MachineId, usize>,
    members: Vec<BTreeSet<MachineId>>,
    teams_dirty: bool,
    dirty: BTreeSet<usize>,
    capacity: usize,
}

fn chunk_key(chunk: usize) -> String {
    format!("{MAP_PREFIX}m{chunk:04}")
}

/// Where the owners of teams are stored.
pub fn teams_key() -> String {
    format!("{MAP_PREFIX}teams")
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

    fn value(&self, chunk: usize, members: &BTreeSet<MachineId>) -> (String, ShardMapChunk) {
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

fn shard<'a, 'b>(
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
