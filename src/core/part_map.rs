//! The part map: which controller owns which teams and machines, under which term. Only the leader
//! writes it, guarded by its own leader key, and only on change. A machine is used only once it is
//! in the stored map, so that whoever leads next knows every machine that may hold tasks.

use super::view::{MAP_PREFIX, Versioned};
use crate::ids::{MachineId, Node, Team, Term};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One stored value of the map.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MapChunk {
    pub shares: Vec<Share>,
}

/// What one controller owns, as far as one chunk tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    pub node: Node,
    pub term: Term,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<Team>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<MachineId>,
}

/// The map as its leader holds it. For now every team and machine is in the leader's own share.
pub struct PartMap {
    node: Node,
    term: Term,
    teams: Vec<Team>,
    chunks: Vec<BTreeSet<MachineId>>,
    chunk_of: BTreeMap<MachineId, usize>,
    dirty: BTreeSet<usize>,
    /// Machines to a chunk, so that a value keeps within the state service's limit.
    capacity: usize,
}

impl PartMap {
    /// `stored`: how many chunks an earlier leader left; all are written anew.
    pub fn new(node: Node, term: Term, teams: Vec<Team>, value_kb: f64, stored: usize) -> Self {
        // A name of a machine takes some 16 bytes; half of the value is left for the rest.
        let capacity = ((value_kb * 1024.0 / 2.0 / 16.0) as usize).max(1);
        let count = stored.max(1);
        let (chunks, chunk_of) = (vec![BTreeSet::new(); count], BTreeMap::new());
        Self { node, term, teams, chunks, chunk_of, dirty: (0..count).collect(), capacity }
    }

    pub fn insert(&mut self, machine: &MachineId) {
        if self.chunk_of.contains_key(machine) {
            return;
        }
        let chunk = match self.chunks.iter().position(|c| c.len() < self.capacity) {
            Some(chunk) => chunk,
            None => {
                self.chunks.push(BTreeSet::new());
                self.chunks.len() - 1
            }
        };
        self.chunks[chunk].insert(machine.clone());
        self.chunk_of.insert(machine.clone(), chunk);
        self.dirty.insert(chunk);
    }

    pub fn remove(&mut self, machine: &MachineId) {
        if let Some(chunk) = self.chunk_of.remove(machine) {
            self.chunks[chunk].remove(machine);
            self.dirty.insert(chunk);
        }
    }

    pub fn contains(&self, machine: &MachineId) -> bool {
        self.chunk_of.contains_key(machine)
    }

    /// Up to `limit` chunks that differ from what is stored, with the machines in each.
    pub fn take_dirty(&mut self, limit: usize) -> Vec<(String, MapChunk)> {
        let chunks: Vec<usize> = self.dirty.iter().copied().take(limit).collect();
        chunks
            .into_iter()
            .map(|chunk| {
                self.dirty.remove(&chunk);
                (format!("{MAP_PREFIX}{chunk:04}"), self.chunk(chunk))
            })
            .collect()
    }

    fn chunk(&self, chunk: usize) -> MapChunk {
        let machines = self.chunks[chunk].iter().cloned().collect();
        let teams = if chunk == 0 { self.teams.clone() } else { Vec::new() };
        let share = Share { node: self.node.clone(), term: self.term, teams, machines };
        MapChunk { shares: vec![share] }
    }

    /// A write of these chunks failed or its outcome is unknown: they are to be written again.
    pub fn write_again(&mut self, keys: &[String]) {
        for key in keys {
            let chunk = key.strip_prefix(MAP_PREFIX).and_then(|text| text.parse().ok());
            if let Some(chunk) = chunk.filter(|chunk| *chunk < self.chunks.len()) {
                self.dirty.insert(chunk);
            }
        }
    }
}

/// Every machine in a stored map.
pub fn machines(map: &BTreeMap<String, Versioned<MapChunk>>) -> BTreeSet<MachineId> {
    let shares = map.values().flat_map(|chunk| &chunk.record.shares);
    shares.flat_map(|share| share.machines.iter().cloned()).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn chunks_keep_within_the_value_limit() {
        let mut map = PartMap::new("drum-0".into(), Term(7), vec!["a".into()], 4.0, 0);
        for i in 0..1000 {
            map.insert(&MachineId::from(format!("m-{i:06}")));
        }
        let chunks = map.take_dirty(usize::MAX);
        assert_eq!(chunks.len(), 8);
        for (_, chunk) in &chunks {
            assert!(serde_json::to_string(chunk).unwrap().len() <= 4096);
        }
        assert!(map.take_dirty(usize::MAX).is_empty(), "written only on change");
        map.remove(&"m-000000".into());
        map.write_again(&["ochredrum/map/0003".into(), "ochredrum/map/x".into()]);
        let keys: Vec<String> = map.take_dirty(9).into_iter().map(|(key, _)| key).collect();
        assert_eq!(keys, ["ochredrum/map/0000", "ochredrum/map/0003"]);
    }
}
