//! What the reply to a pending call belongs to.

use crate::core::effects::{RequestId, UserRequest};
use crate::core::model::time::Time;
use crate::core::records::shard_map::ShardOwner;
use crate::ids::{ControllerName, FencingToken, JobId, MachineId, Team, Version};
use crate::wire::{Heartbeat, ListedMachine, Rental, Write};

/// A pending call.
#[derive(Debug)]
pub enum Pending {
    /// A read of the store.
    StoreRead {
        /// When it was sent.
        sent: Time,
    },
    /// A write that a user's request needs.
    UserWrite(UserWrite),
    /// A call that keeps this process's lease or the keys bound to it.
    OwnershipLease(OwnershipCall),
    /// A transaction of job records.
    JobRecords(Vec<RecordWrite>),
    /// A transaction of the shard map.
    ShardMap(MapWrite),
    /// A write of a team's grant record.
    Grant(GrantWrite),
    /// A write of the machine types.
    MachineTypes(Write),
    /// Commands to a worker.
    DirectCommands {
        /// The worker's machine.
        machine: MachineId,
    },
    /// A question for the tasks of a machine that this shard has acquired.
    Inspection {
        /// The machine.
        machine: MachineId,
    },
    /// A hello to a sibling.
    Hello {
        /// The sibling.
        node: ControllerName,
        /// When it was sent.
        sent: Time,
    },
    /// A user's request passed on to a sibling.
    RelayedRequest {
        /// The request.
        request: RequestId,
    },
    /// A heartbeat passed on to the owner of its machine.
    RelayedHeartbeat {
        /// The request that carried the heartbeat.
        request: RequestId,
        /// The owner that answers it.
        owner: ShardOwner,
        /// The heartbeat.
        heartbeat: Box<Heartbeat>,
    },
    /// A message whose reply does not matter.
    Notification,
    /// A call of the cloud: the leader's operation, or `None` if the machine types are read.
    Cloud(Option<CloudOperation>),
}

impl Pending {
    /// Whether the call writes keys of the store.
    pub fn is_write(&self) -> bool {
        match self {
            Self::UserWrite(_)
            | Self::JobRecords(_)
            | Self::ShardMap(_)
            | Self::MachineTypes(_)
            | Self::Grant(_) => true,
            Self::OwnershipLease(call) => call.is_write(),
            _ => false,
        }
    }
}

/// A call that keeps this process's lease or the keys bound to it.
#[derive(Debug)]
pub enum OwnershipCall {
    /// Creates the lease.
    Create {
        /// When the call was sent.
        sent: Time,
    },
    /// Writes the key of this process.
    Register {
        /// The lease that the key is bound to.
        lease: u64,
    },
    /// Writes the leader's key.
    Claim {
        /// The lease that the key is bound to.
        lease: u64,
    },
    /// Renews the lease.
    Renew {
        /// The lease.
        lease: u64,
        /// When the call was sent.
        sent: Time,
    },
    /// Ends the lease.
    End,
}

impl OwnershipCall {
    /// Whether the call writes a key; calls for leases count as requests only.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Register { .. } | Self::Claim { .. })
    }
}

/// A write of one job's record.
#[derive(Debug)]
pub struct RecordWrite {
    /// The job.
    pub(crate) job: JobId,
    /// The version of the record that the write replaces.
    pub(crate) version: Version,
    /// The write.
    pub(crate) write: Write,
}

/// A transaction of the shard map.
#[derive(Debug)]
pub struct MapWrite {
    /// The fencing token of the leader that sent it.
    pub(crate) token: Version,
    /// The writes.
    pub(crate) writes: Vec<Write>,
}

/// A write of a team's grant record.
#[derive(Debug)]
pub struct GrantWrite {
    /// The team.
    pub(crate) team: Team,
    /// The fencing token under which the shard owns the team.
    pub(crate) token: FencingToken,
    /// Whether the shard waits for the outcome; it does not if the record is removed, or if the grant is
    /// returned because the team is reassigned.
    pub(crate) outcome_awaited: bool,
    /// The write.
    pub(crate) write: Write,
}

/// An operation of the leader in the cloud. Each holds the fencing token of the leader that began it.
#[derive(Debug)]
pub enum CloudOperation {
    /// Lists the rented machines.
    List {
        /// The leader's fencing token.
        token: Version,
        /// The machines of the pages before.
        listed: Vec<ListedMachine>,
    },
    /// Rents machines.
    Rent {
        /// The leader's fencing token.
        token: Version,
        /// The rental.
        request: RentalRequest,
    },
    /// Returns machines.
    Release {
        /// The leader's fencing token.
        token: Version,
        /// The machines.
        machines: Vec<MachineId>,
    },
}

/// A rental, and the controllers that its machines are for.
#[derive(Clone, Debug)]
pub struct RentalRequest {
    /// The rental.
    pub(crate) rental: Rental,
    /// The controller that each machine is for.
    pub(crate) nodes: Vec<ControllerName>,
}

/// Where the answer to a user's request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReplyTo {
    /// To the user.
    User(RequestId),
    /// To a sibling that passed the request on; it is not passed on again.
    Sibling(RequestId),
}

/// A write that a user's request needs.
#[derive(Debug)]
pub struct UserWrite {
    /// The request.
    pub(crate) request: WaitingRequest,
    /// The write.
    pub(crate) write: Write,
}

/// A user's request that is not answered yet.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    /// Where the answer goes.
    pub(crate) reply_to: ReplyTo,
    /// The request.
    pub(crate) operation: UserRequest,
    /// When it was received.
    pub(crate) received: Time,
    /// It may be answered from a read of the store that was sent at or after this time.
    pub(crate) read_after: Time,
    /// It is not tried before this time, because a write was postponed.
    pub(crate) not_before: Time,
    /// A submission whose create was sent: an existing record may be its own.
    pub(crate) create_sent: bool,
}
