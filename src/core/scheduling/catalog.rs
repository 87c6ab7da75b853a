//! The machine types that the cloud offers, and the check whether any of them can ever run a job.

use crate::config::Config;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::constraints::{accepts_type, team_limits};
use crate::core::scheduling::usage::{is_within_limit, minimum_quota};
use crate::ids::MachineTypeName;
use crate::wire::{JobSpec, MachineType};

/// Boot time assumed for a machine type that is not in the catalog, in seconds.
const UNKNOWN_TYPE_BOOT_S: Time = 60.0;

/// Lower bound of every assumed boot time, in seconds.
pub(crate) const MIN_BOOT_S: Time = 1.0;

/// The machine types as this controller last read them from the cloud or the state service.
#[derive(Default)]
pub struct Catalog {
    /// Empty until the types have been read.
    pub(crate) types: Vec<MachineType>,
    /// Earliest time of the next query to the cloud.
    pub(crate) next_query: Time,
    /// Whether a query to the cloud awaits its reply.
    pub(crate) is_query_pending: bool,
    /// Earliest time of the next write of the types to the state service.
    pub(crate) next_store_write: Time,
}

impl Catalog {
    /// Creates a catalog of the given types.
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

    /// Stops writes of the types, which the state service rejected, until the types change.
    pub fn stop_store_writes(&mut self) {
        tracing::error!(
            "store rejected the machine types: they are not written again until they change"
        );
        self.next_store_write = Time::INFINITY;
    }

    /// Boot time of a machine of the type, in seconds.
    pub fn boot_s(&self, name: &MachineTypeName) -> Time {
        self.find(name).map_or(UNKNOWN_TYPE_BOOT_S, |machine_type| {
            machine_type.boot_s.max(MIN_BOOT_S)
        })
    }

    /// The spot or on-demand price of a machine of the type; 0 for an unknown type.
    pub fn price(&self, name: &MachineTypeName, spot: bool) -> f64 {
        self.find(name)
            .map_or(0.0, |machine_type| price(machine_type, spot))
    }

    /// Whether a job can never run: no machine type can hold one of its tasks, its team's limit is too low,
    /// or its team is not configured. `None` while the machine types are not known.
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
        let fits_some_type = self
            .types
            .iter()
            .any(|machine_type| can_hold(machine_type, spec));
        Some(!is_within_quota || !fits_some_type)
    }

    fn find(&self, name: &MachineTypeName) -> Option<&MachineType> {
        self.types
            .iter()
            .find(|machine_type| machine_type.name == *name)
    }
}

/// The spot or on-demand price of a machine of the type, in the cloud's unit.
pub fn price(machine_type: &MachineType, spot: bool) -> f64 {
    if spot {
        machine_type.spot_price
    } else {
        machine_type.price
    }
}

/// Whether an empty machine of the type can hold a task of the job, and the job accepts the type. Zones are
/// not considered: a type may be offered in further zones later.
pub fn can_hold(machine_type: &MachineType, spec: &JobSpec) -> bool {
    accepts_type(spec, &machine_type.name)
        && total_resources(machine_type).holds(&Resources::of(spec))
}

/// Whether a task of the job needs no GPUs and some machine type without GPUs can hold it. Such a task can
/// leave the CPUs and memory of GPU machines to tasks that need GPUs.
pub fn fits_without_gpus(types: &[MachineType], spec: &JobSpec) -> bool {
    let holds_without_gpus =
        |machine_type: &MachineType| machine_type.gpus <= 0.0 && can_hold(machine_type, spec);
    spec.gpus <= 0.0 && types.iter().any(holds_without_gpus)
}

/// All resources of a machine of the type.
pub fn total_resources(machine_type: &MachineType) -> Resources {
    Resources {
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        memory_gb: machine_type.memory_gb,
    }
}

/// Number of tasks with this need that fit on an empty machine of the type; `f64::MAX` if they need nothing.
pub fn tasks_per_machine(machine_type: &MachineType, need: &Resources) -> f64 {
    let whole_multiples = |have: f64, need: f64| {
        if need > 0.0 {
            (have / need).floor()
        } else {
            f64::MAX
        }
    };
    whole_multiples(machine_type.cpus, need.cpus)
        .min(whole_multiples(machine_type.gpus, need.gpus))
        .min(whole_multiples(machine_type.memory_gb, need.memory_gb))
}

#[cfg(test)]
mod tests;
