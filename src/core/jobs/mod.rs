//! TODO.

pub mod failures;
pub mod job;
