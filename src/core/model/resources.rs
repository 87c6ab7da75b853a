//! Amounts of the resources that tasks use and machines have.

use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};

/// Absolute tolerance in comparisons, so that rounding errors neither add free resources nor hide them.
pub(crate) const EPSILON: f64 = 1e-6;

/// An amount of each kind of resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Number of CPU cores.
    #[serde(rename = "cpu")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(rename = "gpu")]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "mem")]
    pub memory_gb: f64,
}

impl Resources {
    /// The resources that each task of a job uses.
    pub fn of(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// This amount multiplied by `count`.
    pub fn times(&self, count: u32) -> Resources {
        let count = f64::from(count);
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            memory_gb: self.memory_gb * count,
        }
    }

    /// This amount less `other`. The result may be negative.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory_gb: self.memory_gb - other.memory_gb,
        }
    }

    /// The sum of both amounts.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }

    /// The smaller amount of each kind of resource.
    pub fn min(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }

    /// A machine's free resources without the share of its free GPUs. The share of each GPU is an equal part
    /// of the machine's CPUs and memory. `total` are all resources of the machine.
    pub fn without_share_of_free_gpus(&self, total: &Resources) -> Resources {
        if total.gpus <= 0.0 {
            return *self;
        }
        let free_part = (self.gpus / total.gpus).clamp(0.0, 1.0);
        Resources {
            cpus: self.cpus - total.cpus * free_part,
            gpus: self.gpus,
            memory_gb: self.memory_gb - total.memory_gb * free_part,
        }
    }

    /// Whether `need` fits into this amount, within a small tolerance.
    pub fn holds(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus + EPSILON
            && need.gpus <= self.gpus + EPSILON
            && need.memory_gb <= self.memory_gb + EPSILON
    }
}
