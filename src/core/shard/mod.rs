//! The shard of this process: the teams and machines that the shard map assigns to it, and their jobs.
//!
//! [`Shard`] is the only owner of this state. It is created when the process has registered in the store and
//! is dropped when the process loses its ownership lease. Each submodule implements one responsibility of the
//! shard, such as following the shard map, reconciling heartbeats, placing tasks, planning capacity, or
//! exchanging updates with sibling controllers.

pub mod acquired_machines;
pub mod capacity_planning;
pub mod commands;
pub mod consolidation;
pub mod decision_log;
pub mod dependent_cancellations;
pub mod grants;
pub mod lease_expiry;
pub mod limit_watch;
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
pub mod tracking;
pub mod upcoming_dependents;
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
use crate::core::shard::decision_log::DecisionLog;
use crate::core::shard::dependent_cancellations::DependentCancellations;
use crate::core::shard::owned_team::OwnedTeam;
use crate::core::shard::progress_records::{UnrecordedJobs, write_rate_per_controller};
use crate::core::store::replica::StoreReplica;
use crate::ids::{ControllerName, JobId, MachineId, Team};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Interval between checks of machines for changes that no message triggers, such as an expired lease. The
/// unit is the duration of a worker's lease.
const MACHINE_CHECK_INTERVAL_LEASES: f64 = 0.005;

/// Shortest interval between placement rounds, in durations of a worker's lease.
const MIN_ROUND_INTERVAL_LEASES: f64 = 0.0025;

/// Time after which a placement round runs even if nothing has changed, in heartbeat intervals.
const MAX_ROUND_INTERVAL_HEARTBEATS: f64 = 0.25;

/// Counts of work, to which the computing time is proportional.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounts {
    /// Number of attempts, jobs and dependencies that were examined because an event concerned them.
    pub visits: u64,
    /// Number of placement rounds.
    pub placement_rounds: u64,
}

/// The teams, machines and jobs of one process, and the commands and records in flight for them.
pub struct Shard {
    pub(crate) config: Rc<Config>,
    /// Incarnation of the owning process, under which it is registered in the store.
    pub(crate) incarnation: u64,
    /// Unfinished jobs of the owned teams.
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs to be cancelled because a dependency was cancelled.
    pub(crate) dependent_cancellations: DependentCancellations,
    /// The owned machines, and machines of other owners that may run tasks of the owned teams.
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    /// The teams that the shard map assigns to this process.
    pub(crate) teams: BTreeMap<Team, OwnedTeam>,
    /// Change count of the shard map that was applied last; `None` before the first one.
    last_map_change: Option<u64>,
    /// Machines with commands to send in direct messages, without waiting for their next heartbeats.
    pub(crate) unsent_commands: BTreeSet<MachineId>,
    /// Newly owned machines that have not been asked yet which tasks they run.
    pub(crate) uninspected_machines: BTreeSet<MachineId>,
    /// Whether anything that affects placement has changed since the last placement round.
    pub(crate) changed_since_round: bool,
    /// Index from each job to the machines that may run its tasks.
    pub(crate) task_index: TaskIndex,
    /// Start commands that machines may still receive.
    pub(crate) starts_in_flight: StartsInFlight,
    /// Number of starts that were held back because another attempt of the task may still run.
    pub(crate) starts_held_back: u64,
    /// Number of attempts that appeared on owned machines although no start of them was in flight.
    pub(crate) unexpected_attempts: u64,
    /// Number of times that the attempts of a team began to exceed its limit.
    pub(crate) limit_excesses: u64,
    /// The log of commands.
    decision_log: DecisionLog,
    /// Jobs whose progress or completion has yet to be recorded in the store.
    pub(crate) unrecorded: UnrecordedJobs,
    /// Jobs with tasks that may run on machines that are not reconciled yet, by team.
    pub(crate) unreconciled_jobs: BTreeMap<Team, BTreeSet<JobId>>,
    next_machine_check: Time,
    pub(crate) next_shard_log: Time,
    /// Number of attempts and jobs examined because an event concerned them.
    pub(crate) visits: u64,
    /// Number of placement rounds so far.
    rounds: u64,
    last_round: Time,
    /// Limits the rate of writes to the store that record the progress of jobs.
    pub(crate) record_rate: TokenBucket,
    /// Numbers of done and running tasks of each job, for status requests.
    pub(crate) task_counts: BTreeMap<JobId, (u32, u32)>,
    /// When `task_counts` was computed.
    pub(crate) task_counts_at: Time,
    pub(crate) weights: Weights,
    pub(crate) forecast: Forecast,
    /// Capacity that the shard lacks and capacity that it can give up, for the leader.
    pub(crate) demand: CapacityDemand,
    pub(crate) next_plan: Time,
    /// Machine offers that the cloud currently refuses, as reported by the leader.
    pub(crate) refused_offers: BTreeSet<MachineOffer>,
    /// Images cached on machines, as reported by siblings.
    pub(crate) image_hints: ImageHints,
    /// Siblings that have asked for observations of the owned machines.
    pub(crate) listeners: BTreeSet<ControllerName>,
    /// Whether siblings need an update before the next regular exchange of updates.
    pub(crate) sibling_update_requested: bool,
    /// When the last heartbeat of any worker arrived.
    pub(crate) last_heartbeat: Time,
    /// Whether the process was paused and has not yet read the changes made in the meantime.
    pub(crate) catching_up: bool,
}

impl Shard {
    /// Creates an empty shard for the process `incarnation`; `image_hints` are the images cached on machines,
    /// as reported by siblings.
    pub fn new(config: &Rc<Config>, incarnation: u64, image_hints: ImageHints, now: Time) -> Self {
        let rate = write_rate_per_controller(config, config.controller_count());
        Self {
            config: config.clone(),
            incarnation,
            jobs: BTreeMap::new(),
            dependent_cancellations: DependentCancellations::default(),
            machines: BTreeMap::new(),
            teams: BTreeMap::new(),
            last_map_change: None,
            unsent_commands: BTreeSet::new(),
            uninspected_machines: BTreeSet::new(),
            changed_since_round: true,
            task_index: TaskIndex::default(),
            starts_in_flight: StartsInFlight::default(),
            starts_held_back: 0,
            unexpected_attempts: 0,
            limit_excesses: 0,
            decision_log: DecisionLog::new(now),
            unrecorded: UnrecordedJobs::default(),
            unreconciled_jobs: BTreeMap::new(),
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
            sibling_update_requested: false,
            last_heartbeat: Time::NEG_INFINITY,
            catching_up: false,
        }
    }

    /// Performs all steps that are due at the outbox's time. Each step relies on the ones before it:
    /// ownership comes first, then jobs, machines, placement, and the commands to machines.
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
        self.apply_changed_job_records(store, now, outbox.wall_ms);
        self.check_machines(store, catalog, now);
        self.reconcile_teams(store, now);
        self.record_progress(outbox);
        self.record_dependent_cancellations(outbox, store);
        self.place_when_due(outbox, store, catalog);
        self.count_running_tasks(now);
        self.send_direct_commands(outbox);
        self.log_shard_when_due(now);
    }

    /// Applies the job records that have changed in the store.
    fn apply_changed_job_records(&mut self, store: &mut StoreReplica, now: Time, wall_ms: u64) {
        for id in store.take_changed_jobs() {
            if let Some(stored) = store.job(&id) {
                let (record, version) = (stored.record.clone(), stored.version);
                self.apply_job_record(store, &id, &record, version, (now, wall_ms));
            }
        }
    }

    /// Checks machines for changes that no message triggers. The number of checks per lease is constant and
    /// does not grow with the number of events.
    fn check_machines(&mut self, store: &StoreReplica, catalog: &Catalog, now: Time) {
        if now < self.next_machine_check {
            return;
        }
        self.next_machine_check =
            now + self.config.deployment.workers.lease_s * MACHINE_CHECK_INTERVAL_LEASES;
        for machine in self.machines.values_mut() {
            if machine.total == Resources::default() && !machine.address.is_empty() {
                machine.set_type(catalog.types());
            }
            // Once another process of the same controller has registered, the earlier one has ended.
            let has_ended = |process: &ProcessId| {
                let registered = store.node(&process.node);
                registered.is_some_and(|key| key.record.incarnation != process.incarnation)
            };
            if machine.previous_owner.as_ref().is_some_and(has_ended) {
                machine.record_previous_owner_release(now);
            }
        }
        self.declare_unresponsive(store, now);
        self.expire_machines(store, now);
    }

    /// Runs a placement round if one is due. A round examines the whole shard, so changes that are close
    /// together share one round.
    fn place_when_due(&mut self, outbox: &mut Outbox, store: &StoreReplica, catalog: &Catalog) {
        let workers = &self.config.deployment.workers;
        let since_round = outbox.now - self.last_round;
        let is_due =
            self.changed_since_round && since_round >= workers.lease_s * MIN_ROUND_INTERVAL_LEASES;
        if !is_due && since_round <= workers.report_s * MAX_ROUND_INTERVAL_HEARTBEATS {
            return;
        }
        self.changed_since_round = false;
        self.last_round = outbox.now;
        self.rounds += 1;
        self.drain_reclaimed_machines(outbox.now);
        let mut usage = self.usage(store, outbox.wall_ms);
        self.watch_limits(&usage);
        self.schedule(outbox.now, &mut usage, catalog);
        self.write_grants(outbox, store, &usage);
    }

    /// Returns the work done so far.
    pub fn work_counts(&self) -> WorkCounts {
        WorkCounts {
            visits: self.visits,
            placement_rounds: self.rounds,
        }
    }

    /// Whether this shard owns any machine.
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

    /// Number of owned machines whose heartbeats a sibling has relayed at `since` or later.
    pub fn machines_relayed_since(&self, since: Time) -> usize {
        let owned = self.machines.values().filter(|machine| machine.is_owned);
        owned
            .filter(|machine| machine.last_relayed >= since)
            .count()
    }

    /// Records that a sibling has relayed a heartbeat of this machine, whose worker therefore cannot reach
    /// this controller.
    pub(crate) fn record_relayed_heartbeat(&mut self, id: &MachineId, now: Time) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.last_relayed = now;
        }
    }
}

#[cfg(test)]
mod tests;
