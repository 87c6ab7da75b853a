//! Identifiers. Each kind of name and number has its own type, so that they cannot be confused.
//!
//! Names are immutable and cheap to clone because they are copied into many maps and messages.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Defines the type of one kind of name.
macro_rules! define_name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $type {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $type {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.as_ref().into()
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

define_name!(
    /// Name of a controller (`host_name` in the settings).
    ControllerName
);
define_name!(
    /// Id of a job, chosen by its user.
    JobId
);
define_name!(
    /// Id of a machine, assigned by the cloud.
    MachineId
);
define_name!(
    /// Name of a team, which has a guarantee and a limit in the settings.
    Team
);
define_name!(
    /// Name of a machine type that the cloud offers.
    MachineTypeName
);
define_name!(
    /// Name of a zone of the cloud (`area` in the settings).
    Zone
);
define_name!(
    /// Name of the image that a task runs.
    Image
);

/// Fencing token: a worker rejects commands whose token is lower than the highest that it has seen.
///
/// Tokens derive from revisions of the key-value store: each is used once, and later ones are higher.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(
    /// The token as messages contain it.
    pub u64,
);

impl FencingToken {
    /// The token that is this much higher; the highest one if there is none.
    #[must_use]
    pub fn raised_by(self, count: u64) -> Self {
        Self(self.0.saturating_add(count))
    }
}

/// Number of one attempt to run a task. All members of a gang start under the same number.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(
    /// The number as messages contain it.
    pub u64,
);

/// Version of a key in the key-value store: the revision of the key's last write, or 0 if the key does
/// not exist.
pub type Version = u64;

/// Id of one task of a job; in messages `JOB/INDEX`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's index among the tasks of its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses `JOB/INDEX`; `None` if the text has another form.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        Some(Self {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.job, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self}")
    }
}
