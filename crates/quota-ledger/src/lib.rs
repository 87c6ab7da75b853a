//! Divides the limits of teams into grants for controllers (escrow).
//!
//! A team's limit is divided into grants, one for each controller that may start tasks of the team. All
//! grants of a team are in one record of a consistent key-value store, and every change of the record is a
//! compare-and-swap on its version. The sum of the grants never exceeds the limit, and a controller starts
//! only tasks that its own grant covers. So the limit holds even if controllers are wrong about each other.
//!
//! - [`amount`]: amounts and limits of CPUs and GPUs, in thousandths.
//! - [`record`]: the stored record and its changes, as pure functions.
//! - [`headroom`]: the capacity that a holder requests beyond its usage, and when it returns a surplus.
//! - [`holder`]: the state of one controller: its usable grant and its next change of the record.
//!
//! The library does no I/O and reads no clock.

#![warn(missing_docs)]

pub mod amount;
pub mod headroom;
pub mod holder;
pub mod record;

pub use amount::{Amount, Limit};
pub use headroom::HeadroomPolicy;
pub use holder::{Demand, EndedHolders, Holder, Proposal, WriteOutcome};
pub use record::{ChangeError, Grant, HolderId, RecordError, TeamLedger};
