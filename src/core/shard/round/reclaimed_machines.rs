//! Spot instances that the cloud reclaims.

use crate::core::model::time::Time;
use crate::core::shard::Shard;

/// The time to write a checkpoint is allowed to exceed its estimate by this factor.
const CHECKPOINT_MARGIN: f64 = 1.1;

/// A stop has to be sent this long before the last moment, in seconds, beside half a heartbeat
/// interval.
const STOP_MARGIN_S: Time = 1.0;

impl Shard {
    /// Stops the tasks of machines that the cloud reclaims: as late as still leaves time for a checkpoint, but
    /// before the machine disappears, so that starting them elsewhere need not wait for a lease to expire.
    pub(crate) fn drain_reclaimed_machines(&mut self, now: Time) {
        let margin = self.config.deployment.workers.report_s * 0.5 + STOP_MARGIN_S;
        let mut stops = Vec::new();
        for machine in self.machines.values() {
            let Some(reclaimed_at) = machine.reclaimed_at else {
                continue;
            };
            for ((task, attempt), tracked) in &machine.attempts {
                let write_s = tracked.checkpoint_write_s;
                let is_due = reclaimed_at - now <= write_s * CHECKPOINT_MARGIN + margin;
                if tracked.stop.is_none() && !tracked.exited() && is_due {
                    let has_time = reclaimed_at - now > write_s;
                    let grace = if has_time { write_s } else { 0.0 };
                    stops.push((machine.id.clone(), task.clone(), *attempt, grace));
                }
            }
        }
        for (machine, task, attempt, grace) in stops {
            self.stop_attempt(&machine, &task, attempt, grace);
        }
    }
}
