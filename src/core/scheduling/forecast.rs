//! Forecasts, from recent submissions, the jobs that are likely to be submitted soon.

use crate::config::Config;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::MIN_BOOT_S;
use crate::ids::Image;
use crate::wire::{JobKind, JobSpec, MachineType};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Arrivals are averaged over this many boot times.
const HISTORY_BOOT_TIMES: f64 = 3.0;

/// The history has room for all arrivals during this many periods of `cancel_s` at the highest possible rate.
/// Each arrival takes a write to the state service, so the write rate bounds the arrival rate.
const HISTORY_CANCEL_TIMES: f64 = 4.0;

/// Recent submissions of jobs, from which demand is forecast.
pub struct Forecast {
    /// Ordered by time.
    arrivals: VecDeque<Arrival>,
    /// Maximum number of arrivals; the oldest is dropped first.
    capacity: usize,
}

/// The arrival of a runnable job at this or another controller.
struct Arrival {
    at: Time,
    spec: Rc<JobSpec>,
}

/// Recent demand for an image that cannot be fetched within the start objective of its jobs.
pub struct ImageDemand {
    /// Specification of the latest submitted job with the image.
    pub spec: Rc<JobSpec>,
    /// Number of tasks with the image that were submitted within the averaging window.
    pub recent_tasks: u32,
}

impl Forecast {
    /// Creates a forecast without arrivals.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a product of positive settings; the cast saturates"
    )]
    pub fn new(config: &Config) -> Self {
        let deployment = &config.deployment;
        let capacity =
            deployment.state.write_rps * deployment.workers.cancel_s * HISTORY_CANCEL_TIMES;
        Self {
            arrivals: VecDeque::new(),
            capacity: (capacity as usize).max(1),
        }
    }

    /// Records that a job became runnable at `at`, possibly some time ago and at another controller.
    pub fn record_arrival(&mut self, spec: &Rc<JobSpec>, at: Time) {
        if self.arrivals.len() >= self.capacity {
            self.arrivals.pop_front();
        }
        let position = self.arrivals.partition_point(|other| other.at <= at);
        let spec = spec.clone();
        self.arrivals.insert(position, Arrival { at, spec });
    }

    /// Removes a job that cannot run on any machine, because it does not predict demand.
    pub fn remove_job(&mut self, spec: &Rc<JobSpec>) {
        self.arrivals
            .retain(|arrival| !Rc::ptr_eq(&arrival.spec, spec));
    }

    /// Recent demand for each image that a machine must have cached for a start to meet its objective.
    pub fn images_to_keep_cached(
        &self,
        config: &Config,
        types: &[MachineType],
        now: Time,
    ) -> BTreeMap<Image, ImageDemand> {
        let window_s = longest_boot_s(types) * HISTORY_BOOT_TIMES;
        let mut images: BTreeMap<Image, ImageDemand> = BTreeMap::new();
        for Arrival { at, spec } in self.arrivals.iter().rev() {
            if !needs_cached_image(config, types, spec) {
                continue;
            }
            let demand = images
                .entry(spec.image.clone())
                .or_insert_with(|| ImageDemand {
                    spec: spec.clone(),
                    recent_tasks: 0,
                });
            if now - at <= window_s {
                demand.recent_tasks += spec.tasks;
            }
        }
        images
    }

    /// The jobs that are expected to arrive during one boot. For each class with a wait objective these are
    /// its latest jobs, as many as arrived per boot time on average.
    pub fn expected_arrivals(&self, config: &Config, boot_s: Time, now: Time) -> Vec<Rc<JobSpec>> {
        let window_s = boot_s * HISTORY_BOOT_TIMES;
        let mut classes: BTreeMap<&str, Vec<&Rc<JobSpec>>> = BTreeMap::new();
        for Arrival { at, spec } in self.arrivals.iter().rev() {
            if now - at <= window_s && config.wait_objective(&spec.class).is_some() {
                classes.entry(&spec.class).or_default().push(spec);
            }
        }
        let mut expected_specs = Vec::new();
        for recent in classes.values() {
            let count = arrivals_per_boot(recent.len());
            expected_specs.extend(recent.iter().take(count).map(|spec| (*spec).clone()));
        }
        expected_specs
    }
}

/// Average number of arrivals in one boot time, rounded up.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a fraction of a collection's length"
)]
fn arrivals_per_boot(arrivals_in_history: usize) -> usize {
    (arrivals_in_history as f64 / HISTORY_BOOT_TIMES).ceil() as usize
}

/// The longest boot time of the machine types, in seconds; at least `MIN_BOOT_S`.
pub fn longest_boot_s(types: &[MachineType]) -> Time {
    types
        .iter()
        .map(|machine_type| machine_type.boot_s)
        .fold(MIN_BOOT_S, f64::max)
}

/// Whether the job is a service whose replicas meet their start objective only if the image is cached.
pub fn needs_cached_image(config: &Config, types: &[MachineType], spec: &JobSpec) -> bool {
    let fastest_fetch_gb_per_s = types
        .iter()
        .map(|machine_type| machine_type.fetch_gb_per_s)
        .fold(0.0, f64::max);
    let objective = config.wait_objective(&spec.class);
    spec.kind == JobKind::Service
        && objective.is_some_and(|objective_s| objective_s * fastest_fetch_gb_per_s < spec.image_gb)
}

#[cfg(test)]
mod tests;
