//! The keys of the service in the key-value store.

use crate::ids::{ControllerName, JobId, Team};

/// Prefix of every key of the service.
pub const KEY_PREFIX: &str = "ochredrum/";

/// Key of the leader's process record.
pub const LEADER_KEY: &str = "ochredrum/leader";

/// Key of the machine types that the cloud last listed.
pub const TYPES_KEY: &str = "ochredrum/types";

/// Prefix of the keys of the chunks of the shard map.
pub const MAP_PREFIX: &str = "ochredrum/map/";

const NODE_PREFIX: &str = "ochredrum/node/";

const JOB_PREFIX: &str = "ochredrum/job/";

const QUOTA_PREFIX: &str = "ochredrum/quota/";

/// Maximum length of a key that the store accepts, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// A parsed key, which identifies the record that is stored under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreKey {
    /// The process record of the leader.
    Leader,
    /// The machine types that the cloud last listed.
    MachineTypes,
    /// The record of a controller's registered process.
    Node(ControllerName),
    /// A chunk of the shard map: the owners of teams or those of some machines.
    ShardMapChunk,
    /// The grant record of a team.
    Ledger(Team),
    /// The record of a job.
    Job(JobId),
    /// A key that this version of the service does not know.
    Unknown,
}

impl StoreKey {
    /// Parses a key of the store.
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

/// Returns the key of a controller's process record.
pub fn node_key(node: &ControllerName) -> String {
    format!("{NODE_PREFIX}{node}")
}

/// Returns the key of a job's record.
pub fn job_key(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Returns the key of a team's grant record; `None` if the key would be too long or contain whitespace.
pub fn quota_key(team: &Team) -> Option<String> {
    let key = format!("{QUOTA_PREFIX}{team}");
    let valid = key.len() <= MAX_KEY_BYTES && !key.contains(char::is_whitespace);
    valid.then_some(key)
}

/// Returns the key of the chunk of the shard map that contains the owners of teams.
pub fn teams_key() -> String {
    format!("{MAP_PREFIX}teams")
}
