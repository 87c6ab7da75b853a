//! Time values of the core.

/// Seconds on the monotonic clock of the process, as a point in time or as a duration.
pub type Time = f64;

/// Milliseconds per second.
pub const MS_PER_S: f64 = 1e3;

/// Upper bound on the relative difference between the rates of two monotonic clocks. Each clock deviates by
/// at most 0.05%, so two clocks differ by at most 0.1%. The bound is twice that.
pub const MAX_CLOCK_DRIFT: f64 = 0.002;
