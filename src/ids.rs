//! Names and numbers that must not be mixed up, each with a type of its own.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
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
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl fmt::Debug for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// A controller.
    Node
);
name!(
    /// A job, as its user named it.
    JobId
);
name!(
    /// A machine, as the cloud named it.
    MachineId
);
name!(
    /// A team.
    Team
);
name!(
    /// A machine type.
    TypeName
);
name!(
    /// A zone.
    Zone
);
name!(
    /// An image.
    Image
);

/// Who may act: revisions of the state service, so each is used once and later ones are higher.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// One start of a task; gangs start together under one.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u64);

/// A key's revision in the state service; 0 says that it does not exist.
pub type Version = u64;

/// One task of a job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl TaskId {
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        Some(Self {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
