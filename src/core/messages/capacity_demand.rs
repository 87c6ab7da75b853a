//! Capacity demand: the machines that a shard lacks or can spare, as its owner reports them to the leader.

use crate::ids::{FencingToken, MachineId, MachineTypeName, Team, Zone};
use crate::wire::Priority;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum number of machines in one rental request. The cloud's API sets this limit.
pub const MAX_MACHINES_PER_RENTAL: usize = 50;

/// A kind of machine that can be rented. Serialized as a triple. Ordered by type, zone and spot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(
    from = "(MachineTypeName, Zone, bool)",
    into = "(MachineTypeName, Zone, bool)"
)]
pub struct MachineOffer {
    /// The machine type of the cloud.
    pub type_name: MachineTypeName,
    /// The zone of the machines.
    pub zone: Zone,
    /// Whether the machines are spot instances.
    pub spot: bool,
}

impl From<(MachineTypeName, Zone, bool)> for MachineOffer {
    fn from((type_name, zone, spot): (MachineTypeName, Zone, bool)) -> Self {
        Self {
            type_name,
            zone,
            spot,
        }
    }
}

impl From<MachineOffer> for (MachineTypeName, Zone, bool) {
    fn from(offer: MachineOffer) -> Self {
        (offer.type_name, offer.zone, offer.spot)
    }
}

/// A number of machines that a shard lacks for the same kind of task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineDemand {
    /// Number of machines that the shard lacks.
    pub count: u32,
    /// The cheapest kind that fits the queued tasks.
    pub offer: MachineOffer,
    /// All kinds that the shard accepts if another shard can spare them.
    pub any_of: Vec<MachineOffer>,
    /// The priority of the first task that needs the machines. `None` for forecast demand.
    pub urgency: Option<Priority>,
    /// Number of GPUs that the first task takes.
    pub gpus: f64,
    /// Whether the machines are for opportunistic tasks. Such demands are served after all others.
    #[serde(
        rename = "opportunistic",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub opportunistic: bool,
}

impl MachineDemand {
    /// Whether both demands are equal except for their counts.
    fn equals_except_count(&self, other: &Self) -> bool {
        let with_its_count = Self {
            count: other.count,
            ..self.clone()
        };
        with_its_count == *other
    }
}

/// The machines that a shard lacks or can spare.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CapacityDemand {
    /// Machines that the shard lacks for its queued and forecast tasks.
    #[serde(rename = "wants")]
    pub machine_demands: Vec<MachineDemand>,
    /// Sum of the GPUs of the queued tasks, or of the CPUs for tasks without GPUs. A queued gang counts with
    /// all of its tasks.
    pub queued: f64,
    /// Idle machines that no planned placement uses.
    #[serde(rename = "spare")]
    pub spare_machines: Vec<MachineId>,
    /// Idle machines that are kept for forecast demand.
    #[serde(rename = "kept")]
    pub forecast_reserve: Vec<MachineId>,
    /// Machines that run opportunistic tasks only and that no planned placement uses for other tasks.
    #[serde(rename = "yielding", default, skip_serializing_if = "Vec::is_empty")]
    pub opportunistic_only_machines: Vec<MachineId>,
    /// Machines that have been idle long enough to be returned.
    #[serde(rename = "closed")]
    pub surplus_machines: Vec<MachineId>,
    /// Machines with the number of their GPUs that are free or used by tasks of normal or low priority, in
    /// descending order of that number.
    #[serde(rename = "roomy")]
    pub machines_with_free_gpus: Vec<(MachineId, f64)>,
    /// The shard's teams without queued tasks.
    #[serde(rename = "quiet")]
    pub teams_without_queue: Vec<Team>,
    /// Machines whose heartbeats have been missing long enough for the machines to be returned.
    #[serde(rename = "silent")]
    pub unheard_machines: Vec<MachineId>,
    /// Machines that need a new fencing token, each with its current token.
    #[serde(rename = "raise")]
    pub tokens_to_renew: Vec<(MachineId, FencingToken)>,
    /// Teams that need a new fencing token because the attempt numbers under the current one run out.
    #[serde(rename = "worn")]
    pub teams_out_of_attempts: Vec<Team>,
}

impl CapacityDemand {
    /// Requests a new fencing token in place of `token`. Returns whether the request is new.
    pub fn request_new_token(&mut self, id: &MachineId, token: FencingToken) -> bool {
        let mut requested = self.tokens_to_renew.iter();
        let is_new = !requested.any(|(other, requested)| other == id && *requested == token);
        if is_new {
            self.tokens_to_renew.push((id.clone(), token));
        }
        is_new
    }

    /// Total number of machines that the shard lacks.
    pub fn machines_wanted(&self) -> u32 {
        let demands = self.machine_demands.iter();
        demands.map(|demand| demand.count).sum()
    }

    /// Adds a demand. If it differs from the last demand in its count only, adds its count to that demand.
    pub fn add(&mut self, demand: MachineDemand) {
        match self.machine_demands.last_mut() {
            Some(last) if demand.equals_except_count(last) => last.count += demand.count,
            _ => self.machine_demands.push(demand),
        }
    }

    /// Removes these machines from the lists of machines that the shard can spare or return.
    pub fn remove_machines(&mut self, machines: &BTreeSet<MachineId>) {
        for list in [
            &mut self.spare_machines,
            &mut self.forecast_reserve,
            &mut self.opportunistic_only_machines,
            &mut self.surplus_machines,
        ] {
            list.retain(|id| !machines.contains(id));
        }
        self.machines_with_free_gpus
            .retain(|(id, _)| !machines.contains(id));
    }
}
