//! State that shards exchange in the hellos of their controllers. An update always holds the
//! whole present state, so that a lost or delayed one does no harm.

use crate::core::messages::capacity_demand::{CapacityDemand, MachineOffer};
use crate::core::model::time::Time;
use crate::core::records::shard_map::ShardMap;
use crate::ids::{Attempt, FencingToken, Image, MachineId, Team, Version, Zone};
use crate::wire::ReportedTask;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The state of the sender's shard, as far as it concerns the receiver's shard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// Revision of the sender's store replica: it has seen every change of the shard map up to here,
    /// and starts nothing on what those changes took from it.
    pub revision: Version,
    /// The teams whose tasks the observations list: the receiver's teams in the sender's shard map. If
    /// the sender has seen a team change its owner before the receiver has, the absence of that team's
    /// tasks says nothing.
    pub teams: BTreeSet<Team>,
    /// The sender wants observations of all the receiver's machines.
    #[serde(rename = "listening")]
    pub wants_observations: bool,
    /// The sender's reconciled machines: they have shown their present fencing token, or are known to
    /// be empty.
    #[serde(rename = "settled")]
    pub reconciled: Vec<(MachineId, FencingToken)>,
    /// Of these, the ones with tasks of the receiver's teams.
    #[serde(rename = "facts")]
    pub observations: Vec<TaskObservation>,
    /// What the receiver is to do with tasks of the sender's teams on the receiver's machines.
    #[serde(rename = "wishes")]
    pub commands: Vec<TaskCommand>,
    /// For the leader: what the sender's shard lacks and can spare.
    #[serde(rename = "need")]
    pub demand: CapacityDemand,
    /// From the leader: offers of which the cloud has no capacity at present.
    #[serde(rename = "refused")]
    pub unavailable_offers: Option<BTreeSet<MachineOffer>>,
    /// In every few hellos: the images on the sender's machines. To a new process: all images that
    /// the sender knows of. A new owner prefers machines on which nothing has to be fetched.
    pub images: ImageHints,
    /// Along with the images: the addresses of those machines, so that their next owner can send them
    /// a request at once.
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
    /// The machine.
    pub machine: MachineId,
    /// The fencing token under which the sender owns it.
    #[serde(rename = "term")]
    pub token: FencingToken,
    /// The machine's zone.
    pub zone: Zone,
    /// The tasks.
    pub tasks: Vec<ReportedTask>,
}

/// What a machine's owner is to do with a task, at the request of the owner of the task's team.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskCommand {
    /// The machine.
    pub machine: MachineId,
    /// The task, as `job/index`.
    pub task: String,
    /// The attempt of the task.
    pub attempt: Attempt,
    /// Stop the attempt, with this many seconds of grace.
    pub stop: Option<f64>,
    /// Whether the worker may forget the attempt once it has exited.
    pub forget: bool,
}

/// For each machine the images in its cache as far as known, with their sizes in GB. They influence
/// which machine is chosen, never whether a start is allowed.
pub type ImageHints = BTreeMap<MachineId, Vec<(Image, f64)>>;

/// Where a machine is reached, as last known by its owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineContact {
    /// Its network address.
    #[serde(rename = "a")]
    pub address: String,
    /// Its agent epoch at that time. A later epoch is returned in the answer to the first request.
    #[serde(rename = "s")]
    pub agent_epoch: u64,
}

/// Where machines are reached. They are only hints: a machine without a contact is not contacted until
/// its worker sends a heartbeat.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineContacts(BTreeMap<MachineId, MachineContact>);

impl FromIterator<(MachineId, MachineContact)> for MachineContacts {
    fn from_iter<I: IntoIterator<Item = (MachineId, MachineContact)>>(contacts: I) -> Self {
        Self(contacts.into_iter().collect())
    }
}

impl MachineContacts {
    /// The contact of one machine.
    pub fn get(&self, machine: &MachineId) -> Option<&MachineContact> {
        self.0.get(machine)
    }

    /// The contact of one machine, to be updated.
    pub fn get_mut(&mut self, machine: &MachineId) -> Option<&mut MachineContact> {
        self.0.get_mut(machine)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds newer contacts, which replace those of the same machines.
    pub fn extend(&mut self, newer: Self) {
        self.0.extend(newer.0);
    }

    /// These contacts, extended by newer ones.
    pub fn with(&self, newer: Self) -> Self {
        let mut all = self.clone();
        all.extend(newer);
        all
    }

    /// Removes the contacts of machines that are not in the shard map any more.
    pub fn prune(&mut self, shard_map: &ShardMap) {
        self.0
            .retain(|machine, _| shard_map.machines.contains_key(machine));
    }
}

/// A machine that its owner does not answer any more under this fencing token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UnresponsiveMachine {
    /// The machine.
    pub machine: MachineId,
    /// The token.
    #[serde(rename = "term")]
    pub token: FencingToken,
    /// Seconds between the last answer and the sending of this message.
    pub age: Time,
}
