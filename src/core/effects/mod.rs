use crate::core::messages::mesh::{MeshMessage, MeshReply};

pub mod outbox;
pub mod pacing;
pub mod pending;

use crate::ids::{JobId, Node, Version};
use crate::status::Status;
use crate::wire::{
    Changes, DirectCommands, Heartbeat, HeartbeatResponse, JobSpec, Listing, MachineList,
    MachineNames, MachineTypes, Rental, Transaction,
};
use serde_json::Value;

/// A request that somebody waits on.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RequestId(pub u64);

/// A call this process has out.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct CallId(pub u64);

/// What users ask for.
#[derive(Clone, Debug)]
pub enum UserRequest {
    Submit(JobId, Box<JobSpec>),
    Poll(JobId),
    Cancel(JobId),
}

impl UserRequest {
    pub fn job(&self) -> &JobId {
        match self {
            Self::Submit(id, _) | Self::Poll(id) | Self::Cancel(id) => id,
        }
    }
}

#[derive(Debug)]
pub enum Input {
    User(RequestId, UserRequest),
    Heartbeat(RequestId, Heartbeat),
    Health(RequestId),
    /// An operator asks.
    Status(RequestId),
    Mesh(RequestId, MeshMessage),
    State(CallId, StoreReply),
    Cloud(CallId, CloudReply),
    Worker(CallId, WorkerReply),
    MeshReply(CallId, Option<MeshReply>),
}

impl Input {
    /// Whether somebody else asks; all else is the reply to a call of this process.
    pub fn is_question(&self) -> bool {
        match self {
            Self::User(..)
            | Self::Heartbeat(..)
            | Self::Health(_)
            | Self::Status(_)
            | Self::Mesh(..) => true,
            Self::State(..) | Self::Cloud(..) | Self::Worker(..) | Self::MeshReply(..) => false,
        }
    }
}

#[derive(Debug)]
pub enum Effect {
    Answer(RequestId, Answer),
    MeshAnswer(RequestId, MeshReply),
    State(CallId, StoreCall),
    Cloud(CallId, CloudCall),
    Worker(CallId, String, DirectCommands),
    Mesh(CallId, Node, MeshMessage),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Body,
    /// Seconds after which to ask again.
    pub retry_after: Option<u32>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    Empty,
    Value(Value),
    HeartbeatResponse(HeartbeatResponse),
    Status(Box<Status>),
}

impl Answer {
    pub fn value(status: u16, body: Value) -> Self {
        Self {
            status,
            body: Body::Value(body),
            retry_after: None,
        }
    }
    pub fn empty(status: u16) -> Self {
        Self {
            status,
            body: Body::Empty,
            retry_after: None,
        }
    }
    /// Cannot be taken now; says at once when to come back.
    pub fn unavailable() -> Self {
        Self {
            status: 503,
            body: Body::Empty,
            retry_after: Some(1),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    List {
        prefix: &'static str,
        from: Option<String>,
    },
    Changes {
        prefix: &'static str,
        from: Version,
    },
    Commit(Transaction),
    LeaseCreate {
        ttl_ms: u64,
    },
    LeaseRenew {
        lease: u64,
    },
    LeaseEnd {
        lease: u64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    Listing(Listing),
    Changes(Changes),
    /// Changes since then are no longer kept.
    TooOld,
    Committed(Version),
    Conflict,
    Lease(u64),
    Done,
    /// The lease has ended.
    LeaseGone,
    /// The transaction breaks a limit of the service and would be refused again.
    Rejected,
    /// Over the service's rate; not executed.
    Busy,
    /// Not executed: an outage, or this controller is refused.
    Refused,
    /// No answer, or one that makes no sense: executed, or not, or later.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    Types,
    List { after: Option<String> },
    Rent(Rental),
    Release(MachineNames),
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    Types(MachineTypes),
    List(MachineList),
    Rented(MachineNames),
    NoCapacity,
    Released,
    /// Refused or over the rate; not executed.
    Refused,
    /// No answer: executed, or not, or later.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    Executed(Heartbeat),
    /// Nothing executed: token or session did not match.
    Fenced(Heartbeat),
    /// The connection could not be made, so nothing was sent.
    NotSent,
    /// No answer: executed, or not, or later.
    Unknown,
}
