//! Staged failure detection among the controllers of a fleet.
//!
//! Every controller runs one [`Detector`], which judges every other controller: alive, suspected,
//! confirmed failed, handed over. It does no I/O and reads no clock: evidence and the time are passed in,
//! changes of stage are returned, and the same inputs give the same judgements. Its memory is bounded by
//! the square of the number of controllers.
//!
//! A stage is a hint about which controllers are worth asking. It never authorizes one controller to act in
//! place of another: that right must come from elsewhere, such as an expired lease.

#![warn(missing_docs)]

mod detector;
mod interval;
mod local_health;
mod opinion;
mod partial_failure;
mod peer;
mod settings;

pub use detector::{Detector, StageChange};
pub use opinion::{Opinion, ReceivedOpinion};
pub use partial_failure::{ControllerContacts, PartialFailure};
pub use peer::{Evidence, Stage};
pub use settings::{MIN_SUSPECT_HEARTBEATS, SUSPECT_HEARTBEATS, Settings};

/// Seconds on the observer's monotonic clock.
pub type Seconds = f64;

/// Distinguishes a process of a controller from earlier and later ones at the same address. Incarnations
/// have no order.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(
    /// The number that messages carry.
    pub u64,
);
