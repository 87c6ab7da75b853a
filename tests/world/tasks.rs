//! Execution of tasks on workers: fetching the image, running, saving checkpoints and exiting.

use super::cloud::Cloud;
use super::faults::MachineCondition;
use super::users::Users;
use super::worker::Worker;
use super::{FAILS_IMMEDIATELY, GANG_PEER_S, GANG_WAIT_S, World};
use ochredrum::ids::{Attempt, JobId, MachineId, TaskId};
use ochredrum::wire::{Command, ExitReason, JobKind, JobSpec, TaskState};

/// Seconds that a worker needs to prepare a cached image.
const CACHED_FETCH_S: f64 = 0.05;
/// Tolerance in comparisons of resources, which are sums of floating-point numbers.
const RESOURCE_TOLERANCE: f64 = 1e-6;

/// One attempt of a task on a worker.
#[derive(Clone, Debug)]
pub struct RunningTask {
    /// The state that the worker reports.
    pub state: TaskState,
    /// Why it exited; `None` before it has.
    pub exit: Option<ExitReason>,
    /// Whether it saved a checkpoint when it was stopped.
    pub checkpointed: bool,
    /// When the present state ends unless a command ends it earlier. While the task waits: when the wait
    /// began.
    state_ends_at: f64,
}

impl RunningTask {
    /// Whether it is on its machine in the sense of the protocol: it has its image and has not exited.
    pub fn is_on_machine(&self) -> bool {
        matches!(
            self.state,
            TaskState::Waiting | TaskState::Running | TaskState::Checkpointing
        )
    }

    /// Whether it has exited. Until then it occupies resources of its machine.
    pub fn has_exited(&self) -> bool {
        self.state == TaskState::Exited
    }

    fn exit(&mut self, why: ExitReason) {
        self.state = TaskState::Exited;
        self.exit = Some(why);
        self.state_ends_at = f64::INFINITY;
    }

    /// Stops the task. If the grace period is long enough, it saves a checkpoint first.
    fn stop(&mut self, now: f64, grace_s: f64, spec: Option<&JobSpec>) {
        let checkpoint_interval_s = spec.map_or(0.0, |spec| spec.checkpoint_interval_s);
        let checkpoint_write_s = spec.map_or(0.0, |spec| spec.checkpoint_write_s);
        let saves = checkpoint_interval_s > 0.0 && grace_s >= checkpoint_write_s;
        if saves && self.state == TaskState::Running {
            self.state = TaskState::Checkpointing;
            self.state_ends_at = now + checkpoint_write_s;
        } else if self.state != TaskState::Checkpointing || grace_s == 0.0 {
            self.exit(ExitReason::Stopped);
        }
    }
}

/// Whether a worker has the resources that one more task needs.
fn has_resources(worker: &Worker, spec: &JobSpec, cloud: &Cloud, users: &Users) -> bool {
    let machine_type = cloud.type_of(&worker.id);
    let (mut gpus, mut cpus, mut memory_gb) =
        (machine_type.gpus, machine_type.cpus, machine_type.memory_gb);
    for ((task, _), running) in &worker.tasks {
        if running.has_exited() {
            continue;
        }
        if let Some(spec) = users.spec(&task.job) {
            gpus -= spec.gpus;
            cpus -= spec.cpus;
            memory_gb -= spec.memory_gb;
        }
    }
    gpus >= spec.gpus - RESOURCE_TOLERANCE
        && cpus >= spec.cpus - RESOURCE_TOLERANCE
        && memory_gb >= spec.memory_gb - RESOURCE_TOLERANCE
}

impl World {
    /// Executes one command on a worker.
    pub(super) fn execute(&mut self, id: &MachineId, command: Command) {
        match command {
            Command::Start { task, attempt } => match TaskId::parse(&task) {
                Some(task) => self.execute_start(id, task, attempt),
                None => self.record_violation("invalid_command", format!("start of {task:?}")),
            },
            Command::Stop {
                task,
                attempt,
                grace_s,
            } => {
                if let Some(task) = TaskId::parse(&task) {
                    self.execute_stop(id, task, attempt, grace_s);
                }
            }
            Command::Forget { task, attempt } => {
                if let Some(task) = TaskId::parse(&task)
                    && let Some(worker) = self.workers.get_mut(id)
                {
                    let key = (task, attempt);
                    if worker.tasks.get(&key).is_some_and(RunningTask::has_exited) {
                        worker.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn execute_stop(&mut self, id: &MachineId, task: TaskId, attempt: Attempt, grace_s: f64) {
        let now = self.now;
        let spec = self.users.spec(&task.job).cloned();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(running) = worker.tasks.get_mut(&(task, attempt)) else {
            return;
        };
        if !running.has_exited() {
            running.stop(now, grace_s, spec.as_ref());
            worker.changed = true;
        }
    }

    fn execute_start(&mut self, id: &MachineId, task: TaskId, attempt: Attempt) {
        let now = self.now;
        let Some(spec) = self.users.spec(&task.job).cloned() else {
            return self.record_violation("invalid_command", format!("start of unknown {task}"));
        };
        let fetch_gb_per_s = self.cloud.type_of(id).fetch_gb_per_s;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.tasks.contains_key(&(task.clone(), attempt)) {
            return;
        }
        worker.changed = true;
        let mut others = worker.tasks.iter();
        let busy = others.any(|((other, _), running)| !running.has_exited() && *other == task);
        let full = !has_resources(worker, &spec, &self.cloud, &self.users);
        let fetch_s = if worker.images.contains(&spec.image.to_string()) {
            CACHED_FETCH_S
        } else {
            spec.image_gb / fetch_gb_per_s
        };
        let mut running = RunningTask {
            state: TaskState::Fetching,
            exit: None,
            checkpointed: false,
            state_ends_at: now + fetch_s,
        };
        if busy {
            running.exit(ExitReason::Busy);
        } else if full {
            running.exit(ExitReason::NoRoom);
            self.log_event(format!("{id} has no room for {task}"));
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.tasks.insert((task, attempt), running);
        }
    }

    /// Moves the tasks of a worker whose present state has ended to their next state.
    pub(super) fn advance_tasks(&mut self, id: &MachineId) {
        let now = self.now;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let due: Vec<(TaskId, Attempt)> = worker
            .tasks
            .iter()
            .filter(|(_, running)| !running.has_exited() && running.state_ends_at <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for (task, attempt) in due {
            if let Some(spec) = self.users.spec(&task.job).cloned() {
                self.advance_task(id, &task, attempt, &spec);
            }
        }
        self.exit_incomplete_gangs(id);
    }

    fn advance_task(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt, spec: &JobSpec) {
        let run_s = self.users.run_s(task);
        let fails =
            self.network.machine_has(id, MachineCondition::Faulty) || run_s == FAILS_IMMEDIATELY;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(running) = worker.tasks.get_mut(&(task.clone(), attempt)) else {
            return;
        };
        worker.changed = true;
        match running.state {
            TaskState::Waiting if fails => running.exit(ExitReason::Error),
            TaskState::Fetching => {
                running.state = TaskState::Waiting;
                running.state_ends_at = self.now;
                let image = spec.image.to_string();
                if !worker.images.contains(&image) {
                    worker.images.push(image);
                }
                worker.starts += 1;
                self.users.task_started(task);
                self.check_start(id, task, attempt);
            }
            TaskState::Waiting => self.leave_waiting(id, task, attempt, spec, run_s),
            TaskState::Running => {
                running.exit(ExitReason::Done);
                self.users.task_finished(task);
                if spec.kind == JobKind::Gang {
                    self.complete_gang(&task.job, attempt, spec.tasks);
                }
                self.cancel_at_completion(&task.job);
            }
            TaskState::Checkpointing => {
                running.checkpointed = true;
                running.exit(ExitReason::Stopped);
            }
            TaskState::Exited => {}
        }
    }

    /// Runs a task that has its image. A task of a gang first waits for the other tasks and exits if that
    /// takes too long.
    fn leave_waiting(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        spec: &JobSpec,
        run_s: f64,
    ) {
        let now = self.now;
        let waits = spec.kind == JobKind::Gang && !self.gang_is_complete(task, attempt, spec.tasks);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(running) = worker.tasks.get_mut(&(task.clone(), attempt)) else {
            return;
        };
        if waits {
            if now > running.state_ends_at + GANG_WAIT_S {
                running.exit(ExitReason::GangIncomplete);
            }
            return;
        }
        running.state = TaskState::Running;
        running.state_ends_at = if spec.kind == JobKind::Service {
            f64::INFINITY
        } else {
            now + run_s
        };
    }

    /// Whether all tasks of a gang's attempt are on machines.
    fn gang_is_complete(&self, task: &TaskId, attempt: Attempt, tasks: u32) -> bool {
        let all = self.workers.values().flat_map(|worker| &worker.tasks);
        let ready = all.filter(|((other, same), running)| {
            other.job == task.job && *same == attempt && running.is_on_machine()
        });
        ready.count() >= tasks as usize
    }

    /// Completes all tasks of a gang's attempt together.
    fn complete_gang(&mut self, job: &JobId, attempt: Attempt, tasks: u32) {
        for index in 0..tasks {
            let task = TaskId {
                job: job.clone(),
                index,
            };
            self.users.task_finished(&task);
            for worker in self.workers.values_mut() {
                if let Some(running) = worker.tasks.get_mut(&(task.clone(), attempt))
                    && !running.has_exited()
                {
                    running.exit(ExitReason::Done);
                    worker.changed = true;
                }
            }
        }
    }

    /// Ends the running gang tasks on a worker that have lost another task of their attempt.
    fn exit_incomplete_gangs(&mut self, id: &MachineId) {
        let now = self.now;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let lost_peers = |((task, attempt), running): &(&(TaskId, Attempt), &RunningTask)| {
            let Some(spec) = self.users.spec(&task.job) else {
                return false;
            };
            spec.kind == JobKind::Gang
                && spec.tasks > 1
                && running.state == TaskState::Running
                && !self.users.has_finished_task(&task.job)
                && !self.gang_is_complete(task, *attempt, spec.tasks)
                && running.state_ends_at > now + GANG_PEER_S
        };
        let incomplete: Vec<(TaskId, Attempt)> = worker
            .tasks
            .iter()
            .filter(lost_peers)
            .map(|(key, _)| key.clone())
            .collect();
        if let Some(worker) = self.workers.get_mut(id) {
            for key in incomplete {
                if let Some(running) = worker.tasks.get_mut(&key) {
                    running.exit(ExitReason::PeersGone);
                    worker.changed = true;
                }
            }
        }
    }
}
