//! Support for tests that run the program as a process: HTTP servers on loopback addresses replace the store,
//! the cloud and the workers.

mod failures;
mod fleet;
mod service_churn;
#[path = "../world/store.rs"]
mod store;
mod team_limits;
mod worker;

use hyper::body::Incoming;
use hyper::{Method, Request};
use ochredrum::core::effects::{StoreCall, StoreReply};
use ochredrum::front::MESSAGE_PACK;
use ochredrum::http::{Client, Reply, RequestError, read_body, reply, serve};
use ochredrum::wire::{Transaction, decode, encode};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};
use store::Store;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

pub use fleet::History;
pub use worker::StandInWorker;

/// Entries in a page of a store listing. With jobs as small as those of these tests, a page stays well within
/// the size limit of the protocol.
const STORE_PAGE_SIZE: usize = 500;

/// The GPU limit of the team in the settings; equals `gpus_max` there.
pub const TEAM_LIMIT_GPUS: usize = 16;

/// How long a test waits for a condition before it fails.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Answers an HTTP request as the store's protocol specifies.
async fn handle_store_request(
    store: Rc<RefCell<Store>>,
    started_at: Instant,
    request: Request<Incoming>,
) -> Reply {
    let (method, uri) = (request.method().clone(), request.uri().clone());
    let Ok(body) = read_body(request.into_body(), 64 * 1024, TIMEOUT).await else {
        return reply(400, Vec::new(), MESSAGE_PACK);
    };
    let query = uri.query().unwrap_or("");
    let parameter = |name: &str| {
        query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
    };
    let parts: Vec<&str> = uri.path().trim_matches('/').split('/').collect();
    let call = match (&method, parts.as_slice()) {
        (&Method::GET, ["kv"]) => StoreCall::List {
            prefix: "ochredrum/",
            from: parameter("from").map(|(_, v)| v.into()),
        },
        (&Method::GET, ["watch"]) => {
            let from = parameter("from")
                .and_then(|(_, v)| v.parse().ok())
                .unwrap_or(0);
            StoreCall::Changes {
                prefix: "ochredrum/",
                from,
            }
        }
        (&Method::POST, ["multi"]) => match decode::<Transaction>(&body) {
            Some(transaction) => StoreCall::Commit(transaction),
            None => return reply(400, Vec::new(), MESSAGE_PACK),
        },
        (&Method::POST, ["leases"]) => {
            let ttl = decode::<Value>(&body)
                .and_then(|v| v["lifeMs"].as_u64())
                .unwrap_or(0);
            StoreCall::LeaseCreate { ttl_ms: ttl }
        }
        (&Method::POST, ["leases", id, "renew"]) => StoreCall::LeaseRenew {
            lease: id.parse().unwrap_or(0),
        },
        (&Method::DELETE, ["leases", id]) => StoreCall::LeaseEnd {
            lease: id.parse().unwrap_or(0),
        },
        _ => return reply(400, Vec::new(), MESSAGE_PACK),
    };
    let now = started_at.elapsed().as_secs_f64();
    let (status, body) = match store.borrow_mut().call(now, call, None) {
        StoreReply::Listing(listing) => (200, encode(&listing)),
        StoreReply::Changes(changes) => (200, encode(&changes)),
        StoreReply::Committed(revision) => (200, encode(&json!({"ledger": revision}))),
        StoreReply::Conflict => (409, encode(&json!({"failed": [], "ledger": 0}))),
        StoreReply::LeaseCreated(lease) => (200, encode(&json!({"tenure": lease}))),
        StoreReply::Done => (200, encode(&json!({}))),
        _ => (404, encode(&json!({}))),
    };
    reply(status, body, MESSAGE_PACK)
}

/// Answers requests for machine types and machines. Every request to rent a machine gets status 503.
async fn handle_cloud_request(
    machines: Rc<RefCell<Vec<Value>>>,
    request: Request<Incoming>,
) -> Reply {
    let body = match request.uri().path() {
        "/flavors" => json!({"breeds": [{"label": "g8", "cores": 96, "cards": 8, "memGb": 768,
            "cacheGb": 200, "pullGbPerS": 1.0, "rate": 12.0, "marketPrice": 4.5, "bootS": 45,
            "yards": ["a"]}]}),
        "/rentals" if request.method() == Method::GET => {
            json!({"drumheads": *machines.borrow(), "more": false})
        }
        _ => {
            let error = encode(&json!({"error": "no capacity"}));
            return reply(503, error, MESSAGE_PACK);
        }
    };
    reply(200, encode(&body), MESSAGE_PACK)
}

/// Listens on a free port of 127.0.0.1.
pub async fn listen() -> (TcpListener, SocketAddr) {
    listen_at(IpAddr::V4(Ipv4Addr::LOCALHOST)).await
}

async fn listen_at(address: IpAddr) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((address, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Returns a loopback address that no other deployment uses. The programs of a deployment listen on ports
/// that were found free and closed again. On a shared address, a connection of another test could occupy such
/// a port before the program does, and the program would exit.
fn next_deployment_address() -> IpAddr {
    static DEPLOYMENTS: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id().to_be_bytes();
    let deployment = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, process[2] | 1, process[3], deployment))
}

/// Returns the text of the settings file of a single controller `n0`.
pub fn settings_text(
    front: SocketAddr,
    mesh: SocketAddr,
    cloud: SocketAddr,
    store: SocketAddr,
) -> String {
    format!(
        r#"
host_name = "n0"
area = "a"
front = "{front}"
mesh_addr = "{mesh}"
something_new = 7
[services]
cloud = "{cloud}"
state = "{store}"
[deployment]
[[deployment.teams]]
name = "vision"
gpus_max = 16.0
[deployment.workers]
report_s = 1.0
lease_s = 4.0
gang_wait_s = 30.0
gang_peer_s = 4.0
cancel_s = 30.0
[deployment.state]
rps = 120.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 8
[deployment.cloud]
rps = 2.0
list_lag_s = 10.0
[deployment.limits]
mem_mb = 56.0
fd_limit = 200
"#
    )
}

/// A controller process. It is killed when this is dropped.
pub struct Program(Child);

impl Program {
    /// Sends a signal to this process only, given its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let process = self.0.id().to_string();
        let sent = Command::new("sh")
            .args(["-c", "kill -s \"$0\" \"$1\"", name, &process])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "SIG{name} could not be sent"
        );
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // An error means that the process has exited already.
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

/// Starts a controller without a features file.
pub fn start_program(settings: &std::path::Path) -> Program {
    start_program_with_features(settings, None)
}

/// Starts a controller with a features file, if one is given. Its log is discarded.
pub fn start_program_with_features(
    settings: &std::path::Path,
    features: Option<&std::path::Path>,
) -> Program {
    let program = env!("CARGO_BIN_EXE_ochredrum");
    let mut command = Command::new(program);
    if let Some(features) = features {
        command.arg("--features").arg(features);
    }
    command.arg("--config").arg(settings).stderr(Stdio::null());
    Program(command.spawn().unwrap())
}

/// Writes a settings file into the temporary folder of the tests and returns its path.
pub fn write_settings_file(name: &str, text: &str) -> std::path::PathBuf {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::File::create(&path)
        .unwrap()
        .write_all(text.as_bytes())
        .unwrap();
    path
}

/// Sends a request and returns its status and decoded body. A body that cannot be decoded is null.
pub async fn send_request(
    client: &Client,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<(u16, Value), RequestError> {
    let (status, body) = client
        .send(method, path, body, Duration::from_secs(3))
        .await?;
    Ok((status, decode(&body).unwrap_or_default()))
}

/// Repeats a request until it has the expected status, and returns the body.
pub async fn retry_until_status(
    client: &Client,
    method: Method,
    path: &str,
    body: &[u8],
    status: u16,
) -> Value {
    let started_at = Instant::now();
    loop {
        let answer = send_request(client, method.clone(), path, body.to_vec()).await;
        match answer {
            Ok((seen, body)) if seen == status => return body,
            other => assert!(
                started_at.elapsed() < TIMEOUT,
                "{path}: {other:?}, expected status {status}"
            ),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns a submission of a job with two tasks.
pub fn submission(id: &str) -> Value {
    json!({"nameId": id, "herd": "train", "crew": "vision", "shape": "sweep", "urgency": "high",
        "beats": 2, "cores": 8.0, "cards": 1.0, "memGb": 64.0, "pressing": "img", "sizeGb": 6.2,
        "breeds": null, "samePlace": false, "apart": false, "loaners": true, "expectS": 24.0,
        "markEveryS": 3.0, "markS": 1.0})
}

/// Connections that each HTTP server of the tests accepts at once.
pub const MAX_CONNECTIONS: usize = 100;

/// The addresses of one or more controllers, and of the servers that replace the store and the cloud.
pub struct Deployment {
    /// The address of the first controller for users and workers.
    pub front: SocketAddr,
    /// The addresses of all controllers for users and workers, by number of the controller.
    pub fronts: Vec<SocketAddr>,
    meshes: Vec<SocketAddr>,
    cloud: SocketAddr,
    store: SocketAddr,
    /// Teams in the settings beside `vision`, with the same limit.
    pub teams: Vec<String>,
    /// The machines that the cloud lists.
    cloud_machines: Rc<RefCell<Vec<Value>>>,
}

impl Deployment {
    /// Prepares a deployment of one controller, as [`Self::with_controllers`] does.
    pub async fn new() -> Self {
        Self::with_controllers(1).await
    }

    /// Starts the servers that replace the store and the cloud, and reserves addresses for the controllers.
    /// It starts no controller.
    pub async fn with_controllers(controllers: usize) -> Self {
        let mut store = Store::default();
        store.page_size = STORE_PAGE_SIZE;
        let store = Rc::new(RefCell::new(store));
        let started_at = Instant::now();
        let (listener, store_address) = listen().await;
        spawn_local(serve(listener, MAX_CONNECTIONS, move |request| {
            handle_store_request(store.clone(), started_at, request)
        }));
        let (listener, cloud_address) = listen().await;
        let cloud_machines = Rc::new(RefCell::new(Vec::new()));
        let served_machines = cloud_machines.clone();
        spawn_local(serve(listener, MAX_CONNECTIONS, move |request| {
            handle_cloud_request(served_machines.clone(), request)
        }));
        let (mut fronts, mut meshes, mut listeners) = (Vec::new(), Vec::new(), Vec::new());
        let address = next_deployment_address();
        for _ in 0..controllers {
            let (front, front_address) = listen_at(address).await;
            let (mesh, mesh_address) = listen_at(address).await;
            listeners.extend([front, mesh]);
            fronts.push(front_address);
            meshes.push(mesh_address);
        }
        drop(listeners);
        Self {
            front: fronts[0],
            fronts,
            meshes,
            cloud: cloud_address,
            store: store_address,
            teams: Vec::new(),
            cloud_machines,
        }
    }

    /// Returns the text of the settings file of the first controller.
    pub fn settings(&self) -> String {
        self.settings_of(0)
    }

    /// Returns the address of a controller for other controllers and operators.
    pub fn mesh_address(&self, node: usize) -> SocketAddr {
        self.meshes[node]
    }

    /// Returns the text of the settings file of a controller, given its number.
    pub fn settings_of(&self, node: usize) -> String {
        let text = settings_text(self.fronts[node], self.meshes[node], self.cloud, self.store);
        let teams = self.teams.iter().map(|team| {
            format!("[[deployment.teams]]\nname = \"{team}\"\ngpus_max = {TEAM_LIMIT_GPUS}.0\n")
        });
        let teams: String = teams.collect();
        let text = text.replace(
            "[deployment.workers]",
            &format!("{teams}[deployment.workers]"),
        );
        let others = (0..self.meshes.len()).filter(|other| *other != node);
        let siblings: String = others
            .map(|other| {
                let address = self.meshes[other];
                format!("[[siblings]]\nhost_name = \"n{other}\"\naddr = \"{address}\"\n")
            })
            .collect();
        let text = text.replace("host_name = \"n0\"", &format!("host_name = \"n{node}\""));
        text.replace("[services]", &format!("{siblings}[services]"))
    }

    /// Starts workers that send heartbeats to the controllers, and adds them to the listing of the cloud.
    /// Returns the history of their tasks.
    pub async fn start_fleet(&self, machines: usize, lease: Duration) -> Rc<RefCell<History>> {
        let nodes = (0..self.fronts.len()).map(|node| (format!("n{node}"), self.fronts[node]));
        let nodes: Vec<(String, SocketAddr)> = nodes.collect();
        let (history, machines) =
            fleet::start_fleet(machines, &nodes, lease, TEAM_LIMIT_GPUS).await;
        *self.cloud_machines.borrow_mut() = machines;
        history
    }
}
