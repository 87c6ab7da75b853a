//! Forecast of the jobs that are likely to be submitted soon, from recent submissions.

use crate::config::Config;
use crate::core::model::time::Time;
use crate::ids::Image;
use crate::wire::{JobKind, JobSpec, MachineType};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Arrivals are averaged over this many boot times.
const HISTORY_BOOTS: f64 = 3.0;

/// Arrivals are kept for at most this many times `cancel_s`. Each arrival takes a write to the state
/// service, whose rate therefore bounds their number.
const HISTORY_CANCELS: f64 = 4.0;

/// The shortest boot time that forecasts assume, in seconds.
const MIN_BOOT_S: Time = 1.0;

/// Recent submissions.
pub struct Forecast {
    arrivals: VecDeque<Arrival>,
    /// Arrivals kept at most.
    capacity: usize,
}

/// A submission.
struct Arrival {
    at: Time,
    spec: Rc<JobSpec>,
}

/// Recent demand for an image whose fetch takes longer than a start may.
pub struct ImageDemand {
    /// The latest job that uses the image.
    pub spec: Rc<JobSpec>,
    /// Tasks of the image that arrived within the history.
    pub recent_tasks: u32,
}

impl Forecast {
    /// A forecast without any arrivals.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a product of positive settings; the cast saturates"
    )]
    pub fn new(config: &Config) -> Self {
        let deployment = &config.deployment;
        let capacity = deployment.state.write_rps * deployment.workers.cancel_s * HISTORY_CANCELS;
        Self {
            arrivals: VecDeque::new(),
            capacity: (capacity as usize).max(1),
        }
    }

    /// Records that a job was submitted at `at`, possibly to another controller and some time ago.
    pub fn record_arrival(&mut self, spec: &Rc<JobSpec>, at: Time) {
        if self.arrivals.len() >= self.capacity {
            self.arrivals.pop_front();
        }
        let position = self.arrivals.partition_point(|other| other.at <= at);
        let spec = spec.clone();
        self.arrivals.insert(position, Arrival { at, spec });
    }

    /// Forgets a job that cannot run anywhere: it does not predict demand.
    pub fn remove_job(&mut self, spec: &Rc<JobSpec>) {
        self.arrivals
            .retain(|arrival| !Rc::ptr_eq(&arrival.spec, spec));
    }

    /// Recent demand for each image that has to be cached on a machine for a start to be in time.
    pub fn images_to_keep_cached(
        &self,
        config: &Config,
        types: &[MachineType],
        now: Time,
    ) -> BTreeMap<Image, ImageDemand> {
        let window = longest_boot_s(types) * HISTORY_BOOTS;
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
            if now - at <= window {
                demand.recent_tasks += spec.tasks;
            }
        }
        images
    }

    /// The jobs expected to arrive during one boot: of each class with a wait objective as many of the
    /// latest ones as arrived per boot time.
    pub fn expected_jobs(&self, config: &Config, boot: Time, now: Time) -> Vec<Rc<JobSpec>> {
        let window = boot * HISTORY_BOOTS;
        let mut classes: BTreeMap<&str, Vec<&Rc<JobSpec>>> = BTreeMap::new();
        for Arrival { at, spec } in self.arrivals.iter().rev() {
            if now - at <= window && config.wait_objective(&spec.class).is_some() {
                classes.entry(&spec.class).or_default().push(spec);
            }
        }
        let mut expected = Vec::new();
        for recent in classes.values() {
            let count = arrivals_per_boot(recent.len());
            expected.extend(recent.iter().take(count).map(|spec| (*spec).clone()));
        }
        expected
    }
}

/// Average number of arrivals in one boot time, rounded up.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a third of a collection's length"
)]
fn arrivals_per_boot(arrivals_in_history: usize) -> usize {
    (arrivals_in_history as f64 / HISTORY_BOOTS).ceil() as usize
}

/// The longest boot time of the machine types, in seconds.
pub fn longest_boot_s(types: &[MachineType]) -> Time {
    types
        .iter()
        .map(|of_type| of_type.boot_s)
        .fold(MIN_BOOT_S, f64::max)
}

/// Whether a replica of the job can start within its objective only on a machine that has its image cached.
pub fn needs_cached_image(config: &Config, types: &[MachineType], spec: &JobSpec) -> bool {
    let fastest_fetch = types
        .iter()
        .map(|of_type| of_type.fetch_gb_per_s)
        .fold(0.0, f64::max);
    let objective = config.wait_objective(&spec.class);
    spec.kind == JobKind::Service
        && objective.is_some_and(|objective_s| objective_s * fastest_fetch < spec.image_gb)
}

#[cfg(test)]
mod tests;
