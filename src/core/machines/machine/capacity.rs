//! Free and used resources of a machine.

use super::{Machine, TrackedAttempt};
use crate::core::machines::starts_in_flight::AttemptKey;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::wire::Priority;

impl Machine {
    /// Returns the resources that are free now.
    pub fn free(&self) -> Resources {
        self.unused_by(|_| true)
    }

    /// Returns the resources that are free once every attempt with a requested stop has ended.
    pub fn free_after_stops(&self) -> Resources {
        self.unused_by(|tracked| tracked.stop.is_none())
    }

    /// Returns the resources that are free once every attempt with a requested stop has ended and all
    /// opportunistic work has been preempted.
    pub fn free_for_other_work(&self) -> Resources {
        self.unused_by(|tracked| tracked.stop.is_none() && !tracked.opportunistic)
    }

    /// Returns the total resources minus those of the attempts that satisfy `is_counted`. If the resources
    /// of a counted attempt are unknown, nothing counts as free.
    fn unused_by(&self, is_counted: impl Fn(&TrackedAttempt) -> bool) -> Resources {
        let mut free = self.total;
        let counted = self
            .attempts
            .values()
            .filter(|tracked| !tracked.exited() && is_counted(tracked));
        for tracked in counted {
            match &tracked.resources {
                Some(used) => free = free.minus(used),
                None => return Resources::default(),
            }
        }
        free
    }

    /// Returns the resources of attempts that have neither ended nor been requested to stop, by priority.
    pub fn running_by_priority(&self) -> [Resources; Priority::COUNT] {
        let mut running = [Resources::default(); Priority::COUNT];
        let continuing = self
            .attempts
            .values()
            .filter(|tracked| !tracked.exited() && tracked.stop.is_none());
        for tracked in continuing {
            if let Some(used) = &tracked.resources
                && let Some(sum) = running.get_mut(tracked.priority as usize)
            {
                *sum = sum.plus(used);
            }
        }
        running
    }

    /// Returns the number of GPUs that are free or used by work of normal or low priority.
    pub fn gpus_without_urgent_work(&self) -> f64 {
        let is_urgent =
            |tracked: &&TrackedAttempt| !tracked.exited() && tracked.priority > Priority::Normal;
        let urgent_attempts = self.attempts.values().filter(is_urgent);
        self.total.gpus
            - urgent_attempts
                .filter_map(|tracked| tracked.resources)
                .map(|used| used.gpus)
                .sum::<f64>()
    }

    /// Returns whether every attempt on the machine has ended.
    pub fn idle(&self) -> bool {
        self.attempts.values().all(TrackedAttempt::exited)
    }

    /// Updates `idle_since` when an attempt has ended or is dropped. The machine is idle from `now` on if all
    /// other attempts have ended or are opportunistic. The end of an opportunistic attempt changes nothing.
    pub fn update_idle_since(&mut self, key: &AttemptKey, now: Time) {
        if self
            .attempts
            .get(key)
            .is_none_or(|attempt| attempt.opportunistic)
        {
            return;
        }
        let mut others = self.attempts.iter().filter(|(other, _)| *other != key);
        if others.all(|(_, other)| other.exited() || other.opportunistic) {
            self.idle_since = now;
        }
    }
}
