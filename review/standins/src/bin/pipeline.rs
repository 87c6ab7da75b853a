//! Case: a pipeline of dependent jobs is submitted, its last job with a deadline.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use standins::users::job;
use standins::worker::Run;
use standins::{Deployment, Record, main_of, trouble};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::sleep;

/// Stages of the pipeline, and jobs of a stage.
const STAGES: usize = 35;
const JOBS: usize = 10;
/// Estimates of the jobs of the first and of the last stage, in seconds, at most.
const ESTIMATES: (f64, f64) = (0.05, 36000.0);
/// A job about which no question is answered for so long counts as forgotten.
const FORGOTTEN: f64 = 75.0;
/// The standing job that users ask about.
const ASKED: &str = "req-000001";
const SEED: u64 = 46;

/// The jobs of the pipeline in the order of their submission. The jobs of a stage need all jobs of the stage
/// before; they are submitted longest first.
fn pipeline() -> Vec<(Value, Run)> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let growth = (ESTIMATES.1 / ESTIMATES.0).powf(1.0 / (STAGES - 1) as f64);
    let mut number = 1000;
    let mut id = || {
        number += 1;
        format!("req-{number:06}")
    };
    let mut collect = job(&id(), "log-scrub", "tower-crew", "sweep", "best_effort", 1);
    collect["expectS"] = json!(300.0);
    let mut before = vec![collect["nameId"].clone()];
    let mut jobs = vec![(collect, Run::For(Duration::from_secs(300)))];
    for stage in 0..STAGES {
        let longest = ESTIMATES.0 * growth.powi(stage as i32);
        let mut estimates: Vec<f64> = (0..JOBS).map(|_| rng.random_range(0.0..longest)).collect();
        estimates.sort_by(|one, other| other.total_cmp(one));
        let mut names = Vec::new();
        for estimate in estimates {
            let mut each = job(&id(), "blade-tag", "tower-crew", "sweep", "best_effort", 1);
            let estimate = (estimate * 1000.0).ceil() / 1000.0;
            each["expectS"] = json!(estimate);
            each["awaits"] = json!(before);
            names.push(each["nameId"].clone());
            jobs.push((each, Run::For(Duration::from_secs_f64(estimate))));
        }
        before = names;
    }
    let mut last = job(&id(), "farm-digest", "tower-crew", "ensemble", "standard", 2);
    last["expectS"] = json!(20.0);
    last["awaits"] = json!(before);
    if trouble() {
        last["dueS"] = json!(86400.0);
    }
    jobs.push((last, Run::For(Duration::from_secs(20))));
    jobs
}

async fn run(folder: PathBuf, record: Record) -> u8 {
    let deployment = Deployment::start(&record, &folder, 6, &["hambantota-shed", "colombo-rack"]).await;
    let code = play(&record, &deployment).await;
    let jobs = deployment.state.borrow().count("ochredrum/job/");
    let leases = deployment.fleet.expired_leases.borrow();
    record.say(format!("{jobs} jobs in the state service, {leases} leases of workers expired"));
    deployment.platform.end();
    code
}

/// Submits everything but the last job. `None` if that did not succeed in time.
async fn prepare(record: &Record, deployment: &Deployment, others: &[(Value, Run)]) -> Option<()> {
    let mut standing = job(ASKED, "watch-sulanga", "tower-crew", "standing", "critical", 2);
    standing["expectS"] = json!(0.0);
    if !deployment.run_job(&standing, Run::Standing).await {
        record.say("the standing job did not start: the case couldn't run");
        return None;
    }
    for (spec, run) in others {
        deployment.fleet.upload(spec, *run);
        if !deployment.users.submit(spec).await || record.seconds() > 35.0 {
            record.say("the pipeline was not accepted in time: the case couldn't run");
            return None;
        }
    }
    if deployment.users.poll(ASKED).await.is_none() {
        record.say("no answer before the last job: the case couldn't run");
        return None;
    }
    record.say(format!("{} jobs of the pipeline accepted", others.len()));
    Some(())
}

async fn play(record: &Record, deployment: &Deployment) -> u8 {
    let (users, fleet) = (&deployment.users, &deployment.fleet);
    let jobs = pipeline();
    let (last, others) = jobs.split_last().expect("jobs");
    if prepare(record, deployment, others).await.is_none() {
        return 2;
    }
    record.say(format!("the last job follows, with dueS {}", last.0["dueS"]));
    fleet.upload(&last.0, last.1);
    let submitted = record.seconds();
    let (submitter, spec) = (users.clone(), last.0.clone());
    let submission = tokio::task::spawn_local(async move { submitter.submit(&spec).await });
    let mut last_answer = submitted;
    let mut silence: f64 = 0.0;
    while record.seconds() < submitted + FORGOTTEN + 5.0 {
        if users.poll(ASKED).await.is_some() {
            last_answer = record.seconds();
        }
        silence = silence.max(record.seconds() - last_answer);
        sleep(Duration::from_millis(500)).await;
    }
    let replicas = (0..2).filter(|index| fleet.runs(&format!("{ASKED}/{index}"))).count();
    record
        .say(format!("longest time without an answer about {ASKED}: {silence:.1} s; {replicas} of its 2 replicas run"));
    submission.abort();
    u8::from(silence >= FORGOTTEN)
}

fn main() -> ExitCode {
    main_of(run)
}
