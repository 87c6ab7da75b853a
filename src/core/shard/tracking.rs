//! What machines tell of the tasks on them.
//!
//! A task counts as possibly on a machine from the moment its start is issued until it is seen
//! ended or the machine is known empty, and as long as a start of it may still arrive
//! ([`crate::core::machines::starts_in_flight`]). A machine is known empty when its session has risen, its deletion was
//! answered, or its lease must have run out since its last answered report ([`crate::core::shard::lease_expiry`]).

use crate::core::effects::outbox::Outbox;
use crate::core::effects::{Answer, Body};
use crate::core::jobs::job::Task;
use crate::core::machines::machine::{Carrier, Freshness, Phase, TrackedAttempt};
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::Catalog;
use crate::core::shard::Shard;
use crate::core::shard::owned_jobs::{describe, describe_terminating};
use crate::core::store::replica::StoreReplica;
use crate::ids::{Attempt, JobId, MachineId, TaskId};
use crate::wire::{Command, Exit, Heartbeat, HeartbeatResponse, Kind, ReportedTask, TaskState};
use std::collections::BTreeSet;

/// Reports that may fail to show a task whose start was in their answers.
const REPORTS_WITHOUT_A_START: u32 = 3;

/// Leases for which a machine that fails every job is set aside.
const CORDON_LEASES: f64 = 20.0;

/// Stops for the tasks that a report shows of jobs that are over.
fn stops_of_ended(heartbeat: &Heartbeat, store: &StoreReplica) -> Vec<Command> {
    let ended_epoch = |task: &&ReportedTask| {
        let job = TaskId::parse(&task.task).and_then(|id| store.job(&id.job));
        task.state != TaskState::Exited && job.is_some_and(|job| job.record.is_final())
    };
    let ended = heartbeat.tasks.iter().filter(ended_epoch);
    ended
        .map(|task| Command::Stop {
            task: task.task.clone(),
            attempt: task.attempt,
            grace_s: 0.0,
        })
        .collect()
}

impl Shard {
    /// Answers the report of a worker on one of our machines; None if it is not ours.
    pub fn handle_heartbeat(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        catalog: &Catalog,
        heartbeat: Heartbeat,
    ) -> Option<Answer> {
        let now = outbox.now;
        let id = heartbeat.machine.clone();
        let machine = self
            .machines
            .get_mut(&id)
            .filter(|machine| machine.is_owned)?;
        if machine.total == Resources::default() || machine.address != heartbeat.address {
            machine.describe(&heartbeat, catalog.types());
        }
        if heartbeat.token > machine.token {
            // Somebody with a later term is in charge; the map will tell.
            return Some(Answer::unavailable());
        }
        let freshness = machine.freshness(&heartbeat, false);
        if freshness == Freshness::Copy {
            return Some(Answer::unavailable());
        }
        self.starts_in_flight.reported(&id);
        if let Freshness::NewReport { new_epoch } = freshness {
            self.take_heartbeat(outbox, store, &heartbeat, new_epoch, true);
        }
        self.heard = now;
        let machine = self.machines.get_mut(&id)?;
        if machine.unresponsive {
            // Its last answer has been told to be the last under this term.
            machine.needs_new_token = true;
            self.sync_soon |= self.demand.request_new_token(&id, machine.token);
            return Some(Answer::unavailable());
        }
        machine.last_answered = now;
        machine.known_empty = false;
        // Until the machine has shown its token it gets that and no commands but stops of what is over:
        // an answer keeps its tasks alive, and with one owner after the other it might never get them.
        let commands = if machine.token_confirmed {
            let commands = machine.commands(&self.starts_in_flight, Carrier::HeartbeatResponse);
            self.starts_in_flight
                .answered(&id, heartbeat.agent_epoch, commands.starts);
            commands.list
        } else {
            stops_of_ended(&heartbeat, store)
        };
        let answer = HeartbeatResponse {
            token: machine.token,
            commands,
        };
        Some(Answer {
            status: 200,
            body: Body::HeartbeatResponse(answer),
            retry_after: None,
        })
    }

    /// Takes up what a newer message of a machine says.
    pub(crate) fn take_heartbeat(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        heartbeat: &Heartbeat,
        new_epoch: bool,
        handle_heartbeat: bool,
    ) {
        let now = outbox.now;
        let id = heartbeat.machine.clone();
        self.starts_in_flight
            .shown(&id, heartbeat.token, heartbeat.agent_epoch);
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        if new_epoch {
            // The earlier session's tasks are gone, and nothing sent in it will be executed. If
            // its lease ran out, answers may not reach it: it has to show a fresh token.
            let gone: Vec<_> = machine.attempts.keys().cloned().collect();
            machine.needs_new_token |= machine.token_confirmed;
            machine.token_confirmed = false;
            if !gone.is_empty() {
                tracing::info!("{id}: new session, {} tasks gone", gone.len());
            }
            for (task, attempt) in gone {
                self.drop_attempt(&id, &task, attempt, now);
            }
        }
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        machine.reclaimed_at = heartbeat.reclaim_notice_s.map(|left| now + left);
        self.changed |= machine.reclaimed_at.is_some();
        if heartbeat.token != machine.token {
            return;
        }
        let newly_trusted = !std::mem::replace(&mut machine.token_confirmed, true);
        if newly_trusted {
            machine.idle_since = now;
            self.sync_soon = true;
            self.changed = true;
        }
        machine.unreachable = false;
        machine.previous_owner = None;
        let mut shown = BTreeSet::new();
        for reported in &heartbeat.tasks {
            if let Some(task) = TaskId::parse(&reported.task) {
                shown.insert((task.clone(), reported.attempt));
                self.take_task(outbox, store, &id, task, reported);
            }
        }
        self.take_missing(&id, &shown, handle_heartbeat, now);
    }

    /// What the machine does not show (any more).
    fn take_missing(
        &mut self,
        id: &MachineId,
        shown: &BTreeSet<(TaskId, Attempt)>,
        handle_heartbeat: bool,
        now: Time,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let mut gone = Vec::new();
        for (key, tracked) in machine
            .attempts
            .iter_mut()
            .filter(|(key, _)| !shown.contains(*key))
        {
            match tracked.phase {
                Phase::Seen(_) | Phase::Exited(_) => gone.push(key.clone()),
                Phase::Issued
                    if handle_heartbeat && !self.starts_in_flight.awaits_answer(id, key) =>
                {
                    tracked.missed_heartbeats += 1;
                    let patience = if tracked.stop.is_some() {
                        1
                    } else {
                        REPORTS_WITHOUT_A_START
                    };
                    if tracked.missed_heartbeats >= patience {
                        gone.push(key.clone());
                    }
                }
                Phase::Issued => {}
            }
        }
        machine.unreachable |= gone
            .iter()
            .any(|key| machine.attempts[key].phase == Phase::Issued);
        for (task, attempt) in gone {
            self.drop_attempt(id, &task, attempt, now);
        }
    }

    /// One task as its machine shows it.
    pub(crate) fn take_task(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        id: &MachineId,
        task: TaskId,
        reported: &ReportedTask,
    ) {
        let now = outbox.now;
        let attempt = reported.attempt;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let stored = store.job(&task.job).map(|stored| &stored.record);
        let phase = match reported.state {
            TaskState::Exited => Phase::Exited(reported.exit.unwrap_or(Exit::Other)),
            state => Phase::Seen(state),
        };
        let tracked = machine
            .attempts
            .entry((task.clone(), attempt))
            .or_insert_with(|| {
                self.task_index.add(&task.job, id);
                TrackedAttempt::new(now)
            });
        if tracked.team.is_none()
            && let Some(record) = stored
        {
            match (&record.spec, &record.terminating) {
                (Some(spec), _) => {
                    describe(tracked, &self.config, spec);
                    tracked.opportunistic &= store.inherited(&task.job).is_none();
                }
                (None, Some(terminating)) => describe_terminating(tracked, terminating),
                (None, None) => {}
            }
        }
        let news = std::mem::replace(&mut tracked.phase, phase.clone()) != phase;
        if tracked.has_image() && tracked.started_at.is_none() {
            tracked.started_at = Some(now);
            tracing::debug!(
                "{task} has its image on {id} after {:.1} s",
                now - tracked.issued_at
            );
            if let Some((image, gb)) = tracked.image.clone() {
                machine.used_image(&image, gb);
            }
        }
        self.changed |= news;
        let Some(tracked) = machine.attempts.get_mut(&(task.clone(), attempt)) else {
            return;
        };
        let ended_epoch = stored.is_some_and(|record| record.is_final());
        let Some(job) = self.jobs.get_mut(&task.job) else {
            // An accepted job that is over is stopped and forgotten. One of another owner's team
            // is that owner's; one that is not known yet will be.
            tracked.may_forget |= ended_epoch;
            if ended_epoch && !tracked.exited() && tracked.stop != Some(0.0) {
                tracked.stop = Some(0.0);
                self.unsent_commands.insert(id.clone());
            }
            self.sync_soon |= news && !ended_epoch;
            return;
        };
        let here = Task::Placed(id.clone(), attempt);
        match job.task(task.index) {
            Some(Task::Unsettled | Task::Waiting) if !tracked.exited() => {
                job.set(task.index, here, Some(&machine.zone));
                job.began = true;
            }
            // Another attempt of it is meant to run elsewhere, or none is needed any more.
            Some(meant) if *meant != here && !tracked.exited() && tracked.stop != Some(0.0) => {
                tracing::info!("{task}: attempt {} on {id} is one too many", attempt.0);
                tracked.stop = Some(0.0);
                self.unsent_commands.insert(id.clone());
            }
            _ => {}
        }
        job.began |= tracked.started_at.is_some();
        if news && let Phase::Exited(why) = phase {
            self.task_exited(id, &task, attempt, why, now);
        }
    }

    pub(crate) fn task_exited(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        why: Exit,
        now: Time,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.note_end(&(task.clone(), attempt), now);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let zone = machine.zone.clone();
        let Some(tracked) = machine.attempts.get_mut(&(task.clone(), attempt)) else {
            return;
        };
        let here = job.task(task.index) == Some(&Task::Placed(id.clone(), attempt));
        let zone = here.then_some(&zone);
        if why == Exit::Done && job.spec.kind != Kind::Service {
            // Its exit may be forgotten only once it is recorded.
            job.set(task.index, Task::Done, zone);
            job.failures.prove();
            if job.is_gang() {
                self.gang_done(&task.job);
            }
            return self.note_progress(&task.job, now);
        }
        tracked.may_forget = true;
        if !here {
            return;
        }
        let retry = job.retries.entry(task.index).or_default();
        match why {
            Exit::Error | Exit::Other => {
                retry.failures += 1;
                retry.not_before = now + 2f64.powi(retry.failures.min(5) as i32 - 1);
                let longest_interval = self.config.deployment.workers.cancel_s;
                let failing = job.failures.failed(id, longest_interval, now);
                machine.failed_jobs.insert(task.job.clone());
                tracing::info!("{task} failed on {id} ({} times)", retry.failures);
                if failing {
                    tracing::info!("{} fails on every machine: it is only probed", task.job);
                    self.forecast.withdraw(&job.spec);
                }
                let elsewhere = job.failures.machines().clone();
                self.judge_machine(id, now);
                self.clear_machines(&elsewhere, now);
            }
            Exit::NoRoom | Exit::Busy | Exit::UnknownJob => {
                retry.not_before = now + self.config.deployment.workers.report_s * 0.5;
            }
            Exit::Stopped | Exit::PeersGone | Exit::GangIncomplete | Exit::Done => {}
        }
        self.attempt_lost(id, task, attempt);
    }

    /// The attempt of a task that was meant to run has ended on this machine. The task waits, or is
    /// where another attempt of it may be: one that was too many is stopped, but until it has gone no
    /// other may start.
    fn attempt_lost(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) {
        let other = self.other_attempt(task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
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
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.failed_jobs.retain(|job| jobs.contains_key(job));
        if self.seems_faulty(id) {
            let Some(machine) = self.machines.get_mut(id) else {
                return;
            };
            tracing::info!("{id} is set aside: tasks of several jobs fail on it alone");
            machine.cordoned_until = now + self.config.deployment.workers.lease_s * CORDON_LEASES;
        }
    }

    /// Several jobs have failed on this machine and nowhere else.
    fn seems_faulty(&self, id: &MachineId) -> bool {
        let here_only = |job: &&JobId| {
            self.jobs
                .get(*job)
                .is_some_and(|job| job.failures.on_one_machine_only())
        };
        let failed = self.machines.get(id).map(|machine| &machine.failed_jobs);
        failed.is_some_and(|failed| failed.iter().filter(here_only).count() >= 2)
    }

    /// A job has failed on another machine too: those that were set aside for its sake are used again.
    fn clear_machines(&mut self, failed_on: &BTreeSet<MachineId>, now: Time) {
        for id in failed_on {
            let aside = self
                .machines
                .get(id)
                .is_some_and(|m| now < m.cordoned_until);
            if aside
                && !self.seems_faulty(id)
                && let Some(machine) = self.machines.get_mut(id)
            {
                tracing::info!("{id} is used again: what failed on it fails elsewhere too");
                machine.cordoned_until = now;
                self.changed = true;
            }
        }
    }

    /// An attempt is not on the machine (any more), so nothing is known of it any longer; unless a start
    /// of it may still arrive: then the machine gets a fresh token, under which it can't.
    pub(crate) fn drop_attempt(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        now: Time,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let key = (task.clone(), attempt);
        if self.starts_in_flight.may_arrive(id, &key) {
            machine.needs_new_token = true;
            return;
        }
        machine.note_end(&key, now);
        if machine.attempts.remove(&key).is_none() {
            return;
        }
        self.task_index.remove(&task.job, id);
        self.changed = true;
        self.attempt_lost(id, task, attempt);
    }
}

#[cfg(test)]
mod tests;
