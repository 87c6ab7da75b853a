//! Staged failure detection among the controllers of a fleet.
//!
//! Every controller runs one [`Detector`], which assigns a [`Stage`] to every other controller: alive,
//! suspected, confirmed failed, or handed over. The detector does no I/O and reads no clock. The caller
//! passes in evidence and the time, and receives changes of stage. The same inputs give the same stages.
//! The memory of a detector is bounded by the square of the number of controllers.
//!
//! A stage only indicates which controllers are likely to reply. It never authorizes one controller to act
//! in place of another. That authorization must come from elsewhere, such as an expired lease.

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

/// Distinguishes a process of a controller from earlier and later processes at the same address.
/// Incarnations have no order in time.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(
    /// Number by which messages identify the process.
    pub u64,
);
