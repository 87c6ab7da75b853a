//! What machines are told: starts and stops, in direct messages and in the answers to reports.

use super::io::Io;
use super::jobs::Task;
use super::machines::{Carrier, Freshness, Orders, Phase, TrackedAttempt};
use super::owned_jobs::describe;
use super::owner::Owner;
use super::starts_in_flight::AttemptKey;
use super::view::View;
use super::{CallId, Time, WorkerReply};
use crate::ids::{Attempt, JobId, MachineId, TaskId};
use crate::wire::{DirectOrders, Report};
use std::collections::BTreeSet;

/// Direct orders under way at once at most, as a part of the limit on sockets. What is over goes in
/// the answers to the next reports, or as soon as others have been answered.
const ORDERS_PER_SOCKET: f64 = 0.15;
/// Direct messages to a machine that may arrive late, at which it gets a fresh token.
pub(super) const GIVEN_UP_MESSAGES: usize = 8;

impl Owner {
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
        self.unsent_orders.insert(machine.id.clone());
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
                self.unsent_orders.insert(machine.id.clone());
            }
        }
    }

    /// Direct messages to machines that may be under way at once.
    pub(super) fn most_direct_orders(&self) -> usize {
        (self.config.deployment.limits.fd_limit as f64 * ORDERS_PER_SOCKET).ceil() as usize
    }

    /// Sends the orders that machines have not been told yet, as many messages at once as there may be.
    pub(super) fn push_orders(&mut self, io: &mut Io) {
        let most = self.most_direct_orders();
        while io.direct_orders() < most
            && let Some(id) = self.unsent_orders.pop_first()
        {
            let Some(machine) = self.machines.get_mut(&id) else {
                continue;
            };
            if !machine.mine {
                self.sync_soon = true;
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
            let message = DirectOrders {
                token,
                session,
                orders: list,
            };
            let call = io.worker(&id, &machine.address, message);
            self.starts_in_flight
                .sent(&id, call, (token, session), starts);
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
    pub(super) fn take_direct_report(
        &mut self,
        io: &mut Io,
        view: &View,
        id: &MachineId,
        report: &Report,
    ) {
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
