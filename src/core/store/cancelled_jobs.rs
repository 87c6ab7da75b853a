//! Index of the cancelled jobs that may still have tasks on machines.
//!
//! A team's limit applies to every running task, including tasks of cancelled jobs. A new owner of a team
//! therefore counts the tasks of cancelled jobs until every machine has reported its tasks. Which jobs these can
//! be follows from the stored records alone: jobs cancelled recently, and jobs cancelled since the team was
//! acquired. Older ones have no tasks left and are not counted, however long the history is.

use crate::core::records::job_record::JobRecord;
use crate::ids::{JobId, Version};
use crate::wire::JobStatus;
use std::collections::BTreeSet;

/// From when on cancelled jobs are counted: jobs that match either bound are.
#[derive(Clone, Copy, Debug)]
pub struct CancelledSince {
    /// Cancelled at or after this wall-clock time, in milliseconds.
    pub wall_ms: u64,
    /// Recorded after this version, whatever the time.
    pub version: Version,
}

/// An index of all cancelled jobs.
#[derive(Default)]
pub struct CancelledJobs {
    by_time: BTreeSet<(u64, JobId)>,
    by_version: BTreeSet<(Version, JobId)>,
    /// Versions of records without the time of the cancellation or the team: written by a release that did not
    /// record them.
    undescribed: BTreeSet<Version>,
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
                self.undescribed.insert(version);
            }
        }
    }

    /// The jobs cancelled since then whose records hold the time and the team.
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

    /// The version of the newest record without the time or the team.
    pub fn newest_unattributed(&self) -> Option<Version> {
        self.undescribed.last().copied()
    }
}
