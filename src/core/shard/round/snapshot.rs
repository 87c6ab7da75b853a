//! The state of the machines during a round of placement.

use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::constraints::allowed;
use crate::core::shard::Shard;
use crate::ids::{Image, MachineId, TypeName, Zone};
use crate::wire::{JobSpec, Priority};

/// A usable machine, less the resources that the round has already assigned.
pub struct MachineSnapshot {
    /// The machine.
    pub(crate) id: MachineId,
    /// Its type.
    pub(crate) type_name: TypeName,
    /// Its zone.
    pub(crate) zone: Zone,
    /// Whether it is a spot instance.
    pub(crate) spot: bool,
    /// All its resources.
    pub(crate) total: Resources,
    /// Resources that are free now.
    pub(super) free: Resources,
    /// Resources that are free once all attempts that were told to stop have ended.
    pub(super) free_after_stops: Resources,
    /// Resources of the attempts that were not told to stop, by priority.
    pub(crate) running: [Resources; Priority::COUNT],
    /// Whether the machine is reserved for a gang that needs it.
    pub(super) is_reserved: bool,
    /// Resources reserved for starts that are in time only where their image is cached.
    image_reservations: Vec<ImageReservation>,
}

/// Resources reserved for one task that uses an image.
struct ImageReservation {
    image: Image,
    resources: Resources,
}

impl MachineSnapshot {
    /// Resources that are free once all attempts that were told to stop have ended.
    pub(crate) fn free_after_stops(&self) -> Resources {
        self.free_after_stops
    }

    /// Whether the machine is reserved for a gang.
    pub(crate) fn is_reserved(&self) -> bool {
        self.is_reserved
    }

    /// Free resources less those reserved for images other than `image`.
    pub(super) fn free_for_image(&self, image: Option<&Image>) -> Resources {
        self.image_reservations
            .iter()
            .filter(|reservation| Some(&reservation.image) != image)
            .fold(self.free, |free, reservation| {
                free.less(&reservation.resources)
            })
    }

    /// The part of `free` that a task may use. A task that avoids stranding GPUs uses only what the
    /// machine's free GPUs do not need.
    pub(super) fn usable_resources(
        &self,
        free: Resources,
        avoids_stranding_gpus: bool,
    ) -> Resources {
        if avoids_stranding_gpus {
            free.beside_free_gpus(&self.total)
        } else {
            free
        }
    }

    /// Reserves resources for a task that uses an image.
    pub(super) fn reserve_for_image(&mut self, image: &Image, resources: Resources) {
        self.image_reservations.push(ImageReservation {
            image: image.clone(),
            resources,
        });
    }

    /// Assigns resources to a task, which also uses up one reservation for its image.
    pub(super) fn assign(&mut self, need: &Resources, image: &Image) {
        self.free = self.free.less(need);
        self.free_after_stops = self.free_after_stops.less(need);
        let reserved = self
            .image_reservations
            .iter()
            .position(|reservation| reservation.image == *image);
        if let Some(position) = reserved {
            self.image_reservations.remove(position);
        }
    }

    /// Assigns resources to a task that starts once preempted attempts have ended, which will free
    /// `released`.
    pub(crate) fn assign_after_preemption(
        &mut self,
        released: impl Iterator<Item = Resources>,
        need: &Resources,
    ) {
        for resources in released {
            self.free_after_stops = self.free_after_stops.plus(&resources);
        }
        self.free_after_stops = self.free_after_stops.less(need);
        self.free = self.free.min(&self.free_after_stops);
    }

    /// Whether the job accepts the machine's type, zone and kind.
    pub(crate) fn is_allowed_for(&self, spec: &JobSpec) -> bool {
        allowed(spec, &self.type_name, &self.zone, self.spot)
    }
}

impl Shard {
    /// Snapshots of all usable machines, in the order of their ids.
    pub(super) fn snapshot_machines(&self, now: Time) -> Vec<MachineSnapshot> {
        self.machines
            .values()
            .filter(|machine| machine.usable(now))
            .map(|machine| MachineSnapshot {
                id: machine.id.clone(),
                type_name: machine.type_name.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                total: machine.total,
                free: machine.free(),
                free_after_stops: machine.free_after_stops(),
                running: machine.running_by_priority(),
                is_reserved: false,
                image_reservations: Vec::new(),
            })
            .collect()
    }
}
