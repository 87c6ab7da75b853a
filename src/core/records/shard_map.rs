//! The shard map, which assigns each team and machine to an owning process and a fencing token.

use crate::core::model::process::ProcessId;
use crate::ids::{ControllerName, FencingToken, MachineId, Team};
use crate::serde_defaults::is_zero;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One stored value of the shard map. The map is split into chunks to keep the values small.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ShardMapChunk {
    /// The teams and machines of this chunk, grouped by owner.
    #[serde(rename = "shares")]
    pub shards: Vec<ShardEntry>,
    /// The fencing token since which every owner of a team has kept to the team's grants
    /// ([`crate::core::shard::grants`]). Only the chunk of teams contains it. A leader of a release without
    /// this field omits it, so that no controller relies on it.
    #[serde(rename = "q", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub grants_kept_since: BTreeMap<Team, FencingToken>,
}

/// The teams and machines in one chunk that one process owns under one fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardEntry {
    /// The owning process and its fencing token.
    #[serde(rename = "o")]
    pub owner: ShardOwner,
    /// The teams that it owns.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<Team>,
    /// The machines that it owns.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<MachineId>,
}

/// The process that owns a team or machine, and the fencing token under which it does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardOwner {
    /// The controller that the process runs.
    #[serde(rename = "n")]
    pub node: ControllerName,
    /// Number that distinguishes the process from other processes of the controller.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// The fencing token of the assignment. Each reassignment has a higher one.
    #[serde(rename = "t")]
    pub token: FencingToken,
    /// The previous owner, if it was alive when the machine was reassigned from it.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub previous_owner: Option<ProcessId>,
    /// The fencing token directly before this one, if its owner had declared the machine unresponsive under
    /// it ([`crate::core::machines::unresponsive`]).
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub previous_token: Option<FencingToken>,
    /// Number of tokens directly above `token` that the owner of a machine may use as well
    /// ([`crate::core::machines::machine::CommandTokens`]). Every later assignment of the machine has a token
    /// above all of them.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub raises: u64,
}

impl ShardOwner {
    /// Returns the identity of the owning process.
    pub fn process(&self) -> ProcessId {
        ProcessId::new(self.node.clone(), self.incarnation)
    }

    /// Returns the highest token that the owner may use under this assignment.
    pub fn highest_token(&self) -> FencingToken {
        self.token.raised_by(self.raises)
    }

    /// Returns whether a worker that shows this token has heard from the owner under this assignment.
    pub fn includes(&self, shown: FencingToken) -> bool {
        (self.token..=self.highest_token()).contains(&shown)
    }

    /// Returns whether the process with this controller and incarnation is the owner.
    pub fn is_process(&self, node: &ControllerName, incarnation: u64) -> bool {
        self.node == *node && self.incarnation == incarnation
    }
}

/// The complete shard map, indexed by team and by machine.
#[derive(Clone, Debug, Default)]
pub struct ShardMap {
    /// The owner of each team.
    pub teams: BTreeMap<Team, ShardOwner>,
    /// The owner of each machine.
    pub machines: BTreeMap<MachineId, ShardOwner>,
    /// The fencing token since which every owner of a team has kept to the team's grants.
    pub grants_kept_since: BTreeMap<Team, FencingToken>,
}

impl ShardMap {
    /// Merges stored chunks into one map. Later chunks take precedence.
    pub fn from_chunks<'a>(chunks: impl Iterator<Item = &'a ShardMapChunk>) -> Self {
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

    /// Returns the processes that own at least one team or machine.
    pub fn owning_processes(&self) -> BTreeSet<ProcessId> {
        let owners = self.teams.values().chain(self.machines.values());
        owners.map(ShardOwner::process).collect()
    }
}

#[cfg(test)]
mod tests;
