use crate::core::leader::Leader;
use crate::core::machines::claims::CLAIM_LEASES;
use crate::core::model::time::Time;
use crate::core::store::replica::StoreReplica;
use crate::ids::Node;
use std::collections::BTreeMap;

impl Leader {
    /// Gives claimed machines to those who claim them, if the map still has them where they were then.
    pub(crate) fn serve_claims(
        &mut self,
        store: &StoreReplica,
        living: &BTreeMap<Node, u64>,
        now: Time,
    ) {
        let standing = self.config.deployment.workers.lease_s * CLAIM_LEASES;
        self.claimed.retain(|_, since| now - *since < standing);
        for (node, process) in store.nodes() {
            let incarnation = process.record.incarnation;
            for claim in &process.record.claims {
                let Some(owner) = self.map.owners.machines.get(&claim.machine) else {
                    continue;
                };
                let former = owner.process();
                let lives = living.get(&former.node) == Some(&former.incarnation);
                if owner.token != claim.token || owner.node == *node || !lives {
                    continue;
                }
                tracing::info!(
                    "{} moves from {} to {node}, which hears it",
                    claim.machine,
                    former.node
                );
                self.assign_machine(&claim.machine, node, incarnation, Some(former));
                self.claimed.insert(claim.machine.clone(), now);
            }
        }
    }
}
