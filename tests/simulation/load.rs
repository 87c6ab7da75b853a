//! Cost of load: requests to the store, traffic between controllers, and work inside them.

use crate::script::{assert_no_violations, default_job, run_scenario};
use crate::world::{Counters, LEASE_S};
use ochredrum::core::shard::WorkCounts;
use ochredrum::wire::{JobKind, JobSpec};

/// When the lowered rate limits of the store take effect, requests are throttled and all leases are still
/// renewed.
#[test]
fn lease_renewals_have_priority_when_requests_are_throttled() {
    let mut scenario = "seed 3\ncontrollers 5\nnext_limits 0.8 2 40 6\nmachines 12\n".to_owned();
    for job in 1..=120 {
        scenario += &format!(
            "at {} job array 1 run=2 gpus=1\n",
            20.0 + f64::from(job) / 20.0
        );
    }
    let world = run_scenario(
        &(scenario + "at 15 lower_limits\nat 18 linearizability_probes 30\nuntil 160\n"),
    );
    assert_no_violations("lowered rate limits", &world);
    // The limits take effect and are respected. Without pacing, 3,639 requests of this scenario were
    // throttled.
    assert!(
        (20..1200).contains(&world.counters.throttled_requests),
        "{:?}",
        world.counters
    );
    assert_eq!(world.leaderships(), 1, "the first leader kept its lease");
}

/// One-task jobs, four a second for two minutes, a quarter of them cancelled within seconds, while the leader
/// crashes and the store has an outage.
#[test]
fn many_one_task_jobs_are_served_during_faults() {
    let mut scenario =
        "seed 6\nmachines 16\nat 60 crash leader 2\nat 80 store_outage 6\n".to_owned();
    for job in 1..=480 {
        let at = 5.0 + f64::from(job) / 4.0;
        scenario += &format!("at {at} job array 1 run={} gpus=1\n", 1 + job % 7);
        if job % 4 == 0 {
            scenario += &format!("at {} cancel {job}\n", at + f64::from(job % 5));
        }
    }
    scenario += "at 4 linearizability_probes 130\nat 4 cancel_at_completion 130\nuntil 240\n";
    let world = run_scenario(&scenario);
    assert_no_violations("many one-task jobs", &world);
    // A job is written when created, when done or cancelled, and perhaps in between. The other transactions
    // write records of controllers and of the shard map.
    assert!(
        world.counters.store_bytes_written / 480 < 1500,
        "{:?}",
        world.counters
    );
}

/// Measures the cost of ten more tasks on a fleet of this many machines, most of which run two replicas.
fn cost_of_ten_tasks(machines: usize) -> Counters {
    let text = format!(
        "controllers 5\nmachines {machines}\nat 2 job service {} gpus=3\nuntil 40",
        machines * 2 - 4
    );
    let mut world = run_scenario(&text);
    let before = world.counters;
    for _ in 0..5 {
        world.add_job(world.now + 1.0, default_job(JobKind::Service, 2), 0.0);
    }
    world.run_until(world.now + 20.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    Counters {
        store_requests: world.counters.store_requests - before.store_requests,
        store_bytes_written: world.counters.store_bytes_written - before.store_bytes_written,
        mesh_bytes: world.counters.mesh_bytes - before.mesh_bytes,
        commands: world.counters.commands - before.commands,
        throttled_requests: world.counters.throttled_requests - before.throttled_requests,
        ..Default::default()
    }
}

/// The same change costs the same number of store requests on a fleet four times as large. Traffic between
/// controllers grows at most in proportion to the fleet, because the state of a shard is sent whole.
#[test]
fn store_requests_for_a_change_do_not_grow_with_the_fleet() {
    let (small, large) = (cost_of_ten_tasks(275), cost_of_ten_tasks(1100));
    println!("{small:?}\n{large:?}");
    assert!(small.store_requests > 0 && small.commands > 0 && small.mesh_bytes > 0);
    let growth = |of: fn(&Counters) -> usize| of(&large) as f64 / of(&small) as f64;
    assert!(
        growth(|work| work.store_requests) <= 1.2,
        "{small:?} {large:?}"
    );
    assert!(
        growth(|work| work.store_bytes_written) <= 1.5,
        "{small:?} {large:?}"
    );
    assert!(growth(|work| work.mesh_bytes) <= 4.0, "{small:?} {large:?}");
    assert!(growth(|work| work.commands) <= 1.5, "{small:?} {large:?}");
}

/// Cost of the jobs of [`cost_of_dependencies`].
#[derive(Debug)]
struct DependencyCost {
    work: WorkCounts,
    /// Virtual time in which the work was done.
    seconds: f64,
}

/// Measures the cost of three hundred dependents of one job and two chains of a hundred jobs on a fleet of
/// this many machines, most of which run two replicas.
fn cost_of_dependencies(machines: usize) -> DependencyCost {
    let replicas = machines * 2 - 60;
    let text =
        format!("controllers 5\nmachines {machines}\nat 2 job service {replicas} gpus=3\nuntil 40");
    let mut world = run_scenario(&text);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let (began_at, before) = (world.now, world.core_work());
    let mut small = default_job(JobKind::Array, 1);
    small.gpus = 1.0;
    let root = world.add_job(began_at + 0.1, small.clone(), 4.0);
    let mut chain_ends = [root, root];
    for number in 0..500 {
        let in_chain = number >= 300;
        let dependency = if in_chain {
            chain_ends[number % 2]
        } else {
            root
        };
        let job = JobSpec {
            dependencies: vec![world.job_id(dependency)],
            ..small.clone()
        };
        let added = world.add_job(began_at + 1.0 + number as f64 * 0.05, job, 1.0);
        if in_chain {
            chain_ends[number % 2] = added;
        }
    }
    world.run_until(began_at + 400.0);
    world.check_served();
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let after = world.core_work();
    DependencyCost {
        work: WorkCounts {
            visits: after.visits - before.visits,
            placement_rounds: after.placement_rounds - before.placement_rounds,
        },
        seconds: world.now - began_at,
    }
}

/// An event of a job costs in proportion to that job and its tasks, not to the fleet or to the number of
/// waiting jobs. Rounds of placement, which visit the whole shard, are bounded by time.
#[test]
fn cost_of_dependencies_does_not_grow_with_the_fleet() {
    let (small, large) = (cost_of_dependencies(240), cost_of_dependencies(1100));
    println!("{small:?} {large:?}");
    let (visits, more_visits) = (small.work.visits as f64, large.work.visits as f64);
    assert!(visits > 500.0 && visits < 501.0 * 100.0, "{small:?}");
    assert!(more_visits < visits * 1.3, "{small:?} {large:?}");
    for DependencyCost { work, seconds } in [small, large] {
        let rounds = work.placement_rounds;
        // At most one round in each four-hundredth of a lease, on each of five controllers.
        assert!(
            (rounds as f64) < seconds * 400.0 / LEASE_S * 5.0,
            "{rounds} in {seconds} s"
        );
    }
}

/// The visits of all controllers for a pipeline whose last job has a deadline. Each of its stages of `width` jobs
/// needs all jobs of the stage before, and the estimates give each path to the last job a length of its own.
fn visits_for_pipeline_with_deadline(stages: usize, width: usize) -> u64 {
    let text = "controllers 3\nmachines 12\nat 2 job service 2 gpus=1\nuntil 30\n";
    let mut world = run_scenario(text);
    let (began_at, before) = (world.now, world.core_work());
    let mut spec = default_job(JobKind::Array, 1);
    spec.gpus = 1.0;
    let root = world.add_job(began_at + 0.1, spec.clone(), 20.0);
    let mut earlier_stage = vec![root];
    let mut submit_at = began_at + 1.0;
    for stage in 0..stages {
        let needed = earlier_stage.iter().map(|job| world.job_id(*job));
        spec.dependencies = needed.collect();
        earlier_stage.clear();
        for position in 0..width {
            let unit_ms = width.pow(stage as u32);
            spec.estimate_s = ((width - 1 - position) * unit_ms) as f64 / 1e3;
            earlier_stage.push(world.add_job(submit_at, spec.clone(), 0.5));
            submit_at += 0.05;
        }
    }
    let last_stage = earlier_stage.iter().map(|job| world.job_id(*job));
    spec.dependencies = last_stage.collect();
    spec.deadline_s = Some(86_400.0);
    world.add_job(submit_at + 1.0, spec, 0.5);
    world.run_until(began_at + 200.0);
    world.check_served();
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    world.core_work().visits - before.visits
}

/// Guards against controllers that answer nothing any more because of the last job of a pipeline
/// (docs/incidents/2026-12-pipeline-with-deadline.md).
#[test]
fn a_pipeline_with_a_deadline_costs_in_proportion_to_its_size() {
    const VISITS_PER_JOB_OR_DEPENDENCY: u64 = 100;
    for (stages, width) in [(16, 2), (10, 3)] {
        let visits = visits_for_pipeline_with_deadline(stages, width);
        let jobs = 2 + stages * width;
        let dependencies = 2 * width + (stages - 1) * width * width;
        let bound = (jobs + dependencies) as u64 * VISITS_PER_JOB_OR_DEPENDENCY;
        println!("{stages} stages of {width}: {visits} visits, bound {bound}");
        assert!(visits <= bound, "{stages} of {width}: {visits} of {bound}");
    }
}

/// The cost of an array of 25,000 tasks of this many seconds on six machines, with an outage of the store.
fn cost_of_short_tasks(run_s: f64, outage_s: u32) -> Counters {
    let world = run_scenario(&format!(
        "machines 6\nat 1 cloud_outage 1000\nat 2 job array 25000 run={run_s} gpus=0 cpus=1 image=i0\n\
         at 60 store_outage {outage_s}\nuntil 1000\n"
    ));
    assert_no_violations("short tasks", &world);
    world.counters
}

/// Exits that wait for their record or for a higher token do not make heartbeats longer than workers may send, and
/// a higher token costs no write.
#[test]
fn heartbeats_stay_within_the_body_limit_with_many_short_tasks() {
    for (run_s, outage_s) in [(3.0, 1), (3.0, 60), (0.3, 120)] {
        let cost = cost_of_short_tasks(run_s, outage_s);
        println!("tasks of {run_s} s, {outage_s} s of outage: {cost:?}");
        assert!(
            cost.largest_heartbeat < ochredrum::wire::BODY_LIMIT,
            "tasks of {run_s} s, {outage_s} s of outage: {cost:?}"
        );
    }
}

/// A fleet of four thousand machines, most of which run two replicas, loses the controller that owns them
/// all. Another controller takes over all of them, and requests and messages stay within the limits of the
/// services.
#[test]
fn four_thousand_machines_survive_a_crash_of_their_owner() {
    let machines = 4000;
    let text = format!(
        "controllers 5\nmachines {machines}\nat 2 job service {} gpus=3\nat 4 cloud_outage 200\n\
         at 20 crash n1 20\nat 21 job service 20 gpus=3\nuntil 20\n",
        machines * 2 - 60
    );
    let mut world = run_scenario(&text);
    world.ignore_violations_of("not_served");
    let before = world.counters;
    let began_at = world.now;
    world.run_until(began_at + 40.0);
    world.check_served();
    assert!(
        world.violations.is_empty(),
        "{:?}",
        &world.violations[..world.violations.len().min(5)]
    );
    let work = world.counters;
    println!("{before:?}\n{work:?}");
    let requests_per_s = (work.store_requests - before.store_requests) as f64 / 40.0;
    assert!(
        requests_per_s < world.limits.rps,
        "{requests_per_s} requests per second"
    );
    let throttled = work.throttled_requests - before.throttled_requests;
    assert!(
        throttled * 100 < work.store_requests,
        "{throttled} were throttled"
    );
    assert!(work.largest_message < 1024 * 1024, "{work:?}");
}
