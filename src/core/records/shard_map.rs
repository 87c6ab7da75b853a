use crate::core::model::process::ProcessId;
use crate::ids::{FencingToken, MachineId, Node, Team};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One stored value of the map.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ShardMapChunk {
    #[serde(rename = "shares")]
    pub shards: Vec<ShardEntry>,
    /// Beside teams: since which term every owner has kept to its grants ([`crate::core::shard::grants`]).
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
    pub previous_owner: Option<ProcessId>,
    /// The term directly before, if its owner had said that it answers the machine no more.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub previous_token: Option<FencingToken>,
}

impl ShardOwner {
    /// The process that owns.
    pub fn process(&self) -> ProcessId {
        ProcessId::new(self.node.clone(), self.incarnation)
    }

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

    /// The processes that own at least one team or machine.
    pub fn owning_processes(&self) -> BTreeSet<ProcessId> {
        let owners = self.teams.values().chain(self.machines.values());
        owners.map(ShardOwner::process).collect()
    }
}
