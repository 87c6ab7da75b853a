//! Amounts of CPUs and GPUs and limits on them, in thousandths so that sums are exact.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Number of thousandths in one CPU or one GPU.
const THOUSANDTHS_PER_UNIT: f64 = 1e3;
/// Tolerance in thousandths for the rounding errors of decimal numbers in settings.
const ROUNDING_TOLERANCE_THOUSANDTHS: f64 = 1e-3;
/// Largest number of thousandths that a record may have. Sums of such numbers stay far below `u64::MAX`.
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

    /// The smallest amount that covers these numbers of CPUs and GPUs. Negative numbers count as 0.
    pub fn covering(cpus: f64, gpus: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "rounded to a whole number before; `as` saturates beyond u64"
        )]
        let round_up = |units: f64| {
            let thousandths =
                units.max(0.0) * THOUSANDTHS_PER_UNIT - ROUNDING_TOLERANCE_THOUSANDTHS;
            thousandths.ceil().max(0.0) as u64
        };
        Self {
            cpu_thousandths: round_up(cpus),
            gpu_thousandths: round_up(gpus),
        }
    }

    /// The numbers of CPUs and GPUs, including fractions.
    pub fn cpus_and_gpus(&self) -> (f64, f64) {
        let units = |thousandths: u64| thousandths as f64 / THOUSANDTHS_PER_UNIT;
        (units(self.cpu_thousandths), units(self.gpu_thousandths))
    }

    /// Whether the amount has no CPUs and no GPUs.
    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }

    /// Whether this amount has at least as many CPUs and at least as many GPUs as `other`.
    pub fn covers(&self, other: &Self) -> bool {
        self.cpu_thousandths >= other.cpu_thousandths
            && self.gpu_thousandths >= other.gpu_thousandths
    }

    /// Adds `other`. Sums saturate at `u64::MAX` thousandths.
    pub fn saturating_add(&self, other: &Self) -> Self {
        self.combine(other, u64::saturating_add)
    }

    /// Subtracts `other`. A resource of which `other` has more becomes 0.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        self.combine(other, u64::saturating_sub)
    }

    /// The smaller of both numbers of CPUs and the smaller of both numbers of GPUs.
    pub fn min(&self, other: &Self) -> Self {
        self.combine(other, u64::min)
    }

    /// The larger of both numbers of CPUs and the larger of both numbers of GPUs.
    pub fn max(&self, other: &Self) -> Self {
        self.combine(other, u64::max)
    }

    /// Multiplies the amount by `factor` and rounds up to whole thousandths.
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

    /// Applies `combine` to the CPUs of both amounts and to the GPUs of both amounts.
    fn combine(&self, other: &Self, combine: fn(u64, u64) -> u64) -> Self {
        Self {
            cpu_thousandths: combine(self.cpu_thousandths, other.cpu_thousandths),
            gpu_thousandths: combine(self.gpu_thousandths, other.gpu_thousandths),
        }
    }
}

/// A team's limits on CPUs and GPUs. Any amount of a resource without a limit may be used without a grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// `None` if CPUs are not limited.
    cpu_thousandths: Option<u64>,
    /// `None` if GPUs are not limited.
    gpu_thousandths: Option<u64>,
}

impl Limit {
    /// Creates a limit from the numbers of CPUs and GPUs in settings, where 0 means that there is no limit.
    pub fn new(cpus: f64, gpus: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "rounded down so that the limit is not exceeded; `as` saturates beyond u64"
        )]
        let round_down = |units: f64| {
            let thousandths =
                (units * THOUSANDTHS_PER_UNIT + ROUNDING_TOLERANCE_THOUSANDTHS) as u64;
            (units > 0.0).then_some(thousandths)
        };
        Self {
            cpu_thousandths: round_down(cpus),
            gpu_thousandths: round_down(gpus),
        }
    }

    /// Whether CPUs, GPUs or both are limited.
    pub fn is_limited(&self) -> bool {
        self.cpu_thousandths.is_some() || self.gpu_thousandths.is_some()
    }

    /// The limit as an amount, with 0 for a resource that is not limited.
    pub fn amount(&self) -> Amount {
        Amount {
            cpu_thousandths: self.cpu_thousandths.unwrap_or(0),
            gpu_thousandths: self.gpu_thousandths.unwrap_or(0),
        }
    }

    /// The part of `amount` that needs a grant: its limited resources, with 0 for the others.
    pub fn limited_part(&self, amount: &Amount) -> Amount {
        Amount {
            cpu_thousandths: self.cpu_thousandths.map_or(0, |_| amount.cpu_thousandths),
            gpu_thousandths: self.gpu_thousandths.map_or(0, |_| amount.gpu_thousandths),
        }
    }
}
