//! The choice of machines for the waiting tasks of a job.

use crate::core::jobs::job::Job;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::core::scheduling::constraints::{RUN_TIME_ESTIMATE_MARGIN, start_deadline_with_margin};
use crate::core::scheduling::placement::{Candidate, LateStartPolicy, best_fit};
use crate::core::shard::Shard;
use crate::core::shard::round::snapshot::MachineSnapshot;
use crate::ids::{Image, MachineId, Zone};
use crate::wire::{JobKind, JobSpec};
use std::collections::{BTreeMap, BTreeSet};

/// A fetch shares the machine's fetch rate with others if the image is ready later than this multiple of the
/// time that its fetch alone would take.
const UNSHARED_FETCH_FACTOR: f64 = 1.1;

/// Number of heartbeat intervals within which a machine should send the first heartbeat to its owner.
const FIRST_HEARTBEAT_INTERVALS: f64 = 2.0;

/// The tasks of a job that need machines, and the resources that they may not use.
#[derive(Clone, Copy)]
pub(super) struct PlacementRequest {
    /// Number of tasks that need a machine.
    pub(super) tasks: usize,
    /// Whether the tasks must all be placed together.
    pub(super) is_gang: bool,
    /// Whether the tasks must not use resources that are reserved for other images.
    pub(super) respects_image_reservations: bool,
    /// See [`Shard::must_keep_free_gpus_usable`].
    pub(super) must_keep_free_gpus_usable: bool,
}

/// A machine on which tasks of the job may be placed.
struct EligibleMachine<'s> {
    /// Index of the snapshot in the slice that the round passes in.
    index: usize,
    snapshot: &'s MachineSnapshot,
    /// Free resources, less those of the tasks placed here so far.
    free: Resources,
    /// Seconds until the job's image would be ready here.
    ready_in: Time,
}

impl EligibleMachine<'_> {
    fn to_candidate(&self) -> Candidate {
        Candidate {
            free: self.free,
            total: self.snapshot.total,
            ready_in: self.ready_in,
        }
    }
}

impl Shard {
    /// Chooses machines for tasks of a job. Returns indices of snapshots, one for each placed task.
    pub(super) fn choose_machines(
        &self,
        job: &Job,
        request: PlacementRequest,
        snapshots: &[MachineSnapshot],
        now: Time,
    ) -> Vec<usize> {
        let is_new_in_one_zone = job.spec.one_zone && request.tasks > 1 && job.placed_count() == 0;
        let chosen = if is_new_in_one_zone {
            self.choose_in_best_zone(job, request, snapshots, now)
        } else {
            self.choose_in_zone(job, request, snapshots, now, None)
        };
        if request.is_gang && chosen.len() < request.tasks {
            Vec::new()
        } else {
            chosen
        }
    }

    /// Chooses machines in the zone that fits the most tasks. Of several such zones, the first by name is
    /// chosen.
    fn choose_in_best_zone(
        &self,
        job: &Job,
        request: PlacementRequest,
        snapshots: &[MachineSnapshot],
        now: Time,
    ) -> Vec<usize> {
        let zones: BTreeSet<&Zone> = snapshots.iter().map(|snapshot| &snapshot.zone).collect();
        let mut best = Vec::new();
        for zone in zones {
            let chosen = self.choose_in_zone(job, request, snapshots, now, Some(zone));
            if chosen.len() > best.len() {
                best = chosen;
            }
        }
        best
    }

    /// Chooses a machine for one task after another. `None` for `zone` allows all zones.
    fn choose_in_zone(
        &self,
        job: &Job,
        request: PlacementRequest,
        snapshots: &[MachineSnapshot],
        now: Time,
        zone: Option<&Zone>,
    ) -> Vec<usize> {
        let need = job.need();
        let time_to_deadline = self.time_to_start_deadline(job, now);
        let late_start = late_start_policy(job);
        let mut eligible = self.eligible_machines(job, request, snapshots, now, zone);
        let mut tasks_in_zone: BTreeMap<Zone, u32> = BTreeMap::new();
        let mut chosen = Vec::new();
        for _ in 0..request.tasks {
            let mut allowed: Vec<&mut EligibleMachine> = eligible
                .iter_mut()
                .filter(|machine| job.zone_allows(&machine.snapshot.zone, &tasks_in_zone))
                .collect();
            let candidates: Vec<Candidate> = allowed
                .iter()
                .map(|machine| machine.to_candidate())
                .collect();
            let best = best_fit(
                &need,
                &candidates,
                time_to_deadline,
                late_start,
                self.weights,
            );
            let Some(machine) = best.and_then(|position| allowed.get_mut(position)) else {
                break;
            };
            machine.free = machine.free.minus(&need);
            chosen.push(machine.index);
            *tasks_in_zone
                .entry(machine.snapshot.zone.clone())
                .or_default() += 1;
        }
        chosen
    }

    /// Seconds until the job has to start; 0 for a job that has already started, because the tasks to place
    /// may have been interrupted.
    fn time_to_start_deadline(&self, job: &Job, now: Time) -> Time {
        if job.has_started {
            return 0.0;
        }
        start_deadline_with_margin(&self.config, job, RUN_TIME_ESTIMATE_MARGIN) - now
    }

    /// The machines on which a task of the job fits and that satisfy its constraints. How its tasks are
    /// spread over zones is not checked here, because it changes with each placed task.
    fn eligible_machines<'s>(
        &self,
        job: &Job,
        request: PlacementRequest,
        snapshots: &'s [MachineSnapshot],
        now: Time,
        zone: Option<&Zone>,
    ) -> Vec<EligibleMachine<'s>> {
        let spec = &job.spec;
        let spot_only = should_use_spot_only(job, request.tasks, snapshots);
        let is_eligible = |snapshot: &MachineSnapshot| {
            let free = snapshot.usable_resources(snapshot.free, request.must_keep_free_gpus_usable);
            !snapshot.is_reserved
                && free.holds(&job.need())
                && (snapshot.spot || !spot_only)
                && zone.is_none_or(|zone| snapshot.zone == *zone)
                && snapshot.is_allowed_for(spec)
                && !is_avoided(job, &snapshot.id)
        };
        let eligible = snapshots
            .iter()
            .enumerate()
            .filter(|(_, snapshot)| is_eligible(snapshot))
            .collect();
        self.select_probe_machines(job, eligible)
            .into_iter()
            .map(|(index, snapshot)| {
                let unreserved = if request.respects_image_reservations {
                    snapshot.free_for_image(Some(&spec.image))
                } else {
                    snapshot.free
                };
                EligibleMachine {
                    index,
                    snapshot,
                    free: snapshot.usable_resources(unreserved, request.must_keep_free_gpus_usable),
                    ready_in: self.ready_in(&snapshot.id, &spec.image, spec.image_gb, now),
                }
            })
            .collect()
    }

    /// Restricts a job that fails on every machine to machines that have its image cached, if there are any.
    /// Among these, the ones where it has not failed yet take precedence.
    fn select_probe_machines<'s>(
        &self,
        job: &Job,
        eligible: Vec<(usize, &'s MachineSnapshot)>,
    ) -> Vec<(usize, &'s MachineSnapshot)> {
        if !job.failures.fails_everywhere() {
            return eligible;
        }
        let has_image = |(_, snapshot): &(usize, &MachineSnapshot)| {
            self.machines
                .get(&snapshot.id)
                .is_some_and(|machine| machine.has_image(&job.spec.image))
        };
        let is_untried = |(_, snapshot): &(usize, &MachineSnapshot)| {
            !job.failures.machines().contains(&snapshot.id)
        };
        let with_image: Vec<_> = eligible.iter().copied().filter(has_image).collect();
        let untried: Vec<_> = with_image.iter().copied().filter(is_untried).collect();
        [untried, with_image, eligible]
            .into_iter()
            .find(|machines| !machines.is_empty())
            .unwrap_or_default()
    }

    /// Whether a machine of this shard is expected to send its first heartbeat soon.
    pub(super) fn expects_first_heartbeats(&self, now: Time) -> bool {
        let heartbeat_window_s =
            self.config.deployment.workers.report_s * FIRST_HEARTBEAT_INTERVALS;
        self.machines.values().any(|machine| {
            machine.is_owned
                && !machine.reconciled()
                && now < machine.heartbeat_expected_since + heartbeat_window_s
        })
    }

    /// Whether the fetch of the job's image would share the machine's fetch rate with other images.
    pub(super) fn would_share_fetch_rate(&self, id: &MachineId, spec: &JobSpec, now: Time) -> bool {
        self.machines.get(id).is_some_and(|machine| {
            machine.ready_in(&spec.image, spec.image_gb, now)
                > machine.fetch_s(spec.image_gb) * UNSHARED_FETCH_FACTOR
        })
    }

    fn ready_in(&self, id: &MachineId, image: &Image, image_gb: f64, now: Time) -> Time {
        self.machines.get(id).map_or(Time::INFINITY, |machine| {
            machine.ready_in(image, image_gb, now)
        })
    }
}

/// The policy for starts that miss their deadline. The first replicas of a service usually all miss it
/// together, so the machine that fetches the image for one replica should have room for the others.
fn late_start_policy(job: &Job) -> LateStartPolicy {
    if job.spec.kind == JobKind::Service && !job.has_started {
        LateStartPolicy::WorstFit
    } else {
        LateStartPolicy::BestFit
    }
}

/// Whether the job is placed on spot instances only: it accepts them and enough of them have free resources.
/// The more expensive machines then stay free for jobs that do not accept spot instances.
fn should_use_spot_only(job: &Job, tasks: usize, snapshots: &[MachineSnapshot]) -> bool {
    let fits_on_spot = |snapshot: &&MachineSnapshot| {
        let free = snapshot.free_for_image(Some(&job.spec.image));
        snapshot.spot && free.holds(&job.need())
    };
    job.spec.spot && snapshots.iter().filter(fits_on_spot).count() >= tasks
}

fn is_avoided(job: &Job, machine: &MachineId) -> bool {
    job.failures
        .avoided_machines()
        .is_some_and(|avoided| avoided.contains(machine))
}
