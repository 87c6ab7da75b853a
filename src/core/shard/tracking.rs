//! Reconciles the machines' heartbeats with the attempts and jobs known to this process.
//!
//! An attempt may be on a machine from the moment its start is issued. It is tracked until the machine's
//! heartbeats no longer show it or the machine is known to be empty. It stays tracked beyond that for as
//! long as its start may still arrive ([`crate::core::machines::starts_in_flight`]). A machine is known to
//! be empty when its agent epoch has advanced, when its deletion was confirmed, or when its lease must have
//! expired since its last answered heartbeat ([`crate::core::shard::lease_expiry`]).

mod attempt_end;
mod cordon;
mod heartbeat_answer;

use crate::core::effects::Answer;
use crate::core::jobs::job::Task;
use crate::core::machines::machine::{Freshness, HeartbeatOrigin, Phase, TrackedAttempt};
use crate::core::machines::starts_in_flight::AttemptKey;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::Catalog;
use crate::core::shard::Shard;
use crate::core::shard::owned_jobs::describe_stored_attempt;
use crate::core::store::replica::StoreReplica;
use crate::ids::{MachineId, TaskId};
use crate::wire::{ExitReason, Heartbeat, ReportedTask, TaskState};
use std::collections::BTreeSet;

/// Number of heartbeats that do not show an issued attempt, after which it is considered absent. The
/// responses to the earlier ones carried its start.
const MISSED_HEARTBEATS_UNTIL_ABSENT: u32 = 3;

/// As [`MISSED_HEARTBEATS_UNTIL_ABSENT`], for an attempt whose stop was requested.
const MISSED_HEARTBEATS_UNTIL_STOPPED_ABSENT: u32 = 1;

impl Shard {
    /// Applies a heartbeat of a worker and returns the answer to it; `None` if this process does not own the
    /// machine.
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
            machine.update_description(heartbeat, catalog.types());
        }
        if heartbeat.token > machine.command_tokens.current() {
            // The machine has a newer owner or token that this process has not read from the shard map yet.
            return Some(Answer::unavailable());
        }
        let freshness = machine.accept_heartbeat(heartbeat, HeartbeatOrigin::Periodic);
        if freshness == Freshness::Duplicate {
            return Some(Answer::unavailable());
        }
        self.starts_in_flight
            .clear_heartbeat_response(&heartbeat.machine);
        if let Freshness::New { new_epoch } = freshness {
            let origin = HeartbeatOrigin::Periodic;
            self.apply_heartbeat(store, heartbeat, new_epoch, origin, now);
        }
        self.last_heartbeat = now;
        self.answer_heartbeat(store, heartbeat, now)
    }

    /// Applies a heartbeat that is newer than every earlier message of the machine.
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
            .discard_outdated(machine_id, heartbeat.token, heartbeat.agent_epoch);
        if new_epoch {
            self.drop_attempts_of_earlier_epoch(machine_id, now);
        }
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.reclaimed_at = heartbeat.reclaim_notice_s.map(|left| now + left);
        self.changed_since_round |= machine.reclaimed_at.is_some();
        if !machine.command_tokens.include(heartbeat.token) {
            return;
        }
        let newly_confirmed = !std::mem::replace(&mut machine.token_confirmed, true);
        if newly_confirmed {
            machine.idle_since = now;
            self.sibling_update_requested = true;
            self.changed_since_round = true;
        }
        machine.unreachable = false;
        machine.previous_owner = None;
        let unexpected = if newly_confirmed {
            Vec::new()
        } else {
            machine.untracked_attempts(heartbeat)
        };
        self.apply_reported_tasks(store, heartbeat, origin, now);
        for key in unexpected {
            self.report_unexpected_attempt(machine_id, &key, heartbeat.token);
        }
    }

    /// Drops the attempts of the previous agent epoch when the worker has begun a new one. Those attempts
    /// have ended, and the worker executes no command that was sent in that epoch. The worker's lease may
    /// have expired because responses do not reach it, so a machine that had confirmed its token needs a new
    /// one.
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
                "worker began a new agent epoch: its earlier attempts have ended"
            );
        }
        self.drop_attempts(machine_id, now);
    }

    /// Reconciles all tracked attempts of a machine with the attempts in its heartbeat.
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

    /// Drops tracked attempts that are missing from a machine's heartbeat.
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
            // The answer to a direct message may be older than the response that carries the start. While a
            // direct message with the start is unanswered, the worker may still receive it.
            let counts_as_missed = origin == HeartbeatOrigin::Periodic
                && !self.starts_in_flight.awaits_answer(machine_id, key);
            if counts_as_missed && count_missed_heartbeat(tracked) {
                machine.unreachable = true;
                absent.push(key.clone());
            }
        }
        for (task, attempt) in absent {
            self.drop_attempt(machine_id, &task, attempt, now);
        }
    }

    /// Applies the state of one attempt as reported by its machine.
    pub(super) fn apply_reported_task(
        &mut self,
        store: &StoreReplica,
        machine_id: &MachineId,
        task: TaskId,
        reported: &ReportedTask,
        now: Time,
    ) {
        let phase = match reported.state {
            TaskState::Exited => Phase::Exited(reported.exit.unwrap_or(ExitReason::Other)),
            state => Phase::Seen(state),
        };
        let key = (task, reported.attempt);
        let Some(changed) = self.record_phase(store, machine_id, &key, &phase, now) else {
            return;
        };
        self.changed_since_round |= changed;
        let (task, attempt) = &key;
        if !self.jobs.contains_key(&task.job) {
            let job_is_finished = store
                .job(&task.job)
                .is_some_and(|stored| stored.record.is_final());
            if job_is_finished {
                self.stop_attempt_of_finished_job(machine_id, &key);
            }
            // If another controller owns the job's team, that controller handles the attempt. If the job is
            // not known yet, the attempt is reconciled once the job is.
            self.sibling_update_requested |= changed && !job_is_finished;
            return;
        }
        self.reconcile_with_job(machine_id, &key);
        if changed && let Phase::Exited(reason) = phase {
            self.handle_task_exit(machine_id, task, *attempt, reason, now);
        }
    }

    /// Records the phase of an attempt and returns whether the phase has changed; `None` if the machine is
    /// unknown.
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
                "image is available on the machine"
            );
            if let Some((image, gb)) = tracked.image.clone() {
                machine.record_image_use(&image, gb);
            }
        }
        Some(changed)
    }

    /// Stops an attempt of a finished job and allows the worker to forget its exit.
    fn stop_attempt_of_finished_job(&mut self, machine_id: &MachineId, key: &AttemptKey) {
        let machine = self.machines.get_mut(machine_id);
        let Some(tracked) = machine.and_then(|machine| machine.attempts.get_mut(key)) else {
            return;
        };
        tracked.may_forget = true;
        if tracked.request_immediate_stop() {
            self.unsent_commands.insert(machine_id.clone());
        }
    }

    /// Marks the task as placed in this attempt if it has no placement yet. Stops the attempt if the task is
    /// placed in another attempt or needs none.
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
                job.set_task(task.index, here, Some(&machine.zone));
                job.has_started = true;
            }
            Some(intended) if *intended != here && tracked.request_immediate_stop() => {
                tracing::info!(
                    %task,
                    attempt = attempt.0,
                    machine = %machine_id,
                    "stopping surplus attempt: the task is placed in another attempt or needs none"
                );
                self.unsent_commands.insert(machine_id.clone());
            }
            _ => {}
        }
        job.has_started |= tracked.started_at.is_some();
    }
}

/// Counts a heartbeat without an attempt whose start was issued, and returns whether the attempt is now
/// considered absent.
fn count_missed_heartbeat(tracked: &mut TrackedAttempt) -> bool {
    tracked.missed_heartbeats += 1;
    let limit = if tracked.stop.is_some() {
        MISSED_HEARTBEATS_UNTIL_STOPPED_ABSENT
    } else {
        MISSED_HEARTBEATS_UNTIL_ABSENT
    };
    tracked.missed_heartbeats >= limit
}

#[cfg(test)]
mod tests;
