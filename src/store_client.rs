//! Requests to the key-value store: one attempt each, with a timeout. The core decides on retries.
//!
//! Protocol words: the store's paths (`/kv`, `/watch`, `/multi`, `/leases`) and query parameters.

use crate::core::effects::{StoreCall, StoreReply};
use crate::http::{Client, RequestError};
use crate::wire::{Changes, CommitResponse, LeaseRequest, LeaseResponse, Listing, decode, encode};
use hyper::Method;
use std::time::Duration;

/// Entries that one page of a listing may hold.
const PAGE_ENTRIES: usize = 500;

/// A client of the key-value store.
pub struct StoreClient {
    client: Client,
    timeout: Duration,
}

impl StoreClient {
    /// A client whose requests fail after `timeout`.
    pub fn new(client: Client, timeout: Duration) -> Self {
        Self { client, timeout }
    }

    /// Makes one attempt at a call.
    pub async fn call(&self, call: StoreCall) -> StoreReply {
        let (method, path, body) = request(&call);
        match self.client.send(method, &path, body, self.timeout).await {
            Ok((status, body)) => reply(&call, status, &body),
            Err(RequestError::NotSent) => StoreReply::Refused,
            Err(RequestError::Unknown) => StoreReply::Unknown,
        }
    }
}

/// The method, path and body of a call.
fn request(call: &StoreCall) -> (Method, String, Vec<u8>) {
    match call {
        StoreCall::List { prefix, from } => {
            let from = from
                .as_ref()
                .map(|key| format!("&from={key}"))
                .unwrap_or_default();
            let path = format!("/kv?prefix={prefix}{from}&page={PAGE_ENTRIES}");
            (Method::GET, path, Vec::new())
        }
        StoreCall::Changes { prefix, from } => {
            let path = format!("/watch?prefix={prefix}&from={from}&waitMs=0");
            (Method::GET, path, Vec::new())
        }
        StoreCall::Commit(transaction) => (Method::POST, "/multi".into(), encode(transaction)),
        StoreCall::LeaseCreate { ttl_ms } => {
            let ttl = LeaseRequest { ttl_ms: *ttl_ms };
            (Method::POST, "/leases".into(), encode(&ttl))
        }
        StoreCall::LeaseRenew { lease } => {
            (Method::POST, format!("/leases/{lease}/renew"), Vec::new())
        }
        StoreCall::LeaseEnd { lease } => (Method::DELETE, format!("/leases/{lease}"), Vec::new()),
    }
}

/// What the response to a call means.
fn reply(call: &StoreCall, status: u16, body: &[u8]) -> StoreReply {
    match (status, call) {
        (429, _) => StoreReply::Busy,
        (503, _) => StoreReply::Refused,
        (200, StoreCall::List { .. }) => {
            decode::<Listing>(body).map_or(StoreReply::Unknown, StoreReply::Listing)
        }
        (200, StoreCall::Changes { .. }) => {
            decode::<Changes>(body).map_or(StoreReply::Unknown, StoreReply::Changes)
        }
        (410, StoreCall::Changes { .. }) => StoreReply::Compacted,
        (200, StoreCall::Commit(_)) => decode::<CommitResponse>(body)
            .map_or(StoreReply::Unknown, |answer| {
                StoreReply::Committed(answer.revision)
            }),
        (409, StoreCall::Commit(_)) => StoreReply::Conflict,
        // The store answers an expired lease and an exceeded limit with the same status.
        (400, StoreCall::Commit(transaction)) if transaction.has_lease() => {
            StoreReply::LeaseNotFound
        }
        (400, StoreCall::Commit(_)) => StoreReply::Rejected,
        (200, StoreCall::LeaseCreate { .. }) => decode::<LeaseResponse>(body)
            .map_or(StoreReply::Unknown, |answer| {
                StoreReply::LeaseCreated(answer.lease)
            }),
        (200 | 204, StoreCall::LeaseRenew { .. } | StoreCall::LeaseEnd { .. }) => StoreReply::Done,
        (404, StoreCall::LeaseRenew { .. } | StoreCall::LeaseEnd { .. }) => {
            StoreReply::LeaseNotFound
        }
        _ => {
            tracing::debug!(%status, ?call, "unexpected status of the store");
            StoreReply::Unknown
        }
    }
}

#[cfg(test)]
mod tests;
