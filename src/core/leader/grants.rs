//! Since when the owners of each team have kept to grants of its limits; the shard map says so.

use crate::core::leader::Leader;
use crate::core::model::process::ProcessId;
use crate::core::records::shard_map::ShardOwner;
use crate::core::scheduling::usage::are_on;
use crate::core::store::replica::StoreReplica;
use crate::ids::{FencingToken, Team};
use std::collections::BTreeSet;

impl Leader {
    /// Notes the live processes that keep to grants; none, unless all of them do.
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

    /// Notes for teams without such a note that their owners keep to grants, from the owners' tokens on.
    pub(super) fn record_grants_kept_since(&mut self) {
        let owners = self.editor.owners();
        let unnoted = owners.teams.iter().filter(|(team, owner)| {
            !owners.grants_kept_since.contains_key(*team) && self.keeps_grants(owner)
        });
        let unnoted: Vec<(Team, FencingToken)> = unnoted
            .map(|(team, owner)| (team.clone(), owner.token))
            .collect();
        for (team, token) in unnoted {
            self.editor.set_grants_kept_since(&team, Some(token));
        }
    }

    /// Whether the owner keeps to grants, as all other live processes do.
    pub(crate) fn keeps_grants(&self, owner: &ShardOwner) -> bool {
        are_on(&self.config) && self.grant_keepers.contains(&owner.process())
    }
}
