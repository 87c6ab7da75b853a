//! Exchange of final states between controllers: one whose reads fail learns from a sibling which jobs are done
//! or cancelled.

use crate::core::messages::final_states::FinalStates;
use crate::core::store::replica::StoreReplica;
use crate::ids::{JobId, Version};
use std::ops::RangeFrom;

/// Final states in one message; those of one transaction stay together, so a page may be a little longer.
const FINAL_STATES_PAGE: usize = 200;

impl StoreReplica {
    /// The version up to which this replica knows every final state.
    pub fn final_states_known_up_to(&self) -> Version {
        self.final_states_known.max(self.revision)
    }

    /// A page of the final states known here that were recorded after `from`.
    pub fn final_states_after(&self, from: Version) -> FinalStates {
        let mut page = FinalStates {
            upto: self.revision,
            complete: true,
            jobs: Vec::new(),
        };
        for (version, id) in self.final_states.range(range_after(from)) {
            // States of one transaction share a version, and are sent together.
            let last = page.jobs.last().map(|(_, version, _)| *version);
            if page.jobs.len() >= FINAL_STATES_PAGE && last != Some(*version) {
                page.upto = self.revision.min(last.unwrap_or(from));
                page.complete = false;
                break;
            }
            if let Some(job) = self.jobs.get(id) {
                let record = (*job.record).clone();
                page.jobs.push((id.clone(), *version, record));
            }
        }
        page
    }

    /// Applies final states that a sibling sent. Records that are not final are ignored: only a read of the
    /// store shows them in their order with the shard map.
    pub fn apply_final_states(&mut self, final_states: FinalStates) {
        for (id, version, record) in final_states.jobs {
            if record.is_final() {
                self.put_job(id, record, version);
            }
        }
        self.final_states_known = self.final_states_known.max(final_states.upto);
    }
}

/// The range of final states recorded after `version`.
pub(super) fn range_after(version: Version) -> RangeFrom<(Version, JobId)> {
    (version.saturating_add(1), JobId::from(""))..
}

#[cfg(test)]
mod tests;
