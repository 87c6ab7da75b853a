//! Making room: which running tasks are stopped so that one of higher priority, or one that its
//! team is guaranteed, can run. The cheapest loss goes first, and every task that can save its
//! progress gets the time to.

use crate::core::machines::machine::{Machine, TrackedAttempt};
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::constraints::{allowed, team_limits};
use crate::core::scheduling::usage::Usage;
use crate::core::shard::Shard;
use crate::core::shard::round::MachineSnapshot;
use crate::ids::{Attempt, JobId, MachineId, TaskId, Team, Zone};
use crate::wire::{Kind, Priority};
use std::collections::BTreeMap;

pub struct Preemption {
    pub machine: MachineId,
    pub task: TaskId,
    pub attempt: Attempt,
    pub grace: f64,
}

/// What stopping a task loses, in seconds of its work.
fn loss(shard: &Shard, task: &TaskId, tracked: &TrackedAttempt, now: Time) -> Option<(Time, f64)> {
    if tracked.opportunistic && tracked.team.is_some() {
        return Some((0.0, tracked.checkpoint_write_s));
    }
    let ran = tracked.started_at.map_or(0.0, |began| now - began);
    let Some(job) = shard.jobs.get(&task.job) else {
        // Of another share's team, on a machine that moved here: its owner starts it elsewhere.
        let known = tracked.team.is_some() && tracked.checkpoint_write_s > 0.0;
        return known.then_some((tracked.checkpoint_write_s, tracked.checkpoint_write_s));
    };
    let saves = job.spec.checkpoint_interval_s > 0.0;
    Some(match job.spec.kind {
        // A replica that stops is missed until it is up elsewhere.
        Kind::Service => (ran.min(shard.config.deployment.workers.cancel_s) + 1.0, 0.0),
        _ if tracked.started_at.is_none() => (0.0, 0.0),
        _ if saves => (job.spec.checkpoint_write_s, job.spec.checkpoint_write_s),
        _ => (ran, 0.0),
    })
}

/// Tasks of a job that found no room.
pub struct UnplacedTasks<'a> {
    pub job: &'a JobId,
    pub tasks: usize,
    /// They don't take what belongs to GPUs ([`Shard::spares_gpus`]).
    pub spares_gpus: bool,
}

/// Picks what to stop for tasks that found no room.
pub fn make_room(
    shard: &Shard,
    lacking: UnplacedTasks,
    snapshots: &mut [MachineSnapshot],
    usage: &Usage,
    now: Time,
) -> Vec<Preemption> {
    let UnplacedTasks {
        job: id,
        tasks: count,
        spares_gpus,
    } = lacking;
    let Some(job) = shard.jobs.get(id) else {
        return Vec::new();
    };
    let need = job.need();
    let guaranteed = team_limits(&shard.config, &job.spec)
        .is_some_and(|team_limits| usage.guaranteed(team_limits, need.cpus, need.gpus));
    let beyond: Vec<&Team> = shard
        .config
        .deployment
        .teams
        .iter()
        .filter(|theirs| guaranteed && theirs.name != job.spec.team)
        .filter(|theirs| !usage.guaranteed(theirs, 0.0, 0.0))
        .filter(|theirs| theirs.gpus > 0.0 || theirs.cpus > 0.0)
        .map(|theirs| &theirs.name)
        .collect();
    let yields = |task: &TaskId, tracked: &TrackedAttempt| -> bool {
        if tracked.exited() || tracked.stop.is_some() || task.job == *id {
            return false;
        }
        tracked.priority < job.priority
            || (tracked
                .team
                .as_ref()
                .is_some_and(|team| beyond.contains(&team))
                && shard
                    .jobs
                    .get(&task.job)
                    .is_some_and(|o| o.spec.kind != Kind::Service))
    };
    let mut stops = Vec::new();
    let mut in_zone: BTreeMap<Zone, u32> = BTreeMap::new();
    for _ in 0..count {
        let mut best: Option<((Time, Time), usize, Vec<Preemption>)> = None;
        for (index, snapshot) in snapshots.iter().enumerate() {
            if snapshot.reserved
                || (spares_gpus && snapshot.total.gpus > 0.0)
                || !snapshot.total.holds(&need)
                || !allowed(
                    &job.spec,
                    &snapshot.type_name,
                    &snapshot.zone,
                    snapshot.spot,
                )
                || !job.zone_allows(&snapshot.zone, &in_zone)
            {
                continue;
            }
            // Most machines have nothing to give, which is seen without looking at their tasks.
            let below = if beyond.is_empty() {
                job.priority as usize
            } else {
                Priority::COUNT
            };
            let at_most = snapshot.running[..below]
                .iter()
                .fold(snapshot.later, |a, room| a.plus(room));
            if !at_most.holds(&need) {
                continue;
            }
            let Some(machine) = shard.machines.get(&snapshot.id) else {
                continue;
            };
            let found = cheapest(shard, machine, snapshot.later, &need, &yields, now);
            let Some((cost, victims)) = found else {
                continue;
            };
            let cost = (
                cost,
                machine.ready_in(&job.spec.image, job.spec.image_gb, now),
            );
            if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, index, victims));
            }
        }
        let Some((_, index, victims)) = best else {
            break;
        };
        let snapshot = &mut snapshots[index];
        for victim in &victims {
            if let Some(room) = shard.machines[&victim.machine]
                .attempts
                .get(&(victim.task.clone(), victim.attempt))
                .and_then(|tracked| tracked.resources)
            {
                snapshot.later = snapshot.later.plus(&room);
            }
        }
        // What is being freed is spoken for.
        snapshot.later = snapshot.later.less(&need);
        snapshot.free = snapshot.free.min(&snapshot.later);
        *in_zone.entry(snapshot.zone.clone()).or_default() += 1;
        stops.extend(victims);
    }
    stops
}

/// The cheapest set of tasks on a machine whose end makes room, with what it loses.
fn cheapest(
    shard: &Shard,
    machine: &Machine,
    mut later: Resources,
    need: &Resources,
    yields: &dyn Fn(&TaskId, &TrackedAttempt) -> bool,
    now: Time,
) -> Option<(Time, Vec<Preemption>)> {
    let mut victims: Vec<(Time, Preemption, Resources)> = Vec::new();
    for ((task, attempt), tracked) in &machine.attempts {
        if let (true, Some(room), Some((cost, grace))) = (
            yields(task, tracked),
            tracked.resources,
            loss(shard, task, tracked, now),
        ) {
            let stop = Preemption {
                machine: machine.id.clone(),
                task: task.clone(),
                attempt: *attempt,
                grace,
            };
            victims.push((cost, stop, room));
        }
    }
    victims.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut cost, mut stops) = (0.0, Vec::new());
    for (loses, stop, room) in victims {
        if later.holds(need) {
            break;
        }
        later = later.plus(&room);
        cost += loses;
        stops.push(stop);
    }
    later.holds(need).then_some((cost, stops))
}
