//! Draining of spot instances that the cloud is about to reclaim.

use crate::core::model::time::Time;
use crate::core::shard::Shard;

/// Factor by which writing a checkpoint may exceed its estimated time.
const CHECKPOINT_MARGIN: f64 = 1.1;

/// Seconds by which a stop is sent before the latest possible time, in addition to half a heartbeat interval.
const STOP_MARGIN_S: Time = 1.0;

impl Shard {
    /// Stops the tasks on machines that the cloud is about to reclaim. Each task is stopped as late as the
    /// time for its checkpoint allows. If it were still running when the machine disappears, its restart
    /// elsewhere would have to wait for a lease to expire.
    pub(crate) fn drain_reclaimed_machines(&mut self, now: Time) {
        let margin_s = self.config.deployment.workers.report_s * 0.5 + STOP_MARGIN_S;
        let mut stops = Vec::new();
        for machine in self.machines.values() {
            let Some(reclaimed_at) = machine.reclaimed_at else {
                continue;
            };
            for ((task, attempt), tracked) in &machine.attempts {
                let write_s = tracked.checkpoint_write_s;
                let is_due = reclaimed_at - now <= write_s * CHECKPOINT_MARGIN + margin_s;
                if tracked.stop.is_none() && !tracked.exited() && is_due {
                    let has_time = reclaimed_at - now > write_s;
                    let grace_s = if has_time { write_s } else { 0.0 };
                    stops.push((machine.id.clone(), task.clone(), *attempt, grace_s));
                }
            }
        }
        for (machine, task, attempt, grace_s) in stops {
            self.stop_attempt(&machine, &task, attempt, grace_s);
        }
    }
}
