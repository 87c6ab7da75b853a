//! The real program over loopback, against stand-ins that speak HTTP.

#[path = "world/state.rs"]
mod state;

use hyper::body::Incoming;
use hyper::{Method, Request};
use ochredrum::core::{StateCall, StateReply};
use ochredrum::front::MESSAGE_PACK;
use ochredrum::http::{Bounds, Client, Failure, Reply, read_body, reply, serve};
use ochredrum::wire::{Transaction, decode, encode};
use serde_json::{Value, json};
use state::State;
use std::cell::RefCell;
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

const WAIT: Duration = Duration::from_secs(10);

/// Answers requests as the state service's pages say.
async fn state_service(
    state: Rc<RefCell<State>>,
    began: Instant,
    request: Request<Incoming>,
) -> Reply {
    let (method, uri) = (request.method().clone(), request.uri().clone());
    let Ok(body) = read_body(request.into_body(), 64 * 1024, WAIT).await else {
        return reply(400, Vec::new(), MESSAGE_PACK);
    };
    let query = uri.query().unwrap_or("");
    let value = |name: &str| {
        query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
    };
    let parts: Vec<&str> = uri.path().trim_matches('/').split('/').collect();
    let call = match (&method, parts.as_slice()) {
        (&Method::GET, ["kv"]) => {
            StateCall::List { prefix: "ochredrum/", from: value("from").map(|(_, v)| v.into()) }
        }
        (&Method::GET, ["watch"]) => {
            let from = value("from").and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
            StateCall::Changes { prefix: "ochredrum/", from }
        }
        (&Method::POST, ["multi"]) => match decode::<Transaction>(&body) {
            Some(transaction) => StateCall::Commit(transaction),
            None => return reply(400, Vec::new(), MESSAGE_PACK),
        },
        (&Method::POST, ["leases"]) => {
            let ttl = decode::<Value>(&body).and_then(|v| v["lifeMs"].as_u64()).unwrap_or(0);
            StateCall::LeaseCreate { ttl_ms: ttl }
        }
        (&Method::POST, ["leases", id, "renew"]) => {
            StateCall::LeaseRenew { lease: id.parse().unwrap_or(0) }
        }
        (&Method::DELETE, ["leases", id]) => StateCall::LeaseEnd { lease: id.parse().unwrap_or(0) },
        _ => return reply(400, Vec::new(), MESSAGE_PACK),
    };
    let now = began.elapsed().as_secs_f64();
    let (status, body) = match state.borrow_mut().call(now, call, None) {
        StateReply::Listing(listing) => (200, encode(&listing)),
        StateReply::Changes(changes) => (200, encode(&changes)),
        StateReply::Committed(revision) => (200, encode(&json!({"ledger": revision}))),
        StateReply::Conflict => (409, encode(&json!({"failed": [], "ledger": 0}))),
        StateReply::Lease(lease) => (200, encode(&json!({"tenure": lease}))),
        StateReply::Done => (200, encode(&json!({}))),
        _ => (404, encode(&json!({}))),
    };
    reply(status, body, MESSAGE_PACK)
}

async fn cloud(request: Request<Incoming>) -> Reply {
    let body = match request.uri().path() {
        "/flavors" => json!({"breeds": [{"label": "g8", "cores": 96, "cards": 8, "memGb": 768,
            "cacheGb": 200, "pullGbPerS": 1.0, "rate": 12.0, "marketPrice": 4.5, "bootS": 45,
            "yards": ["a"]}]}),
        "/rentals" if request.method() == Method::GET => json!({"drumheads": [], "more": false}),
        _ => {
            let none = encode(&json!({"error": "no capacity"}));
            return reply(503, none, MESSAGE_PACK);
        }
    };
    reply(200, encode(&body), MESSAGE_PACK)
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn settings(front: SocketAddr, mesh: SocketAddr, cloud: SocketAddr, state: SocketAddr) -> String {
    format!(
        r#"
host_name = "n0"
area = "a"
front = "{front}"
mesh_addr = "{mesh}"
something_new = 7
[services]
cloud = "{cloud}"
state = "{state}"
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

/// The program, ended with the test.
struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended already.
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

fn start(settings: &std::path::Path) -> Program {
    let program = env!("CARGO_BIN_EXE_ochredrum");
    let mut command = Command::new(program);
    command.arg("--config").arg(settings).stderr(Stdio::null());
    Program(command.spawn().unwrap())
}

fn settings_file(name: &str, text: &str) -> std::path::PathBuf {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::File::create(&path).unwrap().write_all(text.as_bytes()).unwrap();
    path
}

async fn ask(
    client: &Client,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<(u16, Value), Failure> {
    let (status, body) = client.send(method, path, body, Duration::from_secs(3)).await?;
    Ok((status, decode(&body).unwrap_or_default()))
}

/// Asks until the status is the one waited for.
async fn until(client: &Client, method: Method, path: &str, body: &[u8], status: u16) -> Value {
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

fn job(id: &str) -> Value {
    json!({"nameId": id, "herd": "train", "crew": "vision", "shape": "sweep", "urgency": "high",
        "beats": 2, "cores": 8.0, "cards": 1.0, "memGb": 64.0, "pressing": "img", "sizeGb": 6.2,
        "breeds": null, "samePlace": false, "apart": false, "loaners": true, "expectS": 24.0,
        "markEveryS": 3.0, "markS": 1.0})
}

#[test]
fn answers_statuses_and_survives_a_kill() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let state = Rc::new(RefCell::new(State::default()));
        let began = Instant::now();
        let bounds = Bounds { connections: 100, read: WAIT };
        let (listener, state_at) = listen().await;
        spawn_local(serve(listener, bounds, move |request| {
            state_service(state.clone(), began, request)
        }));
        let (listener, cloud_at) = listen().await;
        spawn_local(serve(listener, bounds, cloud));
        let ((front, front_at), (mesh, mesh_at)) = (listen().await, listen().await);
        drop((front, mesh));
        let file = settings_file("kill.toml", &settings(front_at, mesh_at, cloud_at, state_at));
        let program = start(&file);
        let client = Client::new(front_at, MESSAGE_PACK, 1);
        until(&client, Method::GET, "/healthz", &[], 200).await;

        let post = |body: Vec<u8>| ask(&client, Method::POST, "/v1/jobs", body);
        assert_eq!(post(vec![0xc1, 0xff]).await.unwrap().0, 400);
        assert_eq!(post(encode(&json!([1, 2]))).await.unwrap().0, 400);
        assert_eq!(post(Vec::new()).await.unwrap().0, 400);
        let mut wrong = job("req-000001");
        wrong["beats"] = json!(0);
        assert_eq!(post(encode(&wrong)).await.unwrap().0, 400);
        let mut large = job("req-000001");
        large["herd"] = json!("x".repeat(70_000));
        // Refused before it is read to its end: an answer, or a closed connection.
        assert!(matches!(post(encode(&large)).await, Ok((400, _)) | Err(Failure::Unknown)));
        for (field, value) in
            [("crew", json!("nobody")), ("cards", json!(9.0)), ("breeds", json!(["x"]))]
        {
            let mut never = job("req-000001");
            never[field] = value;
            assert_eq!(post(encode(&never)).await.unwrap().0, 422, "{field}");
        }
        assert_eq!(ask(&client, Method::GET, "/v1/jobs/req-000001", vec![]).await.unwrap().0, 404);
        assert_eq!(ask(&client, Method::GET, "/nowhere", vec![]).await.unwrap().0, 404);
        assert_eq!(ask(&client, Method::DELETE, "/v1/jobs", vec![]).await.unwrap().0, 405);

        let (status, body) = post(encode(&job("req-000001"))).await.unwrap();
        assert_eq!((status, body), (201, json!({"nameId": "req-000001", "stance": "pending"})));
        assert_eq!(post(encode(&job("req-000001"))).await.unwrap().0, 200);
        let cancel = "/v1/jobs/req-000002/withdraw";
        assert_eq!(post(encode(&job("req-000002"))).await.unwrap().0, 201);
        let (status, body) = ask(&client, Method::POST, cancel, vec![]).await.unwrap();
        assert_eq!((status, &body["stance"]), (200, &json!("withdrawn")));

        let needing = |id: &str, needed: Value| {
            let mut job = job(id);
            job["awaits"] = needed;
            post(encode(&job))
        };
        for wrong in [json!("req-000001"), json!(["r-1"]), json!([1])] {
            assert_eq!(needing("req-000003", wrong).await.unwrap().0, 400);
        }
        for never in ["req-000777", "req-000003"] {
            assert_eq!(needing("req-000003", json!([never])).await.unwrap().0, 422, "{never}");
        }
        let many: Vec<&str> = vec!["req-000001"; 2000];
        assert_eq!(needing("req-000003", json!(many)).await.unwrap().0, 201, "all the same one");
        let (status, body) =
            needing("req-000004", json!(["req-000003", "req-000002"])).await.unwrap();
        assert_eq!((status, &body["stance"]), (201, &json!("withdrawn")));
        assert_eq!(
            needing("req-000005", json!(["req-000004"])).await.unwrap().1["stance"],
            "withdrawn"
        );

        drop(program);
        let _program = start(&file);
        let body = until(&client, Method::GET, "/v1/jobs/req-000001", &[], 200).await;
        assert_eq!(body["stance"], "pending");
        let body = until(&client, Method::GET, "/v1/jobs/req-000002", &[], 200).await;
        assert_eq!(body["stance"], "withdrawn");
        assert_eq!(post(encode(&job("req-000002"))).await.unwrap().1["stance"], "withdrawn");
        for (id, stance) in [("3", "pending"), ("4", "withdrawn"), ("5", "withdrawn")] {
            let path = format!("/v1/jobs/req-00000{id}");
            assert_eq!(until(&client, Method::GET, &path, &[], 200).await["stance"], stance);
        }
    });
}

#[test]
fn bad_settings_end_the_program_with_the_fields_name() {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let good = settings(address, address, address, address);
    let run = |name: &str, text: &str| {
        let file = settings_file(name, text);
        let program = env!("CARGO_BIN_EXE_ochredrum");
        Command::new(program).arg("check-config").arg(file).output().unwrap()
    };
    assert!(run("good.toml", &good).status.success());
    for (from, to, field) in [
        ("lease_s = 4.0", "lease_s = -4.0", "deployment.workers.lease_s"),
        ("lease_s = 4.0", "", "lease_s"),
        ("txn_ops = 8", "txn_ops = \"8\"", "txn_ops"),
        ("txn_ops = 8", "txn_ops = 8\nnext = { txn_ops = 1 }", "deployment.state.next.txn_ops"),
        ("txn_ops = 8", "txn_ops = 8\nnext = { value_kb = 0.0 }", "deployment.state.next.value_kb"),
        ("host_name = \"n0\"", "host_name = \"\"", "host_name"),
    ] {
        let output = run("bad.toml", &good.replace(from, to));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{message}");
        assert!(message.contains(field) && message.lines().count() == 1, "{message}");
    }
}
