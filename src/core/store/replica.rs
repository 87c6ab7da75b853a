//! The local replica of the key-value store.
//!
//! It holds a copy of every key of the store, kept current by reading the changes since the last revision. The
//! same reads make user requests linearizable: an answer given after a read that was sent after the request
//! reflects every write before it, and one read serves all waiting requests.

mod apply;
mod final_states;
mod reads;

use crate::config::Config;
use crate::core::model::time::Time;
use crate::core::records::job_record::{JobRecord, TerminatingTasks};
use crate::core::records::process_record::ProcessRecord;
use crate::core::records::shard_map::{ShardMap, ShardMapChunk};
use crate::core::records::versioned::{StoredLedger, Versioned};
use crate::core::store::cancelled_jobs::{CancelledJobs, CancelledSince};
use crate::core::store::dependencies::{Dependencies, Urgency};
use crate::core::store::replica::reads::ReadSchedule;
use crate::ids::{ControllerName, FencingToken, JobId, Team, Version};
use crate::wire::{JobStatus, MachineTypes};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A copy of the store's records, with the indexes derived from them.
pub struct StoreReplica {
    jobs: BTreeMap<JobId, Versioned<Rc<JobRecord>>>,
    leader: Option<Versioned<ProcessRecord>>,
    machine_types: Option<Versioned<MachineTypes>>,
    nodes: BTreeMap<ControllerName, Versioned<ProcessRecord>>,
    map_chunks: BTreeMap<String, Versioned<ShardMapChunk>>,
    ledgers: BTreeMap<Team, StoredLedger>,
    /// The shard map of all chunks.
    shard_map: ShardMap,
    /// Number of changes of the shard map so far.
    shard_map_changes: u64,
    /// Jobs whose records changed since the shard last took them ([`StoreReplica::take_changed_jobs`]).
    changed_jobs: BTreeSet<JobId>,
    dependencies: Dependencies,
    /// Finished jobs by the version of their final record.
    final_states: BTreeSet<(Version, JobId)>,
    cancelled_jobs: CancelledJobs,
    /// Every final state up to here is known, from this process's reads or from a sibling.
    final_states_known: Version,
    revision: Version,
    /// The newest removal of each key other than a job's, so that an older put cannot restore the key.
    removed: BTreeMap<String, Version>,
    reads: ReadSchedule,
    /// Whether a full read has been completed since the changes were last lost.
    complete: bool,
    current_as_of: Time,
    last_answer: Time,
}

impl StoreReplica {
    /// An empty replica that has read nothing yet.
    pub fn new(config: &Config) -> Self {
        Self {
            jobs: BTreeMap::new(),
            leader: None,
            machine_types: None,
            nodes: BTreeMap::new(),
            map_chunks: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            shard_map: ShardMap::default(),
            shard_map_changes: 0,
            changed_jobs: BTreeSet::new(),
            dependencies: Dependencies::default(),
            final_states: BTreeSet::new(),
            cancelled_jobs: CancelledJobs::default(),
            final_states_known: 0,
            revision: 0,
            removed: BTreeMap::new(),
            reads: ReadSchedule::new(config.deployment.state.rps),
            complete: false,
            current_as_of: Time::NEG_INFINITY,
            last_answer: Time::NEG_INFINITY,
        }
    }

    /// Whether a full read has been completed: every key of the store is known as of some moment.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// The revision up to which all changes are known.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// When the last successful read was sent: every write committed before then is known.
    pub fn current_as_of(&self) -> Time {
        self.current_as_of
    }

    /// Sets the time that [`StoreReplica::current_as_of`] returns.
    #[cfg(test)]
    pub fn set_current_as_of(&mut self, time: Time) {
        self.current_as_of = time;
    }

    /// Sets the revision, as a read up to it would.
    #[cfg(test)]
    pub fn set_revision(&mut self, revision: Version) {
        self.revision = revision;
    }

    /// Notes that the store has answered a request of this controller.
    pub fn record_store_reply(&mut self, now: Time) {
        self.last_answer = now;
    }

    /// Seconds since the store last answered this controller.
    pub fn seconds_since_store_reply(&self, now: Time) -> Time {
        now - self.last_answer
    }

    /// All job records.
    pub fn jobs(&self) -> &BTreeMap<JobId, Versioned<Rc<JobRecord>>> {
        &self.jobs
    }

    /// The record of one job.
    pub fn job(&self, id: &JobId) -> Option<&Versioned<Rc<JobRecord>>> {
        self.jobs.get(id)
    }

    /// The leader's process.
    pub fn leader(&self) -> Option<&Versioned<ProcessRecord>> {
        self.leader.as_ref()
    }

    /// The machine types that the cloud offers.
    pub fn machine_types(&self) -> Option<&Versioned<MachineTypes>> {
        self.machine_types.as_ref()
    }

    /// The registered process of one controller.
    pub fn node(&self, node: &ControllerName) -> Option<&Versioned<ProcessRecord>> {
        self.nodes.get(node)
    }

    /// The registered processes of all controllers.
    pub fn nodes(&self) -> &BTreeMap<ControllerName, Versioned<ProcessRecord>> {
        &self.nodes
    }

    /// Whether this process, of this controller, is registered.
    pub fn is_registered(&self, node: &ControllerName, incarnation: u64) -> bool {
        self.node(node)
            .is_some_and(|process| process.record.incarnation == incarnation)
    }

    /// The stored chunks of the shard map by their keys.
    pub fn map_chunks(&self) -> &BTreeMap<String, Versioned<ShardMapChunk>> {
        &self.map_chunks
    }

    /// The shard map.
    pub fn shard_map(&self) -> &ShardMap {
        &self.shard_map
    }

    /// Number of changes of the shard map so far.
    pub fn shard_map_changes(&self) -> u64 {
        self.shard_map_changes
    }

    /// A revision at which every reader has the shard map as it is here. A write of this process to the map may
    /// be newer than the last read.
    pub fn map_revision(&self) -> Version {
        let newest = self.map_chunks.values().map(|chunk| chunk.version).max();
        newest.unwrap_or(0).max(self.revision)
    }

    /// A team's grant record.
    pub fn ledger(&self, team: &Team) -> Option<&StoredLedger> {
        self.ledgers.get(team)
    }

    /// The fencing token since which every owner of a team has kept to its grants, if known.
    pub fn grants_kept_since(&self, team: &Team) -> Option<FencingToken> {
        self.shard_map.grants_kept_since.get(team).copied()
    }

    /// Takes the jobs whose records changed, as far as the replica is current. A write of this process may be
    /// newer than the last read, and the shard map may have changed before that write: such a job has to wait, or
    /// its team's former owner could start it as well as the new one.
    pub fn take_changed_jobs(&mut self) -> BTreeSet<JobId> {
        let (jobs, revision) = (&self.jobs, self.revision);
        // A finished job only has to be stopped, so it need not wait.
        let ahead_of_reads = |id: &JobId| {
            jobs.get(id)
                .is_some_and(|job| job.version > revision && !job.record.is_final())
        };
        let changed = std::mem::take(&mut self.changed_jobs);
        let (waiting, changed) = changed.into_iter().partition(ahead_of_reads);
        self.changed_jobs = waiting;
        changed
    }

    /// Whether an unfinished job depends on a cancelled one, which makes it cancelled too.
    pub fn has_cancelled_dependency(&self, id: &JobId) -> bool {
        self.dependencies.has_cancelled_dependency(id)
    }

    /// Whether a job is cancelled, by its user or through a dependency.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        let recorded = self.jobs.get(id).map(|job| job.record.status);
        recorded == Some(JobStatus::Cancelled) || self.has_cancelled_dependency(id)
    }

    /// The urgency that a job inherits from the jobs that depend on it.
    pub fn inherited_urgency(&self, id: &JobId) -> Option<&Urgency> {
        self.dependencies.inherited_urgency(id)
    }

    /// Unfinished jobs that depend on this one directly.
    pub fn dependents(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependencies.dependents(id)
    }

    /// When the last of a job's dependencies was done, in milliseconds of wall-clock time; `None` while one is
    /// not done.
    pub fn dependencies_done_ms(&self, record: &JobRecord) -> Option<u64> {
        let dependencies = record.spec.iter().flat_map(|spec| &spec.dependencies);
        let mut latest = record.accepted_ms;
        for dependency in dependencies {
            let dependency = &self.jobs.get(dependency)?.record;
            if dependency.status != JobStatus::Done {
                return None;
            }
            // Older releases did not record the time.
            latest = latest.max(dependency.ended_ms.unwrap_or(dependency.accepted_ms));
        }
        Some(latest)
    }

    /// Cancelled jobs that may still have tasks on machines.
    pub fn cancelled_since(
        &self,
        since: CancelledSince,
    ) -> impl Iterator<Item = (&JobId, &TerminatingTasks)> {
        let ids = self.cancelled_jobs.since(since).into_iter();
        ids.filter_map(|id| {
            let record = &self.jobs.get(id)?.record;
            Some((id, record.terminating.as_ref()?))
        })
    }

    /// Whether a job may have been cancelled since then without a record of its team. A cancellation without a
    /// recorded time is older than `since` if a record written later is.
    pub fn has_unattributed_cancellation_since(&self, since: CancelledSince) -> bool {
        let Some(newest) = self.cancelled_jobs.newest_unattributed() else {
            return false;
        };
        let later = self.final_states.range(final_states::range_after(newest));
        let ended_ms = |id: &JobId| self.jobs.get(id).and_then(|job| job.record.ended_ms);
        let mut ended = later.filter_map(|(_, id)| ended_ms(id));
        newest > since.version || !ended.any(|at| at < since.wall_ms)
    }
}
