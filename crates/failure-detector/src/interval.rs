//! An estimate of the usual interval between answers of a controller.

use crate::Seconds;

/// Weight of a new interval in the mean.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new interval's deviation in the mean deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// Mean deviations beyond the mean up to which an interval counts as usual.
const USUAL_DEVIATIONS: f64 = 4.0;

/// Mean and mean deviation of intervals, estimated as TCP estimates round-trip times. These two numbers
/// serve the same purpose as the window of samples of a phi-accrual detector.
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

    /// The longest interval that still counts as usual; 0 without samples.
    pub fn longest_usual(&self) -> Seconds {
        self.mean + self.deviation * USUAL_DEVIATIONS
    }
}
