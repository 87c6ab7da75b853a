//! Days generated from a seed. Every day runs without and with grants.
//!
//! Each kind of day has an environment variable that selects other seeds, as in `RANDOM_DAYS=1-500`.

use crate::days;
use crate::script::{
    assert_no_reports, assert_no_violations, play, report, report_with_grants, reports_of_both_runs,
};
use crate::world::World;

/// A kind of generated day, and the seeds that are run.
struct DayKind {
    name: &'static str,
    /// The environment variable that selects other seeds.
    variable: &'static str,
    /// Seeds as `first-last` when the variable is not set.
    seeds: &'static str,
    /// Seeds that violated a rule in the past; they always run.
    regressions: &'static [u64],
    generate: fn(u64) -> String,
}

impl DayKind {
    fn keeps_all_rules(&self) {
        let regressions = self.regressions.iter().copied();
        let mut reports = Vec::new();
        for seed in days::seed_range(self.variable, self.seeds).chain(regressions) {
            let day = (self.generate)(seed);
            let name = format!("{} day {seed}\n{day}", self.name);
            reports.extend(reports_of_both_runs(&name, &day));
        }
        assert_no_reports(&reports);
    }
}

#[test]
fn random_days() {
    let kind = DayKind {
        name: "random",
        variable: "RANDOM_DAYS",
        seeds: "1-40",
        // A late shard map write that is undone by the next one (1456), a leader that returned through a lease
        // extension (321), a team gained before all controllers had read the shard map (325), a poll answered after
        // a later cancellation (1026). Seed 23, a first heartbeat taken for a new session, is within the range.
        regressions: &[1456, 321, 325, 1026],
        generate: days::random_day,
    };
    kind.keeps_all_rules();
}

/// All faults of the protocol may overlap, on a shard map of several values.
#[test]
fn overlapping_faults_days() {
    let kind = DayKind {
        name: "overlapping_faults",
        variable: "OVERLAPPING_FAULTS_DAYS",
        seeds: "1-40",
        regressions: &[],
        generate: days::overlapping_faults_day,
    };
    kind.keeps_all_rules();
}

/// Two or three faults begin within seconds of one another.
#[test]
fn interacting_faults_days() {
    let kind = DayKind {
        name: "interacting_faults",
        variable: "INTERACTING_FAULTS_DAYS",
        seeds: "1-40",
        regressions: &[],
        generate: days::interacting_faults_day,
    };
    kind.keeps_all_rules();
}

/// Direct commands are refused, late or unanswered while other faults end tasks early.
#[test]
fn command_faults_days() {
    let kind = DayKind {
        name: "command_faults",
        variable: "COMMAND_FAULTS_DAYS",
        seeds: "1-40",
        // A start that is delayed beside a refused one.
        regressions: &[78],
        generate: days::command_faults_day,
    };
    kind.keeps_all_rules();
}

/// Tens of machines, with every kind of fault at once.
#[test]
fn many_machines_days() {
    let kind = DayKind {
        name: "many_machines",
        variable: "MANY_MACHINES_DAYS",
        seeds: "1-15",
        regressions: &[],
        generate: days::many_machines_day,
    };
    kind.keeps_all_rules();
}

fn log_lines_with(world: &World, text: &str) -> usize {
    world.log.iter().filter(|line| line.contains(text)).count()
}

/// Checks that an upgrade day contained what its text asks for.
fn check_upgrade_took_place(seed: u64, day: &str, world: &World) {
    assert!(
        log_lines_with(world, " 0 of the previous version are left") >= 1,
        "day {seed}: all were upgraded"
    );
    assert_eq!(
        log_lines_with(world, "lowers its limits"),
        usize::from(day.contains("limits_fall")),
        "{seed}"
    );
    for (statement, logged) in [
        ("outage", "condition: Outage"),
        ("refuse", "fault Refuse"),
        ("zone_cut", "fault ZoneCut"),
    ] {
        assert_eq!(
            day.contains(statement),
            log_lines_with(world, logged) > 0,
            "day {seed}: {statement}"
        );
    }
    if day.contains("leader_first") || day.contains("leader_last") {
        assert!(
            log_lines_with(world, ", led by Some") >= 1,
            "day {seed}: there was a leader"
        );
    }
}

/// The upgrade in each order of three controllers and in many orders of five, with each fault beside it.
#[test]
fn upgrade_days() {
    let mut reports = Vec::new();
    let mut downgrades = 0;
    for seed in days::seed_range("UPGRADE_DAYS", "0-41") {
        let day = days::upgrade_day(seed);
        let world = play(&day);
        check_upgrade_took_place(seed, &day, &world);
        downgrades += log_lines_with(&world, "fault Downgrade");
        let name = format!("upgrade day {seed}\n{day}");
        reports.extend(report(&name, &world));
        reports.extend(report_with_grants(&name, &day));
    }
    assert!(downgrades > 5, "some returned to the previous version");
    assert_no_reports(&reports);
}

/// A fleet of two machine types with several faults at once, at times derived from the seed. On day 7 the rest of an
/// opportunistic array, too small to justify renting a machine, once waited without end beside full machines.
#[test]
fn two_machine_types_through_several_faults() {
    for seed in 1..=12 {
        let world = play(&two_machine_types_day(seed));
        assert_no_violations(&format!("two machine types {seed}"), &world);
    }
}

fn two_machine_types_day(seed: u64) -> String {
    format!(
        "seed {seed}\ncontrollers 5\nmachines 4\nwithout_gpus 6\nat 2 job service 24 gpus=0 spread\n\
         at 3 job service 8 gpus=2 spread\nat 4 job array 30 gpus=1 low spot run=20\n\
         at 5 job service 6 gpus=0 team=blue\nat {} crash leader\nat {} zone_cut a 20\n\
         at {} crash n1\nat {} machine_dies {}\nat {} machine_hangs 4 6\nat 60 outage 8\n\
         at 75 job service 9 gpus=0 spread\nat 76 cancel 1\nuntil 260\n",
        30 + seed,
        32 + seed % 3,
        33 + seed % 5,
        34 + seed % 4,
        seed % 10,
        31 + seed % 6,
    )
}
