//! The listener for other controllers (CBOR over HTTP) and operators (JSON over HTTP), and the client for
//! other controllers.

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

/// Content type of messages between controllers.
const CBOR_CONTENT_TYPE: &str = "application/cbor";
/// HTTP path for messages between controllers.
const MESH_PATH: &str = "/mesh/v1";
/// Greatest number of idle connections to one sibling.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Fraction of the process's memory that one message may take. The longest messages, hellos, list every
/// running job and machine.
const MESSAGE_MEMORY_FRACTION: f64 = 1.0 / 16.0;
/// Lower bound of the limit on a message, in bytes, however little memory the process has.
const MIN_MESSAGE_LIMIT: usize = 1024 * 1024;
/// The settings give memory in MiB.
const BYTES_PER_MIB: f64 = 1024.0 * 1024.0;

/// Size of the largest message that is accepted, in bytes.
pub fn max_message_bytes(limits: &ProcessLimits) -> usize {
    let bytes = limits.mem_mb * BYTES_PER_MIB * MESSAGE_MEMORY_FRACTION;
    #[expect(
        clippy::cast_possible_truncation,
        reason = "whole bytes are enough; `as` saturates beyond usize"
    )]
    let bytes = bytes as usize;
    bytes.max(MIN_MESSAGE_LIMIT)
}

/// Creates a client of the sibling at this address.
pub fn new_client(address: SocketAddr) -> Client {
    Client::new(address, CBOR_CONTENT_TYPE, MAX_IDLE_CONNECTIONS)
}

/// Makes one attempt to send a message. Returns `None` if no valid reply arrives in time.
pub async fn send_message(
    client: &Client,
    message: &MeshMessage,
    timeout: Duration,
) -> Option<MeshReply> {
    let body = encode_cbor(message)?;
    let (status, body) = client
        .send(Method::POST, MESH_PATH, body, timeout)
        .await
        .ok()?;
    (status == 200).then(|| ciborium::from_reader(body.as_ref()).ok())?
}

/// Answers one request. Its body may have at most `max_message_bytes` bytes and must arrive within
/// `body_timeout`.
pub async fn handle_request(
    inbox: Rc<Inbox>,
    request: Request<Incoming>,
    max_message_bytes: usize,
    body_timeout: Duration,
) -> Reply {
    match request.uri().path() {
        STATUS_PATH => answer_status(&inbox, request.method()).await,
        MESH_PATH => answer_message(&inbox, request, max_message_bytes, body_timeout).await,
        _ => http::reply(404, Vec::new(), CBOR_CONTENT_TYPE),
    }
}

/// Answers another controller's message.
async fn answer_message(
    inbox: &Inbox,
    request: Request<Incoming>,
    max_message_bytes: usize,
    body_timeout: Duration,
) -> Reply {
    if request.method() != Method::POST {
        return http::reply(405, Vec::new(), CBOR_CONTENT_TYPE);
    }
    let Ok(body) = http::read_body(request.into_body(), max_message_bytes, body_timeout).await
    else {
        return http::reply(400, Vec::new(), CBOR_CONTENT_TYPE);
    };
    let Ok(message) = ciborium::from_reader::<MeshMessage, _>(body.as_ref()) else {
        return http::reply(400, Vec::new(), CBOR_CONTENT_TYPE);
    };
    let Some(reply) = inbox.submit_mesh_message(message).await else {
        return http::reply(503, Vec::new(), CBOR_CONTENT_TYPE);
    };
    match encode_cbor(&reply) {
        Some(body) => http::reply(200, body, CBOR_CONTENT_TYPE),
        None => http::reply(500, Vec::new(), CBOR_CONTENT_TYPE),
    }
}

/// Answers an operator's request for the status. The request does not change the controller's state.
async fn answer_status(inbox: &Inbox, method: &Method) -> Reply {
    if method != Method::GET {
        return http::reply(405, Vec::new(), JSON_CONTENT_TYPE);
    }
    let answer = inbox.submit_request(ExternalRequest::Status).await;
    let Body::Status(status) = answer.body else {
        return http::reply(answer.status, Vec::new(), JSON_CONTENT_TYPE);
    };
    match serde_json::to_vec(&*status) {
        Ok(body) => http::reply(200, body, JSON_CONTENT_TYPE),
        Err(_) => http::reply(500, Vec::new(), JSON_CONTENT_TYPE),
    }
}

/// Encodes a message as CBOR; `None` if it cannot be represented.
fn encode_cbor(message: &impl Serialize) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    ciborium::into_writer(message, &mut body).ok()?;
    Some(body)
}
