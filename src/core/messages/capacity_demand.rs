use crate::ids::{FencingToken, MachineId, Team, TypeName, Zone};
use crate::wire::Priority;
use serde::{Deserialize, Serialize};

/// Machines that one rental request may ask for: a limit of the cloud's API.
pub const MAX_MACHINES_PER_RENTAL: usize = 50;

/// A kind of machine that can be rented. Serialized as a triple; ordered by type, zone and whether spot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(TypeName, Zone, bool)", into = "(TypeName, Zone, bool)")]
pub struct MachineOffer {
    /// The machine type.
    pub type_name: TypeName,
    /// The zone it is in.
    pub zone: Zone,
    /// Whether it is a spot instance.
    pub spot: bool,
}

impl From<(TypeName, Zone, bool)> for MachineOffer {
    fn from((type_name, zone, spot): (TypeName, Zone, bool)) -> Self {
        Self {
            type_name,
            zone,
            spot,
        }
    }
}

impl From<MachineOffer> for (TypeName, Zone, bool) {
    fn from(offer: MachineOffer) -> Self {
        (offer.type_name, offer.zone, offer.spot)
    }
}

/// Machines that a share lacks, all for the same reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineDemand {
    pub count: u32,
    /// The cheapest for what waits.
    pub offer: MachineOffer,
    /// Everything that would do, if somebody can spare it.
    pub any_of: Vec<MachineOffer>,
    /// Of the task that asks first: what it takes, and how urgent it is; None for a forecast.
    pub urgency: Option<Priority>,
    pub gpus: f64,
    /// For opportunistic work, which comes after everything else.
    #[serde(
        rename = "opportunistic",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub opportunistic: bool,
}

/// What a share tells the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CapacityDemand {
    /// Machines that would serve what finds no room.
    #[serde(rename = "wants")]
    pub machine_demands: Vec<MachineDemand>,
    /// GPUs (of tasks without: CPUs) that wait for room, a waiting gang counting whole.
    pub queued: f64,
    /// Idle machines that no plan uses.
    #[serde(rename = "spare")]
    pub spare_machines: Vec<MachineId>,
    /// Idle machines that are kept for what is expected only.
    #[serde(rename = "kept")]
    pub forecast_reserve: Vec<MachineId>,
    /// Machines that only opportunistic work is on, and that no plan uses for anything else.
    #[serde(rename = "yielding", default, skip_serializing_if = "Vec::is_empty")]
    pub opportunistic_only_machines: Vec<MachineId>,
    /// Idle machines closed because they were idle for long.
    #[serde(rename = "closed")]
    pub surplus_machines: Vec<MachineId>,
    /// Machines with room beside work that matters, most first: GPUs free or taken by work of
    /// normal and low priority.
    #[serde(rename = "roomy")]
    pub machines_with_free_gpus: Vec<(MachineId, f64)>,
    /// Teams of which nothing waits.
    #[serde(rename = "quiet")]
    pub teams_without_queue: Vec<Team>,
    /// Machines that have not been heard of for long.
    #[serde(rename = "silent")]
    pub unheard_machines: Vec<MachineId>,
    /// Machines that are to get a fresh token in place of this one.
    #[serde(rename = "raise")]
    pub tokens_to_renew: Vec<(MachineId, FencingToken)>,
    /// Teams that are to get a fresh term.
    #[serde(rename = "worn")]
    pub teams_out_of_attempts: Vec<Team>,
}

impl CapacityDemand {
    /// Asks for a fresh token; whether that is news.
    pub fn request_new_token(&mut self, id: &MachineId, token: FencingToken) -> bool {
        let news = !self
            .tokens_to_renew
            .iter()
            .any(|(other, of)| other == id && *of == token);
        if news {
            self.tokens_to_renew.push((id.clone(), token));
        }
        news
    }

    pub fn machines_wanted(&self) -> u32 {
        self.machine_demands.iter().map(|want| want.count).sum()
    }

    pub fn add(&mut self, want: MachineDemand) {
        match self.machine_demands.last_mut() {
            Some(last)
                if (MachineDemand {
                    count: last.count,
                    ..want.clone()
                }) == *last =>
            {
                last.count += want.count;
            }
            _ => self.machine_demands.push(want),
        }
    }
}
