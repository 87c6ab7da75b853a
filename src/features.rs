//! What an installation switches on beyond the service as it was: a file of its own, named on the
//! command line and checked as a whole before anything starts. Without it all is off.

use failure_detector::{LEAST_SUSPECT_HEARTBEATS, SUSPECT_HEARTBEATS};
use garde::Validate;
use quota_ledger::Headroom;
use schemars::JsonSchema;
use serde::Deserialize;
use std::path::Path;

/// Why a file of features can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FeaturesError {
    /// It can't be read.
    #[error("cannot read features file {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// It is no TOML, a value has the wrong type, or a field is not known.
    #[error("features: {0}")]
    Parse(String),
    /// A value is out of its range.
    #[error("features: {0}")]
    Invalid(String),
}

/// What is switched on.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Features {
    /// Team limits held by grants in the state service.
    #[garde(dive)]
    pub quota_ledger: Option<QuotaLedger>,
    /// Failures of controllers noticed in stages, and what is prepared and given up early.
    #[garde(dive)]
    pub failure_detection: Option<FailureDetection>,
}

/// Settings of the detection of failed controllers.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FailureDetection {
    /// Whether controllers act on what it finds.
    #[garde(skip)]
    pub enabled: bool,
    /// Heartbeats (twentieths of `lease_s`) without an answer after which a controller is suspected.
    #[garde(custom(is_number), range(min = LEAST_SUSPECT_HEARTBEATS, max = 8.0))]
    pub suspect_heartbeats: f64,
}

/// Settings of the grants of team limits.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct QuotaLedger {
    /// Whether it is on.
    #[garde(skip)]
    pub enabled: bool,
    /// Part of a team's limit that its owner holds beyond what is used, so that ordinary starts wait
    /// for no write. A new owner can't use it until all machines have told what they hold.
    #[garde(custom(is_number), range(min = 0.01, max = 1.0))]
    pub headroom: f64,
    /// Leases of workers (`lease_s`) after which an owner gives back what it does not need.
    #[garde(custom(is_number), range(min = 0.1, max = 1000.0))]
    pub give_back_leases: f64,
}

/// A range alone lets through what is no number.
fn is_number(value: &f64, _: &()) -> garde::Result {
    match value.is_nan() {
        true => Err(garde::Error::new("not a number")),
        false => Ok(()),
    }
}

impl Features {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, FeaturesError> {
        let text = std::fs::read_to_string(path).map_err(|source| FeaturesError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Reads and checks a text.
    pub fn parse(text: &str) -> Result<Self, FeaturesError> {
        let one_line = |text: String| text.trim().replace('\n', " | ");
        let features: Self =
            toml::from_str(text).map_err(|e| FeaturesError::Parse(one_line(e.to_string())))?;
        features
            .validate()
            .map_err(|report| FeaturesError::Invalid(one_line(report.to_string())))?;
        Ok(features)
    }

    /// Heartbeats without an answer after which a controller is suspected.
    pub fn suspect_heartbeats(&self) -> f64 {
        let detection = self
            .failure_detection
            .as_ref()
            .filter(|detection| detection.enabled);
        detection.map_or(SUSPECT_HEARTBEATS, |detection| detection.suspect_heartbeats)
    }

    /// Whether controllers act on what the detection of failures finds.
    pub fn acts_on_failures(&self) -> bool {
        self.failure_detection
            .as_ref()
            .is_some_and(|detection| detection.enabled)
    }

    /// The rule by which grants of team limits grow and shrink, if they are on.
    pub fn headroom(&self, lease_s: f64) -> Option<Headroom> {
        let ledger = self.quota_ledger.as_ref().filter(|ledger| ledger.enabled)?;
        let patience_s = ledger.give_back_leases * lease_s;
        Some(Headroom {
            part_of_limit: ledger.headroom,
            patience_s,
        })
    }
}

#[cfg(test)]
mod tests;
