use crate::core::effects::{RequestId, UserRequest};
use crate::core::model::time::Time;
use crate::core::records::shard_map::ShardOwner;
use crate::ids::{FencingToken, JobId, MachineId, Node, Team, Version};
use crate::wire::{Heartbeat, ListedMachine, Rental, Write};

/// What a reply belongs to.
#[derive(Debug)]
pub enum Pending {
    Sync {
        sent: Time,
    },
    UserWrite(UserWrite),
    OwnershipLease(OwnershipCall),
    Records(Vec<RecordWrite>),
    Map(MapWrite),
    /// A team's record of grants.
    Grant(GrantWrite),
    /// The machine types are written.
    Types(Write),
    DirectCommands {
        machine: MachineId,
    },
    /// What a machine holds that has come to this share.
    Inspection {
        machine: MachineId,
    },
    Hello {
        node: Node,
        sent: Time,
    },
    Relay {
        request: RequestId,
    },
    /// A report that its machine's owner answers.
    RelayedHeartbeat {
        request: RequestId,
        owner: ShardOwner,
        heartbeat: Box<Heartbeat>,
    },
    Notice,
    Cloud(Option<CloudOperation>),
}

impl Pending {
    /// Whether it is the reply to a change in the state service.
    pub fn is_change(&self) -> bool {
        match self {
            Self::UserWrite(_)
            | Self::Records(_)
            | Self::Map(_)
            | Self::Types(_)
            | Self::Grant(_) => true,
            Self::OwnershipLease(call) => call.is_change(),
            _ => false,
        }
    }
}

#[derive(Debug)]
pub enum OwnershipCall {
    Create { sent: Time },
    Register { lease: u64 },
    Claim { lease: u64 },
    Renew { lease: u64, sent: Time },
    End,
}

impl OwnershipCall {
    /// Whether it writes a key; leases count as requests only.
    pub fn is_change(&self) -> bool {
        matches!(self, Self::Register { .. } | Self::Claim { .. })
    }
}

/// A new record of one job.
#[derive(Debug)]
pub struct RecordWrite {
    pub(crate) job: JobId,
    pub(crate) version: Version,
    pub(crate) write: Write,
}

#[derive(Debug)]
pub struct MapWrite {
    pub(crate) term: Version,
    pub(crate) writes: Vec<Write>,
}

/// A write of a team's record of grants.
#[derive(Debug)]
pub struct GrantWrite {
    pub(crate) team: Team,
    pub(crate) term: FencingToken,
    /// Whether the holder waits for the outcome; it does not if the record is removed, or the grant
    /// given back as the team goes.
    pub(crate) proposed: bool,
    pub(crate) write: Write,
}

#[derive(Debug)]
pub enum CloudOperation {
    List {
        term: Version,
        seen: Vec<ListedMachine>,
    },
    Rent {
        term: Version,
        order: RentalRequest,
    },
    Release {
        term: Version,
        machines: Vec<MachineId>,
    },
}

/// A rental, and whom each of its machines is for.
#[derive(Clone, Debug)]
pub struct RentalRequest {
    pub(crate) rental: Rental,
    pub(crate) nodes: Vec<Node>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReplyTo {
    User(RequestId),
    /// A sibling passed it on; it is not passed on again.
    Sibling(RequestId),
}

#[derive(Debug)]
pub struct UserWrite {
    pub(crate) asked: WaitingRequest,
    pub(crate) write: Write,
}

/// A request on its way.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) reply_to: ReplyTo,
    pub(crate) what: UserRequest,
    pub(crate) asked: Time,
    /// Answered once the view is this current.
    pub(crate) needs: Time,
    /// Not before this time (a write that was put off).
    pub(crate) not_before: Time,
    /// A submission whose create was sent: an existing record may be its own.
    pub(crate) created: bool,
}
