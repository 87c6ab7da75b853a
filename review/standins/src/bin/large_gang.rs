//! A trial that is no case (see REPORT.md): a gang of many small tasks is submitted while machines have room for all
//! of them.

use serde_json::{Value, json};
use standins::users::job;
use standins::worker::Run;
use standins::{Deployment, Record, main_of, trouble};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::sleep;

/// Machines that are up; each has room for 48 tasks of the gang.
const MACHINES: usize = 6;
/// Jobs that wait for so long beside room break the rule.
const NEGLECTED: f64 = 90.0;
const GANG: &str = "req-000101";

fn gang() -> Value {
    let tasks = if trouble() { 201 } else { 200 };
    let mut gang = job(GANG, "farm-digest", "tower-crew", "ensemble", "standard", tasks);
    gang["cores"] = json!(2.0);
    gang["memGb"] = json!(9.6);
    gang["expectS"] = json!(20.0);
    gang["markEveryS"] = json!(20.0);
    gang["markS"] = json!(2.0);
    gang
}

async fn run(folder: PathBuf, record: Record) -> u8 {
    let deployment = Deployment::start(&record, &folder, MACHINES, &["hambantota-shed"]).await;
    let code = play(&record, &deployment).await;
    deployment.platform.end();
    code
}

async fn play(record: &Record, deployment: &Deployment) -> u8 {
    let (users, fleet) = (&deployment.users, &deployment.fleet);
    let mut service = job("req-000001", "watch-sulanga", "tower-crew", "standing", "critical", 2);
    service["expectS"] = json!(0.0);
    if !deployment.run_job(&service, Run::Standing).await {
        record.say("the service did not start: the case couldn't run");
        return 2;
    }
    let gang = gang();
    fleet.upload(&gang, Run::For(Duration::from_secs(20)));
    if !users.submit(&gang).await {
        record.say("the gang was not accepted: the case couldn't run");
        return 2;
    }
    let accepted = record.seconds();
    record.say(format!("gang of {} tasks accepted", gang["beats"]));
    let mut waited = 0.0_f64;
    while record.seconds() < accepted + NEGLECTED + 10.0 {
        let stance = users.poll(GANG).await.map(|(_, body)| body["stance"].clone());
        let room: f64 = deployment.workers.iter().map(|worker| (worker.free().0 / 2.0).floor()).sum();
        record.line(format!("room for {room} tasks of the gang"));
        if stance == Some(json!("done")) {
            record.say(format!("{GANG} is done"));
            break;
        }
        let begun = fleet.first_start.borrow().keys().any(|beat| beat.starts_with(GANG));
        if !begun && room >= gang["beats"].as_f64().unwrap_or(0.0) {
            waited = record.seconds() - accepted;
        }
        sleep(Duration::from_secs(2)).await;
    }
    record.say(format!("{GANG} waited for {waited:.1} s beside machines with room for all its tasks"));
    u8::from(waited >= NEGLECTED)
}

fn main() -> ExitCode {
    main_of(run)
}
