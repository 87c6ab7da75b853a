//! Constraints of a single job: the machines that it accepts, and the latest time of its start.

use crate::config::{Config, TeamLimits};
use crate::core::jobs::job::Job;
use crate::core::model::time::Time;
use crate::ids::{MachineTypeName, Zone};
use crate::wire::JobSpec;

/// Factor applied to the submitter's run time estimate to compute when a machine has to be ready.
/// Estimates are often too low by half and sometimes by more. A job that is late only because of an image
/// fetch has missed its objective too.
pub(crate) const RUN_TIME_ESTIMATE_MARGIN: f64 = 2.0;

/// Whether the job accepts machines of this type in this zone. `spot` states whether they are spot instances.
pub fn accepts_machine(
    spec: &JobSpec,
    type_name: &MachineTypeName,
    zone: &Zone,
    spot: bool,
) -> bool {
    (spec.spot || !spot)
        && accepts_type(spec, type_name)
        && spec.zone.as_ref().is_none_or(|only| only == zone)
}

/// Whether the job accepts machines of this type, in any zone.
pub fn accepts_type(spec: &JobSpec, type_name: &MachineTypeName) -> bool {
    spec.types
        .as_ref()
        .is_none_or(|types| types.contains(type_name))
}

/// The latest start at which the job meets its objectives and its deadline if its run time equals the
/// estimate.
pub fn start_deadline(config: &Config, job: &Job) -> Time {
    start_deadline_with_margin(config, job, 1.0)
}

/// [`start_deadline`] with the estimated run time multiplied by `estimate_margin`.
pub(crate) fn start_deadline_with_margin(config: &Config, job: &Job, estimate_margin: f64) -> Time {
    let spec = &job.spec;
    let wait_objective = config.wait_objective(&spec.class);
    let finish_objective = config
        .finish_objective(&spec.class)
        .map(|objective_s| job.runnable_since + objective_s);
    let finish_deadline = [finish_objective, job.deadline]
        .into_iter()
        .flatten()
        .min_by(Time::total_cmp);
    let start_to_finish = finish_deadline.map(|at| at - spec.estimate_s * estimate_margin);
    let start_objective = wait_objective.map(|objective_s| job.runnable_since + objective_s);
    [start_objective, start_to_finish]
        .into_iter()
        .flatten()
        .min_by(Time::total_cmp)
        // A job without objectives and deadline should start within `cancel_s` of becoming runnable.
        .unwrap_or(job.runnable_since + config.deployment.workers.cancel_s)
}

/// The limits of the job's team; `None` if the team is not configured.
pub fn team_limits<'a>(config: &'a Config, spec: &JobSpec) -> Option<&'a TeamLimits> {
    config.team_limits(&spec.team)
}
