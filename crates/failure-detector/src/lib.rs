//! Staged failure detection among the controllers of a fleet.
//!
//! Every controller runs one [`Detector`], which judges every other one: alive, suspected, confirmed
//! failed, handed over. It does no I/O and reads no clock: evidence and the time come in, changes of stage
//! come out, and the same inputs give the same judgements. Its memory is bounded by the square of the number
//! of controllers.
//!
//! A stage is a hint about who is worth asking. It gives nobody the right to act in place of another:
//! that right has to come from elsewhere, such as a lease that has ended.

#![warn(missing_docs)]

mod detector;
mod interval;
mod local_health;
mod opinion;
mod partial;
mod peer;
mod settings;

pub use detector::{Detector, StageChange};
pub use opinion::Opinion;
pub use partial::{OwnContact, PartialFailure};
pub use peer::{Evidence, Stage};
pub use settings::{LEAST_SUSPECT_HEARTBEATS, SUSPECT_HEARTBEATS, Settings};

/// Seconds on the observer's steady clock.
pub type Seconds = f64;

/// Tells one process of a controller from the next under the same address. Incarnations have no order.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
