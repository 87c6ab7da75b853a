//! What this controller knows of the state service: a copy of every key of the service, kept up to
//! date by asking for the changes since the last revision. Asking is also how reads are made
//! linearizable: an answer given after a sync that was sent after the question is up to date,
//! and one sync serves every question that waits.

use super::authority::Process;
use super::cancelled::{CancelledJobs, Since};
use super::dependencies::{Dependencies, Urgency};
use super::io::Pending;
use super::machine_claims::MachineClaim;
use super::part_map::{MapChunk, Owners};
use super::placement::Resources;
use super::ranges::Ranges;
use super::{Core, StateCall, StateReply, Time};
use crate::config::Config;
use crate::ids::{JobId, Node, Team, Term, Version};
use crate::wire::{Change, Guard, JobSpec, JobStatus, MachineTypes, Write};
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
    pub stance: JobStatus,
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
    pub leaving: Option<Leaving>,
}

/// A job as stored.
#[derive(Clone, Serialize, Deserialize)]
struct StoredJob {
    #[serde(rename = "s")]
    stance: JobStatus,
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
    leaving: Option<Leaving>,
}

impl From<StoredJob> for JobRecord {
    fn from(stored: StoredJob) -> Self {
        let StoredJob {
            stance,
            accepted_ms,
            tasks,
            done,
            ended_ms,
            leaving,
            ..
        } = stored;
        let spec = stored.spec.or(stored.dependent);
        Self {
            stance,
            accepted_ms,
            tasks,
            done,
            spec,
            ended_ms,
            leaving,
        }
    }
}

impl From<JobRecord> for StoredJob {
    fn from(record: JobRecord) -> Self {
        let JobRecord {
            stance,
            accepted_ms,
            tasks,
            done,
            spec,
            ended_ms,
            leaving,
        } = record;
        let (dependent, spec) = match spec {
            Some(spec) if !spec.dependencies.is_empty() => (Some(spec), None),
            spec => (None, spec),
        };
        Self {
            stance,
            accepted_ms,
            tasks,
            done,
            spec,
            dependent,
            ended_ms,
            leaving,
        }
    }
}

/// What may be left of a cancelled job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leaving {
    #[serde(rename = "t")]
    pub team: Team,
    #[serde(rename = "n")]
    pub tasks: u32,
    #[serde(rename = "r")]
    pub need: Resources,
}

impl JobRecord {
    pub fn is_final(&self) -> bool {
        matches!(self.stance, JobStatus::Done | JobStatus::Cancelled)
    }

    pub fn done(&self, wall_ms: u64) -> Self {
        let (done, ended_ms) = (Ranges::default(), Some(wall_ms));
        Self {
            stance: JobStatus::Done,
            done,
            spec: None,
            ended_ms,
            ..self.clone()
        }
    }

    pub fn cancelled(&self, wall_ms: u64) -> Self {
        let leaving = self.spec.as_ref().map(|spec| Leaving {
            team: spec.team.clone(),
            tasks: self.tasks.saturating_sub(self.done.len()),
            need: Resources::of(spec),
        });
        Self {
            stance: JobStatus::Cancelled,
            leaving,
            ..self.done(wall_ms)
        }
    }

    /// Cancelled with what it needs: that was never done, so none of its tasks ever began.
    pub fn cancelled_unstarted(&self, wall_ms: u64) -> Self {
        let mut record = self.cancelled(wall_ms);
        record
            .leaving
            .iter_mut()
            .for_each(|leaving| leaving.tasks = 0);
        record
    }
}

/// Final states that a controller knows beyond those that another one asked from.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Finals {
    /// Who takes these in knows all up to here.
    pub upto: Version,
    /// Nothing that its sender knew is left out.
    pub complete: bool,
    pub jobs: Vec<(JobId, Version, JobRecord)>,
}

/// Final states told at once.
const FINALS_PAGE: usize = 200;

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
    /// ([`super::authority`]).
    #[serde(rename = "consents", default, skip_serializing_if = "Vec::is_empty")]
    pub consents: Vec<Process>,
    /// Machines that the leader is to give to it ([`super::machine_claims`]).
    #[serde(rename = "claims", default, skip_serializing_if = "Vec::is_empty")]
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

pub struct View {
    jobs: BTreeMap<JobId, Versioned<Rc<JobRecord>>>,
    leader: Option<Versioned<ProcessRecord>>,
    types: Option<Versioned<MachineTypes>>,
    nodes: BTreeMap<Node, Versioned<ProcessRecord>>,
    map: BTreeMap<String, Versioned<MapChunk>>,
    ledgers: BTreeMap<Team, StoredLedger>,
    owners: Owners,
    /// Rises with every change of the map.
    map_changes: u64,
    /// Jobs whose records changed since the leader last looked.
    changed: BTreeSet<JobId>,
    dependencies: Dependencies,
    /// Jobs by the version of their final state.
    finals: BTreeSet<(Version, JobId)>,
    cancelled: CancelledJobs,
    /// Every final state up to here is known: from our own syncs, or a sibling told.
    finals_known: Version,
    revision: Version,
    /// Newest removal of any other key than a job's, so that an older put cannot bring it back.
    removed: BTreeMap<String, Version>,
    listing: Option<Relisting>,
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
struct Relisting {
    after: Option<String>,
    revision: Version,
    sent: Time,
    keys: BTreeSet<String>,
}

impl View {
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
            owners: Owners::default(),
            map_changes: 0,
            changed: BTreeSet::new(),
            dependencies: Dependencies::default(),
            finals: BTreeSet::new(),
            cancelled: CancelledJobs::default(),
            finals_known: 0,
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

    pub fn map(&self) -> &BTreeMap<String, Versioned<MapChunk>> {
        &self.map
    }

    pub fn owners(&self) -> &Owners {
        &self.owners
    }

    /// A team's record of grants.
    pub fn ledger(&self, team: &Team) -> Option<&StoredLedger> {
        self.ledgers.get(team)
    }

    /// Since which term every owner of a team has kept to its grants, if that is known.
    pub fn grants_kept_since(&self, team: &Team) -> Option<Term> {
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
            let mut slot = self.nodes.remove(&node);
            put_newer(&mut slot, value, version);
            if let Some(record) = slot {
                self.nodes.insert(node, record);
            }
        } else if key.starts_with(MAP_PREFIX) {
            let mut slot = self.map.remove(key);
            put_newer(&mut slot, value, version);
            if let Some(chunk) = slot {
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
            self.finals.insert((version, id.clone()));
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
        let recorded = self.jobs.get(id).map(|job| job.record.stance);
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
                .filter(|n| n.record.stance == JobStatus::Done)?
                .record;
            // An older version did not record the time.
            latest = latest.max(needed.ended_ms.unwrap_or(needed.accepted_ms));
        }
        Some(latest)
    }

    /// Up to where this view knows every final state.
    pub fn finals_known(&self) -> Version {
        self.finals_known.max(self.revision)
    }

    /// What this view knows of final states after `from`, a page of it.
    pub fn finals_after(&self, from: Version) -> Finals {
        let mut finals = Finals {
            upto: self.revision,
            complete: true,
            jobs: Vec::new(),
        };
        for (version, id) in self.finals.range((from + 1, JobId::from(""))..) {
            // States of one transaction share a version, and go together.
            let last = finals.jobs.last().map(|(_, version, _)| *version);
            if finals.jobs.len() >= FINALS_PAGE && last != Some(*version) {
                finals.upto = self.revision.min(last.unwrap_or(from));
                finals.complete = false;
                break;
            }
            if let Some(job) = self.jobs.get(id) {
                finals
                    .jobs
                    .push((id.clone(), *version, (*job.record).clone()));
            }
        }
        finals
    }

    /// Cancelled jobs that may still have tasks on machines.
    pub fn cancelled_since(&self, since: Since) -> impl Iterator<Item = (&JobId, &Leaving)> {
        self.cancelled.since(since).into_iter().filter_map(|id| {
            let record = &self.jobs.get(id)?.record;
            Some((id, record.leaving.as_ref()?))
        })
    }

    /// Whether a job may have been cancelled since then of which it is not known whose it was. One
    /// whose time is not recorded is older than that if a later record is.
    pub fn undescribed_cancellation_since(&self, since: Since) -> bool {
        let Some(newest) = self.cancelled.newest_undescribed() else {
            return false;
        };
        let later = self.finals.range((newest + 1, JobId::from(""))..);
        let ended_ms = |id: &JobId| self.jobs.get(id).and_then(|job| job.record.ended_ms);
        let mut ended = later.filter_map(|(_, id)| ended_ms(id));
        newest > since.version || !ended.any(|at| at < since.wall_ms)
    }

    /// Takes up what a sibling knows of final states.
    pub fn take_finals(&mut self, finals: Finals) {
        for (id, version, record) in finals.jobs {
            if record.is_final() {
                self.put_job(id, record, version);
            }
        }
        self.finals_known = self.finals_known.max(finals.upto);
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
        self.owners = Owners::read(self.map.values().map(|chunk| &chunk.record));
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
    slot: &mut Option<Versioned<T>>,
    value: &Value,
    version: Version,
) {
    if slot.as_ref().is_none_or(|known| known.version < version)
        && let Ok(record) = T::deserialize(value)
    {
        *slot = Some(Versioned { version, record });
    }
}

pub fn guard(key: &str, version: Version) -> Guard {
    Guard {
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
        let view = &mut self.view;
        let now = self.io.now;
        if view.in_flight || now < view.next_sync || !self.io.may_read() {
            return;
        }
        if !view.wanted && view.listing.is_none() && now < view.next_sync + view.interval {
            return;
        }
        view.wanted = false;
        view.in_flight = true;
        let call = match &view.listing {
            Some(listing) => StateCall::List {
                prefix: ROOT,
                from: listing.after.clone(),
            },
            None if !view.complete => StateCall::List {
                prefix: ROOT,
                from: None,
            },
            None => StateCall::Changes {
                prefix: ROOT,
                from: view.revision,
            },
        };
        self.io.state(Pending::Sync { sent: now }, call);
    }

    pub(super) fn synced(&mut self, sent: Time, reply: StateReply) {
        let now = self.io.now;
        let view = &mut self.view;
        view.in_flight = false;
        view.next_sync = now + view.spacing;
        match reply {
            StateReply::Changes(changes) if view.complete => {
                for change in &changes.events {
                    view.apply(change);
                }
                view.revision = view.revision.max(changes.revision);
                view.current_as_of = sent;
                view.failures = 0;
            }
            StateReply::Listing(page) => {
                let listing = view.listing.get_or_insert_with(|| Relisting {
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
                    view.put(&entry.key, &entry.value, entry.version);
                }
                if !page.more
                    && let Some(listing) = view.listing.take()
                {
                    // Later pages are newer than the first; changes since it are read next.
                    view.remove_unlisted(&listing.keys, listing.revision);
                    view.revision = listing.revision;
                    view.current_as_of = listing.sent;
                    view.complete = true;
                }
                view.failures = 0;
                view.wanted = true;
            }
            StateReply::TooOld => {
                view.complete = false;
                view.listing = None;
            }
            _ => {
                view.failures = (view.failures + 1).min(5);
                let pause = view.spacing * f64::from(1 << view.failures);
                view.next_sync = now + self.io.jitter(pause);
                view.wanted = true;
            }
        }
        self.resume_user_requests();
    }
}

#[cfg(test)]
mod tests;
