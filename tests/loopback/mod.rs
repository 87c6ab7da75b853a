//! Support for tests of the real program: stand-ins for the store, the cloud and workers that speak HTTP over loopback.

mod failures;
mod fleet;
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

/// Items in a page of a listing, well within the protocol's limits for jobs of this size.
const ITEMS_IN_PAGE: usize = 500;

/// The limit of the team in the settings.
pub const LIMIT_GPUS: usize = 16;

/// How long a test waits for something before it fails.
pub const WAIT: Duration = Duration::from_secs(10);

/// Answers requests as the store's documentation specifies.
async fn store_service(
    store: Rc<RefCell<Store>>,
    began: Instant,
    request: Request<Incoming>,
) -> Reply {
    let (method, uri) = (request.method().clone(), request.uri().clone());
    let Ok(body) = read_body(request.into_body(), 64 * 1024, WAIT).await else {
        return reply(400, Vec::new(), MESSAGE_PACK);
    };
    let query = uri.query().unwrap_or("");
    let value = |name: &str| {
        query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
    };
    let parts: Vec<&str> = uri.path().trim_matches('/').split('/').collect();
    let call = match (&method, parts.as_slice()) {
        (&Method::GET, ["kv"]) => StoreCall::List {
            prefix: "ochredrum/",
            from: value("from").map(|(_, v)| v.into()),
        },
        (&Method::GET, ["watch"]) => {
            let from = value("from").and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
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
    let now = began.elapsed().as_secs_f64();
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

/// Answers requests for machine types and machines; no machine can be rented.
async fn cloud(listed: Rc<RefCell<Vec<Value>>>, request: Request<Incoming>) -> Reply {
    let body = match request.uri().path() {
        "/flavors" => json!({"breeds": [{"label": "g8", "cores": 96, "cards": 8, "memGb": 768,
            "cacheGb": 200, "pullGbPerS": 1.0, "rate": 12.0, "marketPrice": 4.5, "bootS": 45,
            "yards": ["a"]}]}),
        "/rentals" if request.method() == Method::GET => {
            json!({"drumheads": *listed.borrow(), "more": false})
        }
        _ => {
            let none = encode(&json!({"error": "no capacity"}));
            return reply(503, none, MESSAGE_PACK);
        }
    };
    reply(200, encode(&body), MESSAGE_PACK)
}

/// Listens on a free port of the usual loopback address.
pub async fn listen() -> (TcpListener, SocketAddr) {
    listen_at(IpAddr::V4(Ipv4Addr::LOCALHOST)).await
}

async fn listen_at(address: IpAddr) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((address, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A separate loopback address for each deployment. Its programs listen on ports that were free a moment before; on a
/// shared address a connection of another test could occupy such a port first, and the program would exit.
fn address_of_next_deployment() -> IpAddr {
    static DEPLOYMENTS: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id().to_be_bytes();
    let deployment = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, process[2] | 1, process[3], deployment))
}

/// The settings file of a single controller.
pub fn settings(
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

/// A running program, killed when dropped.
pub struct Program(Child);

impl Program {
    /// Sends a signal to this process alone.
    pub fn signal(&self, name: &str) {
        let process = self.0.id().to_string();
        let sent = Command::new("sh")
            .args(["-c", "kill -s \"$0\" \"$1\"", name, &process])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "SIG{name} to a child"
        );
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // It may have exited already.
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

/// Starts the program with a settings file.
pub fn start(settings: &std::path::Path) -> Program {
    start_with(settings, None)
}

/// Starts the program with a settings file and perhaps a features file.
pub fn start_with(settings: &std::path::Path, features: Option<&std::path::Path>) -> Program {
    let program = env!("CARGO_BIN_EXE_ochredrum");
    let mut command = Command::new(program);
    if let Some(features) = features {
        command.arg("--features").arg(features);
    }
    command.arg("--config").arg(settings).stderr(Stdio::null());
    Program(command.spawn().unwrap())
}

/// Writes a settings file and returns its path.
pub fn settings_file(name: &str, text: &str) -> std::path::PathBuf {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::File::create(&path)
        .unwrap()
        .write_all(text.as_bytes())
        .unwrap();
    path
}

/// Sends a request and returns the status and the decoded body.
pub async fn ask(
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

/// Repeats a request until it has the expected status.
pub async fn until(client: &Client, method: Method, path: &str, body: &[u8], status: u16) -> Value {
    let began = Instant::now();
    loop {
        let answer = ask(client, method.clone(), path, body.to_vec()).await;
        match answer {
            Ok((seen, body)) if seen == status => return body,
            other => assert!(began.elapsed() < WAIT, "{path}: {other:?} and not {status}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A submission of two tasks.
pub fn job(id: &str) -> Value {
    json!({"nameId": id, "herd": "train", "crew": "vision", "shape": "sweep", "urgency": "high",
        "beats": 2, "cores": 8.0, "cards": 1.0, "memGb": 64.0, "pressing": "img", "sizeGb": 6.2,
        "breeds": null, "samePlace": false, "apart": false, "loaners": true, "expectS": 24.0,
        "markEveryS": 3.0, "markS": 1.0})
}

/// How many connections a stand-in accepts.
pub const MAX_CONNECTIONS: usize = 100;

/// The addresses of one or more controllers, with running stand-ins for the store and the cloud.
pub struct Deployment {
    /// The address for users and workers of the first controller.
    pub front: SocketAddr,
    /// The addresses for users and workers of all controllers.
    pub fronts: Vec<SocketAddr>,
    meshes: Vec<SocketAddr>,
    cloud: SocketAddr,
    store: SocketAddr,
    listed: Rc<RefCell<Vec<Value>>>,
}

impl Deployment {
    /// A deployment of one controller.
    pub async fn new() -> Self {
        Self::of(1).await
    }

    /// A deployment of this many controllers. The stand-ins run from now on.
    pub async fn of(controllers: usize) -> Self {
        let mut store = Store::default();
        store.page_size = ITEMS_IN_PAGE;
        let store = Rc::new(RefCell::new(store));
        let began = Instant::now();
        let (listener, store_at) = listen().await;
        spawn_local(serve(listener, MAX_CONNECTIONS, move |request| {
            store_service(store.clone(), began, request)
        }));
        let (listener, cloud_at) = listen().await;
        let listed = Rc::new(RefCell::new(Vec::new()));
        let at_cloud = listed.clone();
        spawn_local(serve(listener, MAX_CONNECTIONS, move |request| {
            cloud(at_cloud.clone(), request)
        }));
        let (mut fronts, mut meshes, mut listeners) = (Vec::new(), Vec::new(), Vec::new());
        let address = address_of_next_deployment();
        for _ in 0..controllers {
            let (front, front_at) = listen_at(address).await;
            let (mesh, mesh_at) = listen_at(address).await;
            listeners.extend([front, mesh]);
            fronts.push(front_at);
            meshes.push(mesh_at);
        }
        drop(listeners);
        Self {
            front: fronts[0],
            fronts,
            meshes,
            cloud: cloud_at,
            store: store_at,
            listed,
        }
    }

    /// The settings of the first controller.
    pub fn settings(&self) -> String {
        self.settings_of(0)
    }

    /// The address of a controller for its siblings.
    pub fn mesh_of(&self, node: usize) -> SocketAddr {
        self.meshes[node]
    }

    /// The settings of a controller.
    pub fn settings_of(&self, node: usize) -> String {
        let text = settings(self.fronts[node], self.meshes[node], self.cloud, self.store);
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

    /// Starts workers that report to the controllers and are listed by the cloud, and returns the history of their tasks.
    pub async fn start_fleet(&self, machines: usize, lease: Duration) -> Rc<RefCell<History>> {
        let nodes = (0..self.fronts.len()).map(|node| (format!("n{node}"), self.fronts[node]));
        let nodes: Vec<(String, SocketAddr)> = nodes.collect();
        let (history, listed) = fleet::start_fleet(machines, &nodes, lease, LIMIT_GPUS).await;
        *self.listed.borrow_mut() = listed;
        history
    }
}
