//! The jobs of a share: taking them up from their records, what those that need them ask of them,
//! and their ends.

use crate::config::Config;
use crate::core::jobs::job::{Job, Task};
use crate::core::machines::machine::{Machine, Phase, TrackedAttempt};
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::records::job_record::{JobRecord, TerminatingTasks};
use crate::core::scheduling::opportunistic::is_opportunistic;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{Attempt, JobId, MachineId, TaskId, Version, Zone};
use crate::wire::{JobSpec, TaskState};
use std::collections::BTreeSet;
use std::rc::Rc;

/// An attempt of a task that may be on a machine.
struct AttemptAt<'a> {
    machine: &'a MachineId,
    zone: &'a Zone,
    task: &'a TaskId,
    attempt: Attempt,
}

impl Shard {
    /// A job's record is new or has changed.
    pub(crate) fn take_job(
        &mut self,
        store: &StoreReplica,
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
            return self.make_urgent(store, id, (now, wall_ms));
        }
        let Some(spec) = &record.spec else { return };
        let Some(team) = self.teams.get(&spec.team) else {
            return;
        };
        if store.dependency_cancelled(id) {
            self.dependency_cancelled.entry(id.clone()).or_insert(now);
            return;
        }
        // Until all that it needs is done, durably and as read here, it is no work of this share. Its
        // view takes it up again with the last of them.
        let Some(ready_ms) = store.ready_ms(record) else {
            return;
        };
        // The team's former owner may have started everything that it could read before it saw the
        // change of the map. A leader that takes the team for itself knows its own write before
        // its next sync brings the jobs that came before that; so it is the versions that tell, not
        // when a job appeared here. Progress is recorded only of what has run.
        let unheard_of = version > team.gained_at && record.done.is_empty();
        let reconciled = team.unreconciled.is_empty() || unheard_of;
        let age = wall_ms.saturating_sub(ready_ms) as f64 / 1e3;
        let mut job = Job::new(spec.clone(), record.clone(), version, now - age, reconciled);
        if job.is_gang() && !job.done.is_empty() {
            (0..spec.tasks).for_each(|index| job.set(index, Task::Done, None));
        }
        let ended = job.all_done();
        let exits = self.find_attempts(id, &mut job);
        if job.unreconciled() > 0 {
            self.unreconciled_jobs.insert(id.clone());
        }
        self.forecast.arrived(spec, job.submitted);
        self.jobs.insert(id.clone(), job);
        self.make_urgent(store, id, (now, wall_ms));
        self.changed = true;
        if ended {
            self.note_progress(id, now);
        }
        for (machine, task, attempt) in exits {
            let key = (task.clone(), attempt);
            let tracked = self
                .machines
                .get(&machine)
                .and_then(|machine| machine.attempts.get(&key));
            if let Some(Phase::Exited(why)) = tracked.map(|tracked| tracked.phase.clone()) {
                self.task_exited(&machine, &task, attempt, why, now);
            }
        }
    }

    /// Attempts of a new job may be on machines that reported before it was known here. Those that
    /// have exited are returned.
    fn find_attempts(&mut self, id: &JobId, job: &mut Job) -> Vec<(MachineId, TaskId, Attempt)> {
        let mut exits = Vec::new();
        let spec = job.spec.clone();
        let config = self.config.clone();
        self.each_attempt(id, |at, tracked| {
            describe(tracked, &config, &spec);
            let index = at.task.index;
            if tracked.exited() {
                exits.push((at.machine.clone(), at.task.clone(), at.attempt));
            } else if matches!(job.task(index), Some(Task::Waiting | Task::Unsettled)) {
                job.set(
                    index,
                    Task::Placed(at.machine.clone(), at.attempt),
                    Some(at.zone),
                );
                job.began |= tracked.started_at.is_some();
            }
        });
        exits
    }

    /// Looks at every attempt of a job that may be on a machine.
    fn each_attempt(&mut self, id: &JobId, mut look: impl FnMut(&AttemptAt, &mut TrackedAttempt)) {
        let first = (
            TaskId {
                job: id.clone(),
                index: 0,
            },
            Attempt(0),
        );
        let last = (
            TaskId {
                job: id.clone(),
                index: u32::MAX,
            },
            Attempt(u64::MAX),
        );
        for machine in self.task_index.machines_of(id) {
            let Some(Machine {
                id, zone, attempts, ..
            }) = self.machines.get_mut(&machine)
            else {
                continue;
            };
            for ((task, attempt), tracked) in attempts.range_mut(first.clone()..=last.clone()) {
                self.visits += 1;
                look(
                    &AttemptAt {
                        machine: id,
                        zone,
                        task,
                        attempt: *attempt,
                    },
                    tracked,
                );
            }
        }
    }

    /// Where an attempt of a task may be, if anywhere.
    pub(crate) fn other_attempt(&self, task: &TaskId) -> Option<(MachineId, Attempt)> {
        let first = (task.clone(), Attempt(0));
        let last = (task.clone(), Attempt(u64::MAX));
        self.task_index
            .machines_of(&task.job)
            .into_iter()
            .find_map(|id| {
                let machine = self.machines.get(&id)?;
                let mut attempts = machine.attempts.range(first.clone()..=last.clone());
                let (_, attempt) = attempts.find(|(_, tracked)| !tracked.exited())?.0;
                Some((id, *attempt))
            })
    }

    /// Tasks of a job of which an attempt may be on some machine.
    pub(crate) fn tasks_on_machines(&mut self, id: &JobId) -> BTreeSet<u32> {
        let mut tasks = BTreeSet::new();
        self.each_attempt(id, |at, tracked| {
            if !tracked.exited() {
                tasks.insert(at.task.index);
            }
        });
        tasks
    }

    /// A job takes the priority and the deadline of those that need it.
    fn make_urgent(&mut self, store: &StoreReplica, id: &JobId, (now, wall_ms): (Time, u64)) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let on_clock = |ms: u64| now + (ms as f64 - wall_ms as f64) / 1e3;
        let finish = self.config.finish_objective(&job.spec.class);
        let own = job.spec.deadline_s.filter(|_| finish.is_none());
        let own = own.map(|due| on_clock(job.record.accepted_ms) + due);
        let inherited = store.inherited(id);
        let theirs = inherited.and_then(|urgency| urgency.due_ms).map(on_clock);
        job.deadline = [own, theirs].into_iter().flatten().min_by(Time::total_cmp);
        let Some(urgency) = inherited else { return };
        let newly_needed = !std::mem::replace(&mut job.needed, true);
        let more_urgent = urgency.priority > job.priority;
        if !newly_needed && !more_urgent {
            return;
        }
        job.priority = job.priority.max(urgency.priority);
        self.changed = true;
        self.each_attempt(id, |_, tracked| {
            tracked.priority = tracked.priority.max(urgency.priority);
            tracked.opportunistic = false;
        });
    }

    /// Done or cancelled, and recorded so: its tasks go, and their exits may be forgotten.
    fn job_over(&mut self, id: &JobId) {
        self.changed |= self.jobs.remove(id).is_some();
        let mut stopped = Vec::new();
        self.each_attempt(id, |at, tracked| {
            tracked.may_forget = true;
            if !tracked.exited() && tracked.stop != Some(0.0) {
                tracked.stop = Some(0.0);
                stopped.push(at.machine.clone());
            }
        });
        self.unsent_commands.extend(stopped);
    }

    /// What is recorded as done may be forgotten by its machines.
    pub(crate) fn forget_recorded(&mut self, id: &JobId, record: &JobRecord) {
        self.each_attempt(id, |at, tracked| {
            let done = tracked.phase == Phase::Exited(crate::wire::Exit::Done);
            tracked.may_forget |= done && record.done.contains(at.task.index);
        });
    }

    /// Tasks done and running of a job, for display.
    pub fn counts(&self, id: &JobId) -> Option<(u32, u32)> {
        self.running.get(id).copied()
    }

    /// Tasks done and running of all jobs that run, for display.
    pub fn running(&self) -> Vec<(JobId, u32, u32)> {
        self.running
            .iter()
            .map(|(id, &(done, running))| (id.clone(), done, running))
            .collect()
    }

    pub(crate) fn count_running(&mut self, now: Time) {
        if now < self.running_at + self.config.deployment.workers.lease_s / 20.0 {
            return;
        }
        self.running_at = now;
        self.running.clear();
        let proof = self.config.deployment.workers.lease_s;
        for ((task, _), tracked) in self.machines.values().flat_map(|machine| &machine.attempts) {
            if tracked.has_image()
                && let Some(job) = self.jobs.get_mut(&task.job)
            {
                let running = tracked.phase == Phase::Seen(TaskState::Running);
                if running && tracked.started_at.is_some_and(|began| now - began >= proof) {
                    job.failures.prove();
                }
                let counts = self.running.entry(task.job.clone()).or_default();
                *counts = (job.done.len(), counts.1 + 1);
            }
        }
    }

    /// A gang's tasks complete together: if one is done, they all are. The others' machines may
    /// be lost before they can say so.
    pub(crate) fn gang_done(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
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
    pub(crate) fn gang_lost_one(&mut self, id: &JobId, attempt: Attempt) {
        let Some(job) = self
            .jobs
            .get(id)
            .filter(|job| job.is_gang() && job.spec.tasks > 1)
        else {
            return;
        };
        for index in 0..job.spec.tasks {
            let Some(Task::Placed(machine, other)) = job.task(index) else {
                continue;
            };
            let key = (
                TaskId {
                    job: id.clone(),
                    index,
                },
                attempt,
            );
            if *other == attempt
                && let Some(machine) = self.machines.get_mut(machine)
                && let Some(tracked) = machine.attempts.get_mut(&key)
                && !tracked.exited()
                && tracked.stop.is_none()
            {
                tracked.stop = Some(0.0);
                self.unsent_commands.insert(machine.id.clone());
            }
        }
    }
}

pub(crate) fn describe(tracked: &mut TrackedAttempt, config: &Config, spec: &JobSpec) {
    tracked.resources = Some(Resources::of(spec));
    tracked.team = Some(spec.team.clone());
    tracked.image = Some((spec.image.clone(), spec.image_gb));
    tracked.priority = spec.priority;
    tracked.opportunistic = is_opportunistic(config, spec);
    tracked.checkpoint_write_s = if spec.checkpoint_interval_s > 0.0 {
        spec.checkpoint_write_s
    } else {
        0.0
    };
}

/// What is left of a cancelled job, as its record tells.
pub(crate) fn describe_terminating(tracked: &mut TrackedAttempt, terminating: &TerminatingTasks) {
    tracked.resources = Some(terminating.need);
    tracked.team = Some(terminating.team.clone());
}
