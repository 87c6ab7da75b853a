//! Index of the cancelled jobs that may still have tasks on machines.
//!
//! A team's limit applies to every running task, including tasks of cancelled jobs. A new owner of a team
//! therefore counts the tasks of cancelled jobs until every machine has reported its tasks. The stored
//! records determine these jobs: they were cancelled recently, or after the team was acquired. Jobs cancelled
//! earlier have no running tasks and are not counted, so the cost does not grow with the history.

use crate::core::records::job_record::JobRecord;
use crate::ids::{JobId, Version};
use crate::wire::JobStatus;
use std::collections::BTreeSet;

/// The bounds from which cancelled jobs are counted. A job that matches either bound is counted.
#[derive(Clone, Copy, Debug)]
pub struct CancelledSince {
    /// The job was cancelled at or after this wall-clock time, in milliseconds.
    pub wall_ms: u64,
    /// The cancellation was recorded after this version, at any time.
    pub version: Version,
}

/// An index of all cancelled jobs, by the time and by the version of the cancellation.
#[derive(Default)]
pub struct CancelledJobs {
    by_time: BTreeSet<(u64, JobId)>,
    by_version: BTreeSet<(Version, JobId)>,
    /// Versions of cancellations without a time or a team. An earlier release wrote them.
    unattributed: BTreeSet<Version>,
}

impl CancelledJobs {
    /// Adds a final record to the index if it is the record of a cancelled job.
    pub fn insert(&mut self, id: &JobId, record: &JobRecord, version: Version) {
        if record.status != JobStatus::Cancelled {
            return;
        }
        match record.ended_ms.filter(|_| record.terminating.is_some()) {
            Some(ended_ms) => {
                self.by_time.insert((ended_ms, id.clone()));
                self.by_version.insert((version, id.clone()));
            }
            None => {
                self.unattributed.insert(version);
            }
        }
    }

    /// The jobs that match either bound of `since` and whose records hold the time and the team.
    pub fn since(&self, since: CancelledSince) -> BTreeSet<&JobId> {
        let lowest_id = JobId::from("");
        let by_time = self.by_time.range((since.wall_ms, lowest_id.clone())..);
        let by_version = self
            .by_version
            .range((since.version.saturating_add(1), lowest_id)..);
        by_time
            .map(|(_, id)| id)
            .chain(by_version.map(|(_, id)| id))
            .collect()
    }

    /// The version of the newest cancellation without a time or a team.
    pub fn newest_unattributed(&self) -> Option<Version> {
        self.unattributed.last().copied()
    }
}
