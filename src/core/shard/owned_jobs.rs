//! The unfinished jobs of a shard's teams: creating them from their records, updating the urgency that they
//! inherit from jobs that depend on them, and removing them when they end.

mod attempts;
mod gangs;
mod running_counts;

use crate::config::Config;
use crate::core::jobs::job::{Job, Task};
use crate::core::machines::machine::{Phase, TrackedAttempt};
use crate::core::model::resources::Resources;
use crate::core::model::time::{MS_PER_S, Time};
use crate::core::records::job_record::{JobRecord, TerminatingTasks};
use crate::core::scheduling::opportunistic::is_opportunistic;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{JobId, Version};
use crate::wire::{ExitReason, JobSpec};
use std::rc::Rc;

impl Shard {
    /// Applies a job record that is new or has changed. `now` is the time of the steady clock, `wall_ms` the
    /// wall-clock time in milliseconds.
    pub(crate) fn apply_job_record(
        &mut self,
        store: &StoreReplica,
        id: &JobId,
        record: &Rc<JobRecord>,
        version: Version,
        (now, wall_ms): (Time, u64),
    ) {
        if record.is_final() {
            return self.remove_ended_job(id, record);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.version = version;
            job.record = record.clone();
            return self.update_urgency(store, id, (now, wall_ms));
        }
        let is_owned = record
            .spec
            .as_ref()
            .is_some_and(|spec| self.teams.contains_key(&spec.team));
        if !is_owned {
            return;
        }
        if store.has_cancelled_dependency(id) {
            self.dependent_cancellations.add(id);
            return;
        }
        if let Some(job) = self.create_runnable_job(store, record, version, (now, wall_ms)) {
            self.add_job(store, id, job, (now, wall_ms));
        }
    }

    /// Creates the job of a record. Returns `None` if the shard does not own the job's team, or until the
    /// store replica has read that all of the job's dependencies are done. The replica reports the job as
    /// changed when the last one is done.
    fn create_runnable_job(
        &self,
        store: &StoreReplica,
        record: &Rc<JobRecord>,
        version: Version,
        (now, wall_ms): (Time, u64),
    ) -> Option<Job> {
        let spec = record.spec.as_ref()?;
        let team = self.teams.get(&spec.team)?;
        let runnable_since_ms = store.runnable_since_ms(record)?;
        // The team's previous owner may have started every job that it read before it saw the change of the
        // shard map. The versions decide which jobs these are, not the time at which a job appeared here: a
        // leader that assigns the team to itself knows its own write before its next sync brings jobs that
        // were written earlier. A job with recorded progress has been started.
        let never_started = version > team.gained_at_revision && record.done.is_empty();
        let reconciled = team.unreconciled.is_empty() || never_started;
        let age = wall_ms.saturating_sub(runnable_since_ms) as f64 / MS_PER_S;
        let mut job = Job::new(spec.clone(), record.clone(), version, now - age, reconciled);
        if job.is_gang() && !job.done.is_empty() {
            // The tasks of a gang complete together, so one recorded task means that all are done.
            (0..spec.tasks).for_each(|index| job.set_task(index, Task::Done, None));
        }
        Some(job)
    }

    /// Adds a new job and places those of its tasks that may already be on machines.
    fn add_job(
        &mut self,
        store: &StoreReplica,
        id: &JobId,
        mut job: Job,
        (now, wall_ms): (Time, u64),
    ) {
        let all_done = job.all_done();
        let exits = self.place_existing_attempts(id, &mut job);
        if job.unreconciled_count() > 0 {
            let of_team = self.unreconciled_jobs.entry(job.spec.team.clone());
            of_team.or_default().insert(id.clone());
        }
        self.forecast.record_arrival(&job.spec, job.runnable_since);
        self.jobs.insert(id.clone(), job);
        self.update_urgency(store, id, (now, wall_ms));
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

    /// Sets a job's deadline to the earliest among its own and those of its dependents, and raises its
    /// priority to the highest of its dependents'. Attempts of a job with dependents are not opportunistic.
    fn update_urgency(&mut self, store: &StoreReplica, id: &JobId, (now, wall_ms): (Time, u64)) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let to_steady_clock = |ms: u64| now + (ms as f64 - wall_ms as f64) / MS_PER_S;
        let finish = self.config.finish_objective(&job.spec.class);
        let own_deadline = job.spec.deadline_s.filter(|_| finish.is_none());
        let own_deadline = own_deadline.map(|due| to_steady_clock(job.record.accepted_ms) + due);
        let inherited = store.inherited_urgency(id);
        let dependents_deadline = inherited
            .and_then(|urgency| urgency.due_ms)
            .map(to_steady_clock);
        job.deadline = [own_deadline, dependents_deadline]
            .into_iter()
            .flatten()
            .min_by(Time::total_cmp);
        let Some(urgency) = inherited else { return };
        let is_newly_needed = !std::mem::replace(&mut job.has_dependents, true);
        let is_more_urgent = urgency.priority > job.priority;
        if !is_newly_needed && !is_more_urgent {
            return;
        }
        job.priority = job.priority.max(urgency.priority);
        self.changed_since_round = true;
        self.for_each_attempt(id, |_, tracked| {
            tracked.priority = tracked.priority.max(urgency.priority);
            tracked.opportunistic = false;
        });
    }

    /// Removes a job that is recorded as done or cancelled. Stops its attempts and lets workers forget their
    /// exits. An attempt may have been reported before any record of the job was read.
    fn remove_ended_job(&mut self, id: &JobId, record: &JobRecord) {
        self.changed_since_round |= self.jobs.remove(id).is_some();
        let mut stopped = Vec::new();
        self.for_each_attempt(id, |location, tracked| {
            tracked.may_forget = true;
            if let (None, Some(terminating)) = (&tracked.team, &record.terminating) {
                describe_terminating_attempt(tracked, terminating);
            }
            if tracked.request_immediate_stop() {
                stopped.push(location.machine_id.clone());
            }
        });
        self.unsent_commands.extend(stopped);
    }

    /// Lets workers forget the exits of tasks that are recorded as done.
    pub(crate) fn allow_forgetting_recorded_exits(&mut self, id: &JobId, record: &JobRecord) {
        self.for_each_attempt(id, |location, tracked| {
            let is_done = tracked.phase == Phase::Exited(ExitReason::Done);
            tracked.may_forget |= is_done && record.done.contains(location.task.index);
        });
    }
}

/// Sets an attempt's resources, team, image and scheduling properties from the specification of its job.
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

/// Sets the resources and the team of a cancelled job's attempt. A cancelled job's record keeps no
/// specification.
pub(crate) fn describe_terminating_attempt(
    tracked: &mut TrackedAttempt,
    terminating: &TerminatingTasks,
) {
    tracked.resources = Some(terminating.need);
    tracked.team = Some(terminating.team.clone());
}

/// Sets an attempt's properties from the stored record of its job, if the store replica has one.
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
            tracked.opportunistic &= store.inherited_urgency(id).is_none();
        }
        (None, Some(terminating)) => describe_terminating_attempt(tracked, terminating),
        (None, None) => {}
    }
}
