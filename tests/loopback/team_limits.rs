//! Five controllers as real processes share the limit of one team while users submit to all of them at once and
//! controllers are killed. What ran at once is taken from the workers' own history.
//!
//! It runs some seconds in CI, longer by hand: `TEAM_LIMITS_SECONDS=3600`.

use super::{
    Deployment, History, LIMIT_GPUS, Program, WAIT, ask, job, settings_file, start_with, until,
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
const SECONDS_IN_CI: u64 = 20;
/// Pause between the rounds in which a job is submitted to every controller.
const ROUND: Duration = Duration::from_millis(400);
/// Rounds between two kills of a controller.
const KILL_EVERY: usize = 12;

fn features() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/features.toml")
}

/// Asks one controller for a job of one to three tasks.
async fn submit(front: SocketAddr, number: usize) {
    let client = Client::new(front, MESSAGE_PACK, 1);
    let mut wanted = job(&format!("req-{number:06}"));
    wanted["beats"] = json!(1 + number % 3);
    // It may be refused or unanswered, because a controller may be away; there are other rounds.
    ask(&client, Method::POST, "/v1/jobs", encode(&wanted))
        .await
        .ok();
}

#[test]
fn five_controllers_never_exceed_a_team_limit() {
    let seconds = std::env::var("TEAM_LIMITS_SECONDS")
        .ok()
        .and_then(|s| s.parse().ok());
    let lasts = Duration::from_secs(seconds.unwrap_or(SECONDS_IN_CI));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let deployment = Deployment::of(CONTROLLERS).await;
        let history = deployment.start_fleet(MACHINES, LEASE).await;
        let files: Vec<PathBuf> = (0..CONTROLLERS)
            .map(|node| settings_file(&format!("limits{node}.toml"), &deployment.settings_of(node)))
            .collect();
        let run = |node: usize| start_with(&files[node], Some(&features()));
        let mut programs: Vec<Option<Program>> = (0..CONTROLLERS).map(|n| Some(run(n))).collect();
        for front in &deployment.fronts {
            let client = Client::new(*front, MESSAGE_PACK, 1);
            until(&client, Method::GET, "/healthz", &[], 200).await;
        }
        let fronts = Rc::new(deployment.fronts.clone());
        let began = Instant::now();
        let (mut round, mut jobs, mut kills) = (0, 0, 0);
        while began.elapsed() < lasts {
            round += 1;
            for front in fronts.iter().copied() {
                jobs += 1;
                spawn_local(submit(front, jobs));
            }
            if round % KILL_EVERY == 0 {
                let node = kills % CONTROLLERS;
                kills += 1;
                drop(programs[node].take());
            }
            if round % KILL_EVERY == 3 {
                for (node, program) in programs.iter_mut().enumerate() {
                    program.get_or_insert_with(|| run(node));
                }
            }
            tokio::time::sleep(ROUND).await;
        }
        check_history(&history.borrow(), jobs, kills);
        for (node, program) in programs.iter_mut().enumerate() {
            program.get_or_insert_with(|| run(node));
        }
        operators_see_the_limits(&deployment).await;
    });
}

fn check_history(history: &History, jobs: usize, kills: usize) {
    println!(
        "{jobs} jobs, {} starts, {kills} kills, at most {} of {LIMIT_GPUS} at once, {} overshoots",
        history.starts, history.most_at_once, history.overshoots
    );
    assert_eq!(
        (history.overshoots, history.ran_twice),
        (0, 0),
        "{history:?}"
    );
    assert!(
        history.starts > 20 && history.most_at_once >= LIMIT_GPUS / 2,
        "{history:?}"
    );
}

/// The status of a running controller, as a table and as JSON, and the errors of a wrong address.
async fn operators_see_the_limits(deployment: &Deployment) {
    let status = |arguments: &[&str]| {
        let program = env!("CARGO_BIN_EXE_ochredrum");
        Command::new(program)
            .arg("status")
            .args(arguments)
            .output()
            .unwrap()
    };
    let address = deployment.mesh_of(1).to_string();
    let mesh = Client::new(deployment.mesh_of(1), JSON_CONTENT_TYPE, 1);
    until_reached(&mesh).await;
    let table = status(&["--address", &address]);
    let text = String::from_utf8_lossy(&table.stdout).into_owned();
    assert!(
        table.status.success() && text.contains("vision") && text.contains("16 GPU"),
        "{text}"
    );
    let began = Instant::now();
    let json = loop {
        let json = status(&["--address", &address, "--json"]);
        let json: Status = serde_json::from_slice(&json.stdout).unwrap();
        // It may have been killed last, and still be reading what there is.
        if json.teams[0].grants_kept_since.is_some() {
            break json;
        }
        assert!(began.elapsed() < WAIT, "{json:?}");
        tokio::time::sleep(ROUND).await;
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
        granted + json.teams[0].folded.gpus <= LIMIT_GPUS as f64,
        "{json:?}"
    );
    let unreachable = status(&["--address", "127.0.0.1:1"]);
    assert_eq!(unreachable.status.code(), Some(3));
    assert_eq!(
        String::from_utf8_lossy(&unreachable.stderr).lines().count(),
        1
    );
    assert_eq!(status(&["--address", "nowhere"]).status.code(), Some(2));
}

/// Waits until a controller that has just been started answers.
async fn until_reached(mesh: &Client) {
    let began = Instant::now();
    while mesh
        .send(Method::GET, STATUS_PATH, Vec::new(), WAIT)
        .await
        .is_err()
    {
        assert!(began.elapsed() < WAIT, "no controller listens");
        tokio::time::sleep(ROUND).await;
    }
}
