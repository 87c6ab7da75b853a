//! What a controller answers to users, and where it redirects workers.
//!
//! Protocol words: `nameId` (job id), `stance` (status of a job), `withdrawn` (cancelled),
//! `conductor` (the controller that a worker is redirected to).
//!
//! Answers are untyped JSON values since one controller may relay another's answer to a user.

use crate::ids::{ControllerName, JobId};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The status of a job, as users see it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task of the job runs.
    #[serde(rename = "pending")]
    Pending,
    /// At least one task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks have completed; final.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user, or because a job that it depends on was cancelled; final.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// The answer to a submission or cancellation: the job's id and status.
pub fn status_answer(id: &JobId, status: JobStatus) -> Value {
    json!({"nameId": id, "stance": status})
}

/// The answer to a poll: as [`status_answer`], with the number of tasks that are done and that run.
pub fn progress_answer(id: &JobId, status: JobStatus, done: u32, running: u32) -> Value {
    json!({"nameId": id, "stance": status, "done": done, "running": running})
}

/// The answer that tells a worker which controller to send its heartbeats to; without one the worker
/// tries any other.
pub fn redirect_answer(node: Option<&ControllerName>) -> Value {
    match node {
        Some(node) => json!({"conductor": node}),
        None => json!({}),
    }
}
