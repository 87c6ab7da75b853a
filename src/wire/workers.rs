//! Messages between controllers and workers: heartbeats and commands.
//!
//! Protocol names: `drumhead` (machine), `breed` (machine type), `yard` (zone), `loaners` (spot
//! instance), `stint` (agent epoch), `tally` (sequence number), `baton` (fencing token), `recallS`
//! (notice before a spot instance is reclaimed), `beats`, `beat` (tasks, task), `take` (attempt),
//! `stance` (state of a task), `cause` (why it exited), `kept` (checkpointed), `pulling` (fetching),
//! `flushing` (checkpointing), `ended` (exited), `calls`, `call` (commands, command), `leewayS` (grace
//! period). The names of exit reasons are mapped at [`ExitReason`].

use crate::ids::{Attempt, FencingToken, MachineId, MachineTypeName, Zone};
use serde::{Deserialize, Serialize};

/// A worker's report about its machine and all tasks on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Id of the machine that the worker runs on.
    #[serde(rename = "drumhead")]
    pub machine: MachineId,
    /// The address at which the worker accepts commands.
    pub address: String,
    /// Name of the machine's type, as in the cloud's list of types.
    #[serde(rename = "breed")]
    pub type_name: MachineTypeName,
    /// Zone in which the machine runs.
    #[serde(rename = "yard")]
    pub zone: Zone,
    /// Whether the machine is a spot instance.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The worker's epoch: it increases with each restart of the worker and each time the worker's lease
    /// expires.
    #[serde(rename = "stint")]
    pub agent_epoch: u64,
    /// Number of the heartbeat within its epoch; later heartbeats have higher numbers.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the machine; `None` until the cloud gives notice.
    #[serde(rename = "recallS", default)]
    pub reclaim_notice_s: Option<f64>,
    /// All attempts that the worker knows, exited ones included until it is told to forget them.
    #[serde(rename = "beats", default)]
    pub tasks: Vec<ReportedTask>,
}

/// The state of one attempt to run a task, as its worker reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// Id of the task, as [`crate::ids::TaskId`] formats it.
    #[serde(rename = "beat")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "take")]
    pub attempt: Attempt,
    /// Progress of the attempt on its machine.
    #[serde(rename = "stance")]
    pub state: TaskState,
    /// Why the attempt exited; `None` while it has not.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit: Option<ExitReason>,
    /// Whether the attempt wrote a checkpoint before it exited; `None` while it has not exited.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

/// The state of an attempt on its machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum TaskState {
    /// The machine fetches the task's image.
    #[serde(rename = "pulling")]
    Fetching,
    /// The attempt waits for the other members of its gang.
    #[serde(rename = "waiting")]
    Waiting,
    /// The task runs on the machine.
    #[serde(rename = "running")]
    Running,
    /// The attempt was stopped and writes its checkpoint.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// The attempt has exited; the worker reports it until a `Forget` command.
    #[serde(rename = "ended")]
    Exited,
}

/// Why an attempt exited.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum ExitReason {
    /// The task completed.
    #[serde(rename = "done")]
    Done,
    /// A command stopped the attempt.
    #[serde(rename = "halted")]
    Stopped,
    /// Another member of its gang exited.
    #[serde(rename = "mates_gone")]
    PeersGone,
    /// The gang was not complete in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// The machine has too few free resources for the task.
    #[serde(rename = "no_room")]
    NoRoom,
    /// The worker does not accept new tasks at present.
    #[serde(rename = "busy")]
    Busy,
    /// The worker does not know the job.
    #[serde(rename = "no_such")]
    UnknownJob,
    /// A reason that this version does not know; treated as a failure.
    #[serde(other)]
    Other,
}

/// A command to a worker about one attempt of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call")]
pub enum Command {
    /// Starts the attempt.
    #[serde(rename = "start")]
    Start {
        /// Id of the task, as [`crate::ids::TaskId`] formats it.
        #[serde(rename = "beat")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "take")]
        attempt: Attempt,
    },
    /// Stops the attempt.
    #[serde(rename = "stop")]
    Stop {
        /// Id of the task, as [`crate::ids::TaskId`] formats it.
        #[serde(rename = "beat")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "take")]
        attempt: Attempt,
        /// Seconds within which the attempt may still write a checkpoint.
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    /// Removes an exited attempt from the worker's reports.
    #[serde(rename = "forget")]
    Forget {
        /// Id of the task, as [`crate::ids::TaskId`] formats it.
        #[serde(rename = "beat")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "take")]
        attempt: Attempt,
    },
}

/// The answer to a heartbeat: it renews the worker's lease and carries commands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The fencing token of the commands.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Commands for the worker; may be empty.
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}

/// Commands that a controller sends to a worker between heartbeats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The fencing token of the commands; the worker rejects a token that is lower than one it has seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// The worker's epoch that the commands are for; in any other epoch the worker rejects them.
    #[serde(rename = "stint")]
    pub agent_epoch: u64,
    /// Commands for the worker.
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}
