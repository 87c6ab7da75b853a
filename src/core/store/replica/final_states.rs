//! Exchange of final states between controllers. A controller that cannot read the store learns from a
//! sibling which jobs are done or cancelled.

use crate::core::messages::final_states::FinalStates;
use crate::core::store::replica::StoreReplica;
use crate::ids::{JobId, Version};
use std::ops::RangeFrom;

/// Number of final states in one message. States of one transaction stay together and may exceed it.
const FINAL_STATES_PAGE: usize = 200;

impl StoreReplica {
    /// The version up to which this replica has every final state, from its own reads or from a sibling.
    pub fn final_states_known_up_to(&self) -> Version {
        self.final_states_known.max(self.revision)
    }

    /// A page of the final states that were recorded after version `from`, in the order of their versions.
    pub fn final_states_after(&self, from: Version) -> FinalStates {
        let mut page = FinalStates {
            known_up_to: self.revision,
            complete: true,
            jobs: Vec::new(),
        };
        for (version, id) in self.final_states.range(range_after(from)) {
            // States of one transaction share a version and are sent together.
            let last = page.jobs.last().map(|(_, version, _)| *version);
            if page.jobs.len() >= FINAL_STATES_PAGE && last != Some(*version) {
                page.known_up_to = self.revision.min(last.unwrap_or(from));
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

    /// Applies final states that a sibling sent. Ignores records that are not final: only a read of the store
    /// returns them in order with the changes of the shard map.
    pub fn apply_final_states(&mut self, final_states: FinalStates) {
        for (id, version, record) in final_states.jobs {
            if record.is_final() {
                self.put_job(id, record, version);
            }
        }
        self.final_states_known = self.final_states_known.max(final_states.known_up_to);
    }
}

/// The range of the final states that were recorded after `version`.
pub(super) fn range_after(version: Version) -> RangeFrom<(Version, JobId)> {
    (version.saturating_add(1), JobId::from(""))..
}

#[cfg(test)]
mod tests;
