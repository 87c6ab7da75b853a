//! Moving machines between shares. Every 30 s (the default) the leader moves a machine from the share with
//! the least queued work to the one with the most: an idle one first, else the one with most free room.
//! What a share wants at once and another can spare does not wait for that. What nobody can spare is
//! rented ([`crate::core::leader::scaling`]).

use crate::core::leader::Leader;
use crate::core::leader::spare_machines::SpareMachines;
use crate::core::messages::capacity_demand::{CapacityDemand, MachineDemand, MachineOffer};
use crate::core::model::process::ProcessId;
use crate::core::model::time::Time;
use crate::ids::{MachineId, Node, Team};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds between rounds of rebalancing.
const ROUND_S: Time = 30.0;

impl Leader {
    pub(crate) fn rebalance(&mut self, living: &BTreeMap<Node, u64>, now: Time) {
        for id in std::mem::take(&mut self.cloud.deleted) {
            self.map.remove_machine(&id);
            self.cloud.offers.remove(&id);
        }
        self.serve_wants(living, now);
        if now < self.next_round {
            return;
        }
        self.next_round = now + ROUND_S;
        self.even_teams(living);
        self.empty_teamless(living);
        self.move_one(living);
    }

    /// A controller that came back without teams gets one from whoever has the most; their tasks
    /// keep running where they are.
    fn even_teams(&mut self, living: &BTreeMap<Node, u64>) {
        let most = living
            .keys()
            .max_by_key(|node| self.teams_of(node))
            .cloned();
        let least = living
            .keys()
            .min_by_key(|node| self.teams_of(node))
            .cloned();
        let (Some(most), Some(least)) = (most, least) else {
            return;
        };
        if self.teams_of(&most) < self.teams_of(&least) + 2 {
            return;
        }
        // What waits would wait longer while the new owner learns what runs where.
        let quiet = |team: &Team| {
            self.demands
                .get(&most)
                .is_some_and(|demand| demand.teams_without_queue.contains(team))
        };
        let teams = self.map.owners.teams.iter();
        let team: Option<Team> = teams
            .filter(|(team, o)| o.node == most && quiet(team))
            .map(|(t, _)| t.clone())
            .next_back();
        if let Some(team) = team {
            tracing::info!("team {team} moves from {most} to {least}");
            self.assign_team(&team, &least, living[&least]);
        }
    }

    /// A controller without a team needs no share: its machines go to those that have teams.
    fn empty_teamless(&mut self, living: &BTreeMap<Node, u64>) {
        let with: Vec<&Node> = living
            .keys()
            .filter(|node| self.teams_of(node) > 0)
            .collect();
        if with.is_empty() {
            return;
        }
        let stranded: Vec<(MachineId, Node)> = self
            .map
            .owners
            .machines
            .iter()
            .filter(|(_, o)| living.contains_key(&o.node) && self.teams_of(&o.node) == 0)
            .filter(|(id, _)| !self.claimed.contains_key(*id))
            .map(|(id, owner)| (id.clone(), owner.node.clone()))
            .collect();
        for (at, (id, from)) in stranded.into_iter().enumerate() {
            let to = with[at % with.len()].clone();
            self.assign_machine(
                &id,
                &to,
                living[&to],
                Some(ProcessId::new(from.clone(), living[&from])),
            );
        }
    }

    /// What one share wants and another can spare moves at once: a change of the design, which
    /// moves machines in rounds only, made because users wait meanwhile.
    fn serve_wants(&mut self, living: &BTreeMap<Node, u64>, now: Time) {
        self.serve_wants_of(living, now, |want| !want.opportunistic);
        self.serve_wants_of(living, now, |want| want.opportunistic);
    }

    fn serve_wants_of(
        &mut self,
        living: &BTreeMap<Node, u64>,
        now: Time,
        served: fn(&MachineDemand) -> bool,
    ) {
        if !self
            .demands
            .values()
            .flat_map(|need| &need.machine_demands)
            .any(served)
        {
            return;
        }
        let mut pool = self.spare_pool();
        let mut moved = BTreeSet::new();
        for node in living.keys() {
            let Some(need) = self.demands.get_mut(node) else {
                continue;
            };
            let (wants, mut open): (Vec<MachineDemand>, Vec<MachineDemand>) =
                std::mem::take(&mut need.machine_demands)
                    .into_iter()
                    .partition(served);
            for mut want in wants {
                while want.count > 0 {
                    let found = pool.take_for(&want, node);
                    let found = found.or_else(|| self.roomy_for(&want, node, now));
                    let Some((id, from)) = found else { break };
                    self.reassign_machine(&id, &from, node, living);
                    moved.insert(id);
                    want.count -= 1;
                }
                if want.count > 0 {
                    open.push(want);
                }
            }
            if let Some(need) = self.demands.get_mut(node) {
                need.machine_demands = open;
            }
        }
        self.strike(&moved);
    }

    /// All machines that shares can spare at present.
    fn spare_pool(&self) -> SparePool {
        let mut pool = SparePool::default();
        for (node, need) in &self.demands {
            let usable = |id: &&MachineId| {
                let owner = self.map.owners.machines.get(*id);
                !self.cloud.releases.contains(*id) && owner.is_some_and(|o| o.node == *node)
            };
            let with_offer = |id| self.cloud.offer_of(id).map(|offer| (id, offer));
            pool.spare.add(
                node,
                need.spare_machines
                    .iter()
                    .filter(usable)
                    .filter_map(with_offer),
            );
            pool.yielding.add(
                node,
                need.opportunistic_only_machines
                    .iter()
                    .filter(usable)
                    .filter_map(with_offer),
            );
            pool.kept.add(
                node,
                need.forecast_reserve
                    .iter()
                    .filter(usable)
                    .filter_map(with_offer),
            );
        }
        pool
    }

    /// The cloud has none and nobody can spare one: a machine of another share with room for what
    /// waits, if nothing as urgent waits there. One at a time, for what the move changes has to be
    /// seen before the next.
    fn roomy_for(
        &mut self,
        want: &MachineDemand,
        to: &Node,
        now: Time,
    ) -> Option<(MachineId, Node)> {
        let urgency = want.urgency.filter(|_| !want.opportunistic)?;
        let refused = |offer: &MachineOffer| self.cloud.refused.contains_key(offer);
        if now < self.next_urgent || !want.any_of.iter().filter(|offer| !offer.spot).all(refused) {
            return None;
        }
        let calm = |need: &CapacityDemand| {
            let mut wants = need
                .machine_demands
                .iter()
                .filter(|other| !other.opportunistic);
            wants.all(|other| other.urgency < Some(urgency))
        };
        let found = self
            .demands
            .iter()
            .filter(|(node, need)| *node != to && calm(need))
            .flat_map(|(node, need)| {
                need.machines_with_free_gpus
                    .iter()
                    .map(move |(id, gpus)| (node, id, *gpus))
            })
            .filter(|(node, id, gpus)| {
                *gpus >= want.gpus
                    && self
                        .cloud
                        .offer_of(id)
                        .is_some_and(|offer| want.any_of.contains(offer))
                    && self
                        .map
                        .owners
                        .machines
                        .get(*id)
                        .is_some_and(|o| o.node == **node)
            })
            .max_by(|a, b| a.2.total_cmp(&b.2));
        let (node, id, _) = found?;
        let found = (id.clone(), node.clone());
        self.next_urgent = now + self.config.deployment.workers.lease_s * 0.25;
        Some(found)
    }

    fn move_machine(
        &mut self,
        id: &MachineId,
        from: &Node,
        to: &Node,
        living: &BTreeMap<Node, u64>,
    ) {
        self.reassign_machine(id, from, to, living);
        self.strike(&BTreeSet::from([id.clone()]));
    }

    fn reassign_machine(
        &mut self,
        id: &MachineId,
        from: &Node,
        to: &Node,
        living: &BTreeMap<Node, u64>,
    ) {
        tracing::info!("{id} moves from {from} to {to}");
        self.assign_machine(
            id,
            to,
            living[to],
            Some(ProcessId::new(from.clone(), living[from])),
        );
    }

    /// What was moved is offered by its former shares no longer.
    fn strike(&mut self, moved: &BTreeSet<MachineId>) {
        if moved.is_empty() {
            return;
        }
        for need in self.demands.values_mut() {
            let lists = [
                &mut need.spare_machines,
                &mut need.forecast_reserve,
                &mut need.opportunistic_only_machines,
                &mut need.surplus_machines,
            ];
            lists
                .into_iter()
                .for_each(|list| list.retain(|id| !moved.contains(id)));
            need.machines_with_free_gpus
                .retain(|(id, _)| !moved.contains(id));
        }
    }

    /// The round: one machine from where least is queued to where most is.
    fn move_one(&mut self, living: &BTreeMap<Node, u64>) {
        let queued = |node: &Node| self.demands.get(node).map(|need| need.queued);
        let with_teams: Vec<(&Node, f64)> = living
            .keys()
            .filter(|node| self.teams_of(node) > 0)
            .filter_map(|node| queued(node).map(|queued| (node, queued)))
            .collect();
        let most = with_teams.iter().max_by(|a, b| a.1.total_cmp(&b.1));
        let least = with_teams.iter().min_by(|a, b| a.1.total_cmp(&b.1));
        let (Some((to, most)), Some((from, least))) = (most, least) else {
            return;
        };
        if *most <= 0.0 || *least > 0.0 || to == from {
            return;
        }
        let (to, from) = ((*to).clone(), (*from).clone());
        let Some(need) = self.demands.get(&from) else {
            return;
        };
        let owned = |id: &MachineId| {
            self.map
                .owners
                .machines
                .get(id)
                .is_some_and(|owner| owner.node == from)
        };
        let idle = need.spare_machines.iter().find(|id| owned(id));
        let roomy = need
            .machines_with_free_gpus
            .iter()
            .map(|(id, _)| id)
            .find(|id| owned(id));
        if let Some(id) = idle.or(roomy).cloned() {
            self.move_machine(&id, &from, &to, living);
        }
    }
}

/// What shares can spare, in the order in which it is taken.
#[derive(Default)]
struct SparePool {
    /// Idle machines that no plan uses.
    spare: SpareMachines,
    /// Machines with opportunistic work only.
    yielding: SpareMachines,
    /// Idle machines that are kept for what is only expected.
    kept: SpareMachines,
}

impl SparePool {
    /// A machine in another share that would do; best one of the very kind. What waits also gets
    /// idle ones that are kept for what is only expected elsewhere.
    fn take_for(&mut self, want: &MachineDemand, except: &Node) -> Option<(MachineId, Node)> {
        let exact = std::slice::from_ref(&want.offer);
        let idle = self.spare.take(exact, except);
        let idle = idle.or_else(|| self.spare.take(&want.any_of, except));
        if idle.is_some() || want.opportunistic {
            return idle;
        }
        let yielding = self.yielding.take(&want.any_of, except);
        match want.urgency {
            Some(_) => yielding.or_else(|| self.kept.take(&want.any_of, except)),
            None => yielding,
        }
    }
}
