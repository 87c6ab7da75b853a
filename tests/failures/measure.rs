//! Simulates one failure of a shard's owner and measures when what follows takes place.

use crate::script::{default_job, play};
use crate::world::{CutManner, Direction, Endpoint, Event, Fault, World};
use ochredrum::wire::{JobKind, JobSpec};

/// When the failure begins at the earliest.
const FAILS_AT: f64 = 40.0;
/// Seeds spread its beginning evenly over this time, within which the lease of every key is renewed.
const PHASES_S: f64 = 4.0;
/// Beginnings within that time.
const PHASES: u64 = 20;
/// Coprime to the number of phases, so that consecutive seeds are far apart.
const PHASE_STRIDE: u64 = 7;
/// How long a failure is followed.
const FOLLOWED_S: f64 = 45.0;
/// How often the simulation is inspected.
const STEP_S: f64 = 0.05;
/// The key of a controller survives failures that are shorter than this.
const KEY_LASTS_S: f64 = 4.0;
/// How long crashed controllers stay away, and how long cuts last.
const LASTS_S: f64 = 40.0;
/// Seconds after the failure when another job of the failed controller's shard is submitted.
const SUBMITTED_AFTER_S: f64 = 0.5;

/// A kind of failure of one controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// Crashes.
    Crashes,
    /// Crashes, and is restarted after this many seconds.
    Restarts(f64),
    /// Is paused for this many seconds while its clocks continue.
    Paused(f64),
    /// Is cut from all workers.
    CutFromWorkers(CutManner),
    /// Is refused by the store, unlike the others.
    RefusedAlone,
    /// Is cut from the store and its siblings.
    CutFromStateAndSiblings,
    /// What it sends, or what is sent to it, is lost.
    OneDirection(Direction),
    /// It runs only once every this many seconds.
    Slow(f64),
}

impl Failure {
    /// Whether it lasts long enough for the shard to fail over.
    pub fn causes_failover(self) -> bool {
        match self {
            Self::Restarts(seconds) | Self::Paused(seconds) => seconds >= KEY_LASTS_S,
            Self::Slow(_) => false,
            _ => true,
        }
    }

    /// Whether workers that report to it wait for an answer until their timeout.
    pub fn keeps_workers_waiting(self) -> bool {
        matches!(
            self,
            Self::Paused(_) | Self::CutFromWorkers(CutManner::Silent)
        )
    }

    /// Schedules it for a controller.
    pub fn schedule(self, world: &mut World, at: f64, node: usize) {
        let target = Endpoint::Node(node);
        let cut = |from: Endpoint, manner: CutManner, direction: Direction| {
            let target = Endpoint::Node(node);
            Fault::Cut {
                target,
                from,
                seconds: LASTS_S,
                manner,
                direction,
            }
        };
        let fault = match self {
            Self::Crashes => Fault::Crash {
                target,
                restart_delay_s: Some(LASTS_S),
            },
            Self::Restarts(seconds) => Fault::Crash {
                target,
                restart_delay_s: Some(seconds),
            },
            Self::Paused(seconds) => Fault::Pause { target, seconds },
            Self::CutFromWorkers(manner) => cut(Endpoint::Workers, manner, Direction::Both),
            Self::RefusedAlone => Fault::Refuse {
                target,
                seconds: LASTS_S,
            },
            Self::CutFromStateAndSiblings => cut(
                Endpoint::StoreAndSiblings,
                CutManner::Silent,
                Direction::Both,
            ),
            Self::OneDirection(direction) => cut(Endpoint::Everyone, CutManner::Silent, direction),
            Self::Slow(pause) => Fault::Slow {
                target,
                pause,
                seconds: LASTS_S,
            },
        };
        world.schedule_at(at, Event::Fault(fault));
    }
}

/// Seconds from the failure until something took place, if it did, and what was lost.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Another controller suspects the failed one.
    pub suspected: Option<f64>,
    /// The key of the failed process was removed, or belongs to another process.
    pub released: Option<f64>,
    /// The stored shard map names another owner.
    pub failed_over: Option<f64>,
    /// Another process may start all tasks of the shard, because it knows what runs.
    pub settled: Option<f64>,
    /// A job of the shard that was submitted half a second after the failure has started.
    pub started: Option<f64>,
    /// Tasks that were lost with the leases of workers.
    pub lost: usize,
    /// Rules that were violated.
    pub violations: Vec<String>,
}

/// A day on which services and arrays of two teams run.
fn day(seed: u64, controllers: usize) -> String {
    format!(
        "seed {seed}\ncontrollers {controllers}\nmachines 16\nat 2 job service 20 spread\n\
         at 3 job array 12 run=300\nat 4 job service 4 team=blue\nat 10 cloud_outage 200\n"
    )
}

/// The simulation just before the failure, and the moment of the failure.
pub fn before_failure(seed: u64, controllers: usize) -> (World, f64) {
    let fails_at = FAILS_AT + (seed * PHASE_STRIDE % PHASES) as f64 / PHASES as f64 * PHASES_S;
    let mut world = play(&format!("{}until {fails_at}\n", day(seed, controllers)));
    world.ignore_violations_of("not_served");
    (world, fails_at)
}

/// The controller that owns the busiest shard.
pub fn busiest_owner(world: &World) -> usize {
    let owner = world
        .owner_of("red")
        .and_then(|name| name.strip_prefix('n')?.parse().ok());
    owner.expect("a team has an owner by now")
}

/// Measures what follows the failure of `node`.
pub fn follow(world: &mut World, fails_at: f64, node: usize) -> Measured {
    let key = format!("ochredrum/node/n{node}");
    let (process, owner) = (world.stored_value(&key), world.owner_of("red"));
    let before = world.counters.lost_with_leases;
    let mut measured = Measured::default();
    let later = JobSpec {
        gpus: 1.0,
        ..default_job(JobKind::Service, 2)
    };
    let later = world.add_job(fails_at + SUBMITTED_AFTER_S, later, 0.0);
    while world.now < fails_at + FOLLOWED_S {
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
        if measured.settled.is_none()
            && measured.failed_over.is_some()
            && world.is_reconciled_by_another("red", node)
        {
            measured.settled = since;
        }
        if measured.started.is_none() && world.starts_of(later) > 0 {
            measured.started = since;
        }
    }
    measured.lost = world.counters.lost_with_leases - before;
    measured.violations = world.violations.clone();
    measured
}

/// Whether two values of a controller's key belong to the same process. Other fields may change.
fn same_process(a: &Option<serde_json::Value>, b: &Option<serde_json::Value>) -> bool {
    let lease = |value: &Option<serde_json::Value>| value.as_ref().map(|v| v["lease"].clone());
    lease(a) == lease(b)
}
