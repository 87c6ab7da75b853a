//! Jobs that need others to be done first, as a copy of the store's records shows them.
//!
//! What follows from a record is derived from it by whoever reads it, never told: a job whose
//! dependency is cancelled can never run, so it is cancelled too from that moment on, for every
//! reader and for good, even if nobody gets to write that down. Work is in proportion to what
//! changed: jobs are found by what they need, and only unfinished ones are kept.

use crate::core::records::job_record::JobRecord;
use crate::ids::JobId;
use crate::wire::{JobStatus, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// How urgent a job is, by itself and for those that need it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency {
    pub priority: Priority,
    /// By when it should be done, by the time of day.
    pub due_ms: Option<u64>,
}

impl Urgency {
    fn of(record: &JobRecord) -> Option<Self> {
        let spec = record.spec.as_ref()?;
        let due_ms = spec
            .deadline_s
            .map(|due| record.accepted_ms + (due * 1e3) as u64);
        Some(Self {
            priority: spec.priority,
            due_ms,
        })
    }

    fn most(self, other: Option<&Self>) -> Self {
        let Some(other) = other else { return self };
        let due_ms = [self.due_ms, other.due_ms].into_iter().flatten().min();
        Self {
            priority: self.priority.max(other.priority),
            due_ms,
        }
    }

    /// What it asks of those before a job: to be done in time for the job itself.
    fn before(self, record: &JobRecord) -> Self {
        let estimate = record
            .spec
            .as_ref()
            .map_or(0, |spec| (spec.estimate_s * 1e3) as u64);
        Self {
            due_ms: self.due_ms.map(|due| due.saturating_sub(estimate)),
            ..self
        }
    }
}

#[derive(Default)]
pub struct Dependencies {
    /// Unfinished jobs by what they need.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Unfinished jobs that need a cancelled one, directly or through others.
    dependency_cancelled: BTreeSet<JobId>,
    /// What those that need a job ask of it. Nothing lowers it.
    inherited: BTreeMap<JobId, Urgency>,
}

impl Dependencies {
    pub fn dependency_cancelled(&self, id: &JobId) -> bool {
        self.dependency_cancelled.contains(id)
    }

    pub fn inherited(&self, id: &JobId) -> Option<&Urgency> {
        self.inherited.get(id)
    }

    /// Unfinished jobs that need this one directly.
    pub fn dependents(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// Takes up a record that is new. Jobs that have to be looked at again go to `changed`.
    pub fn take<'a>(
        &mut self,
        id: &JobId,
        before: Option<&JobRecord>,
        record: &JobRecord,
        job: impl Fn(&JobId) -> Option<&'a JobRecord>,
        changed: &mut BTreeSet<JobId>,
    ) {
        if record.is_final() {
            for needed in before
                .and_then(|b| b.spec.as_ref())
                .iter()
                .flat_map(|s| &s.dependencies)
            {
                if let Some(others) = self.dependents.get_mut(needed) {
                    others.remove(id);
                    if others.is_empty() {
                        self.dependents.remove(needed);
                    }
                }
            }
            self.dependency_cancelled.remove(id);
            self.inherited.remove(id);
            let dependents = self.dependents.remove(id).unwrap_or_default();
            if record.status == JobStatus::Cancelled {
                self.spread_cancellation(dependents.iter().cloned().collect(), changed);
            }
            return changed.extend(dependents);
        }
        let Some(spec) = record.spec.as_ref().filter(|_| before.is_none()) else {
            return;
        };
        let mut dependency_cancelled = false;
        for needed in &spec.dependencies {
            // A full read shows jobs in the order of their ids, perhaps before those they need.
            let needs = job(needed);
            dependency_cancelled |= needs.is_some_and(|needs| needs.status == JobStatus::Cancelled);
            dependency_cancelled |= self.dependency_cancelled.contains(needed);
            if !needs.is_some_and(JobRecord::is_final) {
                self.dependents
                    .entry(needed.clone())
                    .or_default()
                    .insert(id.clone());
            }
        }
        if dependency_cancelled {
            self.spread_cancellation(vec![id.clone()], changed);
        }
        self.raise(id, record, job, changed);
    }

    fn spread_cancellation(&mut self, mut jobs: Vec<JobId>, changed: &mut BTreeSet<JobId>) {
        while let Some(id) = jobs.pop() {
            if self.dependency_cancelled.insert(id.clone()) {
                jobs.extend(self.dependents.get(&id).into_iter().flatten().cloned());
                changed.insert(id);
            }
        }
    }

    /// What a job needs becomes as urgent as the job.
    fn raise<'a>(
        &mut self,
        id: &JobId,
        record: &JobRecord,
        job: impl Fn(&JobId) -> Option<&'a JobRecord>,
        changed: &mut BTreeSet<JobId>,
    ) {
        let mut asking: Vec<(JobId, Urgency)> = Vec::new();
        let ask = |asking: &mut Vec<(JobId, Urgency)>, this: &Self, id: &JobId, of: &JobRecord| {
            let Some((own, spec)) = Urgency::of(of).zip(of.spec.as_ref()) else {
                return;
            };
            let urgency = own.most(this.inherited.get(id)).before(of);
            asking.extend(
                spec.dependencies
                    .iter()
                    .map(|needed| (needed.clone(), urgency)),
            );
        };
        ask(&mut asking, self, id, record);
        while let Some((needed, urgency)) = asking.pop() {
            let known = job(&needed);
            if known.is_some_and(JobRecord::is_final) {
                continue;
            }
            let before = self.inherited.get(&needed).copied();
            let raised = urgency.most(before.as_ref());
            if before != Some(raised) {
                self.inherited.insert(needed.clone(), raised);
                if let Some(known) = known {
                    ask(&mut asking, self, &needed, known);
                    changed.insert(needed);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
