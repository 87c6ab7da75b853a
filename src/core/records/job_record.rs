use crate::core::model::ranges::Ranges;
use crate::core::model::resources::Resources;
use crate::ids::Team;
use crate::wire::{JobSpec, JobStatus};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// A job as known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredJob", into = "StoredJob")]
pub struct JobRecord {
    #[serde(rename = "stance")]
    pub status: JobStatus,
    /// When it was accepted, by the accepting controller's time of day.
    pub accepted_ms: u64,
    pub tasks: u32,
    pub done: Ranges,
    /// Final states do without, so that keeping them for ever costs little.
    pub spec: Option<Rc<JobSpec>>,
    /// When it was done or cancelled, by the time of day of who wrote so.
    pub ended_ms: Option<u64>,
    /// Of a cancelled job: what its tasks take until they have gone, for so long they count towards
    /// their team's limit.
    #[serde(rename = "leaving")]
    pub terminating: Option<TerminatingTasks>,
}

/// A job as stored.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct StoredJob {
    #[serde(rename = "s")]
    pub(crate) status: JobStatus,
    #[serde(rename = "at")]
    pub(crate) accepted_ms: u64,
    #[serde(rename = "n")]
    pub(crate) tasks: u32,
    #[serde(rename = "d", default, skip_serializing_if = "Ranges::is_empty")]
    pub(crate) done: Ranges,
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    pub(crate) spec: Option<Rc<JobSpec>>,
    /// In place of `j` if it has dependencies. To a version that doesn't know them the job is one
    /// without a description: it answers for it and cancels it, but never starts or rewrites it.
    #[serde(rename = "jd", default, skip_serializing_if = "Option::is_none")]
    pub(crate) dependent: Option<Rc<JobSpec>>,
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub(crate) ended_ms: Option<u64>,
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub(crate) terminating: Option<TerminatingTasks>,
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

/// What may be left of a cancelled job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TerminatingTasks {
    #[serde(rename = "t")]
    pub team: Team,
    #[serde(rename = "n")]
    pub tasks: u32,
    #[serde(rename = "r")]
    pub need: Resources,
}

impl JobRecord {
    pub fn is_final(&self) -> bool {
        matches!(self.status, JobStatus::Done | JobStatus::Cancelled)
    }

    pub fn done(&self, wall_ms: u64) -> Self {
        let (done, ended_ms) = (Ranges::default(), Some(wall_ms));
        Self {
            status: JobStatus::Done,
            done,
            spec: None,
            ended_ms,
            ..self.clone()
        }
    }

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

    /// Cancelled with what it needs: that was never done, so none of its tasks ever began.
    pub fn cancelled_unstarted(&self, wall_ms: u64) -> Self {
        let mut record = self.cancelled(wall_ms);
        record
            .terminating
            .iter_mut()
            .for_each(|terminating| terminating.tasks = 0);
        record
    }
}
