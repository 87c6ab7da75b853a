//! Claims of machines that can't reach their owners ([`crate::core::machines::claims`]): the leader gives such
//! a machine to the controller that hears it.

use crate::core::leader::Leader;
use crate::core::leader::live_processes::LiveProcesses;
use crate::core::machines::claims::CLAIM_LEASES;
use crate::core::model::process::ProcessId;
use crate::core::model::time::Time;
use crate::core::store::replica::StoreReplica;

impl Leader {
    /// Gives claimed machines to the controllers that claim them, if the shard map still has them where they
    /// were at the time of the claim. Machines of a failed owner are left to the failover.
    pub(super) fn serve_claims(&mut self, store: &StoreReplica, live: &LiveProcesses, now: Time) {
        let claim_s = self.config.deployment.workers.lease_s * CLAIM_LEASES;
        self.claimed.retain(|_, since| now - *since < claim_s);
        for (node, process) in store.nodes() {
            let claimant = ProcessId::new(node.clone(), process.record.incarnation);
            for claim in &process.record.claims {
                let Some(owner) = self.editor.owners().machines.get(&claim.machine) else {
                    continue;
                };
                let previous_owner = owner.process();
                let is_current = owner.token == claim.token && owner.node != *node;
                if !is_current || !live.contains(&previous_owner) {
                    continue;
                }
                tracing::info!(
                    machine = %claim.machine,
                    from = %previous_owner.node,
                    to = %node,
                    "claimed machine moves to the controller that hears it"
                );
                self.assign_machine(&claim.machine, &claimant, Some(previous_owner));
                self.claimed.insert(claim.machine.clone(), now);
            }
        }
    }
}
