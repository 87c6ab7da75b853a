//! The state that shards exchange in the hellos of their controllers. An update always contains the whole
//! current state, so that a lost or delayed update has no lasting effect.

use crate::core::messages::capacity_demand::{CapacityDemand, MachineOffer};
use crate::core::model::time::Time;
use crate::core::records::shard_map::ShardMap;
use crate::ids::{Attempt, FencingToken, Image, MachineId, Team, Version, Zone};
use crate::wire::ReportedTask;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The state of the sender's shard that the receiver's shard needs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The revision of the sender's store replica. The sender knows every change of the shard map up to this
    /// revision and starts no task for a team or on a machine that these changes took from it.
    pub revision: Version,
    /// The teams whose tasks the observations list: the receiver's teams in the sender's shard map. The
    /// observations give no information about other teams, such as a team whose reassignment only the sender
    /// has read.
    pub teams: BTreeSet<Team>,
    /// Whether the sender requests observations of all of the receiver's machines.
    #[serde(rename = "listening")]
    pub wants_observations: bool,
    /// The sender's reconciled machines with their fencing tokens. A machine is reconciled if it has reported
    /// its current fencing token or is known to run no tasks.
    #[serde(rename = "settled")]
    pub reconciled: Vec<(MachineId, FencingToken)>,
    /// The tasks of the receiver's teams on the reconciled machines that run any.
    #[serde(rename = "facts")]
    pub observations: Vec<TaskObservation>,
    /// Commands for tasks of the sender's teams on the receiver's machines.
    #[serde(rename = "wishes")]
    pub commands: Vec<TaskCommand>,
    /// For the leader: the machines that the sender's shard lacks or can spare.
    #[serde(rename = "need")]
    pub demand: CapacityDemand,
    /// From the leader: the offers that cannot be rented at present. `None` from other controllers.
    #[serde(rename = "refused")]
    pub unavailable_offers: Option<BTreeSet<MachineOffer>>,
    /// The images on the sender's machines, included in every few hellos only. A new process receives all
    /// images that the sender knows of. A new owner of a machine prefers machines that already have a task's
    /// image.
    pub images: ImageHints,
    /// The addresses of the machines in `images`, so that the next owner of a machine can send it a request
    /// at once.
    #[serde(
        rename = "contacts",
        default,
        skip_serializing_if = "MachineContacts::is_empty"
    )]
    pub contacts: MachineContacts,
}

/// The tasks of the receiver's teams on one machine of the sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskObservation {
    /// The machine that runs the tasks.
    pub machine: MachineId,
    /// The fencing token under which the sender owns the machine.
    #[serde(rename = "term")]
    pub token: FencingToken,
    /// The zone of the machine.
    pub zone: Zone,
    /// The tasks of the receiver's teams, as the worker reported them.
    pub tasks: Vec<ReportedTask>,
}

/// A command for a task, sent by the owner of the task's team to the owner of the machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskCommand {
    /// The machine that runs the task.
    pub machine: MachineId,
    /// The id of the task, in the form `job/index`.
    pub task: String,
    /// The attempt that the command applies to.
    pub attempt: Attempt,
    /// Seconds of grace with which the attempt is stopped. `None` if it is not to be stopped.
    pub stop: Option<f64>,
    /// Whether the worker may forget the attempt once it has exited.
    pub forget: bool,
}

/// The known images in the cache of each machine, with their sizes in GB. They affect the choice of a
/// machine, but never whether a task may start.
pub type ImageHints = BTreeMap<MachineId, Vec<(Image, f64)>>;

/// The network address and the agent epoch of a machine, as its owner last knew them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineContact {
    /// The network address of the machine's worker.
    #[serde(rename = "a")]
    pub address: String,
    /// The agent epoch at that time. If the epoch has changed, the reply to the first request contains the
    /// new one.
    #[serde(rename = "s")]
    pub agent_epoch: u64,
}

/// The contacts of machines. They are hints: a machine without a contact receives no request until its worker
/// sends a heartbeat.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineContacts(BTreeMap<MachineId, MachineContact>);

impl FromIterator<(MachineId, MachineContact)> for MachineContacts {
    fn from_iter<I: IntoIterator<Item = (MachineId, MachineContact)>>(contacts: I) -> Self {
        Self(contacts.into_iter().collect())
    }
}

impl MachineContacts {
    /// The contact of a machine. `None` if it is not known.
    pub fn get(&self, machine: &MachineId) -> Option<&MachineContact> {
        self.0.get(machine)
    }

    /// The contact of a machine, for an update. `None` if it is not known.
    pub fn get_mut(&mut self, machine: &MachineId) -> Option<&mut MachineContact> {
        self.0.get_mut(machine)
    }

    /// Whether no contact is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds newer contacts. They replace the contacts of the same machines.
    pub fn extend(&mut self, newer: Self) {
        self.0.extend(newer.0);
    }

    /// Returns a copy of these contacts, extended with newer ones.
    pub fn extended_with(&self, newer: Self) -> Self {
        let mut all = self.clone();
        all.extend(newer);
        all
    }

    /// Removes the contacts of machines that are no longer in the shard map.
    pub fn prune(&mut self, shard_map: &ShardMap) {
        self.0
            .retain(|machine, _| shard_map.machines.contains_key(machine));
    }
}

/// A machine whose owner no longer answers its worker under this fencing token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UnresponsiveMachine {
    /// The machine whose worker gets no answers.
    pub machine: MachineId,
    /// The fencing token that the declaration applies to.
    #[serde(rename = "term")]
    pub token: FencingToken,
    /// Seconds from the last answer to the worker until this message was sent.
    pub age: Time,
}
