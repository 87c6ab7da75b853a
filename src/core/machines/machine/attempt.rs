//! The state of an attempt that may be on a machine.

use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::ids::{FencingToken, Image, Team};
use crate::wire::{ExitReason, Priority, TaskState};

/// The latest known phase of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// A start command was issued, but no heartbeat has reported the attempt yet.
    Issued,
    /// The newest heartbeat reports the attempt in this state, which is not an exit.
    Seen(TaskState),
    /// The attempt has ended for this reason.
    Exited(ExitReason),
}

/// One attempt of a task that may be on the machine.
#[derive(Clone, Debug)]
pub struct TrackedAttempt {
    /// Resources that it uses; `None` while its job is unknown.
    pub resources: Option<Resources>,
    /// Team of its job; `None` while the job is unknown.
    pub team: Option<Team>,
    /// Image that it needs and the size of the image in GB; `None` while its job is unknown.
    pub image: Option<(Image, f64)>,
    /// Priority of its job, raised to that of jobs that depend on it; low while the job is unknown.
    pub priority: Priority,
    /// Whether any other work may preempt it ([`crate::core::scheduling::opportunistic`]).
    pub opportunistic: bool,
    /// Seconds that it needs to write a checkpoint when it is stopped; 0 if it writes none.
    pub checkpoint_write_s: f64,
    /// Its latest known phase.
    pub phase: Phase,
    /// When its start was issued, or when a heartbeat first reported it if this process did not start it.
    pub issued_at: Time,
    /// When it was first known to be on the machine with its image fetched; `None` before.
    pub started_at: Option<Time>,
    /// Grace period in seconds of the requested stop; `None` if no stop was requested.
    pub stop: Option<f64>,
    /// Whether the worker may forget its exit, because the exit is recorded or needs no record.
    pub may_forget: bool,
    /// The highest token under which this process has sent its start; `None` if another process did, or an
    /// earlier assignment of the machine.
    pub last_start_token: Option<FencingToken>,
    /// Number of heartbeats since its start was issued that did not report it.
    pub missed_heartbeats: u32,
}

impl TrackedAttempt {
    /// Creates an attempt of an unknown job whose start is issued now.
    pub fn new(now: Time) -> Self {
        Self {
            resources: None,
            team: None,
            image: None,
            priority: Priority::Low,
            opportunistic: false,
            checkpoint_write_s: 0.0,
            phase: Phase::Issued,
            issued_at: now,
            started_at: None,
            stop: None,
            may_forget: false,
            last_start_token: None,
            missed_heartbeats: 0,
        }
    }

    /// Returns whether the attempt has ended.
    pub fn exited(&self) -> bool {
        matches!(self.phase, Phase::Exited(_))
    }

    /// Returns whether the attempt is on the machine and its image has been fetched.
    pub fn has_image(&self) -> bool {
        use TaskState::{Checkpointing, Running, Waiting};
        matches!(self.phase, Phase::Seen(Waiting | Running | Checkpointing))
    }

    /// Requests a stop with this grace period in seconds, unless the attempt has exited or a stop was
    /// requested before. Returns whether the request has to be sent to the machine.
    pub fn request_stop(&mut self, grace_s: f64) -> bool {
        let is_new = !self.exited() && self.stop.is_none();
        if is_new {
            self.stop = Some(grace_s);
        }
        is_new
    }

    /// Requests a stop without a grace period. It replaces an earlier request that had one. Returns whether
    /// the request has to be sent to the machine.
    pub fn request_immediate_stop(&mut self) -> bool {
        let immediately = Some(0.0);
        let is_new = !self.exited() && self.stop != immediately;
        if is_new {
            self.stop = immediately;
        }
        is_new
    }
}
