//! Maintains the shard map's record of the fencing token since which all owners of a team have respected the
//! grants of its limits.

use crate::core::leader::Leader;
use crate::core::model::process::ProcessId;
use crate::core::records::shard_map::ShardOwner;
use crate::core::scheduling::usage::grants_are_enabled;
use crate::core::store::replica::StoreReplica;
use crate::ids::{FencingToken, Team};
use std::collections::BTreeSet;

impl Leader {
    /// Updates the set of live processes that respect grants; it is empty unless every live process does.
    pub(crate) fn update_grant_keepers(&mut self, store: &StoreReplica) {
        let records = store.nodes().values().map(|stored| &stored.record);
        let all_keep_grants = records.clone().all(|record| record.keeps_grants);
        self.grant_keepers = if all_keep_grants {
            records
                .map(|record| ProcessId::new(record.node.clone(), record.incarnation))
                .collect()
        } else {
            BTreeSet::new()
        };
    }

    /// Records for each team without an entry that grants are respected since its present owner's token,
    /// provided that the owner respects them.
    pub(super) fn record_grants_kept_since(&mut self) {
        let owners = self.editor.shard_map();
        let unrecorded = owners.teams.iter().filter(|(team, owner)| {
            !owners.grants_kept_since.contains_key(*team) && self.keeps_grants(owner)
        });
        let unrecorded: Vec<(Team, FencingToken)> = unrecorded
            .map(|(team, owner)| (team.clone(), owner.token))
            .collect();
        for (team, token) in unrecorded {
            self.editor.set_grants_kept_since(&team, Some(token));
        }
    }

    /// Whether grants are enabled, and the owner and all other live processes respect them.
    pub(crate) fn keeps_grants(&self, owner: &ShardOwner) -> bool {
        grants_are_enabled(&self.config) && self.grant_keepers.contains(&owner.process())
    }
}
