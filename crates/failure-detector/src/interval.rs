//! Estimates the usual interval between two answers of a controller.

use crate::Seconds;

/// Weight of a new interval in the moving mean.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new interval's deviation in the moving mean deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// An interval counts as usual up to this many mean deviations above the mean.
const USUAL_DEVIATIONS: f64 = 4.0;

/// Mean and mean deviation of intervals, estimated in the way TCP estimates round-trip times. They take the
/// place of the window of samples that a phi-accrual detector keeps.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntervalEstimate {
    mean: Seconds,
    deviation: Seconds,
    has_samples: bool,
}

impl IntervalEstimate {
    /// Adds one interval to the estimate.
    pub fn add(&mut self, interval: Seconds) {
        if !self.has_samples {
            *self = Self {
                mean: interval,
                deviation: interval / 2.0,
                has_samples: true,
            };
            return;
        }
        let error = interval - self.mean;
        self.mean += error * MEAN_GAIN;
        self.deviation += (error.abs() - self.deviation) * DEVIATION_GAIN;
    }

    /// Returns the longest interval that still counts as usual; 0 without samples.
    pub fn longest_usual(&self) -> Seconds {
        self.mean + self.deviation * USUAL_DEVIATIONS
    }
}
