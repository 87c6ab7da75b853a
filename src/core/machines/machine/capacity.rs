//! Resources of a machine that are free or in use.

use super::{Machine, TrackedAttempt};
use crate::core::machines::starts_in_flight::AttemptKey;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::wire::Priority;

impl Machine {
    /// Resources that are free now.
    pub fn free(&self) -> Resources {
        self.free_beside(|_| true)
    }

    /// Resources that are free once every attempt with a requested stop has ended.
    pub fn free_after_stops(&self) -> Resources {
        self.free_beside(|tracked| tracked.stop.is_none())
    }

    /// Resources that are free once opportunistic work has been preempted as well.
    pub fn free_for_other_work(&self) -> Resources {
        self.free_beside(|tracked| tracked.stop.is_none() && !tracked.opportunistic)
    }

    /// Resources left by the attempts that count; none if what one of them uses is unknown.
    fn free_beside(&self, counts: impl Fn(&TrackedAttempt) -> bool) -> Resources {
        let mut free = self.total;
        let counted = self
            .attempts
            .values()
            .filter(|tracked| !tracked.exited() && counts(tracked));
        for tracked in counted {
            match &tracked.resources {
                Some(used) => free = free.minus(used),
                None => return Resources::default(),
            }
        }
        free
    }

    /// Resources used by attempts that are to go on, by priority.
    pub fn running_by_priority(&self) -> [Resources; Priority::COUNT] {
        let mut running = [Resources::default(); Priority::COUNT];
        let going_on = self
            .attempts
            .values()
            .filter(|tracked| !tracked.exited() && tracked.stop.is_none());
        for tracked in going_on {
            if let Some(used) = &tracked.resources
                && let Some(sum) = running.get_mut(tracked.priority as usize)
            {
                *sum = sum.plus(used);
            }
        }
        running
    }

    /// GPUs that are free or used by work of normal and low priority.
    pub fn gpus_without_urgent_work(&self) -> f64 {
        let urgent =
            |tracked: &&TrackedAttempt| !tracked.exited() && tracked.priority > Priority::Normal;
        let taken = self.attempts.values().filter(urgent);
        self.total.gpus
            - taken
                .filter_map(|tracked| tracked.resources)
                .map(|used| used.gpus)
                .sum::<f64>()
    }

    /// Whether no attempt is on the machine.
    pub fn idle(&self) -> bool {
        self.attempts.values().all(TrackedAttempt::exited)
    }

    /// An attempt has ended or is dropped. If it was the last one that is not opportunistic, the
    /// machine is idle from now on.
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
