//! Unfinished jobs in the shard that owns their team: the states of their tasks and their failures.

pub mod failures;
pub mod job;
