//! Five controller processes with several teams, whose services fill their limits. Users cancel services and
//! submit others in the same moments, while controllers are killed one after another or in pairs and are
//! restarted. The controllers run with the features with which the service is deployed.
//!
//! CI runs this for some seconds. `SERVICE_CHURN_SECONDS` runs it longer, `SERVICE_CHURN_SEED` draws other faults.

use super::{
    Deployment, History, Program, TEAM_LIMIT_GPUS, retry_until_status, send_request,
    start_program_with_features, submission, write_settings_file,
};
use hyper::Method;
use ochredrum::front::MESSAGE_PACK;
use ochredrum::http::Client;
use ochredrum::wire::encode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};

const CONTROLLERS: usize = 5;
const MACHINES: usize = 24;
const TEAMS: [&str; 4] = ["vision", "speech", "search", "ranking"];
const LEASE: Duration = Duration::from_secs(8);
const DEFAULT_SECONDS: u64 = 30;
const DEFAULT_SEED: u64 = 1;
/// Tasks of the largest service.
const MAX_TASKS: usize = 3;
/// Pause before a request is sent to another controller.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long a user repeats a request that is not answered.
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);
/// Longest pause between two replacements of services, in milliseconds.
const MAX_CHURN_PAUSE_MS: u64 = 700;
/// Longest pause between two kills, in milliseconds.
const MAX_KILL_PAUSE_MS: u64 = 5000;
/// Longest time until a killed controller is restarted, in milliseconds.
const MAX_RESTART_MS: u64 = 5000;

/// The features with which the service is deployed.
fn features_file() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/failure-detection.toml")
}

fn setting(variable: &str, default: u64) -> u64 {
    let value = std::env::var(variable).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// A service that a user has submitted.
struct Service {
    id: String,
    team: &'static str,
    tasks: usize,
}

/// Sends a request to one controller after another, beginning with `first`, until one answers with 200 or 201.
async fn request_any(fronts: &[SocketAddr], first: usize, path: &str, body: &Value) -> bool {
    let started_at = Instant::now();
    for front in fronts.iter().cycle().skip(first) {
        let client = Client::new(*front, MESSAGE_PACK, 1);
        let answer = send_request(&client, Method::POST, path, encode(body)).await;
        if matches!(answer, Ok((200 | 201, _))) {
            return true;
        }
        if started_at.elapsed() > GIVE_UP_AFTER {
            return false;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    false
}

/// The users of a deployment.
struct Users {
    fronts: Vec<SocketAddr>,
    history: Rc<RefCell<History>>,
    services: Vec<Service>,
    rng: StdRng,
    submitted: usize,
}

impl Users {
    fn first_controller(&mut self) -> usize {
        self.rng.random_range(0..self.fronts.len())
    }

    /// Submits a service with this many tasks. The answer is not awaited.
    fn submit(&mut self, team: &'static str, tasks: usize) {
        self.submitted += 1;
        let id = format!("req-{:06}", self.submitted);
        let mut job = submission(&id);
        job["crew"] = json!(team);
        job["shape"] = json!("standing");
        job["beats"] = json!(tasks);
        job["expectS"] = json!(0.0);
        job["markEveryS"] = json!(0.0);
        job["markS"] = json!(0.0);
        self.history
            .borrow_mut()
            .team_of_service
            .insert(id.clone(), team.to_owned());
        let (fronts, first) = (self.fronts.clone(), self.first_controller());
        spawn_local(async move { request_any(&fronts, first, "/v1/jobs", &job).await });
        self.services.push(Service { id, team, tasks });
    }

    /// Submits services of a team until they use its whole limit.
    fn fill_limit(&mut self, team: &'static str) {
        let mut left = TEAM_LIMIT_GPUS;
        while left > 0 {
            let tasks = self.rng.random_range(1..=MAX_TASKS.min(left));
            self.submit(team, tasks);
            left -= tasks;
        }
    }

    /// Cancels a service and submits another one with as many tasks at the moment of the confirmation.
    async fn replace_service(&mut self) {
        let position = self.rng.random_range(0..self.services.len());
        let cancelled = self.services.swap_remove(position);
        let path = format!("/v1/jobs/{}/withdraw", cancelled.id);
        let first = self.first_controller();
        if request_any(&self.fronts, first, &path, &json!({})).await {
            self.submit(cancelled.team, cancelled.tasks);
        }
    }
}

/// Kills controllers and restarts them until the time `until`. At least two of them are left running.
async fn kill_controllers(
    programs: Rc<RefCell<Vec<Option<Program>>>>,
    start: Rc<dyn Fn(usize) -> Program>,
    mut rng: StdRng,
    until: Instant,
) {
    while Instant::now() < until {
        for _ in 0..rng.random_range(1..3) {
            let node = rng.random_range(0..CONTROLLERS);
            let running = programs.borrow().iter().flatten().count();
            let killed = if running > 2 {
                programs.borrow_mut()[node].take()
            } else {
                None
            };
            if killed.is_none() {
                continue;
            }
            drop(killed);
            let pause = Duration::from_millis(rng.random_range(200..MAX_RESTART_MS));
            let (programs, start) = (programs.clone(), start.clone());
            spawn_local(async move {
                tokio::time::sleep(pause).await;
                programs.borrow_mut()[node].get_or_insert_with(|| start(node));
            });
        }
        let pause = rng.random_range(500..MAX_KILL_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

#[test]
fn no_team_exceeds_its_limit_beside_kills_and_cancellations() {
    let seconds = setting("SERVICE_CHURN_SECONDS", DEFAULT_SECONDS);
    let seed = setting("SERVICE_CHURN_SEED", DEFAULT_SEED);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let mut deployment = Deployment::with_controllers(CONTROLLERS).await;
        deployment.teams = TEAMS[1..].iter().map(|team| (*team).to_owned()).collect();
        let history = deployment.start_fleet(MACHINES, LEASE).await;
        let lease = format!("lease_s = {:?}", LEASE.as_secs_f64());
        let settings = |node| {
            let text = deployment.settings_of(node);
            text.replace("lease_s = 4.0", &lease)
        };
        let process = std::process::id();
        let file =
            |node| write_settings_file(&format!("churn{process}-{node}.toml"), &settings(node));
        let files: Vec<PathBuf> = (0..CONTROLLERS).map(file).collect();
        let start: Rc<dyn Fn(usize) -> Program> =
            Rc::new(move |node| start_program_with_features(&files[node], Some(&features_file())));
        let programs = (0..CONTROLLERS).map(|node| Some(start(node))).collect();
        let programs = Rc::new(RefCell::new(programs));
        for front in &deployment.fronts {
            let client = Client::new(*front, MESSAGE_PACK, 1);
            retry_until_status(&client, Method::GET, "/healthz", &[], 200).await;
        }
        let mut rng = StdRng::seed_from_u64(seed);
        let mut users = Users {
            fronts: deployment.fronts.clone(),
            history: history.clone(),
            services: Vec::new(),
            rng: StdRng::seed_from_u64(rng.random()),
            submitted: 0,
        };
        TEAMS.into_iter().for_each(|team| users.fill_limit(team));
        tokio::time::sleep(LEASE / 2).await;
        let until = Instant::now() + Duration::from_secs(seconds);
        spawn_local(kill_controllers(programs.clone(), start, rng, until));
        while Instant::now() < until {
            users.replace_service().await;
            let pause = users.rng.random_range(0..MAX_CHURN_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        check_history(&history.borrow(), seed);
        programs.borrow_mut().clear();
    });
}

fn check_history(history: &History, seed: u64) {
    println!(
        "seed {seed}: {} starts, at most {} of {TEAM_LIMIT_GPUS} of a team at once, {} violations",
        history.starts, history.peak_running, history.limit_violations
    );
    assert_eq!(
        (
            history.limit_violations,
            history.duplicate_starts,
            history.repeated_attempts
        ),
        (0, 0, 0)
    );
    assert!(history.starts > 20 && history.peak_running == TEAM_LIMIT_GPUS);
}
