//! Five controller processes share the GPU limit of one team, while users submit jobs to all of them at once
//! and controllers are killed and restarted. The workers record how many tasks ran at once.
//!
//! CI runs this for some seconds. `TEAM_LIMITS_SECONDS=3600` runs it longer.

use super::{
    Deployment, History, Program, TEAM_LIMIT_GPUS, TIMEOUT, retry_until_status, send_request,
    start_program_with_features, submission, write_settings_file,
};
use hyper::Method;
use ochredrum::front::MESSAGE_PACK;
use ochredrum::http::Client;
use ochredrum::status::{JSON_CONTENT_TYPE, STATUS_PATH, Status};
use ochredrum::wire::encode;
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};

const CONTROLLERS: usize = 5;
const MACHINES: usize = 6;
const LEASE: Duration = Duration::from_secs(4);
const DEFAULT_SECONDS: u64 = 20;
/// Pause between two rounds. In each round, one job is submitted to every controller.
const ROUND_PAUSE: Duration = Duration::from_millis(400);
/// A controller is killed in every round whose number is a multiple of this.
const ROUNDS_PER_KILL: usize = 12;

fn features_file() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/features.toml")
}

/// Submits a job of one to three tasks to one controller.
async fn submit(front: SocketAddr, number: usize) {
    let client = Client::new(front, MESSAGE_PACK, 1);
    let mut job = submission(&format!("req-{number:06}"));
    job["beats"] = json!(1 + number % 3);
    // While the controller is killed or starting, the job may be refused or unanswered. Later rounds submit
    // others.
    send_request(&client, Method::POST, "/v1/jobs", encode(&job))
        .await
        .ok();
}

#[test]
fn five_controllers_never_exceed_a_team_limit() {
    let seconds = std::env::var("TEAM_LIMITS_SECONDS")
        .ok()
        .and_then(|s| s.parse().ok());
    let duration = Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let deployment = Deployment::with_controllers(CONTROLLERS).await;
        let history = deployment.start_fleet(MACHINES, LEASE).await;
        let settings_files: Vec<PathBuf> = (0..CONTROLLERS)
            .map(|node| {
                write_settings_file(&format!("limits{node}.toml"), &deployment.settings_of(node))
            })
            .collect();
        let start = |node: usize| {
            start_program_with_features(&settings_files[node], Some(&features_file()))
        };
        let mut programs: Vec<Option<Program>> = (0..CONTROLLERS).map(|n| Some(start(n))).collect();
        for front in &deployment.fronts {
            let client = Client::new(*front, MESSAGE_PACK, 1);
            retry_until_status(&client, Method::GET, "/healthz", &[], 200).await;
        }
        let fronts = Rc::new(deployment.fronts.clone());
        let started_at = Instant::now();
        let (mut round, mut jobs, mut kills) = (0, 0, 0);
        while started_at.elapsed() < duration {
            round += 1;
            for front in fronts.iter().copied() {
                jobs += 1;
                spawn_local(submit(front, jobs));
            }
            if round % ROUNDS_PER_KILL == 0 {
                let node = kills % CONTROLLERS;
                kills += 1;
                drop(programs[node].take());
            }
            if round % ROUNDS_PER_KILL == 3 {
                for (node, program) in programs.iter_mut().enumerate() {
                    program.get_or_insert_with(|| start(node));
                }
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        check_history(&history.borrow(), jobs, kills);
        for (node, program) in programs.iter_mut().enumerate() {
            program.get_or_insert_with(|| start(node));
        }
        check_status_command(&deployment).await;
    });
}

fn check_history(history: &History, jobs: usize, kills: usize) {
    println!(
        "{jobs} jobs, {} starts, {kills} kills, {} copies, at most {} of {TEAM_LIMIT_GPUS} at once, {} violations",
        history.starts, history.executed_copies, history.peak_running, history.limit_violations
    );
    assert_eq!(
        (
            history.limit_violations,
            history.duplicate_starts,
            history.repeated_attempts
        ),
        (0, 0, 0),
        "{history:?}"
    );
    assert!(
        history.starts > 20 && history.peak_running >= TEAM_LIMIT_GPUS / 2,
        "{history:?}"
    );
}

/// Checks `ochredrum status`: its table and JSON for a running controller, and its exit codes for an address
/// that cannot be reached or parsed.
async fn check_status_command(deployment: &Deployment) {
    let run_status = |arguments: &[&str]| {
        let program = env!("CARGO_BIN_EXE_ochredrum");
        Command::new(program)
            .arg("status")
            .args(arguments)
            .output()
            .unwrap()
    };
    let address = deployment.mesh_address(1).to_string();
    let mesh = Client::new(deployment.mesh_address(1), JSON_CONTENT_TYPE, 1);
    wait_until_reachable(&mesh).await;
    let table = run_status(&["--address", &address]);
    let text = String::from_utf8_lossy(&table.stdout).into_owned();
    assert!(
        table.status.success() && text.contains("vision") && text.contains("16 GPU"),
        "{text}"
    );
    let started_at = Instant::now();
    let json = loop {
        let json = run_status(&["--address", &address, "--json"]);
        let json: Status = serde_json::from_slice(&json.stdout).unwrap();
        // If this controller was killed last, it may still be reading the stored records.
        if json.teams[0].grants_kept_since.is_some() {
            break json;
        }
        assert!(started_at.elapsed() < TIMEOUT, "{json:?}");
        tokio::time::sleep(ROUND_PAUSE).await;
    };
    assert!(
        json.grants_on && !json.teams[0].grants.is_empty(),
        "{json:?}"
    );
    let granted: f64 = json.teams[0]
        .grants
        .iter()
        .map(|grant| grant.granted.gpus)
        .sum();
    assert!(
        granted + json.teams[0].folded.gpus <= TEAM_LIMIT_GPUS as f64,
        "{json:?}"
    );
    let unreachable = run_status(&["--address", "127.0.0.1:1"]);
    assert_eq!(unreachable.status.code(), Some(3));
    assert_eq!(
        String::from_utf8_lossy(&unreachable.stderr).lines().count(),
        1
    );
    assert_eq!(run_status(&["--address", "nowhere"]).status.code(), Some(2));
}

/// Waits until a controller that may just have been started answers a status request.
async fn wait_until_reachable(mesh: &Client) {
    let started_at = Instant::now();
    while mesh
        .send(Method::GET, STATUS_PATH, Vec::new(), TIMEOUT)
        .await
        .is_err()
    {
        assert!(started_at.elapsed() < TIMEOUT, "no controller listens");
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}
