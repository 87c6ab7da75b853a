//! The images that are cached on a machine, and estimates of the time to fetch others.

use super::Machine;
use crate::core::model::time::Time;
use crate::ids::Image;
use std::collections::BTreeMap;

/// Expected duration of a fetch, relative to its duration at the published rate. The actual rate deviates
/// from the published rate by up to a third.
const FETCH_TIME_FACTOR: f64 = 1.2;

/// Minimum remaining time of a fetch in progress, as a fraction of its expected duration. An overdue fetch is
/// not expected to complete immediately.
const MIN_REMAINING_FETCH_FRACTION: f64 = 0.1;

/// The controller's model of the image cache of a worker, which evicts the least recently used image first.
#[derive(Default)]
pub(super) struct ImageCache {
    pub(super) capacity_gb: f64,
    /// Cached images and their sizes in GB, the most recently used last.
    images: Vec<(Image, f64)>,
}

impl ImageCache {
    fn contains(&self, image: &Image) -> bool {
        self.images.iter().any(|(known, _)| known == image)
    }

    /// Records the use of an image. An image that was not in the cache is added. Others are then evicted
    /// until the capacity is no longer exceeded or only the new image is left.
    fn record_use(&mut self, image: &Image, gb: f64) {
        if let Some(index) = self.images.iter().position(|(known, _)| known == image) {
            let entry = self.images.remove(index);
            self.images.push(entry);
            return;
        }
        self.images.push((image.clone(), gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total > self.capacity_gb && self.images.len() > 1 {
            total -= self.images.remove(0).1;
        }
    }

    fn largest_gb(&self) -> f64 {
        self.images.iter().map(|(_, gb)| *gb).fold(0.0, f64::max)
    }
}

impl Machine {
    /// Records that a task has used this image, which is therefore on the machine.
    pub fn record_image_use(&mut self, image: &Image, gb: f64) {
        self.image_cache.record_use(image, gb);
    }

    /// Returns whether the image is on the machine.
    pub fn has_image(&self, image: &Image) -> bool {
        self.image_cache.contains(image)
    }

    /// Returns the images on the machine and their sizes in GB, the most recently used last.
    pub fn images(&self) -> &[(Image, f64)] {
        &self.image_cache.images
    }

    /// Adopts the images that a previous owner reported, unless some images are already known here.
    pub fn seed_images(&mut self, images: &[(Image, f64)]) {
        if self.image_cache.images.is_empty() {
            self.image_cache.images = images.to_vec();
        }
    }

    /// Returns the time in seconds to fetch the largest image on the machine at the published rate; 0 if the
    /// rate is unknown.
    pub fn longest_fetch_s(&self) -> Time {
        if self.fetch_rate > 0.0 {
            self.image_cache.largest_gb() / self.fetch_rate
        } else {
            0.0
        }
    }

    /// Returns the expected duration in seconds of a fetch while no other fetch is in progress.
    pub fn fetch_s(&self, gb: f64) -> Time {
        gb / self.fetch_rate * FETCH_TIME_FACTOR
    }

    /// Returns the expected time in seconds until the image is on the machine; infinite if the fetch rate is
    /// unknown. Fetches in progress share the rate.
    pub fn ready_in(&self, image: &Image, gb: f64, now: Time) -> Time {
        if self.has_image(image) || gb <= 0.0 {
            return 0.0;
        }
        if self.fetch_rate <= 0.0 {
            return Time::INFINITY;
        }
        let exclusive_s = self.fetch_s(gb);
        let fetching = self.fetches_in_progress();
        match fetching.get(image) {
            Some(since) => {
                let shared_s = exclusive_s * fetching.len() as f64;
                (shared_s - (now - since)).max(shared_s * MIN_REMAINING_FETCH_FRACTION)
            }
            None => exclusive_s * (fetching.len() + 1) as f64,
        }
    }

    /// Returns the images that are being fetched. The fetch of an image counts from the first start that
    /// needs it.
    fn fetches_in_progress(&self) -> BTreeMap<&Image, Time> {
        let mut fetching: BTreeMap<&Image, Time> = BTreeMap::new();
        let without_image = self
            .attempts
            .values()
            .filter(|tracked| !tracked.exited() && !tracked.has_image());
        for tracked in without_image {
            if let Some((image, _)) = &tracked.image {
                let since = fetching.entry(image).or_insert(tracked.issued_at);
                *since = since.min(tracked.issued_at);
            }
        }
        fetching
    }
}
