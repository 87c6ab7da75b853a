//! Days that are drawn from a seed.

mod crowded;
mod meeting;
mod orders;
mod random;
mod rough;
mod upgrade;

pub use crowded::crowded_day;
pub use meeting::meeting_day;
pub use orders::order_day;
pub use random::random_day;
pub use rough::rough_day;
pub use upgrade::upgrade_day;
