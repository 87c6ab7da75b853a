//! Amounts of CPUs and GPUs and limits on them, in thousandths so that sums are exact.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Thousandths of a CPU or GPU in a whole one.
const THOUSANDTHS: f64 = 1e3;
/// Tolerance for rounding errors of decimal numbers in settings, in thousandths.
const ROUNDING_TOLERANCE: f64 = 1e-3;
/// The largest amount that a record may hold: far too small for sums to overflow.
const MAX_THOUSANDTHS: u64 = 1 << 50;

/// A number of CPUs and a number of GPUs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Validate, JsonSchema,
)]
pub struct Amount {
    /// Thousandths of a CPU.
    #[serde(rename = "c", default)]
    #[garde(range(max = MAX_THOUSANDTHS))]
    pub cpu_thousandths: u64,
    /// Thousandths of a GPU.
    #[serde(rename = "g", default)]
    #[garde(range(max = MAX_THOUSANDTHS))]
    pub gpu_thousandths: u64,
}

impl Amount {
    /// No CPUs and no GPUs.
    pub const ZERO: Self = Self {
        cpu_thousandths: 0,
        gpu_thousandths: 0,
    };

    /// The smallest amount that covers this many CPUs and GPUs; negative numbers count as 0.
    pub fn covering(cpus: f64, gpus: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "rounded to a whole number before; `as` saturates beyond u64"
        )]
        let round_up = |units: f64| {
            let thousandths = units.max(0.0) * THOUSANDTHS - ROUNDING_TOLERANCE;
            thousandths.ceil().max(0.0) as u64
        };
        Self {
            cpu_thousandths: round_up(cpus),
            gpu_thousandths: round_up(gpus),
        }
    }

    /// CPUs and GPUs as decimal numbers.
    pub fn cpus_and_gpus(&self) -> (f64, f64) {
        let units = |thousandths: u64| thousandths as f64 / THOUSANDTHS;
        (units(self.cpu_thousandths), units(self.gpu_thousandths))
    }

    /// Whether it is [`Self::ZERO`].
    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }

    /// Whether it has at least as many CPUs and at least as many GPUs as `other`.
    pub fn covers(&self, other: &Self) -> bool {
        self.cpu_thousandths >= other.cpu_thousandths
            && self.gpu_thousandths >= other.gpu_thousandths
    }

    /// The sum of both.
    pub fn plus(&self, other: &Self) -> Self {
        self.combined(other, u64::saturating_add)
    }

    /// The difference; 0 where `other` has more.
    pub fn minus(&self, other: &Self) -> Self {
        self.combined(other, u64::saturating_sub)
    }

    /// The smaller number of CPUs and the smaller number of GPUs.
    pub fn min(&self, other: &Self) -> Self {
        self.combined(other, u64::min)
    }

    /// The larger number of CPUs and the larger number of GPUs.
    pub fn max(&self, other: &Self) -> Self {
        self.combined(other, u64::max)
    }

    /// The amount times `factor`, rounded up.
    pub fn scaled(&self, factor: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "rounded to a whole number before; `as` saturates beyond u64"
        )]
        let scaled = |thousandths: u64| (thousandths as f64 * factor).ceil() as u64;
        Self {
            cpu_thousandths: scaled(self.cpu_thousandths),
            gpu_thousandths: scaled(self.gpu_thousandths),
        }
    }

    fn combined(&self, other: &Self, combine: fn(u64, u64) -> u64) -> Self {
        Self {
            cpu_thousandths: combine(self.cpu_thousandths, other.cpu_thousandths),
            gpu_thousandths: combine(self.gpu_thousandths, other.gpu_thousandths),
        }
    }
}

/// A team's limit. A resource that is not limited needs no grant: any amount of it is allowed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    cpu_thousandths: Option<u64>,
    gpu_thousandths: Option<u64>,
}

impl Limit {
    /// A limit as settings express it, where 0 means that there is none.
    pub fn new(cpus: f64, gpus: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a limit is rounded down on purpose; `as` saturates beyond u64"
        )]
        let round_down = |units: f64| {
            let thousandths = (units * THOUSANDTHS + ROUNDING_TOLERANCE) as u64;
            (units > 0.0).then_some(thousandths)
        };
        Self {
            cpu_thousandths: round_down(cpus),
            gpu_thousandths: round_down(gpus),
        }
    }

    /// Whether CPUs or GPUs are limited.
    pub fn is_limited(&self) -> bool {
        self.cpu_thousandths.is_some() || self.gpu_thousandths.is_some()
    }

    /// The limit as an amount; 0 of a resource that is not limited.
    pub fn amount(&self) -> Amount {
        Amount {
            cpu_thousandths: self.cpu_thousandths.unwrap_or(0),
            gpu_thousandths: self.gpu_thousandths.unwrap_or(0),
        }
    }

    /// The part of an amount that is limited and so needs a grant.
    pub fn limited_part(&self, amount: &Amount) -> Amount {
        Amount {
            cpu_thousandths: self.cpu_thousandths.map_or(0, |_| amount.cpu_thousandths),
            gpu_thousandths: self.gpu_thousandths.map_or(0, |_| amount.gpu_thousandths),
        }
    }
}
