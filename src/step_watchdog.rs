//! Reports a step of the core that does not end. Such a step blocks the thread that runs everything else, so
//! the report comes from a thread of its own.

use crate::core::progress::{StepProgress, StepStage};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A step that is still running, as seen by repeated checks.
#[derive(Default)]
struct StepWatch {
    /// The number of the step that ran at the last check.
    step: u64,
    /// For how many checks in a row that step has been running.
    checks: u32,
}

impl StepWatch {
    /// Checks the current step. Returns the number of intervals for which it has been running if that has to
    /// be reported: after one interval and each time that the number has doubled.
    fn check(&mut self, progress: &StepProgress) -> Option<u32> {
        let step = progress.steps();
        if progress.stage() == StepStage::Idle || step != self.step {
            *self = Self { step, checks: 0 };
            return None;
        }
        self.checks = self.checks.saturating_add(1);
        self.checks.is_power_of_two().then_some(self.checks)
    }
}

/// Starts the thread that checks the core's current step once in each interval.
pub fn start(progress: Arc<StepProgress>, interval: Duration) -> std::io::Result<()> {
    let watch = move || {
        let mut watch = StepWatch::default();
        loop {
            thread::sleep(interval);
            if let Some(intervals) = watch.check(&progress) {
                let seconds = interval.as_secs_f64() * f64::from(intervals);
                tracing::error!(
                    seconds = %format_args!("{seconds:.1}"),
                    stage = ?progress.stage(),
                    "a step has not ended: this controller answers nothing meanwhile"
                );
            }
        }
    };
    let thread = thread::Builder::new().name("step-watchdog".into());
    thread.spawn(watch).map(drop)
}

#[cfg(test)]
mod tests;
