//! The local replica of the key-value store.
//!
//! The replica holds a copy of every key of the store and stays current by reading the changes since its last
//! revision. The same reads make user requests linearizable: a request is answered after a read that was sent
//! after the request arrived, so the answer reflects every earlier write. One read serves all waiting
//! requests.

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
    /// The shard map, assembled from `map_chunks`.
    shard_map: ShardMap,
    /// Number of times that the shard map was assembled so far.
    shard_map_changes: u64,
    /// Whether `map_chunks` changed since the shard map was assembled.
    shard_map_is_stale: bool,
    /// Jobs whose records changed since the last call of [`StoreReplica::take_changed_jobs`].
    changed_jobs: BTreeSet<JobId>,
    dependencies: Dependencies,
    /// Finished jobs, ordered by the version of their final record.
    final_states: BTreeSet<(Version, JobId)>,
    cancelled_jobs: CancelledJobs,
    /// Every final state up to this version is known from a sibling's messages.
    final_states_known: Version,
    /// All changes up to this revision have been read.
    revision: Version,
    /// The version of the newest removal of each key, so that an older put cannot restore the key. Job
    /// records are never removed.
    removed: BTreeMap<String, Version>,
    reads: ReadSchedule,
    /// Whether a full read has finished since the store last discarded changes that were not yet read.
    complete: bool,
    current_as_of: Time,
    last_store_reply: Time,
}

impl StoreReplica {
    /// Creates an empty replica, which starts with a full read.
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
            shard_map_is_stale: false,
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
            last_store_reply: Time::NEG_INFINITY,
        }
    }

    /// Whether a full read has finished, so that the replica holds every key of the store.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// The store revision up to which the replica has read all changes.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// When the last successful read was sent. The replica has every write that was committed before this
    /// time.
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

    /// Records that the store has replied to this controller.
    pub fn record_store_reply(&mut self, now: Time) {
        self.last_store_reply = now;
    }

    /// Seconds since the store last replied to this controller.
    pub fn seconds_since_store_reply(&self, now: Time) -> Time {
        now - self.last_store_reply
    }

    /// The records of all jobs, finished ones included.
    pub fn jobs(&self) -> &BTreeMap<JobId, Versioned<Rc<JobRecord>>> {
        &self.jobs
    }

    /// The record of a job, with its version.
    pub fn job(&self, id: &JobId) -> Option<&Versioned<Rc<JobRecord>>> {
        self.jobs.get(id)
    }

    /// The process that holds the leader key. `None` if the key does not exist.
    pub fn leader(&self) -> Option<&Versioned<ProcessRecord>> {
        self.leader.as_ref()
    }

    /// The stored machine types of the cloud. `None` before they are first stored.
    pub fn machine_types(&self) -> Option<&Versioned<MachineTypes>> {
        self.machine_types.as_ref()
    }

    /// The process that a controller has registered.
    pub fn node(&self, node: &ControllerName) -> Option<&Versioned<ProcessRecord>> {
        self.nodes.get(node)
    }

    /// The registered process of each controller.
    pub fn nodes(&self) -> &BTreeMap<ControllerName, Versioned<ProcessRecord>> {
        &self.nodes
    }

    /// Whether `incarnation` is the registered process of the controller `node`.
    pub fn is_registered(&self, node: &ControllerName, incarnation: u64) -> bool {
        self.node(node)
            .is_some_and(|process| process.record.incarnation == incarnation)
    }

    /// The stored chunks of the shard map by their keys.
    pub fn map_chunks(&self) -> &BTreeMap<String, Versioned<ShardMapChunk>> {
        &self.map_chunks
    }

    /// The shard map, assembled from its chunks.
    pub fn shard_map(&self) -> &ShardMap {
        &self.shard_map
    }

    /// Number of times that the shard map was assembled so far, once for all changes of a read or of a
    /// transaction. A different number means that the map changed.
    pub fn shard_map_changes(&self) -> u64 {
        self.shard_map_changes
    }

    /// The revision of the store that the shard map reflects: that of the last read, or the version of the
    /// newest chunk if that is newer, as after a write of this process.
    pub fn map_revision(&self) -> Version {
        let newest = self.map_chunks.values().map(|chunk| chunk.version).max();
        newest.unwrap_or(0).max(self.revision)
    }

    /// The stored grant record of a team.
    pub fn ledger(&self, team: &Team) -> Option<&StoredLedger> {
        self.ledgers.get(team)
    }

    /// The fencing token since which every owner of a team has complied with its grants. `None` if unknown.
    pub fn grants_kept_since(&self, team: &Team) -> Option<FencingToken> {
        self.shard_map.grants_kept_since.get(team).copied()
    }

    /// Takes the jobs whose records changed. A job that [`Self::is_ahead_of_reads`] stays until a read has
    /// reached it.
    pub fn take_changed_jobs(&mut self) -> BTreeSet<JobId> {
        let changed = std::mem::take(&mut self.changed_jobs);
        let (waiting, changed) = changed
            .into_iter()
            .partition(|id| self.is_ahead_of_reads(id));
        self.changed_jobs = waiting;
        changed
    }

    /// Whether this process knows an unfinished job, or the end of one of its dependencies, only by its own
    /// writes. The shard map may have changed before these writes. The former owner of the team could then start
    /// a job that the new owner does not count.
    pub fn is_ahead_of_reads(&self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id).filter(|job| !job.record.is_final()) else {
            return false;
        };
        let is_ahead = |version: Version| version > self.revision;
        let mut dependencies = job.record.spec.iter().flat_map(|spec| &spec.dependencies);
        is_ahead(job.version)
            || dependencies.any(|id| self.jobs.get(id).is_some_and(|job| is_ahead(job.version)))
    }

    /// Whether an unfinished job has a cancelled dependency and therefore counts as cancelled.
    pub fn has_cancelled_dependency(&self, id: &JobId) -> bool {
        self.dependencies.has_cancelled_dependency(id)
    }

    /// Whether a job is cancelled, by its own record or through a dependency.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        let recorded = self.jobs.get(id).map(|job| job.record.status);
        recorded == Some(JobStatus::Cancelled) || self.has_cancelled_dependency(id)
    }

    /// Passes the urgency of newly read jobs on to the jobs that they need. During a full read this waits for
    /// the last page, since a page may list jobs before their dependencies.
    pub fn update_inherited_urgency(&mut self) {
        if !self.complete {
            return;
        }
        let jobs = &self.jobs;
        let job = |id: &JobId| jobs.get(id).map(|job| &*job.record);
        self.dependencies
            .propagate_urgency(job, &mut self.changed_jobs);
    }

    /// Number of jobs and dependencies examined so far to derive what jobs inherit from others.
    pub fn dependency_visits(&self) -> u64 {
        self.dependencies.visits()
    }

    /// The urgency that a job inherits from its dependents. `None` if it has had no dependents.
    pub fn inherited_urgency(&self, id: &JobId) -> Option<&Urgency> {
        self.dependencies.inherited_urgency(id)
    }

    /// The unfinished jobs that depend directly on this job.
    pub fn dependents(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependencies.dependents(id)
    }

    /// The wall-clock time in milliseconds since which a job can run: it has been accepted and all of its
    /// dependencies are done. `None` while a dependency is not done.
    pub fn runnable_since_ms(&self, record: &JobRecord) -> Option<u64> {
        let dependencies = record.spec.iter().flat_map(|spec| &spec.dependencies);
        let mut latest = record.accepted_ms;
        for dependency in dependencies {
            let dependency = &self.jobs.get(dependency)?.record;
            if dependency.status != JobStatus::Done {
                return None;
            }
            // Earlier releases did not record when a job ended.
            latest = latest.max(dependency.ended_ms.unwrap_or(dependency.accepted_ms));
        }
        Some(latest)
    }

    /// The jobs that match either bound of `since` and may still have tasks on machines.
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

    /// Whether a cancelled job may match `since` although its record lacks the time or the team. It was
    /// cancelled before `since.wall_ms` if a job whose final record is newer ended before that time.
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

#[cfg(test)]
mod tests;
