//! Requests to the cloud: one attempt each, with a timeout. The core decides on retries.
//!
//! Protocol words: the cloud's paths (`/flavors`, `/rentals`) and query parameters.

use crate::core::effects::{CloudCall, CloudReply};
use crate::http::{Client, RequestError};
use crate::wire::{MachineIds, MachineList, MachineTypes, decode, encode};
use hyper::Method;
use std::time::Duration;

/// Machines that one page of the list may hold.
const PAGE_MACHINES: usize = 500;
/// The error with which the cloud refuses a rental that it has no machines for.
const NO_CAPACITY: &str = "no capacity";

/// A client of the cloud.
pub struct CloudClient {
    client: Client,
    timeout: Duration,
}

impl CloudClient {
    /// A client whose requests fail after `timeout`.
    pub fn new(client: Client, timeout: Duration) -> Self {
        Self { client, timeout }
    }

    /// Makes one attempt at a call.
    pub async fn call(&self, call: CloudCall) -> CloudReply {
        let (method, path, body) = request(&call);
        match self.client.send(method, &path, body, self.timeout).await {
            Ok((status, body)) => reply(&call, status, &body),
            Err(RequestError::NotSent) => CloudReply::Refused,
            Err(RequestError::Unknown) => CloudReply::Unknown,
        }
    }
}

/// The method, path and body of a call.
fn request(call: &CloudCall) -> (Method, String, Vec<u8>) {
    match call {
        CloudCall::Types => (Method::GET, "/flavors".to_owned(), Vec::new()),
        CloudCall::List { after } => {
            let after = after
                .as_ref()
                .map(|id| format!("from={id}&"))
                .unwrap_or_default();
            let path = format!("/rentals?{after}page={PAGE_MACHINES}");
            (Method::GET, path, Vec::new())
        }
        CloudCall::Rent(rental) => (Method::POST, "/rentals".into(), encode(rental)),
        CloudCall::Release(names) => (Method::POST, "/rentals/release".into(), encode(names)),
    }
}

/// What the response to a call means.
fn reply(call: &CloudCall, status: u16, body: &[u8]) -> CloudReply {
    match (status, call) {
        (200, CloudCall::Types) => {
            decode::<MachineTypes>(body).map_or(CloudReply::Unknown, CloudReply::Types)
        }
        (200, CloudCall::List { .. }) => {
            decode::<MachineList>(body).map_or(CloudReply::Unknown, CloudReply::List)
        }
        (200, CloudCall::Rent(_)) => {
            decode::<MachineIds>(body).map_or(CloudReply::Unknown, CloudReply::Rented)
        }
        (200, CloudCall::Release(_)) => CloudReply::Released,
        (503, CloudCall::Rent(_)) if has_error(body, NO_CAPACITY) => CloudReply::NoCapacity,
        (429 | 503, _) => CloudReply::Refused,
        _ => {
            tracing::error!(%status, ?call, "unexpected status of the cloud");
            CloudReply::Refused
        }
    }
}

fn has_error(body: &[u8], error: &str) -> bool {
    decode::<serde_json::Value>(body)
        .is_some_and(|answer| answer.get("error").is_some_and(|found| found == error))
}
