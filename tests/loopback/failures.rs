//! Five controllers as real processes. The owner of a team is paused by a signal and continued, or killed and restarted,
//! while users submit jobs. What ran is taken from the workers' own history.
//!
//! A few steps run in CI, more by hand: `FAILURE_STEPS=100`.

use super::{Deployment, Program, WAIT, ask, job, settings_file, start_with, until};
use hyper::Method;
use ochredrum::front::MESSAGE_PACK;
use ochredrum::http::Client;
use ochredrum::status::{JSON_CONTENT_TYPE, STATUS_PATH, StageStatus, Status};
use ochredrum::wire::encode;
use serde_json::json;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};

const CONTROLLERS: usize = 5;
const MACHINES: usize = 6;
/// Longer than a worker waits for an answer.
const LEASE: Duration = Duration::from_secs(8);
const STEPS_IN_CI: usize = 3;
/// One in this many steps kills its controller instead of pausing it.
const KILL_EVERY: usize = 3;
/// How long a controller stays paused or away.
const AWAY: Duration = Duration::from_secs(6);
const FAILOVER_WITHIN: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(200);

/// A deployment with its programs.
struct Fleet {
    deployment: Deployment,
    programs: Vec<Option<Program>>,
    files: Vec<PathBuf>,
    jobs: usize,
}

impl Fleet {
    async fn start() -> Self {
        let deployment = Deployment::of(CONTROLLERS).await;
        let lease = format!("lease_s = {:?}", LEASE.as_secs_f64());
        let settings = |node| {
            deployment
                .settings_of(node)
                .replace("lease_s = 4.0", &lease)
        };
        let file = |node| settings_file(&format!("failures{node}.toml"), &settings(node));
        let files: Vec<PathBuf> = (0..CONTROLLERS).map(file).collect();
        let mut fleet = Self {
            deployment,
            programs: Vec::new(),
            files,
            jobs: 0,
        };
        fleet.programs = (0..CONTROLLERS).map(|node| Some(fleet.run(node))).collect();
        for front in &fleet.deployment.fronts {
            let client = Client::new(*front, MESSAGE_PACK, 1);
            until(&client, Method::GET, "/healthz", &[], 200).await;
        }
        fleet
    }

    fn run(&self, node: usize) -> Program {
        let features = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/failure-detection.toml");
        start_with(&self.files[node], Some(&features))
    }

    /// The status of a controller, if it answers.
    async fn status(&self, node: usize) -> Option<Status> {
        let client = Client::new(self.deployment.mesh_of(node), JSON_CONTENT_TYPE, 1);
        let answer = client
            .send(Method::GET, STATUS_PATH, Vec::new(), Duration::from_secs(2))
            .await;
        let (_, body) = answer.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Submits one job to each controller, some of which may be away.
    fn submit(&mut self) {
        for front in self.deployment.fronts.clone() {
            self.jobs += 1;
            let mut wanted = job(&format!("req-{:06}", self.jobs));
            wanted["beats"] = json!(1);
            spawn_local(async move {
                let client = Client::new(front, MESSAGE_PACK, 1);
                ask(&client, Method::POST, "/v1/jobs", encode(&wanted))
                    .await
                    .ok();
            });
        }
    }

    /// Submits jobs until the status of `node` is as expected, and returns how long that took.
    async fn wait_until(
        &mut self,
        node: usize,
        within: Duration,
        what: impl Fn(&Status) -> bool,
    ) -> Duration {
        let began = Instant::now();
        loop {
            let status = self.status(node).await;
            if status.as_ref().is_some_and(&what) {
                return began.elapsed();
            }
            assert!(began.elapsed() < within, "n{node} has status {status:?}");
            self.submit();
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// The controller that owns the team.
    async fn owner(&self, asked: usize) -> usize {
        let status = self.status(asked).await;
        let owner = status.and_then(|status| status.teams[0].owner.clone());
        owner
            .and_then(|name| name.strip_prefix('n')?.parse().ok())
            .expect("the team has an owner")
    }
}

fn has_failed_over(status: &Status, from: &str) -> bool {
    let sibling = status
        .siblings
        .iter()
        .find(|sibling| sibling.controller == from);
    let failed = sibling.is_some_and(|sibling| sibling.stage >= StageStatus::Confirmed);
    failed
        && status.teams[0]
            .owner
            .as_deref()
            .is_some_and(|owner| owner != from)
}

fn hears_all_siblings(status: &Status) -> bool {
    status
        .siblings
        .iter()
        .all(|sibling| sibling.stage == StageStatus::Alive)
}

#[test]
fn paused_and_killed_controllers_lose_their_shards_and_do_not_reclaim_them() {
    let steps = std::env::var("FAILURE_STEPS")
        .ok()
        .and_then(|text| text.parse().ok());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let mut fleet = Fleet::start().await;
        let history = fleet.deployment.start_fleet(MACHINES, LEASE).await;
        for step in 1..=steps.unwrap_or(STEPS_IN_CI) {
            let asked = step % CONTROLLERS;
            let all_well =
                |status: &Status| hears_all_siblings(status) && status.teams[0].owner.is_some();
            fleet.wait_until(asked, WAIT, all_well).await;
            let owner = fleet.owner(asked).await;
            let (failed, other) = (format!("n{owner}"), (owner + 1) % CONTROLLERS);
            let killed = step % KILL_EVERY == 0;
            match killed {
                true => drop(fleet.programs[owner].take()),
                false => fleet.programs[owner].as_ref().unwrap().signal("STOP"),
            }
            let began = Instant::now();
            let failed_over = |status: &Status| has_failed_over(status, &failed);
            let took = fleet.wait_until(other, FAILOVER_WITHIN, failed_over).await;
            println!(
                "step {step}: {failed} fails, failed over after {:.1} s",
                took.as_secs_f64()
            );
            tokio::time::sleep(AWAY.saturating_sub(began.elapsed())).await;
            match killed {
                true => fleet.programs[owner] = Some(fleet.run(owner)),
                false => fleet.programs[owner].as_ref().unwrap().signal("CONT"),
            }
            let did_not_reclaim = |status: &Status| {
                let owner = status.teams[0].owner.as_deref();
                hears_all_siblings(status) && owner.is_some_and(|owner| owner != failed)
            };
            fleet
                .wait_until(owner, FAILOVER_WITHIN, did_not_reclaim)
                .await;
        }
        let history = history.borrow();
        println!("{} jobs, {} starts", fleet.jobs, history.starts);
        assert_eq!(
            (history.overshoots, history.ran_twice),
            (0, 0),
            "{history:?}"
        );
        assert!(history.starts > 20, "{history:?}");
    });
}
