//! Scheduling policy without side effects: machine types, constraints of jobs, packing of tasks onto
//! machines, quotas of teams and the forecast of demand.

pub mod catalog;
pub mod constraints;
pub mod forecast;
pub mod opportunistic;
pub mod packing;
pub mod placement;
pub mod usage;
