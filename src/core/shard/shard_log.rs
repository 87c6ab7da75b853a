//! Periodic log of a shard's state, for the analysis of incidents: unfinished tasks by class, free resources
//! by machine offer, requested machines, and teams that wait for reports of machines.

use crate::core::messages::capacity_demand::MachineOffer;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::shard::Shard;
use std::collections::BTreeMap;

/// Numbers of unfinished tasks of one job class.
#[derive(Default)]
struct TaskCounts {
    waiting: usize,
    unreconciled: u32,
    placed: u32,
}

/// Numbers of owned machines of one offer.
#[derive(Default)]
struct MachineCounts {
    usable: usize,
    unusable: usize,
    idle: usize,
    /// Sum of the free resources of the usable machines.
    free: Resources,
}

impl Shard {
    /// Logs the state of the shard once per duration of a worker lease.
    pub(crate) fn log_shard_when_due(&mut self, now: Time) {
        if now < self.next_shard_log {
            return;
        }
        self.next_shard_log = now + self.config.deployment.workers.lease_s;
        self.log_tasks();
        self.log_machines(now);
        self.log_demand();
        self.log_unreconciled_teams();
        let forgets = self.decision_log.take_forgets();
        if forgets > 0 {
            tracing::info!(forgets, "workers were told to forget exits");
        }
    }

    fn log_tasks(&self) {
        for (class, tasks) in self.tasks_by_class() {
            tracing::info!(
                %class,
                placed = tasks.placed,
                waiting = tasks.waiting,
                unreconciled = tasks.unreconciled,
                "unfinished tasks of a class"
            );
        }
    }

    fn log_machines(&self, now: Time) {
        for (offer, machines) in self.machines_by_offer(now) {
            tracing::info!(
                machine_type = %offer.type_name,
                zone = %offer.zone,
                spot = offer.spot,
                usable = machines.usable,
                idle = machines.idle,
                unusable = machines.unusable,
                free_cpus = machines.free.cpus.round(),
                free_gpus = machines.free.gpus.round(),
                free_memory_gb = machines.free.memory_gb.round(),
                "owned machines of one machine offer"
            );
        }
    }

    fn log_demand(&self) {
        for demand in &self.demand.machine_demands {
            tracing::info!(
                count = demand.count,
                machine_type = %demand.offer.type_name,
                zone = %demand.offer.zone,
                spot = demand.offer.spot,
                urgency = ?demand.urgency,
                "machines requested from the leader"
            );
        }
    }

    fn log_unreconciled_teams(&self) {
        for (name, team) in &self.teams {
            if let Some(first) = team.unreconciled.first() {
                tracing::info!(
                    team = %name,
                    machines = team.unreconciled.len(),
                    first_machine = %first,
                    "team is not reconciled: waiting for heartbeats of machines"
                );
            }
        }
    }

    fn tasks_by_class(&self) -> BTreeMap<&str, TaskCounts> {
        let mut classes: BTreeMap<&str, TaskCounts> = BTreeMap::new();
        for job in self.jobs.values() {
            let tasks = classes.entry(&job.spec.class).or_default();
            tasks.waiting += job.waiting().len();
            tasks.unreconciled += job.unreconciled_count();
            tasks.placed += job.placed_count();
        }
        classes
    }

    fn machines_by_offer(&self, now: Time) -> BTreeMap<MachineOffer, MachineCounts> {
        let mut offers: BTreeMap<MachineOffer, MachineCounts> = BTreeMap::new();
        for machine in self.machines.values().filter(|machine| machine.is_owned) {
            let offer = MachineOffer {
                type_name: machine.type_name.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            };
            let machines = offers.entry(offer).or_default();
            if machine.usable(now) {
                machines.usable += 1;
                machines.idle += usize::from(machine.idle());
                machines.free = machines.free.plus(&machine.free());
            } else {
                machines.unusable += 1;
            }
        }
        offers
    }
}
