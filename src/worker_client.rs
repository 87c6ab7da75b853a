//! Commands that are sent to a machine's worker directly, instead of in the answer to a heartbeat.

use crate::core::effects::WorkerReply;
use crate::front::MESSAGE_PACK;
use crate::http::{Client, RequestError};
use crate::wire::{DirectCommands, decode, encode};
use hyper::Method;
use std::time::Duration;

/// The worker's path for commands.
const COMMANDS_PATH: &str = "/do";

/// Makes one attempt to send commands, on a connection of its own: there are many machines and few
/// sockets, so none is kept open.
pub async fn send(address: &str, commands: &DirectCommands, timeout: Duration) -> WorkerReply {
    let Ok(address) = address.parse() else {
        return WorkerReply::NotSent;
    };
    let client = Client::new(address, MESSAGE_PACK, 0);
    let body = encode(commands);
    match client
        .send(Method::POST, COMMANDS_PATH, body, timeout)
        .await
    {
        Ok((200, body)) => decode(&body).map_or(WorkerReply::Unknown, WorkerReply::Executed),
        Ok((409, body)) => decode(&body).map_or(WorkerReply::Unknown, WorkerReply::Fenced),
        Ok(_) | Err(RequestError::Unknown) => WorkerReply::Unknown,
        Err(RequestError::NotSent) => WorkerReply::NotSent,
    }
}
