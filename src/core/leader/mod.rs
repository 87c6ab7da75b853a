//! The leader's map: it gives teams and machines to living processes, hands the shares of lapsed
//! ones on, and numbers every change with a fresh term. What moves between the shares of the
//! living, and what is rented and returned, is decided in [`crate::core::leader::rebalance`].

pub mod claims;
pub mod grants;
pub mod rebalance;
pub mod scaling;
pub mod shard_map_editor;
pub mod spare_machines;
pub mod zone_contact;

use crate::config::Config;
use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::{MapWrite, Pending};
use crate::core::effects::{StoreCall, StoreReply};
use crate::core::leader::scaling::CloudRequests;
use crate::core::leader::shard_map_editor::ShardMapEditor;
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::membership::ownership::OwnershipLease;
use crate::core::membership::peers::Peers;
use crate::core::messages::capacity_demand::{CapacityDemand, MachineOffer};
use crate::core::model::process::ProcessId;
use crate::core::model::time::Time;
use crate::core::records::keys::{LEADER_KEY, node_key};
use crate::core::records::shard_map::ShardOwner;
use crate::core::records::versioned::{precondition, put};
use crate::core::scheduling::catalog::Catalog;
use crate::core::store::replica::StoreReplica;
use crate::ids::{FencingToken, MachineId, Node, Team, Version};
use crate::wire::{BODY_LIMIT, Heartbeat, Precondition, Transaction, Write};
use failure_detector::Stage;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Bytes of values that one transaction carries, once reached: with the last value and the guards
/// it stays within the limit on bodies, past which it would be refused for ever.
pub(crate) const VALUE_BYTES: usize = BODY_LIMIT / 2;

/// Resources for one machine and its owner, below which splitting values further helps nothing.
pub(crate) const LEAST_VALUE_KB: f64 = 0.25;

pub struct Leader {
    pub(crate) config: Rc<Config>,
    pub(crate) term: Version,
    pub(crate) started: Time,
    pub(crate) map: ShardMapEditor,
    /// The stored versions that `map` continues. Guarding by the view's would be wrong: a write
    /// with unknown outcome may turn up there late, and the next would undo it.
    pub(crate) base: BTreeMap<String, Version>,
    /// Terms of this turn's changes.
    pub(crate) terms: BTreeMap<ProcessId, FencingToken>,
    /// Limits of values and transactions: the settings', less where the state service refused more.
    pub(crate) value_kb: f64,
    pub(crate) values_per_write: usize,
    pub(crate) writing: bool,
    pub(crate) next_write: Time,
    /// The map as stored may differ from ours: a write failed or its outcome is unknown.
    pub(crate) reread: bool,
    pub(crate) demands: BTreeMap<Node, CapacityDemand>,
    /// Machines that reported and are not on the map.
    pub(crate) unassigned_machines: BTreeMap<MachineId, MachineOffer>,
    /// Living processes that keep to grants of team limits, if all of them do.
    pub(crate) grant_keepers: BTreeSet<ProcessId>,
    pub(crate) next_round: Time,
    /// Machines that were claimed, and when: they can't reach those who had them.
    pub(crate) claimed: BTreeMap<MachineId, Time>,
    /// When a machine in use may next move for what waits.
    pub(crate) next_urgent: Time,
    pub(crate) cloud: CloudRequests,
    /// This process stood still and does not know yet what came meanwhile.
    pub(crate) catching_up: bool,
}

impl Leader {
    pub fn new(config: &Rc<Config>, term: Version, store: &StoreReplica, now: Time) -> Self {
        let map = ShardMapEditor::new(term, store.map(), config.deployment.state.value_kb);
        let fresh = map.owners.teams.is_empty();
        Self {
            config: config.clone(),
            term,
            started: now,
            map,
            base: versions(store),
            terms: BTreeMap::new(),
            value_kb: config.deployment.state.value_kb,
            values_per_write: config.deployment.state.txn_ops,
            writing: false,
            next_write: now,
            reread: false,
            demands: BTreeMap::new(),
            unassigned_machines: BTreeMap::new(),
            grant_keepers: BTreeSet::new(),
            next_round: now,
            claimed: BTreeMap::new(),
            next_urgent: now,
            cloud: CloudRequests::new(config, now, fresh),
            catching_up: false,
        }
    }

    /// Whether leadership is to be claimed anew, since it is running out of terms.
    pub fn terms_exhausted(&self) -> bool {
        self.map.terms_exhausted() && !self.writing
    }

    pub fn refused(&self) -> BTreeSet<MachineOffer> {
        self.cloud.refused()
    }

    pub fn set_demand(&mut self, node: &Node, need: CapacityDemand) {
        self.demands.insert(node.clone(), need);
    }

    /// A machine reported that is not on the map: it gets an owner.
    pub fn add_unassigned_machine(&mut self, heartbeat: &Heartbeat) {
        if !self.map.owners.machines.contains_key(&heartbeat.machine) {
            let offer = MachineOffer {
                type_name: heartbeat.type_name.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.spot,
            };
            self.unassigned_machines
                .insert(heartbeat.machine.clone(), offer);
        }
    }

    pub fn advance(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        ownership: &mut OwnershipLease,
        peers: &Peers,
        catalog: &Catalog,
        unresponsive: &UnresponsiveMachines,
    ) {
        let now = outbox.now;
        self.terms.clear();
        let living: BTreeMap<Node, u64> = store
            .nodes()
            .iter()
            .map(|(node, n)| (node.clone(), n.record.incarnation))
            .collect();
        self.demands.retain(|node, _| living.contains_key(node));
        let may_write = !self.writing && now >= self.next_write && outbox.may_write();
        if may_write && !living.is_empty() {
            if std::mem::take(&mut self.reread) {
                let map = ShardMapEditor::new(self.term, store.map(), self.value_kb);
                self.map.follow(map);
                self.base = versions(store);
            }
            // A fresh deployment waits for its controllers, so that shares start equal.
            let all_here = living.len() >= self.config.controllers();
            self.note_grant_keepers(store);
            if all_here || !self.map.owners.teams.is_empty() || now > self.started + ownership.ttl()
            {
                let preconditions =
                    self.fail_over_shards(store, ownership, peers, unresponsive, &living, now);
                self.assign_new_machines(&living);
                self.serve_claims(store, &living, now);
                self.renumber(&living);
                self.rebalance(&living, now);
                self.note_grants();
                self.write(outbox, preconditions);
            }
        }
        self.cloud_when_due(outbox, catalog, unresponsive, &living);
    }

    /// What a process gains in one turn it gains under one term, which keeps the map small.
    pub(crate) fn owner(&mut self, node: &Node, incarnation: u64) -> Option<ShardOwner> {
        let process = ProcessId::new(node.clone(), incarnation);
        let term = match self.terms.get(&process) {
            Some(term) => *term,
            // Out of terms: leadership has to be taken anew; until then nothing more changes.
            None => *self.terms.entry(process).or_insert(self.map.next_token()?),
        };
        Some(ShardOwner {
            node: node.clone(),
            incarnation,
            token: term,
            previous_owner: None,
            previous_token: None,
        })
    }

    pub(crate) fn assign_team(&mut self, team: &Team, to: &Node, incarnation: u64) {
        if let Some(owner) = self.owner(to, incarnation) {
            let keeps_grants = self.keeps_grants(&owner);
            self.map.carry_grants(team, &owner, keeps_grants);
            self.map.set_team(team, owner);
        }
    }

    /// `previous_owner`: the process it is taken from, if that lives.
    pub(crate) fn assign_machine(
        &mut self,
        id: &MachineId,
        to: &Node,
        incarnation: u64,
        previous_owner: Option<ProcessId>,
    ) {
        if let Some(owner) = self.owner(to, incarnation) {
            self.map.set_machine(
                id,
                ShardOwner {
                    previous_owner,
                    ..owner
                },
            );
        }
    }

    /// Shares of processes that have ended go to the restarted controller, or to a successor as a
    /// whole, so that teams stay with the machines their tasks are on.
    pub(crate) fn fail_over_shards(
        &mut self,
        store: &StoreReplica,
        ownership: &mut OwnershipLease,
        peers: &Peers,
        unresponsive: &UnresponsiveMachines,
        living: &BTreeMap<Node, u64>,
        now: Time,
    ) -> Vec<Precondition> {
        let mut preconditions = Vec::new();
        let unowned: Vec<Team> = self
            .config
            .deployment
            .teams
            .iter()
            .map(|team| team.name.clone())
            .filter(|team| !self.map.owners.teams.contains_key(team))
            .collect();
        for team in unowned {
            if let Some(ProcessId { node, incarnation }) = self.fewest_teams(living, peers) {
                self.assign_team(&team, &node, incarnation);
            }
        }
        let owners = self
            .map
            .owners
            .teams
            .values()
            .chain(self.map.owners.machines.values());
        let processes: BTreeSet<ProcessId> = owners.map(ShardOwner::process).collect();
        let ended: BTreeSet<ProcessId> = processes
            .into_iter()
            .filter(|process| living.get(&process.node) != Some(&process.incarnation))
            .collect();
        ownership.retain_consent_requests(&ended);
        for process in ended {
            if !ownership.lease_expired(&process, store, peers, now) {
                continue;
            }
            let successor = match living.get(&process.node) {
                Some(incarnation) => Some(ProcessId::new(process.node.clone(), *incarnation)),
                None => self.fewest_teams(living, peers),
            };
            let Some(ProcessId {
                node: successor,
                incarnation,
            }) = successor
            else {
                continue;
            };
            tracing::info!("the share of {} goes to {successor}", process.node);
            // It has lapsed as of this version of its key.
            let registered = store.node(&process.node).map_or(0, |n| n.version);
            preconditions.push(precondition(&node_key(&process.node), registered));
            let of = |owner: &ShardOwner| owner.is(&process.node, process.incarnation);
            let teams = self.map.owners.teams.iter().filter(|(_, owner)| of(owner));
            let teams: Vec<Team> = teams.map(|(team, _)| team.clone()).collect();
            let machines = self
                .map
                .owners
                .machines
                .iter()
                .filter(|(_, owner)| of(owner));
            // Whom it had a machine from, if that lives, may still have to let go of it.
            let lives = |previous_owner: &ProcessId| {
                living.get(&previous_owner.node) == Some(&previous_owner.incarnation)
            };
            let machines: Vec<(MachineId, Option<ProcessId>, Option<FencingToken>)> = machines
                .map(|(id, owner)| {
                    // Nobody else answered a machine of which it said that it does so no more.
                    let previous_token =
                        unresponsive.answered(id, owner.token).map(|_| owner.token);
                    let previous_owner = owner
                        .previous_owner
                        .clone()
                        .filter(|f| previous_token.is_none() && lives(f));
                    (id.clone(), previous_owner, previous_token)
                })
                .collect();
            for team in teams {
                self.assign_team(&team, &successor, incarnation);
            }
            for (id, previous_owner, previous_token) in machines {
                if let Some(owner) = self.owner(&successor, incarnation) {
                    self.map.set_machine(
                        &id,
                        ShardOwner {
                            previous_owner,
                            previous_token,
                            ..owner
                        },
                    );
                }
            }
        }
        preconditions
    }

    pub(crate) fn teams_of(&self, node: &Node) -> usize {
        self.map
            .owners
            .teams
            .values()
            .filter(|owner| owner.node == *node)
            .count()
    }

    /// The controller with the fewest teams, of those that answer if any does.
    pub(crate) fn fewest_teams(
        &self,
        living: &BTreeMap<Node, u64>,
        peers: &Peers,
    ) -> Option<ProcessId> {
        let acts_on_failures = self.config.features.acts_on_failures();
        let silent = |node: &Node| acts_on_failures && peers.detector().stage(node) != Stage::Alive;
        let node = living
            .keys()
            .min_by_key(|node| (silent(node), self.teams_of(node)))?;
        Some(ProcessId::new(node.clone(), living[node]))
    }

    /// Newcomers go to whoever they were rented for, or where machines of their kind are fewest;
    /// a controller without a team needs none.
    pub(crate) fn assign_new_machines(&mut self, living: &BTreeMap<Node, u64>) {
        if self.unassigned_machines.is_empty() {
            return;
        }
        let mut counts = self.machine_counts(living);
        for (id, offer) in std::mem::take(&mut self.unassigned_machines) {
            let meant = self.cloud.arrived(&id, &offer);
            let meant = meant.filter(|node| counts.contains_key(node));
            let rank = |count: &MachineCount| (count.of_kind(&offer), count.all);
            let fewest = || counts.iter().min_by_key(|(_, count)| rank(count));
            let node = meant.or_else(|| fewest().map(|(node, _)| node.clone()));
            let Some(node) = node else { continue };
            if let Some(count) = counts.get_mut(&node) {
                count.add(&offer);
            }
            self.assign_machine(&id, &node, living[&node], None);
        }
    }

    /// The machines of living controllers that have teams.
    pub(crate) fn machine_counts(
        &self,
        living: &BTreeMap<Node, u64>,
    ) -> BTreeMap<Node, MachineCount> {
        let with_teams = living.keys().filter(|node| self.teams_of(node) > 0);
        let mut counts: BTreeMap<Node, MachineCount> = with_teams
            .map(|node| (node.clone(), MachineCount::default()))
            .collect();
        for (id, owner) in &self.map.owners.machines {
            if let Some(count) = counts.get_mut(&owner.node) {
                match self.cloud.offer_of(id) {
                    Some(offer) => count.add(offer),
                    None => count.all += 1,
                }
            }
        }
        counts
    }

    /// Fresh terms for machines that may have lost commands, and for teams short of attempts.
    pub(crate) fn renumber(&mut self, living: &BTreeMap<Node, u64>) {
        let mut needs = std::mem::take(&mut self.demands);
        for (node, need) in &mut needs {
            let incarnation = living.get(node).copied().unwrap_or_default();
            for (id, token) in std::mem::take(&mut need.tokens_to_renew) {
                let owner = self.map.owners.machines.get(&id);
                if owner.is_some_and(|o| o.is(node, incarnation) && o.token == token) {
                    self.assign_machine(&id, node, incarnation, None);
                }
            }
            for team in std::mem::take(&mut need.teams_out_of_attempts) {
                if self
                    .map
                    .owners
                    .teams
                    .get(&team)
                    .is_some_and(|o| o.is(node, incarnation))
                {
                    self.assign_team(&team, node, incarnation);
                }
            }
        }
        self.demands = needs;
    }

    pub(crate) fn write(&mut self, outbox: &mut Outbox, mut preconditions: Vec<Precondition>) {
        let values = self.map.take_dirty(self.values_per_write, VALUE_BYTES);
        if values.is_empty() {
            return;
        }
        preconditions.push(precondition(LEADER_KEY, self.term));
        let mut writes = Vec::new();
        for (key, chunk) in &values {
            preconditions.push(precondition(key, self.base.get(key).copied().unwrap_or(0)));
            writes.push(put(key, chunk, None));
        }
        self.writing = true;
        let pending = Pending::Map(MapWrite {
            term: self.term,
            writes: writes.clone(),
        });
        outbox.state(
            pending,
            StoreCall::Commit(Transaction {
                preconditions,
                writes,
            }),
        );
    }

    pub fn map_written(
        &mut self,
        outbox: &mut Outbox,
        store: &mut StoreReplica,
        write: MapWrite,
        reply: StoreReply,
    ) {
        if write.term != self.term {
            return;
        }
        self.writing = false;
        // One change a fifth of a second: the state service has other work.
        self.next_write = outbox.now + 6.0 / self.config.deployment.state.write_rps;
        if let StoreReply::Committed(version) = reply {
            for write in &write.writes {
                store.apply_write(write, version);
                if let Write::Put { key, .. } = write {
                    self.base.insert(key.clone(), version);
                }
            }
        }
        store.want_sync();
        if !matches!(reply, StoreReply::Committed(_)) {
            // Not knowing what is stored, start again from what the next sync shows. A conflict has
            // changed nothing, and machines whose leases run out may be waiting.
            self.reread = true;
            let writes = match reply {
                StoreReply::Conflict => 3.0,
                StoreReply::Rejected => {
                    self.write_less();
                    50.0
                }
                _ => 12.0,
            };
            self.next_write =
                outbox.now + outbox.jitter(writes / self.config.deployment.state.write_rps);
        }
    }
}

impl Leader {
    /// The same would be refused again.
    pub(crate) fn write_less(&mut self) {
        self.value_kb = (self.value_kb * 0.5).max(LEAST_VALUE_KB);
        self.values_per_write = (self.values_per_write / 2).max(1);
        tracing::error!(
            "the state service refuses the map: now up to {} values of {} KiB at once",
            self.values_per_write,
            self.value_kb
        );
    }
}

/// How many machines a controller has.
#[derive(Default)]
pub(crate) struct MachineCount {
    pub(crate) by_kind: BTreeMap<MachineOffer, usize>,
    pub(crate) all: usize,
}

impl MachineCount {
    pub(crate) fn add(&mut self, kind: &MachineOffer) {
        *self.by_kind.entry(kind.clone()).or_default() += 1;
        self.all += 1;
    }

    pub(crate) fn of_kind(&self, kind: &MachineOffer) -> usize {
        self.by_kind.get(kind).copied().unwrap_or(0)
    }
}

pub(crate) fn versions(store: &StoreReplica) -> BTreeMap<String, Version> {
    store
        .map()
        .iter()
        .map(|(key, stored)| (key.clone(), stored.version))
        .collect()
}
