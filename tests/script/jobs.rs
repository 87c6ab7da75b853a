//! Reads the jobs of scenarios.

use super::parse_number;
use crate::world::FAILS_IMMEDIATELY;
use ochredrum::ids::{Image, Team};
use ochredrum::wire::{JobKind, JobSpec, Priority};

/// Seconds that a task runs if the scenario does not set `run`.
const DEFAULT_RUN_S: f64 = 20.0;

/// A job of team `red` with this many tasks, each with two GPUs.
pub fn default_job(kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        class: if kind == JobKind::Service {
            "chat".into()
        } else {
            "batch".into()
        },
        team: Team::from("red"),
        kind,
        priority: if kind == JobKind::Service {
            Priority::Production
        } else {
            Priority::Normal
        },
        tasks,
        cpus: 4.0,
        gpus: 2.0,
        memory_gb: 16.0,
        image: Image::from("img"),
        image_gb: 8.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 20.0,
        checkpoint_interval_s: if kind == JobKind::Service { 0.0 } else { 5.0 },
        checkpoint_write_s: if kind == JobKind::Service { 0.0 } else { 2.0 },
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Reads the words after `job` and returns the job and the seconds that each of its tasks runs.
///
/// `array|gang|service TASKS [run=S] [gpus=N] [team=blue] [after=1,2] [spot] [spread] [always_fails] …`
pub fn parse_job(words: &[&str]) -> (JobSpec, f64) {
    let kind = match words[0] {
        "array" => JobKind::Array,
        "gang" => JobKind::Gang,
        "service" => JobKind::Service,
        other => panic!("unknown kind of job {other:?}"),
    };
    let mut job = default_job(kind, parse_number(words.get(1)) as u32);
    let mut run_s = DEFAULT_RUN_S;
    for word in &words[2..] {
        match word.split_once('=') {
            Some(("run", s)) => run_s = parse_number(Some(&s)),
            Some(("gpus", n)) => job.gpus = parse_number(Some(&n)),
            Some(("cpus", n)) => job.cpus = parse_number(Some(&n)),
            Some(("image", name)) => job.image = name.into(),
            // Names of machine types that do not exist: they make the job's record large.
            Some(("types", count)) => {
                let names =
                    (0..parse_number(Some(&count)) as u32).map(|n| format!("type-{n:04}").into());
                job.types = Some(std::iter::once("g8".into()).chain(names).collect());
            }
            Some(("team", name)) => job.team = name.into(),
            Some(("deadline", s)) => job.deadline_s = Some(parse_number(Some(&s))),
            // Jobs are numbered in the order of the scenario's lines.
            Some(("after", list)) => {
                let ids = list.split(',').map(|n| parse_number(Some(&n)));
                job.dependencies = ids.map(|n| format!("req-{n:06}").into()).collect();
            }
            Some(("zone", name)) => job.zone = Some(name.into()),
            None if *word == "spot" => job.spot = true,
            None if *word == "spread" => job.spread = true,
            None if *word == "one_zone" => job.one_zone = true,
            None if *word == "always_fails" => run_s = FAILS_IMMEDIATELY,
            None if *word == "low" => job.priority = Priority::Low,
            None if *word == "high" => job.priority = Priority::High,
            _ => panic!("unknown option of a job: {word:?}"),
        }
    }
    (job, run_s)
}
