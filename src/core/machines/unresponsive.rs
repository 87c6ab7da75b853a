//! Machines that their owners have declared unresponsive.
//!
//! An owner that has received no heartbeat of a machine for most of a lease declares it unresponsive,
//! and from then on does not answer it under the present fencing token: if the machine sends a
//! heartbeat again, it first gets a new token. So the time of the last answer under that token is final,
//! and the next owner can count the lease from there instead of from the change of owner. The shard map
//! names the token that came directly before the present one (`previous_token`) if its owner was known
//! to have declared the machine unresponsive under it; only then does the declaration count.

use crate::core::messages::shard_update::UnresponsiveMachine;
use crate::core::model::time::{MAX_CLOCK_DRIFT, Time};
use crate::core::records::shard_map::ShardMap;
use crate::ids::{FencingToken, MachineId};
use std::collections::BTreeMap;

/// A machine is not answered under a token any more.
struct Declaration {
    token: FencingToken,
    /// When it was last answered, on this process's clock; rather later than earlier.
    last_answered: Time,
}

/// All declarations that are known here, by machine.
#[derive(Default)]
pub struct UnresponsiveMachines(BTreeMap<MachineId, Declaration>);

impl UnresponsiveMachines {
    /// Records declarations, this process's own or received ones. Messages take time, so of several
    /// declarations under one token the one with the earliest last answer is nearest to the truth.
    pub fn record(
        &mut self,
        declarations: impl IntoIterator<Item = UnresponsiveMachine>,
        now: Time,
    ) {
        for UnresponsiveMachine {
            machine,
            token,
            age,
        } in declarations
        {
            let last_answered = now - age * (1.0 - MAX_CLOCK_DRIFT);
            let known = self.0.entry(machine).or_insert(Declaration {
                token,
                last_answered,
            });
            let is_better = last_answered < known.last_answered;
            if token > known.token || (token == known.token && is_better) {
                *known = Declaration {
                    token,
                    last_answered,
                };
            }
        }
    }

    /// Drops declarations of machines that are deleted or have a later token, unless the shard map
    /// refers to them.
    pub fn prune(&mut self, owners: &ShardMap) {
        self.0.retain(|machine, declaration| {
            let owner = owners.machines.get(machine);
            owner.is_some_and(|owner| {
                owner.token <= declaration.token || owner.previous_token == Some(declaration.token)
            })
        });
    }

    /// All declarations, with ages as of now.
    pub fn declarations(&self, now: Time) -> Vec<UnresponsiveMachine> {
        let declarations = self.0.iter();
        declarations
            .map(|(id, declaration)| UnresponsiveMachine {
                machine: id.clone(),
                token: declaration.token,
                age: now - declaration.last_answered,
            })
            .collect()
    }

    /// When the machine was last answered under this token, if it is no longer answered under it.
    pub fn last_answered(&self, machine: &MachineId, token: FencingToken) -> Option<Time> {
        self.0
            .get(machine)
            .filter(|declaration| declaration.token == token)
            .map(|declaration| declaration.last_answered)
    }
}

#[cfg(test)]
mod tests;
