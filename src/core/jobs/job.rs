//! The state of an unfinished job in the process that owns its team.

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
    /// The task may be on a machine that has not yet sent a heartbeat to this owner.
    Unreconciled,
    /// The task is on no machine.
    Waiting,
    /// This attempt of the task is, or may be, on this machine.
    Placed(MachineId, Attempt),
    /// The task has finished. This state never changes.
    Done,
}

/// The retry state of a task that has failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Retry {
    /// Number of failures of the task so far.
    pub failures: u32,
    /// Time before which the task is not started again.
    pub not_before: Time,
}

/// An unfinished job, the states of its tasks and the state of the writes of its record.
pub struct Job {
    /// The specification that the user submitted.
    pub spec: Rc<JobSpec>,
    /// The job's record as last read from the store.
    pub record: Rc<JobRecord>,
    /// The version of that record, which is the precondition of the next write.
    pub version: Version,
    /// The highest of its own priority and the priorities of the jobs that depend on it.
    pub priority: Priority,
    /// When it became able to run: it had been accepted, and all its dependencies were done.
    pub runnable_since: Time,
    /// Whether unfinished jobs depend on it.
    pub has_dependents: bool,
    /// The earlier of its own deadline and the deadline that the jobs depending on it impose; `None` without
    /// either.
    pub deadline: Option<Time>,
    /// The states of its tasks, by index.
    tasks: Vec<Task>,
    /// Indexes of the tasks in state [`Task::Waiting`].
    waiting: BTreeSet<u32>,
    /// Number of tasks in state [`Task::Unreconciled`].
    unreconciled: u32,
    /// Indexes of the tasks that are done.
    pub done: TaskIndexRanges,
    /// The retry states of tasks that have failed, by task index.
    pub retries: BTreeMap<u32, Retry>,
    /// Number of its tasks that are placed on machines of each zone.
    pub zones: BTreeMap<Zone, u32>,
    /// Failures of its tasks and the machines on which they failed.
    pub failures: JobFailures,
    /// Since when it has had progress that is not recorded in the store; `None` if there is none.
    pub unrecorded_since: Option<Time>,
    /// Whether a write of its record is in flight.
    pub write_in_flight: bool,
    /// Time before which its record is not written, after a failed write.
    pub write_after: Time,
    /// Whether its next write is a transaction of its own, because a transaction with records of other jobs
    /// failed.
    pub write_alone: bool,
    /// Size in bytes of the smallest record that the store has rejected; `usize::MAX` if there is none. Only
    /// smaller records are written.
    pub smallest_rejected_bytes: usize,
    /// Whether some of its tasks have run. Waiting tasks may then include lost ones, which have to be
    /// restarted.
    pub has_started: bool,
    /// Since when placement has found no machine for some of its tasks; `None` if there are no such tasks.
    pub unplaced_since: Option<Time>,
    /// Whether it is an opportunistic job that has waited so long that it keeps a machine of its own until it
    /// ends.
    pub starved: bool,
}

impl Job {
    /// Creates a job of which only the stored record is known. `runnable_since` is the time since which it
    /// has been able to run. If `reconciled`, no machine can hold any of its tasks, and those that are not
    /// done are waiting.
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
            smallest_rejected_bytes: usize::MAX,
            has_started: false,
            unplaced_since: None,
            starved: false,
        }
    }

    /// Returns the resources that each of its tasks uses.
    pub fn need(&self) -> Resources {
        Resources::of(&self.spec)
    }

    /// Returns the state of a task; `None` if the job has no task with this index.
    pub fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(index as usize)
    }

    /// Changes the state of a task; a done task stays done. `zone` is the zone of the machine on which the
    /// task is placed or from which it is removed.
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

    /// Marks the remaining unreconciled tasks as waiting after all machines have reported: a task that no
    /// machine has reported is on no machine.
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

    /// Returns the number of tasks that may be on a machine that has not reported yet.
    pub fn unreconciled_count(&self) -> u32 {
        self.unreconciled
    }

    /// Returns the indexes of the tasks that are on no machine.
    pub fn waiting(&self) -> &BTreeSet<u32> {
        &self.waiting
    }

    /// Returns whether every task is done.
    pub fn all_done(&self) -> bool {
        self.done.len() == self.spec.tasks
    }

    /// Returns whether its tasks are started all together or not at all (gang scheduling).
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Returns the attempt numbers of the placed tasks.
    pub fn attempts(&self) -> BTreeSet<Attempt> {
        let placed = |task: &Task| match task {
            Task::Placed(_, attempt) => Some(*attempt),
            _ => None,
        };
        self.tasks.iter().filter_map(placed).collect()
    }

    /// Returns the number of tasks in state [`Task::Placed`].
    pub fn placed_count(&self) -> u32 {
        self.spec.tasks - self.done.len() - task_count(self.waiting.len()) - self.unreconciled
    }

    /// Returns whether the zone rules of the job allow one more task in `zone`. `planned` counts, by zone,
    /// further tasks that are chosen but not placed yet.
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

/// Returns the states of a job's tasks before any machine has reported one of them.
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

/// Converts a number of tasks of one job. A job has at most `u32::MAX` tasks, so the conversion is exact.
fn task_count(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Returns whether the zone rules of a job allow one more task in `zone`, given the number of its tasks that
/// may be in each zone.
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
