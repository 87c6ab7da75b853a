//! How far apart the answers of a controller usually are.

use crate::Seconds;

/// Weight of a new interval in the mean, and of its deviation in the mean deviation.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// Mean deviations beyond the mean that are still usual.
const USUAL_DEVIATIONS: f64 = 4.0;

/// Mean and mean deviation of the intervals between answers, as TCP keeps them of round trips: two numbers
/// in place of a window, which serve the same purpose as the distribution of a phi-accrual detector.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualInterval {
    mean: Seconds,
    deviation: Seconds,
    known: bool,
}

impl UsualInterval {
    /// Takes up one interval.
    pub fn add(&mut self, interval: Seconds) {
        if !self.known {
            *self = Self {
                mean: interval,
                deviation: interval / 2.0,
                known: true,
            };
            return;
        }
        let error = interval - self.mean;
        self.mean += error * MEAN_GAIN;
        self.deviation += (error.abs() - self.deviation) * DEVIATION_GAIN;
    }

    /// The longest interval that is still usual.
    pub fn longest(&self) -> Seconds {
        self.mean + self.deviation * USUAL_DEVIATIONS
    }
}
