//! The client of workers, for commands that do not wait for the next heartbeat.

use crate::core::effects::WorkerReply;
use crate::front::MESSAGE_PACK;
use crate::http::{Client, RequestError};
use crate::wire::{DirectCommands, decode, encode};
use hyper::Method;
use std::time::Duration;

/// HTTP path of the worker for commands.
const COMMANDS_PATH: &str = "/do";

/// Makes one attempt to send commands. It opens a connection and closes it afterwards, because there are more
/// machines than sockets.
pub async fn send_commands(
    address: &str,
    commands: &DirectCommands,
    timeout: Duration,
) -> WorkerReply {
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
        Ok(_) | Err(RequestError::OutcomeUnknown) => WorkerReply::Unknown,
        Err(RequestError::NotSent) => WorkerReply::NotSent,
    }
}
