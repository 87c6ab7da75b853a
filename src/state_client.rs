//! Requests to the state service: one try each, with a deadline; the core decides on repeats.

use crate::core::{StateCall, StateReply};
use crate::http::{Client, Failure};
use crate::wire::{Changes, LeaseId, LeaseLife, Listing, Revision, decode, encode};
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

    pub async fn call(&self, call: StateCall) -> StateReply {
        let (method, path, body) = request(&call);
        match self.client.send(method, &path, body, self.deadline).await {
            Ok((status, body)) => reply(&call, status, &body),
            Err(Failure::NotSent) => StateReply::Refused,
            Err(Failure::Unknown) => StateReply::Unknown,
        }
    }
}

fn request(call: &StateCall) -> (Method, String, Vec<u8>) {
    match call {
        StateCall::List { prefix, from } => {
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
        StateCall::Changes { prefix, from } => (
            Method::GET,
            format!("/watch?prefix={prefix}&from={from}&waitMs=0"),
            Vec::new(),
        ),
        StateCall::Commit(transaction) => (Method::POST, "/multi".into(), encode(transaction)),
        StateCall::LeaseCreate { ttl_ms } => (
            Method::POST,
            "/leases".into(),
            encode(&LeaseLife { ttl_ms: *ttl_ms }),
        ),
        StateCall::LeaseRenew { lease } => {
            (Method::POST, format!("/leases/{lease}/renew"), Vec::new())
        }
        StateCall::LeaseEnd { lease } => (Method::DELETE, format!("/leases/{lease}"), Vec::new()),
    }
}

fn reply(call: &StateCall, status: u16, body: &[u8]) -> StateReply {
    match (status, call) {
        (429, _) => StateReply::Busy,
        (503, _) => StateReply::Refused,
        (200, StateCall::List { .. }) => {
            decode::<Listing>(body).map_or(StateReply::Unknown, StateReply::Listing)
        }
        (200, StateCall::Changes { .. }) => {
            decode::<Changes>(body).map_or(StateReply::Unknown, StateReply::Changes)
        }
        (410, StateCall::Changes { .. }) => StateReply::TooOld,
        (200, StateCall::Commit(_)) => decode::<Revision>(body)
            .map_or(StateReply::Unknown, |answer| {
                StateReply::Committed(answer.revision)
            }),
        (409, StateCall::Commit(_)) => StateReply::Conflict,
        // The service names a lease that has ended and a broken limit alike.
        (400, StateCall::Commit(transaction)) if transaction.has_lease() => StateReply::LeaseGone,
        (400, StateCall::Commit(_)) => StateReply::Rejected,
        (200, StateCall::LeaseCreate { .. }) => decode::<LeaseId>(body)
            .map_or(StateReply::Unknown, |answer| {
                StateReply::Lease(answer.lease)
            }),
        (200 | 204, StateCall::LeaseRenew { .. } | StateCall::LeaseEnd { .. }) => StateReply::Done,
        (404, StateCall::LeaseRenew { .. } | StateCall::LeaseEnd { .. }) => StateReply::LeaseGone,
        _ => {
            tracing::debug!("state service: unexpected status {status} for {call:?}");
            StateReply::Unknown
        }
    }
}

#[cfg(test)]
mod tests;
