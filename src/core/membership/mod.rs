//! TODO.

pub mod failure_detection;
pub mod ownership;
pub mod peers;
pub mod process_pause;
