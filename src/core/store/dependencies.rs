//! Index of the dependencies between unfinished jobs (a DAG), derived from the store's records.
//!
//! Every controller derives the consequences of a record by itself; they are not sent between controllers. A job
//! whose dependency is cancelled can never run, so every reader treats it as cancelled from that moment on,
//! permanently, even if its own record is never rewritten. The work is proportional to what changed: jobs are
//! found by their dependencies, and only unfinished jobs are kept.

use crate::core::records::job_record::JobRecord;
use crate::ids::JobId;
use crate::wire::{JobStatus, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// How urgent a job is, by itself and for the jobs that depend on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency {
    /// The highest priority.
    pub priority: Priority,
    /// The earliest wall-clock time by which the job should be done, in milliseconds.
    pub due_ms: Option<u64>,
}

impl Urgency {
    /// The urgency of a job by itself; `None` if its record has no description.
    fn of(record: &JobRecord) -> Option<Self> {
        let spec = record.spec.as_ref()?;
        let due_ms = spec
            .deadline_s
            .map(|due| record.accepted_ms + whole_ms(due));
        Some(Self {
            priority: spec.priority,
            due_ms,
        })
    }

    /// The higher priority and the earlier time of both.
    fn most_urgent(self, other: Option<&Self>) -> Self {
        let Some(other) = other else { return self };
        let due_ms = [self.due_ms, other.due_ms].into_iter().flatten().min();
        Self {
            priority: self.priority.max(other.priority),
            due_ms,
        }
    }

    /// The urgency that a job of this urgency gives its dependencies: done early enough for the job itself.
    fn for_dependencies(self, record: &JobRecord) -> Self {
        let estimate_ms = record
            .spec
            .as_ref()
            .map_or(0, |spec| whole_ms(spec.estimate_s));
        Self {
            due_ms: self.due_ms.map(|due| due.saturating_sub(estimate_ms)),
            ..self
        }
    }
}

/// Seconds in whole milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    reason = "fractions of a millisecond are dropped; the cast saturates"
)]
fn whole_ms(seconds: f64) -> u64 {
    (seconds * 1e3) as u64
}

/// The dependencies of unfinished jobs.
#[derive(Default)]
pub struct Dependencies {
    /// Unfinished jobs by the jobs they depend on directly.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Unfinished jobs that depend on a cancelled one, directly or transitively.
    dependency_cancelled: BTreeSet<JobId>,
    /// The urgency that jobs inherit from their dependents. It never falls.
    inherited: BTreeMap<JobId, Urgency>,
}

impl Dependencies {
    /// Whether an unfinished job depends on a cancelled one, directly or transitively.
    pub fn has_cancelled_dependency(&self, id: &JobId) -> bool {
        self.dependency_cancelled.contains(id)
    }

    /// The urgency that a job inherits from its dependents.
    pub fn inherited_urgency(&self, id: &JobId) -> Option<&Urgency> {
        self.inherited.get(id)
    }

    /// Unfinished jobs that depend on this one directly.
    pub fn dependents(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// Applies a new record of a job. `previous` is its former record; `job` looks up the records of other jobs.
    /// Jobs that have to be evaluated again are added to `changed`.
    pub fn apply<'a>(
        &mut self,
        id: &JobId,
        previous: Option<&JobRecord>,
        record: &JobRecord,
        job: impl Fn(&JobId) -> Option<&'a JobRecord>,
        changed: &mut BTreeSet<JobId>,
    ) {
        if record.is_final() {
            self.apply_final(id, previous, record, changed);
        } else if previous.is_none() {
            self.apply_submitted(id, record, job, changed);
        }
    }

    /// Removes a finished job from the index, and spreads its cancellation if it was cancelled.
    fn apply_final(
        &mut self,
        id: &JobId,
        previous: Option<&JobRecord>,
        record: &JobRecord,
        changed: &mut BTreeSet<JobId>,
    ) {
        let spec = previous.and_then(|previous| previous.spec.as_ref());
        for dependency in spec.iter().flat_map(|spec| &spec.dependencies) {
            self.remove_dependent(dependency, id);
        }
        self.dependency_cancelled.remove(id);
        self.inherited.remove(id);
        let dependents = self.dependents.remove(id).unwrap_or_default();
        if record.status == JobStatus::Cancelled {
            self.spread_cancellation(dependents.iter().cloned().collect(), changed);
        }
        changed.extend(dependents);
    }

    fn remove_dependent(&mut self, dependency: &JobId, dependent: &JobId) {
        let Some(dependents) = self.dependents.get_mut(dependency) else {
            return;
        };
        dependents.remove(dependent);
        if dependents.is_empty() {
            self.dependents.remove(dependency);
        }
    }

    /// Adds a job that was not known before.
    fn apply_submitted<'a>(
        &mut self,
        id: &JobId,
        record: &JobRecord,
        job: impl Fn(&JobId) -> Option<&'a JobRecord>,
        changed: &mut BTreeSet<JobId>,
    ) {
        let Some(spec) = record.spec.as_ref() else {
            return;
        };
        let mut cancelled = false;
        for dependency in &spec.dependencies {
            // A full read lists jobs in the order of their ids, possibly before their dependencies.
            let known = job(dependency);
            cancelled |= known.is_some_and(|known| known.status == JobStatus::Cancelled);
            cancelled |= self.dependency_cancelled.contains(dependency);
            if !known.is_some_and(JobRecord::is_final) {
                self.dependents
                    .entry(dependency.clone())
                    .or_default()
                    .insert(id.clone());
            }
        }
        if cancelled {
            self.spread_cancellation(vec![id.clone()], changed);
        }
        self.raise_dependencies(id, record, job, changed);
    }

    /// Marks jobs, and all that depend on them, as having a cancelled dependency.
    fn spread_cancellation(&mut self, mut jobs: Vec<JobId>, changed: &mut BTreeSet<JobId>) {
        while let Some(id) = jobs.pop() {
            if self.dependency_cancelled.insert(id.clone()) {
                jobs.extend(self.dependents(&id).cloned());
                changed.insert(id);
            }
        }
    }

    /// Raises the inherited urgency of all direct and transitive dependencies of a job.
    fn raise_dependencies<'a>(
        &mut self,
        id: &JobId,
        record: &JobRecord,
        job: impl Fn(&JobId) -> Option<&'a JobRecord>,
        changed: &mut BTreeSet<JobId>,
    ) {
        let mut open = self.urgency_of_dependencies(id, record);
        while let Some((dependency, urgency)) = open.pop() {
            let known = job(&dependency);
            if known.is_some_and(JobRecord::is_final) {
                continue;
            }
            let previous = self.inherited.get(&dependency).copied();
            let raised = urgency.most_urgent(previous.as_ref());
            if previous == Some(raised) {
                continue;
            }
            self.inherited.insert(dependency.clone(), raised);
            if let Some(known) = known {
                open.extend(self.urgency_of_dependencies(&dependency, known));
                changed.insert(dependency);
            }
        }
    }

    /// The urgency that a job gives to each of its direct dependencies.
    fn urgency_of_dependencies(&self, id: &JobId, record: &JobRecord) -> Vec<(JobId, Urgency)> {
        let Some((own, spec)) = Urgency::of(record).zip(record.spec.as_ref()) else {
            return Vec::new();
        };
        let urgency = own
            .most_urgent(self.inherited.get(id))
            .for_dependencies(record);
        let dependencies = spec.dependencies.iter();
        dependencies
            .map(|dependency| (dependency.clone(), urgency))
            .collect()
    }
}

#[cfg(test)]
mod tests;
