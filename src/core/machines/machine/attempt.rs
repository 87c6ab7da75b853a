//! One attempt of a task that may be on a machine.

use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::ids::{Image, Team};
use crate::wire::{ExitReason, Priority, TaskState};

/// How far an attempt is known to have come.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// A start command was issued; no heartbeat has shown the attempt yet.
    Issued,
    /// The newest heartbeat shows the attempt in this state, which is not an exit.
    Seen(TaskState),
    /// The attempt has ended for this reason.
    Exited(ExitReason),
}

/// One attempt of a task that may be on the machine.
#[derive(Clone, Debug)]
pub struct TrackedAttempt {
    /// Resources it uses; None while its job is unknown.
    pub resources: Option<Resources>,
    /// Team of its job; None while the job is unknown.
    pub team: Option<Team>,
    /// Image it needs, and the size of that image in GB.
    pub image: Option<(Image, f64)>,
    /// Priority of its job.
    pub priority: Priority,
    /// It is preempted by any other work ([`crate::core::scheduling::opportunistic`]).
    pub opportunistic: bool,
    /// Seconds it needs to write a checkpoint when it is stopped; 0 if it never writes one.
    pub checkpoint_write_s: f64,
    /// How far it is known to have come.
    pub phase: Phase,
    /// When its start was issued, or when a heartbeat first showed it.
    pub issued_at: Time,
    /// When it was first seen with its image.
    pub started_at: Option<Time>,
    /// Grace period in seconds of the stop that was requested; None if it is to go on.
    pub stop: Option<f64>,
    /// The worker may forget its exit: it is recorded, or has no consequence.
    pub may_forget: bool,
    /// Heartbeats since the start was issued that did not show the attempt.
    pub missed_heartbeats: u32,
}

impl TrackedAttempt {
    /// An attempt of an unknown job, whose start is issued now.
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
            missed_heartbeats: 0,
        }
    }

    /// Whether the attempt has ended.
    pub fn exited(&self) -> bool {
        matches!(self.phase, Phase::Exited(_))
    }

    /// Whether the attempt is on the machine and its image has been fetched.
    pub fn has_image(&self) -> bool {
        use TaskState::{Checkpointing, Running, Waiting};
        matches!(self.phase, Phase::Seen(Waiting | Running | Checkpointing))
    }

    /// Requests a stop with this grace period in seconds, unless the attempt has exited or a stop was
    /// requested before. Returns whether the machine must be sent the request.
    pub fn request_stop(&mut self, grace_s: f64) -> bool {
        let is_new = !self.exited() && self.stop.is_none();
        if is_new {
            self.stop = Some(grace_s);
        }
        is_new
    }

    /// Requests a stop without grace period, also if one with a grace period was requested before.
    /// Returns whether the machine must be sent the request.
    pub fn request_immediate_stop(&mut self) -> bool {
        let immediately = Some(0.0);
        let is_new = !self.exited() && self.stop != immediately;
        if is_new {
            self.stop = immediately;
        }
        is_new
    }
}
