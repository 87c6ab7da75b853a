//! The urgency that jobs inherit from the jobs that depend on them.

use crate::core::model::time::MS_PER_S;
use crate::core::records::job_record::JobRecord;
use crate::core::store::dependencies::Dependencies;
use crate::ids::JobId;
use crate::wire::Priority;
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
    (seconds * MS_PER_S) as u64
}

impl Dependencies {
    /// Passes the urgency of the jobs that were submitted since the last call on to all of their
    /// dependencies, direct and transitive. `job` looks up records. Adds to `changed` the jobs that the
    /// scheduler has to evaluate again.
    ///
    /// Each job is visited after all of its dependents, and only if one of them has raised its urgency, so it
    /// is visited at most once.
    pub fn propagate_urgency<'a>(
        &mut self,
        job: impl Fn(&JobId) -> Option<&'a JobRecord>,
        changed: &mut BTreeSet<JobId>,
    ) {
        if self.submitted.is_empty() {
            return;
        }
        self.order
            .rebuild_if_stale(&self.dependents, &job, &mut self.visits);
        let mut queue = self.take_submitted_by_position();
        while let Some((_, id)) = queue.pop_last() {
            self.visits += 1;
            let Some(record) = job(&id) else { continue };
            for (dependency, urgency) in self.urgency_of_dependencies(&id, record) {
                self.visits += 1;
                let known = job(&dependency);
                let is_final = known.is_some_and(JobRecord::is_final);
                if is_final || !self.raise_inherited(&dependency, urgency) {
                    continue;
                }
                if let Some(position) = self.order.position(&dependency) {
                    queue.insert(position, dependency.clone());
                }
                if known.is_some() {
                    changed.insert(dependency);
                }
            }
        }
    }

    /// The submitted jobs that are in the topological order, by their positions.
    fn take_submitted_by_position(&mut self) -> BTreeMap<u64, JobId> {
        let submitted = std::mem::take(&mut self.submitted).into_iter();
        submitted
            .filter_map(|id| Some((self.order.position(&id)?, id)))
            .collect()
    }

    /// Raises the urgency that a job inherits. Returns whether it has changed.
    fn raise_inherited(&mut self, id: &JobId, urgency: Urgency) -> bool {
        let previous = self.inherited.get(id).copied();
        let raised = urgency.max_with(previous.as_ref());
        if previous == Some(raised) {
            return false;
        }
        self.inherited.insert(id.clone(), raised);
        true
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
