//! Index of the dependencies between unfinished jobs (a DAG), derived from the store's records.
//!
//! Every controller derives this index from the records that it reads; controllers do not send it to each
//! other. A job whose dependency is cancelled can never run. Every reader therefore treats it as cancelled,
//! permanently, even if its own record is never rewritten. The index holds unfinished jobs only and finds
//! dependents by key, so the cost of an update is proportional to the number of affected jobs.

use crate::core::records::job_record::JobRecord;
use crate::ids::JobId;
use crate::wire::{JobStatus, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// The priority and the due time of a job, from its own record or inherited from its dependents.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency {
    /// The highest priority of the job and the dependents that were taken into account.
    pub priority: Priority,
    /// The earliest wall-clock time at which the job is due, in milliseconds. `None` without a deadline.
    pub due_ms: Option<u64>,
}

impl Urgency {
    /// The urgency that a job's own record states. `None` if the record has no job description.
    fn of_record(record: &JobRecord) -> Option<Self> {
        let spec = record.spec.as_ref()?;
        let due_ms = spec
            .deadline_s
            .map(|due| record.accepted_ms + seconds_to_ms(due));
        Some(Self {
            priority: spec.priority,
            due_ms,
        })
    }

    /// The higher of both priorities and the earlier of both due times.
    fn max_with(self, other: Option<&Self>) -> Self {
        let Some(other) = other else { return self };
        let due_ms = [self.due_ms, other.due_ms].into_iter().flatten().min();
        Self {
            priority: self.priority.max(other.priority),
            due_ms,
        }
    }

    /// The urgency that a job of this urgency passes on to its dependencies. They are due earlier by the
    /// estimated run time of the job.
    fn for_dependencies(self, record: &JobRecord) -> Self {
        let estimate_ms = record
            .spec
            .as_ref()
            .map_or(0, |spec| seconds_to_ms(spec.estimate_s));
        Self {
            due_ms: self.due_ms.map(|due| due.saturating_sub(estimate_ms)),
            ..self
        }
    }
}

/// Converts seconds to whole milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    reason = "fractions of a millisecond are dropped; the cast saturates"
)]
fn seconds_to_ms(seconds: f64) -> u64 {
    (seconds * 1e3) as u64
}

/// The index of the dependencies between unfinished jobs.
#[derive(Default)]
pub struct Dependencies {
    /// The unfinished direct dependents of each job.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Unfinished jobs with a cancelled dependency, direct or transitive.
    dependency_cancelled: BTreeSet<JobId>,
    /// The urgency that each job inherits from its dependents. It is never lowered.
    inherited: BTreeMap<JobId, Urgency>,
    /// Number of jobs and dependencies examined so far.
    visits: u64,
}

impl Dependencies {
    /// Number of jobs and dependencies examined so far. The computing time is proportional to it.
    pub fn visits(&self) -> u64 {
        self.visits
    }

    /// Whether an unfinished job has a cancelled dependency, direct or transitive.
    pub fn has_cancelled_dependency(&self, id: &JobId) -> bool {
        self.dependency_cancelled.contains(id)
    }

    /// The urgency that a job inherits from its dependents. `None` if it has had no dependents.
    pub fn inherited_urgency(&self, id: &JobId) -> Option<&Urgency> {
        self.inherited.get(id)
    }

    /// The unfinished jobs that depend directly on this job.
    pub fn dependents(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// Applies a new record of a job. `previous` is the record that it replaces; `job` looks up the records
    /// of other jobs. Adds to `changed` the jobs that the scheduler has to evaluate again.
    pub fn apply_record<'a>(
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

    /// Removes a finished job from the index. If it was cancelled, marks its dependents.
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
            self.propagate_cancellation(dependents.iter().cloned().collect(), changed);
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

    /// Adds a newly submitted job to the index.
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
            self.propagate_cancellation(vec![id.clone()], changed);
        }
        self.raise_urgency_of_dependencies(id, record, job, changed);
    }

    /// Marks these jobs and all of their dependents as having a cancelled dependency.
    fn propagate_cancellation(&mut self, mut jobs: Vec<JobId>, changed: &mut BTreeSet<JobId>) {
        while let Some(id) = jobs.pop() {
            self.visits += 1;
            if self.dependency_cancelled.insert(id.clone()) {
                jobs.extend(self.dependents(&id).cloned());
                changed.insert(id);
            }
        }
    }

    /// Raises the inherited urgency of all dependencies of a job, direct and transitive.
    fn raise_urgency_of_dependencies<'a>(
        &mut self,
        id: &JobId,
        record: &JobRecord,
        job: impl Fn(&JobId) -> Option<&'a JobRecord>,
        changed: &mut BTreeSet<JobId>,
    ) {
        let mut to_visit = self.urgency_of_dependencies(id, record);
        while let Some((dependency, urgency)) = to_visit.pop() {
            self.visits += 1;
            let known = job(&dependency);
            if known.is_some_and(JobRecord::is_final) {
                continue;
            }
            let previous = self.inherited.get(&dependency).copied();
            let raised = urgency.max_with(previous.as_ref());
            if previous == Some(raised) {
                continue;
            }
            self.inherited.insert(dependency.clone(), raised);
            if let Some(known) = known {
                to_visit.extend(self.urgency_of_dependencies(&dependency, known));
                changed.insert(dependency);
            }
        }
    }

    /// The direct dependencies of a job, each with the urgency that the job passes on to it.
    fn urgency_of_dependencies(&self, id: &JobId, record: &JobRecord) -> Vec<(JobId, Urgency)> {
        let Some((own, spec)) = Urgency::of_record(record).zip(record.spec.as_ref()) else {
            return Vec::new();
        };
        let urgency = own
            .max_with(self.inherited.get(id))
            .for_dependencies(record);
        let dependencies = spec.dependencies.iter();
        dependencies
            .map(|dependency| (dependency.clone(), urgency))
            .collect()
    }
}

#[cfg(test)]
mod tests;
