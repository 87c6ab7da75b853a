//! Amounts of CPUs and GPUs, and limits on them, in thousandths so that sums are exact.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Thousandths of a CPU or GPU in a whole one.
const THOUSANDTHS: f64 = 1e3;
/// Inexactness of decimal numbers in settings, in thousandths.
const ROUNDING: f64 = 1e-3;
/// The largest amount that a record may hold, far below where sums could overflow.
const LARGEST: u64 = 1 << 50;

/// So many CPUs and GPUs, together.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Validate, JsonSchema,
)]
pub struct Amount {
    /// Thousandths of a CPU.
    #[serde(rename = "c", default)]
    #[garde(range(max = LARGEST))]
    pub cpu_thousandths: u64,
    /// Thousandths of a GPU.
    #[serde(rename = "g", default)]
    #[garde(range(max = LARGEST))]
    pub gpu_thousandths: u64,
}

impl Amount {
    /// Nothing.
    pub const ZERO: Self = Self {
        cpu_thousandths: 0,
        gpu_thousandths: 0,
    };

    /// The least amount that covers this many CPUs and GPUs.
    pub fn covering(cpus: f64, gpus: f64) -> Self {
        let up = |units: f64| (units.max(0.0) * THOUSANDTHS - ROUNDING).ceil().max(0.0) as u64;
        Self {
            cpu_thousandths: up(cpus),
            gpu_thousandths: up(gpus),
        }
    }

    /// CPUs and GPUs as decimal numbers.
    pub fn units(&self) -> (f64, f64) {
        let units = |thousandths: u64| thousandths as f64 / THOUSANDTHS;
        (units(self.cpu_thousandths), units(self.gpu_thousandths))
    }

    /// Whether it is nothing.
    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }

    /// Whether `other` fits into it, in both CPUs and GPUs.
    pub fn covers(&self, other: &Self) -> bool {
        self.cpu_thousandths >= other.cpu_thousandths
            && self.gpu_thousandths >= other.gpu_thousandths
    }

    /// Both together.
    pub fn plus(&self, other: &Self) -> Self {
        self.each(other, u64::saturating_add)
    }

    /// What is left without `other`, and nothing where that is more.
    pub fn less(&self, other: &Self) -> Self {
        self.each(other, u64::saturating_sub)
    }

    /// The smaller of both, each of CPUs and GPUs for itself.
    pub fn min(&self, other: &Self) -> Self {
        self.each(other, u64::min)
    }

    /// The larger of both, each of CPUs and GPUs for itself.
    pub fn max(&self, other: &Self) -> Self {
        self.each(other, u64::max)
    }

    /// This part of it, rounded up.
    pub fn part(&self, part: f64) -> Self {
        let of = |thousandths: u64| (thousandths as f64 * part).ceil() as u64;
        Self {
            cpu_thousandths: of(self.cpu_thousandths),
            gpu_thousandths: of(self.gpu_thousandths),
        }
    }

    fn each(&self, other: &Self, combine: fn(u64, u64) -> u64) -> Self {
        Self {
            cpu_thousandths: combine(self.cpu_thousandths, other.cpu_thousandths),
            gpu_thousandths: combine(self.gpu_thousandths, other.gpu_thousandths),
        }
    }
}

/// A team's limit; what is not limited is not granted either, and any amount of it is allowed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    cpu_thousandths: Option<u64>,
    gpu_thousandths: Option<u64>,
}

impl Limit {
    /// From settings, where 0 stands for no limit.
    pub fn new(cpus: f64, gpus: f64) -> Self {
        let down = |units: f64| (units > 0.0).then_some((units * THOUSANDTHS + ROUNDING) as u64);
        Self {
            cpu_thousandths: down(cpus),
            gpu_thousandths: down(gpus),
        }
    }

    /// Whether anything is limited.
    pub fn is_limited(&self) -> bool {
        self.cpu_thousandths.is_some() || self.gpu_thousandths.is_some()
    }

    /// The limit as an amount; nothing of what is not limited.
    pub fn amount(&self) -> Amount {
        Amount {
            cpu_thousandths: self.cpu_thousandths.unwrap_or(0),
            gpu_thousandths: self.gpu_thousandths.unwrap_or(0),
        }
    }

    /// The part of an amount that is limited and has to be granted.
    pub fn limited(&self, amount: &Amount) -> Amount {
        Amount {
            cpu_thousandths: self.cpu_thousandths.map_or(0, |_| amount.cpu_thousandths),
            gpu_thousandths: self.gpu_thousandths.map_or(0, |_| amount.gpu_thousandths),
        }
    }
}
