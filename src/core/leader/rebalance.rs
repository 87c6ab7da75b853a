//! Periodic rebalancing of the shards: teams are spread evenly over the controllers, the machines of
//! controllers without a team are redistributed, and one machine moves from a shard without queued work to
//! the shard with the most.

use crate::core::leader::Leader;
use crate::core::leader::live_processes::LiveProcesses;
use crate::core::model::time::Time;
use crate::ids::{ControllerName, MachineId, Team};

/// Seconds between two periodic rebalancings.
const REBALANCE_INTERVAL_S: Time = 30.0;

impl Leader {
    /// Removes returned machines from the shard map, transfers machines to shards that lack some, and
    /// performs the periodic rebalancing if it is due.
    pub(super) fn rebalance(&mut self, live: &LiveProcesses, now: Time) {
        for id in self.cloud.take_returned() {
            self.editor.remove_machine(&id);
        }
        self.serve_machine_demands(live, now);
        if now < self.next_rebalance {
            return;
        }
        self.next_rebalance = now + REBALANCE_INTERVAL_S;
        self.balance_teams(live);
        self.redistribute_teamless_shards(live);
        self.move_machine_to_longest_queue(live);
    }

    /// Moves one team without queued tasks from the controller with the most teams to the one with the
    /// fewest, such as a restarted controller, if that has at least two fewer. The team's tasks keep running
    /// on their machines.
    fn balance_teams(&mut self, live: &LiveProcesses) {
        let most = live.nodes().max_by_key(|node| self.team_count(node));
        let fewest = live.nodes().min_by_key(|node| self.team_count(node));
        let (Some(most), Some(fewest)) = (most, fewest) else {
            return;
        };
        if self.team_count(most) < self.team_count(fewest) + 2 {
            return;
        }
        let team = self.team_without_queue(most);
        if let (Some(team), Some(to)) = (team, live.process_of(fewest)) {
            tracing::info!(%team, from = %most, to = %fewest, "team reassigned to another shard");
            self.assign_team(&team, &to);
        }
    }

    /// A team of this controller that has no queued tasks. Queued tasks would be delayed while the new owner
    /// learns which tasks run on which machines.
    fn team_without_queue(&self, node: &ControllerName) -> Option<Team> {
        let demand = self.demands.get(node)?;
        let mut teams = self.editor.shard_map().teams.iter();
        let last = teams.rfind(|(team, owner)| {
            owner.node == *node && demand.teams_without_queue.contains(team)
        });
        last.map(|(team, _)| team.clone())
    }

    /// Distributes the machines of controllers without a team among controllers that have teams. A claimed
    /// machine stays where it is, because it may be unable to reach another controller.
    fn redistribute_teamless_shards(&mut self, live: &LiveProcesses) {
        let with_teams = live.nodes().filter(|node| self.team_count(node) > 0);
        let with_teams: Vec<&ControllerName> = with_teams.collect();
        let machines = self.editor.shard_map().machines.iter();
        let teamless: Vec<(MachineId, ControllerName)> = machines
            .filter(|(_, owner)| live.has_node(&owner.node) && self.team_count(&owner.node) == 0)
            .filter(|(id, _)| !self.claimed_machines.contains_key(*id))
            .map(|(id, owner)| (id.clone(), owner.node.clone()))
            .collect();
        for ((id, from), to) in teamless.iter().zip(with_teams.into_iter().cycle()) {
            if let Some(to) = live.process_of(to) {
                self.assign_machine(id, &to, live.process_of(from), live);
            }
        }
    }

    /// Moves one machine from a shard without queued work to the shard with the most queued work.
    fn move_machine_to_longest_queue(&mut self, live: &LiveProcesses) {
        let with_teams = live.nodes().filter(|node| self.team_count(node) > 0);
        let queues = with_teams.filter_map(|node| Some((node, self.demands.get(node)?.queued)));
        let queues: Vec<(&ControllerName, f64)> = queues.collect();
        let longest = queues
            .iter()
            .max_by(|(_, one), (_, other)| one.total_cmp(other));
        let shortest = queues
            .iter()
            .min_by(|(_, one), (_, other)| one.total_cmp(other));
        let (Some((to, longest)), Some((from, shortest))) = (longest, shortest) else {
            return;
        };
        if *longest <= 0.0 || *shortest > 0.0 || to == from {
            return;
        }
        if let Some(id) = self.machine_to_move(from) {
            self.reassign_machine(&id, from, to, live);
            self.remove_transferred(&[id].into());
        }
    }

    /// The machine that this controller can best spare: an idle one, or else the one with the most free GPUs.
    fn machine_to_move(&self, node: &ControllerName) -> Option<MachineId> {
        let demand = self.demands.get(node)?;
        let idle = demand.spare_machines.iter();
        let with_free_gpus = demand.machines_with_free_gpus.iter().map(|(id, _)| id);
        let mut candidates = idle.chain(with_free_gpus);
        candidates.find(|id| self.owns_machine(node, id)).cloned()
    }
}
