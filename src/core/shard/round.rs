//! A round of placement: which waiting tasks are started on which machines, and in what order.

mod machine_choice;
mod queue;
mod reclaimed_machines;
mod reservations;
pub mod snapshot;

use crate::config::TeamLimits;
use crate::core::jobs::job::Job;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::{Catalog, fits_without_gpus};
use crate::core::scheduling::constraints::team_limits;
use crate::core::scheduling::usage::Usage;
use crate::core::shard::Shard;
use crate::core::shard::preemption::{self, UnplacedTasks};
use crate::core::shard::round::machine_choice::PlacementRequest;
use crate::core::shard::round::snapshot::MachineSnapshot;
use crate::ids::JobId;
use crate::wire::JobSpec;
use std::rc::Rc;

/// Starts issued in one round at most; the next round follows at once.
const MAX_STARTS_PER_ROUND: usize = 200;

/// What a round of placement knows when it looks at a job.
#[derive(Clone, Copy)]
struct RoundContext {
    /// Whether machines are about to send their first heartbeat.
    expects_first_heartbeats: bool,
    /// See [`Shard::avoids_stranding_gpus`].
    avoids_stranding_gpus: bool,
    now: Time,
}

/// The tasks of a job that its team's limit allows to be started.
struct StartableTasks {
    spec: Rc<JobSpec>,
    team_limits: TeamLimits,
    /// What each task needs.
    need: Resources,
    /// Indices of the tasks.
    tasks: Vec<u32>,
    /// Whether all of them have to start, or none.
    is_gang: bool,
}

/// A task and the index of the snapshot of the machine chosen for it.
struct Placement {
    task: u32,
    snapshot: usize,
}

/// The machines chosen for the tasks of a job.
struct SelectedMachines {
    /// Indices of snapshots, one for each placed task.
    snapshots: Vec<usize>,
    /// Tasks for which no machine was found and others should be preempted.
    unplaced: usize,
}

impl Shard {
    /// Starts waiting tasks where resources are free, and adds them to `usage`.
    pub(crate) fn schedule(&mut self, now: Time, usage: &mut Usage, catalog: &Catalog) {
        let mut snapshots = self.snapshot_machines(now);
        self.reserve_for_cached_images(&mut snapshots, catalog, now);
        let expects_first_heartbeats = self.expects_first_heartbeats(now);
        let mut starts = 0;
        for id in self.queued_jobs(usage, now) {
            let round = RoundContext {
                expects_first_heartbeats,
                avoids_stranding_gpus: self.avoids_stranding_gpus(&id, catalog, now),
                now,
            };
            starts += self.schedule_job(&id, &mut snapshots, usage, round);
            if starts >= MAX_STARTS_PER_ROUND {
                self.changed_since_round = true;
                return;
            }
        }
    }

    /// Whether a job's tasks leave CPUs and memory to free GPUs: they need no GPUs and may run on machines
    /// without any. Not if they have waited too long for such machines, nor if they are preempted
    /// for any other work anyway.
    pub(crate) fn avoids_stranding_gpus(&self, id: &JobId, catalog: &Catalog, now: Time) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let max_wait_s = self.config.deployment.workers.cancel_s;
        let has_waited_long = job
            .waits_since
            .is_some_and(|since| now - since > max_wait_s);
        !has_waited_long
            && !job.is_opportunistic(&self.config)
            && fits_without_gpus(catalog.types(), &job.spec)
    }

    /// Starts tasks of one job, and preempts others for those that do not fit. Returns how many tasks were
    /// started.
    fn schedule_job(
        &mut self,
        id: &JobId,
        snapshots: &mut [MachineSnapshot],
        usage: &mut Usage,
        round: RoundContext,
    ) -> usize {
        let Some(startable) = self.startable_tasks_within_limit(id, usage, round.now) else {
            return 0;
        };
        let Some(selected) = self.choose_machines_for_job(id, &startable, snapshots, round) else {
            return 0;
        };
        let Some(mut placements) = self.pair_tasks_with_machines(id, &startable, &selected) else {
            return 0;
        };
        for placement in &placements {
            if let Some(snapshot) = snapshots.get_mut(placement.snapshot) {
                snapshot.assign(&startable.need, &startable.spec.image);
            }
        }
        // Tasks that wait only for a larger grant keep the resources found for them until then.
        placements.truncate(usage.admit_under_grant(
            &startable.team_limits,
            &startable.need,
            placements.len(),
            startable.is_gang,
        ));
        if !self.start_placed_tasks(id, &startable, &placements, snapshots, usage, round.now) {
            return 0;
        }
        if selected.unplaced > 0 {
            self.preempt_for_unplaced_tasks(id, selected.unplaced, snapshots, usage, round);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.waits_since = (selected.unplaced > 0).then(|| job.waits_since.unwrap_or(round.now));
        }
        placements.len()
    }

    /// The waiting tasks of a job that may be started now within its team's limit; `None` if there are none,
    /// or not all tasks of a gang.
    fn startable_tasks_within_limit(
        &self,
        id: &JobId,
        usage: &Usage,
        now: Time,
    ) -> Option<StartableTasks> {
        let job = self.jobs.get(id)?;
        let team_limits = team_limits(&self.config, &job.spec)?.clone();
        let need = job.need();
        let is_gang = job.is_gang();
        let mut tasks = self.startable_tasks(job, now);
        if tasks.is_empty() || (is_gang && tasks.len() != job.spec.tasks as usize) {
            return None;
        }
        let within_limit = usage.tasks_within_limit(&team_limits, &need, tasks.len());
        if within_limit == 0 || (is_gang && within_limit < tasks.len()) {
            return None;
        }
        tasks.truncate(within_limit);
        Some(StartableTasks {
            spec: job.spec.clone(),
            team_limits,
            need,
            tasks,
            is_gang,
        })
    }

    /// Chooses machines for the tasks. Resources reserved for other images are used only if no others are
    /// free, or if the job has been interrupted: it is missed now, while the tasks that the resources are
    /// reserved for may never arrive.
    fn choose_machines_for_job(
        &self,
        id: &JobId,
        startable: &StartableTasks,
        snapshots: &[MachineSnapshot],
        round: RoundContext,
    ) -> Option<SelectedMachines> {
        let job = self.jobs.get(id)?;
        let wanted = startable.tasks.len();
        let request = PlacementRequest {
            tasks: wanted,
            is_gang: startable.is_gang,
            respects_image_reservations: !job.began,
            avoids_stranding_gpus: round.avoids_stranding_gpus,
        };
        let mut chosen = self.choose_machines(job, request, snapshots, round.now);
        if chosen.len() < wanted && !job.is_opportunistic(&self.config) {
            let request = PlacementRequest {
                respects_image_reservations: false,
                ..request
            };
            chosen = self.choose_machines(job, request, snapshots, round.now);
        }
        let unplaced = if job.failures.fails_everywhere() {
            0
        } else {
            wanted - chosen.len()
        };
        if round.expects_first_heartbeats {
            self.exclude_machines_with_shared_fetch(job, &mut chosen, wanted, snapshots, round.now);
        }
        Some(SelectedMachines {
            snapshots: chosen,
            unplaced,
        })
    }

    /// Drops the machines on which the image would wait for another's fetch: machines that are about to
    /// send their first heartbeat can start these tasks sooner.
    fn exclude_machines_with_shared_fetch(
        &self,
        job: &Job,
        chosen: &mut Vec<usize>,
        wanted: usize,
        snapshots: &[MachineSnapshot],
        now: Time,
    ) {
        chosen.retain(|index| {
            snapshots
                .get(*index)
                .is_some_and(|snapshot| !self.would_share_fetch_rate(&snapshot.id, &job.spec, now))
        });
        if job.is_gang() && chosen.len() < wanted {
            chosen.clear();
        }
    }

    /// Pairs the tasks with the chosen machines, without tasks that may be running already; `None` if
    /// there are such tasks in a gang.
    fn pair_tasks_with_machines(
        &mut self,
        id: &JobId,
        startable: &StartableTasks,
        selected: &SelectedMachines,
    ) -> Option<Vec<Placement>> {
        let mut placements: Vec<Placement> = startable
            .tasks
            .iter()
            .zip(&selected.snapshots)
            .map(|(&task, &snapshot)| Placement { task, snapshot })
            .collect();
        self.exclude_tasks_with_live_attempts(id, &mut placements);
        let is_partial_gang = startable.is_gang && placements.len() < selected.snapshots.len();
        (!is_partial_gang).then_some(placements)
    }

    /// The last safeguard against running a task twice: a task is not started while an attempt of it may
    /// be on some machine. Such a task should not be waiting at all, so this is logged and counted.
    fn exclude_tasks_with_live_attempts(&mut self, id: &JobId, placements: &mut Vec<Placement>) {
        if placements.is_empty() {
            return;
        }
        let tasks_with_attempts = self.tasks_on_machines(id);
        let before = placements.len();
        placements.retain(|placement| !tasks_with_attempts.contains(&placement.task));
        let excluded = before - placements.len();
        if excluded > 0 {
            tracing::error!(
                job = %id,
                tasks = excluded,
                "waiting tasks held back: attempts of them may be running"
            );
            self.starts_held_back += excluded as u64;
        }
    }

    /// Starts the placed tasks as one attempt, and adds them to `usage`; false if the team's fencing token has
    /// no attempt numbers left.
    fn start_placed_tasks(
        &mut self,
        id: &JobId,
        startable: &StartableTasks,
        placements: &[Placement],
        snapshots: &[MachineSnapshot],
        usage: &mut Usage,
        now: Time,
    ) -> bool {
        if placements.is_empty() {
            return true;
        }
        let team = &startable.team_limits.name;
        let Some(attempt) = self.allocate_attempt_number(team) else {
            return false;
        };
        for placement in placements {
            usage.add(team, startable.need.cpus, startable.need.gpus);
            if let Some(snapshot) = snapshots.get(placement.snapshot) {
                self.start_task(id, placement.task, &snapshot.id, attempt, now);
            }
        }
        true
    }

    /// Preempts tasks for those of a job that found no machine, and reserves machines for a gang.
    fn preempt_for_unplaced_tasks(
        &mut self,
        id: &JobId,
        unplaced: usize,
        snapshots: &mut [MachineSnapshot],
        usage: &Usage,
        round: RoundContext,
    ) {
        let unplaced_tasks = UnplacedTasks {
            job: id,
            tasks: unplaced,
            avoids_stranding_gpus: round.avoids_stranding_gpus,
        };
        let preemptions =
            preemption::choose_preemptions(self, &unplaced_tasks, snapshots, usage, round.now);
        for preemption in preemptions {
            self.stop_attempt(
                &preemption.machine,
                &preemption.task,
                preemption.attempt,
                preemption.grace_s,
            );
        }
        self.reserve_for_gang(id, unplaced, snapshots);
    }
}
