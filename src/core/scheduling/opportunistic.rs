//! Opportunistic work: best-effort jobs without an objective on when they start. They use resources that
//! would be idle and are preempted at once for any other work, so the resources they use count as free for
//! other work. Machines are rented for them only where that is cost-effective.

use crate::config::Config;
use crate::core::jobs::job::Job;
use crate::core::machines::machine::{Machine, TrackedAttempt};
use crate::core::messages::capacity_demand::MachineOffer;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::{can_hold, tasks_per_machine};
use crate::core::scheduling::forecast::longest_boot_s;
use crate::wire::{JobSpec, MachineType, Priority};

/// A rental is cost-effective up to this many times the lowest price at which the task could run.
const PRICE_MARGIN: f64 = 1.5;

/// A machine is rented only for work that keeps it busy for this many boot times.
const MIN_WORK_BOOTS: f64 = 2.0;

/// Whether a job with this specification is opportunistic if no other job depends on it: of the lowest
/// priority, without a deadline, and of a class without an objective on waiting.
pub fn is_opportunistic(config: &Config, spec: &JobSpec) -> bool {
    spec.priority == Priority::Low
        && spec.deadline_s.is_none()
        && config.wait_objective(&spec.class).is_none()
}

impl Job {
    /// Whether the job is opportunistic and no other job depends on it.
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

    /// Resources of the opportunistic attempts that have not been told to stop.
    pub fn opportunistic_resources(&self) -> Resources {
        let is_running = |tracked: &&TrackedAttempt| {
            !tracked.exited() && tracked.stop.is_none() && tracked.opportunistic
        };
        self.attempts
            .values()
            .filter(is_running)
            .filter_map(|tracked| tracked.resources)
            .fold(Resources::default(), |sum, used| sum.plus(&used))
    }
}

/// How long the tasks of a job would keep one machine busy, in seconds, on the type that holds most of
/// them at once.
pub fn machine_seconds(types: &[MachineType], spec: &JobSpec, tasks: u32) -> Time {
    let need = Resources::of(spec);
    let most_at_once = types
        .iter()
        .map(|of_type| tasks_per_machine(of_type, &need))
        .fold(1.0, f64::max);
    f64::from(tasks) * spec.estimate_s / most_at_once
}

/// How many machines are worth renting for work of this many machine seconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a quotient of times that are not negative; the cast saturates"
)]
pub fn worthwhile_rentals(types: &[MachineType], machine_seconds: Time) -> u32 {
    (machine_seconds / (longest_boot_s(types) * MIN_WORK_BOOTS)).floor() as u32
}

/// Whether the offer's price per task is within `PRICE_MARGIN` of the lowest one of any type that can
/// hold the job. Only spot instances are.
pub fn is_cost_effective(types: &[MachineType], offer: &MachineOffer, spec: &JobSpec) -> bool {
    let need = Resources::of(spec);
    let price_per_task =
        |of_type: &MachineType| of_type.spot_price / tasks_per_machine(of_type, &need);
    let lowest = types
        .iter()
        .filter(|of_type| can_hold(of_type, spec))
        .map(price_per_task)
        .fold(f64::INFINITY, f64::min);
    let offered = types.iter().find(|of_type| of_type.name == offer.type_name);
    offer.spot && offered.is_some_and(|of_type| price_per_task(of_type) <= lowest * PRICE_MARGIN)
}
