//! The cloud: a fixed set of machines that are up, and no capacity for more.

use crate::worker::Worker;
use crate::{MAX_CONNECTIONS, Record, listen};
use hyper::body::Incoming;
use hyper::{Method, Request};
use ochredrum::front::MESSAGE_PACK;
use ochredrum::http::{Reply, read_body, reply, serve};
use ochredrum::wire::{BODY_LIMIT, decode, encode};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// The machines that the cloud lists, and the machine types that it offers.
pub struct Cloud {
    record: Record,
    started: Instant,
    breeds: Value,
    machines: RefCell<BTreeMap<String, Worker>>,
}

impl Cloud {
    /// Adds a machine that is up.
    pub fn add(&self, worker: Worker) {
        self.machines.borrow_mut().insert(worker.id(), worker);
    }

    fn list(&self, from: &str) -> Value {
        let held = self.started.elapsed().as_secs_f64() + 600.0;
        let machines = self.machines.borrow();
        let listed: Vec<Value> = machines
            .values()
            .filter(|worker| worker.id().as_str() > from)
            .map(|worker| {
                json!({"nameId": worker.id(), "address": worker.address(), "breed": worker.breed(),
                    "yard": worker.yard(), "loaners": false, "stance": worker.stance(), "heldS": held})
            })
            .collect();
        json!({"drumheads": listed, "more": false})
    }

    fn release(&self, body: &[u8]) {
        let names = decode::<Value>(body).unwrap_or_default();
        for name in names["drumheads"].as_array().into_iter().flatten() {
            if let Some(worker) = self.machines.borrow_mut().remove(name.as_str().unwrap_or("")) {
                self.record.line(format!("cloud: {} returned", worker.id()));
                worker.end();
            }
        }
    }
}

async fn handle(cloud: Rc<Cloud>, request: Request<Incoming>) -> Reply {
    let (method, uri) = (request.method().clone(), request.uri().clone());
    let Ok(body) = read_body(request.into_body(), BODY_LIMIT, Duration::from_secs(10)).await else {
        return reply(400, Vec::new(), MESSAGE_PACK);
    };
    let (status, body) = match (&method, uri.path()) {
        (&Method::GET, "/flavors") => (200, cloud.breeds.clone()),
        (&Method::GET, "/rentals") => {
            let from = uri.query().unwrap_or("").split('&').find_map(|pair| pair.strip_prefix("from="));
            (200, cloud.list(from.unwrap_or("")))
        }
        (&Method::POST, "/rentals/release") => {
            cloud.release(&body);
            (200, json!({}))
        }
        (&Method::POST, "/rentals") => (503, json!({"error": "no capacity"})),
        _ => (400, json!({})),
    };
    reply(status, encode(&body), MESSAGE_PACK)
}

/// Starts the cloud and returns its address.
pub async fn start(record: &Record, breeds: Value) -> (Rc<Cloud>, SocketAddr) {
    let cloud =
        Rc::new(Cloud { record: record.clone(), started: Instant::now(), breeds, machines: RefCell::default() });
    let (listener, address) = listen().await;
    let served = cloud.clone();
    spawn_local(serve(listener, MAX_CONNECTIONS, move |request| handle(served.clone(), request)));
    (cloud, address)
}
