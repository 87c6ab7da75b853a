//! Escrow of team limits.
//!
//! A team's limit is divided into grants, one for each controller that may start tasks of the team.
//! The grants of a team stand in one record of a consistent store, and every change of the record is
//! guarded by its version. The sum of the grants never passes the limit, and a controller starts
//! only what its own grant covers, so the limit holds whatever controllers believe of one another.
//!
//! - [`amount`]: amounts and limits of CPUs and GPUs, in thousandths.
//! - [`record`]: the stored record and its changes, as pure functions.
//! - [`headroom`]: how much more than is used a holder asks for, and when it gives back.
//! - [`holder`]: one controller's side: what it may use, and what it writes next.
//!
//! The library does no I/O and reads no clock.

pub mod amount;
pub mod headroom;
pub mod holder;
pub mod record;

pub use amount::{Amount, Limit};
pub use headroom::Headroom;
pub use holder::{Demand, Ended, Holder, Outcome, Proposal};
pub use record::{Grant, HolderId, RecordError, Refusal, TeamLedger};
