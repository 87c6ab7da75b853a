//! TODO.

pub mod catalog;
pub mod constraints;
pub mod forecast;
pub mod opportunistic;
pub mod packing;
pub mod placement;
pub mod usage;
