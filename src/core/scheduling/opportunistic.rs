//! Opportunistic work: best-effort jobs without an objective on their start. They use idle resources and
//! are preempted at once for any other work, so the resources they use count as free for other work.
//! Machines are rented for them only if that is cost-effective.

use crate::config::Config;
use crate::core::jobs::job::Job;
use crate::core::machines::machine::{Machine, TrackedAttempt};
use crate::core::messages::capacity_demand::MachineOffer;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::{can_hold, tasks_per_machine};
use crate::core::scheduling::forecast::longest_boot_s;
use crate::wire::{JobSpec, MachineType, Priority};

/// A rental is cost-effective up to this multiple of the lowest price at which the task could run.
const PRICE_MARGIN: f64 = 1.5;

/// A machine is rented only for work that keeps it busy for this many boot times.
const MIN_WORK_BOOT_TIMES: f64 = 2.0;

/// Whether a job with this specification is opportunistic, provided that no other job depends on it. It has
/// the lowest priority, no deadline, and a class without a wait objective.
pub fn is_opportunistic(config: &Config, spec: &JobSpec) -> bool {
    spec.priority == Priority::Low
        && spec.deadline_s.is_none()
        && config.wait_objective(&spec.class).is_none()
}

impl Job {
    /// Whether the job is opportunistic: its specification is, and no unfinished job depends on it.
    pub fn is_opportunistic(&self, config: &Config) -> bool {
        !self.has_dependents && is_opportunistic(config, &self.spec)
    }
}

impl Machine {
    /// Whether every live attempt on the machine is opportunistic; true for an empty machine.
    pub fn holds_only_opportunistic(&self) -> bool {
        self.attempts
            .values()
            .all(|tracked| tracked.exited() || tracked.opportunistic)
    }

    /// Resources of the live opportunistic attempts that have not been told to stop.
    pub fn opportunistic_resources(&self) -> Resources {
        let is_counted = |tracked: &&TrackedAttempt| {
            !tracked.exited() && tracked.stop.is_none() && tracked.opportunistic
        };
        self.attempts
            .values()
            .filter(is_counted)
            .filter_map(|tracked| tracked.resources)
            .fold(Resources::default(), |sum, used| sum.plus(&used))
    }
}

/// Time for which this many tasks of a job would keep one machine busy, in seconds. The machine is of the
/// type that holds the most of them at once.
pub fn machine_seconds(types: &[MachineType], spec: &JobSpec, tasks: u32) -> Time {
    let need = Resources::of(spec);
    let tasks_at_once = types
        .iter()
        .map(|machine_type| tasks_per_machine(machine_type, &need))
        .fold(1.0, f64::max);
    f64::from(tasks) * spec.estimate_s / tasks_at_once
}

/// Number of machines worth renting for work of this many machine seconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a quotient of times that are not negative; the cast saturates"
)]
pub fn worthwhile_rentals(types: &[MachineType], machine_seconds: Time) -> u32 {
    (machine_seconds / (longest_boot_s(types) * MIN_WORK_BOOT_TIMES)).floor() as u32
}

/// Whether the offer is a spot instance whose price per task is at most `PRICE_MARGIN` times the lowest spot
/// price per task of any type that can hold the job's tasks.
pub fn is_cost_effective(types: &[MachineType], offer: &MachineOffer, spec: &JobSpec) -> bool {
    let need = Resources::of(spec);
    let price_per_task = |machine_type: &MachineType| {
        machine_type.spot_price / tasks_per_machine(machine_type, &need)
    };
    let lowest = types
        .iter()
        .filter(|machine_type| can_hold(machine_type, spec))
        .map(price_per_task)
        .fold(f64::INFINITY, f64::min);
    let offered = types
        .iter()
        .find(|machine_type| machine_type.name == offer.type_name);
    offer.spot
        && offered.is_some_and(|machine_type| price_per_task(machine_type) <= lowest * PRICE_MARGIN)
}
