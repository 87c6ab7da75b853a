//! The records in the key-value store, their keys and their versions.

pub mod job_record;
pub mod keys;
pub mod process_record;
pub mod shard_map;
pub mod versioned;
