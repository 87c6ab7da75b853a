//! A controller's work for its share: it runs its teams' jobs on its machines. Created when the
//! process has registered, dropped when its authority is lost. What the machines tell is followed
//! in [`super::tracking`], where they are commanded too.

use super::Time;
use super::authority::Process;
use super::catalog::Catalog;
use super::forecast::Forecast;
use super::io::Io;
use super::job_records::write_rate;
use super::jobs::{Job, Task};
use super::machines::{Held, Machine, Phase};
use super::part_map;
use super::placement::{Room, Weights};
use super::quiet::Quiet;
use super::supply::{Need, Offer};
use super::token_bucket::TokenBucket;
use super::view::{JobRecord, Leaving, View};
use crate::config::Config;
use crate::ids::{Attempt, Image, JobId, MachineId, Node, TaskId, Team, Term, Version};
use crate::wire::JobSpec;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A team this share owns.
pub struct OwnedTeam {
    term: Term,
    /// The view's revision when it was gained.
    pub gained: Version,
    /// Machines that may still hold tasks of it which nobody has told of.
    pub unsettled: BTreeSet<MachineId>,
    attempts: u64,
}

pub struct Owner {
    pub(super) config: Rc<Config>,
    pub(super) incarnation: u64,
    pub(super) jobs: BTreeMap<JobId, Job>,
    /// Jobs that need a cancelled one, and when to write that down.
    pub(super) doomed: BTreeMap<JobId, Time>,
    /// Our machines, and others' as far as tasks of our teams may be on them.
    pub(super) machines: BTreeMap<MachineId, Machine>,
    pub(super) teams: BTreeMap<Team, OwnedTeam>,
    map_seen: Option<u64>,
    /// Machines that have orders to be sent at once.
    pub(super) push: BTreeSet<MachineId>,
    /// Something changed that placement may profit from.
    pub(super) changed: bool,
    scheduled: Time,
    /// Of changes in the state service that record jobs.
    pub(super) record_rate: TokenBucket,
    running: BTreeMap<JobId, (u32, u32)>,
    running_at: Time,
    pub(super) weights: Weights,
    pub(super) forecast: Forecast,
    pub(super) need: Need,
    pub(super) next_plan: Time,
    /// What the cloud has none of at present, as the leader knows.
    pub(super) refused: BTreeSet<Offer>,
    /// Images that machines are said to hold.
    pub(super) hints: Hints,
    /// Siblings that want to hear of our machines.
    pub(super) listeners: BTreeSet<Node>,
    /// Something has come up that a sibling should hear of soon.
    pub(super) hurry: bool,
    /// When a worker was last heard.
    pub(super) heard: Time,
}

/// Images that each machine holds, as far as anybody knows. Only a hint: it decides what is quick,
/// not what is allowed.
pub type Hints = BTreeMap<MachineId, Vec<(Image, f64)>>;

/// Attempt numbers to a term of a team.
const ATTEMPTS: u64 = 1 << 16;

impl Owner {
    pub fn new(config: &Rc<Config>, incarnation: u64, hints: Hints, now: Time) -> Self {
        let rate = write_rate(config, config.controllers());
        Self {
            config: config.clone(),
            incarnation,
            jobs: BTreeMap::new(),
            doomed: BTreeMap::new(),
            machines: BTreeMap::new(),
            teams: BTreeMap::new(),
            map_seen: None,
            push: BTreeSet::new(),
            changed: true,
            scheduled: now,
            record_rate: TokenBucket::new(rate, rate, now),
            running: BTreeMap::new(),
            running_at: Time::NEG_INFINITY,
            weights: Weights::default(),
            forecast: Forecast::default(),
            need: Need::default(),
            next_plan: now,
            refused: BTreeSet::new(),
            hints,
            listeners: BTreeSet::new(),
            hurry: false,
            heard: Time::NEG_INFINITY,
        }
    }

    pub fn advance(&mut self, io: &mut Io, view: &mut View, catalog: &Catalog, quiet: &Quiet) {
        let now = io.now;
        self.follow_map(io, view, quiet);
        for id in view.take_changed() {
            if let Some(stored) = view.job(&id) {
                let (record, version) = (stored.record.clone(), stored.version);
                self.take_job(view, &id, &record, version, (now, io.wall_ms));
            }
        }
        for machine in self.machines.values_mut() {
            if machine.total == Room::default() && !machine.address.is_empty() {
                machine.set_type(catalog.types());
            }
        }
        for machine in self.machines.values_mut() {
            // A successor of its process has registered, so that has ended.
            let ended = |(node, incarnation): &Process| {
                view.node(node).is_some_and(|n| n.record.incarnation != *incarnation)
            };
            if machine.former.as_ref().is_some_and(ended) {
                machine.former_let_go(now);
            }
        }
        self.declare_quiet(view, now);
        self.expire_machines(view, now);
        self.settle_when_known(view);
        self.record_progress(io);
        self.record_doomed(io, view);
        let report_s = self.config.deployment.workers.report_s;
        if self.changed || now > self.scheduled + report_s * 0.25 {
            self.changed = false;
            self.scheduled = now;
            self.drain(now);
            self.schedule(io, view, catalog);
        }
        self.count_running(now);
        self.push_orders(io);
    }

    // ---- the share ----

    /// Takes up what the map gives this process, and lets go of what it gives to others.
    pub(super) fn follow_map(&mut self, io: &mut Io, view: &View, quiet: &Quiet) {
        if self.map_seen.replace(view.map_changes()) == Some(view.map_changes()) {
            return;
        }
        let now = io.now;
        let owners = view.owners();
        let with_teams: BTreeSet<&Node> = owners.teams.values().map(|owner| &owner.node).collect();
        self.record_rate.set_rate(write_rate(&self.config, with_teams.len().max(1)));
        let mine = |o: &part_map::Owner| o.is(&self.config.node, self.incarnation);
        let sibling = |(node, _): &Process| *node != self.config.node;
        for (id, owner) in &owners.machines {
            let mine = mine(owner);
            let answered = owner.prior.and_then(|prior| quiet.answered(id, prior));
            match self.machines.get_mut(id) {
                Some(machine) if machine.mine != mine || machine.token != owner.term => {
                    // A fresh token says nothing of whether a former owner has let go.
                    let former = machine.former.take().filter(|_| machine.mine);
                    let gained = mine && !machine.mine;
                    machine.change_hands(owner.term, mine, now);
                    if let (true, Some(answered)) = (gained, answered) {
                        machine.answered = answered;
                        machine.awaited = answered;
                    }
                    let former = owner.former.clone().or(former);
                    machine.former = former.filter(|former| mine && sibling(former));
                    machine.gained = view.map_revision();
                    self.changed = true;
                }
                None if mine => {
                    let answered = answered.unwrap_or(now);
                    let mut machine = Machine::named(id.clone(), owner.term, answered);
                    machine.mine = true;
                    machine.former = owner.former.clone().filter(sibling);
                    machine.gained = view.map_revision();
                    self.machines.insert(id.clone(), machine);
                }
                _ => {}
            }
        }
        // The leader takes a machine off the map once it is deleted.
        let gone: Vec<MachineId> =
            self.machines.keys().filter(|id| !owners.machines.contains_key(*id)).cloned().collect();
        let teams = owners.teams.iter().filter(|(_, owner)| mine(owner));
        let wanted: BTreeMap<Team, Term> = teams.map(|(t, o)| (t.clone(), o.term)).collect();
        for id in gone {
            self.remove_machine(&id, now);
        }
        let lost: Vec<Team> =
            self.teams.keys().filter(|team| !wanted.contains_key(*team)).cloned().collect();
        for team in lost {
            tracing::info!("team {team} goes to another controller");
            self.teams.remove(&team);
            self.jobs.retain(|_, job| job.spec.team != team);
        }
        for (team, term) in wanted {
            match self.teams.get_mut(&team) {
                None => self.gain_team(io, view, team, term),
                // A fresh term for the same owner: only the attempts begin anew.
                Some(owned) if owned.term != term => {
                    owned.term = term;
                    owned.attempts = 0;
                }
                Some(_) => {}
            }
        }
        for machine in self.machines.values_mut().filter(|machine| machine.mine) {
            if let Some(images) = self.hints.get(&machine.id) {
                machine.take_images(images);
            }
        }
        let teams = &self.teams;
        let ours = |held: &Held| held.team.as_ref().is_some_and(|team| teams.contains_key(team));
        self.machines.retain(|_, machine| {
            if !machine.mine {
                machine.on.retain(|_, held| ours(held));
            }
            machine.mine || !machine.on.is_empty()
        });
    }

    /// Nothing of a team that is new here is started until every machine in the map has shown
    /// what it holds, or is known empty. Jobs that appear later were started by nobody else.
    fn gain_team(&mut self, io: &mut Io, view: &View, team: Team, term: Term) {
        tracing::info!("team {team} is ours under term {}", term.0);
        let unsettled = view.owners().machines.keys().cloned().collect();
        let gained = view.map_revision();
        let owned = OwnedTeam { term, gained, unsettled, attempts: 0 };
        self.teams.insert(team.clone(), owned);
        self.settle_when_known(view);
        let of_team = |record: &JobRecord| record.spec.as_ref().is_some_and(|s| s.team == team);
        for (id, stored) in view.jobs() {
            // One of our own writes, newer than the view, waits for the next sync.
            if of_team(&stored.record) && stored.version <= view.revision() {
                self.take_job(view, id, &stored.record, stored.version, (io.now, io.wall_ms));
            }
        }
    }

    /// A team's tasks that nobody showed are nowhere once every machine is settled.
    fn settle_when_known(&mut self, view: &View) {
        let machines = &self.machines;
        let on_map = &view.owners().machines;
        let settled = |id: &MachineId| machines.get(id).is_some_and(|m| m.mine && m.settled());
        for (name, team) in &mut self.teams {
            if !team.unsettled.is_empty() {
                team.unsettled.retain(|id| on_map.contains_key(id) && !settled(id));
                if team.unsettled.is_empty() {
                    tracing::info!("team {name} is settled");
                }
            }
        }
        let mut torn = Vec::new();
        for (id, job) in self.jobs.iter_mut().filter(|(_, job)| job.unsettled() > 0) {
            if self.teams.get(&job.spec.team).is_some_and(|team| team.unsettled.is_empty()) {
                job.settle();
                self.changed = true;
                if job.is_gang() && job.placed() > 0 && !job.waiting().is_empty() {
                    torn.push(id.clone());
                }
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
        self.machines.values().any(|machine| machine.mine)
    }

    pub fn settled_teams(&self) -> Vec<Team> {
        let settled = self.teams.iter().filter(|(_, team)| team.unsettled.is_empty());
        settled.map(|(name, _)| name.clone()).collect()
    }

    /// A fresh attempt number for a team's tasks: higher than any before, whoever owned it. None
    /// when the term has no more; the leader gives the team a new one before that.
    pub(super) fn next_attempt(&mut self, team: &Team) -> Option<Attempt> {
        let team = self.teams.get_mut(team)?;
        team.attempts += 1;
        (team.attempts < ATTEMPTS).then_some(Attempt(team.term.0 * ATTEMPTS + team.attempts))
    }

    /// Teams whose term is running out of attempt numbers.
    pub(super) fn worn_teams(&self) -> Vec<Team> {
        let worn = self.teams.iter().filter(|(_, team)| team.attempts > ATTEMPTS / 2);
        worn.map(|(team, _)| team.clone()).collect()
    }

    // ---- jobs ----

    /// A job's record is new or has changed.
    pub(super) fn take_job(
        &mut self,
        view: &View,
        id: &JobId,
        record: &Rc<JobRecord>,
        version: Version,
        (now, wall_ms): (Time, u64),
    ) {
        if record.is_final() {
            return self.job_over(id);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.version = version;
            job.record = record.clone();
            return self.make_urgent(view, id, (now, wall_ms));
        }
        let Some(spec) = &record.spec else { return };
        let Some(team) = self.teams.get(&spec.team) else { return };
        if view.doomed(id) {
            self.doomed.entry(id.clone()).or_insert(now);
            return;
        }
        // Until all that it needs is done, durably and as read here, it is no work of this share. Its
        // view takes it up again with the last of them.
        let Some(ready_ms) = view.ready_ms(record) else { return };
        // The team's former owner may have started everything that it could read before it saw the
        // change of the map. A leader that takes the team for itself knows its own write before
        // its next sync brings the jobs that came before that; so it is the versions that tell, not
        // when a job appeared here. Progress is recorded only of what has run.
        let unheard_of = version > team.gained && record.done.is_empty();
        let settled = team.unsettled.is_empty() || unheard_of;
        let age = wall_ms.saturating_sub(ready_ms) as f64 / 1e3;
        let mut job = Job::new(spec.clone(), record.clone(), version, now - age, settled);
        if job.is_gang() && !job.done.is_empty() {
            (0..spec.tasks).for_each(|index| job.set(index, Task::Done, None));
            job.dirty = Some(now);
        }
        // Attempts of it may be on machines that reported before it was known here.
        let mut exits = Vec::new();
        for machine in self.machines.values_mut() {
            for ((task, attempt), held) in &mut machine.on {
                if task.job != *id {
                    continue;
                }
                describe(held, spec);
                if let Phase::Exited(why) = held.phase {
                    exits.push((machine.id.clone(), task.clone(), *attempt, why));
                } else if matches!(job.task(task.index), Some(Task::Waiting | Task::Unsettled)) {
                    let placed = Task::Placed(machine.id.clone(), *attempt);
                    job.set(task.index, placed, Some(&machine.zone));
                    job.began |= held.began.is_some();
                }
            }
        }
        self.forecast.arrived(spec, job.submitted);
        self.jobs.insert(id.clone(), job);
        self.make_urgent(view, id, (now, wall_ms));
        self.changed = true;
        for (machine, task, attempt, why) in exits {
            self.task_exited(&machine, &task, attempt, why, now);
        }
    }

    /// A job takes the priority and the deadline of those that need it.
    fn make_urgent(&mut self, view: &View, id: &JobId, (now, wall_ms): (Time, u64)) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let on_clock = |ms: u64| now + (ms as f64 - wall_ms as f64) / 1e3;
        let finish = self.config.finish_objective(&job.spec.class);
        let own = job.spec.deadline_s.filter(|_| finish.is_none());
        let own = own.map(|due| on_clock(job.record.accepted_ms) + due);
        let inherited = view.inherited(id);
        let theirs = inherited.and_then(|urgency| urgency.due_ms).map(on_clock);
        job.deadline = [own, theirs].into_iter().flatten().min_by(Time::total_cmp);
        let Some(urgency) = inherited.filter(|urgency| urgency.priority > job.priority) else {
            return;
        };
        job.priority = urgency.priority;
        self.changed = true;
        for ((task, _), held) in self.machines.values_mut().flat_map(|m| &mut m.on) {
            if task.job == *id {
                held.priority = held.priority.max(urgency.priority);
            }
        }
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
        if now < self.running_at + self.config.deployment.workers.lease_s / 20.0 {
            return;
        }
        self.running_at = now;
        self.running.clear();
        for ((task, _), held) in self.machines.values().flat_map(|machine| &machine.on) {
            if held.has_image()
                && let Some(job) = self.jobs.get(&task.job)
            {
                let counts = self.running.entry(task.job.clone()).or_default();
                *counts = (job.done.len(), counts.1 + 1);
            }
        }
    }

    /// A gang's tasks complete together: if one is done, they all are. The others' machines may
    /// be lost before they can say so.
    pub(super) fn gang_done(&mut self, id: &JobId) {
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

    /// One task of a gang is gone: the others cannot go on, so they make room at once.
    pub(super) fn gang_lost_one(&mut self, id: &JobId, attempt: Attempt) {
        let Some(job) = self.jobs.get(id).filter(|job| job.is_gang() && job.spec.tasks > 1) else {
            return;
        };
        for index in 0..job.spec.tasks {
            let Some(Task::Placed(machine, other)) = job.task(index) else { continue };
            let key = (TaskId { job: id.clone(), index }, attempt);
            if *other == attempt
                && let Some(machine) = self.machines.get_mut(machine)
                && let Some(held) = machine.on.get_mut(&key)
                && !held.exited()
                && held.stop.is_none()
            {
                held.stop = Some(0.0);
                self.push.insert(machine.id.clone());
            }
        }
    }
}

pub(super) fn describe(held: &mut Held, spec: &JobSpec) {
    held.room = Some(Room::of(spec));
    held.team = Some(spec.team.clone());
    held.image = Some((spec.image.clone(), spec.image_gb));
    held.priority = spec.priority;
    held.save_s = if spec.checkpoint_s > 0.0 { spec.save_s } else { 0.0 };
}

/// What is left of a cancelled job, as its record tells.
pub(super) fn describe_leaving(held: &mut Held, leaving: &Leaving) {
    held.room = Some(leaving.need);
    held.team = Some(leaving.team.clone());
}

#[cfg(test)]
mod tests;
