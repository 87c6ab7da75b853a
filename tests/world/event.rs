//! The events of a simulation and their order in virtual time.

use super::faults::Fault;
use super::users;
use ochredrum::core::effects::{Answer, CallId, CloudCall, Input, StoreCall, UserRequest};
use ochredrum::ids::MachineId;
use ochredrum::wire::{DirectCommands, Heartbeat};

/// An event of the simulation.
///
/// An event with an `epoch` concerns one process of a controller and is dropped once that process has ended.
pub enum Event {
    /// A controller performs a periodic step without input.
    Tick { node: usize, epoch: u64 },
    /// A controller receives an input.
    Input {
        node: usize,
        epoch: u64,
        input: Box<Input>,
    },
    /// A request reaches the store.
    StoreRequest {
        node: usize,
        epoch: u64,
        call: CallId,
        request: StoreCall,
    },
    /// A request reaches the cloud's interface.
    CloudRequest {
        node: usize,
        epoch: u64,
        call: CallId,
        request: CloudCall,
    },
    /// Direct commands reach a worker.
    DirectCommands {
        node: usize,
        epoch: u64,
        call: CallId,
        address: String,
        commands: DirectCommands,
    },
    /// A message reaches a sibling controller.
    MeshMessage {
        from: usize,
        epoch: u64,
        call: CallId,
        to: usize,
        message: Box<Input>,
    },
    /// A heartbeat reaches a controller. `live` is false for a copy, whose sender does not wait for an
    /// answer.
    Heartbeat {
        machine: MachineId,
        node: usize,
        heartbeat: Heartbeat,
        live: bool,
    },
    /// A worker receives the answer to a heartbeat, or `None` if the connection broke.
    HeartbeatResponse {
        machine: MachineId,
        number: u64,
        answer: Option<Answer>,
    },
    /// A worker checks its lease, its tasks and its heartbeats.
    WorkerTick { machine: MachineId },
    /// A rented machine has booted.
    BootDone { machine: MachineId },
    /// A user submits a job.
    Submit { job: usize },
    /// A user cancels a job.
    Cancel { job: usize },
    /// A user polls a job.
    Poll { job: usize },
    /// A user sends one controller an extra poll or submission, which schedules no further request.
    Probe {
        job: usize,
        node: usize,
        kind: users::RequestKind,
    },
    /// A controller receives a late copy of a user's request, to whose answer nobody listens.
    CopiedUserRequest { node: usize, request: UserRequest },
    /// Checks that all tasks of a cancelled job have ended.
    CheckCancelledTasks { job: usize },
    /// Checks for jobs that wait although they could run.
    CheckStarvation,
    /// Checks that a job is in the state that the scenario expects. If it is not, the scenario's faults did
    /// not interact as intended.
    Expect { job: usize, expected: String },
    /// A user sends an unusual request; further ones follow until the time `until`.
    UnusualRequest { until: f64 },
    /// The store begins to enforce its announced limits.
    LimitsLowered,
    /// A user polls a job that was never submitted.
    PollUnknownJob,
    /// A user receives an answer, or `None` if the connection broke or the request timed out.
    UserAnswer {
        job: Option<usize>,
        kind: users::RequestKind,
        sent_at: f64,
        answer: Option<Answer>,
    },
    /// A controller is started if it does not run.
    Restart { node: usize },
    /// A controller is stopped and restarted with the present version.
    Upgrade { node: usize },
    /// A paused controller resumes.
    Resume { node: usize, epoch: u64 },
    /// A fault begins.
    Fault(Fault),
    /// The lasting fault with this id ends.
    FaultEnds(u64),
}

/// Time, sequence number and content of a scheduled event. Events of the same time are ordered by sequence
/// number.
pub struct Timed(pub f64, pub u64, pub Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}
