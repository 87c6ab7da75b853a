//! Assignment of machines to the stored chunks of the shard map.

use crate::ids::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// The machines of the shard map, divided into chunks of bounded size.
///
/// Chunks are numbered from zero. A chunk keeps its number when it becomes empty.
pub(super) struct MachineChunks {
    chunk_of: BTreeMap<MachineId, usize>,
    members: Vec<BTreeSet<MachineId>>,
    /// Most machines that one chunk may list.
    capacity: usize,
}

impl MachineChunks {
    /// Starts without chunks; each chunk will list up to `capacity` machines.
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            chunk_of: BTreeMap::new(),
            members: Vec::new(),
            capacity,
        }
    }

    /// Creates this chunk and those before it, unless they exist.
    pub(super) fn ensure_chunk(&mut self, chunk: usize) {
        if self.members.len() <= chunk {
            self.members.resize_with(chunk + 1, BTreeSet::new);
        }
    }

    /// Moves the machine to this chunk, which must exist; returns the chunk that listed it before, if any.
    pub(super) fn place(&mut self, id: &MachineId, chunk: usize) -> Option<usize> {
        let earlier = self.chunk_of.insert(id.clone(), chunk);
        if let Some(members) = earlier.and_then(|earlier| self.members.get_mut(earlier)) {
            members.remove(id);
        }
        if let Some(members) = self.members.get_mut(chunk) {
            members.insert(id.clone());
        }
        earlier
    }

    /// The chunk that lists the machine. A new machine is placed in the first chunk below its capacity.
    pub(super) fn find_or_assign_chunk(&mut self, id: &MachineId) -> usize {
        if let Some(chunk) = self.chunk_of.get(id) {
            return *chunk;
        }
        let open = self
            .members
            .iter()
            .position(|members| members.len() < self.capacity);
        let chunk = open.unwrap_or(self.members.len());
        self.ensure_chunk(chunk);
        self.place(id, chunk);
        chunk
    }

    /// Removes the machine; returns the chunk that listed it, if any.
    pub(super) fn remove(&mut self, id: &MachineId) -> Option<usize> {
        let chunk = self.chunk_of.remove(id)?;
        if let Some(members) = self.members.get_mut(chunk) {
            members.remove(id);
        }
        Some(chunk)
    }

    /// Moves the machines beyond a chunk's capacity to a new chunk, as far as they fit there, and returns the
    /// number of the new chunk; None if the chunk is within its capacity.
    pub(super) fn split_off(&mut self, chunk: usize) -> Option<usize> {
        let excess = self.machines_in(chunk).skip(self.capacity);
        let excess: Vec<MachineId> = excess.take(self.capacity).cloned().collect();
        if excess.is_empty() {
            return None;
        }
        let split = self.members.len();
        self.ensure_chunk(split);
        for id in &excess {
            self.place(id, split);
        }
        Some(split)
    }

    /// The machines that the chunk lists.
    pub(super) fn machines_in(&self, chunk: usize) -> impl Iterator<Item = &MachineId> {
        self.members.get(chunk).into_iter().flatten()
    }

    /// The number of machines and the total number of chunk entries; they are equal if the chunks are
    /// consistent.
    #[cfg(test)]
    pub(super) fn counts(&self) -> (usize, usize) {
        let entries = self.members.iter().map(BTreeSet::len).sum();
        (self.chunk_of.len(), entries)
    }
}
