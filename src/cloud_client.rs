//! Requests to the cloud: one try each, with a deadline.

use crate::core::effects::{CloudCall, CloudReply};
use crate::http::{Client, Failure};
use crate::wire::{MachineList, MachineNames, MachineTypes, decode, encode};
use hyper::Method;
use std::time::Duration;

const PAGE: usize = 500;

pub struct CloudClient {
    client: Client,
    deadline: Duration,
}

impl CloudClient {
    pub fn new(client: Client, deadline: Duration) -> Self {
        Self { client, deadline }
    }

    pub async fn call(&self, call: CloudCall) -> CloudReply {
        let (method, path, body) = match &call {
            CloudCall::Types => (Method::GET, "/flavors".to_owned(), Vec::new()),
            CloudCall::List { after } => {
                let after = after
                    .as_ref()
                    .map(|id| format!("from={id}&"))
                    .unwrap_or_default();
                (
                    Method::GET,
                    format!("/rentals?{after}page={PAGE}"),
                    Vec::new(),
                )
            }
            CloudCall::Rent(rental) => (Method::POST, "/rentals".into(), encode(rental)),
            CloudCall::Release(names) => (Method::POST, "/rentals/release".into(), encode(names)),
        };
        let (status, body) = match self.client.send(method, &path, body, self.deadline).await {
            Ok(answer) => answer,
            Err(Failure::NotSent) => return CloudReply::Refused,
            Err(Failure::Unknown) => return CloudReply::Unknown,
        };
        match (status, &call) {
            (200, CloudCall::Types) => {
                decode::<MachineTypes>(&body).map_or(CloudReply::Unknown, CloudReply::Types)
            }
            (200, CloudCall::List { .. }) => {
                decode::<MachineList>(&body).map_or(CloudReply::Unknown, CloudReply::List)
            }
            (200, CloudCall::Rent(_)) => {
                decode::<MachineNames>(&body).map_or(CloudReply::Unknown, CloudReply::Rented)
            }
            (200, CloudCall::Release(_)) => CloudReply::Released,
            (503, CloudCall::Rent(_)) if says(&body, "no capacity") => CloudReply::NoCapacity,
            (429 | 503, _) => CloudReply::Refused,
            _ => {
                tracing::error!("cloud: unexpected status {status} for {call:?}");
                CloudReply::Refused
            }
        }
    }
}

fn says(body: &[u8], error: &str) -> bool {
    decode::<serde_json::Value>(body).is_some_and(|answer| answer["error"] == error)
}
