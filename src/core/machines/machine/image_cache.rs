//! Images on a machine, and the time to fetch others.

use super::Machine;
use crate::core::model::time::Time;
use crate::ids::Image;
use std::collections::BTreeMap;

/// Allowance for fetches below the published rate, from which they deviate by up to a third.
const FETCH_SLOWNESS: f64 = 1.2;

/// Part of the expected time that a fetch is taken to last at least: one that is overdue is not
/// expected to be complete at once.
const LEAST_REMAINING_FETCH: f64 = 0.1;

/// Images on a machine, of which the least recently used is evicted first.
#[derive(Default)]
pub(super) struct ImageCache {
    pub(super) capacity_gb: f64,
    /// Images with their sizes in GB, the most recently used last.
    images: Vec<(Image, f64)>,
}

impl ImageCache {
    fn contains(&self, image: &Image) -> bool {
        self.images.iter().any(|(known, _)| known == image)
    }

    /// Records a use of an image, and evicts others if it was not in the cache and does not fit.
    fn record_use(&mut self, image: &Image, gb: f64) {
        if let Some(at) = self.images.iter().position(|(known, _)| known == image) {
            let entry = self.images.remove(at);
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
    /// A task has used this image, which so is on the machine.
    pub fn record_image_use(&mut self, image: &Image, gb: f64) {
        self.image_cache.record_use(image, gb);
    }

    /// Whether the image is on the machine.
    pub fn has_image(&self, image: &Image) -> bool {
        self.image_cache.contains(image)
    }

    /// Images on the machine with their sizes in GB, the most recently used last.
    pub fn images(&self) -> &[(Image, f64)] {
        &self.image_cache.images
    }

    /// Takes the images that an earlier owner reported, unless some are known here already.
    pub fn seed_images(&mut self, images: &[(Image, f64)]) {
        if self.image_cache.images.is_empty() {
            self.image_cache.images = images.to_vec();
        }
    }

    /// Seconds to fetch the largest image on the machine.
    pub fn longest_fetch(&self) -> Time {
        if self.fetch_rate > 0.0 {
            self.image_cache.largest_gb() / self.fetch_rate
        } else {
            0.0
        }
    }

    /// Seconds for a fetch that has the whole rate to itself.
    pub fn fetch_s(&self, gb: f64) -> Time {
        gb / self.fetch_rate * FETCH_SLOWNESS
    }

    /// Seconds until a task that needs this image could run on the machine.
    pub fn ready_in(&self, image: &Image, gb: f64, now: Time) -> Time {
        if self.has_image(image) || gb <= 0.0 {
            return 0.0;
        }
        if self.fetch_rate <= 0.0 {
            return Time::INFINITY;
        }
        let alone = self.fetch_s(gb);
        let fetching = self.fetches_in_progress();
        match fetching.get(image) {
            Some(since) => {
                let shared = alone * fetching.len() as f64;
                (shared - (now - since)).max(shared * LEAST_REMAINING_FETCH)
            }
            None => alone * (fetching.len() + 1) as f64,
        }
    }

    /// Images that are being fetched, and since when.
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
