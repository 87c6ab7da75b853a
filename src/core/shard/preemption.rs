//! Preemption: the choice of running tasks to stop so that a task of higher priority, or one within its
//! team's guaranteed quota, can run. The tasks that lose the least work are preempted first. Every task that
//! can write a checkpoint gets the time to do so.

use crate::core::jobs::job::Job;
use crate::core::machines::machine::{Machine, TrackedAttempt};
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::usage::Usage;
use crate::core::shard::Shard;
use crate::core::shard::round::snapshot::MachineSnapshot;
use crate::ids::{Attempt, JobId, MachineId, TaskId, Team, Zone};
use crate::wire::{JobKind, Priority};
use std::collections::BTreeMap;

/// Minimum cost of preempting a service replica, in seconds. It is above zero so that attempts which lose no
/// work are preempted before replicas.
const REPLICA_BASE_LOSS_S: Time = 1.0;

/// An attempt to stop so that another job's task can run.
pub(crate) struct Preemption {
    /// The machine on which the attempt runs.
    pub(crate) machine: MachineId,
    /// The task that has to wait again.
    pub(crate) task: TaskId,
    /// Number of the attempt that the stop applies to.
    pub(crate) attempt: Attempt,
    /// Seconds that the attempt has to write a checkpoint; 0 if it cannot write one.
    pub(crate) grace_s: Time,
}

/// Tasks of a job for which no machine has enough free resources.
pub(crate) struct UnplacedTasks<'a> {
    /// The job that the tasks belong to, and for which others are preempted.
    pub(crate) job: &'a JobId,
    /// Number of tasks without a machine.
    pub(crate) tasks: usize,
    /// See [`Shard::must_keep_free_gpus_usable`].
    pub(crate) must_keep_free_gpus_usable: bool,
}

/// Chooses the attempts to stop for tasks that found no machine. The resources that the stops will release
/// are assigned to these tasks in the snapshots.
pub(crate) fn choose_preemptions(
    shard: &Shard,
    unplaced: &UnplacedTasks,
    snapshots: &mut [MachineSnapshot],
    usage: &Usage,
    now: Time,
) -> Vec<Preemption> {
    let Some(preemptor) = Preemptor::new(shard, unplaced, usage, now) else {
        return Vec::new();
    };
    let mut preemptions = Vec::new();
    let mut tasks_in_zone: BTreeMap<Zone, u32> = BTreeMap::new();
    for _ in 0..unplaced.tasks {
        let Some((snapshot, victims)) = preemptor.cheapest_machine(snapshots, &tasks_in_zone)
        else {
            break;
        };
        let released = victims.iter().map(|victim| victim.resources);
        snapshot.assign_after_preemption(released, &preemptor.need);
        *tasks_in_zone.entry(snapshot.zone.clone()).or_default() += 1;
        preemptions.extend(victims.into_iter().map(|victim| victim.preemption));
    }
    preemptions
}

/// The loss caused by stopping an attempt.
struct PreemptionLoss {
    /// Lost work, in seconds.
    cost: Time,
    /// Seconds that the attempt needs to write a checkpoint; 0 if it cannot write one.
    grace_s: Time,
}

/// An attempt that may be preempted.
struct Victim {
    preemption: Preemption,
    /// Lost work, in seconds.
    cost: Time,
    /// Resources that the stop will release.
    resources: Resources,
}

/// A job whose tasks preempt others.
struct Preemptor<'a> {
    shard: &'a Shard,
    job_id: &'a JobId,
    job: &'a Job,
    /// Resources of each task.
    need: Resources,
    /// Other teams that use more than their guaranteed quota. Empty if the job itself is beyond its team's
    /// guarantee.
    teams_beyond_guarantee: Vec<&'a Team>,
    must_keep_free_gpus_usable: bool,
    now: Time,
}

impl<'a> Preemptor<'a> {
    fn new(
        shard: &'a Shard,
        unplaced: &UnplacedTasks<'a>,
        usage: &Usage,
        now: Time,
    ) -> Option<Self> {
        let job = shard.jobs.get(unplaced.job)?;
        let teams_beyond_guarantee = if shard.is_within_guarantee(job, usage) {
            teams_beyond_guarantee(shard, &job.spec.team, usage)
        } else {
            Vec::new()
        };
        Some(Self {
            shard,
            job_id: unplaced.job,
            job,
            need: job.need(),
            teams_beyond_guarantee,
            must_keep_free_gpus_usable: unplaced.must_keep_free_gpus_usable,
            now,
        })
    }

    /// The machine on which one more task can run at the lowest cost, and the attempts to stop there. Among
    /// machines of equal cost, the one on which the task's image is ready first is chosen.
    fn cheapest_machine<'s>(
        &self,
        snapshots: &'s mut [MachineSnapshot],
        tasks_in_zone: &BTreeMap<Zone, u32>,
    ) -> Option<(&'s mut MachineSnapshot, Vec<Victim>)> {
        let mut best: Option<((Time, Time), &mut MachineSnapshot, Vec<Victim>)> = None;
        for snapshot in snapshots {
            if !self.is_eligible(snapshot, tasks_in_zone) || !self.can_free_enough(snapshot) {
                continue;
            }
            let Some(machine) = self.shard.machines.get(&snapshot.id) else {
                continue;
            };
            let Some(victims) = self.cheapest_victims(machine, snapshot.free_after_stops()) else {
                continue;
            };
            let spec = &self.job.spec;
            let cost = (
                total_cost(&victims),
                machine.ready_in(&spec.image, spec.image_gb, self.now),
            );
            if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, snapshot, victims));
            }
        }
        best.map(|(_, snapshot, victims)| (snapshot, victims))
    }

    /// Whether one more task could run on the machine if the machine were empty.
    fn is_eligible(&self, snapshot: &MachineSnapshot, tasks_in_zone: &BTreeMap<Zone, u32>) -> bool {
        let is_excluded_gpu_machine = self.must_keep_free_gpus_usable && snapshot.total.gpus > 0.0;
        !snapshot.is_reserved()
            && !is_excluded_gpu_machine
            && snapshot.total.holds(&self.need)
            && snapshot.is_allowed_for(&self.job.spec)
            && self.job.zone_allows(&snapshot.zone, tasks_in_zone)
    }

    /// Whether preemption could free enough resources at all. Most machines fail this check, which saves the
    /// walk over their attempts.
    fn can_free_enough(&self, snapshot: &MachineSnapshot) -> bool {
        let preemptible_priorities = if self.teams_beyond_guarantee.is_empty() {
            self.job.priority as usize
        } else {
            Priority::COUNT
        };
        snapshot
            .running
            .iter()
            .take(preemptible_priorities)
            .fold(snapshot.free_after_stops(), |sum, running| {
                sum.plus(running)
            })
            .holds(&self.need)
    }

    /// Whether the attempt may be preempted: it has a lower priority, or its team uses more than its
    /// guaranteed quota. The second reason applies only to jobs of this shard that are not services.
    fn may_preempt(&self, task: &TaskId, tracked: &TrackedAttempt) -> bool {
        if tracked.exited() || tracked.stop.is_some() || task.job == *self.job_id {
            return false;
        }
        let is_beyond_guarantee = || {
            tracked
                .team
                .as_ref()
                .is_some_and(|team| self.teams_beyond_guarantee.contains(&team))
        };
        let is_known_non_service = || {
            let job = self.shard.jobs.get(&task.job);
            job.is_some_and(|job| job.spec.kind != JobKind::Service)
        };
        tracked.priority < self.job.priority || (is_beyond_guarantee() && is_known_non_service())
    }

    /// The attempts to stop on a machine so that one more task fits, those with the least lost work first.
    /// `None` if the task does not fit even then. `free` are the resources that are free once all
    /// attempts with a pending stop have ended.
    fn cheapest_victims(&self, machine: &Machine, mut free: Resources) -> Option<Vec<Victim>> {
        let mut candidates = self.candidate_victims(machine);
        candidates.sort_by(|one, other| one.cost.total_cmp(&other.cost));
        let mut victims = Vec::new();
        for victim in candidates {
            if free.holds(&self.need) {
                break;
            }
            free = free.plus(&victim.resources);
            victims.push(victim);
        }
        free.holds(&self.need).then_some(victims)
    }

    /// All attempts on a machine that may be preempted.
    fn candidate_victims(&self, machine: &Machine) -> Vec<Victim> {
        let mut victims = Vec::new();
        for ((task, attempt), tracked) in &machine.attempts {
            if !self.may_preempt(task, tracked) {
                continue;
            }
            let loss = estimate_loss(self.shard, task, tracked, self.now);
            if let (Some(resources), Some(loss)) = (tracked.resources, loss) {
                let preemption = Preemption {
                    machine: machine.id.clone(),
                    task: task.clone(),
                    attempt: *attempt,
                    grace_s: loss.grace_s,
                };
                victims.push(Victim {
                    preemption,
                    cost: loss.cost,
                    resources,
                });
            }
        }
        victims
    }
}

/// Sum of the lost work of all victims, in seconds.
fn total_cost(victims: &[Victim]) -> Time {
    victims.iter().fold(0.0, |sum, victim| sum + victim.cost)
}

/// Teams other than `team` that have a guaranteed quota and use more than it.
fn teams_beyond_guarantee<'a>(shard: &'a Shard, team: &Team, usage: &Usage) -> Vec<&'a Team> {
    shard
        .config
        .deployment
        .teams
        .iter()
        .filter(|other| other.name != *team)
        .filter(|other| !usage.is_within_guarantee(other, 0.0, 0.0))
        .filter(|other| other.gpus > 0.0 || other.cpus > 0.0)
        .map(|other| &other.name)
        .collect()
}

/// Estimates the loss caused by stopping an attempt. `None` if it is unknown; the attempt must not be stopped
/// then.
fn estimate_loss(
    shard: &Shard,
    task: &TaskId,
    tracked: &TrackedAttempt,
    now: Time,
) -> Option<PreemptionLoss> {
    let checkpoint_s = tracked.checkpoint_write_s;
    if tracked.opportunistic && tracked.team.is_some() {
        return Some(PreemptionLoss {
            cost: 0.0,
            grace_s: checkpoint_s,
        });
    }
    let Some(job) = shard.jobs.get(&task.job) else {
        // The task belongs to a team of another shard, on a machine that moved to this shard. The team's
        // owner restarts the task elsewhere.
        let can_checkpoint = tracked.team.is_some() && checkpoint_s > 0.0;
        return can_checkpoint.then_some(PreemptionLoss {
            cost: checkpoint_s,
            grace_s: checkpoint_s,
        });
    };
    let run_time = tracked.started_at.map_or(0.0, |started| now - started);
    let (cost, grace_s) = match job.spec.kind {
        // The service runs with one replica fewer until another one is running.
        JobKind::Service => {
            let cancel_s = shard.config.deployment.workers.cancel_s;
            (run_time.min(cancel_s) + REPLICA_BASE_LOSS_S, 0.0)
        }
        _ if tracked.started_at.is_none() => (0.0, 0.0),
        _ if job.spec.checkpoint_interval_s > 0.0 => {
            (job.spec.checkpoint_write_s, job.spec.checkpoint_write_s)
        }
        _ => (run_time, 0.0),
    };
    Some(PreemptionLoss { cost, grace_s })
}
