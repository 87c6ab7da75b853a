//! Which cancelled jobs may still have tasks on machines.
//!
//! A team's limit holds for what runs, wanted or not, so a team's new owner counts the tasks of
//! cancelled jobs until every machine has told what it holds. What may be left is derived from the
//! stored records alone: those cancelled a short while ago, and those cancelled since the team was
//! gained. Older ones have no tasks left and count for nothing, however long the history is.

use crate::core::records::job_record::JobRecord;
use crate::ids::{JobId, Version};
use crate::wire::JobStatus;
use std::collections::BTreeSet;

/// From when on cancelled jobs count.
#[derive(Clone, Copy, Debug)]
pub struct CancelledSince {
    /// Cancelled after this moment, by the time of day.
    pub wall_ms: u64,
    /// Recorded after this version, whatever the time.
    pub version: Version,
}

/// An index of all cancelled jobs.
#[derive(Default)]
pub struct CancelledJobs {
    by_time: BTreeSet<(u64, JobId)>,
    by_version: BTreeSet<(Version, JobId)>,
    /// Versions of records that don't say when it was or whose they were: written by a version of
    /// the service that did not record it.
    undescribed: BTreeSet<Version>,
}

impl CancelledJobs {
    /// Takes up a final record.
    pub fn take(&mut self, id: &JobId, record: &JobRecord, version: Version) {
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

    /// The described ones that count.
    pub fn since(&self, since: CancelledSince) -> BTreeSet<&JobId> {
        let first = JobId::from("");
        let by_time = self.by_time.range((since.wall_ms, first.clone())..);
        let by_version = self.by_version.range((since.version + 1, first)..);
        by_time
            .map(|(_, id)| id)
            .chain(by_version.map(|(_, id)| id))
            .collect()
    }

    /// The version of the newest record that doesn't describe itself.
    pub fn newest_undescribed(&self) -> Option<Version> {
        self.undescribed.last().copied()
    }
}
