//! When a machine that is not heard must have lost its tasks: its worker's lease runs out a bounded time
//! after its last report was answered.

use crate::core::messages::shard_update::Unresponsive;
use crate::core::model::time::{CLOCK_DRIFT, Time};
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::MachineId;

/// Part of a lease after which a machine that is not heard is said to be silent. A worker that does
/// not reach its owner is with another controller, which relays its reports, before that: after a
/// report time, 4 s without an answer and a pause of 1 s.
const UNRESPONSIVE_LEASES: f64 = 0.7;

impl Shard {
    /// How long after its last answered report a machine may still have its tasks.
    fn lease(&self) -> Time {
        let workers = &self.config.deployment.workers;
        workers.lease_s * (1.0 + CLOCK_DRIFT) + workers.report_s * 0.1
    }

    /// Machines that have not been heard for long are not answered any more under their present
    /// terms, so that their next owners need not wait as long as if they had been until the end.
    /// Not while this process hears nobody or stood still, for then the trouble is its own, nor while
    /// it could not get them fresh tokens.
    pub(crate) fn declare_unresponsive(&mut self, store: &StoreReplica, now: Time) {
        let workers = &self.config.deployment.workers;
        if self.catching_up
            || now > self.heard + workers.report_s
            || now > store.current_as_of() + workers.report_s
        {
            return;
        }
        let silence = workers.lease_s * UNRESPONSIVE_LEASES;
        for machine in self.machines.values_mut() {
            let since = machine.last_answered.max(machine.heartbeat_expected_since);
            let silent = now > since + silence && machine.previous_owner.is_none();
            machine.unresponsive |= machine.is_owned && silent;
        }
    }

    /// What siblings are to know of machines that are not answered any more.
    pub(crate) fn unresponsive(&self, now: Time) -> Vec<Unresponsive> {
        let unresponsive = self
            .machines
            .values()
            .filter(|machine| machine.is_owned && machine.unresponsive);
        unresponsive
            .map(|machine| Unresponsive {
                machine: machine.id.clone(),
                token: machine.token,
                age: now - machine.last_answered,
            })
            .collect()
    }

    /// Machines whose lease must have run out are empty: nobody else was entitled to answer them
    /// until then, which only a map read after that can tell. A process that lives on vouchers, or
    /// whose reads are slow, may otherwise take a machine for silent that has moved to a sibling.
    pub(crate) fn expire_machines(&mut self, store: &StoreReplica, now: Time) {
        let (lease, current) = (self.lease(), store.current_as_of());
        let ours = self
            .machines
            .values()
            .filter(|m| m.is_owned && !m.known_empty && m.previous_owner.is_none());
        let expired: Vec<MachineId> = ours
            .filter(|m| current > m.last_answered + lease)
            .map(|m| m.id.clone())
            .collect();
        for id in expired {
            let Some(machine) = self.machines.get_mut(&id) else {
                continue;
            };
            let gone: Vec<_> = machine.attempts.keys().cloned().collect();
            tracing::info!("{id} is silent; {} tasks on it are gone", gone.len());
            machine.end_epoch();
            self.starts_in_flight.void(&id);
            self.sync_soon = true;
            for (task, attempt) in gone {
                self.drop_attempt(&id, &task, attempt, now);
            }
        }
    }

    /// The cloud has deleted the machine.
    pub(crate) fn remove_machine(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let gone: Vec<_> = machine.attempts.keys().cloned().collect();
        for (task, attempt) in gone {
            self.drop_attempt(id, &task, attempt, now);
        }
        self.machines.remove(id);
        self.changed = true;
    }
}
