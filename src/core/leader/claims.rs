//! Claims of machines that can't reach their owners ([`crate::core::machines::claims`]). The leader reassigns
//! such a machine to the controller that receives its heartbeats.

use crate::core::leader::Leader;
use crate::core::leader::live_processes::LiveProcesses;
use crate::core::machines::claims::CLAIM_VALIDITY_LEASES;
use crate::core::model::process::ProcessId;
use crate::core::model::time::Time;
use crate::core::store::replica::StoreReplica;

impl Leader {
    /// Reassigns claimed machines to the controllers that claim them. A claim is ignored if the machine's
    /// fencing token has changed since, or if its owner has failed: failover reassigns the machines of failed
    /// owners.
    pub(super) fn serve_claims(&mut self, store: &StoreReplica, live: &LiveProcesses, now: Time) {
        let claim_validity_s = self.config.deployment.workers.lease_s * CLAIM_VALIDITY_LEASES;
        self.claimed_machines
            .retain(|_, since| now - *since < claim_validity_s);
        for (node, process) in store.nodes() {
            let claimant = ProcessId::new(node.clone(), process.record.incarnation);
            for claim in &process.record.claims {
                let Some(owner) = self.editor.shard_map().machines.get(&claim.machine) else {
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
                    "claimed machine reassigned to the controller that receives its heartbeats"
                );
                self.assign_machine(&claim.machine, &claimant, Some(previous_owner), live);
                self.claimed_machines.insert(claim.machine.clone(), now);
            }
        }
    }
}
