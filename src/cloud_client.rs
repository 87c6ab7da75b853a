//! The client of the cloud. It makes one attempt per call, with a timeout; the core decides about retries.
//!
//! Protocol names: the cloud's paths (`/flavors`, `/rentals`) and query parameters.

use crate::core::effects::{CloudCall, CloudReply};
use crate::http::{Client, RequestError};
use crate::wire::{MachineIds, MachineList, MachineTypes, decode, encode};
use hyper::Method;
use std::time::Duration;

/// Greatest number of machines on one page of the list.
const PAGE_MACHINES: usize = 500;
/// The `error` of the cloud's answer to a rental if it has no machines left.
const NO_CAPACITY: &str = "no capacity";

/// Makes the calls of the core to the cloud.
pub struct CloudClient {
    client: Client,
    timeout: Duration,
}

impl CloudClient {
    /// Creates a client whose calls fail after `timeout`.
    pub fn new(client: Client, timeout: Duration) -> Self {
        Self { client, timeout }
    }

    /// Makes one attempt at a call and returns its outcome.
    pub async fn call(&self, call: CloudCall) -> CloudReply {
        let (method, path, body) = build_request(&call);
        match self.client.send(method, &path, body, self.timeout).await {
            Ok((status, body)) => interpret_response(&call, status, &body),
            Err(RequestError::NotSent) => CloudReply::Refused,
            Err(RequestError::OutcomeUnknown) => CloudReply::Unknown,
        }
    }
}

/// The method, path and body of a call.
fn build_request(call: &CloudCall) -> (Method, String, Vec<u8>) {
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
        CloudCall::Release(machines) => (Method::POST, "/rentals/release".into(), encode(machines)),
    }
}

/// Returns the outcome of a call whose response has this status and body.
fn interpret_response(call: &CloudCall, status: u16, body: &[u8]) -> CloudReply {
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
            tracing::error!(%status, ?call, "cloud answered with an unexpected status; the call counts as refused");
            CloudReply::Refused
        }
    }
}

/// Whether the body of a response has exactly this `error`.
fn has_error(body: &[u8], error: &str) -> bool {
    decode::<serde_json::Value>(body)
        .is_some_and(|answer| answer.get("error").is_some_and(|found| found == error))
}
