//! Basic types of the core: time, resources, sets of task indexes, rate limits and process identities.

pub mod process;
pub mod ranges;
pub mod resources;
pub mod time;
pub mod token_bucket;
