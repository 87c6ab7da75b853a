//! Assignment of teams and machines to processes, and renewal of their fencing tokens.

use crate::core::leader::Leader;
use crate::core::leader::live_processes::LiveProcesses;
use crate::core::leader::shard_map_editor::ShardMapEditor;
use crate::core::messages::capacity_demand::MachineOffer;
use crate::core::model::process::ProcessId;
use crate::core::records::shard_map::ShardOwner;
use crate::ids::{ControllerName, FencingToken, MachineId, Team};
use std::collections::BTreeMap;

impl Leader {
    /// Creates an owner record for a process, with a new fencing token above `floor`. Returns None if no
    /// tokens are left: nothing is assigned then until the leader key is claimed again.
    fn new_owner(&mut self, process: &ProcessId, floor: FencingToken) -> Option<ShardOwner> {
        Some(ShardOwner {
            node: process.node.clone(),
            incarnation: process.incarnation,
            token: self.token_for(process, floor)?,
            previous_owner: None,
            previous_token: None,
            raises: 0,
        })
    }

    /// Creates the owner record of a machine, with a token above all those of its present assignment.
    pub(super) fn new_machine_owner(
        &mut self,
        id: &MachineId,
        process: &ProcessId,
        live: &LiveProcesses,
    ) -> Option<ShardOwner> {
        let present = self.editor.shard_map().machines.get(id);
        let floor = present.map(ShardOwner::highest_token).unwrap_or_default();
        let owner = self.new_owner(process, floor)?;
        let raises = if live.all_raise_tokens() {
            ShardMapEditor::grantable_raises(owner.token)
        } else {
            0
        };
        Some(ShardOwner { raises, ..owner })
    }

    /// The token for what a process gains during this call of [`Leader::advance`]. A single token, where it is
    /// above `floor`, keeps the map small.
    fn token_for(&mut self, process: &ProcessId, floor: FencingToken) -> Option<FencingToken> {
        let issued = self.issued_tokens.get(process).copied();
        if let Some(token) = issued.filter(|token| *token > floor) {
            return Some(token);
        }
        let token = self.editor.next_token_above(floor)?;
        self.issued_tokens.insert(process.clone(), token);
        Some(token)
    }

    /// Assigns a team to a process under a new token.
    pub(super) fn assign_team(&mut self, team: &Team, to: &ProcessId) {
        if let Some(owner) = self.new_owner(to, FencingToken::default()) {
            let keeps_grants = self.keeps_grants(&owner);
            self.editor
                .update_grants_kept_since(team, &owner, keeps_grants);
            self.editor.set_team(team, owner);
        }
    }

    /// Assigns a machine to a process under a new token. `previous_owner` is the live process that has to
    /// release the machine, if there is one.
    pub(super) fn assign_machine(
        &mut self,
        id: &MachineId,
        to: &ProcessId,
        previous_owner: Option<ProcessId>,
        live: &LiveProcesses,
    ) {
        if let Some(owner) = self.new_machine_owner(id, to, live) {
            let owner = ShardOwner {
                previous_owner,
                ..owner
            };
            self.editor.set_machine(id, owner);
        }
    }

    /// Number of teams that the controller owns.
    pub(super) fn team_count(&self, node: &ControllerName) -> usize {
        let owners = self.editor.shard_map().teams.values();
        owners.filter(|owner| owner.node == *node).count()
    }

    /// Whether the shard map lists this controller as the machine's owner.
    pub(super) fn owns_machine(&self, node: &ControllerName, id: &MachineId) -> bool {
        let owner = self.editor.shard_map().machines.get(id);
        owner.is_some_and(|owner| owner.node == *node)
    }

    /// Assigns each new machine to the controller for which it was rented. If that controller is unknown, not
    /// live or without a team, the one with the fewest machines of the same kind gets it. Controllers without
    /// a team get no machines.
    pub(super) fn assign_new_machines(&mut self, live: &LiveProcesses) {
        if self.unassigned_machines.is_empty() {
            return;
        }
        let mut counts = self.machine_counts(live);
        for (id, offer) in std::mem::take(&mut self.unassigned_machines) {
            let rented_for = self.cloud.record_arrival(&id, &offer);
            let rented_for = rented_for.filter(|node| counts.contains_key(node));
            let node = rented_for.or_else(|| node_with_fewest_machines(&counts, &offer));
            let Some(process) = node.and_then(|node| live.process_of(&node)) else {
                continue;
            };
            if let Some(count) = counts.get_mut(&process.node) {
                count.add(&offer);
            }
            self.assign_machine(&id, &process, None, live);
        }
    }

    /// Counts the machines of each live controller that has a team.
    fn machine_counts(&self, live: &LiveProcesses) -> BTreeMap<ControllerName, MachineCount> {
        let with_teams = live.nodes().filter(|node| self.team_count(node) > 0);
        let mut counts: BTreeMap<ControllerName, MachineCount> = with_teams
            .map(|node| (node.clone(), MachineCount::default()))
            .collect();
        for (id, owner) in &self.editor.shard_map().machines {
            if let Some(count) = counts.get_mut(&owner.node) {
                match self.cloud.offer_of(id) {
                    Some(offer) => count.add(offer),
                    None => count.total += 1,
                }
            }
        }
        counts
    }

    /// Renews the fencing tokens that owners asked to have renewed: those of machines that may have lost
    /// commands, and those of teams that have few attempt numbers left. A request is dropped if its sender is
    /// no longer the owner, or if the machine's token has changed since.
    pub(super) fn renew_tokens(&mut self, live: &LiveProcesses) {
        let mut demands = std::mem::take(&mut self.demands);
        for (node, demand) in &mut demands {
            let machines = std::mem::take(&mut demand.tokens_to_renew);
            let teams = std::mem::take(&mut demand.teams_out_of_attempts);
            let Some(process) = live.process_of(node) else {
                continue;
            };
            for (id, token) in machines {
                let owner = self.editor.shard_map().machines.get(&id);
                if owner.is_some_and(|owner| owner.process() == process && owner.token == token) {
                    self.assign_machine(&id, &process, None, live);
                }
            }
            for team in teams {
                let owner = self.editor.shard_map().teams.get(&team);
                if owner.is_some_and(|owner| owner.process() == process) {
                    self.assign_team(&team, &process);
                }
            }
        }
        self.demands = demands;
    }
}

/// The controller with the fewest machines of this kind; among equals, the one with the fewest in total.
fn node_with_fewest_machines(
    counts: &BTreeMap<ControllerName, MachineCount>,
    offer: &MachineOffer,
) -> Option<ControllerName> {
    let (node, _) = counts
        .iter()
        .min_by_key(|(_, count)| (count.of_kind(offer), count.total))?;
    Some(node.clone())
}

/// Number of machines that a controller owns.
#[derive(Default)]
struct MachineCount {
    /// Machines of each kind; excludes machines whose kind is unknown.
    by_kind: BTreeMap<MachineOffer, usize>,
    /// All machines, including those whose kind is unknown.
    total: usize,
}

impl MachineCount {
    /// Adds one machine of this kind.
    fn add(&mut self, kind: &MachineOffer) {
        *self.by_kind.entry(kind.clone()).or_default() += 1;
        self.total += 1;
    }

    /// Number of machines known to be of this kind.
    fn of_kind(&self, kind: &MachineOffer) -> usize {
        self.by_kind.get(kind).copied().unwrap_or(0)
    }
}
