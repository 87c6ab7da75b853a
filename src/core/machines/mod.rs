//! Machines as the controllers that schedule on them know them: their state, the start commands in
//! flight to them, the attempts on them, and the claims and silences that concern their owners.

pub mod claims;
pub mod machine;
pub mod starts_in_flight;
pub mod task_index;
pub mod unresponsive;
