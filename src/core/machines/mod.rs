//! TODO.

pub mod claims;
pub mod machine;
pub mod starts_in_flight;
pub mod task_index;
pub mod unresponsive;
