//! The state of an unfinished job and its tasks in the shard that owns its team.

pub mod failures;
pub mod job;
