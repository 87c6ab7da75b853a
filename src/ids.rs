//! Identifiers: each kind of name and number has a type of its own, so that they can't be confused.
//!
//! Names are immutable and cheap to clone, since they are copied into many maps and messages.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Defines a type for one kind of name.
macro_rules! name {
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

name!(
    /// Name of a controller (`host_name` in the settings).
    ControllerName
);
name!(
    /// Id of a job, chosen by its user.
    JobId
);
name!(
    /// Id of a machine, assigned by the cloud.
    MachineId
);
name!(
    /// Name of a team.
    Team
);
name!(
    /// Name of a machine type.
    MachineTypeName
);
name!(
    /// Name of a zone.
    Zone
);
name!(
    /// Name of an image.
    Image
);

/// Fencing token: a worker rejects commands under a lower token than the highest that it has seen.
///
/// Tokens derive from revisions of the key-value store, so none is used twice and later ones are higher.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(
    /// The number that messages carry.
    pub u64,
);

/// Number of one attempt to run a task. All members of a gang start under the same one.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(
    /// The number that messages carry.
    pub u64,
);

/// The version of a key in the key-value store: the revision of its last write, or 0 if the key does not
/// exist.
pub type Version = u64;

/// Id of one task of a job; in messages `JOB/INDEX`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's index among the tasks of its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses the form used in messages; `None` if the text does not have it.
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
