//! Case: the finished jobs of a week are in the state service; the platform keeps to the memory limit.

use serde_json::json;
use standins::users::job;
use standins::worker::Run;
use standins::{Deployment, Record, main_of, trouble};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::sleep;

/// Jobs a minute, as the brief states them for the four classes: 1.7 + 4.4 + 3.1 + 2.3.
const JOBS_A_MINUTE: f64 = 11.5;
/// One in so many jobs ends by being cancelled: the services (1.7 a minute) and a part of the others.
const CANCELLED_OF: u64 = 6;
/// Minutes of operation before the controllers are restarted: a week, or six hours without the disruption.
const WEEK: f64 = 7.0 * 24.0 * 60.0;
const SIX_HOURS: f64 = 6.0 * 60.0;
/// A job about which no question is answered for so long, once all troubles are over, counts as forgotten.
const FORGOTTEN: f64 = 75.0;
/// Time after which the platform starts a controller again.
const RESTART: Duration = Duration::from_secs(6);
/// The service that users ask about, and two jobs that end.
const ASKED: &str = "req-000001";
const DONE: &str = "req-000002";
const CANCELLED: &str = "req-000003";

async fn run(folder: PathBuf, record: Record) -> u8 {
    let deployment = Deployment::start(&record, &folder, 4, &["hambantota-shed", "colombo-rack"]).await;
    let code = play(&record, &deployment).await;
    deployment.platform.end();
    code
}

/// The service runs, one job is done and one is cancelled.
async fn prepare(record: &Record, deployment: &Deployment) -> Option<()> {
    let service = |id| {
        let mut service = job(id, "watch-sulanga", "tower-crew", "standing", "critical", 2);
        service["expectS"] = json!(0.0);
        service
    };
    let array = job(DONE, "gearbox-review", "tower-crew", "sweep", "standard", 9);
    let have_run = deployment.run_job(&service(ASKED), Run::Standing).await
        && deployment.run_job(&service(CANCELLED), Run::Standing).await
        && deployment.run_job(&array, Run::For(Duration::from_secs(1))).await;
    if !have_run || deployment.users.withdraw(CANCELLED).await.is_none() {
        record.say("the first jobs did not run: the case couldn't run");
        return None;
    }
    while !deployment.users.poll(DONE).await.is_some_and(|(_, body)| body["stance"] == "done") {
        if record.seconds() > 20.0 {
            record.say("the first array was not done in time: the case couldn't run");
            return None;
        }
        sleep(Duration::from_millis(500)).await;
    }
    Some(())
}

/// Adds the records of the jobs that ended in `minutes` of operation. Each is the record that the service itself
/// wrote for the job that is done or for the one that is cancelled.
fn add_history(record: &Record, deployment: &Deployment, minutes: f64) -> Option<()> {
    let mut state = deployment.state.borrow_mut();
    let done = state.get(&format!("ochredrum/job/{DONE}"))?;
    let cancelled = state.get(&format!("ochredrum/job/{CANCELLED}"))?;
    let jobs = (minutes * JOBS_A_MINUTE) as u64;
    for number in 0..jobs {
        let data = if number % CANCELLED_OF == 0 { &cancelled } else { &done };
        state.preload(&format!("ochredrum/job/req-{:06}", 100_000 + number), data.clone());
    }
    record.say(format!("records of {jobs} finished jobs added: {done} and {cancelled}"));
    Some(())
}

async fn play(record: &Record, deployment: &Deployment) -> u8 {
    let (users, platform) = (&deployment.users, &deployment.platform);
    if prepare(record, deployment).await.is_none() {
        return 2;
    }
    platform.end();
    let minutes = if trouble() { WEEK } else { SIX_HOURS };
    if add_history(record, deployment, minutes).is_none() {
        record.say("the service has no records of the jobs that ended: the case couldn't run");
        return 2;
    }
    sleep(RESTART).await;
    platform.start_all();
    let ended = platform.keep_memory_limit(standins::suwanda().mem_mb, RESTART);
    record.say("all controllers are started again: the troubles are over");
    let begun = record.seconds();
    let (mut last_answer, mut silence, mut next_line) = (begun, 0.0_f64, begun);
    while record.seconds() < begun + FORGOTTEN + 15.0 {
        if users.poll(ASKED).await.is_some() {
            last_answer = record.seconds();
        }
        silence = silence.max(record.seconds() - last_answer);
        if record.seconds() >= next_line {
            next_line = record.seconds() + 2.0;
            let held = (0..3).map(|node| platform.memory_mb(node).map_or("-".into(), |held| format!("{held:.1}")));
            record.line(format!("MiB that the controllers hold: {}", held.collect::<Vec<String>>().join(" ")));
        }
        sleep(Duration::from_millis(500)).await;
    }
    record.say(format!("controllers that ended for memory: {}", ended.get()));
    record.say(format!("longest time without an answer about {ASKED}: {silence:.1} s"));
    u8::from(silence >= FORGOTTEN)
}

fn main() -> ExitCode {
    main_of(run)
}
