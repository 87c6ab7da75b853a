use crate::core::records::job_record::JobRecord;
use crate::ids::{JobId, Version};
use serde::{Deserialize, Serialize};

/// Final states that a controller knows beyond those that another one asked from.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinalStates {
    /// Who takes these in knows all up to here.
    pub upto: Version,
    /// Nothing that its sender knew is left out.
    pub complete: bool,
    pub jobs: Vec<(JobId, Version, JobRecord)>,
}
