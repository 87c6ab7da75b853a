//! Time as the core sees it.

/// Seconds on the process's steady clock: a moment, or the difference between two.
pub type Time = f64;

/// Relative bound on the difference between two steady clocks. Each runs fast or slow by 0.05%, so two differ by at
/// most twice that; the bound is doubled once more.
pub const CLOCK_DRIFT: f64 = 0.002;
