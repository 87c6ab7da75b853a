//! The client of the key-value store. It makes one attempt per call, with a timeout; the core decides about
//! retries.
//!
//! Protocol names: the store's paths (`/kv`, `/watch`, `/multi`, `/leases`) and query parameters.

use crate::core::effects::{StoreCall, StoreReply};
use crate::http::{Client, RequestError};
use crate::wire::{Changes, CommitResponse, LeaseRequest, LeaseResponse, Listing, decode, encode};
use hyper::Method;
use std::time::Duration;

/// Greatest number of entries on one page of a listing.
const PAGE_ENTRIES: usize = 500;

/// Makes the calls of the core to the key-value store.
pub struct StoreClient {
    client: Client,
    timeout: Duration,
}

impl StoreClient {
    /// Creates a client whose calls fail after `timeout`.
    pub fn new(client: Client, timeout: Duration) -> Self {
        Self { client, timeout }
    }

    /// Makes one attempt at a call and returns its outcome.
    pub async fn call(&self, call: StoreCall) -> StoreReply {
        let (method, path, body) = build_request(&call);
        match self.client.send(method, &path, body, self.timeout).await {
            Ok((status, body)) => interpret_response(&call, status, &body),
            Err(RequestError::NotSent) => StoreReply::Refused,
            Err(RequestError::OutcomeUnknown) => StoreReply::Unknown,
        }
    }
}

/// The method, path and body of a call.
fn build_request(call: &StoreCall) -> (Method, String, Vec<u8>) {
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

/// Returns the outcome of a call whose response has this status and body.
fn interpret_response(call: &StoreCall, status: u16, body: &[u8]) -> StoreReply {
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
        // The store answers with the same status to an expired lease and to an exceeded limit. Only
        // transactions that use a lease can meet an expired one.
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
            tracing::debug!(%status, ?call, "store answered with an unexpected status; the outcome of the call is unknown");
            StoreReply::Unknown
        }
    }
}

#[cfg(test)]
mod tests;
