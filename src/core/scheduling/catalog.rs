//! The machine types that the cloud offers, and which submissions can never run on any of them.

use crate::config::Config;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::constraints::team_limits;
use crate::core::scheduling::usage::{least_need, within};
use crate::ids::TypeName;
use crate::wire::{JobSpec, MachineType};

/// The machine types, known to every controller.
#[derive(Default)]
pub struct Catalog {
    pub(crate) types: Vec<MachineType>,
    pub(crate) next: Time,
    pub(crate) asking: bool,
    /// Not to be stored again before this.
    pub(crate) next_store: Time,
}

impl Catalog {
    #[cfg(test)]
    pub fn with_types(types: Vec<MachineType>) -> Self {
        Self {
            types,
            ..Self::default()
        }
    }

    pub fn known(&self) -> bool {
        !self.types.is_empty()
    }

    pub fn types(&self) -> &[MachineType] {
        &self.types
    }

    /// The state service refuses these types: they are not offered to it again.
    pub fn not_storable(&mut self) {
        tracing::error!("the state service refuses the machine types");
        self.next_store = Time::INFINITY;
    }

    pub fn boot_s(&self, name: &TypeName) -> Time {
        self.types
            .iter()
            .find(|t| t.name == *name)
            .map_or(60.0, |t| t.boot_s.max(1.0))
    }

    pub fn price(&self, name: &TypeName, spot: bool) -> f64 {
        let of_type = self.types.iter().find(|t| t.name == *name);
        of_type.map_or(0.0, |t| if spot { t.spot_price } else { t.price })
    }

    /// Whether a submission can never run; None while that cannot be told.
    pub fn refusal(&self, config: &Config, spec: &JobSpec) -> Option<bool> {
        if !self.known() {
            return None;
        }
        let Some(team_limits) = team_limits(config, spec) else {
            return Some(true);
        };
        let (cpus, gpus) = least_need(spec);
        let need = Resources::of(spec);
        let fits = |t: &MachineType| {
            spec.types
                .as_ref()
                .is_none_or(|types| types.contains(&t.name))
                && total_room(t).holds(&need)
        };
        let allowed = within(cpus, team_limits.cpus_max) && within(gpus, team_limits.gpus_max);
        Some(!allowed || !self.types.iter().any(fits))
    }
}

/// Whether a task without GPUs could run on a machine that has none either: then it leaves the CPUs and
/// memory that belong to free GPUs to tasks that need them.
pub fn fits_without_gpus(types: &[MachineType], spec: &JobSpec) -> bool {
    let need = Resources::of(spec);
    let suits = |of_type: &MachineType| {
        of_type.gpus <= 0.0
            && spec
                .types
                .as_ref()
                .is_none_or(|types| types.contains(&of_type.name))
            && total_room(of_type).holds(&need)
    };
    need.gpus <= 0.0 && types.iter().any(suits)
}

/// All that a machine of a type has.
pub fn total_room(of: &MachineType) -> Resources {
    Resources {
        cpus: of.cpus,
        gpus: of.gpus,
        memory_gb: of.memory_gb,
    }
}

/// How many tasks of this size fit on an empty machine of a type.
pub fn tasks_per_machine(of: &MachineType, need: &Resources) -> f64 {
    let per = |have: f64, need: f64| {
        if need > 0.0 {
            (have / need).floor()
        } else {
            f64::MAX
        }
    };
    per(of.cpus, need.cpus)
        .min(per(of.gpus, need.gpus))
        .min(per(of.memory_gb, need.memory_gb))
}

#[cfg(test)]
mod tests;
