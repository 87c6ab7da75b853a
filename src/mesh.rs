//! The listener for other controllers (CBOR over HTTP) and for operators (JSON), and the client for other
//! controllers.

use crate::config::ProcessLimits;
use crate::core::effects::Body;
use crate::core::messages::mesh::{MeshMessage, MeshReply};
use crate::http::{self, Client, Reply};
use crate::inbox::{ExternalRequest, Inbox};
use crate::status::{JSON_CONTENT_TYPE, STATUS_PATH};
use hyper::body::Incoming;
use hyper::{Method, Request};
use serde::Serialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const CBOR: &str = "application/cbor";
const MESH_PATH: &str = "/mesh/v1";
/// Connections to one sibling that are kept for later messages.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// The part of a process's memory that one message may take: a hello lists every running job and machine.
const MESSAGE_MEMORY_FRACTION: f64 = 1.0 / 16.0;
/// The lowest limit on a message, in bytes, however little memory the process has.
const MIN_MESSAGE_LIMIT: usize = 1024 * 1024;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// The largest message that is accepted, in bytes.
pub fn message_limit(limits: &ProcessLimits) -> usize {
    let bytes = limits.mem_mb * BYTES_PER_MB * MESSAGE_MEMORY_FRACTION;
    #[expect(
        clippy::cast_possible_truncation,
        reason = "whole bytes are enough; `as` saturates beyond usize"
    )]
    let bytes = bytes as usize;
    bytes.max(MIN_MESSAGE_LIMIT)
}

/// A client of the sibling at this address.
pub fn client(address: SocketAddr) -> Client {
    Client::new(address, CBOR, MAX_IDLE_CONNECTIONS)
}

/// Makes one attempt to send a message; `None` without a valid reply in time.
pub async fn send(client: &Client, message: &MeshMessage, timeout: Duration) -> Option<MeshReply> {
    let body = encode(message)?;
    let (status, body) = client
        .send(Method::POST, MESH_PATH, body, timeout)
        .await
        .ok()?;
    (status == 200).then(|| ciborium::from_reader(body.as_ref()).ok())?
}

/// Answers one request. Its body has at most `message_limit` bytes and must arrive within `body_timeout`.
pub async fn handle(
    inbox: Rc<Inbox>,
    request: Request<Incoming>,
    message_limit: usize,
    body_timeout: Duration,
) -> Reply {
    match request.uri().path() {
        STATUS_PATH => answer_status(&inbox, request.method()).await,
        MESH_PATH => answer_message(&inbox, request, message_limit, body_timeout).await,
        _ => http::reply(404, Vec::new(), CBOR),
    }
}

/// Answers another controller's message.
async fn answer_message(
    inbox: &Inbox,
    request: Request<Incoming>,
    limit: usize,
    body_timeout: Duration,
) -> Reply {
    if request.method() != Method::POST {
        return http::reply(405, Vec::new(), CBOR);
    }
    let Ok(body) = http::read_body(request.into_body(), limit, body_timeout).await else {
        return http::reply(400, Vec::new(), CBOR);
    };
    let Ok(message) = ciborium::from_reader::<MeshMessage, _>(body.as_ref()) else {
        return http::reply(400, Vec::new(), CBOR);
    };
    let Some(reply) = inbox.mesh_request(message).await else {
        return http::reply(503, Vec::new(), CBOR);
    };
    match encode(&reply) {
        Some(body) => http::reply(200, body, CBOR),
        None => http::reply(500, Vec::new(), CBOR),
    }
}

/// Answers an operator's request for the status, which changes nothing.
async fn answer_status(inbox: &Inbox, method: &Method) -> Reply {
    if method != Method::GET {
        return http::reply(405, Vec::new(), JSON_CONTENT_TYPE);
    }
    let answer = inbox.request(ExternalRequest::Status).await;
    let Body::Status(status) = answer.body else {
        return http::reply(answer.status, Vec::new(), JSON_CONTENT_TYPE);
    };
    match serde_json::to_vec(&*status) {
        Ok(body) => http::reply(200, body, JSON_CONTENT_TYPE),
        Err(_) => http::reply(500, Vec::new(), JSON_CONTENT_TYPE),
    }
}

fn encode(message: &impl Serialize) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    ciborium::into_writer(message, &mut body).ok()?;
    Some(body)
}
