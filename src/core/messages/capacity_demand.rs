use crate::ids::{FencingToken, MachineId, Team, TypeName, Zone};
use crate::wire::Priority;
use serde::{Deserialize, Serialize};

/// A kind of machine that can be rented: type, zone, and whether spot.
pub type Offer = (TypeName, Zone, bool);

/// Machines that a share lacks, all for the same reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineDemand {
    pub count: u32,
    /// The cheapest for what waits.
    pub offer: Offer,
    /// Everything that would do, if somebody can spare it.
    pub any_of: Vec<Offer>,
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
    pub wants: Vec<MachineDemand>,
    /// GPUs (of tasks without: CPUs) that wait for room, a waiting gang counting whole.
    pub queued: f64,
    /// Idle machines that no plan uses.
    pub spare: Vec<MachineId>,
    /// Idle machines that are kept for what is expected only.
    pub kept: Vec<MachineId>,
    /// Machines that only opportunistic work is on, and that no plan uses for anything else.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub yielding: Vec<MachineId>,
    /// Idle machines closed because they were idle for long.
    pub closed: Vec<MachineId>,
    /// Machines with room beside work that matters, most first: GPUs free or taken by work of
    /// normal and low priority.
    pub roomy: Vec<(MachineId, f64)>,
    /// Teams of which nothing waits.
    pub quiet: Vec<Team>,
    /// Machines that have not been heard of for long.
    pub silent: Vec<MachineId>,
    /// Machines that are to get a fresh token in place of this one.
    pub raise: Vec<(MachineId, FencingToken)>,
    /// Teams that are to get a fresh term.
    #[serde(rename = "worn")]
    pub exhausted: Vec<Team>,
}

impl CapacityDemand {
    /// Asks for a fresh token; whether that is news.
    pub fn raise(&mut self, id: &MachineId, token: FencingToken) -> bool {
        let news = !self
            .raise
            .iter()
            .any(|(other, of)| other == id && *of == token);
        if news {
            self.raise.push((id.clone(), token));
        }
        news
    }

    pub fn wanted(&self) -> u32 {
        self.wants.iter().map(|want| want.count).sum()
    }

    pub fn want(&mut self, want: MachineDemand) {
        match self.wants.last_mut() {
            Some(last)
                if (MachineDemand {
                    count: last.count,
                    ..want.clone()
                }) == *last =>
            {
                last.count += want.count;
            }
            _ => self.wants.push(want),
        }
    }
}
