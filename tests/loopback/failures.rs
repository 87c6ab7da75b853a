//! Failover between five controller processes. In each step the owner of the team is paused and continued by
//! signals, or killed and restarted, while users submit jobs. The workers record which tasks ran.
//!
//! CI runs a few steps. `FAILURE_STEPS=100` runs more.

use super::{
    Deployment, Program, TIMEOUT, retry_until_status, send_request, start_program_with_features,
    submission, write_settings_file,
};
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
/// The lease of the workers. It is longer than a worker waits for the answer to a heartbeat.
const LEASE: Duration = Duration::from_secs(8);
const DEFAULT_STEPS: usize = 3;
/// Every step whose number is a multiple of this kills the controller instead of pausing it.
const STEPS_PER_KILL: usize = 3;
/// The least time for which a controller stays paused or stopped.
const OUTAGE: Duration = Duration::from_secs(6);
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A deployment and its controller processes.
struct Fleet {
    deployment: Deployment,
    /// The process of each controller; absent while it is killed.
    programs: Vec<Option<Program>>,
    settings_files: Vec<PathBuf>,
    /// Jobs submitted so far, including those that no controller accepted.
    submitted_jobs: usize,
}

impl Fleet {
    async fn start() -> Self {
        let deployment = Deployment::with_controllers(CONTROLLERS).await;
        let lease = format!("lease_s = {:?}", LEASE.as_secs_f64());
        let settings = |node| {
            deployment
                .settings_of(node)
                .replace("lease_s = 4.0", &lease)
        };
        let file = |node| write_settings_file(&format!("failures{node}.toml"), &settings(node));
        let settings_files: Vec<PathBuf> = (0..CONTROLLERS).map(file).collect();
        let mut fleet = Self {
            deployment,
            programs: Vec::new(),
            settings_files,
            submitted_jobs: 0,
        };
        fleet.programs = (0..CONTROLLERS)
            .map(|node| Some(fleet.start_program(node)))
            .collect();
        for front in &fleet.deployment.fronts {
            let client = Client::new(*front, MESSAGE_PACK, 1);
            retry_until_status(&client, Method::GET, "/healthz", &[], 200).await;
        }
        fleet
    }

    fn start_program(&self, node: usize) -> Program {
        let features = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/failure-detection.toml");
        start_program_with_features(&self.settings_files[node], Some(&features))
    }

    /// Returns the status of a controller, if it answers.
    async fn status(&self, node: usize) -> Option<Status> {
        let client = Client::new(self.deployment.mesh_address(node), JSON_CONTENT_TYPE, 1);
        let answer = client
            .send(Method::GET, STATUS_PATH, Vec::new(), Duration::from_secs(2))
            .await;
        let (_, body) = answer.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Submits one job to each controller without waiting for answers. A controller that is paused or killed
    /// accepts none.
    fn submit_to_all(&mut self) {
        for front in self.deployment.fronts.clone() {
            self.submitted_jobs += 1;
            let mut job = submission(&format!("req-{:06}", self.submitted_jobs));
            job["beats"] = json!(1);
            spawn_local(async move {
                let client = Client::new(front, MESSAGE_PACK, 1);
                send_request(&client, Method::POST, "/v1/jobs", encode(&job))
                    .await
                    .ok();
            });
        }
    }

    /// Submits jobs until the status of `node` fulfils a condition, and returns how long that took.
    async fn wait_until(
        &mut self,
        node: usize,
        timeout: Duration,
        condition: impl Fn(&Status) -> bool,
    ) -> Duration {
        let started_at = Instant::now();
        loop {
            let status = self.status(node).await;
            if status.as_ref().is_some_and(&condition) {
                return started_at.elapsed();
            }
            assert!(
                started_at.elapsed() < timeout,
                "n{node} has status {status:?}"
            );
            self.submit_to_all();
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the number of the controller that owns the team according to `observer`.
    async fn team_owner(&self, observer: usize) -> usize {
        let status = self.status(observer).await;
        let owner = status.and_then(|status| status.teams[0].owner.clone());
        owner
            .and_then(|name| name.strip_prefix('n')?.parse().ok())
            .expect("the team has an owner")
    }
}

/// Whether the failure of `from` is confirmed and another controller owns the team.
fn has_failed_over(status: &Status, from: &str) -> bool {
    let sibling = status
        .siblings
        .iter()
        .find(|sibling| sibling.controller == from);
    let is_confirmed = sibling.is_some_and(|sibling| sibling.stage >= StageStatus::Confirmed);
    is_confirmed
        && status.teams[0]
            .owner
            .as_deref()
            .is_some_and(|owner| owner != from)
}

fn are_all_siblings_alive(status: &Status) -> bool {
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
        for step in 1..=steps.unwrap_or(DEFAULT_STEPS) {
            let observer = step % CONTROLLERS;
            let is_healthy =
                |status: &Status| are_all_siblings_alive(status) && status.teams[0].owner.is_some();
            fleet.wait_until(observer, TIMEOUT, is_healthy).await;
            let owner = fleet.team_owner(observer).await;
            let (failed, survivor) = (format!("n{owner}"), (owner + 1) % CONTROLLERS);
            let kills = step % STEPS_PER_KILL == 0;
            match kills {
                true => drop(fleet.programs[owner].take()),
                false => fleet.programs[owner].as_ref().unwrap().signal("STOP"),
            }
            let started_at = Instant::now();
            let failed_over = |status: &Status| has_failed_over(status, &failed);
            let elapsed = fleet
                .wait_until(survivor, FAILOVER_TIMEOUT, failed_over)
                .await;
            println!(
                "step {step}: {failed} fails, failed over after {:.1} s",
                elapsed.as_secs_f64()
            );
            tokio::time::sleep(OUTAGE.saturating_sub(started_at.elapsed())).await;
            match kills {
                true => fleet.programs[owner] = Some(fleet.start_program(owner)),
                false => fleet.programs[owner].as_ref().unwrap().signal("CONT"),
            }
            let has_not_reclaimed = |status: &Status| {
                let owner = status.teams[0].owner.as_deref();
                are_all_siblings_alive(status) && owner.is_some_and(|owner| owner != failed)
            };
            fleet
                .wait_until(owner, FAILOVER_TIMEOUT, has_not_reclaimed)
                .await;
        }
        let history = history.borrow();
        println!("{} jobs, {} starts", fleet.submitted_jobs, history.starts);
        assert_eq!(
            (history.limit_violations, history.duplicate_starts),
            (0, 0),
            "{history:?}"
        );
        assert!(history.starts > 20, "{history:?}");
    });
}
