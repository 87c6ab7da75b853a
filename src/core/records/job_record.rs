//! The record of a job in the key-value store.

use crate::core::model::ranges::TaskIndexRanges;
use crate::core::model::resources::Resources;
use crate::ids::Team;
use crate::wire::{JobSpec, JobStatus};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The state of a job that is kept in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredJob", into = "StoredJob")]
pub struct JobRecord {
    /// Whether it is pending, done or cancelled.
    #[serde(rename = "stance")]
    pub status: JobStatus,
    /// When it was accepted, by the wall clock of the controller that accepted it, in milliseconds.
    pub accepted_ms: u64,
    /// Number of tasks of the job.
    pub tasks: u32,
    /// Indexes of the tasks that are recorded as done.
    pub done: TaskIndexRanges,
    /// The job's specification. Final records omit it, because they are kept permanently and should stay
    /// small.
    pub spec: Option<Rc<JobSpec>>,
    /// When it was done or cancelled, by the wall clock of the controller that recorded it, in milliseconds;
    /// `None` while it is unfinished.
    pub ended_ms: Option<u64>,
    /// The tasks of a cancelled job that may still be running. They count towards the limit of their team
    /// until they have stopped. `None` unless the job is cancelled.
    #[serde(rename = "leaving")]
    pub terminating: Option<TerminatingTasks>,
}

/// The serialized form of a [`JobRecord`].
#[derive(Clone, Serialize, Deserialize)]
struct StoredJob {
    #[serde(rename = "s")]
    status: JobStatus,
    #[serde(rename = "at")]
    accepted_ms: u64,
    #[serde(rename = "n")]
    tasks: u32,
    #[serde(
        rename = "d",
        default,
        skip_serializing_if = "TaskIndexRanges::is_empty"
    )]
    done: TaskIndexRanges,
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    spec: Option<Rc<JobSpec>>,
    /// The specification of a job with dependencies, stored here instead of in `j`. A release that does not
    /// know dependencies reads a job without a specification: it answers polls of the job and can cancel it,
    /// but never starts it or rewrites its record.
    #[serde(rename = "jd", default, skip_serializing_if = "Option::is_none")]
    dependent: Option<Rc<JobSpec>>,
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    ended_ms: Option<u64>,
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    terminating: Option<TerminatingTasks>,
}

impl From<StoredJob> for JobRecord {
    fn from(stored: StoredJob) -> Self {
        let StoredJob {
            status,
            accepted_ms,
            tasks,
            done,
            ended_ms,
            terminating,
            ..
        } = stored;
        let spec = stored.spec.or(stored.dependent);
        Self {
            status,
            accepted_ms,
            tasks,
            done,
            spec,
            ended_ms,
            terminating,
        }
    }
}

impl From<JobRecord> for StoredJob {
    fn from(record: JobRecord) -> Self {
        let JobRecord {
            status,
            accepted_ms,
            tasks,
            done,
            spec,
            ended_ms,
            terminating,
        } = record;
        let (dependent, spec) = match spec {
            Some(spec) if !spec.dependencies.is_empty() => (Some(spec), None),
            spec => (None, spec),
        };
        Self {
            status,
            accepted_ms,
            tasks,
            done,
            spec,
            dependent,
            ended_ms,
            terminating,
        }
    }
}

/// Tasks of a cancelled job that may still be running.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TerminatingTasks {
    /// The team of the job. The tasks count towards its limit.
    #[serde(rename = "t")]
    pub team: Team,
    /// Number of tasks that were not done when the job was cancelled.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Resources that each task uses.
    #[serde(rename = "r")]
    pub need: Resources,
}

impl JobRecord {
    /// Returns whether the job is done or cancelled. Such a job never changes again.
    pub fn is_final(&self) -> bool {
        matches!(self.status, JobStatus::Done | JobStatus::Cancelled)
    }

    /// Returns the final record of this job when it is done. `wall_ms` is the wall-clock time of its end in
    /// milliseconds.
    pub fn to_done(&self, wall_ms: u64) -> Self {
        let (done, ended_ms) = (TaskIndexRanges::default(), Some(wall_ms));
        Self {
            status: JobStatus::Done,
            done,
            spec: None,
            ended_ms,
            ..self.clone()
        }
    }

    /// Returns the final record of this job when it is cancelled. `wall_ms` is the wall-clock time of its end
    /// in milliseconds.
    pub fn to_cancelled(&self, wall_ms: u64) -> Self {
        let terminating = self.spec.as_ref().map(|spec| TerminatingTasks {
            team: spec.team.clone(),
            tasks: self.tasks.saturating_sub(self.done.len()),
            need: Resources::of(spec),
        });
        Self {
            status: JobStatus::Cancelled,
            terminating,
            ..self.to_done(wall_ms)
        }
    }

    /// Returns the final record of this job when it is cancelled because a dependency was cancelled. The
    /// dependency was never done, so no task of this job has started and none can be running.
    pub fn to_cancelled_unstarted(&self, wall_ms: u64) -> Self {
        let mut record = self.to_cancelled(wall_ms);
        if let Some(terminating) = &mut record.terminating {
            terminating.tasks = 0;
        }
        record
    }
}
