//! A round of placement: which waiting tasks start where, in what order.

use crate::core::jobs::job::Job;
use crate::core::machines::machine::Machine;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::{Catalog, fits_without_gpus};
use crate::core::scheduling::constraints::{ESTIMATE_MARGIN, allowed, due, due_with, team_limits};
use crate::core::scheduling::placement::{Candidate, Late, best_fit};
use crate::core::scheduling::usage::Usage;
use crate::core::shard::{Shard, preemption};
use crate::ids::{Image, JobId, MachineId, TypeName, Zone};
use crate::wire::{JobSpec, Kind, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// A machine during a round, with what the round has taken off it already.
pub struct MachineSnapshot {
    pub id: MachineId,
    pub type_name: TypeName,
    pub zone: Zone,
    pub spot: bool,
    pub total: Resources,
    pub free: Resources,
    /// Free once everything that was told to stop has gone.
    pub later: Resources,
    /// What runs and was not told to stop takes, by priority.
    pub running: [Resources; Priority::COUNT],
    /// Kept for a job that needs it whole.
    pub reserved: bool,
    /// Resources held back for starts that are in time only here, by image.
    pub warm: Vec<(Image, Resources)>,
}

impl MachineSnapshot {
    /// Free room less what is held back for other images.
    pub(crate) fn open_to(&self, image: Option<&Image>) -> Resources {
        let others = self.warm.iter().filter(|(other, _)| Some(other) != image);
        others.fold(self.free, |free, (_, room)| free.less(room))
    }

    /// What a task may take of the free room; of a machine with GPUs one that `spares_gpus` takes only
    /// what its free GPUs do without.
    pub(crate) fn room_for(&self, free: Resources, spares_gpus: bool) -> Resources {
        if spares_gpus {
            free.beside_free_gpus(&self.total)
        } else {
            free
        }
    }

    /// A task takes room, and what was held back for its image.
    pub(crate) fn take(&mut self, need: &Resources, image: &Image) {
        self.free = self.free.less(need);
        self.later = self.later.less(need);
        if let Some(warm) = self.warm.iter().position(|(held_for, _)| held_for == image) {
            self.warm.remove(warm);
        }
    }
}

/// What a round of placement knows of the job it looks at.
#[derive(Clone, Copy)]
pub(crate) struct Round {
    /// Machines are about to report for the first time.
    pub(crate) expecting: bool,
    /// See [`Shard::spares_gpus`].
    pub(crate) spares_gpus: bool,
    pub(crate) now: Time,
}

/// How machines are looked for.
#[derive(Clone, Copy)]
pub(crate) struct PlacementRequest {
    /// Tasks that need one.
    pub(crate) count: usize,
    /// All of them or none.
    pub(crate) whole: bool,
    /// Room that is held for other images is left alone.
    pub(crate) spare_warm: bool,
    /// CPUs and memory that belong to free GPUs are left alone.
    pub(crate) spares_gpus: bool,
}

/// Starts issued in one round at most; the next follows at once.
pub(crate) const STARTS_PER_ROUND: usize = 200;

/// Where a job stands in the queue: smaller is sooner.
#[derive(PartialEq)]
pub(crate) struct QueueRank {
    pub(crate) priority: std::cmp::Reverse<Priority>,
    pub(crate) beyond_guarantee: bool,
    /// Of its kind it comes last.
    pub(crate) last: bool,
    pub(crate) due: Time,
}

impl Shard {
    pub(crate) fn snapshots(&self, now: Time) -> Vec<MachineSnapshot> {
        let usable = self.machines.values().filter(|m| m.usable(now));
        usable
            .map(|m| MachineSnapshot {
                id: m.id.clone(),
                type_name: m.type_name.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                total: m.total,
                free: m.free(),
                later: m.free_after_stops(),
                running: m.running_by_priority(),
                reserved: false,
                warm: Vec::new(),
            })
            .collect()
    }

    /// Jobs with tasks that wait, in the order in which they are served.
    pub(crate) fn queue(&self, usage: &Usage, now: Time) -> Vec<JobId> {
        let mut queue: Vec<(QueueRank, Time, &JobId)> = Vec::new();
        for (id, job) in &self.jobs {
            let zoned = job.spec.spread || job.spec.one_zone || job.is_gang();
            if job.waiting().is_empty() || (job.unreconciled() > 0 && zoned) {
                continue;
            }
            let need = job.need();
            let guaranteed = team_limits(&self.config, &job.spec)
                .is_some_and(|team_limits| usage.guaranteed(team_limits, need.cpus, need.gpus));
            let rank = QueueRank {
                priority: std::cmp::Reverse(job.priority),
                beyond_guarantee: !guaranteed,
                last: self.comes_last(job),
                due: due(&self.config, job).max(now),
            };
            queue.push((rank, job.submitted, id));
        }
        queue.sort_by(|(a, a_age, _), (b, b_age, _)| {
            (a.priority.cmp(&b.priority))
                .then(a.beyond_guarantee.cmp(&b.beyond_guarantee))
                .then(a.last.cmp(&b.last))
                .then(a.due.total_cmp(&b.due))
                .then(a_age.total_cmp(b_age))
        });
        queue.into_iter().map(|(_, _, id)| id.clone()).collect()
    }

    /// Opportunistic work of which some has run comes after such that has had nothing yet, and what
    /// fails everywhere after what may run.
    pub(crate) fn comes_last(&self, job: &Job) -> bool {
        let had_its_turn = job.began && job.is_opportunistic(&self.config);
        had_its_turn || job.failures.fails_everywhere()
    }

    /// The waiting tasks of a job that may be started now.
    pub(crate) fn startable(&self, job: &Job, now: Time) -> Vec<u32> {
        let probed = job.failures.fails_everywhere();
        if probed && (job.placed() > 0 || !job.failures.may_probe(now)) {
            return Vec::new();
        }
        let most = if probed && !job.is_gang() {
            1
        } else {
            STARTS_PER_ROUND
        };
        let ready = |index: &u32| job.retries.get(index).is_none_or(|r| r.not_before <= now);
        job.waiting()
            .iter()
            .copied()
            .filter(ready)
            .take(most)
            .collect()
    }

    /// Starts what waits and finds room; `usage` goes on counting.
    pub(crate) fn schedule(&mut self, now: Time, usage: &mut Usage, catalog: &Catalog) {
        let mut snapshots = self.snapshots(now);
        self.hold_warm(&mut snapshots, catalog, now);
        let expecting = self.expects_machines(now);
        let mut starts = 0;
        for id in self.queue(usage, now) {
            let spares_gpus = self.spares_gpus(&id, catalog, now);
            let round = Round {
                expecting,
                spares_gpus,
                now,
            };
            starts += self.schedule_job(&id, &mut snapshots, usage, round);
            if starts >= STARTS_PER_ROUND {
                self.changed = true;
                return;
            }
        }
    }

    /// Whether a job's tasks are to leave CPUs and memory to free GPUs: they need none, and may run on
    /// machines without any. Not if they have waited for such machines in vain, nor if they make way for
    /// everything else anyway.
    pub(crate) fn spares_gpus(&self, id: &JobId, catalog: &Catalog, now: Time) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let patience = self.config.deployment.workers.cancel_s;
        let in_vain = job.waits_since.is_some_and(|since| now - since > patience);
        !in_vain
            && !job.is_opportunistic(&self.config)
            && fits_without_gpus(catalog.types(), &job.spec)
    }

    /// Starts what it can of one job, and makes room for the rest; how many tasks it started.
    pub(crate) fn schedule_job(
        &mut self,
        id: &JobId,
        snapshots: &mut [MachineSnapshot],
        usage: &mut Usage,
        round: Round,
    ) -> usize {
        let Round {
            expecting,
            spares_gpus,
            now,
        } = round;
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let Some(team_limits) = team_limits(&self.config, &job.spec).cloned() else {
            return 0;
        };
        let need = job.need();
        let spec = job.spec.clone();
        let waiting = self.startable(job, now);
        let whole = job.is_gang();
        if waiting.is_empty() || (whole && waiting.len() as u32 != job.spec.tasks) {
            return 0;
        }
        let room = usage.room_in_limit(&team_limits, &need, waiting.len());
        if room == 0 || (whole && room < waiting.len()) {
            return 0;
        }
        let wanted = &waiting[..room];
        // Warm room is for whom it is held, unless nothing else will do, or something that ran
        // is down: that is missed now, what the room is held for only perhaps later.
        let search = PlacementRequest {
            count: wanted.len(),
            whole,
            spare_warm: !job.began,
            spares_gpus,
        };
        let mut chosen = self.choose(job, search, snapshots, now);
        let fills_up = job.is_opportunistic(&self.config);
        if chosen.len() < wanted.len() && !fills_up {
            chosen = self.choose(
                job,
                PlacementRequest {
                    spare_warm: false,
                    ..search
                },
                snapshots,
                now,
            );
        }
        let probed = job.failures.fails_everywhere();
        let missing = if probed {
            0
        } else {
            wanted.len() - chosen.len()
        };
        if expecting {
            // Machines that are about to report take what would queue for another's fetch here.
            chosen.retain(|snapshot| !self.queues_up(&snapshots[*snapshot].id, &spec, now));
            if whole && chosen.len() < wanted.len() {
                chosen.clear();
            }
        }
        let mut starting: Vec<(u32, usize)> =
            wanted.iter().copied().zip(chosen.iter().copied()).collect();
        self.hold_back_second_attempts(id, &mut starting);
        if whole && starting.len() < chosen.len() {
            return 0;
        }
        for (_, snapshot) in &starting {
            snapshots[*snapshot].take(&need, &spec.image);
        }
        // What only the grant holds back keeps the room it found until the grant is larger.
        starting.truncate(usage.room_in_grant(&team_limits, &need, starting.len(), whole));
        if !starting.is_empty() {
            let Some(attempt) = self.next_attempt(&team_limits.name) else {
                return 0;
            };
            for (index, snapshot) in &starting {
                usage.add(&team_limits.name, need.cpus, need.gpus);
                let machine = snapshots[*snapshot].id.clone();
                self.start(id, *index, &machine, attempt, now);
            }
        }
        if missing > 0 {
            let lacking = preemption::UnplacedTasks {
                job: id,
                tasks: missing,
                spares_gpus,
            };
            let stops = preemption::make_room(self, lacking, snapshots, usage, now);
            for stop in stops {
                self.stop(&stop.machine, &stop.task, stop.attempt, stop.grace);
            }
            self.reserve(id, missing, snapshots);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.waits_since = (missing > 0).then(|| job.waits_since.unwrap_or(now));
        }
        starting.len()
    }

    /// The last guard against a task that runs twice: a task is not started while an attempt of it may
    /// be on some machine. Such a task should not be waiting at all, so this is logged and counted.
    pub(crate) fn hold_back_second_attempts(
        &mut self,
        id: &JobId,
        starting: &mut Vec<(u32, usize)>,
    ) {
        if starting.is_empty() {
            return;
        }
        let there = self.tasks_on_machines(id);
        let before = starting.len();
        starting.retain(|(index, _)| !there.contains(index));
        let held_back = before - starting.len();
        if held_back > 0 {
            tracing::error!("{id}: {held_back} tasks wait though attempts of them may be running");
            self.starts_held_back += held_back as u64;
        }
    }

    /// Holds room back, on machines that have an image whose fetch takes longer than starts may,
    /// for as many of its tasks as came lately: an extension of the design, in which other work
    /// would best-fit itself into just that room.
    pub(crate) fn hold_warm(
        &self,
        snapshots: &mut [MachineSnapshot],
        catalog: &Catalog,
        now: Time,
    ) {
        let tight = self
            .forecast
            .tight_images(&self.config, catalog.types(), now);
        for (image, (spec, recent)) in tight {
            let need = Resources::of(&spec);
            let zones: BTreeSet<Zone> = snapshots
                .iter()
                .map(|snapshot| snapshot.zone.clone())
                .collect();
            for zone in &zones {
                let mut wanted = recent.div_ceil(zones.len() as u32).max(1);
                let mut holders: Vec<usize> = (0..snapshots.len())
                    .filter(|index| {
                        let snapshot = &snapshots[*index];
                        snapshot.zone == *zone
                            && allowed(&spec, &snapshot.type_name, &snapshot.zone, snapshot.spot)
                            && self
                                .machines
                                .get(&snapshot.id)
                                .is_some_and(|m| m.has_image(&image))
                    })
                    .collect();
                holders.sort_by(|a, b| snapshots[*a].free.gpus.total_cmp(&snapshots[*b].free.gpus));
                for index in holders {
                    while wanted > 0 && snapshots[index].open_to(None).holds(&need) {
                        snapshots[index].warm.push((image.clone(), need));
                        wanted -= 1;
                    }
                }
            }
        }
    }

    /// Slots for tasks of a job.
    pub(crate) fn choose(
        &self,
        job: &Job,
        search: PlacementRequest,
        snapshots: &[MachineSnapshot],
        now: Time,
    ) -> Vec<usize> {
        let PlacementRequest { count, whole, .. } = search;
        let zones: BTreeSet<&Zone> = snapshots.iter().map(|snapshot| &snapshot.zone).collect();
        if job.spec.one_zone && count > 1 && job.placed() == 0 {
            // The zone that takes the most of it.
            let mut best = Vec::new();
            for zone in zones {
                let chosen = self.choose_in(job, search, snapshots, now, Some(zone));
                if chosen.len() > best.len() {
                    best = chosen;
                }
            }
            return if whole && best.len() < count {
                Vec::new()
            } else {
                best
            };
        }
        let chosen = self.choose_in(job, search, snapshots, now, None);
        if whole && chosen.len() < count {
            Vec::new()
        } else {
            chosen
        }
    }

    pub(crate) fn choose_in(
        &self,
        job: &Job,
        search: PlacementRequest,
        snapshots: &[MachineSnapshot],
        now: Time,
        zone: Option<&Zone>,
    ) -> Vec<usize> {
        let PlacementRequest {
            count,
            spare_warm,
            spares_gpus,
            ..
        } = search;
        let need = job.need();
        let spec = &job.spec;
        let due = due_with(&self.config, job, ESTIMATE_MARGIN);
        let slack = if job.began { 0.0 } else { due - now };
        let service = spec.kind == Kind::Service && !job.began;
        let late = if service {
            Late::MostRoom
        } else {
            Late::BestFit
        };
        let spot_fits = |snapshot: &&MachineSnapshot| {
            snapshot.spot && snapshot.open_to(Some(&spec.image)).holds(&need)
        };
        // What may run on spot machines leaves the dear ones to what may not.
        let spot_only = spec.spot && snapshots.iter().filter(spot_fits).count() >= count;
        let mut taken: BTreeMap<usize, Resources> = BTreeMap::new();
        let mut in_zone: BTreeMap<Zone, u32> = BTreeMap::new();
        let mut chosen = Vec::new();
        let eligible: Vec<usize> = snapshots
            .iter()
            .enumerate()
            .filter(|(_, snapshot)| {
                !snapshot.reserved
                    && snapshot.room_for(snapshot.free, spares_gpus).holds(&need)
                    && (snapshot.spot || !spot_only)
                    && zone.is_none_or(|zone| snapshot.zone == *zone)
                    && allowed(spec, &snapshot.type_name, &snapshot.zone, snapshot.spot)
                    && job
                        .failures
                        .avoided()
                        .is_none_or(|avoided| !avoided.contains(&snapshot.id))
            })
            .map(|(index, _)| index)
            .collect();
        let eligible = self.without_new_fetches(job, eligible, snapshots);
        let ready: BTreeMap<usize, Time> = eligible
            .iter()
            .map(|index| {
                (
                    *index,
                    self.ready_in(&snapshots[*index].id, &spec.image, spec.image_gb, now),
                )
            })
            .collect();
        for _ in 0..count {
            let open: Vec<usize> = eligible
                .iter()
                .copied()
                .filter(|index| job.zone_allows(&snapshots[*index].zone, &in_zone))
                .collect();
            let candidates: Vec<Candidate> = open
                .iter()
                .map(|index| {
                    let snapshot = &snapshots[*index];
                    let open = if spare_warm {
                        snapshot.open_to(Some(&spec.image))
                    } else {
                        snapshot.free
                    };
                    let free = snapshot.room_for(open, spares_gpus);
                    let free = taken.get(index).copied().unwrap_or(free);
                    Candidate {
                        free,
                        total: snapshot.total,
                        ready_in: ready[index],
                    }
                })
                .collect();
            let Some(pick) = best_fit(&need, &candidates, slack, late, self.weights) else {
                break;
            };
            let index = open[pick];
            taken.insert(index, candidates[pick].free.less(&need));
            *in_zone.entry(snapshots[index].zone.clone()).or_default() += 1;
            chosen.push(index);
        }
        chosen
    }

    /// A job that fails everywhere is tried where its image is, if that is anywhere, and there first
    /// where it has not failed yet.
    pub(crate) fn without_new_fetches(
        &self,
        job: &Job,
        eligible: Vec<usize>,
        snapshots: &[MachineSnapshot],
    ) -> Vec<usize> {
        if !job.failures.fails_everywhere() {
            return eligible;
        }
        let holds = |index: &usize| {
            let machine = self.machines.get(&snapshots[*index].id);
            machine.is_some_and(|machine| machine.has_image(&job.spec.image))
        };
        let untried = |index: &usize| !job.failures.machines().contains(&snapshots[*index].id);
        let holders: Vec<usize> = eligible.iter().copied().filter(holds).collect();
        let fresh: Vec<usize> = holders.iter().copied().filter(untried).collect();
        [fresh, holders, eligible]
            .into_iter()
            .find(|some| !some.is_empty())
            .unwrap_or_default()
    }

    /// Whether machines of this share are likely to report for the first time before long.
    pub(crate) fn expects_machines(&self, now: Time) -> bool {
        let patience = self.config.deployment.workers.report_s * 2.0;
        let about_to = |m: &Machine| {
            m.is_owned && !m.reconciled() && now < m.heartbeat_expected_since + patience
        };
        self.machines.values().any(about_to)
    }

    /// Whether the image would have to share the machine's fetch rate.
    pub(crate) fn queues_up(&self, id: &MachineId, spec: &JobSpec, now: Time) -> bool {
        self.machines.get(id).is_some_and(|machine| {
            machine.ready_in(&spec.image, spec.image_gb, now) > machine.fetch_s(spec.image_gb) * 1.1
        })
    }

    pub(crate) fn ready_in(&self, id: &MachineId, image: &Image, gb: f64, now: Time) -> Time {
        self.machines
            .get(id)
            .map_or(Time::INFINITY, |m| m.ready_in(image, gb, now))
    }

    /// Keeps the machines that will soonest hold what a gang still lacks from work that comes
    /// after it, so that small tasks do not starve large ones.
    pub(crate) fn reserve(&self, id: &JobId, count: usize, snapshots: &mut [MachineSnapshot]) {
        let Some(job) = self.jobs.get(id).filter(|job| job.is_gang()) else {
            return;
        };
        let need = job.need();
        for _ in 0..count {
            let best = snapshots
                .iter_mut()
                .filter(|s| !s.reserved && s.total.holds(&need))
                .filter(|s| allowed(&job.spec, &s.type_name, &s.zone, s.spot))
                .max_by(|a, b| a.later.gpus.total_cmp(&b.later.gpus));
            let Some(snapshot) = best else { return };
            snapshot.reserved = true;
        }
    }

    /// Machines that the cloud takes away: tasks work on as long as they can still save, and end
    /// before the machine does, so that nobody has to wait for its lease.
    pub(crate) fn drain(&mut self, now: Time) {
        let margin = self.config.deployment.workers.report_s * 0.5 + 1.0;
        let mut stops = Vec::new();
        for machine in self.machines.values() {
            let Some(leaves) = machine.reclaimed_at else {
                continue;
            };
            for ((task, attempt), tracked) in &machine.attempts {
                let due = leaves - now <= tracked.checkpoint_write_s * 1.1 + margin;
                if tracked.stop.is_none() && !tracked.exited() && due {
                    let grace = if leaves - now > tracked.checkpoint_write_s {
                        tracked.checkpoint_write_s
                    } else {
                        0.0
                    };
                    stops.push((machine.id.clone(), task.clone(), *attempt, grace));
                }
            }
        }
        for (machine, task, attempt, grace) in stops {
            self.stop(&machine, &task, attempt, grace);
        }
    }
}
