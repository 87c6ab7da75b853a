//! The placement round: starts waiting tasks on machines, in queue order.

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

/// Maximum number of tasks of one job that a round starts. A round also ends once it has started this many
/// tasks in all; the next round then follows at once.
const MAX_STARTS_PER_ROUND: usize = 200;

/// Conditions under which a round places one job.
#[derive(Clone, Copy)]
struct RoundContext {
    /// See [`Shard::expects_first_heartbeats`].
    expects_first_heartbeats: bool,
    /// See [`Shard::must_keep_free_gpus_usable`].
    must_keep_free_gpus_usable: bool,
    now: Time,
}

/// The waiting tasks of a job that may be started within its team's limit.
struct StartableTasks {
    spec: Rc<JobSpec>,
    team_limits: TeamLimits,
    /// Resources of each task.
    need: Resources,
    /// Indices of the tasks within the job.
    tasks: Vec<u32>,
    /// Whether the tasks must all start in the same round.
    is_gang: bool,
}

/// A task and the machine chosen for it.
struct Placement {
    /// Index of the task within its job.
    task: u32,
    /// Index of the machine's snapshot.
    snapshot: usize,
}

/// The machines chosen for the tasks of a job.
struct SelectedMachines {
    /// Indices of snapshots, one for each placed task.
    snapshots: Vec<usize>,
    /// Number of tasks that found no machine and may preempt others.
    unplaced: usize,
}

impl Shard {
    /// Runs a placement round: starts waiting tasks on machines with enough free resources and adds them to
    /// `usage`.
    pub(crate) fn schedule(&mut self, now: Time, usage: &mut Usage, catalog: &Catalog) {
        let mut snapshots = self.snapshot_machines(now);
        self.reserve_for_cached_images(&mut snapshots, catalog, now);
        let expects_first_heartbeats = self.expects_first_heartbeats(now);
        let mut starts = 0;
        for id in self.queued_jobs(usage, now) {
            let round = RoundContext {
                expects_first_heartbeats,
                must_keep_free_gpus_usable: self.must_keep_free_gpus_usable(&id, catalog, now),
                now,
            };
            starts += self.schedule_job(&id, &mut snapshots, usage, round);
            if starts >= MAX_STARTS_PER_ROUND {
                self.changed_since_round = true;
                return;
            }
        }
    }

    /// Whether a job's tasks must leave unused the CPUs and memory without which the machine's free GPUs
    /// could not be used. This holds for tasks that need no GPUs and can run on machines without GPUs. It
    /// does not hold once the job has waited longer than `cancel_s` for a machine, nor for opportunistic
    /// jobs, because any other work preempts these.
    pub(crate) fn must_keep_free_gpus_usable(
        &self,
        id: &JobId,
        catalog: &Catalog,
        now: Time,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let max_wait_s = self.config.deployment.workers.cancel_s;
        let has_waited_long = job
            .unplaced_since
            .is_some_and(|since| now - since > max_wait_s);
        !has_waited_long
            && !job.is_opportunistic(&self.config)
            && fits_without_gpus(catalog.types(), &job.spec)
    }

    /// Starts tasks of one job and preempts other tasks for those that find no machine. Returns the number of
    /// started tasks.
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
        // Tasks that the grant does not cover yet stay assigned in the snapshots, so that their resources are
        // not given to other jobs of this round.
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
            job.unplaced_since =
                (selected.unplaced > 0).then(|| job.unplaced_since.unwrap_or(round.now));
        }
        placements.len()
    }

    /// The waiting tasks of a job that may be started now within its team's limit. `None` if there are none
    /// or if the job is a gang and not all its tasks may be started.
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

    /// Chooses machines for the tasks. A job that was interrupted may use resources reserved for other
    /// images: it is down now, whereas the tasks for which resources are reserved may never arrive. Any other
    /// job uses them only if the remaining free resources do not suffice, and never if it is opportunistic.
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
            respects_image_reservations: !job.has_started,
            must_keep_free_gpus_usable: round.must_keep_free_gpus_usable,
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

    /// Drops the machines on which the fetch of the job's image would share the fetch rate with other images,
    /// because a machine that is about to send its first heartbeat can start these tasks sooner.
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

    /// Pairs the tasks with the chosen machines and leaves out tasks that may already be running. `None` if a
    /// gang has such a task.
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

    /// Removes tasks of which another attempt may be on a machine, as a last check against running a task
    /// twice. Such a task should not be in the waiting state, so each case is logged and counted.
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
                "waiting tasks not started: earlier attempts of them may still be running"
            );
            self.starts_held_back += excluded as u64;
        }
    }

    /// Starts the placed tasks, all with the same attempt number, and adds them to `usage`. Returns false if
    /// the team's fencing token has no attempt numbers left.
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
        self.log_start_within_limit(id, attempt, &startable.team_limits, usage, now);
        true
    }

    /// Preempts other tasks for the tasks of a job that found no machine, and reserves machines if the job is
    /// a gang.
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
            must_keep_free_gpus_usable: round.must_keep_free_gpus_usable,
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
