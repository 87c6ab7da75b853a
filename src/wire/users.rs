//! What users send and are told.

use super::WireError;
use crate::ids::{Image, JobId, Team, TypeName, Zone};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::{Map, Value, json};

/// The published limit on a job's tasks.
const MAX_TASKS: u64 = 100_000;

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Kind {
    #[serde(rename = "sweep")]
    Array,
    #[serde(rename = "ensemble")]
    Gang,
    #[serde(rename = "standing")]
    Service,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "best_effort")]
    Low,
    #[serde(rename = "standard")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "critical")]
    Production,
}

impl Priority {
    pub const COUNT: usize = Self::Production as usize + 1;
}

/// What a user asked for. Stored as it is, so the short names keep records small.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "c")]
    pub class: String,
    #[serde(rename = "t")]
    pub team: Team,
    #[serde(rename = "k")]
    pub kind: Kind,
    #[serde(rename = "p")]
    pub priority: Priority,
    #[serde(rename = "n")]
    pub tasks: u32,
    #[serde(rename = "cpu")]
    pub cpus: f64,
    #[serde(rename = "gpu")]
    pub gpus: f64,
    #[serde(rename = "mem")]
    pub memory_gb: f64,
    #[serde(rename = "img")]
    pub image: Image,
    #[serde(rename = "igb")]
    pub image_gb: f64,
    #[serde(rename = "ty", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<TypeName>>,
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Zone>,
    #[serde(rename = "oz", default, skip_serializing_if = "is_false")]
    pub one_zone: bool,
    #[serde(rename = "sp", default, skip_serializing_if = "is_false")]
    pub spread: bool,
    #[serde(default, skip_serializing_if = "is_false")]
    pub spot: bool,
    #[serde(rename = "est")]
    pub estimate_s: f64,
    #[serde(rename = "ck")]
    pub checkpoint_interval_s: f64,
    #[serde(rename = "sv")]
    pub checkpoint_write_s: f64,
    #[serde(rename = "dl", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts.
    #[serde(
        rename = "aw",
        default,
        skip_serializing_if = "Vec::is_empty",
        serialize_with = "to_numbers",
        deserialize_with = "from_numbers"
    )]
    pub dependencies: Vec<JobId>,
}

/// The ids without what all have in common, so that hundreds fit into a value.
fn to_numbers<S: Serializer>(ids: &[JobId], serializer: S) -> Result<S::Ok, S::Error> {
    let numbers = ids
        .iter()
        .map(|id| id.as_str().strip_prefix(JOB_ID).unwrap_or(id.as_str()));
    serializer.serialize_str(&numbers.collect::<Vec<_>>().join(" "))
}

fn from_numbers<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<JobId>, D::Error> {
    let numbers = String::deserialize(deserializer)?;
    Ok(numbers
        .split_whitespace()
        .map(|number| JobId::from(format!("{JOB_ID}{number}")))
        .collect())
}

const JOB_ID: &str = "req-";

fn is_false(value: &bool) -> bool {
    !value
}

/// The form of a job id: `req-` and at least six digits.
pub fn valid_job_id(text: &str) -> bool {
    text.strip_prefix(JOB_ID).is_some_and(|digits| {
        (6..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Reads a submission, checking every field as published.
pub fn parse_submission(body: &[u8]) -> Result<(JobId, JobSpec), WireError> {
    let mut reader = rmp_serde::Deserializer::new(body);
    let value = Value::deserialize(&mut reader).map_err(|_| WireError::NotMessagePack)?;
    if !reader.get_ref().is_empty() {
        return Err(WireError::NotMessagePack);
    }
    let Value::Object(map) = value else {
        return Err(WireError::NotMap);
    };
    let fields = Fields(&map);
    let id = fields.text("nameId")?;
    if !valid_job_id(id) {
        return Err(WireError::Field("nameId"));
    }
    let tasks = fields
        .present("beats")?
        .as_u64()
        .filter(|n| (1..=MAX_TASKS).contains(n));
    let types = match fields.optional("breeds") {
        None => None,
        Some(Value::Array(list)) => Some(
            list.iter()
                .map(|t| {
                    t.as_str()
                        .map(TypeName::from)
                        .ok_or(WireError::Field("breeds"))
                })
                .collect::<Result<Vec<_>, _>>()?,
        ),
        Some(_) => return Err(WireError::Field("breeds")),
    };
    let zone = match fields.optional("yard") {
        None => None,
        Some(Value::String(zone)) => Some(Zone::from(zone.as_str())),
        Some(_) => return Err(WireError::Field("yard")),
    };
    let deadline_s = match fields.optional("dueS") {
        None => None,
        Some(_) => Some(fields.amount("dueS")?),
    };
    let mut dependencies = match fields.optional("awaits") {
        None => Vec::new(),
        Some(Value::Array(list)) => list
            .iter()
            .map(|id| id.as_str().filter(|id| valid_job_id(id)).map(JobId::from))
            .collect::<Option<Vec<_>>>()
            .ok_or(WireError::Field("awaits"))?,
        Some(_) => return Err(WireError::Field("awaits")),
    };
    dependencies.sort();
    dependencies.dedup();
    let spec = JobSpec {
        class: fields.text("herd")?.to_owned(),
        team: fields.text("crew")?.into(),
        kind: fields.word("shape")?,
        priority: fields.word("urgency")?,
        tasks: tasks.ok_or(WireError::Field("beats"))? as u32,
        cpus: fields.amount("cores")?,
        gpus: fields.amount("cards")?,
        memory_gb: fields.amount("memGb")?,
        image: fields.text("pressing")?.into(),
        image_gb: fields.amount("sizeGb")?,
        types,
        zone,
        one_zone: fields.flag("samePlace")?,
        spread: fields.flag("apart")?,
        spot: fields.flag("loaners")?,
        estimate_s: fields.amount("expectS")?,
        checkpoint_interval_s: fields.amount("markEveryS")?,
        checkpoint_write_s: fields.amount("markS")?,
        deadline_s,
        dependencies,
    };
    Ok((id.into(), spec))
}

struct Fields<'a>(&'a Map<String, Value>);

impl<'a> Fields<'a> {
    fn optional(&self, name: &'static str) -> Option<&'a Value> {
        self.0.get(name).filter(|v| !v.is_null())
    }
    fn present(&self, name: &'static str) -> Result<&'a Value, WireError> {
        self.optional(name).ok_or(WireError::Field(name))
    }
    fn text(&self, name: &'static str) -> Result<&'a str, WireError> {
        self.present(name)?.as_str().ok_or(WireError::Field(name))
    }
    fn flag(&self, name: &'static str) -> Result<bool, WireError> {
        self.present(name)?.as_bool().ok_or(WireError::Field(name))
    }
    /// A decimal number that is neither negative nor endless (those arrive as null).
    fn amount(&self, name: &'static str) -> Result<f64, WireError> {
        let number = self
            .present(name)?
            .as_f64()
            .filter(|n| n.is_finite() && *n >= 0.0);
        number.ok_or(WireError::Field(name))
    }
    fn word<T: DeserializeOwned>(&self, name: &'static str) -> Result<T, WireError> {
        serde_json::from_value(self.present(name)?.clone()).map_err(|_| WireError::Field(name))
    }
}

/// What a user is told of a job's state.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobStatus {
    #[serde(rename = "pending")]
    Pending,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "withdrawn")]
    Cancelled,
}

pub fn status_answer(id: &JobId, status: JobStatus) -> Value {
    json!({"nameId": id, "stance": status})
}

pub fn state_answer(id: &JobId, status: JobStatus, done: u32, running: u32) -> Value {
    json!({"nameId": id, "stance": status, "done": done, "running": running})
}
