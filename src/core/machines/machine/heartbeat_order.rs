//! The order of a worker's messages. They arrive late, twice and out of order; only one that is newer
//! than everything received before may change what is known of the machine.

use crate::wire::Heartbeat;

/// How a heartbeat was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOrigin {
    /// The worker sent it by itself, and waits for the response.
    Periodic,
    /// It is the answer to a direct message with commands.
    CommandReply,
}

/// Whether a heartbeat is newer than what was received before.
#[derive(Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Newer than every message received before.
    New {
        /// It begins a later agent epoch than the one known here: everything that was on the machine
        /// in the earlier one has ended.
        new_epoch: bool,
    },
    /// Its worker waits for the response, but a newer message of the same epoch was received.
    Superseded,
    /// A copy of an earlier heartbeat, or one of an epoch that is over. It proves nothing.
    Duplicate,
}

/// The newest agent epoch and messages of one machine.
#[derive(Default)]
pub(super) struct HeartbeatOrder {
    epoch: u64,
    /// The epoch was seen under a token of the present owner, so that a later one ends what is on the
    /// machine.
    epoch_is_confirmed: bool,
    /// Newest message of the epoch, of either origin.
    sequence: u64,
    /// Newest periodic heartbeat of the epoch.
    periodic_sequence: u64,
    /// Epochs up to this one are over.
    ended_epoch: u64,
}

impl HeartbeatOrder {
    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn ended_epoch(&self) -> u64 {
        self.ended_epoch
    }

    /// The present epoch is over: none of its messages counts any more.
    pub(super) fn end_epoch(&mut self) {
        self.ended_epoch = self.epoch;
    }

    /// The machine comes from another owner. Its epoch is known only once it has shown the new token:
    /// what was known when it was here before, or from the copy of an old heartbeat, may be older than
    /// the tasks that its former owner reported.
    pub(super) fn unconfirm_epoch(&mut self) {
        self.epoch_is_confirmed = false;
    }

    /// Records a heartbeat and tells whether it is new. `shows_token`: it shows the owner's present token.
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
