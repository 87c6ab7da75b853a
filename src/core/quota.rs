//! Teams' guarantees and limits, against everything that may be on a machine.

use super::cancelled::Since;
use super::owner::Owner;
use super::view::View;
use crate::config::TeamLimits;
use crate::ids::{JobId, Team};
use std::collections::{BTreeMap, BTreeSet};

const EPSILON: f64 = 1e-6;
/// Times `cancel_s` after which nothing can be left of a cancelled job: once for its tasks to go, and
/// once more for clocks that differ and for transactions that are carried out late.
const CANCELLED_COUNTS: f64 = 2.0;

/// What each team may be using at this moment.
#[derive(Debug, Default)]
pub struct Usage {
    used: BTreeMap<Team, (f64, f64)>,
    /// Of these it is not known what they use: those with limits start nothing.
    closed: BTreeSet<Team>,
}

impl Usage {
    pub fn add(&mut self, team: &Team, cpus: f64, gpus: f64) {
        let used = self.used.entry(team.clone()).or_default();
        used.0 += cpus;
        used.1 += gpus;
    }

    pub fn close(&mut self, team: &Team) {
        self.closed.insert(team.clone());
    }

    #[cfg(test)]
    pub fn gpus(&self, team: &Team) -> f64 {
        self.of(team).1
    }

    fn of(&self, team: &Team) -> (f64, f64) {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Whether the team may use this much more without passing its limit.
    pub fn allows(&self, limits: &TeamLimits, cpus: f64, gpus: f64) -> bool {
        let used = self.of(&limits.name);
        let limited = limits.cpus_max > 0.0 || limits.gpus_max > 0.0;
        !(limited && self.closed.contains(&limits.name))
            && within(used.0 + cpus, limits.cpus_max)
            && within(used.1 + gpus, limits.gpus_max)
    }

    /// Whether the team, with this much more, stays inside what it is guaranteed.
    pub fn guaranteed(&self, limits: &TeamLimits, cpus: f64, gpus: f64) -> bool {
        let used = self.of(&limits.name);
        let inside = |used: f64, guarantee: f64| guarantee > 0.0 && used <= guarantee + EPSILON;
        let named = limits.cpus > 0.0 || limits.gpus > 0.0;
        named
            && (limits.cpus == 0.0 || inside(used.0 + cpus, limits.cpus))
            && (limits.gpus == 0.0 || inside(used.1 + gpus, limits.gpus))
    }
}

impl Owner {
    /// Everything of our teams that may be on a machine, and what may be on machines not heard.
    pub(super) fn usage(&self, view: &View, wall_ms: u64) -> Usage {
        let mut usage = Usage::default();
        self.add_held(&mut usage);
        self.add_unsettled(&mut usage);
        self.add_cancelled(view, wall_ms, &mut usage);
        usage
    }

    fn add_held(&self, usage: &mut Usage) {
        // Whether there is a task that is over, of a record that doesn't say whose it was.
        let mut stray = false;
        let tracked = self.machines.values().flat_map(|machine| machine.attempts.values());
        for tracked in tracked.filter(|tracked| !tracked.exited()) {
            match (&tracked.room, &tracked.team) {
                (Some(room), Some(team)) => usage.add(team, room.cpus, room.gpus),
                (_, None) => stray |= tracked.forget,
                (None, Some(_)) => {}
            }
        }
        if stray {
            self.teams.keys().for_each(|name| usage.close(name));
        }
    }

    fn add_unsettled(&self, usage: &mut Usage) {
        for job in self.jobs.values().filter(|job| job.unsettled() > 0) {
            let tasks = f64::from(job.unsettled());
            usage.add(&job.spec.team, job.spec.cpus * tasks, job.spec.gpus * tasks);
        }
    }

    /// Cancelled jobs' tasks run on where a stop has not arrived, and a team's new owner has to
    /// count them too until every machine has told what it holds.
    fn add_cancelled(&self, view: &View, wall_ms: u64, usage: &mut Usage) {
        let unsettled: Vec<_> =
            self.teams.iter().filter(|(_, team)| !team.unsettled.is_empty()).collect();
        if unsettled.is_empty() {
            return;
        }
        let tracked = self.tracked_of_cancelled();
        let recent_ms = self.config.deployment.workers.cancel_s * CANCELLED_COUNTS * 1e3;
        let recent = wall_ms.saturating_sub(recent_ms as u64);
        for (name, team) in unsettled {
            let since = Since { wall_ms: recent, version: team.gained };
            if view.undescribed_cancellation_since(since) {
                usage.close(name);
            }
            for (id, leaving) in view.cancelled_since(since).filter(|(_, l)| l.team == *name) {
                let known = tracked.get(id).map_or(0, BTreeSet::len) as u32;
                let tasks = f64::from(leaving.tasks.saturating_sub(known));
                usage.add(name, leaving.need.cpus * tasks, leaving.need.gpus * tasks);
            }
        }
    }

    /// The tasks of cancelled jobs that are counted where they are.
    fn tracked_of_cancelled(&self) -> BTreeMap<&JobId, BTreeSet<u32>> {
        let mut tasks: BTreeMap<&JobId, BTreeSet<u32>> = BTreeMap::new();
        let on_machines = self.machines.values().flat_map(|machine| &machine.attempts);
        for ((task, _), tracked) in on_machines {
            if tracked.forget && !tracked.exited() && tracked.room.is_some() {
                tasks.entry(&task.job).or_default().insert(task.index);
            }
        }
        tasks
    }
}

/// 0 means no limit.
pub fn within(used: f64, limit: f64) -> bool {
    limit == 0.0 || used <= limit + EPSILON
}

#[cfg(test)]
mod tests;
