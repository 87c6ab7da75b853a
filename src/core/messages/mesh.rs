//! Requests between controllers and the replies to them. Earlier releases must be able to decode them, so new
//! fields are optional.

use crate::core::messages::detection::DetectionReport;
use crate::core::messages::final_states::FinalStates;
use crate::core::messages::shard_update::{PeerUpdate, UnresponsiveMachine};
use crate::core::model::process::ProcessId;
use crate::ids::{ControllerName, JobId, Version};
use crate::wire::{Heartbeat, HeartbeatResponse, JobSpec};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A request of one controller to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MeshMessage {
    /// The periodic message to every sibling.
    Hello(Box<Hello>),
    /// A user's submission of a job, relayed because the sender cannot answer it.
    Submit(JobId, Box<JobSpec>),
    /// A submission of a job with dependencies. A release without dependencies cannot decode this message, so
    /// it never accepts the job without its dependencies.
    SubmitDependent(JobId, Box<JobSpec>),
    /// A user's query of a job's status, relayed because the sender cannot answer it.
    Poll(JobId),
    /// A user's cancellation of a job, relayed because the sender cannot answer it.
    Cancel(JobId),
    /// The heartbeat of a worker that cannot reach the owner of its machine. A release without this message
    /// refuses it, and the worker is then redirected to the owner.
    #[serde(rename = "Report")]
    Heartbeat(Box<Heartbeat>),
    /// This job was cancelled. The receiver requests a read of the store and does not wait for the next
    /// scheduled one.
    Cancelled(JobId),
}

/// The periodic message of a controller to each sibling. It shows that the sender is alive and contains its
/// whole current state for the receiver, so that a lost message has no lasting effect.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// The controller that sends the hello.
    pub from: ControllerName,
    /// The incarnation of the sender's process.
    pub incarnation: u64,
    /// Ascending number of the process's hellos, by which a receiver recognizes delayed ones.
    #[serde(rename = "number")]
    pub sequence_number: u64,
    /// Whether the sender cannot renew its lease and requests an extension.
    #[serde(rename = "wants_voucher")]
    pub wants_extension: bool,
    /// From the leader: the processes for whose shards it requests consent to a failover.
    pub wants_consent: Vec<ProcessId>,
    /// Jobs in the sender's shard, each with its numbers of done and of running tasks.
    #[serde(rename = "running")]
    pub task_counts: Vec<(JobId, u32, u32)>,
    /// Machines that their owner no longer answers, each with the fencing token this applies to.
    #[serde(rename = "quiet")]
    pub unresponsive: Vec<UnresponsiveMachine>,
    /// The state of the sender's shard that the receiver's shard needs. `None` while the sender may not act
    /// as an owner.
    #[serde(rename = "news")]
    pub update: Option<PeerUpdate>,
    /// Requests the final states after this version, because the sender's reads of the store fail. `None`
    /// while they succeed.
    #[serde(
        rename = "finals_after",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub final_states_after: Option<Version>,
    /// Whether the sender's ownership ends within a bounded time after its key was deleted
    /// ([`crate::core::membership::ownership`]). A release without this field guarantees no bound, so the
    /// failover of its shard waits for consents.
    #[serde(
        rename = "authority_ends",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub bounded_staleness: bool,
    /// The sender's failure detection report. `None` if the sender does not take part in failure detection.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detection: Option<DetectionReport>,
}

/// The reply to a [`MeshMessage`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MeshReply {
    /// The reply to a hello.
    Hello(HelloReply),
    /// The answer to a user's request.
    Answer {
        /// The HTTP status code of the answer.
        status: u16,
        /// The body of the answer. `None` for an empty body.
        body: Option<Value>,
        /// Seconds after which the user should retry. `None` if a retry is not needed.
        retry_after: Option<u32>,
    },
    /// The message was received. It needs no other reply.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// The response to a worker's heartbeat. `None` if the receiver does not own the machine or may not act
    /// as its owner at the moment.
    #[serde(rename = "ReportAnswer")]
    HeartbeatResponse(Option<HeartbeatResponse>),
}

/// The reply to a [`Hello`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HelloReply {
    /// The incarnation of the process that replies.
    pub incarnation: u64,
    /// Whether the replying controller grants the requested lease extension.
    #[serde(rename = "vouches")]
    pub grants_extension: bool,
    /// The processes, of those in the request, to whose failover the replying controller consents.
    pub consents: Vec<ProcessId>,
    /// Whether the replying controller can read the store.
    #[serde(rename = "has_state")]
    pub reads_store: bool,
    /// Whether the replying controller has recently redirected workers to the sender of the hello.
    #[serde(rename = "sends_workers")]
    pub redirects_workers: bool,
    /// The answer to [`Hello::final_states_after`]. A reply of a release without this field does not prolong
    /// the sender's ownership.
    #[serde(rename = "finals", default, skip_serializing_if = "Option::is_none")]
    pub final_states: Option<FinalStates>,
    /// The replying controller's failure detection report, like [`Hello::detection`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detection: Option<DetectionReport>,
}
