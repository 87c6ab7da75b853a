//! Determines when the attempts of a machine without heartbeats must have ended: the lease of its worker
//! expires a bounded time after the last answered heartbeat.

use crate::core::messages::shard_update::UnresponsiveMachine;
use crate::core::model::time::{MAX_CLOCK_DRIFT, Time};
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::MachineId;

/// Time without heartbeats after which a machine is declared unresponsive, in durations of a worker's lease.
/// Within this time, a worker that cannot reach its owner can find another controller, which relays its
/// heartbeats: this takes one heartbeat interval, 4 s without an answer and a pause of 1 s.
const UNRESPONSIVE_AFTER_LEASES: f64 = 0.7;

/// Margin added to a lease for message delays, in heartbeat intervals.
const LEASE_MARGIN_HEARTBEATS: f64 = 0.1;

impl Shard {
    /// The longest time, in seconds, for which a machine may still run attempts after its last answered
    /// heartbeat.
    fn max_lease_s(&self) -> Time {
        let workers = &self.config.deployment.workers;
        workers.lease_s * (1.0 + MAX_CLOCK_DRIFT) + workers.report_s * LEASE_MARGIN_HEARTBEATS
    }

    /// Declares machines unresponsive that have sent no heartbeat for [`UNRESPONSIVE_AFTER_LEASES`]. They are
    /// no longer answered under their current tokens. Their next owners can therefore count the leases from
    /// the last answers instead of from the change of owner.
    ///
    /// No machine is declared unresponsive while this process receives no heartbeats at all or is catching up
    /// after a pause, because the fault may then be its own. The same holds while its store replica is
    /// outdated, because it could not get new tokens for the machines.
    pub(crate) fn declare_unresponsive(&mut self, store: &StoreReplica, now: Time) {
        let workers = &self.config.deployment.workers;
        let receives_nothing = now > self.last_heartbeat + workers.report_s;
        let store_is_outdated = now > store.current_as_of() + workers.report_s;
        if self.catching_up || receives_nothing || store_is_outdated {
            return;
        }
        let limit = workers.lease_s * UNRESPONSIVE_AFTER_LEASES;
        for machine in self.machines.values_mut() {
            let since = machine.last_answered.max(machine.heartbeat_expected_since);
            let is_silent = now > since + limit && machine.previous_owner.is_none();
            machine.unresponsive |= machine.is_owned && is_silent;
        }
    }

    /// The owned machines that were declared unresponsive, as reported to siblings.
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

    /// Marks machines as empty whose leases must have expired without another process answering them. Only a
    /// shard map that was read after the expiry proves this. Without this condition, a process whose
    /// ownership lease was extended by siblings, or that reads the store slowly, could mark a machine as
    /// empty that a sibling now owns.
    pub(crate) fn expire_machines(&mut self, store: &StoreReplica, now: Time) {
        let lease = self.max_lease_s();
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

    /// Drops all attempts of a machine whose lease has expired, and voids the starts in flight to it.
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
        self.starts_in_flight.discard_all(machine_id);
        self.sibling_update_requested = true;
        self.drop_attempts(machine_id, now);
    }

    /// Removes a machine that the cloud has deleted, after dropping its attempts.
    pub(crate) fn remove_machine(&mut self, machine_id: &MachineId, now: Time) {
        if !self.machines.contains_key(machine_id) {
            return;
        }
        self.drop_attempts(machine_id, now);
        self.machines.remove(machine_id);
        self.changed_since_round = true;
    }
}
