//! Days that are drawn from a seed.

mod orders;

pub use orders::order_day;
