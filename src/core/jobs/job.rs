//! An unfinished job as the leader runs it.

use crate::core::jobs::failures::JobFailures;
use crate::core::model::ranges::Ranges;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::records::job_record::JobRecord;
use crate::ids::{Attempt, MachineId, Version, Zone};
use crate::wire::{JobSpec, Kind, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// May be on a machine that has not reported to this leader yet.
    Unsettled,
    Waiting,
    /// On this machine, or perhaps on it.
    Placed(MachineId, Attempt),
    Done,
}

/// Why a task has to wait before it is tried again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Retry {
    pub failures: u32,
    pub not_before: Time,
}

pub struct Job {
    pub spec: Rc<JobSpec>,
    pub record: Rc<JobRecord>,
    pub version: Version,
    /// Its own, or the most urgent of those that need it.
    pub priority: Priority,
    /// When it could first run, on this process's clock: submitted, and all that it needs done.
    pub submitted: Time,
    /// Unfinished jobs need it.
    pub needed: bool,
    /// When it should be done for its own deadline, or for those that need it.
    pub deadline: Option<Time>,
    tasks: Vec<Task>,
    waiting: BTreeSet<u32>,
    unreconciled: u32,
    pub done: Ranges,
    pub retries: BTreeMap<u32, Retry>,
    /// Tasks that may be in each zone.
    pub zones: BTreeMap<Zone, u32>,
    pub failures: JobFailures,
    /// Since when progress is not recorded.
    pub unrecorded_since: Option<Time>,
    pub write_out: bool,
    pub write_after: Time,
    /// A transaction with others' records failed: the next write goes by itself.
    pub write_alone: bool,
    /// The state service refused a record of this size: only smaller ones are written.
    pub refused_bytes: usize,
    /// Some of its tasks have run before: what waits now was lost.
    pub began: bool,
    /// Since when rounds of placement have found no room for some of it.
    pub waits_since: Option<Time>,
    /// Opportunistic work that has waited for so long that it keeps a machine of its own until it ends.
    pub starved: bool,
}

impl Job {
    pub fn new(
        spec: Rc<JobSpec>,
        record: Rc<JobRecord>,
        version: Version,
        submitted: Time,
        reconciled: bool,
    ) -> Self {
        let fresh = if reconciled {
            Task::Waiting
        } else {
            Task::Unsettled
        };
        let done = record.done.clone();
        let tasks: Vec<Task> = (0..spec.tasks)
            .map(|index| {
                if done.contains(index) {
                    Task::Done
                } else {
                    fresh.clone()
                }
            })
            .collect();
        let open = |task: &Task| *task == Task::Waiting;
        let waiting = (0..)
            .zip(&tasks)
            .filter(|(_, t)| open(t))
            .map(|(i, _)| i)
            .collect();
        let unreconciled = tasks.iter().filter(|t| **t == Task::Unsettled).count() as u32;
        Self {
            priority: spec.priority,
            needed: false,
            deadline: None,
            spec,
            record,
            version,
            submitted,
            tasks,
            waiting,
            unreconciled,
            done,
            retries: BTreeMap::new(),
            zones: BTreeMap::new(),
            failures: JobFailures::default(),
            unrecorded_since: None,
            write_out: false,
            write_after: 0.0,
            write_alone: false,
            refused_bytes: usize::MAX,
            began: false,
            waits_since: None,
            starved: false,
        }
    }

    pub fn need(&self) -> Resources {
        Resources::of(&self.spec)
    }

    pub fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(index as usize)
    }

    /// Changes a task's state; a done task stays done. `zone`: of the machine it is on.
    pub fn set(&mut self, index: u32, task: Task, zone: Option<&Zone>) {
        let Some(snapshot) = self.tasks.get_mut(index as usize) else {
            return;
        };
        if *snapshot == Task::Done {
            return;
        }
        let before = std::mem::replace(snapshot, task);
        match before {
            Task::Waiting => {
                self.waiting.remove(&index);
            }
            Task::Unsettled => self.unreconciled -= 1,
            Task::Placed(..) | Task::Done => {}
        }
        match &self.tasks[index as usize] {
            Task::Waiting => {
                self.waiting.insert(index);
            }
            Task::Unsettled => self.unreconciled += 1,
            Task::Done => self.done.insert(index),
            Task::Placed(..) => {}
        }
        if let Some(zone) = zone {
            let in_zone = self.zones.entry(zone.clone()).or_default();
            match &self.tasks[index as usize] {
                Task::Placed(..) => *in_zone += 1,
                _ => *in_zone = in_zone.saturating_sub(1),
            }
        }
    }

    /// All machines have told what they hold: what nobody showed is nowhere.
    pub fn reconcile(&mut self) {
        if self.unreconciled > 0 {
            for index in 0..self.spec.tasks {
                if self.tasks[index as usize] == Task::Unsettled {
                    self.set(index, Task::Waiting, None);
                }
            }
        }
    }

    pub fn unreconciled(&self) -> u32 {
        self.unreconciled
    }

    pub fn waiting(&self) -> &BTreeSet<u32> {
        &self.waiting
    }

    pub fn all_done(&self) -> bool {
        self.done.len() == self.spec.tasks
    }

    pub fn is_gang(&self) -> bool {
        self.spec.kind == Kind::Gang
    }

    /// Attempts that may be running.
    pub fn attempts(&self) -> BTreeSet<Attempt> {
        let placed = |task: &Task| match task {
            Task::Placed(_, attempt) => Some(*attempt),
            _ => None,
        };
        self.tasks.iter().filter_map(placed).collect()
    }

    pub fn placed(&self) -> u32 {
        self.spec.tasks - self.done.len() - self.waiting.len() as u32 - self.unreconciled
    }

    /// Whether the zone rules allow one more task in `zone`, beside `more` not yet placed.
    pub fn zone_allows(&self, zone: &Zone, more: &BTreeMap<Zone, u32>) -> bool {
        if more.is_empty() {
            return zone_allows(&self.spec, zone, &self.zones);
        }
        let mut zones = self.zones.clone();
        for (zone, count) in more {
            *zones.entry(zone.clone()).or_default() += count;
        }
        zone_allows(&self.spec, zone, &zones)
    }
}

/// Whether the zone rules allow one more task in `zone`, given where the others may be.
pub fn zone_allows(spec: &JobSpec, zone: &Zone, zones: &BTreeMap<Zone, u32>) -> bool {
    if spec.zone.as_ref().is_some_and(|only| only != zone) {
        return false;
    }
    if spec.one_zone
        && zones
            .iter()
            .any(|(other, count)| other != zone && *count > 0)
    {
        return false;
    }
    !spec.spread || zones.get(zone).copied().unwrap_or(0) < spec.tasks.div_ceil(2)
}
