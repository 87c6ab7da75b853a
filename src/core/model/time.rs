//! Time in the core.

/// Seconds on the process's monotonic clock: a point in time, or the difference between two.
pub type Time = f64;

/// Relative bound on the difference between the rates of two monotonic clocks. Each runs fast or slow by 0.05%, so two differ by at
/// most twice that; the bound is doubled once more.
pub const MAX_CLOCK_DRIFT: f64 = 0.002;
