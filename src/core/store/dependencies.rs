//! Index of the dependencies between unfinished jobs (a DAG), derived from the store's records.
//!
//! Every controller derives this index from the records that it reads; controllers do not send it to each
//! other. A job whose dependency is cancelled can never run. Every reader therefore treats it as cancelled,
//! permanently, even if its own record is never rewritten. The index holds unfinished jobs only and finds
//! dependents by key, so the cost of an update is proportional to the number of affected jobs.

mod topological_order;
mod urgency;

pub use urgency::Urgency;

use crate::core::records::job_record::JobRecord;
use crate::ids::JobId;
use crate::wire::JobStatus;
use std::collections::{BTreeMap, BTreeSet};
use topological_order::TopologicalOrder;

/// The index of the dependencies between unfinished jobs.
#[derive(Default)]
pub struct Dependencies {
    /// The unfinished direct dependents of each job.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Unfinished jobs with a cancelled dependency, direct or transitive.
    dependency_cancelled: BTreeSet<JobId>,
    /// The urgency that each job inherits from its dependents. It is never lowered.
    inherited: BTreeMap<JobId, Urgency>,
    /// The order in which urgency is passed on.
    order: TopologicalOrder,
    /// Jobs with dependencies whose urgency was not passed on yet.
    submitted: Vec<JobId>,
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
    /// of other jobs. Adds to `changed` the jobs that the scheduler has to evaluate again. The urgency of a
    /// submitted job is passed on by the next [`Dependencies::propagate_urgency`].
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
        self.order.remove(id);
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
        if !spec.dependencies.is_empty() {
            self.order
                .append(id.clone(), self.dependents.contains_key(id));
            self.submitted.push(id.clone());
        }
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
}

#[cfg(test)]
mod tests;
