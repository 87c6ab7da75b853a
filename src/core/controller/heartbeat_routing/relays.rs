//! The machines whose heartbeats this controller relays to their owners, and the limits on that.

use crate::config::Config;
use crate::core::model::time::Time;
use crate::core::store::replica::StoreReplica;
use crate::ids::{FencingToken, MachineId};
use std::collections::BTreeMap;

/// Leases of relaying after which a worker is sent to its owner once more.
const MAX_RELAY_LEASES: f64 = 10.0;

/// Leases after which a worker that sent no further heartbeat here has found its owner.
const FORGET_LEASES: f64 = 1.0;

/// Leases for which a token is new.
const NEW_TOKEN_LEASES: f64 = 0.5;

/// Relays in flight at once at most, as a part of the limit on sockets.
const RELAYS_PER_SOCKET: f64 = 0.05;

/// The relaying of one machine's heartbeats.
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

/// What is to be done with the heartbeat of a worker that can't reach its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RelayDecision {
    /// It is relayed to the owner.
    Relay,
    /// The machine's heartbeats have been relayed for long: the worker is to try its owner once more.
    TryOwner,
    /// Too many relays are in flight: the worker is to try another controller.
    TryNextController,
}

/// Machines whose heartbeats are relayed, and workers that were sent to their owners.
pub struct HeartbeatRelays {
    lease_s: Time,
    machines: BTreeMap<MachineId, RelayedMachine>,
    pub(super) in_flight: usize,
    limit: usize,
    next_prune: Time,
    /// When each token of the shard map was first seen here.
    first_seen: BTreeMap<FencingToken, Time>,
    /// The shard map for which that holds.
    last_map_change: Option<u64>,
    /// Workers that were sent to their machines' owners, and under which tokens.
    sent_to_owner: BTreeMap<MachineId, FencingToken>,
}

impl HeartbeatRelays {
    /// No machine is relayed yet.
    pub fn new(config: &Config) -> Self {
        let sockets = config.deployment.limits.fd_limit as f64;
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a small part of the file descriptors, rounded up"
        )]
        let limit = (sockets * RELAYS_PER_SOCKET).ceil() as usize;
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

    /// A worker that can't reach its owner has sent a heartbeat. If the route is [`RelayDecision::Relay`],
    /// [`Self::end_relay`] must follow.
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

    /// A relay was answered or has failed.
    pub(super) fn end_relay(&mut self) {
        self.in_flight -= 1;
    }

    /// Whether a machine's heartbeats are relayed.
    pub(super) fn contains(&self, machine: &MachineId) -> bool {
        self.machines.contains_key(machine)
    }

    /// Notes the tokens in the shard map, and when they first appeared.
    pub(crate) fn track_tokens(&mut self, store: &StoreReplica, now: Time) {
        let is_first = self.last_map_change.is_none();
        if self.last_map_change.replace(store.map_changes()) == Some(store.map_changes()) {
            return;
        }
        let owners = store.owners();
        // How old the tokens of the first map are is unknown; a worker has probably shown them.
        let since = if is_first { Time::NEG_INFINITY } else { now };
        let known = std::mem::take(&mut self.first_seen);
        for owner in owners.machines.values() {
            let seen = known.get(&owner.token).copied().unwrap_or(since);
            self.first_seen.entry(owner.token).or_insert(seen);
        }
        self.sent_to_owner.retain(|id, token| {
            let owner = owners.machines.get(id);
            owner.is_some_and(|owner| owner.token == *token)
        });
    }

    /// Whether a worker is to try its owner before its heartbeats are relayed, for it may know the token
    /// without having been there. A worker whose heartbeats are relayed already could not reach that owner,
    /// whatever its token.
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

    /// Forgets machines whose workers have found their owners.
    fn prune(&mut self, now: Time) {
        if now < self.next_prune {
            return;
        }
        let forget_s = self.lease_s * FORGET_LEASES;
        self.next_prune = now + forget_s;
        self.machines
            .retain(|_, relayed| now - relayed.last_heartbeat <= forget_s);
    }

    /// Begins to relay a machine's heartbeats.
    #[cfg(test)]
    pub(crate) fn mark_relayed(&mut self, machine: &MachineId, now: Time) {
        let relayed = RelayedMachine::new(now);
        self.machines.insert(machine.clone(), relayed);
        self.in_flight += 1;
    }
}

#[cfg(test)]
mod tests;
