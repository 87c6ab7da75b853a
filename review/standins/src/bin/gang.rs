//! A trial that is no case (see REPORT.md): a gang that the machines cannot hold waits, and the cloud has no more
//! machines.

use serde_json::{Value, json};
use standins::users::job;
use standins::worker::{Run, Worker};
use standins::{Deployment, Record, main_of, trouble};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::sleep;

/// Machines that are up, one in each zone.
const MACHINES: usize = 2;
/// Tasks of the gang, each of a whole machine, all in one zone.
const GANG: u32 = 2;
/// Jobs that wait for so long beside room break the rule.
const NEGLECTED: f64 = 90.0;
/// The arrays that are submitted before and after the gang, and the number of their tasks.
const BEFORE: &str = "req-000201";
const AFTER: &str = "req-000301";
const TASKS: u32 = 4;

fn gang() -> Value {
    let mut gang = job("req-000101", "kalu-thiri", "tower-crew", "ensemble", "high", GANG);
    gang["cores"] = json!(86.0);
    gang["cards"] = json!(8.0);
    gang["memGb"] = json!(460.0);
    gang["loaners"] = json!(false);
    gang["samePlace"] = json!(true);
    gang["expectS"] = json!(150.0);
    gang["markEveryS"] = json!(15.0);
    gang["markS"] = json!(4.0);
    gang
}

fn batch(id: &str) -> Value {
    let mut batch = job(id, "gearbox-review", "tower-crew", "sweep", "standard", TASKS);
    batch["cores"] = json!(8.0);
    batch["cards"] = json!(1.0);
    batch["memGb"] = json!(40.0);
    batch["expectS"] = json!(60.0);
    batch["markEveryS"] = json!(10.0);
    batch["markS"] = json!(5.0);
    batch
}

async fn run(folder: PathBuf, record: Record) -> u8 {
    let deployment = Deployment::start(&record, &folder, MACHINES, &["hambantota-shed", "colombo-rack"]).await;
    let code = play(&record, &deployment).await;
    deployment.platform.end();
    code
}

async fn play(record: &Record, deployment: &Deployment) -> u8 {
    let (users, fleet) = (&deployment.users, &deployment.fleet);
    if !deployment.run_job(&batch(BEFORE), Run::For(Duration::from_secs(60))).await {
        record.say("the first array did not start: the case couldn't run");
        return 2;
    }
    let gang = gang();
    fleet.upload(&gang, Run::For(Duration::from_secs(150)));
    if trouble() && !users.submit(&gang).await {
        record.say("the gang was not accepted: the case couldn't run");
        return 2;
    }
    sleep(Duration::from_secs(2)).await;
    fleet.upload(&batch(AFTER), Run::For(Duration::from_secs(60)));
    if !users.submit(&batch(AFTER)).await {
        record.say("the second array was not accepted: the case couldn't run");
        return 2;
    }
    let has_room = |worker: &Worker| {
        let free = worker.free();
        free.0 >= 8.0 && free.1 >= 1.0 && free.2 >= 40.0
    };
    let begun = record.seconds();
    let (mut waiting_since, mut waited, mut next_poll) = (begun, 0.0_f64, begun);
    while record.seconds() < begun + NEGLECTED + 5.0 {
        if record.seconds() >= next_poll {
            next_poll = record.seconds() + 5.0;
            users.poll(BEFORE).await;
            users.poll(AFTER).await;
            let free: Vec<String> = deployment.workers.iter().map(|worker| format!("{:?}", worker.free())).collect();
            record.line(format!("free CPUs, GPUs, GB of each machine: {}", free.join(" ")));
        }
        let has_begun = fleet.first_start.borrow().keys().any(|beat| beat.starts_with(AFTER));
        if has_begun || !deployment.workers.iter().any(has_room) {
            waiting_since = record.seconds();
        }
        waited = waited.max(record.seconds() - waiting_since);
        sleep(Duration::from_millis(100)).await;
    }
    record.say(format!("{AFTER} waited for {waited:.1} s beside machines with room"));
    u8::from(waited >= NEGLECTED)
}

fn main() -> ExitCode {
    main_of(run)
}
