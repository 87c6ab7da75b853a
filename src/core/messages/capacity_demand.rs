//! Capacity demand: what a shard lacks and can spare, as its owner reports it to the leader.

use crate::ids::{FencingToken, MachineId, MachineTypeName, Team, Zone};
use crate::wire::Priority;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Machines that one rental request may ask for: a limit of the cloud's API.
pub const MAX_MACHINES_PER_RENTAL: usize = 50;

/// A kind of machine that can be rented. Serialized as a triple; ordered by type, zone and whether spot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(
    from = "(MachineTypeName, Zone, bool)",
    into = "(MachineTypeName, Zone, bool)"
)]
pub struct MachineOffer {
    /// The machine type.
    pub type_name: MachineTypeName,
    /// The zone it is in.
    pub zone: Zone,
    /// Whether it is a spot instance.
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

/// Machines that a shard lacks, all for the same reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineDemand {
    /// How many.
    pub count: u32,
    /// The cheapest kind that fits the queued tasks.
    pub offer: MachineOffer,
    /// All kinds that are acceptable if another shard can spare them.
    pub any_of: Vec<MachineOffer>,
    /// The priority of the first task that needs them; None for forecast demand.
    pub urgency: Option<Priority>,
    /// The GPUs that this task takes.
    pub gpus: f64,
    /// Whether they are for opportunistic work, which is served after all other demands.
    #[serde(
        rename = "opportunistic",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub opportunistic: bool,
}

impl MachineDemand {
    /// Whether the two differ in their counts at most.
    fn equals_except_count(&self, other: &Self) -> bool {
        let with_its_count = Self {
            count: other.count,
            ..self.clone()
        };
        with_its_count == *other
    }
}

/// What a shard lacks and can spare.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CapacityDemand {
    /// Machines that the shard lacks for its queued and forecast tasks.
    #[serde(rename = "wants")]
    pub machine_demands: Vec<MachineDemand>,
    /// GPUs of queued tasks, or CPUs where a task takes no GPUs; a queued gang counts as a whole.
    pub queued: f64,
    /// Idle machines that no plan uses.
    #[serde(rename = "spare")]
    pub spare_machines: Vec<MachineId>,
    /// Idle machines that are kept for forecast demand.
    #[serde(rename = "kept")]
    pub forecast_reserve: Vec<MachineId>,
    /// Machines that run only opportunistic tasks, and that no plan uses for others.
    #[serde(rename = "yielding", default, skip_serializing_if = "Vec::is_empty")]
    pub opportunistic_only_machines: Vec<MachineId>,
    /// Machines that have been idle for so long that they can be returned.
    #[serde(rename = "closed")]
    pub surplus_machines: Vec<MachineId>,
    /// Machines with GPUs that are free or taken by tasks of normal and low priority, and how many; those with
    /// the most come first.
    #[serde(rename = "roomy")]
    pub machines_with_free_gpus: Vec<(MachineId, f64)>,
    /// Teams that have no queued task.
    #[serde(rename = "quiet")]
    pub teams_without_queue: Vec<Team>,
    /// Machines that have sent no heartbeat for so long that they can be returned.
    #[serde(rename = "silent")]
    pub unheard_machines: Vec<MachineId>,
    /// Machines that need a new fencing token, each with its present one.
    #[serde(rename = "raise")]
    pub tokens_to_renew: Vec<(MachineId, FencingToken)>,
    /// Teams that need a new fencing token, since the attempt numbers under the present one run out.
    #[serde(rename = "worn")]
    pub teams_out_of_attempts: Vec<Team>,
}

impl CapacityDemand {
    /// Asks for a new fencing token in place of this one; returns whether it was not asked for before.
    pub fn request_new_token(&mut self, id: &MachineId, token: FencingToken) -> bool {
        let mut requested = self.tokens_to_renew.iter();
        let is_new = !requested.any(|(other, requested)| other == id && *requested == token);
        if is_new {
            self.tokens_to_renew.push((id.clone(), token));
        }
        is_new
    }

    /// How many machines the shard lacks in all.
    pub fn machines_wanted(&self) -> u32 {
        let demands = self.machine_demands.iter();
        demands.map(|demand| demand.count).sum()
    }

    /// Adds a demand; if it differs from the last one in its count only, the two become one.
    pub fn add(&mut self, demand: MachineDemand) {
        match self.machine_demands.last_mut() {
            Some(last) if demand.equals_except_count(last) => last.count += demand.count,
            _ => self.machine_demands.push(demand),
        }
    }

    /// Removes these machines from all that the shard can spare or lets be returned.
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
