//! Membership of the fleet: tracks which controllers are alive and how long each may act as the owner of its
//! shard.

pub mod failure_detection;
pub mod ownership;
pub mod peers;
pub mod process_pause;
