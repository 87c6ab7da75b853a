//! Resources that a placement round reserves for tasks that can start in time only on a machine with their
//! image cached, and for gangs that wait for machines.

use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::Catalog;
use crate::core::scheduling::forecast::ImageDemand;
use crate::core::shard::Shard;
use crate::core::shard::round::snapshot::MachineSnapshot;
use crate::ids::{Image, JobId, Zone};
use std::collections::BTreeSet;

impl Shard {
    /// Reserves resources on machines that have an image cached if fetching this image takes longer than a
    /// start may take. The reservations cover as many tasks of the image as arrived recently, divided
    /// equally among the zones, and at least one task in each zone. Without them, best fit would place other
    /// tasks on exactly these machines.
    pub(super) fn reserve_for_cached_images(
        &self,
        snapshots: &mut [MachineSnapshot],
        catalog: &Catalog,
        now: Time,
    ) {
        let images = self
            .forecast
            .images_to_keep_cached(&self.config, catalog.types(), now);
        let zones: BTreeSet<Zone> = snapshots
            .iter()
            .map(|snapshot| snapshot.zone.clone())
            .collect();
        let zone_count = u32::try_from(zones.len()).unwrap_or(u32::MAX);
        for (image, demand) in images {
            for zone in &zones {
                let tasks_per_zone = demand.recent_tasks.div_ceil(zone_count).max(1);
                self.reserve_in_zone(snapshots, &image, &demand, zone, tasks_per_zone);
            }
        }
    }

    /// Reserves resources for up to `tasks` tasks on machines of one zone that have the image cached, in the
    /// order of their free GPUs, fewest first.
    fn reserve_in_zone(
        &self,
        snapshots: &mut [MachineSnapshot],
        image: &Image,
        demand: &ImageDemand,
        zone: &Zone,
        tasks: u32,
    ) {
        let need = Resources::of(&demand.spec);
        let has_image = |snapshot: &MachineSnapshot| {
            self.machines
                .get(&snapshot.id)
                .is_some_and(|machine| machine.has_image(image))
        };
        let mut machines_with_image: Vec<&mut MachineSnapshot> = snapshots
            .iter_mut()
            .filter(|snapshot| {
                snapshot.zone == *zone
                    && snapshot.is_allowed_for(&demand.spec)
                    && has_image(snapshot)
            })
            .collect();
        machines_with_image.sort_by(|one, other| one.free.gpus.total_cmp(&other.free.gpus));
        let mut remaining_tasks = tasks;
        for snapshot in machines_with_image {
            while remaining_tasks > 0 && snapshot.free_for_image(None).holds(&need) {
                snapshot.reserve_for_image(image, need);
                remaining_tasks -= 1;
            }
        }
    }

    /// Reserves one machine for each task that a gang cannot place yet, so that smaller tasks later in the
    /// queue do not starve the gang. Machines with the most free GPUs after pending stops come first, because
    /// they will have the needed resources soonest.
    pub(super) fn reserve_for_gang(
        &self,
        id: &JobId,
        tasks: usize,
        snapshots: &mut [MachineSnapshot],
    ) {
        let Some(job) = self.jobs.get(id).filter(|job| job.is_gang()) else {
            return;
        };
        let need = job.need();
        for _ in 0..tasks {
            let best = snapshots
                .iter_mut()
                .filter(|snapshot| !snapshot.is_reserved && snapshot.total.holds(&need))
                .filter(|snapshot| snapshot.is_allowed_for(&job.spec))
                .max_by(|one, other| {
                    let gpus = one.free_after_stops.gpus;
                    gpus.total_cmp(&other.free_after_stops.gpus)
                });
            let Some(snapshot) = best else { return };
            snapshot.is_reserved = true;
        }
    }
}
