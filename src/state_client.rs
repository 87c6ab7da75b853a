//! Requests to the state service: one try each, with a deadline; the core decides on repeats.

use crate::core::effects::{StoreCall, StoreReply};
use crate::http::{Client, Failure};
use crate::wire::{Changes, LeaseId, LeaseTtl, Listing, Revision, decode, encode};
use hyper::Method;
use std::time::Duration;

const PAGE: usize = 500;

pub struct StateClient {
    client: Client,
    deadline: Duration,
}

impl StateClient {
    pub fn new(client: Client, deadline: Duration) -> Self {
        Self { client, deadline }
    }

    pub async fn call(&self, call: StoreCall) -> StoreReply {
        let (method, path, body) = request(&call);
        match self.client.send(method, &path, body, self.deadline).await {
            Ok((status, body)) => reply(&call, status, &body),
            Err(Failure::NotSent) => StoreReply::Refused,
            Err(Failure::Unknown) => StoreReply::Unknown,
        }
    }
}

fn request(call: &StoreCall) -> (Method, String, Vec<u8>) {
    match call {
        StoreCall::List { prefix, from } => {
            let from = from
                .as_ref()
                .map(|key| format!("&from={key}"))
                .unwrap_or_default();
            (
                Method::GET,
                format!("/kv?prefix={prefix}{from}&page={PAGE}"),
                Vec::new(),
            )
        }
        StoreCall::Changes { prefix, from } => (
            Method::GET,
            format!("/watch?prefix={prefix}&from={from}&waitMs=0"),
            Vec::new(),
        ),
        StoreCall::Commit(transaction) => (Method::POST, "/multi".into(), encode(transaction)),
        StoreCall::LeaseCreate { ttl_ms } => (
            Method::POST,
            "/leases".into(),
            encode(&LeaseTtl { ttl_ms: *ttl_ms }),
        ),
        StoreCall::LeaseRenew { lease } => {
            (Method::POST, format!("/leases/{lease}/renew"), Vec::new())
        }
        StoreCall::LeaseEnd { lease } => (Method::DELETE, format!("/leases/{lease}"), Vec::new()),
    }
}

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
        (410, StoreCall::Changes { .. }) => StoreReply::TooOld,
        (200, StoreCall::Commit(_)) => decode::<Revision>(body)
            .map_or(StoreReply::Unknown, |answer| {
                StoreReply::Committed(answer.revision)
            }),
        (409, StoreCall::Commit(_)) => StoreReply::Conflict,
        // The service names a lease that has ended and a broken limit alike.
        (400, StoreCall::Commit(transaction)) if transaction.has_lease() => StoreReply::LeaseGone,
        (400, StoreCall::Commit(_)) => StoreReply::Rejected,
        (200, StoreCall::LeaseCreate { .. }) => decode::<LeaseId>(body)
            .map_or(StoreReply::Unknown, |answer| {
                StoreReply::Lease(answer.lease)
            }),
        (200 | 204, StoreCall::LeaseRenew { .. } | StoreCall::LeaseEnd { .. }) => StoreReply::Done,
        (404, StoreCall::LeaseRenew { .. } | StoreCall::LeaseEnd { .. }) => StoreReply::LeaseGone,
        _ => {
            tracing::debug!("state service: unexpected status {status} for {call:?}");
            StoreReply::Unknown
        }
    }
}

#[cfg(test)]
mod tests;
