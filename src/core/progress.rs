//! What the core is working on at this moment. Another thread reads it to report a step that does not end.

use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

/// The part of a step that the core is executing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum StepStage {
    /// No step is being executed.
    #[default]
    Idle,
    /// Handling a user's request.
    UserRequest,
    /// Handling a health check or an operator's status request.
    Inspection,
    /// Handling a worker's heartbeat.
    Heartbeat,
    /// Handling a sibling's message, or its reply to a message.
    SiblingMessage,
    /// Handling a reply of the store, including the records that a read returned.
    StoreReply,
    /// Handling a reply of the cloud.
    CloudReply,
    /// Handling a worker's reply to a direct message.
    WorkerReply,
    /// Passing the urgency of new jobs on to the jobs that they need.
    Dependencies,
    /// Updating leases, siblings and roles.
    Membership,
    /// Updating and placing the jobs of the shard.
    Shard,
    /// Computing the capacity that the shard needs.
    CapacityPlanning,
    /// Carrying out the leader's work.
    Leader,
    /// Creating deferred answers and the messages to siblings.
    Messages,
}

impl StepStage {
    const ALL: [Self; 14] = [
        Self::Idle,
        Self::UserRequest,
        Self::Inspection,
        Self::Heartbeat,
        Self::SiblingMessage,
        Self::StoreReply,
        Self::CloudReply,
        Self::WorkerReply,
        Self::Dependencies,
        Self::Membership,
        Self::Shard,
        Self::CapacityPlanning,
        Self::Leader,
        Self::Messages,
    ];
}

/// The number of the current step and its stage.
#[derive(Debug, Default)]
pub struct StepProgress {
    step: AtomicU64,
    stage: AtomicU8,
}

impl StepProgress {
    /// Counts a step that begins now.
    pub fn begin_step(&self) {
        self.step.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the stage that begins now.
    pub fn enter(&self, stage: StepStage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
    }

    /// Returns the number of steps that have begun.
    pub fn steps(&self) -> u64 {
        self.step.load(Ordering::Relaxed)
    }

    /// Returns the stage that began last.
    pub fn stage(&self) -> StepStage {
        let index = usize::from(self.stage.load(Ordering::Relaxed));
        StepStage::ALL.get(index).copied().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
