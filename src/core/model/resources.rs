use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};

/// Rounding of amounts never makes room that is not there, nor hides room that is.
pub(crate) const EPSILON: f64 = 1e-6;

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    #[serde(rename = "cpu")]
    pub cpus: f64,
    #[serde(rename = "gpu")]
    pub gpus: f64,
    #[serde(rename = "mem")]
    pub memory_gb: f64,
}

impl Resources {
    /// What each task of a job takes.
    pub fn of(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    pub fn times(&self, count: u32) -> Resources {
        let count = f64::from(count);
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            memory_gb: self.memory_gb * count,
        }
    }

    pub fn less(&self, taken: &Resources) -> Resources {
        Resources {
            cpus: self.cpus - taken.cpus,
            gpus: self.gpus - taken.gpus,
            memory_gb: self.memory_gb - taken.memory_gb,
        }
    }

    pub fn plus(&self, given: &Resources) -> Resources {
        Resources {
            cpus: self.cpus + given.cpus,
            gpus: self.gpus + given.gpus,
            memory_gb: self.memory_gb + given.memory_gb,
        }
    }

    pub fn min(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }

    /// Of what is free on a machine, what its free GPUs do without: each GPU keeps an equal part of the
    /// machine's CPUs and memory.
    pub fn beside_free_gpus(&self, total: &Resources) -> Resources {
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

    pub fn holds(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus + EPSILON
            && need.gpus <= self.gpus + EPSILON
            && need.memory_gb <= self.memory_gb + EPSILON
    }
}
