//! Users, and the load balancer through which they reach the controllers.

use crate::Record;
use hyper::Method;
use ochredrum::front::MESSAGE_PACK;
use ochredrum::http::Client;
use ochredrum::wire::{decode, encode};
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Users repeat a request that was not answered after this time, for up to a minute.
const RETRY: Duration = Duration::from_secs(1);
const GIVE_UP: Duration = Duration::from_secs(60);
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends each request on a new connection to the next controller in turn, and to the next one if that refuses
/// the connection.
#[derive(Clone)]
pub struct Users {
    record: Record,
    fronts: Rc<Vec<SocketAddr>>,
    next: Rc<Cell<usize>>,
}

/// A submission with the fields that most cases share.
pub fn job(id: &str, herd: &str, crew: &str, shape: &str, urgency: &str, beats: u32) -> Value {
    json!({"nameId": id, "herd": herd, "crew": crew, "shape": shape, "urgency": urgency, "beats": beats,
        "cores": 1.0, "cards": 0.0, "memGb": 4.8, "pressing": "img-01", "sizeGb": 1.0, "breeds": null,
        "yard": null, "samePlace": false, "apart": false, "loaners": true, "expectS": 15.0,
        "markEveryS": 0.0, "markS": 0.0, "dueS": null})
}

impl Users {
    pub fn new(record: &Record, fronts: Vec<SocketAddr>) -> Self {
        Self { record: record.clone(), fronts: Rc::new(fronts), next: Rc::default() }
    }

    /// Makes one attempt; `None` without an answer.
    pub async fn attempt(&self, method: Method, path: &str, body: &[u8], timeout: Duration) -> Option<(u16, Value)> {
        for _ in 0..self.fronts.len() {
            let node = self.next.get() % self.fronts.len();
            self.next.set(node + 1);
            let client = Client::new(self.fronts[node], MESSAGE_PACK, 0);
            match client.send(method.clone(), path, body.to_vec(), timeout).await {
                Ok((status, body)) => return Some((status, decode(&body).unwrap_or_default())),
                Err(ochredrum::http::RequestError::NotSent) => {}
                Err(ochredrum::http::RequestError::OutcomeUnknown) => return None,
            }
        }
        None
    }

    /// Repeats a request until it has a final answer, for up to a minute.
    async fn persist(&self, path: &str, body: &[u8], what: &str) -> Option<(u16, Value)> {
        let begun = Instant::now();
        loop {
            let answer = self.attempt(Method::POST, path, body, SUBMIT_TIMEOUT).await;
            match answer {
                Some((status @ (200 | 201 | 400 | 422), body)) => {
                    self.record.line(format!("user: {what} answered {status} {body}"));
                    return Some((status, body));
                }
                other => self.record.line(format!("user: {what} got {:?}, repeated", other.map(|answer| answer.0))),
            }
            if begun.elapsed() > GIVE_UP {
                return None;
            }
            sleep(RETRY).await;
        }
    }

    /// Submits a job until it is answered. Returns whether it was accepted.
    pub async fn submit(&self, job: &Value) -> bool {
        let id = job["nameId"].as_str().unwrap_or_default();
        let answer = self.persist("/v1/jobs", &encode(job), &format!("submit {id}")).await;
        answer.is_some_and(|(status, _)| status <= 201)
    }

    /// Cancels a job until that is answered.
    pub async fn withdraw(&self, id: &str) -> Option<Value> {
        let path = format!("/v1/jobs/{id}/withdraw");
        self.persist(&path, &[], &format!("withdraw {id}")).await.map(|(_, body)| body)
    }

    /// Asks once about a job. `None` unless the answer is 200 or 404.
    pub async fn poll(&self, id: &str) -> Option<(u16, Value)> {
        let path = format!("/v1/jobs/{id}");
        let answer = self.attempt(Method::GET, &path, &[], POLL_TIMEOUT).await;
        let shown = answer.as_ref().map(|(status, body)| format!("{status} {body}"));
        self.record.line(format!("user: poll {id}: {}", shown.unwrap_or("no answer".into())));
        answer.filter(|(status, _)| matches!(status, 200 | 404))
    }
}
