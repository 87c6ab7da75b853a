//! Final states of jobs, which a controller requests from its siblings while it cannot read the store.

use crate::core::records::job_record::JobRecord;
use crate::ids::{JobId, Version};
use serde::{Deserialize, Serialize};

/// A page of the final states that a controller knows after the requested version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinalStates {
    /// The version up to which the receiver knows all final states after it has applied this page.
    #[serde(rename = "upto")]
    pub known_up_to: Version,
    /// Whether no further page follows.
    pub complete: bool,
    /// Jobs with their final records and the versions of these records.
    pub jobs: Vec<(JobId, Version, JobRecord)>,
}
