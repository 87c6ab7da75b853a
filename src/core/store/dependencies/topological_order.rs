//! A topological order of the unfinished jobs that depend on others.

use crate::core::records::job_record::JobRecord;
use crate::ids::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// Positions of jobs, such that each job comes after all jobs that it depends on. Jobs are usually read in
/// such an order and are then appended. A full read lists them in the order of their ids, after which the
/// order has to be rebuilt once.
#[derive(Default)]
pub struct TopologicalOrder {
    /// The position of each unfinished job with dependencies.
    positions: BTreeMap<JobId, u64>,
    /// The position of the next job that is appended.
    next_position: u64,
    /// Whether a job was appended after one of its dependents.
    is_stale: bool,
}

impl TopologicalOrder {
    /// Appends a job with dependencies. `has_dependents` says whether a job that depends on it is known.
    pub fn append(&mut self, id: JobId, has_dependents: bool) {
        self.positions.insert(id, self.next_position);
        self.next_position += 1;
        self.is_stale |= has_dependents;
    }

    /// Removes a finished job.
    pub fn remove(&mut self, id: &JobId) {
        self.positions.remove(id);
    }

    /// The position of a job. `None` if it has no dependencies or is not in the order.
    pub fn position(&self, id: &JobId) -> Option<u64> {
        self.positions.get(id).copied()
    }

    /// Rebuilds the order if a job was appended after one of its dependents, by Kahn's algorithm from the
    /// jobs without dependents. Leaves out jobs that depend on each other, and those that they depend on.
    /// Counts examined jobs and dependencies in `visits`.
    pub fn rebuild_if_stale<'a>(
        &mut self,
        dependents: &BTreeMap<JobId, BTreeSet<JobId>>,
        job: impl Fn(&JobId) -> Option<&'a JobRecord>,
        visits: &mut u64,
    ) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        let jobs = std::mem::take(&mut self.positions).into_keys();
        let (without_dependents, others): (Vec<JobId>, Vec<JobId>) =
            jobs.partition(|id| !dependents.contains_key(id));
        let mut unordered_dependents: BTreeMap<&JobId, usize> = others
            .iter()
            .map(|id| (id, dependents.get(id).map_or(0, BTreeSet::len)))
            .collect();
        let mut ready: Vec<&JobId> = without_dependents.iter().collect();
        let mut last_to_first = Vec::new();
        while let Some(id) = ready.pop() {
            *visits += 1;
            last_to_first.push(id.clone());
            for dependency in distinct_dependencies(job(id)) {
                *visits += 1;
                let Some(count) = unordered_dependents.get_mut(dependency) else {
                    continue;
                };
                *count -= 1;
                if *count == 0 {
                    ready.push(dependency);
                }
            }
        }
        self.positions = last_to_first.into_iter().rev().zip(0..).collect();
        self.next_position = self.positions.len() as u64;
    }
}

/// The dependencies that a record names, each once.
fn distinct_dependencies(record: Option<&JobRecord>) -> BTreeSet<&JobId> {
    let spec = record.and_then(|record| record.spec.as_ref());
    spec.iter().flat_map(|spec| &spec.dependencies).collect()
}
