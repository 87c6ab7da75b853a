//! The shard of this process: the teams and machines that the shard map assigns to it, and their jobs.
//!
//! [`Shard`] is the only owner of this state. It is created when the process has registered in the store and is
//! dropped when its ownership lease is lost. Each module beside this one adds one job to it: following the shard map,
//! reconciling heartbeats, rounds of placement, planning of capacity, exchange with sibling controllers.

pub mod acquired_machines;
pub mod capacity_planning;
pub mod commands;
pub mod consolidation;
pub mod grants;
pub mod lease_expiry;
pub mod map_changes;
pub mod opportunistic;
pub mod owned_jobs;
pub mod owned_team;
pub mod preemption;
pub mod progress_records;
pub mod reconciliation;
pub mod round;
pub mod shard_log;
pub mod sibling_updates;
pub mod soon_ready;
pub mod tracking;
pub mod usage;

use crate::config::Config;
use crate::core::effects::outbox::Outbox;
use crate::core::jobs::job::Job;
use crate::core::machines::machine::Machine;
use crate::core::machines::starts_in_flight::StartsInFlight;
use crate::core::machines::task_index::TaskIndex;
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::messages::capacity_demand::{CapacityDemand, MachineOffer};
use crate::core::messages::shard_update::ImageHints;
use crate::core::model::process::ProcessId;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::model::token_bucket::TokenBucket;
use crate::core::scheduling::catalog::Catalog;
use crate::core::scheduling::forecast::Forecast;
use crate::core::scheduling::placement::Weights;
use crate::core::shard::owned_team::OwnedTeam;
use crate::core::shard::progress_records::{UnrecordedJobs, write_rate_per_controller};
use crate::core::store::replica::StoreReplica;
use crate::ids::{JobId, MachineId, Node, Team};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Interval, as a part of a worker's lease, at which machines are checked for what changes with time alone.
const MACHINE_CHECK_LEASES: f64 = 0.005;

/// Shortest interval between rounds of placement, as a part of a worker's lease.
const ROUND_LEASES: f64 = 0.0025;

/// Part of the heartbeat interval after which a round of placement runs even if nothing has changed.
const IDLE_ROUND_HEARTBEATS: f64 = 0.25;

/// The teams, machines and jobs of one process, and what is under way for them.
pub struct Shard {
    pub(crate) config: Rc<Config>,
    /// The process that owns the shard, as the store names it.
    pub(crate) incarnation: u64,
    /// Unfinished jobs of the owned teams.
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs that depend on a cancelled one, and when to record their cancellation.
    pub(crate) dependency_cancelled: BTreeMap<JobId, Time>,
    /// The owned machines, and others' machines as far as they may run tasks of the owned teams.
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    pub(crate) teams: BTreeMap<Team, OwnedTeam>,
    /// Change count of the shard map when it was followed last.
    last_map_change: Option<u64>,
    /// Machines with commands that are to be sent at once.
    pub(crate) unsent_commands: BTreeSet<MachineId>,
    /// Machines that were gained and have not been asked yet which tasks they run.
    pub(crate) uninspected_machines: BTreeSet<MachineId>,
    /// Something has changed since the last round of placement.
    pub(crate) changed_since_round: bool,
    /// The machines on which tasks of each job may run.
    pub(crate) task_index: TaskIndex,
    /// Start commands that may still reach machines.
    pub(crate) starts_in_flight: StartsInFlight,
    /// Starts that were held back because another attempt of the task may still run.
    pub(crate) starts_held_back: u64,
    /// Jobs whose progress or end is not recorded in the store yet.
    pub(crate) unrecorded: UnrecordedJobs,
    /// Jobs with tasks that may run on machines that have not been reconciled.
    pub(crate) unreconciled_jobs: BTreeSet<JobId>,
    next_machine_check: Time,
    pub(crate) next_shard_log: Time,
    /// Attempts and jobs examined because something happened to them.
    pub(crate) visits: u64,
    /// Rounds of placement so far.
    rounds: u64,
    last_round: Time,
    /// Rate of the writes to the store that record jobs.
    pub(crate) record_rate: TokenBucket,
    /// Done and running tasks of each job, for display.
    pub(crate) task_counts: BTreeMap<JobId, (u32, u32)>,
    /// When `running` was counted.
    pub(crate) task_counts_at: Time,
    pub(crate) weights: Weights,
    pub(crate) forecast: Forecast,
    /// What the shard lacks and can spare, for the leader.
    pub(crate) demand: CapacityDemand,
    pub(crate) next_plan: Time,
    /// Offers that the cloud refuses at present, as the leader has told.
    pub(crate) refused_offers: BTreeSet<MachineOffer>,
    /// Images that machines hold, as far as siblings have told.
    pub(crate) image_hints: ImageHints,
    /// Siblings that want to know of the owned machines.
    pub(crate) listeners: BTreeSet<Node>,
    /// Siblings have to be told of something before the next regular exchange.
    pub(crate) sync_soon: bool,
    /// When the last heartbeat of a worker arrived.
    pub(crate) last_heartbeat: Time,
    /// The process was paused and has not read yet what happened meanwhile.
    pub(crate) catching_up: bool,
}

impl Shard {
    /// An empty shard of the process `incarnation`; `image_hints` are the images of machines that siblings have told of.
    pub fn new(config: &Rc<Config>, incarnation: u64, image_hints: ImageHints, now: Time) -> Self {
        let rate = write_rate_per_controller(config, config.controllers());
        Self {
            config: config.clone(),
            incarnation,
            jobs: BTreeMap::new(),
            dependency_cancelled: BTreeMap::new(),
            machines: BTreeMap::new(),
            teams: BTreeMap::new(),
            last_map_change: None,
            unsent_commands: BTreeSet::new(),
            uninspected_machines: BTreeSet::new(),
            changed_since_round: true,
            task_index: TaskIndex::default(),
            starts_in_flight: StartsInFlight::default(),
            starts_held_back: 0,
            unrecorded: UnrecordedJobs::default(),
            unreconciled_jobs: BTreeSet::new(),
            next_machine_check: now,
            next_shard_log: now,
            visits: 0,
            rounds: 0,
            last_round: now,
            record_rate: TokenBucket::new(rate, rate, now),
            task_counts: BTreeMap::new(),
            task_counts_at: Time::NEG_INFINITY,
            weights: Weights::default(),
            forecast: Forecast::new(config),
            demand: CapacityDemand::default(),
            next_plan: now,
            refused_offers: BTreeSet::new(),
            image_hints,
            listeners: BTreeSet::new(),
            sync_soon: false,
            last_heartbeat: Time::NEG_INFINITY,
            catching_up: false,
        }
    }

    /// Does everything that is due at the outbox's time. The steps depend on one another in this order: ownership
    /// first, then jobs, then machines, then placement, then what is told to machines.
    pub fn advance(
        &mut self,
        outbox: &mut Outbox,
        store: &mut StoreReplica,
        catalog: &Catalog,
        unresponsive: &UnresponsiveMachines,
    ) {
        let now = outbox.now;
        self.apply_map_changes(outbox, store, unresponsive);
        self.read_grant_records(store);
        self.follow_job_records(store, now, outbox.wall_ms);
        self.check_machines(store, catalog, now);
        self.reconcile_teams(store);
        self.record_progress(outbox);
        self.record_dependent_cancellations(outbox, store);
        self.place_when_due(outbox, store, catalog);
        self.count_running_tasks(now);
        self.send_direct_commands(outbox);
        self.log_shard_when_due(now);
    }

    /// Takes over the records of jobs that have changed in the store.
    fn follow_job_records(&mut self, store: &mut StoreReplica, now: Time, wall_ms: u64) {
        for id in store.take_changed_jobs() {
            if let Some(stored) = store.job(&id) {
                let (record, version) = (stored.record.clone(), stored.version);
                self.apply_job_record(store, &id, &record, version, (now, wall_ms));
            }
        }
    }

    /// Checks machines for what changes with time alone, a fixed number of times per lease however much happens.
    fn check_machines(&mut self, store: &StoreReplica, catalog: &Catalog, now: Time) {
        if now < self.next_machine_check {
            return;
        }
        self.next_machine_check =
            now + self.config.deployment.workers.lease_s * MACHINE_CHECK_LEASES;
        for machine in self.machines.values_mut() {
            if machine.total == Resources::default() && !machine.address.is_empty() {
                machine.set_type(catalog.types());
            }
            // Another process of the same controller has registered, so that one has ended.
            let has_ended = |process: &ProcessId| {
                let registered = store.node(&process.node);
                registered.is_some_and(|key| key.record.incarnation != process.incarnation)
            };
            if machine.previous_owner.as_ref().is_some_and(has_ended) {
                machine.previous_owner_released(now);
            }
        }
        self.declare_unresponsive(store, now);
        self.expire_machines(store, now);
    }

    /// A round of placement examines the whole shard, so that changes close together share one round.
    fn place_when_due(&mut self, outbox: &mut Outbox, store: &StoreReplica, catalog: &Catalog) {
        let workers = &self.config.deployment.workers;
        let since_round = outbox.now - self.last_round;
        let is_due = self.changed_since_round && since_round >= workers.lease_s * ROUND_LEASES;
        if !is_due && since_round <= workers.report_s * IDLE_ROUND_HEARTBEATS {
            return;
        }
        self.changed_since_round = false;
        self.last_round = outbox.now;
        self.rounds += 1;
        self.drain_reclaimed_machines(outbox.now);
        let mut usage = self.usage(store, outbox.wall_ms);
        self.schedule(outbox.now, &mut usage, catalog);
        self.write_grants(outbox, store, &usage);
    }

    /// Attempts and jobs examined so far because something happened to them, and rounds of placement: what the work of
    /// the shard is in proportion to.
    pub fn work(&self) -> (u64, u64) {
        (self.visits, self.rounds)
    }

    /// Whether any machine is owned.
    pub fn has_machines(&self) -> bool {
        self.machines.values().any(|machine| machine.is_owned)
    }

    /// Number of owned machines.
    pub fn machine_count(&self) -> usize {
        self.machines
            .values()
            .filter(|machine| machine.is_owned)
            .count()
    }

    /// Number of owned machines whose heartbeats a sibling has relayed since this moment.
    pub fn machines_relayed_since(&self, since: Time) -> usize {
        let owned = self.machines.values().filter(|machine| machine.is_owned);
        owned
            .filter(|machine| machine.last_relayed >= since)
            .count()
    }

    /// Notes that a sibling has relayed a heartbeat of this machine, so its worker does not reach this controller.
    pub(crate) fn record_relayed_heartbeat(&mut self, id: &MachineId, now: Time) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.last_relayed = now;
        }
    }
}

#[cfg(test)]
mod tests;
