//! Days that are drawn from a seed.

mod command_faults;
mod interacting_faults;
mod many_machines;
mod overlapping_faults;
mod random;
mod upgrade;

pub use command_faults::command_faults_day;
pub use interacting_faults::interacting_faults_day;
pub use many_machines::many_machines_day;
pub use overlapping_faults::overlapping_faults_day;
pub use random::random_day;
pub use upgrade::upgrade_day;
