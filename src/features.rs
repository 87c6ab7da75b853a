//! The optional features file, which enables features that are off by default. Its path is given on the
//! command line, and it is validated before anything starts.
//!
//! `ochredrum schema features` prints the JSON schema of the file, including the doc comments of its types.

use failure_detector::{MIN_SUSPECT_HEARTBEATS, SUSPECT_HEARTBEATS};
use garde::Validate;
use quota_ledger::HeadroomPolicy;
use schemars::JsonSchema;
use serde::Deserialize;
use std::path::Path;

/// Why a features file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum FeaturesError {
    /// The file cannot be read.
    #[error("cannot read features file {path}: {source}")]
    Read {
        /// Path of the file, as given on the command line.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, a value has the wrong type, or a field is missing or unknown. Holds the
    /// parser's message on one line.
    #[error("features: {0}")]
    Parse(String),
    /// A value is out of range. Holds the names of the fields and their problems on one line.
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
    #[garde(custom(require_number), range(min = MIN_SUSPECT_HEARTBEATS, max = 8.0))]
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
    #[garde(custom(require_number), range(min = 0.01, max = 1.0))]
    pub headroom: f64,
    /// Leases of workers (`lease_s`) after which an owner gives back what it does not need.
    #[garde(custom(require_number), range(min = 0.1, max = 1000.0))]
    pub give_back_leases: f64,
}

/// Rejects NaN, which a range check accepts.
fn require_number(value: &f64, _: &()) -> garde::Result {
    if value.is_nan() {
        Err(garde::Error::new("not a number"))
    } else {
        Ok(())
    }
}

impl Features {
    /// Reads and validates a features file.
    pub fn load(path: &Path) -> Result<Self, FeaturesError> {
        let text = std::fs::read_to_string(path).map_err(|source| FeaturesError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a features file.
    pub fn parse(text: &str) -> Result<Self, FeaturesError> {
        let one_line = |text: String| text.trim().replace('\n', " | ");
        let features: Self = toml::from_str(text)
            .map_err(|error| FeaturesError::Parse(one_line(error.to_string())))?;
        features
            .validate()
            .map_err(|report| FeaturesError::Invalid(one_line(report.to_string())))?;
        Ok(features)
    }

    /// Unanswered heartbeats after which a controller is suspected: the configured number if failure
    /// detection is enabled, else the default.
    pub fn suspect_heartbeats(&self) -> f64 {
        let detection = self
            .failure_detection
            .as_ref()
            .filter(|detection| detection.enabled);
        detection.map_or(SUSPECT_HEARTBEATS, |detection| detection.suspect_heartbeats)
    }

    /// Whether controllers act on detected failures, which they do if failure detection is enabled.
    pub fn acts_on_failures(&self) -> bool {
        self.failure_detection
            .as_ref()
            .is_some_and(|detection| detection.enabled)
    }

    /// The rule by which grants of team limits grow and shrink; `None` if the quota ledger is not enabled.
    /// `lease_s` is the workers' lease in seconds.
    pub fn headroom(&self, lease_s: f64) -> Option<HeadroomPolicy> {
        let ledger = self.quota_ledger.as_ref().filter(|ledger| ledger.enabled)?;
        Some(HeadroomPolicy {
            limit_fraction: ledger.headroom,
            surplus_delay_s: ledger.give_back_leases * lease_s,
        })
    }
}

#[cfg(test)]
mod tests;
