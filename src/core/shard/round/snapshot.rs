//! The state of the machines during a placement round.

use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::constraints::accepts_machine;
use crate::core::shard::Shard;
use crate::ids::{Image, MachineId, MachineTypeName, Zone};
use crate::wire::{JobSpec, Priority};

/// The resources of a usable machine, less those that the round has already assigned.
pub struct MachineSnapshot {
    /// Id by which [`Shard`] looks up the machine.
    pub(crate) id: MachineId,
    /// The type under which the cloud's catalog lists the machine.
    pub(crate) type_name: MachineTypeName,
    /// The cloud zone in which the machine runs.
    pub(crate) zone: Zone,
    /// Whether the cloud may reclaim the machine at short notice.
    pub(crate) spot: bool,
    /// The resources of the empty machine.
    pub(crate) total: Resources,
    /// Resources that a task started in this round may use.
    pub(super) free: Resources,
    /// Resources that will be free once every attempt with a pending stop has ended.
    pub(super) free_after_stops: Resources,
    /// Resources of the attempts without a pending stop, indexed by priority.
    pub(crate) running: [Resources; Priority::COUNT],
    /// Whether the machine is reserved for a waiting gang in this round.
    pub(super) is_reserved: bool,
    /// Reservations for tasks that can start in time only on a machine with their image cached.
    image_reservations: Vec<ImageReservation>,
}

/// Resources reserved for one future task that uses the image.
struct ImageReservation {
    image: Image,
    resources: Resources,
}

impl MachineSnapshot {
    /// Resources that will be free once every attempt with a pending stop has ended.
    pub(crate) fn free_after_stops(&self) -> Resources {
        self.free_after_stops
    }

    /// Whether the machine is reserved for a waiting gang in this round.
    pub(crate) fn is_reserved(&self) -> bool {
        self.is_reserved
    }

    /// Free resources less those reserved for images other than `image`; `None` respects every reservation.
    pub(super) fn free_for_image(&self, image: Option<&Image>) -> Resources {
        self.image_reservations
            .iter()
            .filter(|reservation| Some(&reservation.image) != image)
            .fold(self.free, |free, reservation| {
                free.minus(&reservation.resources)
            })
    }

    /// The part of `free` that a task may use. A task that must keep free GPUs usable may not use the CPUs
    /// and memory that belong to the machine's free GPUs.
    pub(super) fn usable_resources(
        &self,
        free: Resources,
        must_keep_free_gpus_usable: bool,
    ) -> Resources {
        if must_keep_free_gpus_usable {
            free.without_share_of_free_gpus(&self.total)
        } else {
            free
        }
    }

    /// Reserves resources for one future task that uses the image.
    pub(super) fn reserve_for_image(&mut self, image: &Image, resources: Resources) {
        self.image_reservations.push(ImageReservation {
            image: image.clone(),
            resources,
        });
    }

    /// Assigns resources to a task and removes one reservation for its image, if there is any.
    pub(super) fn assign(&mut self, need: &Resources, image: &Image) {
        self.free = self.free.minus(need);
        self.free_after_stops = self.free_after_stops.minus(need);
        let reserved = self
            .image_reservations
            .iter()
            .position(|reservation| reservation.image == *image);
        if let Some(position) = reserved {
            self.image_reservations.remove(position);
        }
    }

    /// Assigns resources to a task that starts once the preempted attempts have ended. `released` are the
    /// resources of these attempts.
    pub(crate) fn assign_after_preemption(
        &mut self,
        released: impl Iterator<Item = Resources>,
        need: &Resources,
    ) {
        for resources in released {
            self.free_after_stops = self.free_after_stops.plus(&resources);
        }
        self.free_after_stops = self.free_after_stops.minus(need);
        self.free = self.free.min(&self.free_after_stops);
    }

    /// Whether the job accepts the machine's type and zone, and a spot instance if the machine is one.
    pub(crate) fn is_allowed_for(&self, spec: &JobSpec) -> bool {
        accepts_machine(spec, &self.type_name, &self.zone, self.spot)
    }
}

impl Shard {
    /// Takes a snapshot of each usable machine, in the order of machine ids.
    pub(super) fn snapshot_machines(&self, now: Time) -> Vec<MachineSnapshot> {
        self.machines
            .values()
            .filter(|machine| machine.accepts_starts(now))
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
