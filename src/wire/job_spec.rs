//! The description of a job, as job records store it.
//!
//! Protocol names: `sweep` (job array), `ensemble` (gang), `standing` (service); `best_effort`,
//! `standard`, `high`, `critical` (priorities). The field names of submissions are mapped in
//! [`super::submission`]; the short names here are those of stored records.

use super::submission::JOB_ID_PREFIX;
use crate::ids::{Image, JobId, MachineTypeName, Team, Zone};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// How the tasks of a job are scheduled.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobKind {
    /// A job array: tasks do not depend on one another.
    #[serde(rename = "sweep")]
    Array,
    /// Gang scheduling: all tasks run at the same time or none does.
    #[serde(rename = "ensemble")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// The priority of a job; greater values are more urgent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Priority {
    /// Best effort: the least urgent jobs.
    #[serde(rename = "best_effort")]
    Low,
    /// The priority of ordinary jobs.
    #[serde(rename = "standard")]
    Normal,
    /// More urgent than ordinary jobs.
    #[serde(rename = "high")]
    High,
    /// Production services: the most urgent jobs.
    #[serde(rename = "critical")]
    Production,
}

impl Priority {
    /// Number of priorities, for arrays that have one element per priority.
    pub const COUNT: usize = Self::Production as usize + 1;
}

/// A job as its user submitted it. Job records store it under short field names to stay small.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    /// The workload class, which service-level objectives refer to.
    #[serde(rename = "c")]
    pub class: String,
    /// The team whose guarantee and limit the job's tasks count towards.
    #[serde(rename = "t")]
    pub team: Team,
    /// How the job's tasks are scheduled.
    #[serde(rename = "k")]
    pub kind: JobKind,
    /// Urgency relative to other jobs.
    #[serde(rename = "p")]
    pub priority: Priority,
    /// Number of tasks of the job, at least 1.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// CPUs of one task.
    #[serde(rename = "cpu")]
    pub cpus: f64,
    /// GPUs of one task.
    #[serde(rename = "gpu")]
    pub gpus: f64,
    /// Memory of one task, in GB.
    #[serde(rename = "mem")]
    pub memory_gb: f64,
    /// The image that tasks run.
    #[serde(rename = "img")]
    pub image: Image,
    /// Size of the image, in GB.
    #[serde(rename = "igb")]
    pub image_gb: f64,
    /// The machine types that tasks may run on; `None` allows all.
    #[serde(rename = "ty", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<MachineTypeName>>,
    /// The zone that tasks must run in; `None` allows all.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Zone>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "oz", default, skip_serializing_if = "is_false")]
    pub one_zone: bool,
    /// Whether the tasks must be spread over zones: no zone may hold more than half of them (rounded up).
    #[serde(rename = "sp", default, skip_serializing_if = "is_false")]
    pub spread: bool,
    /// Whether tasks may run on spot instances.
    #[serde(default, skip_serializing_if = "is_false")]
    pub spot: bool,
    /// The user's estimate of how long a task runs, in seconds.
    #[serde(rename = "est")]
    pub estimate_s: f64,
    /// Seconds between two checkpoints of a task; 0 if it writes none.
    #[serde(rename = "ck")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a task takes to write a checkpoint.
    #[serde(rename = "sv")]
    pub checkpoint_write_s: f64,
    /// Seconds from the submission within which the job should complete; `None` without a deadline.
    #[serde(rename = "dl", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this job starts.
    #[serde(
        rename = "aw",
        default,
        skip_serializing_if = "Vec::is_empty",
        serialize_with = "serialize_dependencies",
        deserialize_with = "deserialize_dependencies"
    )]
    pub dependencies: Vec<JobId>,
}

/// Serializes job ids as one string, separated by spaces and without their common prefix, so that hundreds
/// of ids fit into a stored value.
fn serialize_dependencies<S: Serializer>(
    dependencies: &[JobId],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let numbers = dependencies.iter().map(|id| {
        id.as_str()
            .strip_prefix(JOB_ID_PREFIX)
            .unwrap_or(id.as_str())
    });
    serializer.serialize_str(&numbers.collect::<Vec<_>>().join(" "))
}

/// The inverse of [`serialize_dependencies`].
fn deserialize_dependencies<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<JobId>, D::Error> {
    let numbers = String::deserialize(deserializer)?;
    let ids = numbers
        .split_whitespace()
        .map(|number| JobId::from(format!("{JOB_ID_PREFIX}{number}")));
    Ok(ids.collect())
}

fn is_false(value: &bool) -> bool {
    !value
}
