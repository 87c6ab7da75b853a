//! Findings that controllers exchange to detect failed controllers.

use crate::core::model::time::Time;
use crate::ids::ControllerName;
use failure_detector::Opinion;
use serde::{Deserialize, Serialize};

/// The findings of a process that takes part in failure detection; part of every hello and reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DetectionReport {
    /// Its opinions of its siblings.
    #[serde(rename = "o")]
    pub opinions: Vec<Opinion<ControllerName>>,
    /// Seconds since the store last answered it.
    #[serde(rename = "s")]
    pub store_silence: Time,
    /// The lease of its previous incarnation, which has stepped down though its key may still exist.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub abandoned_lease: Option<AbandonedLease>,
}

/// The lease of an incarnation that has stepped down. Its keys are attached to it until it ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AbandonedLease {
    /// The incarnation that has stepped down.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// The id of its lease in the store.
    #[serde(rename = "l")]
    pub lease: u64,
}
