//! What machines are told: starts and stops, in direct messages and in the answers to reports.

use crate::core::effects::outbox::Outbox;
use crate::core::effects::{CallId, WorkerReply};
use crate::core::jobs::job::Task;
use crate::core::machines::machine::{Carrier, CommandBatch, Freshness, Phase, TrackedAttempt};
use crate::core::machines::starts_in_flight::AttemptKey;
use crate::core::model::time::Time;
use crate::core::shard::Shard;
use crate::core::shard::owned_jobs::describe;
use crate::core::store::replica::StoreReplica;
use crate::ids::{Attempt, JobId, MachineId, TaskId};
use crate::wire::{DirectCommands, Heartbeat};
use std::collections::BTreeSet;

/// Direct orders under way at once at most, as a part of the limit on sockets. What is over goes in
/// the answers to the next reports, or as soon as others have been answered.
const COMMANDS_PER_SOCKET: f64 = 0.15;

/// Direct messages to a machine that may arrive late, at which it gets a fresh token.
pub(crate) const GIVEN_UP_MESSAGES: usize = 8;

impl Shard {
    /// Issues the start of a task.
    pub(crate) fn start(
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
        let mut tracked = TrackedAttempt::new(now);
        describe(&mut tracked, &self.config, &job.spec);
        tracked.priority = job.priority;
        tracked.opportunistic = job.is_opportunistic(&self.config);
        job.set(
            index,
            Task::Placed(machine.id.clone(), attempt),
            Some(&machine.zone),
        );
        let task = TaskId {
            job: id.clone(),
            index,
        };
        let (waited, spec) = (now - job.submitted, &job.spec);
        let ready = machine.ready_in(&spec.image, spec.image_gb, now);
        tracing::debug!(
            "start {task} of {} on {} after {waited:.1} s, image {} in {ready:.1} s",
            spec.class,
            machine.id,
            spec.image
        );
        self.task_index.add(&task.job, &machine.id);
        machine.attempts.insert((task, attempt), tracked);
        self.unsent_commands.insert(machine.id.clone());
    }

    /// Tells an attempt to stop; gangs are stopped whole.
    pub(crate) fn stop(
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
                    targets.push((
                        other.clone(),
                        TaskId {
                            job: task.job.clone(),
                            index,
                        },
                    ));
                }
            }
        }
        for (machine, task) in targets {
            if let Some(machine) = self.machines.get_mut(&machine)
                && let Some(tracked) = machine.attempts.get_mut(&(task, attempt))
                && tracked.stop.is_none()
                && !tracked.exited()
            {
                tracked.stop = Some(grace);
                self.unsent_commands.insert(machine.id.clone());
            }
        }
    }

    /// Direct messages to machines that may be under way at once.
    pub(crate) fn max_direct_commands(&self) -> usize {
        (self.config.deployment.limits.fd_limit as f64 * COMMANDS_PER_SOCKET).ceil() as usize
    }

    /// Sends the orders that machines have not been told yet, as many messages at once as there may be.
    pub(crate) fn send_direct_commands(&mut self, outbox: &mut Outbox) {
        let most = self.max_direct_commands();
        while outbox.direct_commands() < most
            && let Some(id) = self.unsent_commands.pop_first()
        {
            let Some(machine) = self.machines.get_mut(&id) else {
                continue;
            };
            if !machine.is_owned {
                self.sync_soon = true;
                continue;
            }
            if !machine.token_confirmed || machine.unreachable || machine.needs_new_token {
                continue;
            }
            let CommandBatch { list, starts } =
                machine.commands(&self.starts_in_flight, Carrier::Direct);
            if list.is_empty() {
                continue;
            }
            let (token, agent_epoch) = (machine.token, machine.agent_epoch);
            let message = DirectCommands {
                token,
                agent_epoch,
                commands: list,
            };
            let call = outbox.worker(&id, &machine.address, message);
            self.starts_in_flight
                .sent(&id, call, (token, agent_epoch), starts);
        }
    }

    /// A direct message was answered, or its answer is not waited for any more.
    pub fn commands_answered(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        id: &MachineId,
        call: CallId,
        reply: WorkerReply,
    ) {
        match reply {
            WorkerReply::Executed(heartbeat) | WorkerReply::Fenced(heartbeat) => {
                self.starts_in_flight.outcome_known(id, call);
                self.take_direct_heartbeat(outbox, store, id, &heartbeat);
            }
            WorkerReply::NotSent => {
                let unsent = self.starts_in_flight.outcome_known(id, call);
                self.drop_unsent(id, unsent, outbox.now);
            }
            WorkerReply::Unknown => {
                let given_up = self.starts_in_flight.given_up(id, call);
                if let Some(machine) = self.machines.get_mut(id).filter(|machine| machine.is_owned)
                {
                    machine.unreachable = true;
                    machine.needs_new_token |= given_up >= GIVEN_UP_MESSAGES;
                }
            }
        }
    }

    /// Takes up the report in the answer to a direct message.
    pub(crate) fn take_direct_heartbeat(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        id: &MachineId,
        heartbeat: &Heartbeat,
    ) {
        // Of a machine that has changed hands meanwhile its new owner tells.
        let Some(machine) = self.machines.get_mut(id).filter(|machine| machine.is_owned) else {
            return;
        };
        if heartbeat.machine != *id || heartbeat.token > machine.token {
            return;
        }
        if let Freshness::NewReport { new_epoch } = machine.freshness(heartbeat, true) {
            self.take_heartbeat(outbox, store, heartbeat, new_epoch, false);
        }
    }

    /// A direct message could not be sent: the attempts that it would have started, and that nothing
    /// else under way starts, are not there.
    fn drop_unsent(&mut self, id: &MachineId, starts: BTreeSet<AttemptKey>, now: Time) {
        let Some(machine) = self.machines.get_mut(id).filter(|machine| machine.is_owned) else {
            return;
        };
        machine.unreachable = true;
        let issued = |key: &AttemptKey| {
            machine
                .attempts
                .get(key)
                .is_some_and(|tracked| tracked.phase == Phase::Issued)
        };
        let unsent: Vec<AttemptKey> = starts
            .into_iter()
            .filter(|key| issued(key) && !self.starts_in_flight.may_arrive(id, key))
            .collect();
        for (task, attempt) in unsent {
            self.drop_attempt(id, &task, attempt, now);
        }
    }
}
