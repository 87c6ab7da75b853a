//! Commands sent straight to a machine's worker.

use crate::core::effects::WorkerReply;
use crate::http::{Client, Failure};
use crate::wire::{DirectCommands, decode, encode};
use hyper::Method;
use std::time::Duration;

/// One try on a connection of its own: there are many machines and few sockets.
pub async fn send(address: &str, commands: &DirectCommands, deadline: Duration) -> WorkerReply {
    let Ok(address) = address.parse() else {
        return WorkerReply::NotSent;
    };
    let client = Client::new(address, crate::front::MESSAGE_PACK, 0);
    match client
        .send(Method::POST, "/do", encode(commands), deadline)
        .await
    {
        Ok((200, body)) => decode(&body).map_or(WorkerReply::Unknown, WorkerReply::Executed),
        Ok((409, body)) => decode(&body).map_or(WorkerReply::Unknown, WorkerReply::Fenced),
        Ok(_) | Err(Failure::Unknown) => WorkerReply::Unknown,
        Err(Failure::NotSent) => WorkerReply::NotSent,
    }
}
