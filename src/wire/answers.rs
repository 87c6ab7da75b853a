//! Answers to users, and redirects of workers to another controller.
//!
//! Protocol names: `nameId` (job id), `stance` (status of a job), `withdrawn` (cancelled),
//! `conductor` (the controller that a worker is redirected to).
//!
//! Answers are untyped JSON values because a controller may relay another controller's answer to a user.

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

/// The answer to a poll: the fields of [`status_answer`] and the numbers of completed and running tasks.
pub fn progress_answer(id: &JobId, status: JobStatus, done: u32, running: u32) -> Value {
    json!({"nameId": id, "stance": status, "done": done, "running": running})
}

/// The answer that redirects a worker's heartbeats to `controller`; if that is `None`, the worker tries any
/// other controller.
pub fn redirect_answer(controller: Option<&ControllerName>) -> Value {
    match controller {
        Some(controller) => json!({"conductor": controller}),
        None => json!({}),
    }
}
