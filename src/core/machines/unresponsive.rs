//! Declarations that a machine is unresponsive.
//!
//! An owner that has received no heartbeat of a machine for most of a lease declares the machine
//! unresponsive. From then on it answers no heartbeat under the present fencing token: a machine that
//! sends heartbeats again needs a new token before it is answered. The time of the last answer under the
//! declared token is therefore final. The next owner can count the lease from that time instead of from
//! the change of owner. A declaration is valid only if the shard map contains its token as
//! `previous_token`, the token directly before the present one. The leader sets `previous_token` if it
//! knows that the owner declared the machine unresponsive under that token.

use crate::core::messages::shard_update::UnresponsiveMachine;
use crate::core::model::time::{MAX_CLOCK_DRIFT, Time};
use crate::core::records::shard_map::ShardMap;
use crate::ids::{FencingToken, MachineId};
use std::collections::BTreeMap;

/// The declaration that a machine is no longer answered under a token.
struct Declaration {
    token: FencingToken,
    /// When the machine was last answered, on this process's clock. Errors make it later, never earlier.
    last_answered: Time,
}

/// The declarations that this process knows, by machine.
#[derive(Default)]
pub struct UnresponsiveMachines(BTreeMap<MachineId, Declaration>);

impl UnresponsiveMachines {
    /// Records declarations that this process made or received. The delay of a message makes the time of the
    /// last answer appear later, so the earliest time among declarations under one token is the most
    /// accurate.
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
            let is_more_accurate = last_answered < known.last_answered;
            if token > known.token || (token == known.token && is_more_accurate) {
                *known = Declaration {
                    token,
                    last_answered,
                };
            }
        }
    }

    /// Removes the declarations of deleted machines. Also removes those of machines with a higher token,
    /// unless the shard map contains the declared token as `previous_token`.
    pub fn prune(&mut self, owners: &ShardMap) {
        self.0.retain(|machine, declaration| {
            let owner = owners.machines.get(machine);
            owner.is_some_and(|owner| {
                owner.token <= declaration.token || owner.previous_token == Some(declaration.token)
            })
        });
    }

    /// Returns all declarations, with the time since the last answer as of `now`.
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

    /// Returns when the machine was last answered under this token; `None` if it was not declared
    /// unresponsive under the token.
    pub fn last_answered(&self, machine: &MachineId, token: FencingToken) -> Option<Time> {
        self.0
            .get(machine)
            .filter(|declaration| declaration.token == token)
            .map(|declaration| declaration.last_answered)
    }
}

#[cfg(test)]
mod tests;
