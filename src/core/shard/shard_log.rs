//! A share's state in the log: what waits, by class, and what is free, by kind of machine. Once a lease, for
//! whoever looks into an incident later.

use crate::core::messages::capacity_demand::{MachineDemand, MachineOffer};
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::shard::Shard;
use std::collections::BTreeMap;

/// The unfinished tasks of one class.
#[derive(Default)]
struct ClassTasks {
    waiting: usize,
    unreconciled: u32,
    placed: u32,
}

/// The machines of one kind.
#[derive(Default)]
struct KindRoom {
    usable: usize,
    unusable: usize,
    idle: usize,
    free: Resources,
}

impl Shard {
    pub(crate) fn log_shard_when_due(&mut self, now: Time) {
        if now < self.next_shard_log {
            return;
        }
        self.next_shard_log = now + self.config.deployment.workers.lease_s;
        for (class, tasks) in self.tasks_by_class() {
            let ClassTasks {
                waiting,
                unreconciled,
                placed,
            } = tasks;
            tracing::info!(
                "tasks of {class}: {placed} placed, {waiting} wait, {unreconciled} unsettled"
            );
        }
        for (
            MachineOffer {
                type_name,
                zone,
                spot,
            },
            room,
        ) in self.room_by_kind(now)
        {
            let KindRoom {
                usable,
                unusable,
                idle,
                free,
            } = room;
            let spot = if spot { ", spot" } else { "" };
            let Resources {
                cpus,
                gpus,
                memory_gb,
            } = free;
            tracing::info!(
                "{type_name} in {zone}{spot}: {usable} usable, {idle} of them idle, {unusable} not; \
                 free: {cpus:.0} CPUs, {gpus:.0} GPUs, {memory_gb:.0} GB"
            );
        }
        for want in &self.demand.machine_demands {
            let MachineDemand {
                count,
                offer:
                    MachineOffer {
                        type_name,
                        zone,
                        spot,
                    },
                urgency,
                ..
            } = want;
            let spot = if *spot { ", spot" } else { "" };
            tracing::info!("wants {count} {type_name} in {zone}{spot} ({urgency:?})");
        }
        for (name, team) in self
            .teams
            .iter()
            .filter(|(_, team)| !team.unreconciled.is_empty())
        {
            let first = team.unreconciled.iter().next();
            tracing::info!(
                "team {name} waits for {} machines to heartbeat, {first:?} among them",
                team.unreconciled.len()
            );
        }
    }

    fn tasks_by_class(&self) -> BTreeMap<&str, ClassTasks> {
        let mut classes: BTreeMap<&str, ClassTasks> = BTreeMap::new();
        for job in self.jobs.values() {
            let tasks = classes.entry(&job.spec.class).or_default();
            tasks.waiting += job.waiting().len();
            tasks.unreconciled += job.unreconciled();
            tasks.placed += job.placed();
        }
        classes
    }

    fn room_by_kind(&self, now: Time) -> BTreeMap<MachineOffer, KindRoom> {
        let mut kinds: BTreeMap<MachineOffer, KindRoom> = BTreeMap::new();
        for machine in self.machines.values().filter(|machine| machine.is_owned) {
            let kind = MachineOffer {
                type_name: machine.type_name.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            };
            let room = kinds.entry(kind).or_default();
            if machine.usable(now) {
                room.usable += 1;
                room.idle += usize::from(machine.idle());
                room.free = room.free.plus(&machine.free());
            } else {
                room.unusable += 1;
            }
        }
        kinds
    }
}
