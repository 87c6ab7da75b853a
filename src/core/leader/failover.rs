//! Failover: the shards of failed processes are reassigned to live ones.

use crate::core::leader::Leader;
use crate::core::leader::live_processes::LiveProcesses;
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::membership::ownership::OwnershipLease;
use crate::core::membership::peers::Peers;
use crate::core::model::process::ProcessId;
use crate::core::model::time::Time;
use crate::core::records::keys::node_key;
use crate::core::records::shard_map::ShardOwner;
use crate::core::records::versioned::precondition;
use crate::core::store::replica::StoreReplica;
use crate::ids::{ControllerName, FencingToken, MachineId, Team};
use crate::wire::Precondition;
use failure_detector::Stage;
use std::collections::BTreeSet;

/// A machine of a failed process, and the former owners that the next owner has to take into account.
struct FailedOverMachine {
    id: MachineId,
    /// Live process that may still have to release the machine.
    previous_owner: Option<ProcessId>,
    /// Token of the failed process, if that had declared the machine unresponsive under it.
    previous_token: Option<FencingToken>,
}

impl Leader {
    /// Assigns teams without an owner. Reassigns the shard of each failed process whose ownership has
    /// certainly ended: to the restarted process of the same controller, or else to one other controller. A
    /// shard is not divided, so teams stay with the machines that run their tasks. Returns the preconditions
    /// under which the ownership of these processes has ended.
    pub(super) fn fail_over_shards(
        &mut self,
        store: &StoreReplica,
        ownership: &mut OwnershipLease,
        peers: &Peers,
        unresponsive: &UnresponsiveMachines,
        live: &LiveProcesses,
        now: Time,
    ) -> Vec<Precondition> {
        self.assign_unowned_teams(live, peers);
        let failed = self.failed_owners(live);
        ownership.retain_consent_requests(&failed);
        let mut preconditions = Vec::new();
        for process in failed {
            if !ownership.confirm_ownership_ended(&process, store, peers, now) {
                continue;
            }
            let restarted = live.process_of(&process.node);
            let Some(successor) = restarted.or_else(|| self.process_with_fewest_teams(live, peers))
            else {
                continue;
            };
            tracing::info!(
                failed = %process.node,
                successor = %successor.node,
                "shard reassigned after the failure of its owner"
            );
            // The ownership was found to have ended at this version of the process's key; 0 if it is absent.
            let key_version = store.node(&process.node).map_or(0, |stored| stored.version);
            preconditions.push(precondition(&node_key(&process.node), key_version));
            self.fail_over_shard(&process, &successor, unresponsive, live);
        }
        preconditions
    }

    /// Assigns each configured team without an owner to the controller with the fewest teams.
    fn assign_unowned_teams(&mut self, live: &LiveProcesses, peers: &Peers) {
        let owned = &self.editor.shard_map().teams;
        let configured = self.config.deployment.teams.iter().map(|team| &team.name);
        let unowned = configured.filter(|team| !owned.contains_key(*team));
        for team in unowned.cloned().collect::<Vec<Team>>() {
            if let Some(process) = self.process_with_fewest_teams(live, peers) {
                self.assign_team(&team, &process);
            }
        }
    }

    /// Processes that own teams or machines and are no longer registered in the store.
    fn failed_owners(&self, live: &LiveProcesses) -> BTreeSet<ProcessId> {
        let owners = self.editor.shard_map().owning_processes().into_iter();
        owners.filter(|process| !live.contains(process)).collect()
    }

    /// The process of the controller with the fewest teams. Controllers that are not suspected of a failure
    /// are preferred if the features enable actions on detected failures.
    fn process_with_fewest_teams(&self, live: &LiveProcesses, peers: &Peers) -> Option<ProcessId> {
        let acts_on_failures = self.config.features.acts_on_failures();
        let is_suspected = |node: &ControllerName| {
            acts_on_failures && peers.detector().stage(node) != Stage::Alive
        };
        let node = live
            .nodes()
            .min_by_key(|node| (is_suspected(node), self.team_count(node)))?;
        live.process_of(node)
    }

    /// Reassigns all teams and machines of a failed process to its successor.
    fn fail_over_shard(
        &mut self,
        failed: &ProcessId,
        successor: &ProcessId,
        unresponsive: &UnresponsiveMachines,
        live: &LiveProcesses,
    ) {
        let owners = self.editor.shard_map();
        let of_failed = |owner: &ShardOwner| owner.is_process(&failed.node, failed.incarnation);
        let teams = owners.teams.iter().filter(|(_, owner)| of_failed(owner));
        let teams: Vec<Team> = teams.map(|(team, _)| team.clone()).collect();
        let machines = owners.machines.iter();
        let machines: Vec<FailedOverMachine> = machines
            .filter(|(_, owner)| of_failed(owner))
            .map(|(id, owner)| failed_over_machine(id, owner, unresponsive, live))
            .collect();
        for team in teams {
            self.assign_team(&team, successor);
        }
        for machine in machines {
            if let Some(owner) = self.new_machine_owner(&machine.id, successor, live) {
                let owner = ShardOwner {
                    previous_owner: machine.previous_owner,
                    previous_token: machine.previous_token,
                    ..owner
                };
                self.editor.set_machine(&machine.id, owner);
            }
        }
    }
}

/// Determines the former owners that the next owner of a failed process's machine has to take into account.
fn failed_over_machine(
    id: &MachineId,
    owner: &ShardOwner,
    unresponsive: &UnresponsiveMachines,
    live: &LiveProcesses,
) -> FailedOverMachine {
    // If the failed process had declared the machine unresponsive, no process answers it any more.
    let previous_token = unresponsive
        .last_answered(id, owner.token)
        .map(|_| owner.token);
    // Otherwise the owner before the failed process, if live, may still have to release the machine.
    let previous_owner = owner
        .previous_owner
        .clone()
        .filter(|previous| previous_token.is_none() && live.contains(previous));
    FailedOverMachine {
        id: id.clone(),
        previous_owner,
        previous_token,
    }
}
