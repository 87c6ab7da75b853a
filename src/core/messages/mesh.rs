//! The messages between controllers. What they hold stays readable by earlier versions: new fields are optional.

use crate::core::messages::detection::Detection;
use crate::core::messages::final_states::FinalStates;
use crate::core::messages::shard_update::{PeerUpdate, Unresponsive};
use crate::core::model::process::ProcessId;
use crate::ids::{JobId, Node, Version};
use crate::wire::{Heartbeat, HeartbeatResponse, JobSpec};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// What one controller asks another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MeshMessage {
    Hello(Box<Hello>),
    Submit(JobId, Box<JobSpec>),
    /// A version that doesn't know of dependencies can't read it, and so never accepts it without.
    SubmitDependent(JobId, Box<JobSpec>),
    Poll(JobId),
    Cancel(JobId),
    /// A worker that does not reach its machine's owner. A version that doesn't know this message
    /// refuses it, and the worker is sent to the owner as before.
    #[serde(rename = "Report")]
    Heartbeat(Box<Heartbeat>),
    /// This job was cancelled; saves the leader the wait for its next sync.
    Cancelled(JobId),
}

/// The heartbeat, with all that the sender has to tell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    pub from: Node,
    pub incarnation: u64,
    /// Rises with every hello of a process, so that late ones are known.
    pub number: u64,
    /// The sender cannot renew its lease.
    #[serde(rename = "wants_voucher")]
    pub wants_extension: bool,
    /// The sender leads and wants to hand on these lapsed processes' shares.
    pub wants_consent: Vec<ProcessId>,
    /// Tasks done and running, of jobs that run in the sender's share.
    pub running: Vec<(JobId, u32, u32)>,
    /// Machines that are known not to be answered any more under these terms.
    #[serde(rename = "quiet")]
    pub unresponsive: Vec<Unresponsive>,
    /// What the sender's share has to tell the receiver's.
    #[serde(rename = "news")]
    pub update: Option<PeerUpdate>,
    /// The sender's syncs fail: it asks for final states after this version.
    #[serde(
        rename = "finals_after",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub final_states_after: Option<Version>,
    /// The sender's authority ends a bounded time after its key has gone ([`crate::core::membership::ownership`]). A
    /// version without this says nothing, and its share waits for consents.
    #[serde(
        rename = "authority_ends",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub authority_ends: bool,
    /// The sender takes part in the detection of failures, and what it has found.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detection: Option<Detection>,
}

/// The answer to a [`MeshMessage`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MeshReply {
    Hello(HelloReply),
    Answer {
        status: u16,
        body: Option<Value>,
        retry_after: Option<u32>,
    },
    Noted,
    /// Nothing, if the machine is not the receiver's or it may not act.
    #[serde(rename = "ReportAnswer")]
    HeartbeatResponse(Option<HeartbeatResponse>),
}

/// The answer to a [`Hello`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HelloReply {
    pub incarnation: u64,
    #[serde(rename = "vouches")]
    pub grants_extension: bool,
    pub consents: Vec<ProcessId>,
    pub has_state: bool,
    /// Workers came here lately and were sent to the asker.
    pub sends_workers: bool,
    /// The answer to `final_states_after`. A version without it leaves the asker uninformed, so that its
    /// authority ends sooner.
    #[serde(rename = "finals", default, skip_serializing_if = "Option::is_none")]
    pub final_states: Option<FinalStates>,
    /// See [`Hello::detection`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detection: Option<Detection>,
}
