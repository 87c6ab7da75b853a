//! Reconciliation of the machines' heartbeats with the attempts and jobs known here.
//!
//! An attempt counts as possibly on a machine from the moment its start is issued until it is seen
//! ended or the machine is known to be empty, and as long as its start may still arrive
//! ([`crate::core::machines::starts_in_flight`]). A machine is known to be empty when its agent epoch has
//! advanced, its deletion was confirmed, or its lease must have expired since its last answered heartbeat
//! ([`crate::core::shard::lease_expiry`]).

mod attempt_end;
mod cordon;

use crate::core::effects::{Answer, Body};
use crate::core::jobs::job::Task;
use crate::core::machines::machine::{
    CommandChannel, Freshness, HeartbeatOrigin, Phase, TrackedAttempt,
};
use crate::core::machines::starts_in_flight::AttemptKey;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::Catalog;
use crate::core::shard::Shard;
use crate::core::shard::owned_jobs::describe_stored_attempt;
use crate::core::store::replica::StoreReplica;
use crate::ids::{JobId, MachineId, TaskId};
use crate::wire::{Command, Exit, Heartbeat, HeartbeatResponse, ReportedTask, TaskState};
use std::collections::BTreeSet;

/// Heartbeats that may fail to show an attempt whose start was in the responses to earlier ones, until it
/// is taken to be absent.
const HEARTBEATS_WITHOUT_START: u32 = 3;

/// The same for an attempt that is to be stopped anyway.
const HEARTBEATS_WITHOUT_STOPPED_START: u32 = 1;

impl Shard {
    /// Answers a heartbeat of a worker; None if its machine is not owned by this process.
    pub fn handle_heartbeat(
        &mut self,
        store: &StoreReplica,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
        now: Time,
    ) -> Option<Answer> {
        let machine = self
            .machines
            .get_mut(&heartbeat.machine)
            .filter(|machine| machine.is_owned)?;
        if machine.total == Resources::default() || machine.address != heartbeat.address {
            machine.describe(heartbeat, catalog.types());
        }
        if heartbeat.token > machine.token {
            // The machine has a later owner or token, which the shard map will show here soon.
            return Some(Answer::unavailable());
        }
        let freshness = machine.accept_heartbeat(heartbeat, HeartbeatOrigin::Periodic);
        if freshness == Freshness::Duplicate {
            return Some(Answer::unavailable());
        }
        self.starts_in_flight.reported(&heartbeat.machine);
        if let Freshness::New { new_epoch } = freshness {
            let origin = HeartbeatOrigin::Periodic;
            self.apply_heartbeat(store, heartbeat, new_epoch, origin, now);
        }
        self.last_heartbeat = now;
        self.respond(store, heartbeat, now)
    }

    /// The response to a heartbeat, which extends the machine's lease unless it is refused.
    fn respond(
        &mut self,
        store: &StoreReplica,
        heartbeat: &Heartbeat,
        now: Time,
    ) -> Option<Answer> {
        let machine = self.machines.get_mut(&heartbeat.machine)?;
        if machine.unresponsive {
            // Siblings were told that the machine is not answered any more under its present token.
            machine.needs_new_token = true;
            self.sync_soon |= self.demand.request_new_token(&machine.id, machine.token);
            return Some(Answer::unavailable());
        }
        machine.last_answered = now;
        machine.known_empty = false;
        // Until the machine has shown its token it is sent the token and no commands but stops for jobs
        // that are over. It must be answered, for that keeps its tasks alive; and if its owner changes
        // again and again, it might never get those stops otherwise.
        let commands = if machine.token_confirmed {
            let channel = CommandChannel::HeartbeatResponse;
            let batch = machine.commands(&self.starts_in_flight, channel);
            self.starts_in_flight
                .answered(&machine.id, heartbeat.agent_epoch, batch.starts);
            batch.commands
        } else {
            stops_for_ended_jobs(heartbeat, store)
        };
        let response = HeartbeatResponse {
            token: machine.token,
            commands,
        };
        Some(Answer {
            status: 200,
            body: Body::HeartbeatResponse(response),
            retry_after: None,
        })
    }

    /// Applies a heartbeat that is newer than every message of the machine before.
    pub(super) fn apply_heartbeat(
        &mut self,
        store: &StoreReplica,
        heartbeat: &Heartbeat,
        new_epoch: bool,
        origin: HeartbeatOrigin,
        now: Time,
    ) {
        let machine_id = &heartbeat.machine;
        self.starts_in_flight
            .shown(machine_id, heartbeat.token, heartbeat.agent_epoch);
        if new_epoch {
            self.drop_attempts_of_earlier_epoch(machine_id, now);
        }
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.reclaimed_at = heartbeat.reclaim_notice_s.map(|left| now + left);
        self.changed_since_round |= machine.reclaimed_at.is_some();
        if heartbeat.token != machine.token {
            return;
        }
        let newly_confirmed = !std::mem::replace(&mut machine.token_confirmed, true);
        if newly_confirmed {
            machine.idle_since = now;
            self.sync_soon = true;
            self.changed_since_round = true;
        }
        machine.unreachable = false;
        machine.previous_owner = None;
        self.apply_reported_tasks(store, heartbeat, origin, now);
    }

    /// The worker has begun a new agent epoch: every attempt of the earlier one has ended, and nothing
    /// sent in it will be executed. If the worker's lease had expired, responses may not reach it: it
    /// has to show a new token.
    fn drop_attempts_of_earlier_epoch(&mut self, machine_id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.needs_new_token |= machine.token_confirmed;
        machine.token_confirmed = false;
        if !machine.attempts.is_empty() {
            tracing::info!(
                machine = %machine_id,
                attempts = machine.attempts.len(),
                "new agent epoch: attempts of the earlier one have ended"
            );
        }
        self.drop_attempts(machine_id, now);
    }

    /// Reconciles all attempts on a machine with those that its heartbeat shows.
    fn apply_reported_tasks(
        &mut self,
        store: &StoreReplica,
        heartbeat: &Heartbeat,
        origin: HeartbeatOrigin,
        now: Time,
    ) {
        let mut shown = BTreeSet::new();
        for reported in &heartbeat.tasks {
            if let Some(task) = TaskId::parse(&reported.task) {
                shown.insert((task.clone(), reported.attempt));
                self.apply_reported_task(store, &heartbeat.machine, task, reported, now);
            }
        }
        self.drop_missing_attempts(&heartbeat.machine, &shown, origin, now);
    }

    /// Drops the attempts that a machine does not show, or not any more.
    fn drop_missing_attempts(
        &mut self,
        machine_id: &MachineId,
        shown: &BTreeSet<AttemptKey>,
        origin: HeartbeatOrigin,
        now: Time,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let mut absent = Vec::new();
        let not_shown = machine
            .attempts
            .iter_mut()
            .filter(|(key, _)| !shown.contains(*key));
        for (key, tracked) in not_shown {
            if tracked.phase != Phase::Issued {
                absent.push(key.clone());
                continue;
            }
            // The answer to a direct message may be older than the response that carries the start; and
            // while a direct message with the start is unanswered, a heartbeat without the attempt proves
            // nothing.
            let may_count = origin == HeartbeatOrigin::Periodic
                && !self.starts_in_flight.awaits_answer(machine_id, key);
            if may_count && misses_one_too_many(tracked) {
                machine.unreachable = true;
                absent.push(key.clone());
            }
        }
        for (task, attempt) in absent {
            self.drop_attempt(machine_id, &task, attempt, now);
        }
    }

    /// Applies the state of one task as its machine shows it.
    pub(super) fn apply_reported_task(
        &mut self,
        store: &StoreReplica,
        machine_id: &MachineId,
        task: TaskId,
        reported: &ReportedTask,
        now: Time,
    ) {
        let phase = match reported.state {
            TaskState::Exited => Phase::Exited(reported.exit.unwrap_or(Exit::Other)),
            state => Phase::Seen(state),
        };
        let key = (task, reported.attempt);
        let Some(changed) = self.record_phase(store, machine_id, &key, &phase, now) else {
            return;
        };
        self.changed_since_round |= changed;
        let (task, attempt) = &key;
        if !self.jobs.contains_key(&task.job) {
            let job_is_over = store
                .job(&task.job)
                .is_some_and(|stored| stored.record.is_final());
            if job_is_over {
                self.stop_and_forget(machine_id, &key);
            }
            // The attempt of another owner's team is that owner's; one of a job that is not known yet
            // will be followed once the job is.
            self.sync_soon |= changed && !job_is_over;
            return;
        }
        self.reconcile_with_job(machine_id, &key);
        if changed && let Phase::Exited(reason) = phase {
            self.handle_task_exit(machine_id, task, *attempt, reason, now);
        }
    }

    /// Records how far an attempt has come, and returns whether that is new; None if the machine is
    /// not known.
    fn record_phase(
        &mut self,
        store: &StoreReplica,
        machine_id: &MachineId,
        key: &AttemptKey,
        phase: &Phase,
        now: Time,
    ) -> Option<bool> {
        let (task, _) = key;
        let machine = self.machines.get_mut(machine_id)?;
        let tracked = machine.attempts.entry(key.clone()).or_insert_with(|| {
            self.task_index.add(&task.job, machine_id);
            TrackedAttempt::new(now)
        });
        if tracked.team.is_none() {
            describe_stored_attempt(tracked, &self.config, store, &task.job);
        }
        let changed = std::mem::replace(&mut tracked.phase, phase.clone()) != *phase;
        if tracked.has_image() && tracked.started_at.is_none() {
            tracked.started_at = Some(now);
            tracing::debug!(
                %task,
                machine = %machine_id,
                seconds = %format_args!("{:.1}", now - tracked.issued_at),
                "image is on the machine"
            );
            if let Some((image, gb)) = tracked.image.clone() {
                machine.record_image_use(&image, gb);
            }
        }
        Some(changed)
    }

    /// The job of this attempt is over: the attempt is stopped, and its exit may be forgotten.
    fn stop_and_forget(&mut self, machine_id: &MachineId, key: &AttemptKey) {
        let machine = self.machines.get_mut(machine_id);
        let Some(tracked) = machine.and_then(|machine| machine.attempts.get_mut(key)) else {
            return;
        };
        tracked.may_forget = true;
        if tracked.request_immediate_stop() {
            self.unsent_commands.insert(machine_id.clone());
        }
    }

    /// Places the task where this attempt of it is, or stops the attempt if another is meant to run or
    /// none is needed any more.
    fn reconcile_with_job(&mut self, machine_id: &MachineId, (task, attempt): &AttemptKey) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let key = (task.clone(), *attempt);
        let Some(tracked) = machine.attempts.get_mut(&key) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let here = Task::Placed(machine_id.clone(), *attempt);
        match job.task(task.index) {
            Some(Task::Unreconciled | Task::Waiting) if !tracked.exited() => {
                job.set(task.index, here, Some(&machine.zone));
                job.began = true;
            }
            Some(intended) if *intended != here && tracked.request_immediate_stop() => {
                tracing::info!(
                    %task,
                    attempt = attempt.0,
                    machine = %machine_id,
                    "surplus attempt is stopped"
                );
                self.unsent_commands.insert(machine_id.clone());
            }
            _ => {}
        }
        job.began |= tracked.started_at.is_some();
    }
}

/// Counts a heartbeat that does not show an attempt whose start was issued, and returns whether the
/// attempt is now taken to be absent.
fn misses_one_too_many(tracked: &mut TrackedAttempt) -> bool {
    tracked.missed_heartbeats += 1;
    let allowed = if tracked.stop.is_some() {
        HEARTBEATS_WITHOUT_STOPPED_START
    } else {
        HEARTBEATS_WITHOUT_START
    };
    tracked.missed_heartbeats >= allowed
}

/// Stops for the attempts that a heartbeat shows of jobs that are over.
fn stops_for_ended_jobs(heartbeat: &Heartbeat, store: &StoreReplica) -> Vec<Command> {
    let is_over = |job: &JobId| store.job(job).is_some_and(|job| job.record.is_final());
    let must_stop = |reported: &&ReportedTask| {
        reported.state != TaskState::Exited
            && TaskId::parse(&reported.task).is_some_and(|task| is_over(&task.job))
    };
    heartbeat
        .tasks
        .iter()
        .filter(must_stop)
        .map(|reported| Command::Stop {
            task: reported.task.clone(),
            attempt: reported.attempt,
            grace_s: 0.0,
        })
        .collect()
}

#[cfg(test)]
mod tests;
