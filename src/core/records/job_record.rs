//! The stored record of a job.

use crate::core::model::ranges::TaskIndexRanges;
use crate::core::model::resources::Resources;
use crate::ids::Team;
use crate::wire::{JobSpec, JobStatus};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// What the store holds of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredJob", into = "StoredJob")]
pub struct JobRecord {
    /// Whether it is pending, done or cancelled.
    #[serde(rename = "stance")]
    pub status: JobStatus,
    /// When it was accepted, by the accepting controller's wall clock, in milliseconds.
    pub accepted_ms: u64,
    /// Number of its tasks.
    pub tasks: u32,
    /// Indexes of the tasks that are recorded as done.
    pub done: TaskIndexRanges,
    /// Its description; final records omit it, because they are kept permanently and should stay small.
    pub spec: Option<Rc<JobSpec>>,
    /// When it was done or cancelled, by the writing controller's wall clock, in milliseconds.
    pub ended_ms: Option<u64>,
    /// Of a cancelled job: the tasks that may still be running. They count towards their team's limit until
    /// they have stopped.
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
    /// The description of a job with dependencies, in place of `j`. A release that does not know dependencies
    /// sees a job without a description: it answers polls and cancels the job, but never starts or rewrites it.
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
    /// The job's team.
    #[serde(rename = "t")]
    pub team: Team,
    /// Number of tasks that were not done.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Resources of each task.
    #[serde(rename = "r")]
    pub need: Resources,
}

impl JobRecord {
    /// Whether the job is done or cancelled, which never changes again.
    pub fn is_final(&self) -> bool {
        matches!(self.status, JobStatus::Done | JobStatus::Cancelled)
    }

    /// The final record of this job, done at `wall_ms`.
    pub fn done(&self, wall_ms: u64) -> Self {
        let (done, ended_ms) = (TaskIndexRanges::default(), Some(wall_ms));
        Self {
            status: JobStatus::Done,
            done,
            spec: None,
            ended_ms,
            ..self.clone()
        }
    }

    /// The final record of this job, cancelled at `wall_ms`.
    pub fn cancelled(&self, wall_ms: u64) -> Self {
        let terminating = self.spec.as_ref().map(|spec| TerminatingTasks {
            team: spec.team.clone(),
            tasks: self.tasks.saturating_sub(self.done.len()),
            need: Resources::of(spec),
        });
        Self {
            status: JobStatus::Cancelled,
            terminating,
            ..self.done(wall_ms)
        }
    }

    /// The final record of a job cancelled through a dependency: the dependency was never done, so none of its
    /// tasks has started.
    pub fn cancelled_unstarted(&self, wall_ms: u64) -> Self {
        let mut record = self.cancelled(wall_ms);
        if let Some(terminating) = &mut record.terminating {
            terminating.tasks = 0;
        }
        record
    }
}
