//! A trial that is no case (see REPORT.md): a machine fails every task for some seconds; it is the only one that a job
//! may use.

use serde_json::{Value, json};
use standins::users::job;
use standins::worker::Run;
use standins::{Deployment, Record, main_of, trouble};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::sleep;

/// Jobs that wait for so long beside room, once the troubles are over, break the rule.
const NEGLECTED: f64 = 90.0;
/// The zones of the machines that are up. One in six is faulty, the first.
const YARDS: [&str; 6] =
    ["hambantota-shed", "colombo-rack", "colombo-rack", "colombo-rack", "colombo-rack", "colombo-rack"];
/// The machine works again this long after the job was accepted, unless the job has not begun by then.
const FAULTY: f64 = 5.0;
const SERVICE: &str = "req-000101";

/// A service of one replica that is bound to a zone in which one machine is up.
fn service() -> Value {
    let mut service = job(SERVICE, "watch-sulanga", "tower-crew", "standing", "critical", 1);
    service["cores"] = json!(16.0);
    service["cards"] = json!(2.0);
    service["memGb"] = json!(80.0);
    service["yard"] = json!("hambantota-shed");
    service["loaners"] = json!(false);
    service["expectS"] = json!(0.0);
    service
}

async fn run(folder: PathBuf, record: Record) -> u8 {
    let deployment = Deployment::start(&record, &folder, YARDS.len(), &YARDS).await;
    let code = play(&record, &deployment).await;
    deployment.platform.end();
    code
}

async fn play(record: &Record, deployment: &Deployment) -> u8 {
    let (users, fleet) = (&deployment.users, &deployment.fleet);
    let mut first = job("req-000001", "watch-sulanga", "tower-crew", "standing", "critical", 1);
    first["expectS"] = json!(0.0);
    if !deployment.run_job(&first, Run::Standing).await {
        record.say("the first service did not start: the case couldn't run");
        return 2;
    }
    let machine = &deployment.workers[0];
    machine.set_faulty(trouble());
    fleet.upload(&service(), Run::Standing);
    if !users.submit(&service()).await {
        record.say("the service was not accepted: the case couldn't run");
        return 2;
    }
    sleep(Duration::from_secs_f64(FAULTY)).await;
    machine.set_faulty(false);
    if !fleet.first_start.borrow().contains_key(&format!("{SERVICE}/0")) {
        record.say("the service was not started while the machine was faulty: the case couldn't run");
        return 2;
    }
    record.say("the machine works again: the troubles are over");
    let over = record.seconds();
    let (mut waiting_since, mut waited, mut next_poll) = (over, 0.0_f64, over);
    while record.seconds() < over + NEGLECTED + 5.0 {
        let free = machine.free();
        let has_room = free.0 >= 16.0 && free.1 >= 2.0 && free.2 >= 80.0;
        if fleet.runs(&format!("{SERVICE}/0")) || !has_room {
            waiting_since = record.seconds();
        }
        waited = waited.max(record.seconds() - waiting_since);
        if record.seconds() >= next_poll {
            next_poll = record.seconds() + 5.0;
            users.poll(SERVICE).await;
            record.line(format!("free CPUs, GPUs, GB of {}: {free:?}", machine.id()));
        }
        sleep(Duration::from_millis(100)).await;
    }
    record.say(format!("{SERVICE} waited for {waited:.1} s beside {} with room for it", machine.id()));
    u8::from(waited >= NEGLECTED)
}

fn main() -> ExitCode {
    main_of(run)
}
