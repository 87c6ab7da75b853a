use crate::core::messages::capacity_demand::{CapacityDemand, MachineOffer};
use crate::core::model::time::Time;
use crate::core::records::shard_map::ShardMap;
use crate::ids::{Attempt, FencingToken, Image, MachineId, Team, Version, Zone};
use crate::wire::ReportedTask;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The sender's view of the state service was this far: it has seen every change of the map
    /// up to here, and starts nothing that those took from it.
    pub revision: Version,
    /// Whose tasks the observations tell of: the receiver's teams as the sender knows the map. If that
    /// has seen a team go elsewhere before the receiver did, its silence about that team says nothing.
    pub teams: BTreeSet<Team>,
    /// The sender wants to know of all the receiver's machines.
    pub listening: bool,
    /// The sender's machines that have shown this term's token, or are known empty.
    #[serde(rename = "settled")]
    pub reconciled: Vec<(MachineId, FencingToken)>,
    /// Of those, the ones with tasks of the receiver's teams.
    #[serde(rename = "facts")]
    pub observations: Vec<TaskObservation>,
    /// What the receiver is to do with the sender's teams' tasks on its machines.
    #[serde(rename = "wishes")]
    pub commands: Vec<TaskCommand>,
    /// To the leader: what the sender's share lacks and has to spare.
    #[serde(rename = "need")]
    pub demand: CapacityDemand,
    /// From the leader: what the cloud has none of at present.
    pub refused: Option<BTreeSet<MachineOffer>>,
    /// Now and then: the images on the sender's machines; to a process that has just begun, all
    /// that the sender knows. A new owner starts without them where it would have to fetch.
    pub images: Hints,
    /// With the images: where those machines are reached, so that whoever has them next can ask them at once.
    #[serde(
        rename = "contacts",
        default,
        skip_serializing_if = "MachineContacts::is_empty"
    )]
    pub contacts: MachineContacts,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskObservation {
    pub machine: MachineId,
    #[serde(rename = "term")]
    pub token: FencingToken,
    pub zone: Zone,
    pub tasks: Vec<ReportedTask>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskCommand {
    pub machine: MachineId,
    pub task: String,
    pub attempt: Attempt,
    pub stop: Option<f64>,
    pub forget: bool,
}

/// Images that each machine holds, as far as anybody knows. Only a hint: it decides what is quick,
/// not what is allowed.
pub type Hints = BTreeMap<MachineId, Vec<(Image, f64)>>;

/// Where a machine is reached, as its owner told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineContact {
    /// Its address.
    #[serde(rename = "a")]
    pub address: String,
    /// Its session then. One that has risen since is told in the answer to the first message.
    #[serde(rename = "s")]
    pub agent_epoch: u64,
}

/// Where machines are reached. Only a hint: of one without a contact a report is waited for.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineContacts(BTreeMap<MachineId, MachineContact>);

impl FromIterator<(MachineId, MachineContact)> for MachineContacts {
    fn from_iter<I: IntoIterator<Item = (MachineId, MachineContact)>>(contacts: I) -> Self {
        Self(contacts.into_iter().collect())
    }
}

impl MachineContacts {
    /// Where one machine is reached.
    pub fn get(&self, machine: &MachineId) -> Option<&MachineContact> {
        self.0.get(machine)
    }

    /// The contact of one machine, to be brought up to date.
    pub fn get_mut(&mut self, machine: &MachineId) -> Option<&mut MachineContact> {
        self.0.get_mut(machine)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes up newer ones.
    pub fn extend(&mut self, newer: Self) {
        self.0.extend(newer.0);
    }

    /// These and newer ones.
    pub fn with(&self, newer: Self) -> Self {
        let mut all = self.clone();
        all.extend(newer);
        all
    }

    /// Drops those of machines that are gone.
    pub fn prune(&mut self, owners: &ShardMap) {
        self.0
            .retain(|machine, _| owners.machines.contains_key(machine));
    }
}

/// A machine that is not answered under this term any more.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Unresponsive {
    pub machine: MachineId,
    #[serde(rename = "term")]
    pub token: FencingToken,
    /// Seconds since its last answer, when this was sent.
    pub age: Time,
}
