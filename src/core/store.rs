//! What this controller knows of the state service: a copy of every key of the service, kept up to
//! date by asking for the changes since the last revision. Asking is also how reads are made
//! linearizable: an answer given after a sync that was sent after the question is up to date,
//! and one sync serves every question that waits.

use super::cancelled::{CancelledJobs, CancelledSince};
use super::dependencies::{Dependencies, Urgency};
use super::machine_claims::MachineClaim;
use super::outbox::Pending;
use super::ownership::Process;
use super::part_map::{ShardMap, ShardMapChunk};
use super::placement::Resources;
use super::ranges::Ranges;
use super::{Core, StoreCall, StoreReply, Time};
use crate::config::Config;
use crate::ids::{FencingToken, JobId, Node, Team, Version};
use crate::wire::{Change, JobSpec, JobStatus, MachineTypes, Precondition, Write};
use quota_ledger::TeamLedger;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// All keys of the service start with this.
pub const ROOT: &str = "ochredrum/";
pub const LEADER_KEY: &str = "ochredrum/leader";
/// The machine types, as the cloud last told.
pub const TYPES_KEY: &str = "ochredrum/types";
const NODE_PREFIX: &str = "ochredrum/node/";
pub const MAP_PREFIX: &str = "ochredrum/map/";
const JOB_PREFIX: &str = "ochredrum/job/";
const QUOTA_PREFIX: &str = "ochredrum/quota/";
/// Bytes of a key at most.
const LONGEST_KEY: usize = 200;

pub fn node_key(node: &Node) -> String {
    format!("{NODE_PREFIX}{node}")
}

pub fn job_key(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Where a team's grants are stored; None if its name can't be part of a key.
pub fn quota_key(team: &Team) -> Option<String> {
    let key = format!("{QUOTA_PREFIX}{team}");
    let valid = key.len() <= LONGEST_KEY && !key.contains(char::is_whitespace);
    valid.then_some(key)
}

/// A job as known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredJob", into = "StoredJob")]
pub struct JobRecord {
    #[serde(rename = "stance")]
    pub status: JobStatus,
    /// When it was accepted, by the accepting controller's time of day.
    pub accepted_ms: u64,
    pub tasks: u32,
    pub done: Ranges,
    /// Final states do without, so that keeping them for ever costs little.
    pub spec: Option<Rc<JobSpec>>,
    /// When it was done or cancelled, by the time of day of who wrote so.
    pub ended_ms: Option<u64>,
    /// Of a cancelled job: what its tasks take until they have gone, for so long they count towards
    /// their team's limit.
    #[serde(rename = "leaving")]
    pub terminating: Option<TerminatingTasks>,
}

/// A job as stored.
#[derive(Clone, Serialize, Deserialize)]
struct StoredJob {
    #[serde(rename = "s")]
    status: JobStatus,
    #[serde(rename = "at")]
    accepted_ms: u64,
    #[serde(rename = "n")]
    tasks: u32,
    #[serde(rename = "d", default, skip_serializing_if = "Ranges::is_empty")]
    done: Ranges,
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    spec: Option<Rc<JobSpec>>,
    /// In place of `j` if it has dependencies. To a version that doesn't know them the job is one
    /// without a description: it answers for it and cancels it, but never starts or rewrites it.
    #[serde(rename = "jd", default, skip_serializing_if = "Option::is_none")]
    dependent: Option<Rc<JobSpec>>,
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    ended_ms: Option<u64>,
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    terminating: Option<TerminatingTasks>,
}

impl From<StoredJob> for JobRecord {
    fn from(stored: StoredJob) -> Self {
        let StoredJob {
            status,
            accepted_ms,
            tasks,
            done,
            ended_ms,
            terminating,
            ..
        } = stored;
        let spec = stored.spec.or(stored.dependent);
        Self {
            status,
            accepted_ms,
            tasks,
            done,
            spec,
            ended_ms,
            terminating,
        }
    }
}

impl From<JobRecord> for StoredJob {
    fn from(record: JobRecord) -> Self {
        let JobRecord {
            status,
            accepted_ms,
            tasks,
            done,
            spec,
            ended_ms,
            terminating,
        } = record;
        let (dependent, spec) = match spec {
            Some(spec) if !spec.dependencies.is_empty() => (Some(spec), None),
            spec => (None, spec),
        };
        Self {
            status,
            accepted_ms,
            tasks,
            done,
            spec,
            dependent,
            ended_ms,
            terminating,
        }
    }
}

/// What may be left of a cancelled job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TerminatingTasks {
    #[serde(rename = "t")]
    pub team: Team,
    #[serde(rename = "n")]
    pub tasks: u32,
    #[serde(rename = "r")]
    pub need: Resources,
}

impl JobRecord {
    pub fn is_final(&self) -> bool {
        matches!(self.status, JobStatus::Done | JobStatus::Cancelled)
    }

    pub fn done(&self, wall_ms: u64) -> Self {
        let (done, ended_ms) = (Ranges::default(), Some(wall_ms));
        Self {
            status: JobStatus::Done,
            done,
            spec: None,
            ended_ms,
            ..self.clone()
        }
    }

    pub fn cancelled(&self, wall_ms: u64) -> Self {
        let terminating = self.spec.as_ref().map(|spec| TerminatingTasks {
            team: spec.team.clone(),
            tasks: self.tasks.saturating_sub(self.done.len()),
            need: Resources::of(spec),
        });
        Self {
            status: JobStatus::Cancelled,
            terminating,
            ..self.done(wall_ms)
        }
    }

    /// Cancelled with what it needs: that was never done, so none of its tasks ever began.
    pub fn cancelled_unstarted(&self, wall_ms: u64) -> Self {
        let mut record = self.cancelled(wall_ms);
        record
            .terminating
            .iter_mut()
            .for_each(|terminating| terminating.tasks = 0);
        record
    }
}

/// Final states that a controller knows beyond those that another one asked from.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinalStates {
    /// Who takes these in knows all up to here.
    pub upto: Version,
    /// Nothing that its sender knew is left out.
    pub complete: bool,
    pub jobs: Vec<(JobId, Version, JobRecord)>,
}

/// Final states told at once.
const FINAL_STATES_PAGE: usize = 200;

/// A controller's process, as its own key and the leader's key name it. Both hang on its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessRecord {
    pub node: Node,
    pub incarnation: u64,
    pub lease: u64,
    /// It starts nothing of a limited team beyond its grant, once its team has a record of grants.
    #[serde(rename = "quota", default, skip_serializing_if = "std::ops::Not::not")]
    pub keeps_grants: bool,
    /// Processes whose share it lets be handed on, told here as it does not hear the leader
    /// ([`super::ownership`]).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub consents: Vec<Process>,
    /// Machines that the leader is to give to it ([`super::machine_claims`]).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<MachineClaim>,
}

/// A team's record of grants as it is stored.
#[derive(Clone, Debug)]
pub struct StoredLedger {
    pub version: Version,
    /// None if what is stored is no valid record.
    pub ledger: Option<TeamLedger>,
}

#[derive(Clone, Debug)]
pub struct Versioned<T> {
    pub version: Version,
    pub record: T,
}

pub struct StoreReplica {
    jobs: BTreeMap<JobId, Versioned<Rc<JobRecord>>>,
    leader: Option<Versioned<ProcessRecord>>,
    types: Option<Versioned<MachineTypes>>,
    nodes: BTreeMap<Node, Versioned<ProcessRecord>>,
    map: BTreeMap<String, Versioned<ShardMapChunk>>,
    ledgers: BTreeMap<Team, StoredLedger>,
    owners: ShardMap,
    /// Rises with every change of the map.
    map_changes: u64,
    /// Jobs whose records changed since the leader last looked.
    changed: BTreeSet<JobId>,
    dependencies: Dependencies,
    /// Jobs by the version of their final state.
    final_states: BTreeSet<(Version, JobId)>,
    cancelled: CancelledJobs,
    /// Every final state up to here is known: from our own syncs, or a sibling told.
    final_states_known: Version,
    revision: Version,
    /// Newest removal of any other key than a job's, so that an older put cannot bring it back.
    removed: BTreeMap<String, Version>,
    listing: Option<FullRead>,
    complete: bool,
    in_flight: bool,
    next_sync: Time,
    failures: u32,
    /// When the last successful sync was sent: everything before then is known.
    pub current_as_of: Time,
    state_ok: Time,
    interval: Time,
    spacing: Time,
    wanted: bool,
}

/// A full read in progress.
struct FullRead {
    after: Option<String>,
    revision: Version,
    sent: Time,
    keys: BTreeSet<String>,
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

    fn apply(&mut self, change: &Change) {
        if let Some(key) = &change.put {
            self.put(key, &change.value, change.version);
        } else if let Some(key) = &change.deleted {
            self.remove(key, change.version);
        }
    }

    fn put(&mut self, key: &str, value: &Value, version: Version) {
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

    fn put_ledger(&mut self, team: Team, value: &Value, version: Version) {
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

    fn put_job(&mut self, id: JobId, record: JobRecord, version: Version) {
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

    fn remove(&mut self, key: &str, version: Version) {
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

    fn map_changed(&mut self) {
        self.map_changes += 1;
        self.owners = ShardMap::read(self.map.values().map(|chunk| &chunk.record));
    }

    /// After a full read: what was not in it is gone, unless it was written since.
    fn remove_unlisted(&mut self, listed: &BTreeSet<String>, revision: Version) {
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

fn put_newer<T: for<'de> Deserialize<'de>>(
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

pub fn precondition(key: &str, version: Version) -> Precondition {
    Precondition {
        key: key.to_owned(),
        version,
    }
}

pub fn put<T: Serialize>(key: &str, record: &T, lease: Option<u64>) -> Write {
    let value = serde_json::to_value(record).unwrap_or_default();
    Write::Put {
        key: key.to_owned(),
        value,
        lease,
    }
}

impl Core {
    pub(super) fn sync_when_due(&mut self) {
        let store = &mut self.store;
        let now = self.outbox.now;
        if store.in_flight || now < store.next_sync || !self.outbox.may_read() {
            return;
        }
        if !store.wanted && store.listing.is_none() && now < store.next_sync + store.interval {
            return;
        }
        store.wanted = false;
        store.in_flight = true;
        let call = match &store.listing {
            Some(listing) => StoreCall::List {
                prefix: ROOT,
                from: listing.after.clone(),
            },
            None if !store.complete => StoreCall::List {
                prefix: ROOT,
                from: None,
            },
            None => StoreCall::Changes {
                prefix: ROOT,
                from: store.revision,
            },
        };
        self.outbox.state(Pending::Sync { sent: now }, call);
    }

    pub(super) fn synced(&mut self, sent: Time, reply: StoreReply) {
        let now = self.outbox.now;
        let store = &mut self.store;
        store.in_flight = false;
        store.next_sync = now + store.spacing;
        match reply {
            StoreReply::Changes(changes) if store.complete => {
                for change in &changes.events {
                    store.apply(change);
                }
                store.revision = store.revision.max(changes.revision);
                store.current_as_of = sent;
                store.failures = 0;
            }
            StoreReply::Listing(page) => {
                let listing = store.listing.get_or_insert_with(|| FullRead {
                    after: None,
                    revision: page.revision,
                    sent,
                    keys: BTreeSet::new(),
                });
                listing.after = page.entries.last().map(|entry| entry.key.clone());
                listing
                    .keys
                    .extend(page.entries.iter().map(|entry| entry.key.clone()));
                for entry in &page.entries {
                    store.put(&entry.key, &entry.value, entry.version);
                }
                if !page.more
                    && let Some(listing) = store.listing.take()
                {
                    // Later pages are newer than the first; changes since it are read next.
                    store.remove_unlisted(&listing.keys, listing.revision);
                    store.revision = listing.revision;
                    store.current_as_of = listing.sent;
                    store.complete = true;
                }
                store.failures = 0;
                store.wanted = true;
            }
            StoreReply::TooOld => {
                store.complete = false;
                store.listing = None;
            }
            _ => {
                store.failures = (store.failures + 1).min(5);
                let pause = store.spacing * f64::from(1 << store.failures);
                store.next_sync = now + self.outbox.jitter(pause);
                store.wanted = true;
            }
        }
        self.resume_user_requests();
    }
}

#[cfg(test)]
mod tests;
