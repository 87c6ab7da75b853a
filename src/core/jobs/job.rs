//! An unfinished job, as the owner of its team runs it.

use crate::core::jobs::failures::JobFailures;
use crate::core::model::ranges::TaskIndexRanges;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::records::job_record::JobRecord;
use crate::ids::{Attempt, MachineId, Version, Zone};
use crate::wire::{JobKind, JobSpec, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The state of a task.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// May be on a machine that has not sent a heartbeat to this owner yet.
    Unreconciled,
    /// On no machine.
    Waiting,
    /// On this machine, or possibly on it.
    Placed(MachineId, Attempt),
    /// Finished; this state is final.
    Done,
}

/// Why a task has to wait before it is tried again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Retry {
    /// Failures of the task so far.
    pub failures: u32,
    /// The task is not started before this time.
    pub not_before: Time,
}

/// An unfinished job and the states of its tasks.
pub struct Job {
    /// The job's description.
    pub spec: Rc<JobSpec>,
    /// The stored record.
    pub record: Rc<JobRecord>,
    /// The version of the stored record.
    pub version: Version,
    /// Its own priority, or the highest of the jobs that depend on it.
    pub priority: Priority,
    /// When it could first run: it was submitted, and all its dependencies were done.
    pub runnable_since: Time,
    /// Unfinished jobs depend on it.
    pub has_dependents: bool,
    /// When it should be done, for its own deadline or for the jobs that depend on it.
    pub deadline: Option<Time>,
    tasks: Vec<Task>,
    waiting: BTreeSet<u32>,
    unreconciled: u32,
    /// Indexes of the tasks that are done.
    pub done: TaskIndexRanges,
    /// Tasks that failed, by their indexes.
    pub retries: BTreeMap<u32, Retry>,
    /// Number of tasks that may be in each zone.
    pub zones: BTreeMap<Zone, u32>,
    /// The machines on which its tasks failed.
    pub failures: JobFailures,
    /// Since when there has been progress that is not recorded.
    pub unrecorded_since: Option<Time>,
    /// A write of its record is pending.
    pub write_in_flight: bool,
    /// Its record is not written before this time.
    pub write_after: Time,
    /// A transaction with records of other jobs failed: its next write is a transaction of its own.
    pub write_alone: bool,
    /// The store refused a record of this many bytes: only smaller ones are written.
    pub refused_bytes: usize,
    /// Some of its tasks have run before, so waiting tasks are lost ones.
    pub has_started: bool,
    /// Since when placement has found no machine for some of its tasks.
    pub waits_since: Option<Time>,
    /// Opportunistic work that has waited so long that it keeps a machine of its own until it ends.
    pub starved: bool,
}

impl Job {
    /// A job of which nothing is known but its record. `runnable_since`: when it could first run. `reconciled`:
    /// whether all machines have reported, so that no machine can hold any of its tasks.
    pub fn new(
        spec: Rc<JobSpec>,
        record: Rc<JobRecord>,
        version: Version,
        runnable_since: Time,
        reconciled: bool,
    ) -> Self {
        let done = record.done.clone();
        let tasks = initial_tasks(spec.tasks, &done, reconciled);
        let waiting = (0..)
            .zip(&tasks)
            .filter(|(_, task)| **task == Task::Waiting)
            .map(|(index, _)| index)
            .collect();
        let unreconciled = tasks
            .iter()
            .filter(|task| **task == Task::Unreconciled)
            .count();
        Self {
            priority: spec.priority,
            has_dependents: false,
            deadline: None,
            spec,
            record,
            version,
            runnable_since,
            tasks,
            waiting,
            unreconciled: task_count(unreconciled),
            done,
            retries: BTreeMap::new(),
            zones: BTreeMap::new(),
            failures: JobFailures::default(),
            unrecorded_since: None,
            write_in_flight: false,
            write_after: 0.0,
            write_alone: false,
            refused_bytes: usize::MAX,
            has_started: false,
            waits_since: None,
            starved: false,
        }
    }

    /// The resources of each task.
    pub fn need(&self) -> Resources {
        Resources::of(&self.spec)
    }

    /// The state of a task.
    pub fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(index as usize)
    }

    /// Changes a task's state; a done task stays done. `zone`: the zone of the machine that it is placed on or
    /// removed from.
    pub fn set_task(&mut self, index: u32, task: Task, zone: Option<&Zone>) {
        let Some(state) = self.tasks.get_mut(index as usize) else {
            return;
        };
        if *state == Task::Done {
            return;
        }
        let previous = std::mem::replace(state, task);
        match previous {
            Task::Waiting => {
                self.waiting.remove(&index);
            }
            Task::Unreconciled => self.unreconciled -= 1,
            Task::Placed(..) | Task::Done => {}
        }
        match state {
            Task::Waiting => {
                self.waiting.insert(index);
            }
            Task::Unreconciled => self.unreconciled += 1,
            Task::Done => self.done.insert(index),
            Task::Placed(..) => {}
        }
        if let Some(zone) = zone {
            let in_zone = self.zones.entry(zone.clone()).or_default();
            match state {
                Task::Placed(..) => *in_zone += 1,
                _ => *in_zone = in_zone.saturating_sub(1),
            }
        }
    }

    /// All machines have reported their tasks: a task that none of them reported is on no machine.
    pub fn reconcile(&mut self) {
        if self.unreconciled == 0 {
            return;
        }
        for index in 0..self.spec.tasks {
            if self.task(index) == Some(&Task::Unreconciled) {
                self.set_task(index, Task::Waiting, None);
            }
        }
    }

    /// Number of tasks that may be on a machine that has not reported yet.
    pub fn unreconciled(&self) -> u32 {
        self.unreconciled
    }

    /// Indexes of the tasks that are on no machine.
    pub fn waiting(&self) -> &BTreeSet<u32> {
        &self.waiting
    }

    /// Whether every task is done.
    pub fn all_done(&self) -> bool {
        self.done.len() == self.spec.tasks
    }

    /// Whether its tasks are started together or not at all (gang scheduling).
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Attempts that may be running.
    pub fn attempts(&self) -> BTreeSet<Attempt> {
        let placed = |task: &Task| match task {
            Task::Placed(_, attempt) => Some(*attempt),
            _ => None,
        };
        self.tasks.iter().filter_map(placed).collect()
    }

    /// Number of tasks that are placed.
    pub fn placed(&self) -> u32 {
        self.spec.tasks - self.done.len() - task_count(self.waiting.len()) - self.unreconciled
    }

    /// Whether the zone rules allow one more task in `zone`, besides the tasks in `planned` that are not placed
    /// yet.
    pub fn zone_allows(&self, zone: &Zone, planned: &BTreeMap<Zone, u32>) -> bool {
        if planned.is_empty() {
            return zone_allows(&self.spec, zone, &self.zones);
        }
        let mut zones = self.zones.clone();
        for (zone, count) in planned {
            *zones.entry(zone.clone()).or_default() += count;
        }
        zone_allows(&self.spec, zone, &zones)
    }
}

/// The states of a job's tasks before any machine has reported one.
fn initial_tasks(count: u32, done: &TaskIndexRanges, reconciled: bool) -> Vec<Task> {
    let not_done = if reconciled {
        Task::Waiting
    } else {
        Task::Unreconciled
    };
    let state = |index| {
        if done.contains(index) {
            Task::Done
        } else {
            not_done.clone()
        }
    };
    (0..count).map(state).collect()
}

/// A number of tasks of one job. A job has at most `u32::MAX` tasks, so nothing is lost.
fn task_count(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Whether the zone rules allow one more task in `zone`, if the others may be in `zones`.
pub fn zone_allows(spec: &JobSpec, zone: &Zone, zones: &BTreeMap<Zone, u32>) -> bool {
    if spec.zone.as_ref().is_some_and(|only| only != zone) {
        return false;
    }
    let elsewhere = zones
        .iter()
        .any(|(other, count)| other != zone && *count > 0);
    if spec.one_zone && elsewhere {
        return false;
    }
    !spec.spread || zones.get(zone).copied().unwrap_or(0) < spec.tasks.div_ceil(2)
}
