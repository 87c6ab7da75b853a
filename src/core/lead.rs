//! The leader's work: it owns every team and machine in its share, follows what runs where, and
//! commands the machines. Created when a term is taken up, dropped when leadership is lost.
//!
//! A task counts as possibly on a machine from the moment its start is issued until it is seen
//! ended or the machine is known empty. A machine is known empty when its session has risen, its
//! deletion was answered, or its lease must have run out since its last answered report.

use super::authority::DRIFT;
use super::io::{Io, Pending};
use super::jobs::{Job, Task};
use super::machines::{Freshness, Held, Machine, Phase};
use super::part_map::PartMap;
use super::placement::Weights;
use super::quota::Usage;
use super::supply::Catalog;
use super::view::{
    ACTING_KEY, JobRecord, LEADER_KEY, LeaderRecord, TERM_KEY, View, guard, job_key, put,
};
use super::{Answer, Body, StateCall, StateReply, Time, WorkerReply};
use crate::config::Config;
use crate::ids::{Attempt, JobId, MachineId, TaskId, Term, Version};
use crate::wire::{
    DirectOrders, Exit, Kind, Report, ReportAnswer, ReportedTask, Stance, TaskState, Transaction,
    Write,
};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

#[derive(Debug)]
pub enum LeadCall {
    Acting { write: Write },
    Map { keys: Vec<String>, writes: Vec<Write>, machines: Vec<MachineId> },
    Raise { machines: Vec<MachineId> },
    Job { job: JobId, write: Write },
}

pub struct Lead {
    pub(super) config: Rc<Config>,
    pub term: Term,
    started: Time,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) machines: BTreeMap<MachineId, Machine>,
    map: PartMap,
    /// Machines that the stored map is to gain.
    unmapped: BTreeSet<MachineId>,
    map_out: bool,
    map_after: Time,
    raise_out: bool,
    raise_after: Time,
    acting_out: bool,
    settled: bool,
    attempts: u64,
    /// Machines that have orders to be sent at once.
    pub(super) push: BTreeSet<MachineId>,
    /// Something changed that placement may profit from.
    pub(super) changed: bool,
    scheduled: Time,
    writes: Budget,
    running: BTreeMap<JobId, (u32, u32)>,
    running_at: Time,
    pub(super) weights: Weights,
    pub(super) supply: super::supply::Supply,
}

/// A share of the state service's writes a second, with one second's worth of burst.
struct Budget {
    rate: f64,
    left: f64,
    at: Time,
}

impl Budget {
    fn take(&mut self, now: Time) -> bool {
        self.left = (self.left + (now - self.at) * self.rate).min(self.rate);
        self.at = now;
        if self.left >= 1.0 {
            self.left -= 1.0;
            return true;
        }
        false
    }
}

impl Lead {
    pub fn new(config: &Rc<Config>, term: Term, clock: (Time, u64), view: &mut View) -> Self {
        let now = clock.0;
        let previous = super::part_map::machines(view.map());
        let deployment = &config.deployment;
        let teams = deployment.teams.iter().map(|t| t.name.clone()).collect();
        let stored = view.map().len();
        let mut map =
            PartMap::new(config.node.clone(), term, teams, deployment.state.value_kb, stored);
        let mut machines = BTreeMap::new();
        for id in previous {
            map.insert(&id);
            machines.insert(id.clone(), Machine::named(id, term, now));
        }
        view.take_changed();
        let rate = deployment.state.write_rps * 0.6;
        let fresh = view.acting().is_none();
        let mut lead = Self {
            config: config.clone(),
            term,
            started: now,
            jobs: BTreeMap::new(),
            settled: machines.is_empty(),
            machines,
            map,
            unmapped: BTreeSet::new(),
            map_out: false,
            map_after: now,
            raise_out: false,
            raise_after: now,
            acting_out: false,
            attempts: 0,
            push: BTreeSet::new(),
            changed: true,
            scheduled: now,
            writes: Budget { rate, left: rate, at: now },
            running: BTreeMap::new(),
            running_at: Time::NEG_INFINITY,
            weights: Weights::default(),
            supply: super::supply::Supply::new(config, now, fresh),
        };
        for (id, stored) in view.jobs() {
            lead.take_job(id, &stored.record, stored.version, clock, false);
        }
        lead
    }

    /// How long after its last answered report a machine may still have its tasks.
    fn lease(&self) -> Time {
        let workers = &self.config.deployment.workers;
        workers.lease_s * (1.0 + DRIFT) + workers.report_s * 0.1
    }

    // ---- jobs ----

    /// A job's record is new or has changed.
    fn take_job(
        &mut self,
        id: &JobId,
        record: &Rc<JobRecord>,
        version: Version,
        clock: (Time, u64),
        new: bool,
    ) {
        let (now, wall_ms) = clock;
        if record.is_final() {
            return self.job_over(id);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.version = version;
            job.record = record.clone();
            return;
        }
        let Some(spec) = &record.spec else { return };
        // Jobs that appear after the term began were started by nobody else.
        let settled = self.settled || new;
        let age = wall_ms.saturating_sub(record.accepted_ms) as f64 / 1e3;
        let mut job = Job::new(spec.clone(), record.clone(), version, now - age, settled);
        if job.is_gang() && !job.done.is_empty() {
            (0..job.spec.tasks).for_each(|index| job.set(index, Task::Done, None));
            job.dirty = Some(now);
        }
        // Attempts of it may be on machines that reported before it was known.
        for machine in self.machines.values_mut() {
            for ((task, attempt), held) in &mut machine.on {
                if task.job == *id {
                    describe(held, &job);
                    let placed = Task::Placed(machine.id.clone(), *attempt);
                    if !held.exited() && job.task(task.index) == Some(&Task::Waiting) {
                        job.set(task.index, placed, Some(&machine.zone));
                    }
                }
            }
        }
        self.supply.arrived(&job.spec, now);
        self.jobs.insert(id.clone(), job);
        self.changed = true;
    }

    /// Done or cancelled, and recorded so: its tasks go, and their exits may be forgotten.
    fn job_over(&mut self, id: &JobId) {
        self.changed |= self.jobs.remove(id).is_some();
        for machine in self.machines.values_mut() {
            for ((task, _), held) in &mut machine.on {
                if task.job != *id {
                    continue;
                }
                held.forget = true;
                if !held.exited() && held.stop != Some(0.0) {
                    held.stop = Some(0.0);
                    self.push.insert(machine.id.clone());
                }
            }
        }
    }

    pub fn counts(&self, id: &JobId) -> Option<(u32, u32)> {
        self.running.get(id).copied()
    }

    pub fn running(&self) -> Vec<(JobId, u32, u32)> {
        self.running.iter().map(|(id, &(done, running))| (id.clone(), done, running)).collect()
    }

    fn count_running(&mut self, now: Time) {
        if now < self.running_at + 0.5 {
            return;
        }
        self.running_at = now;
        self.running.clear();
        for machine in self.machines.values() {
            for ((task, _), held) in &machine.on {
                if held.has_image() {
                    let entry = self.running.entry(task.job.clone()).or_default();
                    entry.1 += 1;
                }
            }
        }
        for (id, counts) in &mut self.running {
            counts.0 = self.jobs.get(id).map_or(0, |job| job.done.len());
        }
    }

    /// Records progress: a completed job at once, the rest at leisure.
    fn record_progress(&mut self, io: &mut Io) {
        let now = io.now;
        let leisure = self.config.deployment.workers.report_s;
        let value_limit = self.config.deployment.state.value_kb * 1024.0;
        // A range takes up to 15 bytes; the rest of a record keeps within half of the value.
        let ranges = ((value_limit / 2.0 / 15.0) as usize).max(1);
        let mut due: Vec<(bool, Time, JobId)> = Vec::new();
        for (id, job) in &self.jobs {
            let Some(since) = job.dirty else { continue };
            if job.write_out || now < job.write_after {
                continue;
            }
            let complete = job.all_done();
            if complete || now >= since + leisure {
                due.push((!complete, since, id.clone()));
            }
        }
        due.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for (_, _, id) in due {
            if !self.writes.take(now) {
                return;
            }
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let record = if job.all_done() {
                job.record.ended(Stance::Done)
            } else {
                let mut done = job.done.clone();
                done.keep_largest(ranges);
                JobRecord { done, ..(*job.record).clone() }
            };
            job.write_out = true;
            job.dirty = None;
            let key = job_key(&id);
            let write = put(&key, &record, None);
            let transaction = Transaction {
                guards: vec![guard(&key, job.version), guard(LEADER_KEY, self.term.0)],
                writes: vec![write.clone()],
            };
            let pending = Pending::Lead(self.term, LeadCall::Job { job: id, write });
            io.state(pending, StateCall::Commit(transaction));
        }
    }

    fn job_written(
        &mut self,
        io: &mut Io,
        view: &mut View,
        id: &JobId,
        write: &Write,
        reply: StateReply,
    ) {
        let now = io.now;
        if let StateReply::Committed(version) = reply {
            view.apply_write(write, version);
        }
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.write_out = false;
        match reply {
            StateReply::Committed(_) => {
                if let Some(stored) = view.job(id) {
                    let (record, version) = (stored.record.clone(), stored.version);
                    for machine in self.machines.values_mut() {
                        for ((task, _), held) in &mut machine.on {
                            let done = held.phase == Phase::Exited(Exit::Done);
                            if task.job == *id && done && record.done.contains(task.index) {
                                held.forget = true;
                            }
                        }
                    }
                    self.take_job(id, &record, version, (now, io.wall_ms), true);
                }
            }
            other => {
                // Cancelled meanwhile, or outcome unknown: the view tells before the next try.
                view.want_sync();
                job.dirty.get_or_insert(now);
                let pause = if other == StateReply::Conflict { 0.1 } else { 0.3 };
                job.write_after = now + io.jitter(pause);
            }
        }
    }

    // ---- the map and tokens ----

    pub fn record_acting(&mut self, io: &mut Io, view: &View, record: &LeaderRecord) {
        if self.acting_out {
            return;
        }
        self.acting_out = true;
        let acting_version = view.acting().map_or(0, |a| a.version);
        let write = put(ACTING_KEY, record, None);
        let transaction = Transaction {
            guards: vec![guard(LEADER_KEY, self.term.0), guard(ACTING_KEY, acting_version)],
            writes: vec![write.clone()],
        };
        let pending = Pending::Lead(self.term, LeadCall::Acting { write });
        io.state(pending, StateCall::Commit(transaction));
    }

    fn write_map(&mut self, io: &mut Io) {
        if self.map_out || io.now < self.map_after {
            return;
        }
        for id in std::mem::take(&mut self.unmapped) {
            self.map.insert(&id);
        }
        let chunks = self.map.take_dirty(self.config.deployment.state.txn_ops);
        if chunks.is_empty() {
            return;
        }
        let (mut keys, mut writes, mut machines) = (Vec::new(), Vec::new(), Vec::new());
        for (key, chunk) in chunks {
            machines.extend(chunk.shares.iter().flat_map(|share| share.machines.iter().cloned()));
            writes.push(put(&key, &chunk, None));
            keys.push(key);
        }
        let transaction =
            Transaction { guards: vec![guard(LEADER_KEY, self.term.0)], writes: writes.clone() };
        self.map_out = true;
        let pending = Pending::Lead(self.term, LeadCall::Map { keys, writes, machines });
        io.state(pending, StateCall::Commit(transaction));
    }

    /// Gives machines a fresh token, so that whatever may still be under way to them is void.
    fn raise_tokens(&mut self, io: &mut Io) {
        if self.raise_out || io.now < self.raise_after {
            return;
        }
        let wanting = self.machines.values().filter(|m| m.raise && !m.address.is_empty());
        let machines: Vec<MachineId> = wanting.map(|m| m.id.clone()).collect();
        if machines.is_empty() {
            return;
        }
        let transaction = Transaction {
            guards: vec![guard(LEADER_KEY, self.term.0)],
            writes: vec![put(TERM_KEY, &self.term, None)],
        };
        self.raise_out = true;
        let pending = Pending::Lead(self.term, LeadCall::Raise { machines });
        io.state(pending, StateCall::Commit(transaction));
    }

    pub fn state_reply(&mut self, io: &mut Io, view: &mut View, call: LeadCall, reply: StateReply) {
        let pause = io.jitter(0.3);
        match call {
            LeadCall::Acting { write } => {
                self.acting_out = false;
                match reply {
                    StateReply::Committed(version) => view.apply_write(&write, version),
                    _ => view.want_sync(),
                }
            }
            LeadCall::Map { keys, writes, machines } => {
                self.map_out = false;
                self.map_after = io.now + 0.2;
                if let StateReply::Committed(version) = reply {
                    for write in &writes {
                        view.apply_write(write, version);
                    }
                    for id in machines {
                        if let Some(machine) = self.machines.get_mut(&id) {
                            machine.mapped = true;
                        }
                    }
                    self.changed = true;
                } else {
                    self.map.write_again(&keys);
                    self.map_after = io.now + pause;
                }
            }
            LeadCall::Raise { machines } => {
                self.raise_out = false;
                self.raise_after = io.now + pause;
                if let StateReply::Committed(version) = reply {
                    for id in machines {
                        if let Some(machine) = self.machines.get_mut(&id) {
                            machine.raise = false;
                            machine.token = Term(version);
                            machine.trusted = false;
                        }
                    }
                }
            }
            LeadCall::Job { job, write } => self.job_written(io, view, &job, &write, reply),
        }
    }

    // ---- machines ----

    /// Answers a worker's report.
    pub fn checkin(
        &mut self,
        io: &mut Io,
        view: &View,
        catalog: &Catalog,
        report: Report,
    ) -> Answer {
        let now = io.now;
        let id = report.machine.clone();
        if !self.machines.contains_key(&id) {
            self.machines.insert(id.clone(), Machine::named(id.clone(), self.term, now));
        }
        let Some(machine) = self.machines.get_mut(&id) else { return Answer::unavailable() };
        if !machine.mapped && !self.map.contains(&id) {
            self.unmapped.insert(id.clone());
        }
        if machine.total.gpus + machine.total.cpus == 0.0 || machine.address != report.address {
            machine.describe(&report, catalog.types());
        }
        if report.token > machine.token {
            // Somebody with a later term is in charge; this controller will learn of it.
            return Answer::unavailable();
        }
        let freshness = machine.freshness(&report, false);
        match freshness {
            Freshness::Copy => return Answer::unavailable(),
            Freshness::Overtaken => {}
            Freshness::News { new_session } => {
                self.take_report(io, view, report, new_session, true)
            }
        }
        let Some(machine) = self.machines.get_mut(&id) else { return Answer::unavailable() };
        machine.answered = now;
        machine.seen = now;
        // Until the machine has shown its token it gets that and no commands.
        let orders = if machine.trusted { machine.orders() } else { Vec::new() };
        for held in machine.on.values_mut().filter(|h| h.phase == Phase::Issued) {
            held.in_answer |= machine.trusted && held.stop.is_none();
        }
        let answer = ReportAnswer { token: machine.token, orders };
        Answer { status: 200, body: Body::Orders(answer), retry_after: None }
    }

    /// Takes up what a newer message of a machine says.
    fn take_report(
        &mut self,
        io: &mut Io,
        view: &View,
        report: Report,
        new_session: bool,
        checkin: bool,
    ) {
        let now = io.now;
        let id = report.machine.clone();
        let Some(machine) = self.machines.get_mut(&id) else { return };
        if new_session {
            // The earlier session's tasks are gone, and nothing sent in it will be executed. Its
            // lease ran out, so answers may not reach it: it has to show a fresh token.
            let first = machine.on.is_empty() && !machine.trusted;
            let gone: Vec<_> = machine.on.keys().cloned().collect();
            if !first {
                machine.raise = true;
                tracing::info!("{id}: new session, {} tasks gone", gone.len());
            }
            machine.trusted = false;
            for (task, attempt) in gone {
                self.drop_held(&id, &task, attempt, now);
            }
        }
        let Some(machine) = self.machines.get_mut(&id) else { return };
        machine.leaves = report.notice_s.map(|left| now + left);
        if machine.leaves.is_some() {
            self.changed = true;
        }
        if report.token != machine.token {
            return;
        }
        let newly_trusted = !std::mem::replace(&mut machine.trusted, true);
        if newly_trusted {
            machine.idle_since = now;
            machine.forget_images();
        }
        machine.suspect = false;
        self.changed |= newly_trusted;
        let mut shown = BTreeSet::new();
        for reported in &report.tasks {
            if let Some(task) = TaskId::parse(&reported.task) {
                shown.insert((task.clone(), reported.attempt));
                self.take_task(io, view, &id, task, reported);
            }
        }
        self.take_missing(&id, &shown, checkin, now);
        if newly_trusted {
            self.settle_when_known(now);
        }
    }

    /// What the machine does not show (any more).
    fn take_missing(
        &mut self,
        id: &MachineId,
        shown: &BTreeSet<(TaskId, Attempt)>,
        checkin: bool,
        now: Time,
    ) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let token = machine.token;
        let mut gone = Vec::new();
        let mut deaf = false;
        for (key, held) in &mut machine.on {
            // The machine has shown a later token: what was sent under an earlier is void.
            if held.may_arrive.is_some_and(|sent| sent < token) {
                held.may_arrive = None;
            }
            if shown.contains(key) {
                continue;
            }
            match held.phase {
                Phase::Seen(_) | Phase::Exited(_) => gone.push(key.clone()),
                Phase::Issued if checkin && !held.direct_out => {
                    held.misses += 1;
                    let patience = if held.stop.is_some() { 1 } else { 3 };
                    if held.misses >= patience {
                        match held.may_arrive {
                            None => gone.push(key.clone()),
                            Some(_) => deaf = true,
                        }
                    }
                }
                Phase::Issued => {}
            }
        }
        if deaf {
            machine.raise = true;
        }
        if gone.iter().any(|key| machine.on[key].phase == Phase::Issued) {
            machine.suspect = true;
        }
        for (task, attempt) in gone {
            self.drop_held(id, &task, attempt, now);
        }
    }

    /// One task as its machine shows it.
    fn take_task(
        &mut self,
        io: &mut Io,
        view: &View,
        id: &MachineId,
        task: TaskId,
        reported: &ReportedTask,
    ) {
        let now = io.now;
        let attempt = reported.attempt;
        let Some(machine) = self.machines.get_mut(id) else { return };
        let key = (task.clone(), attempt);
        let job = self.jobs.get_mut(&task.job);
        let phase = match reported.state {
            TaskState::Exited => Phase::Exited(reported.why.unwrap_or(Exit::Other)),
            state => Phase::Seen(state),
        };
        let held = machine.on.entry(key).or_insert_with(|| {
            let mut held = Held::new(now);
            if let Some(job) = &job {
                describe(&mut held, job);
            }
            held
        });
        let before = std::mem::replace(&mut held.phase, phase.clone());
        let news = before != phase;
        if held.has_image() && held.began.is_none() {
            held.began = Some(now);
            if let Some((image, gb)) = held.image.clone() {
                machine.used_image(&image, gb);
            }
        }
        let Some(held) = machine.on.get_mut(&(task.clone(), attempt)) else { return };
        let Some(job) = job else {
            // Over, or not known yet. An accepted job that is over is stopped and forgotten.
            if view.job(&task.job).is_some_and(|stored| stored.record.is_final()) {
                held.forget = true;
                if !held.exited() && held.stop != Some(0.0) {
                    held.stop = Some(0.0);
                    self.push.insert(id.clone());
                }
            }
            self.changed |= news;
            return;
        };
        let here = Task::Placed(id.clone(), attempt);
        match job.task(task.index) {
            Some(Task::Unsettled | Task::Waiting) if !held.exited() => {
                job.set(task.index, here.clone(), Some(&machine.zone));
                job.began = true;
            }
            // Another attempt of it is meant to run elsewhere, or none is needed any more.
            Some(meant) if *meant != here && !held.exited() && held.stop != Some(0.0) => {
                tracing::info!("{task}: attempt {} on {id} is one too many", attempt.0);
                held.stop = Some(0.0);
                self.push.insert(id.clone());
            }
            _ => {}
        }
        if held.began.is_some() {
            job.began = true;
        }
        self.changed |= news;
        if news && let Phase::Exited(why) = phase {
            self.task_exited(id, &task, attempt, why, now);
        }
    }

    fn task_exited(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        why: Exit,
        now: Time,
    ) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        if machine.idle() {
            machine.idle_since = now;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let zone = machine.zone.clone();
        let Some(held) = machine.on.get_mut(&(task.clone(), attempt)) else { return };
        let here = job.task(task.index) == Some(&Task::Placed(id.clone(), attempt));
        let zone = here.then_some(&zone);
        if why == Exit::Done && job.spec.kind != Kind::Service {
            // Its exit may be forgotten only once it is recorded.
            job.set(task.index, Task::Done, zone);
            job.dirty.get_or_insert(now);
            if job.is_gang() {
                self.gang_done(&task.job);
            }
            return;
        }
        held.forget = true;
        if !here {
            return;
        }
        job.set(task.index, Task::Waiting, zone);
        let retry = job.retries.entry(task.index).or_default();
        match why {
            Exit::Error | Exit::Other => {
                retry.failures += 1;
                let pause = 2f64.powi(retry.failures.min(5) as i32 - 1);
                retry.not_before = now + pause;
                job.failed_on.insert(id.clone());
                machine.failed_jobs.insert(task.job.clone());
                tracing::info!("{task} failed on {id} ({} times)", retry.failures);
            }
            Exit::NoRoom | Exit::Busy | Exit::UnknownJob => {
                retry.not_before = now + self.config.deployment.workers.report_s * 0.5;
            }
            Exit::Stopped | Exit::PeersGone | Exit::Alone | Exit::Done => {}
        }
        if why == Exit::Error {
            self.judge_machine(id, now);
        }
        self.gang_lost_one(&task.job, attempt);
    }

    /// A gang's tasks complete together: if one is done, they all are. The others' machines may
    /// be lost before they can say so.
    fn gang_done(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for index in 0..job.spec.tasks {
            let zone = match job.task(index) {
                Some(Task::Placed(machine, _)) => {
                    self.machines.get(machine).map(|m| m.zone.clone())
                }
                _ => None,
            };
            job.set(index, Task::Done, zone.as_ref());
        }
    }

    /// A machine that failed several jobs which failed nowhere else is set aside.
    fn judge_machine(&mut self, id: &MachineId, now: Time) {
        let jobs = &self.jobs;
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.failed_jobs.retain(|job| jobs.contains_key(job));
        let here_only = |job: &&JobId| jobs.get(*job).is_some_and(|j| j.failed_on.len() == 1);
        if machine.failed_jobs.iter().filter(here_only).count() >= 2 {
            tracing::info!("{id} is set aside: tasks of several jobs fail on it alone");
            machine.aside_until = now + self.config.deployment.workers.lease_s * 20.0;
        }
    }

    /// One task of a gang is gone: the others cannot go on, so they make room at once.
    fn gang_lost_one(&mut self, id: &JobId, attempt: Attempt) {
        let Some(job) = self.jobs.get(id).filter(|job| job.is_gang() && job.spec.tasks > 1) else {
            return;
        };
        for index in 0..job.spec.tasks {
            let Some(Task::Placed(machine, other)) = job.task(index) else { continue };
            if *other != attempt {
                continue;
            }
            let key = (TaskId { job: id.clone(), index }, attempt);
            if let Some(machine) = self.machines.get_mut(machine)
                && let Some(held) = machine.on.get_mut(&key)
                && !held.exited()
                && held.stop.is_none()
            {
                held.stop = Some(0.0);
                self.push.insert(machine.id.clone());
            }
        }
    }

    /// An attempt is known not to be on the machine (any more).
    fn drop_held(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        if machine.on.remove(&(task.clone(), attempt)).is_none() {
            return;
        }
        if machine.idle() {
            machine.idle_since = now;
        }
        self.changed = true;
        if let Some(job) = self.jobs.get_mut(&task.job)
            && job.task(task.index) == Some(&Task::Placed(id.clone(), attempt))
        {
            job.set(task.index, Task::Waiting, Some(&machine.zone));
            self.gang_lost_one(&task.job, attempt);
        }
    }

    /// Machines whose lease must have run out are empty.
    fn expire_machines(&mut self, now: Time) {
        let lease = self.lease();
        let expired: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| now > m.answered + lease && (m.trusted || !m.on.is_empty()))
            .map(|m| m.id.clone())
            .collect();
        for id in expired {
            self.machine_empty(&id, now);
        }
        self.settle_when_known(now);
    }

    fn machine_empty(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let gone: Vec<_> = machine.on.keys().cloned().collect();
        tracing::info!("{id} is lost with {} tasks", gone.len());
        machine.end_session();
        machine.raise = true;
        for (task, attempt) in gone {
            self.drop_held(id, &task, attempt, now);
        }
    }

    /// The cloud has deleted the machine, or its name is gone for good.
    pub(super) fn remove_machine(&mut self, id: &MachineId, now: Time) {
        if let Some(machine) = self.machines.get(id) {
            let gone: Vec<_> = machine.on.keys().cloned().collect();
            for (task, attempt) in gone {
                self.drop_held(id, &task, attempt, now);
            }
            self.machines.remove(id);
            self.unmapped.remove(id);
            self.map.remove(id);
            self.changed = true;
        }
    }

    /// Nothing that ran before this term is started until every machine of the map has shown
    /// what it holds or is known empty.
    fn settle_when_known(&mut self, now: Time) {
        if self.settled {
            return;
        }
        let lease = self.lease();
        let open =
            |m: &Machine| !m.trusted && m.over == 0 && now <= self.started.max(m.answered) + lease;
        // Machines not in the map were never given a task.
        if self.machines.values().any(|m| self.map.contains(&m.id) && open(m)) {
            return;
        }
        tracing::info!("all machines settled {:.1} s into the term", now - self.started);
        self.settled = true;
        self.changed = true;
        for job in self.jobs.values_mut() {
            job.settle();
        }
    }

    // ---- orders ----

    /// Issues the start of a task.
    pub(super) fn start(
        &mut self,
        id: &JobId,
        index: u32,
        machine: &MachineId,
        attempt: Attempt,
        now: Time,
    ) {
        let (Some(job), Some(machine)) = (self.jobs.get_mut(id), self.machines.get_mut(machine))
        else {
            return;
        };
        let mut held = Held::new(now);
        describe(&mut held, job);
        job.set(index, Task::Placed(machine.id.clone(), attempt), Some(&machine.zone));
        let task = TaskId { job: id.clone(), index };
        tracing::debug!("start {task} on {} as {}", machine.id, attempt.0);
        machine.on.insert((task, attempt), held);
        self.push.insert(machine.id.clone());
    }

    pub(super) fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt((self.term.0 << 24) | self.attempts)
    }

    /// Tells an attempt to stop; gangs are stopped whole.
    pub(super) fn stop(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        grace: f64,
    ) {
        let mut targets = vec![(machine.clone(), task.clone())];
        if let Some(job) = self.jobs.get(&task.job).filter(|job| job.is_gang()) {
            for index in 0..job.spec.tasks {
                if let Some(Task::Placed(other, same)) = job.task(index)
                    && *same == attempt
                    && index != task.index
                {
                    targets.push((other.clone(), TaskId { job: task.job.clone(), index }));
                }
            }
        }
        for (machine, task) in targets {
            if let Some(machine) = self.machines.get_mut(&machine)
                && let Some(held) = machine.on.get_mut(&(task, attempt))
                && held.stop.is_none()
                && !held.exited()
            {
                held.stop = Some(grace);
                self.push.insert(machine.id.clone());
            }
        }
    }

    fn push_orders(&mut self, io: &mut Io) {
        for id in std::mem::take(&mut self.push) {
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            if !machine.trusted || machine.suspect || machine.raise {
                continue;
            }
            let orders = machine.orders();
            if orders.is_empty() {
                continue;
            }
            let mut sent = Vec::new();
            for (key, held) in &mut machine.on {
                if held.phase == Phase::Issued && held.stop.is_none() {
                    held.direct_out = true;
                    sent.push(key.clone());
                }
            }
            let message = DirectOrders { token: machine.token, session: machine.session, orders };
            io.worker(&id, &machine.address, sent, message);
        }
    }

    pub fn orders_answered(
        &mut self,
        io: &mut Io,
        view: &View,
        id: &MachineId,
        sent: &[(TaskId, Attempt)],
        reply: WorkerReply,
    ) {
        let now = io.now;
        let Some(machine) = self.machines.get_mut(id) else { return };
        let token = machine.token;
        for key in sent {
            if let Some(held) = machine.on.get_mut(key) {
                held.direct_out = false;
                if reply == WorkerReply::Unknown {
                    held.may_arrive = Some(token);
                }
            }
        }
        match reply {
            WorkerReply::Executed(report) | WorkerReply::Fenced(report) => {
                if report.machine != *id || report.token > token {
                    return;
                }
                if let Freshness::News { new_session } = machine.freshness(&report, true) {
                    self.take_report(io, view, report, new_session, false);
                }
            }
            WorkerReply::NotSent => {
                machine.suspect = true;
                let never_sent: Vec<_> = sent
                    .iter()
                    .filter(|key| {
                        machine.on.get(*key).is_some_and(|held| {
                            held.phase == Phase::Issued
                                && !held.in_answer
                                && held.may_arrive.is_none()
                        })
                    })
                    .cloned()
                    .collect();
                for (task, attempt) in never_sent {
                    self.drop_held(id, &task, attempt, now);
                }
            }
            WorkerReply::Unknown => machine.suspect = true,
        }
    }

    // ---- the round ----

    pub fn advance(&mut self, io: &mut Io, view: &mut View, catalog: &Catalog) {
        let now = io.now;
        for id in view.take_changed() {
            if let Some(stored) = view.job(&id) {
                let (record, version) = (stored.record.clone(), stored.version);
                self.take_job(&id, &record, version, (now, io.wall_ms), true);
            }
        }
        for machine in self.machines.values_mut() {
            if machine.total == Default::default() && !machine.address.is_empty() {
                machine.set_type(catalog.types());
            }
        }
        self.expire_machines(now);
        self.record_progress(io);
        self.write_map(io);
        self.raise_tokens(io);
        let report_s = self.config.deployment.workers.report_s;
        if self.changed || now > self.scheduled + report_s * 0.25 {
            self.changed = false;
            self.scheduled = now;
            self.drain(now);
            self.schedule(now);
        }
        self.count_running(now);
        self.push_orders(io);
    }

    /// Everything that may be on a machine, and what may be on machines not heard yet.
    pub(super) fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        for held in self.machines.values().flat_map(|m| m.on.values()) {
            if let (Some(room), Some(team), false) = (&held.room, &held.team, held.exited()) {
                usage.add(team, room.cpus, room.gpus);
            }
        }
        for job in self.jobs.values().filter(|job| job.unsettled() > 0) {
            let tasks = f64::from(job.unsettled());
            usage.add(&job.spec.team, job.spec.cpus * tasks, job.spec.gpus * tasks);
        }
        usage
    }

    pub(super) fn settled(&self) -> bool {
        self.settled
    }
}

fn describe(held: &mut Held, job: &Job) {
    held.room = Some(job.need());
    held.team = Some(job.spec.team.clone());
    held.image = Some((job.spec.image.clone(), job.spec.image_gb));
    held.priority = job.spec.priority;
}
