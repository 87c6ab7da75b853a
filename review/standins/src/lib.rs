//! Stand-ins for the systems around ochredrum, on loopback addresses and the real clock: the state
//! service, the cloud, workers and users, and the platform that starts the controllers.
//!
//! They follow PROTOCOL-ochredrum.md and DEPLOY-ochredrum.md. Each case is a program in `src/bin`.

pub mod cloud;
pub mod platform;
pub mod state;
pub mod users;
pub mod worker;

use serde_json::{Value, json};
use std::cell::RefCell;
use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Connections that each HTTP server accepts at once.
pub const MAX_CONNECTIONS: usize = 500;

/// The record of a run: one line for each event, with the seconds since the start.
#[derive(Clone)]
pub struct Record(Rc<(Instant, RefCell<File>)>);

impl Record {
    /// Creates or replaces the file.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self(Rc::new((Instant::now(), RefCell::new(file))))
    }

    /// Seconds since the start of the run.
    pub fn seconds(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.seconds(), text.as_ref());
        self.0.1.borrow_mut().write_all(line.as_bytes()).ok();
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:8.3} {}", self.seconds(), text.as_ref());
        self.line(text);
    }
}

/// Listens on a free port of 127.0.0.1.
pub async fn listen() -> (TcpListener, SocketAddr) {
    listen_at(IpAddr::V4(Ipv4Addr::LOCALHOST)).await
}

/// Listens on a free port of a loopback address.
pub async fn listen_at(address: IpAddr) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((address, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// The timing and limits of a deployment, as its settings give them.
#[derive(Clone, Debug)]
pub struct Timing {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

/// Settings like those of the Suwanda deployment: three controllers, one team without a limit.
pub fn suwanda() -> platform::Settings {
    platform::Settings {
        nodes: 3,
        zones: vec!["hambantota-shed"],
        timing: Timing { report_s: 1.0, lease_s: 10.0, gang_wait_s: 45.0, gang_peer_s: 4.0, cancel_s: 40.0 },
        state: state::Limits { rps: 120.0, write_rps: 25.0, value_kb: 8.0, txn_ops: 16 },
        teams: "[[deployment.teams]]\nname = \"tower-crew\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n"
            .into(),
        objectives: String::new(),
        mem_mb: 40.0,
        fd_limit: 500,
    }
}

/// The machine type of that deployment.
pub fn suwanda_breeds() -> Value {
    json!({"breeds": [{"label": "monsoon-96", "cores": 96, "cards": 8, "memGb": 576, "cacheGb": 800, "pullGbPerS": 1.7,
        "rate": 27.18, "marketPrice": 9.12, "bootS": 35, "yards": ["hambantota-shed", "colombo-rack"]}]})
}

/// The stand-ins of a run, and the controllers.
pub struct Deployment {
    pub record: Record,
    pub state: Rc<RefCell<state::State>>,
    pub cloud: Rc<cloud::Cloud>,
    pub platform: Rc<platform::Platform>,
    pub fleet: Rc<worker::Fleet>,
    pub workers: Vec<worker::Worker>,
    pub users: users::Users,
}

impl Deployment {
    /// Starts everything, with this many machines that are up, in `yards` by turns.
    pub async fn start(record: &Record, folder: &Path, machines: usize, yards: &[&str]) -> Self {
        let settings = suwanda();
        let (state, state_address) = state::start(settings.state).await;
        let (cloud, cloud_address) = cloud::start(record, suwanda_breeds()).await;
        let platform = platform::Platform::new(record, folder, &settings, state_address, cloud_address).await;
        let fleet = worker::Fleet::new(record, &settings.timing, &platform.fronts);
        let mut workers = Vec::new();
        for number in 0..machines {
            let yard = yards[number % yards.len()];
            let room = (96.0, 8.0, 576.0);
            let worker = worker::Worker::start(&fleet, &format!("m-{number:06}"), "monsoon-96", yard, room).await;
            cloud.add(worker.clone());
            workers.push(worker);
        }
        platform.start_all();
        platform.keep_running(Duration::from_secs(6));
        let users = users::Users::new(record, platform.fronts.clone());
        Self { record: record.clone(), state, cloud, platform, fleet, workers, users }
    }

    /// A further machine comes up.
    pub async fn add_machine(&self, id: &str, yard: &str) -> worker::Worker {
        let worker = worker::Worker::start(&self.fleet, id, "monsoon-96", yard, (96.0, 8.0, 576.0)).await;
        self.cloud.add(worker.clone());
        self.record.say(format!("{id} comes up"));
        worker
    }

    /// Submits a job and waits until all its tasks run. Returns false if that takes longer than 20 s.
    pub async fn run_job(&self, spec: &Value, run: worker::Run) -> bool {
        self.fleet.upload(spec, run);
        if !self.users.submit(spec).await {
            return false;
        }
        let id = spec["nameId"].as_str().unwrap_or_default();
        let begun = Instant::now();
        let all_run =
            || (0..spec["beats"].as_u64().unwrap_or(0)).all(|index| self.fleet.runs(&format!("{id}/{index}")));
        while !all_run() {
            if begun.elapsed() > Duration::from_secs(20) {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.record.say(format!("all tasks of {id} run"));
        true
    }
}

/// Runs a case: the arguments are a temporary folder and the path of the record. Its number is the exit code
/// of the program: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn main_of<F: Future<Output = u8>>(case: impl FnOnce(PathBuf, Record) -> F) -> ExitCode {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let (Some(folder), Some(path)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let record = Record::create(&path);
    let code = tokio::task::LocalSet::new().block_on(&runtime, case(folder, record));
    ExitCode::from(code)
}

/// Whether the run has the disruption (`TROUBLE=0`: it has not).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
