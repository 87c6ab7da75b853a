//! The state service: a key-value store with versions, conditions, leases and a log of changes.

use crate::{MAX_CONNECTIONS, listen};
use hyper::body::Incoming;
use hyper::{Method, Request};
use ochredrum::front::MESSAGE_PACK;
use ochredrum::http::{Reply, read_body, reply, serve};
use ochredrum::wire::{BODY_LIMIT, Transaction, Write, decode, encode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Changes that the service keeps for watches.
const KEPT_CHANGES: usize = 10_000;
/// Most entries and bytes in one page of a listing.
const PAGE_ITEMS: usize = 1_000;
const PAGE_BYTES: usize = 512 * 1024;
/// Time that a response takes.
const LATENCY: Duration = Duration::from_millis(5);

/// The limits in the settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Key {
    data: Value,
    stamp: u64,
    tenure: Option<u64>,
}

struct Lease {
    life: Duration,
    ends: Instant,
}

/// A rate limit with a burst of one second's worth.
struct Rate {
    per_s: f64,
    left: f64,
    at: Instant,
}

impl Rate {
    fn new(per_s: f64) -> Self {
        Self { per_s, left: per_s, at: Instant::now() }
    }

    fn take(&mut self, count: f64) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.at).as_secs_f64() * self.per_s;
        self.left = (self.left + gained).min(self.per_s);
        self.at = now;
        let allowed = self.left >= count;
        if allowed {
            self.left -= count;
        }
        allowed
    }
}

/// The content of the service.
pub struct State {
    /// While set, every request gets 503.
    pub outage: bool,
    /// Share of transactions that get no answer and are carried out late.
    pub late_share: f64,
    /// Share of transactions that are carried out at once and get no answer.
    pub lost_share: f64,
    outage_ended: bool,
    limits: Limits,
    keys: BTreeMap<String, Key>,
    leases: BTreeMap<u64, Lease>,
    ledger: u64,
    log: std::collections::VecDeque<(u64, Value)>,
    last_lease: u64,
    requests: Rate,
    writes: Rate,
}

type Outcome = (u16, Value);

impl State {
    pub fn new(limits: Limits) -> Self {
        Self {
            outage: false,
            late_share: 0.0,
            lost_share: 0.0,
            outage_ended: false,
            limits,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            ledger: 0,
            log: std::collections::VecDeque::new(),
            last_lease: 0,
            requests: Rate::new(limits.rps),
            writes: Rate::new(limits.write_rps),
        }
    }

    /// Number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.keys.range(prefix.to_owned()..).take_while(|(key, _)| key.starts_with(prefix)).count()
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.keys.get(key).map(|key| key.data.clone())
    }

    /// Writes a key as a transaction of one write does.
    pub fn preload(&mut self, key: &str, data: Value) {
        self.ledger += 1;
        self.apply(Write::Put { key: key.to_owned(), value: data, lease: None });
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|(_, lease)| lease.ends < now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached: Vec<String> =
            self.keys.iter().filter(|(_, key)| key.tenure == Some(id)).map(|(name, _)| name.clone()).collect();
        if !attached.is_empty() {
            self.ledger += 1;
        }
        for name in attached {
            self.apply(Write::Delete { key: name });
        }
    }

    fn apply(&mut self, write: Write) {
        let stamp = self.ledger;
        let entry = match write {
            Write::Put { key, value, lease } => {
                let entry = json!({"write": key, "data": value, "stamp": stamp});
                self.keys.insert(key, Key { data: value, stamp, tenure: lease });
                entry
            }
            Write::Delete { key } => {
                self.keys.remove(&key);
                json!({"drop": key, "stamp": stamp})
            }
        };
        self.log.push_back((stamp, entry));
        if self.log.len() > KEPT_CHANGES {
            self.log.pop_front();
        }
    }

    fn multi(&mut self, transaction: Transaction, bytes: usize) -> Outcome {
        let writes = transaction.writes.len();
        if !self.writes.take(writes as f64) {
            return (429, json!({}));
        }
        let value_limit = self.limits.value_kb * 1024.0;
        let too_large = transaction.writes.iter().any(|write| write.value_bytes() as f64 > value_limit);
        if too_large
            || bytes > BODY_LIMIT
            || writes > self.limits.txn_ops
            || transaction.preconditions.len() > self.limits.txn_ops * 4
        {
            return (400, json!({"error": "too large"}));
        }
        let no_lease = transaction.writes.iter().any(|write| match write {
            Write::Put { lease: Some(lease), .. } => !self.leases.contains_key(lease),
            _ => false,
        });
        if no_lease {
            return (400, json!({"error": "no such lease"}));
        }
        let stamp = |name: &String| self.keys.get(name).map_or(0, |key| key.stamp);
        let failed: Vec<&String> = transaction
            .preconditions
            .iter()
            .filter(|guard| stamp(&guard.key) != guard.version)
            .map(|guard| &guard.key)
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger": self.ledger}));
        }
        if !transaction.writes.is_empty() {
            self.ledger += 1;
        }
        for write in transaction.writes {
            self.apply(write);
        }
        (200, json!({"ledger": self.ledger}))
    }

    fn list(&self, prefix: &str, from: &str, page: usize) -> Outcome {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (name, key) in self.keys.range(prefix.to_owned()..) {
            if !name.starts_with(prefix) {
                break;
            }
            if name.as_str() <= from {
                continue;
            }
            let entry = json!({"key": name, "data": key.data, "stamp": key.stamp});
            bytes += entry.to_string().len();
            if entries.len() >= page.min(PAGE_ITEMS) || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            entries.push(entry);
        }
        (200, json!({"entries": entries, "more": more, "ledger": self.ledger}))
    }

    fn watch(&self, prefix: &str, from: u64) -> Outcome {
        if self.log.len() >= KEPT_CHANGES && self.log.front().is_some_and(|(first, _)| *first > from + 1) {
            return (410, json!({}));
        }
        let start = self.log.partition_point(|(stamp, _)| *stamp <= from);
        let log: Vec<&Value> = self
            .log
            .iter()
            .skip(start)
            .map(|(_, entry)| entry)
            .filter(|entry| {
                let name = entry.get("write").or(entry.get("drop")).and_then(Value::as_str);
                name.is_some_and(|name| name.starts_with(prefix))
            })
            .collect();
        (200, json!({"ledger": self.ledger, "log": log}))
    }

    fn answer(&mut self, method: &Method, path: &str, query: &str, body: &[u8]) -> Outcome {
        if self.outage {
            self.outage_ended = true;
            return (503, json!({"error": "trouble"}));
        }
        if std::mem::take(&mut self.outage_ended) {
            // After an outage every lease has its full time again.
            for lease in self.leases.values_mut() {
                lease.ends = Instant::now() + lease.life;
            }
        }
        self.expire();
        if !self.requests.take(1.0) {
            return (429, json!({}));
        }
        let parameter = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
                .map_or("", |(_, value)| value)
        };
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            (&Method::GET, ["kv"]) => {
                let page = parameter("page").parse().unwrap_or(PAGE_ITEMS);
                self.list(parameter("prefix"), parameter("from"), page)
            }
            (&Method::GET, ["watch"]) => self.watch(parameter("prefix"), parameter("from").parse().unwrap_or(0)),
            (&Method::POST, ["multi"]) => match decode::<Transaction>(body) {
                Some(transaction) => self.multi(transaction, body.len()),
                None => (400, json!({})),
            },
            (&Method::POST, ["leases"]) => {
                let life = decode::<Value>(body).and_then(|body| body["lifeMs"].as_u64());
                let life = Duration::from_millis(life.unwrap_or(1000));
                self.last_lease += 1;
                self.leases.insert(self.last_lease, Lease { life, ends: Instant::now() + life });
                (200, json!({"tenure": self.last_lease}))
            }
            (&Method::POST, ["leases", id, "renew"]) => {
                match id.parse().ok().and_then(|id: u64| self.leases.get_mut(&id)) {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.life;
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            (&Method::DELETE, ["leases", id]) => {
                match id.parse().ok().filter(|id: &u64| self.leases.contains_key(id)) {
                    Some(id) => {
                        self.end_lease(id);
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            _ => (400, json!({})),
        }
    }
}

/// A random number below 1.
fn draw() -> f64 {
    StdRng::from_os_rng().random_range(0.0..1.0)
}

async fn handle(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Reply {
    let (method, uri) = (request.method().clone(), request.uri().clone());
    let Ok(body) = read_body(request.into_body(), BODY_LIMIT * 2, Duration::from_secs(10)).await else {
        return reply(400, Vec::new(), MESSAGE_PACK);
    };
    sleep(LATENCY).await;
    if uri.path() == "/multi" && !state.borrow().outage {
        let (late, lost) = (state.borrow().late_share, state.borrow().lost_share);
        let drawn = draw();
        if drawn < late {
            let pause = Duration::from_secs_f64(2.0 + 10.0 * draw());
            spawn_local(async move {
                sleep(pause).await;
                state.borrow_mut().answer(&method, uri.path(), "", &body);
            });
            return std::future::pending().await;
        } else if drawn < late + lost {
            state.borrow_mut().answer(&method, uri.path(), "", &body);
            return std::future::pending().await;
        }
    }
    let (status, body) = state.borrow_mut().answer(&method, uri.path(), uri.query().unwrap_or(""), &body);
    reply(status, encode(&body), MESSAGE_PACK)
}

/// Starts the service and returns its address.
pub async fn start(limits: Limits) -> (Rc<RefCell<State>>, SocketAddr) {
    let state = Rc::new(RefCell::new(State::new(limits)));
    let (listener, address) = listen().await;
    let served = state.clone();
    spawn_local(serve(listener, MAX_CONNECTIONS, move |request| handle(served.clone(), request)));
    (state, address)
}
