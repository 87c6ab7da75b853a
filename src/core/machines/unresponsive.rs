//! What is known of machines that their owners do not hear.
//!
//! An owner that has not heard a machine for most of a lease says so, and from then on does not answer
//! it under the present term any more: should it report again, it first gets a fresh token. So the
//! time of its last answer is settled for good, and whoever has the machine next can count the
//! lease from there instead of from the hand-over. The map names the term that came directly
//! before (`prior`), if its owner was known to have said this under it; only then does it count.

use crate::core::messages::shard_update::Unresponsive;
use crate::core::model::time::{CLOCK_DRIFT, Time};
use crate::core::records::shard_map::ShardMap;
use crate::ids::{FencingToken, MachineId};
use std::collections::BTreeMap;

#[derive(Default)]
pub struct UnresponsiveMachines(BTreeMap<MachineId, (FencingToken, Time)>);

impl UnresponsiveMachines {
    /// Takes up what was said, here or elsewhere. Messages take time, so of several words on one
    /// term the one that puts the last answer earliest is nearest to the truth.
    pub fn note(&mut self, said: impl IntoIterator<Item = Unresponsive>, now: Time) {
        for Unresponsive {
            machine,
            token,
            age,
        } in said
        {
            let answered = now - age * (1.0 - CLOCK_DRIFT);
            let known = self.0.entry(machine).or_insert((token, answered));
            if token > known.0 || (token == known.0 && answered < known.1) {
                *known = (token, answered);
            }
        }
    }

    /// Drops what the map has overtaken.
    pub fn prune(&mut self, owners: &ShardMap) {
        self.0.retain(|machine, (token, _)| {
            let owner = owners.machines.get(machine);
            owner.is_some_and(|owner| owner.token <= *token || owner.previous_token == Some(*token))
        });
    }

    pub fn all(&self, now: Time) -> Vec<Unresponsive> {
        let said = self.0.iter();
        said.map(|(id, (token, answered))| Unresponsive {
            machine: id.clone(),
            token: *token,
            age: now - answered,
        })
        .collect()
    }

    /// When the machine was last answered, if it is not answered under this term any more.
    pub fn answered(&self, machine: &MachineId, token: FencingToken) -> Option<Time> {
        self.0
            .get(machine)
            .filter(|(of, _)| *of == token)
            .map(|(_, answered)| *answered)
    }
}

#[cfg(test)]
mod tests;
