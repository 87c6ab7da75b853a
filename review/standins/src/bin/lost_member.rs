//! Case: one machine of a running gang of two dies; the machine that takes its place has to fetch the image.

use serde_json::{Value, json};
use standins::users::job;
use standins::worker::Run;
use standins::{Deployment, Record, main_of, trouble};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::sleep;

/// Jobs that wait for so long once the troubles are over, beside machines that fit, break the rule.
const NEGLECTED: f64 = 90.0;
/// End of a run, in seconds since its start.
const END: f64 = 114.0;
const GANG: &str = "req-000101";
/// The image of the site's class, and the rate at which the site's machines fetch.
const IMAGE: &str = "img-kalu";
const IMAGE_GB: f64 = 118.0;
const PULL_GB_PER_S: f64 = 1.7;

/// A job of the class `kalu-thiri` of the site.
fn gang() -> Value {
    let mut gang = job(GANG, "kalu-thiri", "tower-crew", "ensemble", "high", 2);
    gang["cores"] = json!(86.0);
    gang["cards"] = json!(8.0);
    gang["memGb"] = json!(460.0);
    gang["pressing"] = json!(IMAGE);
    gang["sizeGb"] = json!(IMAGE_GB);
    gang["loaners"] = json!(false);
    gang["samePlace"] = json!(true);
    gang["expectS"] = json!(150.0);
    gang["markEveryS"] = json!(15.0);
    gang["markS"] = json!(4.0);
    gang
}

async fn run(folder: PathBuf, record: Record) -> u8 {
    let deployment = Deployment::start(&record, &folder, 2, &["hambantota-shed"]).await;
    for worker in &deployment.workers {
        // They have the image from earlier work.
        worker.set_images(PULL_GB_PER_S, &[IMAGE]);
    }
    let code = play(&record, &deployment).await;
    deployment.platform.end();
    code
}

async fn play(record: &Record, deployment: &Deployment) -> u8 {
    let (users, fleet) = (&deployment.users, &deployment.fleet);
    if !deployment.run_job(&gang(), Run::For(Duration::from_secs(150))).await {
        record.say("the gang did not start: the case couldn't run");
        return 2;
    }
    let third = deployment.add_machine("m-000002", "hambantota-shed").await;
    third.set_images(PULL_GB_PER_S, &[]);
    sleep(Duration::from_secs(3)).await;
    if trouble() {
        record.say(format!("{} dies with all that is on it", deployment.workers[1].id()));
        deployment.workers[1].end();
        sleep(Duration::from_millis(100)).await;
    }
    let over = record.seconds();
    let (mut not_running_since, mut waited, mut next_poll) = (over, 0.0_f64, over);
    while record.seconds() < END {
        if fleet.gang_runs(GANG) {
            not_running_since = record.seconds();
        }
        waited = waited.max(record.seconds() - not_running_since);
        if record.seconds() >= next_poll {
            next_poll = record.seconds() + 5.0;
            users.poll(GANG).await;
        }
        sleep(Duration::from_millis(100)).await;
    }
    let fetch = IMAGE_GB / PULL_GB_PER_S;
    record.say(format!("{GANG} did not run for {waited:.1} s; a fetch of its image takes {fetch:.1} s"));
    u8::from(waited >= NEGLECTED)
}

fn main() -> ExitCode {
    main_of(run)
}
