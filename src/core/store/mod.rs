//! The local replica of the key-value store: its records, the indexes derived from them, and the reads that
//! keep it current.

pub mod cancelled_jobs;
pub mod dependencies;
pub mod replica;
