//! TODO.

pub mod process;
pub mod ranges;
pub mod resources;
pub mod time;
pub mod token_bucket;
