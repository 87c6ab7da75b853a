//! A controller's work for its share: it runs its teams' jobs on its machines. Created when the
//! process has registered, dropped when its authority is lost. What the machines tell is followed
//! in [`crate::core::shard::tracking`], where they are commanded too.

pub mod acquired_machines;
pub mod capacity_planning;
pub mod commands;
pub mod consolidation;
pub mod grants;
pub mod lease_expiry;
pub mod opportunistic;
pub mod owned_jobs;
pub mod preemption;
pub mod progress_records;
pub mod round;
pub mod shard_log;
pub mod sibling_updates;
pub mod soon_ready;
pub mod tracking;
pub mod usage;

use crate::config::Config;
use crate::core::effects::outbox::Outbox;
use crate::core::jobs::job::Job;
use crate::core::machines::machine::{Machine, TrackedAttempt};
use crate::core::machines::starts_in_flight::StartsInFlight;
use crate::core::machines::task_index::TaskIndex;
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::messages::capacity_demand::{CapacityDemand, MachineOffer};
use crate::core::messages::shard_update::Hints;
use crate::core::model::process::ProcessId;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::model::token_bucket::TokenBucket;
use crate::core::records::job_record::JobRecord;
use crate::core::records::shard_map::ShardOwner;
use crate::core::scheduling::catalog::Catalog;
use crate::core::scheduling::forecast::Forecast;
use crate::core::scheduling::placement::Weights;
use crate::core::shard::grants::TeamGrant;
use crate::core::shard::progress_records::{Unrecorded, write_rate};
use crate::core::store::replica::StoreReplica;
use crate::ids::{Attempt, FencingToken, JobId, MachineId, Node, Team, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A team this share owns.
pub struct OwnedTeam {
    pub(crate) token: FencingToken,
    /// The view's revision when it was gained.
    pub gained_at: Version,
    /// Machines that may still hold tasks of it which nobody has told of.
    pub unreconciled: BTreeSet<MachineId>,
    pub(crate) attempts: u64,
    /// Its part in the team's record of grants.
    pub(crate) grant: Option<TeamGrant>,
}

impl OwnedTeam {
    /// The term under which it is owned.
    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }
}

pub struct Shard {
    pub(crate) config: Rc<Config>,
    pub(crate) incarnation: u64,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs that need a cancelled one, and when to write that down.
    pub(crate) dependency_cancelled: BTreeMap<JobId, Time>,
    /// Our machines, and others' as far as tasks of our teams may be on them.
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    pub(crate) teams: BTreeMap<Team, OwnedTeam>,
    pub(crate) map_seen: Option<u64>,
    /// Machines that have orders to be sent at once.
    pub(crate) unsent_commands: BTreeSet<MachineId>,
    /// Machines that have come here and were not asked yet what they hold.
    pub(crate) uninspected_machines: BTreeSet<MachineId>,
    /// Something changed that placement may profit from.
    pub(crate) changed: bool,
    /// On which machines tasks of each job may be.
    pub(crate) task_index: TaskIndex,
    /// Starts that may still reach machines.
    pub(crate) starts_in_flight: StartsInFlight,
    /// Starts that were held back because another attempt of the task may be on a machine.
    pub(crate) starts_held_back: u64,
    /// Jobs with progress or an end that is not recorded.
    pub(crate) unrecorded: Unrecorded,
    /// Jobs with tasks that may be on machines that have not told.
    pub(crate) unreconciled_jobs: BTreeSet<JobId>,
    pub(crate) next_check: Time,
    pub(crate) next_shard_log: Time,
    /// Attempts and jobs looked at so far because something happened, and rounds of placement.
    pub(crate) visits: u64,
    pub(crate) rounds: u64,
    pub(crate) scheduled: Time,
    /// Of changes in the state service that record jobs.
    pub(crate) record_rate: TokenBucket,
    pub(crate) running: BTreeMap<JobId, (u32, u32)>,
    pub(crate) running_at: Time,
    pub(crate) weights: Weights,
    pub(crate) forecast: Forecast,
    pub(crate) demand: CapacityDemand,
    pub(crate) next_plan: Time,
    /// What the cloud has none of at present, as the leader knows.
    pub(crate) refused: BTreeSet<MachineOffer>,
    /// Images that machines are said to hold.
    pub(crate) hints: Hints,
    /// Siblings that want to hear of our machines.
    pub(crate) listeners: BTreeSet<Node>,
    /// Something has come up that a sibling should hear of soon.
    pub(crate) sync_soon: bool,
    /// When a worker was last heard.
    pub(crate) heard: Time,
    /// This process stood still and does not know yet what came meanwhile.
    pub(crate) catching_up: bool,
}

/// Part of a lease after which machines are looked at again for what time alone changes.
pub(crate) const CHECK_LEASES: f64 = 0.005;

/// Part of a lease between rounds of placement at the least.
pub(crate) const ROUND_LEASES: f64 = 0.0025;

/// Attempt numbers to a term of a team.
pub(crate) const ATTEMPTS: u64 = 1 << 16;

impl Shard {
    pub fn new(config: &Rc<Config>, incarnation: u64, hints: Hints, now: Time) -> Self {
        let rate = write_rate(config, config.controllers());
        Self {
            config: config.clone(),
            incarnation,
            jobs: BTreeMap::new(),
            dependency_cancelled: BTreeMap::new(),
            machines: BTreeMap::new(),
            teams: BTreeMap::new(),
            map_seen: None,
            unsent_commands: BTreeSet::new(),
            uninspected_machines: BTreeSet::new(),
            changed: true,
            task_index: TaskIndex::default(),
            starts_in_flight: StartsInFlight::default(),
            starts_held_back: 0,
            unrecorded: Unrecorded::default(),
            unreconciled_jobs: BTreeSet::new(),
            next_check: now,
            next_shard_log: now,
            visits: 0,
            rounds: 0,
            scheduled: now,
            record_rate: TokenBucket::new(rate, rate, now),
            running: BTreeMap::new(),
            running_at: Time::NEG_INFINITY,
            weights: Weights::default(),
            forecast: Forecast::new(config),
            demand: CapacityDemand::default(),
            next_plan: now,
            refused: BTreeSet::new(),
            hints,
            listeners: BTreeSet::new(),
            sync_soon: false,
            heard: Time::NEG_INFINITY,
            catching_up: false,
        }
    }

    pub fn advance(
        &mut self,
        outbox: &mut Outbox,
        store: &mut StoreReplica,
        catalog: &Catalog,
        unresponsive: &UnresponsiveMachines,
    ) {
        let now = outbox.now;
        self.follow_map(outbox, store, unresponsive);
        self.follow_grants(store);
        for id in store.take_changed() {
            if let Some(stored) = store.job(&id) {
                let (record, version) = (stored.record.clone(), stored.version);
                self.take_job(store, &id, &record, version, (now, outbox.wall_ms));
            }
        }
        self.check_machines(store, catalog, now);
        self.reconcile_when_known(store);
        self.record_progress(outbox);
        self.record_dependent_cancellations(outbox, store);
        self.place_when_due(outbox, store, catalog);
        self.count_running(now);
        self.send_direct_commands(outbox);
        self.log_shard_when_due(now);
    }

    /// What time alone changes of machines: looked at a fixed number of times a lease, however much
    /// happens.
    pub(crate) fn check_machines(&mut self, store: &StoreReplica, catalog: &Catalog, now: Time) {
        if now < self.next_check {
            return;
        }
        self.next_check = now + self.config.deployment.workers.lease_s * CHECK_LEASES;
        for machine in self.machines.values_mut() {
            if machine.total == Resources::default() && !machine.address.is_empty() {
                machine.set_type(catalog.types());
            }
            // A successor of its process has registered, so that has ended.
            let ended = |ProcessId { node, incarnation }: &ProcessId| {
                store
                    .node(node)
                    .is_some_and(|n| n.record.incarnation != *incarnation)
            };
            if machine.previous_owner.as_ref().is_some_and(ended) {
                machine.previous_owner_released(now);
            }
        }
        self.declare_unresponsive(store, now);
        self.expire_machines(store, now);
    }

    /// A round of placement looks at the whole share, so changes that come close together share one.
    pub(crate) fn place_when_due(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        catalog: &Catalog,
    ) {
        let workers = &self.config.deployment.workers;
        let since = outbox.now - self.scheduled;
        let due = self.changed && since >= workers.lease_s * ROUND_LEASES;
        if !due && since <= workers.report_s * 0.25 {
            return;
        }
        self.changed = false;
        self.scheduled = outbox.now;
        self.rounds += 1;
        self.drain(outbox.now);
        let mut usage = self.usage(store, outbox.wall_ms);
        self.schedule(outbox.now, &mut usage, catalog);
        self.write_grants(outbox, store, &usage);
    }

    /// Attempts and jobs looked at so far because something happened to them, and rounds of placement.
    pub fn work(&self) -> (u64, u64) {
        (self.visits, self.rounds)
    }

    // ---- the share ----

    /// Takes up what the map gives this process, and lets go of what it gives to others.
    pub(crate) fn follow_map(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        unresponsive: &UnresponsiveMachines,
    ) {
        if self.map_seen.replace(store.map_changes()) == Some(store.map_changes()) {
            return;
        }
        let now = outbox.now;
        let wanted = self.teams_on_map(store);
        let lost = self.lost_teams(&wanted);
        self.release_grants(outbox, store, &lost);
        let owners = store.owners();
        let with_teams: BTreeSet<&Node> = owners.teams.values().map(|owner| &owner.node).collect();
        self.record_rate
            .set_rate(write_rate(&self.config, with_teams.len().max(1)));
        let mine = |o: &ShardOwner| o.is(&self.config.node, self.incarnation);
        let sibling = |ProcessId { node, .. }: &ProcessId| *node != self.config.node;
        for (id, owner) in &owners.machines {
            let mine = mine(owner);
            let answered = owner
                .previous_token
                .and_then(|prior| unresponsive.answered(id, prior));
            match self.machines.get_mut(id) {
                Some(machine) if machine.is_owned != mine || machine.token != owner.token => {
                    // A fresh token says nothing of whether a former owner has let go.
                    let former = machine.previous_owner.take().filter(|_| machine.is_owned);
                    let gained = mine && !machine.is_owned;
                    machine.change_owner(owner.token, mine, now);
                    if let (true, Some(answered)) = (gained, answered) {
                        machine.last_answered = answered;
                        machine.heartbeat_expected_since = answered;
                    }
                    let former = owner.previous_owner.clone().or(former);
                    machine.previous_owner = former.filter(|former| mine && sibling(former));
                    machine.owned_since_revision = store.map_revision();
                    if gained {
                        self.uninspected_machines.insert(id.clone());
                    }
                    self.changed = true;
                }
                None if mine => {
                    let answered = answered.unwrap_or(now);
                    let mut machine = Machine::named(id.clone(), owner.token, answered);
                    machine.is_owned = true;
                    machine.previous_owner = owner.previous_owner.clone().filter(sibling);
                    machine.owned_since_revision = store.map_revision();
                    self.uninspected_machines.insert(id.clone());
                    self.machines.insert(id.clone(), machine);
                }
                _ => {}
            }
        }
        // The leader takes a machine off the map once it is deleted.
        self.starts_in_flight
            .retain(|id| owners.machines.contains_key(id));
        let gone: Vec<MachineId> = self
            .machines
            .keys()
            .filter(|id| !owners.machines.contains_key(*id))
            .cloned()
            .collect();
        for id in gone {
            self.remove_machine(&id, now);
        }
        for team in lost {
            tracing::info!("team {team} goes to another controller, or has been with one");
            self.teams.remove(&team);
            self.jobs.retain(|_, job| job.spec.team != team);
        }
        for (team, token) in wanted {
            if !self.teams.contains_key(&team) {
                self.gain_team(outbox, store, team, token);
            }
        }
        for machine in self
            .machines
            .values_mut()
            .filter(|machine| machine.is_owned)
        {
            if let Some(images) = self.hints.get(&machine.id) {
                machine.seed_images(images);
            }
        }
        let (teams, index) = (&self.teams, &mut self.task_index);
        let ours = |tracked: &TrackedAttempt| {
            tracked
                .team
                .as_ref()
                .is_some_and(|team| teams.contains_key(team))
        };
        self.machines.retain(|_, machine| {
            if !machine.is_owned {
                machine.attempts.retain(|(task, _), tracked| {
                    let keep = ours(tracked);
                    if !keep {
                        index.remove(&task.job, &machine.id);
                    }
                    keep
                });
            }
            machine.is_owned || !machine.attempts.is_empty()
        });
    }

    /// The teams that the map gives to this process, and under which terms.
    pub(crate) fn teams_on_map(&self, store: &StoreReplica) -> BTreeMap<Team, FencingToken> {
        let teams = store.owners().teams.iter();
        let mine = teams.filter(|(_, owner)| owner.is(&self.config.node, self.incarnation));
        mine.map(|(team, owner)| (team.clone(), owner.token))
            .collect()
    }

    /// Teams that are no longer ours. Under another term a team may have been elsewhere since this
    /// process last read the map, so it is lost and gained anew.
    pub(crate) fn lost_teams(&self, wanted: &BTreeMap<Team, FencingToken>) -> Vec<Team> {
        let kept = |team: &Team, owned: &OwnedTeam| wanted.get(team) == Some(&owned.token);
        let lost = self.teams.iter().filter(|(team, owned)| !kept(team, owned));
        lost.map(|(team, _)| team.clone()).collect()
    }

    /// Nothing of a team that is new here is started until every machine in the map has shown
    /// what it holds, or is known empty. Jobs that appear later were started by nobody else.
    pub(crate) fn gain_team(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        team: Team,
        token: FencingToken,
    ) {
        tracing::info!("team {team} is ours under term {}", token.0);
        let unreconciled = store.owners().machines.keys().cloned().collect();
        let gained = store.map_revision();
        let grant = self.new_team_grant(&team, token);
        let owned = OwnedTeam {
            token,
            gained_at: gained,
            unreconciled,
            attempts: 0,
            grant,
        };
        self.teams.insert(team.clone(), owned);
        self.follow_grants(store);
        self.reconcile_when_known(store);
        let of_team = |record: &JobRecord| record.spec.as_ref().is_some_and(|s| s.team == team);
        for (id, stored) in store.jobs() {
            // One of our own writes, newer than the view, waits for the next sync.
            if of_team(&stored.record) && stored.version <= store.revision() {
                self.take_job(
                    store,
                    id,
                    &stored.record,
                    stored.version,
                    (outbox.now, outbox.wall_ms),
                );
            }
        }
    }

    /// A team's tasks that nobody showed are nowhere once every machine is settled.
    pub(crate) fn reconcile_when_known(&mut self, store: &StoreReplica) {
        let machines = &self.machines;
        let on_map = &store.owners().machines;
        let reconciled = |id: &MachineId| {
            machines
                .get(id)
                .is_some_and(|m| m.is_owned && m.reconciled())
        };
        for (name, team) in &mut self.teams {
            if !team.unreconciled.is_empty() {
                team.unreconciled
                    .retain(|id| on_map.contains_key(id) && !reconciled(id));
                if team.unreconciled.is_empty() {
                    tracing::info!("team {name} is settled");
                }
            }
        }
        let mut torn = Vec::new();
        for id in std::mem::take(&mut self.unreconciled_jobs) {
            self.visits += 1;
            let Some(job) = self.jobs.get_mut(&id).filter(|job| job.unreconciled() > 0) else {
                continue;
            };
            if self
                .teams
                .get(&job.spec.team)
                .is_some_and(|team| team.unreconciled.is_empty())
            {
                job.reconcile();
                self.changed = true;
                if job.is_gang() && job.placed() > 0 && !job.waiting().is_empty() {
                    torn.push(id);
                }
            } else {
                self.unreconciled_jobs.insert(id);
            }
        }
        // Part of a gang was lost between two owners: the rest cannot go on.
        for id in torn {
            let attempts: BTreeSet<Attempt> = self.jobs[&id].attempts();
            for attempt in attempts {
                self.gang_lost_one(&id, attempt);
            }
        }
    }

    pub fn has_machines(&self) -> bool {
        self.machines.values().any(|machine| machine.is_owned)
    }

    /// Machines of this share.
    pub fn machine_count(&self) -> usize {
        self.machines
            .values()
            .filter(|machine| machine.is_owned)
            .count()
    }

    /// Machines of this share whose reports a sibling has relayed since this moment.
    pub fn machines_relayed_since(&self, since: Time) -> usize {
        let mine = self.machines.values().filter(|machine| machine.is_owned);
        mine.filter(|machine| machine.last_relayed >= since).count()
    }

    /// A sibling relays a report of this machine, which so does not reach this controller by itself.
    pub(crate) fn note_relayed(&mut self, id: &MachineId, now: Time) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.last_relayed = now;
        }
    }

    pub fn reconciled_teams(&self) -> Vec<Team> {
        let reconciled = self
            .teams
            .iter()
            .filter(|(_, team)| team.unreconciled.is_empty());
        reconciled.map(|(name, _)| name.clone()).collect()
    }

    /// A fresh attempt number for a team's tasks: higher than any before, whoever owned it. None
    /// when the term has no more; the leader gives the team a new one before that.
    pub(crate) fn next_attempt(&mut self, team: &Team) -> Option<Attempt> {
        let team = self.teams.get_mut(team)?;
        team.attempts += 1;
        (team.attempts < ATTEMPTS).then_some(Attempt(team.token.0 * ATTEMPTS + team.attempts))
    }

    /// Whether an attempt of a team's task was started here since the team was gained.
    pub(crate) fn started_here(&self, team: &Team, attempt: Attempt) -> bool {
        self.teams
            .get(team)
            .is_some_and(|owned| attempt.0 / ATTEMPTS == owned.token.0)
    }

    /// Teams whose term is running out of attempt numbers.
    pub(crate) fn teams_short_of_attempts(&self) -> Vec<Team> {
        let exhausted = self
            .teams
            .iter()
            .filter(|(_, team)| team.attempts > ATTEMPTS / 2);
        exhausted.map(|(team, _)| team.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
