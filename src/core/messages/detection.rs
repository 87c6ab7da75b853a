//! Reports that controllers exchange to detect failed controllers.

use crate::core::model::time::Time;
use crate::ids::ControllerName;
use failure_detector::Opinion;
use serde::{Deserialize, Serialize};

/// The report of a process that takes part in failure detection. Every hello and every reply to one contains
/// it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DetectionReport {
    /// The process's opinion of each sibling.
    #[serde(rename = "o")]
    pub opinions: Vec<Opinion<ControllerName>>,
    /// Seconds since the store last replied to the process.
    #[serde(rename = "s")]
    pub store_silence: Time,
    /// The lease of the previous incarnation, which has stepped down while its key may still exist. `None` if
    /// there is no such lease.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub abandoned_lease: Option<AbandonedLease>,
}

/// The lease of an incarnation that has stepped down. The incarnation's keys exist until the lease ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AbandonedLease {
    /// The incarnation that has stepped down.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// The id that the store gave the lease.
    #[serde(rename = "l")]
    pub lease: u64,
}
