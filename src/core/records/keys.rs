//! Keys of the key-value store, and what is stored under each.

use crate::ids::{ControllerName, JobId, Team};

/// Prefix of all keys of the service.
pub const ROOT: &str = "ochredrum/";

/// The leader's process.
pub const LEADER_KEY: &str = "ochredrum/leader";

/// The machine types that the cloud last listed.
pub const TYPES_KEY: &str = "ochredrum/types";

/// Prefix of the keys of the shard map's chunks.
pub const MAP_PREFIX: &str = "ochredrum/map/";

const NODE_PREFIX: &str = "ochredrum/node/";

const JOB_PREFIX: &str = "ochredrum/job/";

const QUOTA_PREFIX: &str = "ochredrum/quota/";

/// Longest key that the store accepts, in bytes.
const LONGEST_KEY: usize = 200;

/// What is stored under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreKey {
    /// The leader's process.
    Leader,
    /// The machine types that the cloud last listed.
    MachineTypes,
    /// The registered process of a controller.
    Node(ControllerName),
    /// A chunk of the shard map.
    ShardMapChunk,
    /// A team's grant record.
    Ledger(Team),
    /// A job's record.
    Job(JobId),
    /// A key that this version of the service does not know.
    Unknown,
}

impl StoreKey {
    /// What is stored under `key`.
    pub fn parse(key: &str) -> Self {
        if key == LEADER_KEY {
            Self::Leader
        } else if key == TYPES_KEY {
            Self::MachineTypes
        } else if let Some(id) = key.strip_prefix(JOB_PREFIX) {
            Self::Job(JobId::from(id))
        } else if let Some(node) = key.strip_prefix(NODE_PREFIX) {
            Self::Node(ControllerName::from(node))
        } else if key.starts_with(MAP_PREFIX) {
            Self::ShardMapChunk
        } else if let Some(team) = key.strip_prefix(QUOTA_PREFIX) {
            Self::Ledger(Team::from(team))
        } else {
            Self::Unknown
        }
    }
}

/// The key of a controller's registered process.
pub fn node_key(node: &ControllerName) -> String {
    format!("{NODE_PREFIX}{node}")
}

/// The key of a job's record.
pub fn job_key(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// The key of a team's grant record; `None` if the team's name cannot be part of a key.
pub fn quota_key(team: &Team) -> Option<String> {
    let key = format!("{QUOTA_PREFIX}{team}");
    let valid = key.len() <= LONGEST_KEY && !key.contains(char::is_whitespace);
    valid.then_some(key)
}

/// The key of the shard map's chunk that holds the owners of teams.
pub fn teams_key() -> String {
    format!("{MAP_PREFIX}teams")
}
