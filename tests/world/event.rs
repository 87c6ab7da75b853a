//! What happens at a moment.

use super::faults::Fault;
use super::users;
use ochredrum::core::effects::{Answer, CallId, CloudCall, Input, StoreCall};
use ochredrum::ids::MachineId;
use ochredrum::wire::{DirectCommands, Heartbeat};

/// What happens at a moment.
pub enum Event {
    Tick {
        node: usize,
        epoch: u64,
    },
    Input {
        node: usize,
        epoch: u64,
        input: Box<Input>,
    },
    State {
        node: usize,
        epoch: u64,
        call: CallId,
        what: StoreCall,
    },
    Cloud {
        node: usize,
        epoch: u64,
        call: CallId,
        what: CloudCall,
    },
    DirectCommands {
        node: usize,
        epoch: u64,
        call: CallId,
        address: String,
        commands: DirectCommands,
    },
    Mesh {
        from: usize,
        epoch: u64,
        call: CallId,
        to: usize,
        message: Box<Input>,
    },
    Heartbeat {
        machine: MachineId,
        node: usize,
        heartbeat: Heartbeat,
        live: bool,
    },
    HeartbeatResponse {
        machine: MachineId,
        number: u64,
        answer: Option<Answer>,
    },
    WorkerTurn {
        machine: MachineId,
    },
    BootDone {
        machine: MachineId,
    },
    Submit {
        job: usize,
    },
    Cancel {
        job: usize,
    },
    Poll {
        job: usize,
    },
    /// A poll or repeat at this controller, whatever it is answered.
    Probe {
        job: usize,
        node: usize,
        kind: users::RequestKind,
    },
    /// By now nothing may be left of a cancelled job.
    CancelDue {
        job: usize,
    },
    /// Looks for jobs that are left waiting.
    CheckStarvation,
    /// What a scenario needs to have come about by now, or it proves nothing.
    Expect {
        job: usize,
        what: String,
    },
    /// Users send odd requests until then.
    UnusualRequest {
        until: f64,
    },
    /// The state service's next limits hold from now on.
    LimitsFall,
    AskUnknown,
    UserAnswer {
        job: Option<usize>,
        kind: users::RequestKind,
        asked: f64,
        answer: Option<Answer>,
    },
    Restart {
        node: usize,
    },
    /// Ends, and comes back with the present version.
    Upgrade {
        node: usize,
    },
    Resume {
        node: usize,
        epoch: u64,
    },
    Fault(Fault),
    FaultEnds(u64),
}

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
