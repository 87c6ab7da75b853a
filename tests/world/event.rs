//! The events of a simulation, in the order of virtual time.

use super::faults::Fault;
use super::users;
use ochredrum::core::effects::{Answer, CallId, CloudCall, Input, StoreCall};
use ochredrum::ids::MachineId;
use ochredrum::wire::{DirectCommands, Heartbeat};

/// What happens at a moment.
///
/// Events that name a controller with an `epoch` are dropped if that process no longer runs.
pub enum Event {
    /// A controller gets a turn without input.
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
    /// A message between controllers arrives.
    MeshMessage {
        from: usize,
        epoch: u64,
        call: CallId,
        to: usize,
        message: Box<Input>,
    },
    /// A heartbeat reaches a controller; `live` if its worker waits for the answer.
    Heartbeat {
        machine: MachineId,
        node: usize,
        heartbeat: Heartbeat,
        live: bool,
    },
    /// The answer to a heartbeat reaches its worker; none if the connection broke.
    HeartbeatResponse {
        machine: MachineId,
        number: u64,
        answer: Option<Answer>,
    },
    /// A worker checks its lease, its tasks and its heartbeats.
    WorkerTurn { machine: MachineId },
    /// A rented machine has booted.
    BootDone { machine: MachineId },
    /// A user submits a job.
    Submit { job: usize },
    /// A user cancels a job.
    Cancel { job: usize },
    /// A user polls a job.
    Poll { job: usize },
    /// A poll or a repeated submission at one controller, which no other request follows.
    Probe {
        job: usize,
        node: usize,
        kind: users::RequestKind,
    },
    /// By now no task of a cancelled job may be left.
    CheckCancelledTasks { job: usize },
    /// Checks for jobs that wait although they could run.
    CheckStarvation,
    /// Checks what a scenario expects of a job by now, without which it would show nothing.
    Expect { job: usize, expected: String },
    /// A user sends an unusual request, and more until then.
    UnusualRequest { until: f64 },
    /// The store's next limits apply from now on.
    LimitsLowered,
    /// A user polls a job that was never submitted.
    PollUnknownJob,
    /// An answer reaches a user; none if the connection broke or the request timed out.
    UserAnswer {
        job: Option<usize>,
        kind: users::RequestKind,
        sent_at: f64,
        answer: Option<Answer>,
    },
    /// A controller is started.
    Restart { node: usize },
    /// A controller crashes and returns with the present version.
    Upgrade { node: usize },
    /// A paused controller continues.
    Resume { node: usize, epoch: u64 },
    /// A fault begins.
    Fault(Fault),
    /// The lasting fault with this id ends.
    FaultEnds(u64),
}

/// An event with its moment and its sequence number, which orders events of the same moment.
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
