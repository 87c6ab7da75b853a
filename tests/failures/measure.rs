//! Simulates the failure of a shard's owner and measures the times until suspicion, failover and recovery.

use crate::script::{default_job, run_scenario};
use crate::world::{CutManner, Direction, Endpoint, Event, Fault, World};
use ochredrum::wire::{JobKind, JobSpec};

/// Earliest time of the failure, in seconds.
const EARLIEST_FAILURE_S: f64 = 40.0;
/// Seeds spread the time of the failure evenly over this many seconds, within which the lease of every key is
/// renewed.
const PHASE_RANGE_S: f64 = 4.0;
/// Number of different times of the failure.
const PHASES: u64 = 20;
/// Coprime to the number of phases, so that consecutive seeds are far apart.
const PHASE_STRIDE: u64 = 7;
/// Seconds after the failure during which the simulation is inspected.
const OBSERVATION_S: f64 = 45.0;
/// Seconds between two inspections of the simulation.
const STEP_S: f64 = 0.05;
/// The key of a controller does not expire during failures that are shorter than this.
const KEY_EXPIRY_S: f64 = 4.0;
/// Seconds until a crashed controller is restarted, and duration of cuts, refusals and slowness.
const FAULT_DURATION_S: f64 = 40.0;
/// Seconds after the failure when another job of the failed controller's shard is submitted.
const SUBMIT_DELAY_S: f64 = 0.5;

/// A kind of failure of one controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// The process crashes and stays away until its shard has failed over.
    Crashes,
    /// The process crashes and is restarted after this many seconds.
    Restarts(f64),
    /// The process is paused for this many seconds while its clocks continue.
    Paused(f64),
    /// The controller is cut from all workers.
    CutFromWorkers(CutManner),
    /// The store refuses this controller and serves the others.
    RefusedByStore,
    /// The controller is cut from the store and its siblings.
    CutFromStoreAndSiblings,
    /// All messages from the controller, or all messages to it, are lost.
    OneDirection(Direction),
    /// The process runs only once in each period of this many seconds.
    Slow(f64),
}

impl Failure {
    /// Whether the failure makes the shard fail over.
    pub fn causes_failover(self) -> bool {
        match self {
            Self::Restarts(seconds) | Self::Paused(seconds) => seconds >= KEY_EXPIRY_S,
            Self::Slow(_) => false,
            _ => true,
        }
    }

    /// Whether workers that report to the controller wait for an answer until their timeout.
    pub fn keeps_workers_waiting(self) -> bool {
        matches!(
            self,
            Self::Paused(_) | Self::CutFromWorkers(CutManner::Silent)
        )
    }

    /// Schedules the failure of a controller.
    pub fn schedule(self, world: &mut World, at: f64, node: usize) {
        let target = Endpoint::Node(node);
        let cut = |from: Endpoint, manner: CutManner, direction: Direction| {
            let target = Endpoint::Node(node);
            Fault::Cut {
                target,
                from,
                seconds: FAULT_DURATION_S,
                manner,
                direction,
            }
        };
        let fault = match self {
            Self::Crashes => Fault::Crash {
                target,
                restart_delay_s: Some(FAULT_DURATION_S),
            },
            Self::Restarts(seconds) => Fault::Crash {
                target,
                restart_delay_s: Some(seconds),
            },
            Self::Paused(seconds) => Fault::Pause { target, seconds },
            Self::CutFromWorkers(manner) => cut(Endpoint::Workers, manner, Direction::Both),
            Self::RefusedByStore => Fault::Refuse {
                target,
                seconds: FAULT_DURATION_S,
            },
            Self::CutFromStoreAndSiblings => cut(
                Endpoint::StoreAndSiblings,
                CutManner::Silent,
                Direction::Both,
            ),
            Self::OneDirection(direction) => cut(Endpoint::Everyone, CutManner::Silent, direction),
            Self::Slow(pause) => Fault::Slow {
                target,
                pause,
                seconds: FAULT_DURATION_S,
            },
        };
        world.schedule_at(at, Event::Fault(fault));
    }
}

/// Seconds from the failure to each step of the failover, `None` for a step that did not take place, and the
/// losses.
#[derive(Clone, Debug, Default)]
pub struct FailoverMeasurement {
    /// Another controller suspected the failed one.
    pub suspected: Option<f64>,
    /// The key of the failed process was removed or came to belong to another process.
    pub released: Option<f64>,
    /// The stored shard map named another owner.
    pub failed_over: Option<f64>,
    /// Another process knew all running tasks of the shard, so that it might start any task.
    pub reconciled: Option<f64>,
    /// A job of the shard started that was submitted half a second after the failure.
    pub started: Option<f64>,
    /// Number of tasks that were lost because leases of workers expired.
    pub lost_tasks: usize,
    /// Invariants that were violated.
    pub violations: Vec<String>,
}

/// A scenario in which services and arrays of two teams run.
fn scenario(seed: u64, controllers: usize) -> String {
    format!(
        "seed {seed}\ncontrollers {controllers}\nmachines 16\nat 2 job service 20 spread\n\
         at 3 job array 12 run=300\nat 4 job service 4 team=blue\nat 10 cloud_outage 200\n"
    )
}

/// Runs the simulation up to the failure and returns it with the time of the failure.
pub fn simulate_until_failure(seed: u64, controllers: usize) -> (World, f64) {
    let fails_at =
        EARLIEST_FAILURE_S + (seed * PHASE_STRIDE % PHASES) as f64 / PHASES as f64 * PHASE_RANGE_S;
    let mut world = run_scenario(&format!(
        "{}until {fails_at}\n",
        scenario(seed, controllers)
    ));
    world.ignore_violations_of("not_served");
    (world, fails_at)
}

/// The controller that owns the busiest shard, which is that of team `red`.
pub fn busiest_owner(world: &World) -> usize {
    let owner = world
        .owner_of("red")
        .and_then(|name| name.strip_prefix('n')?.parse().ok());
    owner.expect("a team has an owner by now")
}

/// Runs the simulation on and measures the failover after the failure of `node` at `fails_at`.
pub fn measure_failover(world: &mut World, fails_at: f64, node: usize) -> FailoverMeasurement {
    let key = format!("ochredrum/node/n{node}");
    let (process, owner) = (world.stored_value(&key), world.owner_of("red"));
    let lost_before = world.counters.lost_with_leases;
    let mut measured = FailoverMeasurement::default();
    let later_job = JobSpec {
        gpus: 1.0,
        ..default_job(JobKind::Service, 2)
    };
    let later = world.add_job(fails_at + SUBMIT_DELAY_S, later_job, 0.0);
    while world.now < fails_at + OBSERVATION_S {
        world.run_until(world.now + STEP_S);
        let since = Some(world.now - fails_at);
        if measured.suspected.is_none() && world.is_suspected(node) {
            measured.suspected = since;
        }
        if measured.released.is_none() && !same_process(&world.stored_value(&key), &process) {
            measured.released = since;
        }
        if measured.failed_over.is_none() && world.owner_of("red") != owner {
            measured.failed_over = since;
        }
        if measured.reconciled.is_none()
            && measured.failed_over.is_some()
            && world.is_reconciled_by_another("red", node)
        {
            measured.reconciled = since;
        }
        if measured.started.is_none() && world.starts_of(later) > 0 {
            measured.started = since;
        }
    }
    measured.lost_tasks = world.counters.lost_with_leases - lost_before;
    measured.violations = world.violations.clone();
    measured
}

/// Whether two values of a controller's key belong to the same process: they have the same lease.
fn same_process(a: &Option<serde_json::Value>, b: &Option<serde_json::Value>) -> bool {
    let lease = |value: &Option<serde_json::Value>| value.as_ref().map(|v| v["lease"].clone());
    lease(a) == lease(b)
}
