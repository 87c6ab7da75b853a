//! Requests between controllers and the replies to them. Earlier versions must be able to read them:
//! new fields are optional.

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
    /// The regular message to every sibling.
    Hello(Box<Hello>),
    /// A user's submission of a job, which the sender can't answer itself.
    Submit(JobId, Box<JobSpec>),
    /// A submission of a job with dependencies. A version that doesn't know of dependencies can't
    /// read this message, and so never accepts the job without them.
    SubmitDependent(JobId, Box<JobSpec>),
    /// A user's query of a job, which the sender can't answer itself.
    Poll(JobId),
    /// A user's cancellation of a job, which the sender can't answer itself.
    Cancel(JobId),
    /// The heartbeat of a worker that does not reach its machine's owner. A version that doesn't know
    /// this message refuses it, and the worker is redirected to the owner as before.
    #[serde(rename = "Report")]
    Heartbeat(Box<Heartbeat>),
    /// This job was cancelled; saves the receiver the wait for its next sync.
    Cancelled(JobId),
}

/// The regular message of a controller to its siblings. It shows that the sender is alive, and holds
/// the whole present state that concerns its siblings, so that a lost one does no harm.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// The sender.
    pub from: ControllerName,
    /// The incarnation of the sender's process.
    pub incarnation: u64,
    /// Increases with every hello of a process, so that delayed ones are recognized.
    #[serde(rename = "number")]
    pub sequence_number: u64,
    /// The sender cannot renew its lease and requests an extension.
    #[serde(rename = "wants_voucher")]
    pub wants_extension: bool,
    /// The sender is the leader and requests consent to the failover of these processes' shards.
    pub wants_consent: Vec<ProcessId>,
    /// Tasks done and running, of the jobs that run in the sender's shard.
    #[serde(rename = "running")]
    pub task_counts: Vec<(JobId, u32, u32)>,
    /// Machines that are known not to be answered any more under these fencing tokens.
    #[serde(rename = "quiet")]
    pub unresponsive: Vec<UnresponsiveMachine>,
    /// The sender's shard's state, as far as it concerns the receiver's shard.
    #[serde(rename = "news")]
    pub update: Option<PeerUpdate>,
    /// The sender's syncs with the store fail: it asks for final states after this version.
    #[serde(
        rename = "finals_after",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub final_states_after: Option<Version>,
    /// The sender's ownership ends a bounded time after its key is gone
    /// ([`crate::core::membership::ownership`]). A version without this field states nothing, and the
    /// failover of its shard waits for consents.
    #[serde(
        rename = "authority_ends",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub bounded_staleness: bool,
    /// The sender takes part in failure detection, and its findings.
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
        /// HTTP status.
        status: u16,
        /// Body of the answer, if it has one.
        body: Option<Value>,
        /// Seconds after which the user may ask again.
        retry_after: Option<u32>,
    },
    /// The message was received, and there is nothing to answer.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// The response to a worker's heartbeat; none if the receiver does not own the machine or may not
    /// act at present.
    #[serde(rename = "ReportAnswer")]
    HeartbeatResponse(Option<HeartbeatResponse>),
}

/// The reply to a [`Hello`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HelloReply {
    /// The incarnation of the process that replies.
    pub incarnation: u64,
    /// Whether the lease extension that was requested is granted.
    #[serde(rename = "vouches")]
    pub grants_extension: bool,
    /// Processes to whose failover the replying controller consents, of those that were asked for.
    pub consents: Vec<ProcessId>,
    /// Whether the replying controller can read the store.
    #[serde(rename = "has_state")]
    pub reads_store: bool,
    /// Whether the replying controller has recently redirected workers to the one that sent the hello.
    #[serde(rename = "sends_workers")]
    pub redirects_workers: bool,
    /// The answer to [`Hello::final_states_after`]. A version without this field leaves the sender of
    /// the hello uninformed, so that its ownership ends sooner.
    #[serde(rename = "finals", default, skip_serializing_if = "Option::is_none")]
    pub final_states: Option<FinalStates>,
    /// See [`Hello::detection`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detection: Option<DetectionReport>,
}
