//! The messages that controllers send each other.

pub mod capacity_demand;
pub mod detection;
pub mod final_states;
pub mod mesh;
pub mod shard_update;
