//! What is likely to arrive, judged by what arrived lately.

use crate::config::Config;
use crate::core::model::time::Time;
use crate::ids::Image;
use crate::wire::{JobSpec, Kind, MachineType};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// What has arrived lately.
pub struct Forecast {
    arrivals: VecDeque<(Time, Rc<JobSpec>)>,
    /// Arrivals kept at most.
    most: usize,
}

/// Arrivals are averaged over this many boot times.
const HISTORY_BOOTS: f64 = 3.0;

/// Arrivals are kept for as many times `cancel_s` at most; each takes a change in the state service.
const HISTORY_CANCELS: f64 = 4.0;

impl Forecast {
    /// Nothing has arrived yet.
    pub fn new(config: &Config) -> Self {
        let deployment = &config.deployment;
        let most = deployment.state.write_rps * deployment.workers.cancel_s * HISTORY_CANCELS;
        Self {
            arrivals: VecDeque::new(),
            most: (most as usize).max(1),
        }
    }

    /// A job arrived, perhaps at another owner and a while ago.
    pub fn arrived(&mut self, spec: &Rc<JobSpec>, at: Time) {
        if self.arrivals.len() >= self.most {
            self.arrivals.pop_front();
        }
        let place = self.arrivals.partition_point(|(other, _)| *other <= at);
        self.arrivals.insert(place, (at, spec.clone()));
    }

    /// A job that runs nowhere says nothing of what will be needed.
    pub fn withdraw(&mut self, spec: &Rc<JobSpec>) {
        self.arrivals.retain(|(_, other)| !Rc::ptr_eq(other, spec));
    }

    /// Images for which a start is in time only where they are already, each with the job that
    /// last asked for it and the number of its tasks that came within the history.
    pub fn tight_images(
        &self,
        config: &Config,
        types: &[MachineType],
        now: Time,
    ) -> BTreeMap<Image, (Rc<JobSpec>, u32)> {
        let boot = longest_boot(types);
        let mut images: BTreeMap<Image, (Rc<JobSpec>, u32)> = BTreeMap::new();
        for (at, spec) in self.arrivals.iter().rev() {
            if is_tight(config, types, spec) {
                let fresh = || (spec.clone(), 0);
                let entry = images.entry(spec.image.clone()).or_insert_with(fresh);
                entry.1 += if now - at <= boot * HISTORY_BOOTS {
                    spec.tasks
                } else {
                    0
                };
            }
        }
        images
    }

    /// As many of the latest jobs of each class as arrive within a boot.
    pub fn expected(&self, config: &Config, boot: Time, now: Time) -> Vec<Rc<JobSpec>> {
        let window = boot * HISTORY_BOOTS;
        let mut classes: BTreeMap<&str, Vec<&Rc<JobSpec>>> = BTreeMap::new();
        for (at, spec) in self.arrivals.iter().rev() {
            if now - at <= window && config.wait_objective(&spec.class).is_some() {
                classes.entry(&spec.class).or_default().push(spec);
            }
        }
        let mut expected = Vec::new();
        for recent in classes.values() {
            let count = (recent.len() as f64 / HISTORY_BOOTS).ceil() as usize;
            expected.extend(recent.iter().take(count).map(|spec| (*spec).clone()));
        }
        expected
    }
}

pub fn longest_boot(types: &[MachineType]) -> Time {
    types.iter().map(|t| t.boot_s).fold(1.0, f64::max)
}

/// Whether a replica's start is in time only where its image is already.
pub fn is_tight(config: &Config, types: &[MachineType], spec: &JobSpec) -> bool {
    let rate = types.iter().map(|t| t.fetch_gb_per_s).fold(0.0, f64::max);
    let within = config.wait_objective(&spec.class);
    spec.kind == Kind::Service && within.is_some_and(|s| s * rate < spec.image_gb)
}

#[cfg(test)]
mod tests;
