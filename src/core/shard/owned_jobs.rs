//! The jobs of a shard: reading them from their records, the urgency they inherit from their dependents, and
//! their ends.

mod attempts;
mod gangs;
mod running_counts;

use crate::config::Config;
use crate::core::jobs::job::{Job, Task};
use crate::core::machines::machine::{Phase, TrackedAttempt};
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::records::job_record::{JobRecord, TerminatingTasks};
use crate::core::scheduling::opportunistic::is_opportunistic;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{JobId, Version};
use crate::wire::{Exit, JobSpec};
use std::rc::Rc;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

impl Shard {
    /// Follows a job's record that is new or has changed. `now` is the steady clock, `wall_ms` the time
    /// of day.
    pub(crate) fn apply_job_record(
        &mut self,
        store: &StoreReplica,
        id: &JobId,
        record: &Rc<JobRecord>,
        version: Version,
        (now, wall_ms): (Time, u64),
    ) {
        if record.is_final() {
            return self.end_job(id);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.version = version;
            job.record = record.clone();
            return self.inherit_urgency(store, id, (now, wall_ms));
        }
        let is_owned = record
            .spec
            .as_ref()
            .is_some_and(|spec| self.teams.contains_key(&spec.team));
        if !is_owned {
            return;
        }
        if store.dependency_cancelled(id) {
            self.dependency_cancelled.entry(id.clone()).or_insert(now);
            return;
        }
        if let Some(job) = self.runnable_job(store, record, version, (now, wall_ms)) {
            self.add_job(store, id, job, (now, wall_ms));
        }
    }

    /// The job of a record; None if its team is not of this shard, or if not all of its dependencies are
    /// done, durably and as read here. The store replica reports it as changed with the last of them.
    fn runnable_job(
        &self,
        store: &StoreReplica,
        record: &Rc<JobRecord>,
        version: Version,
        (now, wall_ms): (Time, u64),
    ) -> Option<Job> {
        let spec = record.spec.as_ref()?;
        let team = self.teams.get(&spec.team)?;
        let ready_ms = store.ready_ms(record)?;
        // The team's former owner may have started every job that it could read before it saw the change
        // of the shard map. A leader that gives the team to itself knows its own write before its next
        // sync brings the jobs that came before that; so the versions decide, not when a job appeared
        // here. Progress is recorded only of tasks that have run.
        let never_started = version > team.gained_at_revision && record.done.is_empty();
        let reconciled = team.unreconciled.is_empty() || never_started;
        let age = wall_ms.saturating_sub(ready_ms) as f64 / MS_PER_S;
        let mut job = Job::new(spec.clone(), record.clone(), version, now - age, reconciled);
        if job.is_gang() && !job.done.is_empty() {
            // The tasks of a gang complete together.
            (0..spec.tasks).for_each(|index| job.set(index, Task::Done, None));
        }
        Some(job)
    }

    /// Adds a new job, with the attempts of it that may be on machines already.
    fn add_job(
        &mut self,
        store: &StoreReplica,
        id: &JobId,
        mut job: Job,
        (now, wall_ms): (Time, u64),
    ) {
        let all_done = job.all_done();
        let exits = self.find_attempts(id, &mut job);
        if job.unreconciled() > 0 {
            self.unreconciled_jobs.insert(id.clone());
        }
        self.forecast.arrived(&job.spec, job.submitted);
        self.jobs.insert(id.clone(), job);
        self.inherit_urgency(store, id, (now, wall_ms));
        self.changed_since_round = true;
        if all_done {
            self.queue_for_recording(id, now);
        }
        for (machine_id, task, attempt) in exits {
            let key = (task.clone(), attempt);
            let machine = self.machines.get(&machine_id);
            let tracked = machine.and_then(|machine| machine.attempts.get(&key));
            if let Some(Phase::Exited(reason)) = tracked.map(|tracked| tracked.phase.clone()) {
                self.handle_task_exit(&machine_id, &task, attempt, reason, now);
            }
        }
    }

    /// Sets a job's deadline, and raises its priority to that of the most urgent job that depends on it.
    fn inherit_urgency(&mut self, store: &StoreReplica, id: &JobId, (now, wall_ms): (Time, u64)) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let on_clock = |ms: u64| now + (ms as f64 - wall_ms as f64) / MS_PER_S;
        let finish = self.config.finish_objective(&job.spec.class);
        let own = job.spec.deadline_s.filter(|_| finish.is_none());
        let own = own.map(|due| on_clock(job.record.accepted_ms) + due);
        let inherited = store.inherited(id);
        let of_dependents = inherited.and_then(|urgency| urgency.due_ms).map(on_clock);
        job.deadline = [own, of_dependents]
            .into_iter()
            .flatten()
            .min_by(Time::total_cmp);
        let Some(urgency) = inherited else { return };
        let newly_needed = !std::mem::replace(&mut job.needed, true);
        let more_urgent = urgency.priority > job.priority;
        if !newly_needed && !more_urgent {
            return;
        }
        job.priority = job.priority.max(urgency.priority);
        self.changed_since_round = true;
        self.each_attempt(id, |_, tracked| {
            tracked.priority = tracked.priority.max(urgency.priority);
            tracked.opportunistic = false;
        });
    }

    /// A job is done or cancelled, and recorded so: its attempts are stopped, and their exits may be
    /// forgotten.
    fn end_job(&mut self, id: &JobId) {
        self.changed_since_round |= self.jobs.remove(id).is_some();
        let mut stopped = Vec::new();
        self.each_attempt(id, |at, tracked| {
            tracked.may_forget = true;
            if tracked.request_immediate_stop() {
                stopped.push(at.machine_id.clone());
            }
        });
        self.unsent_commands.extend(stopped);
    }

    /// Workers may forget the exits of tasks that are recorded as done.
    pub(crate) fn forget_recorded(&mut self, id: &JobId, record: &JobRecord) {
        self.each_attempt(id, |at, tracked| {
            let is_done = tracked.phase == Phase::Exited(Exit::Done);
            tracked.may_forget |= is_done && record.done.contains(at.task.index);
        });
    }
}

/// Describes an attempt by the specification of its job.
pub(crate) fn describe_attempt(tracked: &mut TrackedAttempt, config: &Config, spec: &JobSpec) {
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

/// Describes an attempt of a cancelled job by what its record keeps of it.
pub(crate) fn describe_terminating_attempt(
    tracked: &mut TrackedAttempt,
    terminating: &TerminatingTasks,
) {
    tracked.resources = Some(terminating.need);
    tracked.team = Some(terminating.team.clone());
}

/// Describes an attempt by the stored record of its job, if that is known.
pub(super) fn describe_stored_attempt(
    tracked: &mut TrackedAttempt,
    config: &Config,
    store: &StoreReplica,
    id: &JobId,
) {
    let Some(stored) = store.job(id) else {
        return;
    };
    match (&stored.record.spec, &stored.record.terminating) {
        (Some(spec), _) => {
            describe_attempt(tracked, config, spec);
            tracked.opportunistic &= store.inherited(id).is_none();
        }
        (None, Some(terminating)) => describe_terminating_attempt(tracked, terminating),
        (None, None) => {}
    }
}
