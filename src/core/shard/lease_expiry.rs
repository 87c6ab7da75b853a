//! When a machine without heartbeats must have lost its attempts: its worker's lease expires a bounded time
//! after its last heartbeat was answered.

use crate::core::messages::shard_update::UnresponsiveMachine;
use crate::core::model::time::{MAX_CLOCK_DRIFT, Time};
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::MachineId;

/// Part of a lease without heartbeats after which a machine is declared unresponsive. Before that, a worker
/// that does not reach its owner is with another controller, which relays its heartbeats: this takes a
/// heartbeat interval, 4 s without an answer and a pause of 1 s.
const UNRESPONSIVE_LEASES: f64 = 0.7;

/// Part of a heartbeat interval that is added to a lease, for the delays of its messages.
const LEASE_MARGIN_HEARTBEATS: f64 = 0.1;

impl Shard {
    /// Seconds after its last answered heartbeat for which a machine may still have its attempts.
    fn lease(&self) -> Time {
        let workers = &self.config.deployment.workers;
        workers.lease_s * (1.0 + MAX_CLOCK_DRIFT) + workers.report_s * LEASE_MARGIN_HEARTBEATS
    }

    /// Declares machines unresponsive that have sent no heartbeat for long. They are not answered any more
    /// under their present tokens, so that their next owners need not wait as long as if they had been
    /// answered until the change of owner. Nothing is declared while this process receives no heartbeats
    /// at all or was paused, for then the fault is its own, nor while it could not get new tokens for the
    /// machines.
    pub(crate) fn declare_unresponsive(&mut self, store: &StoreReplica, now: Time) {
        let workers = &self.config.deployment.workers;
        let receives_nothing = now > self.last_heartbeat + workers.report_s;
        let store_is_outdated = now > store.current_as_of() + workers.report_s;
        if self.catching_up || receives_nothing || store_is_outdated {
            return;
        }
        let limit = workers.lease_s * UNRESPONSIVE_LEASES;
        for machine in self.machines.values_mut() {
            let since = machine.last_answered.max(machine.heartbeat_expected_since);
            let is_silent = now > since + limit && machine.previous_owner.is_none();
            machine.unresponsive |= machine.is_owned && is_silent;
        }
    }

    /// The machines of this shard that are unresponsive, for the siblings.
    pub(crate) fn unresponsive_machines(&self, now: Time) -> Vec<UnresponsiveMachine> {
        self.machines
            .values()
            .filter(|machine| machine.is_owned && machine.unresponsive)
            .map(|machine| UnresponsiveMachine {
                machine: machine.id.clone(),
                token: machine.token,
                age: now - machine.last_answered,
            })
            .collect()
    }

    /// Machines whose leases must have expired are empty, if no other process could have answered them
    /// until then; only a shard map read after that can show it. Otherwise a process that acts on lease
    /// extensions, or whose reads of the store are slow, could take a machine for silent that has moved
    /// to a sibling.
    pub(crate) fn expire_machines(&mut self, store: &StoreReplica, now: Time) {
        let lease = self.lease();
        let expired: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| {
                machine.is_owned && !machine.known_empty && machine.previous_owner.is_none()
            })
            .filter(|machine| store.current_as_of() > machine.last_answered + lease)
            .map(|machine| machine.id.clone())
            .collect();
        for machine_id in expired {
            self.expire_machine(&machine_id, now);
        }
    }

    /// The machine's lease has expired: nothing is on it any more.
    fn expire_machine(&mut self, machine_id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        tracing::info!(
            machine = %machine_id,
            attempts = machine.attempts.len(),
            "machine lease expired: its attempts have ended"
        );
        machine.end_epoch();
        self.starts_in_flight.void(machine_id);
        self.sync_soon = true;
        self.drop_attempts(machine_id, now);
    }

    /// The cloud has deleted the machine.
    pub(crate) fn remove_machine(&mut self, machine_id: &MachineId, now: Time) {
        if !self.machines.contains_key(machine_id) {
            return;
        }
        self.drop_attempts(machine_id, now);
        self.machines.remove(machine_id);
        self.changed_since_round = true;
    }
}
