//! What this controller knows of the state service: a copy of every key of the service, kept up to
//! date by asking for the changes since the last revision. Asking is also how reads are made
//! linearizable: an answer given after a sync that was sent after the question is up to date,
//! and one sync serves every question that waits.

use crate::config::Config;
use crate::core::messages::final_states::FinalStates;
use crate::core::model::time::Time;
use crate::core::records::job_record::{JobRecord, TerminatingTasks};
use crate::core::records::keys::{
    JOB_PREFIX, LEADER_KEY, MAP_PREFIX, NODE_PREFIX, QUOTA_PREFIX, TYPES_KEY, node_key, quota_key,
};
use crate::core::records::process_record::ProcessRecord;
use crate::core::records::shard_map::{ShardMap, ShardMapChunk};
use crate::core::records::versioned::{StoredLedger, Versioned};
use crate::core::store::cancelled_jobs::{CancelledJobs, CancelledSince};
use crate::core::store::dependencies::{Dependencies, Urgency};
use crate::ids::{FencingToken, JobId, Node, Team, Version};
use crate::wire::{Change, JobStatus, MachineTypes, Write};
use quota_ledger::TeamLedger;
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Final states told at once.
pub(crate) const FINAL_STATES_PAGE: usize = 200;

pub struct StoreReplica {
    pub(crate) jobs: BTreeMap<JobId, Versioned<Rc<JobRecord>>>,
    pub(crate) leader: Option<Versioned<ProcessRecord>>,
    pub(crate) types: Option<Versioned<MachineTypes>>,
    pub(crate) nodes: BTreeMap<Node, Versioned<ProcessRecord>>,
    pub(crate) map: BTreeMap<String, Versioned<ShardMapChunk>>,
    pub(crate) ledgers: BTreeMap<Team, StoredLedger>,
    pub(crate) owners: ShardMap,
    /// Rises with every change of the map.
    pub(crate) map_changes: u64,
    /// Jobs whose records changed since the leader last looked.
    pub(crate) changed: BTreeSet<JobId>,
    pub(crate) dependencies: Dependencies,
    /// Jobs by the version of their final state.
    pub(crate) final_states: BTreeSet<(Version, JobId)>,
    pub(crate) cancelled: CancelledJobs,
    /// Every final state up to here is known: from our own syncs, or a sibling told.
    pub(crate) final_states_known: Version,
    pub(crate) revision: Version,
    /// Newest removal of any other key than a job's, so that an older put cannot bring it back.
    pub(crate) removed: BTreeMap<String, Version>,
    pub(crate) listing: Option<FullRead>,
    pub(crate) complete: bool,
    pub(crate) in_flight: bool,
    pub(crate) next_sync: Time,
    pub(crate) failures: u32,
    /// When the last successful sync was sent: everything before then is known.
    pub current_as_of: Time,
    pub(crate) state_ok: Time,
    pub(crate) interval: Time,
    pub(crate) spacing: Time,
    pub(crate) wanted: bool,
}

/// A full read in progress.
pub(crate) struct FullRead {
    pub(crate) after: Option<String>,
    pub(crate) revision: Version,
    pub(crate) sent: Time,
    pub(crate) keys: BTreeSet<String>,
}

impl StoreReplica {
    pub fn new(config: &Config) -> Self {
        // Of the state service's requests, each controller's syncs take at most 1/8 when users
        // wait and 1/30 when nobody does.
        let rps = config.deployment.state.rps;
        Self {
            jobs: BTreeMap::new(),
            leader: None,
            types: None,
            nodes: BTreeMap::new(),
            map: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            owners: ShardMap::default(),
            map_changes: 0,
            changed: BTreeSet::new(),
            dependencies: Dependencies::default(),
            final_states: BTreeSet::new(),
            cancelled: CancelledJobs::default(),
            final_states_known: 0,
            revision: 0,
            removed: BTreeMap::new(),
            listing: None,
            complete: false,
            in_flight: false,
            next_sync: 0.0,
            failures: 0,
            current_as_of: Time::NEG_INFINITY,
            state_ok: Time::NEG_INFINITY,
            interval: 30.0 / rps,
            spacing: 8.0 / rps,
            wanted: false,
        }
    }

    pub fn complete(&self) -> bool {
        self.complete
    }

    pub fn revision(&self) -> Version {
        self.revision
    }

    pub fn jobs(&self) -> &BTreeMap<JobId, Versioned<Rc<JobRecord>>> {
        &self.jobs
    }

    pub fn job(&self, id: &JobId) -> Option<&Versioned<Rc<JobRecord>>> {
        self.jobs.get(id)
    }

    pub fn leader(&self) -> Option<&Versioned<ProcessRecord>> {
        self.leader.as_ref()
    }

    pub fn types(&self) -> Option<&Versioned<MachineTypes>> {
        self.types.as_ref()
    }

    pub fn node(&self, node: &Node) -> Option<&Versioned<ProcessRecord>> {
        self.nodes.get(node)
    }

    /// Whether the key of this very process is there.
    pub fn is_registered(&self, node: &Node, incarnation: u64) -> bool {
        self.node(node)
            .is_some_and(|n| n.record.incarnation == incarnation)
    }

    pub fn nodes(&self) -> &BTreeMap<Node, Versioned<ProcessRecord>> {
        &self.nodes
    }

    pub fn map(&self) -> &BTreeMap<String, Versioned<ShardMapChunk>> {
        &self.map
    }

    pub fn owners(&self) -> &ShardMap {
        &self.owners
    }

    /// A team's record of grants.
    pub fn ledger(&self, team: &Team) -> Option<&StoredLedger> {
        self.ledgers.get(team)
    }

    /// Since which term every owner of a team has kept to its grants, if that is known.
    pub fn grants_kept_since(&self, team: &Team) -> Option<FencingToken> {
        self.owners.grants_kept_since.get(team).copied()
    }

    /// A revision at which everybody has seen the map as it is here. One of our own writes to it
    /// may be newer than the last sync.
    pub fn map_revision(&self) -> Version {
        let newest = self.map.values().map(|chunk| chunk.version).max();
        newest.unwrap_or(0).max(self.revision)
    }

    pub fn map_changes(&self) -> u64 {
        self.map_changes
    }

    /// Jobs whose records changed, as far as the view is current. One of our own writes may be
    /// newer than that, and the map may have changed before it: such a job has to wait, or its
    /// team's former owner could start it beside the new one.
    pub fn take_changed(&mut self) -> BTreeSet<JobId> {
        let (jobs, revision) = (&self.jobs, self.revision);
        // What is over only has to stop, so that need not wait.
        let early = |id: &JobId| {
            jobs.get(id)
                .is_some_and(|job| job.version > revision && !job.record.is_final())
        };
        let changed = std::mem::take(&mut self.changed);
        let (wait, changed) = changed.into_iter().partition(early);
        self.changed = wait;
        changed
    }

    pub fn state_answered(&mut self, now: Time) {
        self.state_ok = now;
    }

    /// How long the state service has not answered this controller.
    pub fn state_silence(&self, now: Time) -> Time {
        now - self.state_ok
    }

    /// Asks for a sync soon, because somebody waits for one.
    pub fn want_sync(&mut self) {
        self.wanted = true;
    }

    /// A sync has shown everything up to this revision.
    #[cfg(test)]
    pub fn read_up_to(&mut self, revision: Version) {
        self.revision = revision;
    }

    /// Takes up one committed write of our own without waiting for a sync.
    pub fn apply_write(&mut self, write: &Write, version: Version) {
        match write {
            Write::Put { key, value, .. } => self.put(key, value, version),
            Write::Delete { key } => self.remove(key, version),
        }
    }

    pub(crate) fn apply(&mut self, change: &Change) {
        if let Some(key) = &change.put {
            self.put(key, &change.value, change.version);
        } else if let Some(key) = &change.deleted {
            self.remove(key, change.version);
        }
    }

    pub(crate) fn put(&mut self, key: &str, value: &Value, version: Version) {
        if let Some(id) = key.strip_prefix(JOB_PREFIX) {
            let id = JobId::from(id);
            if self
                .jobs
                .get(&id)
                .is_some_and(|known| known.version >= version)
            {
                return;
            }
            let Ok(record) = JobRecord::deserialize(value) else {
                tracing::error!("unreadable record {key}");
                return;
            };
            return self.put_job(id, record, version);
        }
        if self
            .removed
            .get(key)
            .is_some_and(|removed| *removed >= version)
        {
            return;
        }
        if key == LEADER_KEY {
            put_newer(&mut self.leader, value, version);
        } else if key == TYPES_KEY {
            put_newer(&mut self.types, value, version);
        } else if let Some(node) = key.strip_prefix(NODE_PREFIX) {
            let node = Node::from(node);
            let mut snapshot = self.nodes.remove(&node);
            put_newer(&mut snapshot, value, version);
            if let Some(record) = snapshot {
                self.nodes.insert(node, record);
            }
        } else if key.starts_with(MAP_PREFIX) {
            let mut snapshot = self.map.remove(key);
            put_newer(&mut snapshot, value, version);
            if let Some(chunk) = snapshot {
                self.map.insert(key.to_owned(), chunk);
            }
            self.map_changed();
        } else if let Some(team) = key.strip_prefix(QUOTA_PREFIX) {
            self.put_ledger(Team::from(team), value, version);
        }
    }

    pub(crate) fn put_ledger(&mut self, team: Team, value: &Value, version: Version) {
        if self
            .ledgers
            .get(&team)
            .is_some_and(|known| known.version >= version)
        {
            return;
        }
        // Logged once for each stored value; the team falls back to what holds without a record.
        let ledger = TeamLedger::decode(value)
            .inspect_err(|error| tracing::error!("grants of team {team}: {error}"))
            .ok();
        self.ledgers.insert(team, StoredLedger { version, ledger });
    }

    pub(crate) fn put_job(&mut self, id: JobId, record: JobRecord, version: Version) {
        if self
            .jobs
            .get(&id)
            .is_some_and(|known| known.version >= version)
        {
            return;
        }
        if record.is_final() {
            self.final_states.insert((version, id.clone()));
            self.cancelled.take(&id, &record, version);
        }
        let jobs = &self.jobs;
        let job = |id: &JobId| jobs.get(id).map(|job| &*job.record);
        self.dependencies
            .take(&id, job(&id), &record, job, &mut self.changed);
        self.changed.insert(id.clone());
        self.jobs.insert(
            id,
            Versioned {
                version,
                record: Rc::new(record),
            },
        );
    }

    /// Whether a job that is not over needs one that is cancelled: it is as cancelled as that.
    pub fn dependency_cancelled(&self, id: &JobId) -> bool {
        self.dependencies.dependency_cancelled(id)
    }

    /// Whether a job is cancelled, by its user or with one that it needs.
    pub fn cancelled(&self, id: &JobId) -> bool {
        let recorded = self.jobs.get(id).map(|job| job.record.status);
        recorded == Some(JobStatus::Cancelled) || self.dependency_cancelled(id)
    }

    /// What those that need a job ask of it.
    pub fn inherited(&self, id: &JobId) -> Option<&Urgency> {
        self.dependencies.inherited(id)
    }

    /// Unfinished jobs that need this one directly.
    pub fn dependents(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependencies.dependents(id)
    }

    /// When the last of a job's dependencies was done, by the time of day: None while one is not.
    pub fn ready_ms(&self, record: &JobRecord) -> Option<u64> {
        let needed = record.spec.iter().flat_map(|spec| &spec.dependencies);
        let mut latest = record.accepted_ms;
        for needed in needed {
            let needed = &self
                .jobs
                .get(needed)
                .filter(|n| n.record.status == JobStatus::Done)?
                .record;
            // An older version did not record the time.
            latest = latest.max(needed.ended_ms.unwrap_or(needed.accepted_ms));
        }
        Some(latest)
    }

    /// Up to where this view knows every final state.
    pub fn final_states_known(&self) -> Version {
        self.final_states_known.max(self.revision)
    }

    /// What this view knows of final states after `from`, a page of it.
    pub fn final_states_after(&self, from: Version) -> FinalStates {
        let mut final_states = FinalStates {
            upto: self.revision,
            complete: true,
            jobs: Vec::new(),
        };
        for (version, id) in self.final_states.range((from + 1, JobId::from(""))..) {
            // States of one transaction share a version, and go together.
            let last = final_states.jobs.last().map(|(_, version, _)| *version);
            if final_states.jobs.len() >= FINAL_STATES_PAGE && last != Some(*version) {
                final_states.upto = self.revision.min(last.unwrap_or(from));
                final_states.complete = false;
                break;
            }
            if let Some(job) = self.jobs.get(id) {
                final_states
                    .jobs
                    .push((id.clone(), *version, (*job.record).clone()));
            }
        }
        final_states
    }

    /// Cancelled jobs that may still have tasks on machines.
    pub fn cancelled_since(
        &self,
        since: CancelledSince,
    ) -> impl Iterator<Item = (&JobId, &TerminatingTasks)> {
        self.cancelled.since(since).into_iter().filter_map(|id| {
            let record = &self.jobs.get(id)?.record;
            Some((id, record.terminating.as_ref()?))
        })
    }

    /// Whether a job may have been cancelled since then of which it is not known whose it was. One
    /// whose time is not recorded is older than that if a later record is.
    pub fn undescribed_cancellation_since(&self, since: CancelledSince) -> bool {
        let Some(newest) = self.cancelled.newest_undescribed() else {
            return false;
        };
        let later = self.final_states.range((newest + 1, JobId::from(""))..);
        let ended_ms = |id: &JobId| self.jobs.get(id).and_then(|job| job.record.ended_ms);
        let mut ended = later.filter_map(|(_, id)| ended_ms(id));
        newest > since.version || !ended.any(|at| at < since.wall_ms)
    }

    /// Takes up what a sibling knows of final states.
    pub fn take_final_states(&mut self, final_states: FinalStates) {
        for (id, version, record) in final_states.jobs {
            if record.is_final() {
                self.put_job(id, record, version);
            }
        }
        self.final_states_known = self.final_states_known.max(final_states.upto);
    }

    pub(crate) fn remove(&mut self, key: &str, version: Version) {
        if key == LEADER_KEY {
            self.leader.take_if(|known| known.version <= version);
        } else if let Some(node) = key.strip_prefix(NODE_PREFIX) {
            let node = Node::from(node);
            if self
                .nodes
                .get(&node)
                .is_some_and(|known| known.version <= version)
            {
                self.nodes.remove(&node);
            }
        } else if key.starts_with(MAP_PREFIX) {
            if self
                .map
                .get(key)
                .is_some_and(|known| known.version <= version)
            {
                self.map.remove(key);
                self.map_changed();
            }
        } else if let Some(team) = key.strip_prefix(QUOTA_PREFIX).map(Team::from) {
            if self
                .ledgers
                .get(&team)
                .is_some_and(|known| known.version <= version)
            {
                self.ledgers.remove(&team);
            }
        } else {
            return;
        }
        self.removed.insert(key.to_owned(), version);
    }

    pub(crate) fn map_changed(&mut self) {
        self.map_changes += 1;
        self.owners = ShardMap::read(self.map.values().map(|chunk| &chunk.record));
    }

    /// After a full read: what was not in it is gone, unless it was written since.
    pub(crate) fn remove_unlisted(&mut self, listed: &BTreeSet<String>, revision: Version) {
        let mut gone: Vec<String> = self.map.keys().cloned().collect();
        gone.push(LEADER_KEY.to_owned());
        gone.extend(self.nodes.keys().map(node_key));
        gone.extend(self.ledgers.keys().filter_map(quota_key));
        gone.retain(|key| !listed.contains(key));
        for key in gone {
            self.remove(&key, revision);
        }
    }
}

pub(crate) fn put_newer<T: for<'de> Deserialize<'de>>(
    snapshot: &mut Option<Versioned<T>>,
    value: &Value,
    version: Version,
) {
    if snapshot
        .as_ref()
        .is_none_or(|known| known.version < version)
        && let Ok(record) = T::deserialize(value)
    {
        *snapshot = Some(Versioned { version, record });
    }
}

#[cfg(test)]
mod tests;
