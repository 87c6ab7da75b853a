use crate::config::{Config, TeamLimits};
use crate::core::jobs::job::Job;
use crate::core::model::time::Time;
use crate::ids::{TypeName, Zone};
use crate::wire::JobSpec;

/// Whether a machine of this type, zone and kind may run the job at all.
pub fn allowed(spec: &JobSpec, type_name: &TypeName, zone: &Zone, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec
            .types
            .as_ref()
            .is_none_or(|types| types.contains(type_name))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
}

/// What a machine has to be ready for takes the owner's estimate this many times: estimates are
/// often wrong by half, sometimes by more, and who is late by a fetch is late all the same.
pub(crate) const ESTIMATE_MARGIN: f64 = 2.0;

/// When a job's start becomes late, if it runs for as long as its owner thinks.
pub fn due(config: &Config, job: &Job) -> Time {
    due_with(config, job, 1.0)
}

pub(crate) fn due_with(config: &Config, job: &Job, margin: f64) -> Time {
    let spec = &job.spec;
    let wait = config.wait_objective(&spec.class);
    let finish = config
        .finish_objective(&spec.class)
        .map(|within| job.submitted + within);
    let finish = [finish, job.deadline]
        .into_iter()
        .flatten()
        .min_by(Time::total_cmp);
    let finish = finish.map(|at| at - spec.estimate_s * margin);
    let wait = wait.map(|within| job.submitted + within);
    let due = [wait, finish].into_iter().flatten().min_by(Time::total_cmp);
    // Without an objective, work is due one cancellation time after it came.
    due.unwrap_or(job.submitted + config.deployment.workers.cancel_s)
}

pub fn team_limits<'a>(config: &'a Config, spec: &JobSpec) -> Option<&'a TeamLimits> {
    config.team_limits(&spec.team)
}
