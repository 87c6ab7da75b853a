//! Inputs and effects of the core: requests it answers, calls it makes, and their replies.

pub mod outbox;
pub mod pacing;
pub mod pending;

use crate::core::messages::mesh::{MeshMessage, MeshReply};
use crate::ids::{ControllerName, JobId, Version};
use crate::status::Status;
use crate::wire::{
    Changes, DirectCommands, Heartbeat, HeartbeatResponse, JobSpec, Listing, MachineIds,
    MachineList, MachineTypes, Rental, Transaction,
};
use serde_json::Value;

/// A request to this process that has to be answered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RequestId(pub u64);

/// A call of this process whose reply is pending.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct CallId(pub u64);

/// A user's request.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// Create a job; idempotent by the job's id.
    Submit(JobId, Box<JobSpec>),
    /// Read a job's status.
    Poll(JobId),
    /// Cancel a job; idempotent.
    Cancel(JobId),
}

impl UserRequest {
    /// The job that the request is about.
    pub fn job(&self) -> &JobId {
        match self {
            Self::Submit(id, _) | Self::Poll(id) | Self::Cancel(id) => id,
        }
    }
}

/// Something that the core has to handle.
#[derive(Debug)]
pub enum Input {
    /// A user's request.
    User(RequestId, UserRequest),
    /// A worker's heartbeat.
    Heartbeat(RequestId, Heartbeat),
    /// A health check.
    Health(RequestId),
    /// An operator's request for the status.
    Status(RequestId),
    /// A message of a sibling.
    Mesh(RequestId, MeshMessage),
    /// The reply to a call of the store.
    Store(CallId, StoreReply),
    /// The reply to a call of the cloud.
    Cloud(CallId, CloudReply),
    /// The reply to commands sent to a worker.
    Worker(CallId, WorkerReply),
    /// A sibling's reply; `None` if there was none.
    MeshReply(CallId, Option<MeshReply>),
}

impl Input {
    /// Whether this is a request of another process, rather than the reply to a call of this one.
    pub fn is_request(&self) -> bool {
        match self {
            Self::User(..)
            | Self::Heartbeat(..)
            | Self::Health(_)
            | Self::Status(_)
            | Self::Mesh(..) => true,
            Self::Store(..) | Self::Cloud(..) | Self::Worker(..) | Self::MeshReply(..) => false,
        }
    }
}

/// Something that the core wants done.
#[derive(Debug)]
pub enum Effect {
    /// Answer a request of a user, a worker or an operator.
    Answer(RequestId, Answer),
    /// Answer a message of a sibling.
    MeshAnswer(RequestId, MeshReply),
    /// Call the store.
    Store(CallId, StoreCall),
    /// Call the cloud.
    Cloud(CallId, CloudCall),
    /// Send commands to the worker at this address.
    Worker(CallId, String, DirectCommands),
    /// Send a message to a sibling.
    Mesh(CallId, ControllerName, MeshMessage),
}

/// An HTTP answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The body.
    pub body: Body,
    /// Seconds after which to retry.
    pub retry_after: Option<u32>,
}

/// The body of an [`Answer`].
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// No body.
    Empty,
    /// A JSON object, such as the status of a job.
    Value(Value),
    /// The answer to a heartbeat.
    HeartbeatResponse(HeartbeatResponse),
    /// The answer to an operator.
    Status(Box<Status>),
}

impl Answer {
    /// An answer with a JSON body.
    pub fn value(status: u16, body: Value) -> Self {
        Self {
            status,
            body: Body::Value(body),
            retry_after: None,
        }
    }

    /// An answer without a body.
    pub fn empty(status: u16) -> Self {
        Self {
            status,
            body: Body::Empty,
            retry_after: None,
        }
    }

    /// The request cannot be served now and should be retried in a second.
    pub fn unavailable() -> Self {
        Self {
            status: 503,
            body: Body::Empty,
            retry_after: Some(1),
        }
    }
}

/// A call of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// List the keys of a prefix, a page at a time.
    List {
        /// The prefix.
        prefix: &'static str,
        /// The last key of the page before; `None` for the first page.
        from: Option<String>,
    },
    /// Read the changes of a prefix since a revision.
    Changes {
        /// The prefix.
        prefix: &'static str,
        /// The last revision known.
        from: Version,
    },
    /// Commit a compare-and-swap transaction.
    Commit(Transaction),
    /// Create a lease.
    LeaseCreate {
        /// Its time to live in milliseconds.
        ttl_ms: u64,
    },
    /// Renew a lease.
    LeaseRenew {
        /// The lease.
        lease: u64,
    },
    /// End a lease, which removes the keys bound to it.
    LeaseEnd {
        /// The lease.
        lease: u64,
    },
}

/// The store's reply to a [`StoreCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// A page of keys.
    Listing(Listing),
    /// The changes since the revision asked for.
    Changes(Changes),
    /// The store no longer keeps the changes since that revision.
    Compacted,
    /// The transaction was committed with this version.
    Committed(Version),
    /// A precondition of the transaction does not hold; nothing was written.
    Conflict,
    /// The lease that was created.
    LeaseCreated(u64),
    /// The lease was renewed or ended.
    Done,
    /// The lease has expired or was ended before.
    LeaseNotFound,
    /// The transaction exceeds a limit of the store and would be refused again.
    Rejected,
    /// The store's rate is used up; not executed.
    Busy,
    /// Not executed: the store is unavailable, or refuses this controller.
    Refused,
    /// No reply, or an invalid one: the call may have been executed, or may still be.
    Unknown,
}

/// A call of the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    /// Read the machine types on offer.
    Types,
    /// List the rented machines, a page at a time.
    List {
        /// The last machine of the page before; `None` for the first page.
        after: Option<String>,
    },
    /// Rent machines.
    Rent(Rental),
    /// Return machines.
    Release(MachineIds),
}

/// The cloud's reply to a [`CloudCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    /// The machine types on offer.
    Types(MachineTypes),
    /// A page of rented machines.
    List(MachineList),
    /// The machines that were rented.
    Rented(MachineIds),
    /// The cloud has no such machines now.
    NoCapacity,
    /// The machines were returned.
    Released,
    /// Refused, or the cloud's rate is used up; not executed.
    Refused,
    /// No reply: the call may have been executed, or may still be.
    Unknown,
}

/// A worker's reply to commands.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    /// The commands were executed; the worker's state afterwards.
    Executed(Heartbeat),
    /// Nothing was executed, because the fencing token or the agent epoch did not match; the worker's state.
    Fenced(Heartbeat),
    /// The connection failed, so nothing was sent.
    NotSent,
    /// No reply: the commands may have been executed, or may still be.
    Unknown,
}
