//! The machine types that the cloud offers, and which submissions none of them can ever run.

use crate::config::Config;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::constraints::{accepts_type, team_limits};
use crate::core::scheduling::usage::{is_within_limit, minimum_quota};
use crate::ids::MachineTypeName;
use crate::wire::{JobSpec, MachineType};

/// Boot time assumed for a machine type that is not in the catalog, in seconds.
const UNKNOWN_TYPE_BOOT_S: Time = 60.0;

/// A boot is never assumed to be shorter than this, in seconds.
const MIN_BOOT_S: Time = 1.0;

/// The machine types, known to every controller.
#[derive(Default)]
pub struct Catalog {
    /// The types; empty until they have been read.
    pub(crate) types: Vec<MachineType>,
    /// When the cloud is to be queried next.
    pub(crate) next_query: Time,
    /// Whether a query to the cloud is pending.
    pub(crate) is_query_pending: bool,
    /// The types are not written to the state service before this time.
    pub(crate) next_store_write: Time,
}

impl Catalog {
    /// A catalog of the given types.
    #[cfg(test)]
    pub fn with_types(types: Vec<MachineType>) -> Self {
        Self {
            types,
            ..Self::default()
        }
    }

    /// Whether the machine types have been read.
    pub fn is_known(&self) -> bool {
        !self.types.is_empty()
    }

    /// The machine types; empty while they are not known.
    pub fn types(&self) -> &[MachineType] {
        &self.types
    }

    /// The state service refused to store the types: the write is not repeated.
    pub fn stop_store_writes(&mut self) {
        tracing::error!(
            "store rejected the machine types: they are not written again until they change"
        );
        self.next_store_write = Time::INFINITY;
    }

    /// How long a machine of the type takes to boot, in seconds.
    pub fn boot_s(&self, name: &MachineTypeName) -> Time {
        self.find(name).map_or(UNKNOWN_TYPE_BOOT_S, |of_type| {
            of_type.boot_s.max(MIN_BOOT_S)
        })
    }

    /// Price of a machine of the type, as a spot instance or not; 0 for an unknown type.
    pub fn price(&self, name: &MachineTypeName, spot: bool) -> f64 {
        self.find(name).map_or(0.0, |of_type| price(of_type, spot))
    }

    /// Whether a submission can never run: no machine type can hold a task of it, or its team's limit
    /// is too low. `None` while the machine types are not known.
    pub fn can_never_run(&self, config: &Config, spec: &JobSpec) -> Option<bool> {
        if !self.is_known() {
            return None;
        }
        let Some(team_limits) = team_limits(config, spec) else {
            return Some(true);
        };
        let quota = minimum_quota(spec);
        let is_within_quota = is_within_limit(quota.cpus, team_limits.cpus_max)
            && is_within_limit(quota.gpus, team_limits.gpus_max);
        let fits_some_type = self.types.iter().any(|of_type| can_hold(of_type, spec));
        Some(!is_within_quota || !fits_some_type)
    }

    fn find(&self, name: &MachineTypeName) -> Option<&MachineType> {
        self.types.iter().find(|of_type| of_type.name == *name)
    }
}

/// Price of a machine of a type, as a spot instance or not.
pub fn price(of_type: &MachineType, spot: bool) -> f64 {
    if spot {
        of_type.spot_price
    } else {
        of_type.price
    }
}

/// Whether an empty machine of the type can hold a task of the job, and the job accepts the type. Zones are
/// not considered: a type may be offered in further zones later.
pub fn can_hold(of_type: &MachineType, spec: &JobSpec) -> bool {
    accepts_type(spec, &of_type.name) && total_resources(of_type).holds(&Resources::of(spec))
}

/// Whether a task needs no GPUs and some machine type without GPUs can hold it: then it can leave the
/// CPUs and memory beside free GPUs to tasks that need GPUs.
pub fn fits_without_gpus(types: &[MachineType], spec: &JobSpec) -> bool {
    let holds_without_gpus = |of_type: &MachineType| of_type.gpus <= 0.0 && can_hold(of_type, spec);
    spec.gpus <= 0.0 && types.iter().any(holds_without_gpus)
}

/// All resources of a machine of the type.
pub fn total_resources(of_type: &MachineType) -> Resources {
    Resources {
        cpus: of_type.cpus,
        gpus: of_type.gpus,
        memory_gb: of_type.memory_gb,
    }
}

/// How many tasks of this size fit on an empty machine of the type; a whole number.
pub fn tasks_per_machine(of_type: &MachineType, need: &Resources) -> f64 {
    let per = |have: f64, need: f64| {
        if need > 0.0 {
            (have / need).floor()
        } else {
            f64::MAX
        }
    };
    per(of_type.cpus, need.cpus)
        .min(per(of_type.gpus, need.gpus))
        .min(per(of_type.memory_gb, need.memory_gb))
}

#[cfg(test)]
mod tests;
