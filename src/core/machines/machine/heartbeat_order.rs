//! The order of a worker's messages. Messages may be delayed, duplicated and reordered. Only a message that
//! is newer than all messages received before may change the state of the machine.

use crate::wire::Heartbeat;

/// The kind of message that carried a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOrigin {
    /// A periodic request of the worker, which waits for the response.
    Periodic,
    /// The answer to a direct message with commands.
    CommandReply,
}

/// Whether a heartbeat is newer than the messages received before.
#[derive(Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The heartbeat is newer than every message received before.
    New {
        /// Whether it begins a later agent epoch. All attempts of the earlier epoch have then ended.
        new_epoch: bool,
    },
    /// A newer message of the same epoch was received before. A periodic heartbeat must still be answered,
    /// because the worker waits for the response.
    Superseded,
    /// The heartbeat belongs to an epoch that is over, or it is periodic and not newer than the last periodic
    /// one. It must be ignored.
    Duplicate,
}

/// The newest agent epoch of one machine and the newest messages of that epoch.
#[derive(Default)]
pub(super) struct HeartbeatOrder {
    epoch: u64,
    /// Whether the epoch was reported with a token of the present owner. Only then does a later epoch show
    /// that the known attempts have ended.
    epoch_is_confirmed: bool,
    /// Highest sequence number of the epoch, of either origin.
    sequence: u64,
    /// Highest sequence number of a periodic heartbeat of the epoch.
    periodic_sequence: u64,
    /// The latest epoch that is known to be over.
    ended_epoch: u64,
}

impl HeartbeatOrder {
    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn ended_epoch(&self) -> u64 {
        self.ended_epoch
    }

    /// Ends the present epoch: later messages of it count as duplicates.
    pub(super) fn end_epoch(&mut self) {
        self.ended_epoch = self.epoch;
    }

    /// Marks the epoch as unconfirmed after the machine came from another owner, until the machine reports
    /// the new token. The epoch known from an earlier ownership, or from a copy of an old heartbeat, may be
    /// older than the attempts that the previous owner reported.
    pub(super) fn unconfirm_epoch(&mut self) {
        self.epoch_is_confirmed = false;
    }

    /// Records a heartbeat and returns whether it is new. `shows_token` says whether the heartbeat carries
    /// the owner's present token.
    pub(super) fn accept(
        &mut self,
        heartbeat: &Heartbeat,
        shows_token: bool,
        origin: HeartbeatOrigin,
    ) -> Freshness {
        if heartbeat.agent_epoch < self.epoch || heartbeat.agent_epoch <= self.ended_epoch {
            return Freshness::Duplicate;
        }
        let epoch_advances = heartbeat.agent_epoch > self.epoch;
        let new_epoch = epoch_advances && self.epoch_is_confirmed;
        if epoch_advances {
            self.epoch = heartbeat.agent_epoch;
            self.sequence = 0;
            self.periodic_sequence = 0;
        }
        self.epoch_is_confirmed |= shows_token;
        if origin == HeartbeatOrigin::Periodic {
            if heartbeat.sequence <= self.periodic_sequence {
                return Freshness::Duplicate;
            }
            self.periodic_sequence = heartbeat.sequence;
        }
        if heartbeat.sequence <= self.sequence {
            return Freshness::Superseded;
        }
        self.sequence = heartbeat.sequence;
        Freshness::New { new_epoch }
    }
}
