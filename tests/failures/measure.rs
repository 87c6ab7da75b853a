//! Plays one failure of a share's owner and takes the times of what follows.

use crate::script::{default_job, play};
use crate::world::{CutManner, Direction, Endpoint, Event, Fault, World};
use ochredrum::wire::{JobSpec, Kind};

/// When the failure begins at the earliest.
pub const FAILS_AT: f64 = 40.0;
/// Seeds spread its beginning evenly over this time, in which every lease of a key is renewed.
const PHASES_S: f64 = 4.0;
const PHASES: u64 = 20;
/// Prime to the number of phases, so that seeds that follow one another are far apart.
const PHASE_STRIDE: u64 = 7;
/// How long a failure is followed.
const FOLLOWED_S: f64 = 45.0;
/// How often the world is looked at.
const STEP_S: f64 = 0.05;
/// A key outlasts failures that are shorter than this.
const KEY_LASTS_S: f64 = 4.0;
/// What those that end stay away for, and what cuts last.
const LASTS_S: f64 = 40.0;
/// When a further job of the failed controller's share is submitted.
const SUBMITTED_AFTER_S: f64 = 0.5;

/// A kind of failure of one controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    Ends,
    /// Ends, and is back after so many seconds.
    Restarts(f64),
    /// Stands still for so many seconds while its clocks run on.
    StandsStill(f64),
    CutFromWorkers(CutManner),
    RefusedAlone,
    CutFromStateAndSiblings,
    /// What it sends, or what is sent to it, is lost.
    OneDirection(Direction),
    /// It gets a turn only every so many seconds.
    Slow(f64),
}

impl Failure {
    /// Whether it lasts for so long that the share has to go to another controller.
    pub fn ends_ownership(self) -> bool {
        match self {
            Self::Restarts(seconds) | Self::StandsStill(seconds) => seconds >= KEY_LASTS_S,
            Self::Slow(_) => false,
            _ => true,
        }
    }

    /// Whether a worker that reports there gets no answer and waits for it in vain.
    pub fn keeps_workers_waiting(self) -> bool {
        matches!(
            self,
            Self::StandsStill(_) | Self::CutFromWorkers(CutManner::Silent)
        )
    }

    /// Lets it happen to a controller.
    pub fn happen(self, world: &mut World, at: f64, node: usize) {
        let who = Endpoint::Node(node);
        let cut = |from: Endpoint, manner: CutManner, direction: Direction| {
            let who = Endpoint::Node(node);
            Fault::Cut {
                who,
                from,
                seconds: LASTS_S,
                manner,
                direction,
            }
        };
        let fault = match self {
            Self::Ends => Fault::Crash {
                who,
                back_after: Some(LASTS_S),
            },
            Self::Restarts(seconds) => Fault::Crash {
                who,
                back_after: Some(seconds),
            },
            Self::StandsStill(seconds) => Fault::Freeze { who, seconds },
            Self::CutFromWorkers(manner) => cut(Endpoint::Workers, manner, Direction::Both),
            Self::RefusedAlone => Fault::Refuse {
                who,
                seconds: LASTS_S,
            },
            Self::CutFromStateAndSiblings => cut(
                Endpoint::StateAndSiblings,
                CutManner::Silent,
                Direction::Both,
            ),
            Self::OneDirection(direction) => cut(Endpoint::Everyone, CutManner::Silent, direction),
            Self::Slow(pause) => Fault::Slow {
                who,
                pause,
                seconds: LASTS_S,
            },
        };
        world.at(at, Event::Fault(fault));
    }
}

/// Seconds from the failure until something came about, if it did; and what was lost.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Another controller has noticed.
    pub noticed: Option<f64>,
    /// The failed process's key has gone or is another process's.
    pub released: Option<f64>,
    /// The stored map names another owner.
    pub handed_on: Option<f64>,
    /// Another process may start all of the share's tasks, for it knows what runs.
    pub settled: Option<f64>,
    /// A job of the share that was submitted half a second after the failure has begun.
    pub started: Option<f64>,
    /// Tasks that ended with the leases of workers.
    pub lost: usize,
    pub violations: Vec<String>,
}

/// A fleet on which two teams' services and arrays run.
pub fn day(seed: u64, controllers: usize) -> String {
    format!(
        "seed {seed}\ncontrollers {controllers}\nmachines 16\nat 2 job service 20 spread\n\
         at 3 job array 12 run=300\nat 4 job service 4 team=blue\nat 10 cloud_outage 200\n"
    )
}

/// The world just before the failure, and when that begins.
pub fn before_failure(seed: u64, controllers: usize) -> (World, f64) {
    let fails_at = FAILS_AT + (seed * PHASE_STRIDE % PHASES) as f64 / PHASES as f64 * PHASES_S;
    let mut world = play(&format!("{}until {fails_at}\n", day(seed, controllers)));
    world.ignore_violations_of("not_served");
    (world, fails_at)
}

/// The controller that owns the busiest share.
pub fn busiest_owner(world: &World) -> usize {
    let owner = world
        .owner_of("red")
        .and_then(|name| name.strip_prefix('n')?.parse().ok());
    owner.expect("a team has an owner by now")
}

/// Follows what comes of the failure of `node`.
pub fn follow(world: &mut World, fails_at: f64, node: usize) -> Measured {
    let key = format!("ochredrum/node/n{node}");
    let (process, owner) = (world.stored(&key), world.owner_of("red"));
    let before = world.work.lost_with_leases;
    let mut measured = Measured::default();
    let later = JobSpec {
        gpus: 1.0,
        ..default_job(Kind::Service, 2)
    };
    let later = world.add_job(fails_at + SUBMITTED_AFTER_S, later, 0.0);
    while world.now < fails_at + FOLLOWED_S {
        world.run(world.now + STEP_S);
        let since = Some(world.now - fails_at);
        if measured.noticed.is_none() && world.is_suspected(node) {
            measured.noticed = since;
        }
        if measured.released.is_none() && !same_process(&world.stored(&key), &process) {
            measured.released = since;
        }
        if measured.handed_on.is_none() && world.owner_of("red") != owner {
            measured.handed_on = since;
        }
        if measured.settled.is_none()
            && measured.handed_on.is_some()
            && world.is_settled("red", node)
        {
            measured.settled = since;
        }
        if measured.started.is_none() && world.starts_of(later) > 0 {
            measured.started = since;
        }
    }
    measured.lost = world.work.lost_with_leases - before;
    measured.violations = world.violations.clone();
    measured
}

/// Whether two values of a controller's key are of one process. What else stands there may change.
fn same_process(a: &Option<serde_json::Value>, b: &Option<serde_json::Value>) -> bool {
    let lease = |value: &Option<serde_json::Value>| value.as_ref().map(|v| v["lease"].clone());
    lease(a) == lease(b)
}
