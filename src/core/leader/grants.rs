use crate::core::leader::Leader;
use crate::core::model::process::ProcessId;
use crate::core::records::shard_map::ShardOwner;
use crate::core::scheduling::usage::are_on;
use crate::core::store::replica::StoreReplica;
use crate::ids::{FencingToken, Team};
use std::collections::BTreeSet;

impl Leader {
    /// Which living processes keep to grants: all of them, or it does not count.
    pub(crate) fn note_grant_keepers(&mut self, store: &StoreReplica) {
        let records = store.nodes().values().map(|node| &node.record);
        let all = records.clone().all(|record| record.keeps_grants);
        let keepers = records
            .filter(|_| all)
            .map(|record| ProcessId::new(record.node.clone(), record.incarnation));
        self.grant_keepers = keepers.collect::<BTreeSet<ProcessId>>();
    }

    /// Teams whose owners keep to grants, of which that is not noted: from the owner's own term on.
    pub(crate) fn note_grants(&mut self) {
        let unnoted = self.map.owners.teams.iter().filter(|(team, owner)| {
            !self.map.owners.grants_kept_since.contains_key(*team) && self.keeps_grants(owner)
        });
        let unnoted: Vec<(Team, FencingToken)> = unnoted
            .map(|(team, owner)| (team.clone(), owner.token))
            .collect();
        for (team, term) in unnoted {
            self.map.set_grants_kept_since(&team, Some(term));
        }
    }

    /// Whether the process that owns something keeps to grants, as all others do.
    pub(crate) fn keeps_grants(&self, owner: &ShardOwner) -> bool {
        let process = owner.process();
        are_on(&self.config) && self.grant_keepers.contains(&process)
    }
}
