//! The machine types that the cloud offers, and which submissions can never run on any of them.

use super::outbox::Pending;
use super::placement::Resources;
use super::quota::within;
use super::schedule::team_limits;
use super::store::{LEADER_KEY, TYPES_KEY, precondition, put};
use super::user_requests::least_need;
use super::{CloudCall, CloudReply, Core, StoreCall, Time};
use crate::config::Config;
use crate::ids::TypeName;
use crate::wire::{JobSpec, MachineType, MachineTypes, Transaction};

/// The machine types, known to every controller.
#[derive(Default)]
pub struct Catalog {
    types: Vec<MachineType>,
    next: Time,
    asking: bool,
    /// Not to be stored again before this.
    next_store: Time,
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

impl Core {
    /// Every controller knows the machine types; the leader also rents and returns. It keeps them
    /// in the state service too, so that controllers which start while the cloud is down can
    /// accept and place.
    pub(super) fn catalog_when_due(&mut self) {
        let catalog = &mut self.catalog;
        if let (false, Some(stored)) = (catalog.known(), self.store.types()) {
            catalog.types.clone_from(&stored.record.types);
        }
        if self.leader.is_some()
            && catalog.known()
            && self.outbox.now >= catalog.next_store
            && self.outbox.may_write()
        {
            catalog.next_store = self.outbox.now + self.config.deployment.cloud.list_lag_s.max(1.0);
            self.store_types();
        }
        let catalog = &mut self.catalog;
        if !catalog.asking
            && self.outbox.now >= catalog.next
            && (!catalog.known() || self.leader.is_some())
        {
            catalog.asking = true;
            self.outbox.cloud(None, CloudCall::Types);
        }
    }

    fn store_types(&mut self) {
        let Some(leader) = &self.leader else { return };
        let record = MachineTypes {
            types: self.catalog.types.clone(),
        };
        let stored = self.store.types();
        if stored.is_some_and(|stored| stored.record == record) {
            return;
        }
        let write = put(TYPES_KEY, &record, None);
        let size = serde_json::to_string(&record).map_or(usize::MAX, |text| text.len());
        if size as f64 > self.config.deployment.state.value_kb * 1024.0 {
            return tracing::error!("the machine types, {size} bytes, are too large to be stored");
        }
        let version = stored.map_or(0, |stored| stored.version);
        let preconditions = vec![
            precondition(LEADER_KEY, leader.term),
            precondition(TYPES_KEY, version),
        ];
        let transaction = Transaction {
            preconditions,
            writes: vec![write.clone()],
        };
        self.outbox
            .state(Pending::Types(write), StoreCall::Commit(transaction));
    }

    pub(super) fn catalog_reply(&mut self, reply: CloudReply) {
        let now = self.outbox.now;
        let cloud = &self.config.deployment.cloud;
        self.catalog.asking = false;
        match reply {
            CloudReply::Types(types) if !types.types.is_empty() => {
                if self.catalog.types != types.types {
                    self.catalog.next_store = self.catalog.next_store.min(now);
                }
                self.catalog.types = types.types;
                self.catalog.next = now + cloud.list_lag_s.max(1.0) * 6.0;
            }
            _ => self.catalog.next = now + self.outbox.jitter(1.5 / cloud.rps),
        }
    }
}

#[cfg(test)]
mod tests;
