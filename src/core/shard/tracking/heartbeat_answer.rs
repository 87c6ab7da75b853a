//! Builds the answers to heartbeats: the token and the commands for the machine.

use crate::core::effects::{Answer, Body};
use crate::core::machines::machine::CommandChannel;
use crate::core::machines::starts_in_flight::Fence;
use crate::core::model::time::Time;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{JobId, MachineId, TaskId};
use crate::wire::{Command, Heartbeat, HeartbeatResponse, ReportedTask, TaskState};

impl Shard {
    /// Builds the answer to a heartbeat. Unless the heartbeat is refused, the answer extends the machine's
    /// lease.
    pub(super) fn answer_heartbeat(
        &mut self,
        store: &StoreReplica,
        heartbeat: &Heartbeat,
        now: Time,
    ) -> Option<Answer> {
        let machine = self.machines.get_mut(&heartbeat.machine)?;
        if machine.unresponsive {
            // Siblings rely on the machine no longer being answered under its current token.
            machine.needs_new_token = true;
            self.sibling_update_requested |=
                self.demand.request_new_token(&machine.id, machine.token);
            return Some(Answer::unavailable());
        }
        machine.last_answered = now;
        machine.known_empty = false;
        // Until a heartbeat has shown the token, the response carries the token and no commands other than
        // stops for finished jobs. The heartbeat must be answered, because the answer keeps the machine's
        // tasks alive. Without these stops, tasks of finished jobs might never end on a machine whose owner
        // changes repeatedly.
        let commands = if machine.token_confirmed {
            self.commands_for_response(&heartbeat.machine, heartbeat.agent_epoch, now)
        } else {
            stops_for_finished_jobs(heartbeat, store)
        };
        let machine = self.machines.get(&heartbeat.machine)?;
        let response = HeartbeatResponse {
            token: machine.command_tokens.current(),
            commands,
        };
        Some(Answer {
            status: 200,
            body: Body::HeartbeatResponse(response),
            retry_after: None,
        })
    }

    /// The commands in the response to a heartbeat of a machine that has shown its token. The starts among them
    /// are in flight from now on.
    fn commands_for_response(
        &mut self,
        machine_id: &MachineId,
        agent_epoch: u64,
        now: Time,
    ) -> Vec<Command> {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return Vec::new();
        };
        machine.raise_command_token_if_needed(self.config.deployment.workers.lease_s, now);
        let channel = CommandChannel::HeartbeatResponse;
        let batch = machine.commands(&self.starts_in_flight, channel);
        machine.record_starts(&batch.starts);
        let fence = Fence {
            token: machine.command_tokens.current(),
            agent_epoch,
        };
        self.decision_log
            .log_commands(machine_id, fence, &batch, now);
        self.starts_in_flight
            .record_heartbeat_response(machine_id, fence, batch.starts);
        batch.commands
    }
}

/// Stop commands for the running attempts in a heartbeat whose jobs are finished.
fn stops_for_finished_jobs(heartbeat: &Heartbeat, store: &StoreReplica) -> Vec<Command> {
    let is_finished = |job: &JobId| store.job(job).is_some_and(|job| job.record.is_final());
    let must_stop = |reported: &&ReportedTask| {
        reported.state != TaskState::Exited
            && TaskId::parse(&reported.task).is_some_and(|task| is_finished(&task.job))
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
