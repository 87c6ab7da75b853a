//! Opportunistic work: best-effort jobs to which nothing was promised about when they start. They fill
//! room that is free anyway and make way at once for everything else, so room that they take counts as
//! free for other work. Machines are rented for them only where that pays off.

use crate::config::Config;
use crate::core::jobs::job::Job;
use crate::core::machines::machine::Machine;
use crate::core::messages::capacity_demand::MachineOffer;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::{tasks_per_machine, total_room};
use crate::core::scheduling::forecast::longest_boot;
use crate::wire::{JobSpec, MachineType, Priority};

/// A rental pays off up to this many times the lowest price that the task could run for.
pub(crate) const PRICE_MARGIN: f64 = 1.5;

/// A rented machine has to have work for this many times as long as it takes to boot.
pub(crate) const WORK_BOOTS: f64 = 2.0;

/// Whether a job of this kind is opportunistic if no other needs it: of the lowest priority, without a
/// deadline, and of a class whose starts nobody waits for.
pub fn is_opportunistic(config: &Config, spec: &JobSpec) -> bool {
    spec.priority == Priority::Low
        && spec.deadline_s.is_none()
        && config.wait_objective(&spec.class).is_none()
}

impl Job {
    /// Whether it is opportunistic and no other job waits for it.
    pub fn is_opportunistic(&self, config: &Config) -> bool {
        !self.needed && is_opportunistic(config, &self.spec)
    }
}

impl Machine {
    /// Whether nothing but opportunistic work is on it, or nothing at all.
    pub fn holds_only_opportunistic(&self) -> bool {
        self.attempts
            .values()
            .all(|tracked| tracked.exited() || tracked.opportunistic)
    }

    /// What opportunistic work takes that was not told to stop.
    pub fn opportunistic_room(&self) -> Resources {
        let running = self
            .attempts
            .values()
            .filter(|tracked| !tracked.exited() && tracked.stop.is_none() && tracked.opportunistic);
        let rooms = running.filter_map(|tracked| tracked.resources);
        rooms.fold(Resources::default(), |sum, room| sum.plus(&room))
    }
}

/// How long one machine would be busy with this many tasks of a job, on whatever type that takes least.
pub fn machine_time(types: &[MachineType], spec: &JobSpec, tasks: u32) -> Time {
    let need = Resources::of(spec);
    let per_machine = types
        .iter()
        .map(|of_type| tasks_per_machine(of_type, &need));
    let most = per_machine.fold(1.0, f64::max);
    f64::from(tasks) * spec.estimate_s / most
}

/// How many machines are worth renting for work that would keep one busy for this long.
pub fn rentals_worth(types: &[MachineType], busy: Time) -> u32 {
    (busy / (longest_boot(types) * WORK_BOOTS)).floor() as u32
}

/// Whether a machine of this kind runs the job nearly as cheaply as anything could. Only spot machines
/// are cheap enough, and not all of them.
pub fn is_cheap(types: &[MachineType], offer: &MachineOffer, spec: &JobSpec) -> bool {
    let MachineOffer {
        type_name, spot, ..
    } = offer;
    let need = Resources::of(spec);
    let price = |t: &MachineType| t.spot_price / tasks_per_machine(t, &need);
    let runs = |t: &&MachineType| {
        spec.types
            .as_ref()
            .is_none_or(|types| types.contains(&t.name))
            && total_room(t).holds(&need)
    };
    let least = types
        .iter()
        .filter(runs)
        .map(price)
        .fold(f64::INFINITY, f64::min);
    let of_type = types.iter().find(|t| t.name == *type_name);
    *spot && of_type.is_some_and(|t| price(t) <= least * PRICE_MARGIN)
}
