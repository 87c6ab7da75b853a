//! Records the machines whose heartbeats this controller relays to their owners, and limits the relays in
//! number and duration.

use crate::config::Config;
use crate::core::model::time::Time;
use crate::core::store::replica::StoreReplica;
use crate::ids::{FencingToken, MachineId};
use std::collections::BTreeMap;

/// Time for which a machine's heartbeats are relayed before its worker has to try the owner again, in worker
/// leases.
const MAX_RELAY_LEASES: f64 = 10.0;

/// Time without a heartbeat here after which a worker is assumed to have reached its owner, in worker leases.
const FORGET_LEASES: f64 = 1.0;

/// Time for which a token counts as new, in worker leases.
const NEW_TOKEN_LEASES: f64 = 0.5;

/// Maximum number of relays in flight, as a fraction of the limit on file descriptors.
const RELAYS_PER_FILE_DESCRIPTOR: f64 = 0.05;

/// When the relaying of one machine's heartbeats began, and when its worker last sent one here.
struct RelayedMachine {
    relayed_since: Time,
    last_heartbeat: Time,
}

impl RelayedMachine {
    fn new(now: Time) -> Self {
        Self {
            relayed_since: now,
            last_heartbeat: now,
        }
    }
}

/// The action for the heartbeat of a worker that can't reach its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RelayDecision {
    /// The heartbeat is relayed to the owner.
    Relay,
    /// The machine's heartbeats have been relayed for the longest time allowed, so the worker tries the
    /// owner again.
    TryOwner,
    /// Too many relays are in flight, so the worker tries another controller.
    TryNextController,
}

/// The machines whose heartbeats are relayed, and the workers that were sent to an owner with a new token.
pub struct HeartbeatRelays {
    lease_s: Time,
    machines: BTreeMap<MachineId, RelayedMachine>,
    /// Number of relays in flight.
    pub(super) in_flight: usize,
    /// Maximum number of relays in flight.
    limit: usize,
    next_prune: Time,
    /// When each token in the shard map was first seen by this process.
    first_seen: BTreeMap<FencingToken, Time>,
    /// The store replica's count of shard map changes when `first_seen` was last updated.
    last_map_change: Option<u64>,
    /// Machines whose workers were sent to the owner, and the token that the owner had.
    sent_to_owner: BTreeMap<MachineId, FencingToken>,
}

impl HeartbeatRelays {
    /// Creates the collection without relayed machines. The limits depend on the settings.
    pub fn new(config: &Config) -> Self {
        let file_descriptors = config.deployment.limits.fd_limit as f64;
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a small fraction of the file descriptors, rounded up"
        )]
        let limit = (file_descriptors * RELAYS_PER_FILE_DESCRIPTOR).ceil() as usize;
        Self {
            lease_s: config.deployment.workers.lease_s,
            machines: BTreeMap::new(),
            in_flight: 0,
            limit,
            next_prune: 0.0,
            first_seen: BTreeMap::new(),
            last_map_change: None,
            sent_to_owner: BTreeMap::new(),
        }
    }

    /// Decides about the heartbeat of a worker that can't reach its owner. After [`RelayDecision::Relay`] the
    /// caller must call [`Self::end_relay`] once the relay is over.
    pub(super) fn begin_relay(&mut self, machine: &MachineId, now: Time) -> RelayDecision {
        self.prune(now);
        if self.in_flight >= self.limit {
            return RelayDecision::TryNextController;
        }
        let relayed = self
            .machines
            .entry(machine.clone())
            .or_insert_with(|| RelayedMachine::new(now));
        relayed.last_heartbeat = now;
        if now - relayed.relayed_since > self.lease_s * MAX_RELAY_LEASES {
            self.machines.remove(machine);
            return RelayDecision::TryOwner;
        }
        self.in_flight += 1;
        RelayDecision::Relay
    }

    /// Ends a relay that was answered or has failed.
    pub(super) fn end_relay(&mut self) {
        self.in_flight -= 1;
    }

    /// Whether this controller relays a machine's heartbeats.
    pub(super) fn contains(&self, machine: &MachineId) -> bool {
        self.machines.contains_key(machine)
    }

    /// Records when each token in the shard map first appeared, and drops the records of tokens that are
    /// gone.
    pub(crate) fn track_tokens(&mut self, store: &StoreReplica, now: Time) {
        let is_first = self.last_map_change.is_none();
        if self.last_map_change.replace(store.shard_map_changes())
            == Some(store.shard_map_changes())
        {
            return;
        }
        let shard_map = store.shard_map();
        // The age of the first map's tokens is unknown. Workers have probably shown them to the owners
        // already.
        let since = if is_first { Time::NEG_INFINITY } else { now };
        let known = std::mem::take(&mut self.first_seen);
        for owner in shard_map.machines.values() {
            let seen = known.get(&owner.token).copied().unwrap_or(since);
            self.first_seen.entry(owner.token).or_insert(seen);
        }
        self.sent_to_owner.retain(|id, token| {
            let owner = shard_map.machines.get(id);
            owner.is_some_and(|owner| owner.token == *token)
        });
    }

    /// Whether a worker must try its owner before its heartbeats are relayed. It must do so once for a new
    /// token, which it may know without having been at the owner. A worker whose heartbeats are already
    /// relayed could not reach the owner, whatever its token.
    pub(super) fn must_try_owner(
        &mut self,
        machine: &MachineId,
        token: FencingToken,
        now: Time,
    ) -> bool {
        if self.contains(machine) {
            return false;
        }
        let is_new = self
            .first_seen
            .get(&token)
            .is_some_and(|seen| now - seen < self.lease_s * NEW_TOKEN_LEASES);
        is_new && self.sent_to_owner.insert(machine.clone(), token) != Some(token)
    }

    /// Removes machines whose workers have sent no heartbeat here for [`FORGET_LEASES`]. Does so at most once
    /// in that time.
    fn prune(&mut self, now: Time) {
        if now < self.next_prune {
            return;
        }
        let forget_s = self.lease_s * FORGET_LEASES;
        self.next_prune = now + forget_s;
        self.machines
            .retain(|_, relayed| now - relayed.last_heartbeat <= forget_s);
    }

    /// Marks a machine as relayed, with one relay in flight.
    #[cfg(test)]
    pub(crate) fn mark_relayed(&mut self, machine: &MachineId, now: Time) {
        let relayed = RelayedMachine::new(now);
        self.machines.insert(machine.clone(), relayed);
        self.in_flight += 1;
    }
}

#[cfg(test)]
mod tests;
