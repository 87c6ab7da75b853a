//! Final states of jobs, which controllers send each other while the store does not answer them.

use crate::core::records::job_record::JobRecord;
use crate::ids::{JobId, Version};
use serde::{Deserialize, Serialize};

/// A page of the final states that a controller knows after the version from which it was asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinalStates {
    /// A receiver that applies this page knows all final states up to this version.
    pub upto: Version,
    /// Whether the page holds all that its sender knew.
    pub complete: bool,
    /// Jobs with the versions of their final records.
    pub jobs: Vec<(JobId, Version, JobRecord)>,
}
