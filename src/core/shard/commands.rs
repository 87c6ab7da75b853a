//! Issues start and stop commands to machines and sends them in direct messages. The responses to heartbeats
//! carry the same commands ([`crate::core::shard::tracking`]).

use crate::core::effects::outbox::Outbox;
use crate::core::effects::{CallId, WorkerReply};
use crate::core::jobs::job::Task;
use crate::core::machines::machine::{
    CommandBatch, CommandChannel, Freshness, HeartbeatOrigin, Phase, TrackedAttempt,
};
use crate::core::machines::starts_in_flight::{AttemptKey, Fence};
use crate::core::model::time::Time;
use crate::core::shard::Shard;
use crate::core::shard::decision_log::IssuedStart;
use crate::core::shard::owned_jobs::describe_attempt;
use crate::core::store::replica::StoreReplica;
use crate::ids::{Attempt, JobId, MachineId, TaskId};
use crate::wire::{DirectCommands, Heartbeat};
use std::collections::BTreeSet;

/// Maximum number of direct messages in flight, per socket that the process may open. Further commands wait
/// for the next heartbeat of their machine or until another direct message is answered.
const DIRECT_MESSAGES_PER_SOCKET: f64 = 0.15;

/// Number of unanswered direct messages at which a machine gets a new token, which voids them. This bounds
/// the number of starts that must be tracked for a worker that never answers.
pub(super) const MAX_UNANSWERED_MESSAGES: usize = 8;

impl Shard {
    /// Places a task on a machine and queues the start command.
    pub(crate) fn start_task(
        &mut self,
        job_id: &JobId,
        index: u32,
        machine_id: &MachineId,
        attempt: Attempt,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let mut tracked = TrackedAttempt::new(now);
        describe_attempt(&mut tracked, &self.config, &job.spec);
        tracked.priority = job.priority;
        tracked.opportunistic = job.is_opportunistic(&self.config);
        let placed = Task::Placed(machine_id.clone(), attempt);
        job.set_task(index, placed, Some(&machine.zone));
        let task = TaskId {
            job: job_id.clone(),
            index,
        };
        let spec = &job.spec;
        tracing::debug!(
            %task,
            class = %spec.class,
            machine = %machine_id,
            waited_s = %format_args!("{:.1}", now - job.runnable_since),
            image = %spec.image,
            ready_in_s = %format_args!("{:.1}", machine.ready_in(&spec.image, spec.image_gb, now)),
            "start issued"
        );
        if let Some(team) = self.teams.get(&spec.team) {
            let start = IssuedStart {
                task: &task,
                attempt,
                machine,
                team: &spec.team,
                team_token: team.token(),
                is_team_reconciled: team.is_reconciled(),
            };
            self.decision_log.log_start(&start, now);
        }
        self.task_index.add(job_id, machine_id);
        machine.attempts.insert((task, attempt), tracked);
        self.unsent_commands.insert(machine_id.clone());
    }

    /// Requests the stop of an attempt, and of the same attempt of all other tasks if the job is a gang.
    pub(crate) fn stop_attempt(
        &mut self,
        machine_id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        grace_s: f64,
    ) {
        let mut targets = vec![(machine_id.clone(), task.clone())];
        targets.extend(self.other_gang_tasks(task, attempt));
        for (machine_id, task) in targets {
            let machine = self.machines.get_mut(&machine_id);
            let tracked = machine.and_then(|machine| machine.attempts.get_mut(&(task, attempt)));
            if tracked.is_some_and(|tracked| tracked.request_stop(grace_s)) {
                self.unsent_commands.insert(machine_id);
            }
        }
    }

    /// The other tasks of a gang that are placed in this attempt, with their machines; empty if the job is
    /// not a gang.
    fn other_gang_tasks(&self, task: &TaskId, attempt: Attempt) -> Vec<(MachineId, TaskId)> {
        let Some(job) = self.jobs.get(&task.job).filter(|job| job.is_gang()) else {
            return Vec::new();
        };
        let others = (0..job.spec.tasks).filter(|index| *index != task.index);
        others
            .filter_map(|index| match job.task(index) {
                Some(Task::Placed(machine, placed)) if *placed == attempt => {
                    let job = task.job.clone();
                    Some((machine.clone(), TaskId { job, index }))
                }
                _ => None,
            })
            .collect()
    }

    /// Returns the maximum number of direct messages in flight, which follows from the limit on sockets.
    pub(crate) fn max_direct_messages(&self) -> usize {
        let sockets = self.config.deployment.limits.fd_limit as f64;
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a small part of the file descriptors, rounded up"
        )]
        let messages = (sockets * DIRECT_MESSAGES_PER_SOCKET).ceil() as usize;
        messages
    }

    /// Sends unsent commands in direct messages, up to the maximum number in flight.
    pub(crate) fn send_direct_commands(&mut self, outbox: &mut Outbox) {
        let limit = self.max_direct_messages();
        while outbox.pending_worker_calls() < limit
            && let Some(machine_id) = self.unsent_commands.pop_first()
        {
            self.send_commands_to(outbox, &machine_id);
        }
    }

    /// Sends the commands for one machine in a direct message, if the machine is known to accept it.
    fn send_commands_to(&mut self, outbox: &mut Outbox, machine_id: &MachineId) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        if !machine.is_owned {
            // The machine's owner has to send the commands and learns of them from the next update.
            self.sibling_update_requested = true;
            return;
        }
        if !machine.token_confirmed || machine.unreachable || machine.needs_new_token {
            return;
        }
        let CommandBatch { commands, starts } =
            machine.commands(&self.starts_in_flight, CommandChannel::Direct);
        if commands.is_empty() {
            return;
        }
        let fence = Fence {
            token: machine.command_tokens.current(),
            agent_epoch: machine.agent_epoch(),
        };
        machine.record_starts(&starts);
        let batch = CommandBatch { commands, starts };
        self.decision_log
            .log_commands(machine_id, fence, &batch, outbox.now);
        let CommandBatch { commands, starts } = batch;
        let message = DirectCommands {
            token: fence.token,
            agent_epoch: fence.agent_epoch,
            commands,
        };
        let call = outbox.send_commands(machine_id, &machine.address, message);
        self.starts_in_flight
            .record_direct_message(machine_id, call, fence, starts);
    }

    /// Handles the outcome of a direct message: an answer, a failure to send, or no answer in time.
    pub fn handle_command_reply(
        &mut self,
        store: &StoreReplica,
        machine_id: &MachineId,
        call: CallId,
        reply: WorkerReply,
        now: Time,
    ) {
        match reply {
            WorkerReply::Executed(heartbeat) | WorkerReply::Fenced(heartbeat) => {
                self.starts_in_flight.record_outcome(machine_id, call);
                self.apply_command_reply(store, machine_id, &heartbeat, now);
            }
            WorkerReply::NotSent => {
                let unsent = self.starts_in_flight.record_outcome(machine_id, call);
                self.drop_unsent_starts(machine_id, unsent, now);
            }
            WorkerReply::Unknown => {
                let unanswered = self
                    .starts_in_flight
                    .record_unknown_outcome(machine_id, call);
                let machine = self.machines.get_mut(machine_id);
                if let Some(machine) = machine.filter(|machine| machine.is_owned) {
                    machine.unreachable = true;
                    machine.needs_new_token |= unanswered >= MAX_UNANSWERED_MESSAGES;
                }
            }
        }
    }

    /// Applies the heartbeat in the answer to a direct message or to an inspection.
    pub(super) fn apply_command_reply(
        &mut self,
        store: &StoreReplica,
        machine_id: &MachineId,
        heartbeat: &Heartbeat,
        now: Time,
    ) {
        // If the machine has a new owner by now, that owner reports its tasks.
        let machine = self.machines.get_mut(machine_id);
        let Some(machine) = machine.filter(|machine| machine.is_owned) else {
            return;
        };
        if heartbeat.machine != *machine_id || heartbeat.token > machine.command_tokens.current() {
            return;
        }
        let origin = HeartbeatOrigin::CommandReply;
        if let Freshness::New { new_epoch } = machine.accept_heartbeat(heartbeat, origin) {
            self.apply_heartbeat(store, heartbeat, new_epoch, origin, now);
        }
    }

    /// Drops the attempts whose starts were in a direct message that could not be sent. Attempts that another
    /// message in flight may start are kept.
    fn drop_unsent_starts(
        &mut self,
        machine_id: &MachineId,
        starts: BTreeSet<AttemptKey>,
        now: Time,
    ) {
        let machine = self.machines.get_mut(machine_id);
        let Some(machine) = machine.filter(|machine| machine.is_owned) else {
            return;
        };
        machine.unreachable = true;
        let is_issued = |key: &AttemptKey| {
            machine
                .attempts
                .get(key)
                .is_some_and(|tracked| tracked.phase == Phase::Issued)
        };
        let unsent: Vec<AttemptKey> = starts
            .into_iter()
            .filter(|key| is_issued(key) && !self.starts_in_flight.may_arrive(machine_id, key))
            .collect();
        for (task, attempt) in unsent {
            self.drop_attempt(machine_id, &task, attempt, now);
        }
    }
}
