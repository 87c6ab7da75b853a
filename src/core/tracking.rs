//! What machines tell, and what they are told.
//!
//! A task counts as possibly on a machine from the moment its start is issued until it is seen
//! ended or the machine is known empty. A machine is known empty when its session has risen, its
//! deletion was answered, or its lease must have run out since its last answered report.

use super::authority::DRIFT;
use super::catalog::Catalog;
use super::io::Io;
use super::jobs::Task;
use super::machines::{Carrier, Freshness, Held, Orders, Phase};
use super::owned_jobs::{describe, describe_leaving};
use super::owner::Owner;
use super::placement::Resources;
use super::starts_in_flight::AttemptKey;
use super::unresponsive::Unresponsive;
use super::view::View;
use super::{Answer, Body, CallId, Time, WorkerReply};
use crate::ids::{Attempt, JobId, MachineId, TaskId};
use crate::wire::{DirectOrders, Exit, Kind, Order, Report, ReportAnswer, ReportedTask, TaskState};
use std::collections::BTreeSet;

/// Reports that may fail to show a task whose start was in their answers.
const PATIENCE: u32 = 3;
/// Part of a lease after which a machine that is not heard is said to be silent. A worker that does
/// not reach its owner is with another controller, which relays its reports, before that: after a
/// report time, 4 s without an answer and a pause of 1 s.
const UNRESPONSIVE_LEASES: f64 = 0.7;
/// Direct orders under way at once at most, as a part of the limit on sockets. What is over goes in
/// the answers to the next reports, or as soon as others have been answered.
const ORDERS_PER_SOCKET: f64 = 0.15;
/// Direct messages to a machine that may arrive late, at which it gets a fresh token.
const GIVEN_UP_MESSAGES: usize = 8;
/// Leases for which a machine that fails every job is set aside.
const ASIDE_LEASES: f64 = 20.0;

/// Stops for the tasks that a report shows of jobs that are over.
fn stops_of_ended(report: &Report, view: &View) -> Vec<Order> {
    let over = |task: &&ReportedTask| {
        let job = TaskId::parse(&task.task).and_then(|id| view.job(&id.job));
        task.state != TaskState::Exited && job.is_some_and(|job| job.record.is_final())
    };
    let ended = report.tasks.iter().filter(over);
    ended
        .map(|task| Order::Stop { task: task.task.clone(), attempt: task.attempt, grace_s: 0.0 })
        .collect()
}

impl Owner {
    /// How long after its last answered report a machine may still have its tasks.
    fn lease(&self) -> Time {
        let workers = &self.config.deployment.workers;
        workers.lease_s * (1.0 + DRIFT) + workers.report_s * 0.1
    }

    /// Answers the report of a worker on one of our machines; None if it is not ours.
    pub fn checkin(
        &mut self,
        io: &mut Io,
        view: &View,
        catalog: &Catalog,
        report: Report,
    ) -> Option<Answer> {
        let now = io.now;
        let id = report.machine.clone();
        let machine = self.machines.get_mut(&id).filter(|machine| machine.mine)?;
        if machine.total == Resources::default() || machine.address != report.address {
            machine.describe(&report, catalog.types());
        }
        if report.token > machine.token {
            // Somebody with a later term is in charge; the map will tell.
            return Some(Answer::unavailable());
        }
        let freshness = machine.freshness(&report, false);
        if freshness == Freshness::Copy {
            return Some(Answer::unavailable());
        }
        self.starts_in_flight.reported(&id);
        if let Freshness::NewReport { new_session } = freshness {
            self.take_report(io, view, &report, new_session, true);
        }
        self.heard = now;
        let machine = self.machines.get_mut(&id)?;
        if machine.unresponsive {
            // Its last answer has been told to be the last under this term.
            machine.raise = true;
            self.hurry |= self.need.raise(&id, machine.token);
            return Some(Answer::unavailable());
        }
        machine.answered = now;
        machine.empty = false;
        // Until the machine has shown its token it gets that and no commands but stops of what is over:
        // an answer keeps its tasks alive, and with one owner after the other it might never get them.
        let orders = if machine.trusted {
            let orders = machine.orders(&self.starts_in_flight, Carrier::ReportAnswer);
            self.starts_in_flight.answered(&id, report.session, orders.starts);
            orders.list
        } else {
            stops_of_ended(&report, view)
        };
        let answer = ReportAnswer { token: machine.token, orders };
        Some(Answer { status: 200, body: Body::Orders(answer), retry_after: None })
    }

    /// Takes up what a newer message of a machine says.
    fn take_report(
        &mut self,
        io: &mut Io,
        view: &View,
        report: &Report,
        new_session: bool,
        checkin: bool,
    ) {
        let now = io.now;
        let id = report.machine.clone();
        self.starts_in_flight.shown(&id, report.token, report.session);
        let Some(machine) = self.machines.get_mut(&id) else { return };
        if new_session {
            // The earlier session's tasks are gone, and nothing sent in it will be executed. If
            // its lease ran out, answers may not reach it: it has to show a fresh token.
            let gone: Vec<_> = machine.on.keys().cloned().collect();
            machine.raise |= machine.trusted;
            machine.trusted = false;
            if !gone.is_empty() {
                tracing::info!("{id}: new session, {} tasks gone", gone.len());
            }
            for (task, attempt) in gone {
                self.drop_held(&id, &task, attempt, now);
            }
        }
        let Some(machine) = self.machines.get_mut(&id) else { return };
        machine.leaves = report.notice_s.map(|left| now + left);
        self.changed |= machine.leaves.is_some();
        if report.token != machine.token {
            return;
        }
        let newly_trusted = !std::mem::replace(&mut machine.trusted, true);
        if newly_trusted {
            machine.idle_since = now;
            self.hurry = true;
            self.changed = true;
        }
        machine.suspect = false;
        machine.former = None;
        let mut shown = BTreeSet::new();
        for reported in &report.tasks {
            if let Some(task) = TaskId::parse(&reported.task) {
                shown.insert((task.clone(), reported.attempt));
                self.take_task(io, view, &id, task, reported);
            }
        }
        self.take_missing(&id, &shown, checkin, now);
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
        let mut gone = Vec::new();
        for (key, held) in machine.on.iter_mut().filter(|(key, _)| !shown.contains(*key)) {
            match held.phase {
                Phase::Seen(_) | Phase::Exited(_) => gone.push(key.clone()),
                Phase::Issued if checkin && !self.starts_in_flight.awaits_answer(id, key) => {
                    held.misses += 1;
                    let patience = if held.stop.is_some() { 1 } else { PATIENCE };
                    if held.misses >= patience {
                        gone.push(key.clone());
                    }
                }
                Phase::Issued => {}
            }
        }
        machine.suspect |= gone.iter().any(|key| machine.on[key].phase == Phase::Issued);
        for (task, attempt) in gone {
            self.drop_held(id, &task, attempt, now);
        }
    }

    /// One task as its machine shows it.
    pub(super) fn take_task(
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
        let stored = view.job(&task.job).map(|stored| &stored.record);
        let phase = match reported.state {
            TaskState::Exited => Phase::Exited(reported.why.unwrap_or(Exit::Other)),
            state => Phase::Seen(state),
        };
        let held = machine.on.entry((task.clone(), attempt)).or_insert_with(|| {
            self.task_index.add(&task.job, id);
            Held::new(now)
        });
        if held.team.is_none()
            && let Some(record) = stored
        {
            match (&record.spec, &record.leaving) {
                (Some(spec), _) => describe(held, spec),
                (None, Some(leaving)) => describe_leaving(held, leaving),
                (None, None) => {}
            }
        }
        let news = std::mem::replace(&mut held.phase, phase.clone()) != phase;
        if held.has_image() && held.began.is_none() {
            held.began = Some(now);
            tracing::debug!("{task} has its image on {id} after {:.1} s", now - held.issued);
            if let Some((image, gb)) = held.image.clone() {
                machine.used_image(&image, gb);
            }
        }
        self.changed |= news;
        let Some(held) = machine.on.get_mut(&(task.clone(), attempt)) else { return };
        let over = stored.is_some_and(|record| record.is_final());
        let Some(job) = self.jobs.get_mut(&task.job) else {
            // An accepted job that is over is stopped and forgotten. One of another owner's team
            // is that owner's; one that is not known yet will be.
            held.forget |= over;
            if over && !held.exited() && held.stop != Some(0.0) {
                held.stop = Some(0.0);
                self.push.insert(id.clone());
            }
            self.hurry |= news && !over;
            return;
        };
        let here = Task::Placed(id.clone(), attempt);
        match job.task(task.index) {
            Some(Task::Unsettled | Task::Waiting) if !held.exited() => {
                job.set(task.index, here, Some(&machine.zone));
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
        job.began |= held.began.is_some();
        if news && let Phase::Exited(why) = phase {
            self.task_exited(id, &task, attempt, why, now);
        }
    }

    pub(super) fn task_exited(
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
            if job.is_gang() {
                self.gang_done(&task.job);
            }
            return self.note_progress(&task.job, now);
        }
        held.forget = true;
        if !here {
            return;
        }
        let retry = job.retries.entry(task.index).or_default();
        match why {
            Exit::Error | Exit::Other => {
                retry.failures += 1;
                retry.not_before = now + 2f64.powi(retry.failures.min(5) as i32 - 1);
                job.failed_on.insert(id.clone());
                machine.failed_jobs.insert(task.job.clone());
                tracing::info!("{task} failed on {id} ({} times)", retry.failures);
                self.judge_machine(id, now);
            }
            Exit::NoRoom | Exit::Busy | Exit::UnknownJob => {
                retry.not_before = now + self.config.deployment.workers.report_s * 0.5;
            }
            Exit::Stopped | Exit::PeersGone | Exit::Alone | Exit::Done => {}
        }
        self.attempt_lost(id, task, attempt);
    }

    /// The attempt of a task that was meant to run has ended on this machine. The task waits, or is
    /// where another attempt of it may be: one that was too many is stopped, but until it has gone no
    /// other may start.
    fn attempt_lost(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) {
        let other = self.other_attempt(task);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if job.task(task.index) != Some(&Task::Placed(id.clone(), attempt)) {
            return;
        }
        let zone = self.machines.get(id).map(|machine| &machine.zone);
        job.set(task.index, Task::Waiting, zone);
        if let Some((machine, attempt)) = other {
            let zone = self.machines.get(&machine).map(|machine| &machine.zone);
            job.set(task.index, Task::Placed(machine, attempt), zone);
        }
        self.gang_lost_one(&task.job, attempt);
    }

    /// A machine that failed several jobs which failed nowhere else is set aside. A job that was
    /// submitted with a mistake fails everywhere and says nothing of machines.
    fn judge_machine(&mut self, id: &MachineId, now: Time) {
        let jobs = &self.jobs;
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.failed_jobs.retain(|job| jobs.contains_key(job));
        let here_only = |job: &&JobId| jobs.get(*job).is_some_and(|j| j.failed_on.len() == 1);
        if machine.failed_jobs.iter().filter(here_only).count() >= 2 {
            tracing::info!("{id} is set aside: tasks of several jobs fail on it alone");
            machine.aside_until = now + self.config.deployment.workers.lease_s * ASIDE_LEASES;
        }
    }

    /// An attempt is not on the machine (any more), so nothing is known of it any longer; unless a start
    /// of it may still arrive: then the machine gets a fresh token, under which it can't.
    pub(super) fn drop_held(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let key = (task.clone(), attempt);
        if self.starts_in_flight.may_arrive(id, &key) {
            machine.raise = true;
            return;
        }
        if machine.on.remove(&key).is_none() {
            return;
        }
        self.task_index.remove(&task.job, id);
        if machine.idle() {
            machine.idle_since = now;
        }
        self.changed = true;
        self.attempt_lost(id, task, attempt);
    }

    /// Machines that have not been heard for long are not answered any more under their present
    /// terms, so that their next owners need not wait as long as if they had been until the end.
    /// Not while this process hears nobody, for then the trouble is its own, nor while it could not
    /// get them fresh tokens.
    pub(super) fn declare_unresponsive(&mut self, view: &View, now: Time) {
        let workers = &self.config.deployment.workers;
        if now > self.heard + workers.report_s || now > view.current_as_of + workers.report_s {
            return;
        }
        let silence = workers.lease_s * UNRESPONSIVE_LEASES;
        for machine in self.machines.values_mut() {
            let since = machine.answered.max(machine.awaited);
            let silent = now > since + silence && machine.former.is_none();
            machine.unresponsive |= machine.mine && silent;
        }
    }

    /// What siblings are to know of machines that are not answered any more.
    pub(super) fn unresponsive(&self, now: Time) -> Vec<Unresponsive> {
        let quiet = self.machines.values().filter(|machine| machine.mine && machine.unresponsive);
        quiet
            .map(|machine| Unresponsive {
                machine: machine.id.clone(),
                term: machine.token,
                age: now - machine.answered,
            })
            .collect()
    }

    /// Machines whose lease must have run out are empty: nobody else was entitled to answer them
    /// until then, which only a map read after that can tell. A process that lives on vouchers, or
    /// whose reads are slow, may otherwise take a machine for silent that has moved to a sibling.
    pub(super) fn expire_machines(&mut self, view: &View, now: Time) {
        let (lease, current) = (self.lease(), view.current_as_of);
        let ours = self.machines.values().filter(|m| m.mine && !m.empty && m.former.is_none());
        let expired: Vec<MachineId> =
            ours.filter(|m| current > m.answered + lease).map(|m| m.id.clone()).collect();
        for id in expired {
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            let gone: Vec<_> = machine.on.keys().cloned().collect();
            tracing::info!("{id} is silent; {} tasks on it are gone", gone.len());
            machine.end_session();
            self.starts_in_flight.void(&id);
            self.hurry = true;
            for (task, attempt) in gone {
                self.drop_held(&id, &task, attempt, now);
            }
        }
    }

    /// The cloud has deleted the machine.
    pub(super) fn remove_machine(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else { return };
        let gone: Vec<_> = machine.on.keys().cloned().collect();
        self.starts_in_flight.void(id);
        for (task, attempt) in gone {
            self.drop_held(id, &task, attempt, now);
        }
        self.machines.remove(id);
        self.changed = true;
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
        describe(&mut held, &job.spec);
        held.priority = job.priority;
        job.set(index, Task::Placed(machine.id.clone(), attempt), Some(&machine.zone));
        let task = TaskId { job: id.clone(), index };
        let (waited, spec) = (now - job.submitted, &job.spec);
        let ready = machine.ready_in(&spec.image, spec.image_gb, now);
        tracing::debug!(
            "start {task} of {} on {} after {waited:.1} s, image {} in {ready:.1} s",
            spec.class,
            machine.id,
            spec.image
        );
        self.task_index.add(&task.job, &machine.id);
        machine.on.insert((task, attempt), held);
        self.push.insert(machine.id.clone());
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

    pub(super) fn push_orders(&mut self, io: &mut Io) {
        let sockets = self.config.deployment.limits.fd_limit as f64;
        let most = (sockets * ORDERS_PER_SOCKET).ceil() as usize;
        while io.direct_orders() < most
            && let Some(id) = self.push.pop_first()
        {
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            if !machine.mine {
                self.hurry = true;
                continue;
            }
            if !machine.trusted || machine.suspect || machine.raise {
                continue;
            }
            let Orders { list, starts } = machine.orders(&self.starts_in_flight, Carrier::Direct);
            if list.is_empty() {
                continue;
            }
            let (token, session) = (machine.token, machine.session);
            let message = DirectOrders { token, session, orders: list };
            let call = io.worker(&id, &machine.address, message);
            self.starts_in_flight.sent(&id, call, (token, session), starts);
        }
    }

    /// A direct message was answered, or its answer is not waited for any more.
    pub fn orders_answered(
        &mut self,
        io: &mut Io,
        view: &View,
        id: &MachineId,
        call: CallId,
        reply: WorkerReply,
    ) {
        match reply {
            WorkerReply::Executed(report) | WorkerReply::Fenced(report) => {
                self.starts_in_flight.settled(id, call);
                self.take_direct_report(io, view, id, &report);
            }
            WorkerReply::NotSent => {
                let unsent = self.starts_in_flight.settled(id, call);
                self.drop_unsent(id, unsent, io.now);
            }
            WorkerReply::Unknown => {
                let given_up = self.starts_in_flight.given_up(id, call);
                if let Some(machine) = self.machines.get_mut(id).filter(|machine| machine.mine) {
                    machine.suspect = true;
                    machine.raise |= given_up >= GIVEN_UP_MESSAGES;
                }
            }
        }
    }

    /// Takes up the report in the answer to a direct message.
    fn take_direct_report(&mut self, io: &mut Io, view: &View, id: &MachineId, report: &Report) {
        // Of a machine that has changed hands meanwhile its new owner tells.
        let Some(machine) = self.machines.get_mut(id).filter(|machine| machine.mine) else {
            return;
        };
        if report.machine != *id || report.token > machine.token {
            return;
        }
        if let Freshness::NewReport { new_session } = machine.freshness(report, true) {
            self.take_report(io, view, report, new_session, false);
        }
    }

    /// A direct message could not be sent: the attempts that it would have started, and that nothing
    /// else under way starts, are not there.
    fn drop_unsent(&mut self, id: &MachineId, starts: BTreeSet<AttemptKey>, now: Time) {
        let Some(machine) = self.machines.get_mut(id).filter(|machine| machine.mine) else {
            return;
        };
        machine.suspect = true;
        let issued =
            |key: &AttemptKey| machine.on.get(key).is_some_and(|held| held.phase == Phase::Issued);
        let unsent: Vec<AttemptKey> = starts
            .into_iter()
            .filter(|key| issued(key) && !self.starts_in_flight.may_arrive(id, key))
            .collect();
        for (task, attempt) in unsent {
            self.drop_held(id, &task, attempt, now);
        }
    }
}

#[cfg(test)]
mod tests;
