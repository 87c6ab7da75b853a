//! Scheduling policy without side effects: which machines satisfy a job, how tasks are packed onto
//! them, what a team's quota allows, and which demand is to be expected.

pub mod catalog;
pub mod constraints;
pub mod forecast;
pub mod opportunistic;
pub mod packing;
pub mod placement;
pub mod usage;
