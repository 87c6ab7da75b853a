//! The shard map: which process owns which teams and machines, and under which fencing token.

use crate::core::model::process::ProcessId;
use crate::ids::{ControllerName, FencingToken, MachineId, Team};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One stored value of the shard map, which is split into chunks to keep values small.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ShardMapChunk {
    /// The teams and machines of this chunk by their owners.
    #[serde(rename = "shares")]
    pub shards: Vec<ShardEntry>,
    /// In the chunk of teams: the fencing token since which every owner of a team has kept to its grants
    /// ([`crate::core::shard::grants`]). A leader that does not know this field omits it, so that no controller
    /// relies on it.
    #[serde(rename = "q", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub grants_kept_since: BTreeMap<Team, FencingToken>,
}

/// What one process owns under one fencing token, as far as one chunk holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardEntry {
    /// The owner.
    #[serde(rename = "o")]
    pub owner: ShardOwner,
    /// Its teams.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<Team>,
    /// Its machines.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<MachineId>,
}

/// A process of a controller, and the fencing token under which it owns a team or machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardOwner {
    /// The controller.
    #[serde(rename = "n")]
    pub node: ControllerName,
    /// Which of its processes.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// The fencing token.
    #[serde(rename = "t")]
    pub token: FencingToken,
    /// The process from which it was reassigned, if that was alive.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub previous_owner: Option<ProcessId>,
    /// The fencing token directly before, if its owner had declared that it no longer answers the machine.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub previous_token: Option<FencingToken>,
}

impl ShardOwner {
    /// The process of the owner.
    pub fn process(&self) -> ProcessId {
        ProcessId::new(self.node.clone(), self.incarnation)
    }

    /// Whether this process of this controller is the owner.
    pub fn is_process(&self, node: &ControllerName, incarnation: u64) -> bool {
        self.node == *node && self.incarnation == incarnation
    }
}

/// The whole shard map, by what is owned.
#[derive(Clone, Debug, Default)]
pub struct ShardMap {
    /// The owner of each team.
    pub teams: BTreeMap<Team, ShardOwner>,
    /// The owner of each machine.
    pub machines: BTreeMap<MachineId, ShardOwner>,
    /// The fencing token since which every owner of a team has kept to its grants.
    pub grants_kept_since: BTreeMap<Team, FencingToken>,
}

impl ShardMap {
    /// Merges stored chunks. Later chunks take precedence.
    pub fn read<'a>(chunks: impl Iterator<Item = &'a ShardMapChunk>) -> Self {
        let mut map = Self::default();
        for chunk in chunks {
            map.grants_kept_since
                .extend(chunk.grants_kept_since.clone());
            for shard in &chunk.shards {
                let teams = shard
                    .teams
                    .iter()
                    .map(|team| (team.clone(), shard.owner.clone()));
                map.teams.extend(teams);
                let machines = shard
                    .machines
                    .iter()
                    .map(|id| (id.clone(), shard.owner.clone()));
                map.machines.extend(machines);
            }
        }
        map
    }

    /// The processes that own at least one team or machine.
    pub fn owning_processes(&self) -> BTreeSet<ProcessId> {
        let owners = self.teams.values().chain(self.machines.values());
        owners.map(ShardOwner::process).collect()
    }
}
