//! Messages between controllers and workers: heartbeats and commands.
//!
//! Protocol words: `drumhead` (machine), `breed` (machine type), `yard` (zone), `loaners` (spot
//! instance), `stint` (agent epoch), `tally` (sequence number), `baton` (fencing token), `recallS`
//! (notice before a spot instance is reclaimed), `beats`, `beat` (tasks, task), `take` (attempt),
//! `stance` (state of a task), `cause` (why it exited), `kept` (checkpointed), `pulling` (fetching),
//! `flushing` (checkpointing), `ended` (exited), `calls`, `call` (commands, command), `leewayS` (grace
//! period). The words for causes of exits are mapped at [`ExitReason`].

use crate::ids::{Attempt, FencingToken, MachineId, MachineTypeName, Zone};
use serde::{Deserialize, Serialize};

/// A worker's report on its machine and all its tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "drumhead")]
    pub machine: MachineId,
    /// The address at which the worker accepts commands.
    pub address: String,
    /// The machine's type.
    #[serde(rename = "breed")]
    pub type_name: MachineTypeName,
    /// The machine's zone.
    #[serde(rename = "yard")]
    pub zone: Zone,
    /// Whether the machine is a spot instance.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The worker's session: it grows with each restart of the worker and whenever the worker's lease
    /// expires.
    #[serde(rename = "stint")]
    pub agent_epoch: u64,
    /// Number of the heartbeat within its session; later ones have higher numbers.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the machine, once it has given notice.
    #[serde(rename = "recallS", default)]
    pub reclaim_notice_s: Option<f64>,
    /// All tasks that the worker knows.
    #[serde(rename = "beats", default)]
    pub tasks: Vec<ReportedTask>,
}

/// One attempt of a task, as its worker reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// The task, as [`crate::ids::TaskId`] prints it.
    #[serde(rename = "beat")]
    pub task: String,
    /// The attempt.
    #[serde(rename = "take")]
    pub attempt: Attempt,
    /// Its state.
    #[serde(rename = "stance")]
    pub state: TaskState,
    /// Why it exited, if it has.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit: Option<ExitReason>,
    /// Whether it wrote a checkpoint before it exited.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

/// The state of an attempt on its machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum TaskState {
    /// Its image is being fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// It waits for the other members of its gang.
    #[serde(rename = "waiting")]
    Waiting,
    /// It runs.
    #[serde(rename = "running")]
    Running,
    /// It was stopped and writes its checkpoint.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// It has exited; the worker reports it until it is told to forget it.
    #[serde(rename = "ended")]
    Exited,
}

/// Why an attempt exited.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum ExitReason {
    /// It completed.
    #[serde(rename = "done")]
    Done,
    /// It was stopped on command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another member of its gang exited.
    #[serde(rename = "mates_gone")]
    PeersGone,
    /// Its gang was not complete in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// It failed.
    #[serde(rename = "error")]
    Error,
    /// The machine's free resources do not suffice for it.
    #[serde(rename = "no_room")]
    NoRoom,
    /// The worker does not accept starts at present.
    #[serde(rename = "busy")]
    Busy,
    /// The worker does not know the job.
    #[serde(rename = "no_such")]
    UnknownJob,
    /// A word that this version does not know; treated as a failure.
    #[serde(other)]
    Other,
}

/// A command to a worker, on one attempt of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call")]
pub enum Command {
    /// Start it.
    #[serde(rename = "start")]
    Start {
        /// The task.
        #[serde(rename = "beat")]
        task: String,
        /// The attempt.
        #[serde(rename = "take")]
        attempt: Attempt,
    },
    /// Stop it.
    #[serde(rename = "stop")]
    Stop {
        /// The task.
        #[serde(rename = "beat")]
        task: String,
        /// The attempt.
        #[serde(rename = "take")]
        attempt: Attempt,
        /// Seconds that it may take to write a checkpoint.
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    /// Report its exit no longer.
    #[serde(rename = "forget")]
    Forget {
        /// The task.
        #[serde(rename = "beat")]
        task: String,
        /// The attempt.
        #[serde(rename = "take")]
        attempt: Attempt,
    },
}

/// The answer to a heartbeat: it renews the worker's lease and carries commands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The fencing token under which the commands are given.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// The commands.
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}

/// Commands that a controller sends to a worker between heartbeats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The fencing token under which they are given; the worker rejects lower ones than it has seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// The session that they are meant for; the worker rejects any other.
    #[serde(rename = "stint")]
    pub agent_epoch: u64,
    /// The commands.
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}
