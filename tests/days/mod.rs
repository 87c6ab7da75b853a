//! Days that are drawn from a seed.

mod crowded;
mod orders;

pub use crowded::crowded_day;
pub use orders::order_day;
