//! The published protocol: every message that users, workers, the cloud and the key-value store
//! exchange with a controller, as MessagePack.
//!
//! The protocol uses unusual names. Each one is mapped to the usual term once, in the serde attributes and
//! constants of the submodules; the rest of the program uses the usual terms. Each submodule lists the
//! names that it maps.

mod answers;
mod cloud;
mod job_spec;
mod store;
mod submission;
mod workers;

use serde::Serialize;
use serde::de::DeserializeOwned;

pub use answers::{JobStatus, progress_answer, redirect_answer, status_answer};
pub use cloud::{
    ListedMachine, MachineIds, MachineList, MachineState, MachineType, MachineTypes, Rental,
};
pub use job_spec::{JobKind, JobSpec, Priority};
pub use store::{
    Change, Changes, CommitResponse, Entry, LeaseRequest, LeaseResponse, Listing, Precondition,
    Transaction, Write,
};
pub use submission::{SubmissionError, is_valid_job_id, parse_submission};
pub use workers::{
    Command, DirectCommands, ExitReason, Heartbeat, HeartbeatResponse, ReportedTask, TaskState,
};

/// The protocol's limit on the size of a request body, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Encodes a message as MessagePack.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // The types of this crate hold nothing that MessagePack cannot represent, so encoding does not fail.
    // If it did, the receiver would reject the empty body.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Decodes a message from MessagePack; `None` if the bytes are not a valid `T`.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    rmp_serde::from_slice(body).ok()
}

#[cfg(test)]
mod tests;
