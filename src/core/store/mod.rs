//! TODO.

pub mod cancelled_jobs;
pub mod dependencies;
pub mod replica;
