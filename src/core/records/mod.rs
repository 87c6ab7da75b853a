//! The records that the key-value store holds, and the keys under which they are stored.

pub mod job_record;
pub mod keys;
pub mod process_record;
pub mod shard_map;
pub mod versioned;
