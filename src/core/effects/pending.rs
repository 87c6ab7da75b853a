//! The purposes of pending calls, by which their replies are handled.

use crate::core::effects::{RequestId, UserRequest};
use crate::core::model::time::Time;
use crate::core::records::shard_map::ShardOwner;
use crate::ids::{ControllerName, FencingToken, JobId, MachineId, Team, Version};
use crate::wire::{Heartbeat, ListedMachine, Rental, Write};

/// The purpose of a pending call, with the data that its reply is handled with.
#[derive(Debug)]
pub enum Pending {
    /// A read of the store.
    StoreRead {
        /// When the read was sent.
        sent: Time,
    },
    /// A write on behalf of a user's request.
    UserWrite(UserWrite),
    /// A call for this process's lease or for the keys attached to it.
    OwnershipLease(OwnershipCall),
    /// A transaction that writes job records.
    JobRecords(Vec<RecordWrite>),
    /// A transaction that writes chunks of the shard map.
    ShardMap(MapWrite),
    /// A transaction that writes a team's grant record.
    Grant(GrantWrite),
    /// A transaction that writes the machine types of the cloud.
    MachineTypes(Write),
    /// Commands to the worker of a machine.
    DirectCommands {
        /// The machine that the worker runs on.
        machine: MachineId,
    },
    /// A request for the task list of a machine that this shard has acquired.
    Inspection {
        /// The machine that was acquired.
        machine: MachineId,
    },
    /// A hello message to a sibling.
    Hello {
        /// The receiver of the hello.
        node: ControllerName,
        /// When the hello was sent.
        sent: Time,
    },
    /// A user's request that was relayed to a sibling.
    RelayedRequest {
        /// The user's request, which the sibling's reply answers.
        request: RequestId,
    },
    /// A heartbeat that was relayed to the owner of its machine.
    RelayedHeartbeat {
        /// The worker's request that contained the heartbeat.
        request: RequestId,
        /// The owner of the machine, to which the heartbeat was relayed.
        owner: ShardOwner,
        /// The relayed heartbeat.
        heartbeat: Box<Heartbeat>,
    },
    /// A message to a sibling whose reply is ignored.
    Notification,
    /// A call to the cloud for the leader's operation, or `None` for a read of the machine types.
    Cloud(Option<CloudOperation>),
}

impl Pending {
    /// Whether the call counts against the store's rate limit of writes.
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

/// A call for this process's lease or for the keys attached to it.
#[derive(Debug)]
pub enum OwnershipCall {
    /// Creates the lease of this process.
    Create {
        /// When the call was sent.
        sent: Time,
    },
    /// Writes the key that registers this process.
    Register {
        /// The lease that the key is attached to.
        lease: u64,
    },
    /// Writes the leader key.
    Claim {
        /// The lease that the key is attached to.
        lease: u64,
    },
    /// Renews the lease of this process.
    Renew {
        /// The lease to renew.
        lease: u64,
        /// When the call was sent.
        sent: Time,
    },
    /// Ends a lease: that of this process, of an earlier process of this controller, or of a sibling's
    /// process that abandoned it.
    End,
}

impl OwnershipCall {
    /// Whether the call writes a key. Calls for leases do not count as writes.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Register { .. } | Self::Claim { .. })
    }
}

/// A write of the record of one job.
#[derive(Debug)]
pub struct RecordWrite {
    /// The job that the record belongs to.
    pub(crate) job: JobId,
    /// The version of the record that the write replaces.
    pub(crate) version: Version,
    /// The write, applied to the replica when it has been committed.
    pub(crate) write: Write,
}

/// A transaction that writes chunks of the shard map.
#[derive(Debug)]
pub struct MapWrite {
    /// The version of the leader's key under which the leader sent the transaction.
    pub(crate) leader_key_version: Version,
    /// The writes of the transaction, one for each changed chunk.
    pub(crate) writes: Vec<Write>,
}

/// A write or removal of a team's grant record.
#[derive(Debug)]
pub struct GrantWrite {
    /// The team that the record belongs to.
    pub(crate) team: Team,
    /// The fencing token under which the shard owned the team when it sent the write.
    pub(crate) token: FencingToken,
    /// Whether the shard waits for the outcome. It does not wait if the record is removed, or if the grant is
    /// returned because the team is reassigned.
    pub(crate) outcome_awaited: bool,
    /// The write, applied to the replica when it has been committed.
    pub(crate) write: Write,
}

/// An operation of the leader in the cloud. A reply is ignored if the version of the leader's key has changed
/// since the call.
#[derive(Debug)]
pub enum CloudOperation {
    /// Lists the rented machines.
    List {
        /// The version of the leader's key under which the leader sent the call.
        leader_key_version: Version,
        /// The machines of the previous pages.
        listed: Vec<ListedMachine>,
    },
    /// Rents machines.
    Rent {
        /// The version of the leader's key under which the leader sent the call.
        leader_key_version: Version,
        /// The requested machines.
        request: RentalRequest,
    },
    /// Returns machines.
    Release {
        /// The version of the leader's key under which the leader sent the call.
        leader_key_version: Version,
        /// The machines to return.
        machines: Vec<MachineId>,
    },
}

/// A rental request, with the controllers that receive its machines.
#[derive(Clone, Debug)]
pub struct RentalRequest {
    /// The request as it is sent to the cloud.
    pub(crate) rental: Rental,
    /// The controller that receives each machine, in the order of the rented machines.
    pub(crate) nodes: Vec<ControllerName>,
}

/// The receiver of the answer to a user's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReplyTo {
    /// The user, if the request came directly to this controller.
    User(RequestId),
    /// A sibling that relayed the request. The request is not relayed again.
    Sibling(RequestId),
}

/// A write on behalf of a user's request.
#[derive(Debug)]
pub struct UserWrite {
    /// The request that is answered after the write.
    pub(crate) request: WaitingRequest,
    /// The write, applied to the replica when it has been committed.
    pub(crate) write: Write,
}

/// A user's request that has not been answered yet.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    /// The receiver of the answer.
    pub(crate) reply_to: ReplyTo,
    /// The operation that the user requests.
    pub(crate) operation: UserRequest,
    /// When the request was received.
    pub(crate) received: Time,
    /// The request may be answered from a read of the store that was sent at or after this time.
    pub(crate) read_after: Time,
    /// The request is not processed before this time, because its write was postponed.
    pub(crate) not_before: Time,
    /// Whether the write of a submission has been sent, so that an existing record may be its own.
    pub(crate) create_sent: bool,
}
