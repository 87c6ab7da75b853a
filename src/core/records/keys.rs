use crate::ids::{JobId, Node, Team};

/// All keys of the service start with this.
pub const ROOT: &str = "ochredrum/";

pub const LEADER_KEY: &str = "ochredrum/leader";

/// The machine types, as the cloud last told.
pub const TYPES_KEY: &str = "ochredrum/types";

pub(crate) const NODE_PREFIX: &str = "ochredrum/node/";

pub const MAP_PREFIX: &str = "ochredrum/map/";

pub(crate) const JOB_PREFIX: &str = "ochredrum/job/";

pub(crate) const QUOTA_PREFIX: &str = "ochredrum/quota/";

/// Bytes of a key at most.
pub(crate) const LONGEST_KEY: usize = 200;

pub fn node_key(node: &Node) -> String {
    format!("{NODE_PREFIX}{node}")
}

pub fn job_key(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Where a team's grants are stored; None if its name can't be part of a key.
pub fn quota_key(team: &Team) -> Option<String> {
    let key = format!("{QUOTA_PREFIX}{team}");
    let valid = key.len() <= LONGEST_KEY && !key.contains(char::is_whitespace);
    valid.then_some(key)
}

/// Where the owners of teams are stored.
pub fn teams_key() -> String {
    format!("{MAP_PREFIX}teams")
}
