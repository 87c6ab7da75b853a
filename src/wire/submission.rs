//! Parsing and validation of job submissions.
//!
//! Protocol names: the field names of a submission, which [`field`] maps.

use super::job_spec::JobSpec;
use crate::ids::{JobId, MachineTypeName, Zone};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// The protocol's limit on the number of tasks of a job.
const MAX_TASKS: u64 = 100_000;
/// The prefix of every job id.
pub(super) const JOB_ID_PREFIX: &str = "req-";
/// Number of digits after the prefix of a job id. The protocol defines only the lower bound; the upper
/// bound limits the size of stored ids.
const JOB_ID_DIGITS: std::ops::RangeInclusive<usize> = 6..=20;

/// Field names of a submission in the protocol.
mod field {
    pub const ID: &str = "nameId";
    pub const CLASS: &str = "herd";
    pub const TEAM: &str = "crew";
    pub const KIND: &str = "shape";
    pub const PRIORITY: &str = "urgency";
    pub const TASKS: &str = "beats";
    pub const CPUS: &str = "cores";
    pub const GPUS: &str = "cards";
    pub const MEMORY_GB: &str = "memGb";
    pub const IMAGE: &str = "pressing";
    pub const IMAGE_GB: &str = "sizeGb";
    pub const TYPES: &str = "breeds";
    pub const ZONE: &str = "yard";
    pub const ONE_ZONE: &str = "samePlace";
    pub const SPREAD: &str = "apart";
    pub const SPOT: &str = "loaners";
    pub const ESTIMATE_S: &str = "expectS";
    pub const CHECKPOINT_INTERVAL_S: &str = "markEveryS";
    pub const CHECKPOINT_WRITE_S: &str = "markS";
    pub const DEADLINE_S: &str = "dueS";
    pub const DEPENDENCIES: &str = "awaits";
}

/// Why a request body is not a valid submission. The answer to the user has this text as `error`.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum SubmissionError {
    /// The body is not exactly one MessagePack value.
    #[error("not MessagePack")]
    NotMessagePack,
    /// The body is a MessagePack value other than a map.
    #[error("not a map")]
    NotMap,
    /// The named field is missing, or its value has the wrong type or is out of range.
    #[error("{0}: missing or invalid")]
    Field(&'static str),
}

/// Whether a text has the form of a job id: `req-` and 6 to 20 digits.
pub fn is_valid_job_id(text: &str) -> bool {
    text.strip_prefix(JOB_ID_PREFIX).is_some_and(|digits| {
        JOB_ID_DIGITS.contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}

/// Parses the body of a submission and checks every field against the rules of the protocol.
///
/// The error names the first invalid field. The fields are checked in a fixed order.
pub fn parse_submission(body: &[u8]) -> Result<(JobId, JobSpec), SubmissionError> {
    let map = parse_map(body)?;
    let fields = Fields(&map);
    let id = fields.job_id()?;
    let tasks = fields.required(field::TASKS)?;
    let types = fields.machine_types()?;
    let zone = fields.zone()?;
    let deadline_s = fields.deadline()?;
    let dependencies = fields.dependencies()?;
    let spec = JobSpec {
        class: fields.text(field::CLASS)?.to_owned(),
        team: fields.text(field::TEAM)?.into(),
        kind: fields.keyword(field::KIND)?,
        priority: fields.keyword(field::PRIORITY)?,
        tasks: parse_task_count(tasks)?,
        cpus: fields.amount(field::CPUS)?,
        gpus: fields.amount(field::GPUS)?,
        memory_gb: fields.amount(field::MEMORY_GB)?,
        image: fields.text(field::IMAGE)?.into(),
        image_gb: fields.amount(field::IMAGE_GB)?,
        types,
        zone,
        one_zone: fields.boolean(field::ONE_ZONE)?,
        spread: fields.boolean(field::SPREAD)?,
        spot: fields.boolean(field::SPOT)?,
        estimate_s: fields.amount(field::ESTIMATE_S)?,
        checkpoint_interval_s: fields.amount(field::CHECKPOINT_INTERVAL_S)?,
        checkpoint_write_s: fields.amount(field::CHECKPOINT_WRITE_S)?,
        deadline_s,
        dependencies,
    };
    Ok((id, spec))
}

/// Decodes the body, which must be exactly one map.
fn parse_map(body: &[u8]) -> Result<Map<String, Value>, SubmissionError> {
    let mut reader = rmp_serde::Deserializer::new(body);
    let value = Value::deserialize(&mut reader).map_err(|_| SubmissionError::NotMessagePack)?;
    if !reader.get_ref().is_empty() {
        return Err(SubmissionError::NotMessagePack);
    }
    match value {
        Value::Object(map) => Ok(map),
        _ => Err(SubmissionError::NotMap),
    }
}

fn parse_task_count(value: &Value) -> Result<u32, SubmissionError> {
    value
        .as_u64()
        .filter(|count| (1..=MAX_TASKS).contains(count))
        .and_then(|count| u32::try_from(count).ok())
        .ok_or(SubmissionError::Field(field::TASKS))
}

/// The fields of a submission. A field whose value is null counts as missing.
struct Fields<'a>(&'a Map<String, Value>);

impl<'a> Fields<'a> {
    fn optional(&self, name: &'static str) -> Option<&'a Value> {
        self.0.get(name).filter(|value| !value.is_null())
    }

    fn required(&self, name: &'static str) -> Result<&'a Value, SubmissionError> {
        self.optional(name).ok_or(SubmissionError::Field(name))
    }

    fn text(&self, name: &'static str) -> Result<&'a str, SubmissionError> {
        let text = self.required(name)?.as_str();
        text.ok_or(SubmissionError::Field(name))
    }

    fn boolean(&self, name: &'static str) -> Result<bool, SubmissionError> {
        let boolean = self.required(name)?.as_bool();
        boolean.ok_or(SubmissionError::Field(name))
    }

    /// A number that is not negative. Infinite numbers and NaN are decoded as null, so they count as missing.
    fn amount(&self, name: &'static str) -> Result<f64, SubmissionError> {
        self.required(name)?
            .as_f64()
            .filter(|number| number.is_finite() && *number >= 0.0)
            .ok_or(SubmissionError::Field(name))
    }

    /// A value that is one of the names in the serde attributes of `T`.
    fn keyword<T: DeserializeOwned>(&self, name: &'static str) -> Result<T, SubmissionError> {
        let value = self.required(name)?.clone();
        serde_json::from_value(value).map_err(|_| SubmissionError::Field(name))
    }

    /// The elements of an array of strings, each converted by `convert`; `None` if the field is missing.
    fn list<T>(
        &self,
        name: &'static str,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<Vec<T>>, SubmissionError> {
        let Some(value) = self.optional(name) else {
            return Ok(None);
        };
        let elements = value.as_array().ok_or(SubmissionError::Field(name))?;
        let converted = elements
            .iter()
            .map(|element| element.as_str().and_then(&convert))
            .collect::<Option<Vec<T>>>();
        converted.map(Some).ok_or(SubmissionError::Field(name))
    }

    fn job_id(&self) -> Result<JobId, SubmissionError> {
        let id = self.text(field::ID)?;
        if !is_valid_job_id(id) {
            return Err(SubmissionError::Field(field::ID));
        }
        Ok(id.into())
    }

    fn machine_types(&self) -> Result<Option<Vec<MachineTypeName>>, SubmissionError> {
        self.list(field::TYPES, |name| Some(MachineTypeName::from(name)))
    }

    fn zone(&self) -> Result<Option<Zone>, SubmissionError> {
        match self.optional(field::ZONE) {
            None => Ok(None),
            Some(Value::String(zone)) => Ok(Some(Zone::from(zone.as_str()))),
            Some(_) => Err(SubmissionError::Field(field::ZONE)),
        }
    }

    fn deadline(&self) -> Result<Option<f64>, SubmissionError> {
        let deadline = self.optional(field::DEADLINE_S);
        deadline.map(|_| self.amount(field::DEADLINE_S)).transpose()
    }

    /// The jobs that the submitted one depends on, sorted and without duplicates.
    fn dependencies(&self) -> Result<Vec<JobId>, SubmissionError> {
        let valid = |id: &str| is_valid_job_id(id).then(|| JobId::from(id));
        let mut dependencies = self.list(field::DEPENDENCIES, valid)?.unwrap_or_default();
        dependencies.sort();
        dependencies.dedup();
        Ok(dependencies)
    }
}
