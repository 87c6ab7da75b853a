//! The state of machines in a controller: their attempts, the start commands in flight to them, claims of
//! machines that cannot reach their owners, and declarations that a machine is unresponsive.

pub mod claims;
pub mod machine;
pub mod starts_in_flight;
pub mod task_index;
pub mod unresponsive;
