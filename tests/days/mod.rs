//! Generators of days: scenarios whose jobs and faults are drawn from a seed.

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

/// The seeds `first-last` that an environment variable selects, or the default ones.
pub fn seed_range(variable: &str, default: &str) -> std::ops::RangeInclusive<u64> {
    let seeds = std::env::var(variable).unwrap_or_else(|_| default.into());
    let (first, last) = seeds.split_once('-').expect("first-last");
    first.parse().expect("a number")..=last.parse().expect("a number")
}
