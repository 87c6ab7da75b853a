//! Reads scenarios and runs them. The grammar is in `scenario.pest`; text outside it is rejected with line
//! and column.

mod faults;
mod jobs;
mod report;

use crate::world::{Event, Limits, World, features_with_grants};
use faults::parse_fault;
use jobs::parse_job;
use pest::Parser;

pub use jobs::default_job;
pub use report::{
    assert_no_reports, assert_no_violations, report, report_with_grants, reports_of_both_runs,
};

/// Number of controllers if the scenario does not set it.
const DEFAULT_CONTROLLERS: usize = 3;

/// Parser generated from the grammar of scenarios.
#[derive(pest_derive::Parser)]
#[grammar = "../tests/script/scenario.pest"]
struct ScenarioParser;

/// Parses a scenario into the words of each statement.
///
/// # Errors
///
/// If the text does not match the grammar, with the line and column.
pub fn parse_statements(text: &str) -> Result<Vec<Vec<&str>>, Box<pest::error::Error<Rule>>> {
    let scenario = ScenarioParser::parse(Rule::scenario, text)?;
    let statements = scenario
        .flatten()
        .filter(|pair| pair.as_rule() == Rule::statement);
    Ok(statements
        .map(|pair| pair.as_str().split_whitespace().collect())
        .collect())
}

/// Name and text of every scenario file, in the order of their paths.
pub fn scenario_files() -> Vec<(String, String)> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    let read = |file: &std::path::PathBuf| {
        let name = file.file_stem().unwrap().to_string_lossy().into_owned();
        (name, std::fs::read_to_string(file).unwrap())
    };
    files.iter().map(read).collect()
}

fn parse_number(word: Option<&&str>) -> f64 {
    match word.and_then(|w| w.parse().ok()) {
        Some(number) => number,
        None => panic!("expected a number, found {word:?}"),
    }
}

/// Prints the controllers' logs if `SCENARIO_LOG` is set.
fn print_log_if_requested() {
    if std::env::var_os("SCENARIO_LOG").is_some() {
        let debug = tracing_subscriber::fmt().with_max_level(tracing::Level::DEBUG);
        debug.without_time().with_ansi(false).try_init().ok();
    }
}

/// The value of the first setting with this name.
fn find_setting(lines: &[Vec<&str>], name: &str) -> Option<f64> {
    let line = lines.iter().find(|words| words[0] == name);
    line.map(|words| parse_number(words.get(1)))
}

/// Runs a scenario to its end, then checks that every request was served and some task was started.
///
/// # Panics
///
/// If the text does not match the grammar.
pub fn run_scenario(text: &str) -> World {
    print_log_if_requested();
    let lines = match parse_statements(text) {
        Ok(lines) => lines,
        Err(error) => panic!("invalid scenario:\n{error}"),
    };
    let seed = find_setting(&lines, "seed").map_or(1, |seed| seed as u64);
    let controllers =
        find_setting(&lines, "controllers").map_or(DEFAULT_CONTROLLERS, |n| n as usize);
    let mut world = World::new(seed, controllers);
    let mut jobs = Vec::new();
    for words in lines {
        match words[0] {
            "seed" | "controllers" => {}
            "until" => world.run_until(parse_number(words.get(1))),
            "at" => schedule(
                &mut world,
                &mut jobs,
                parse_number(words.get(1)),
                &words[2..],
            ),
            _ => apply_setting(&mut world, controllers, &words),
        }
    }
    world.check_served();
    if world.starts() == 0 {
        world.record_violation("no_task_started", "no task was started".into());
    }
    world
}

/// Applies a setting of the deployment.
fn apply_setting(world: &mut World, controllers: usize, words: &[&str]) {
    let value = |position: usize| parse_number(words.get(position));
    match words[0] {
        "limits" => {
            world.limits.value_kb = value(1);
            world.limits.txn_ops = value(2) as usize;
        }
        "next_limits" => {
            world.next_limits = Some(Limits {
                value_kb: value(1),
                txn_ops: value(2) as usize,
                rps: value(3),
                write_rps: value(4),
            });
        }
        "grants" => world.features = features_with_grants(),
        "detection_off" => world.features.failure_detection = None,
        "previous_version" => world.previous_version_nodes = (0..controllers).collect(),
        "machines" => world.add_machines(value(1) as usize, false),
        "without_gpus" => world.add_machines_without_gpus(value(1) as usize),
        "limited_teams" => world.add_limited_teams(value(1) as usize, value(2), value(3)),
        "spot" => world.add_machines(value(1) as usize, true),
        other => panic!("unknown setting {other:?}"),
    }
}

/// Schedules the event of a statement `at`. `jobs` holds the jobs that the scenario has defined so far, in
/// order.
fn schedule(world: &mut World, jobs: &mut Vec<usize>, at: f64, words: &[&str]) {
    let job_with_number = |jobs: &[usize]| jobs[parse_number(words.get(1)) as usize - 1];
    match words[0] {
        "job" => {
            let (spec, run_s) = parse_job(&words[1..]);
            jobs.push(world.add_job(at, spec, run_s));
        }
        "cancel" => world.schedule_at(
            at,
            Event::Cancel {
                job: job_with_number(jobs),
            },
        ),
        "expect" => {
            let (job, expected) = (job_with_number(jobs), words[2].to_owned());
            world.schedule_at(at, Event::Expect { job, expected });
        }
        "lower_limits" => world.schedule_at(at, Event::LimitsLowered),
        "submit_again" => world.schedule_at(
            at,
            Event::Submit {
                job: job_with_number(jobs),
            },
        ),
        _ => world.schedule_at(at, Event::Fault(parse_fault(words))),
    }
}
