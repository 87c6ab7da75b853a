//! The listener between controllers: their messages (CBOR over HTTP), and operators' questions (JSON).

use crate::config::ProcessLimits;
use crate::core::effects::Body;
use crate::core::messages::mesh::{MeshMessage, MeshReply};
use crate::http::{self, Client, Reply};
use crate::inbox::{Inbox, Question};
use crate::status::{self, JSON};
use hyper::body::Incoming;
use hyper::{Method, Request};
use std::rc::Rc;
use std::time::Duration;

const CBOR: &str = "application/cbor";
const PATH: &str = "/mesh/v1";
/// Part of a process's memory that one message may take: a hello tells of every running job and machine.
const MESSAGE_PART: f64 = 1.0 / 16.0;
/// Bytes of a message that are always taken.
const LEAST_MESSAGE_LIMIT: usize = 1024 * 1024;

/// Bytes of a message at most.
pub fn message_limit(limits: &ProcessLimits) -> usize {
    let part = limits.mem_mb * 1024.0 * 1024.0 * MESSAGE_PART;
    (part as usize).max(LEAST_MESSAGE_LIMIT)
}

pub fn client(address: std::net::SocketAddr) -> Client {
    Client::new(address, CBOR, 4)
}

pub async fn send(client: &Client, message: &MeshMessage, deadline: Duration) -> Option<MeshReply> {
    let mut body = Vec::new();
    ciborium::into_writer(message, &mut body).ok()?;
    let (status, body) = client.send(Method::POST, PATH, body, deadline).await.ok()?;
    (status == 200).then(|| ciborium::from_reader(body.as_ref()).ok())?
}

pub async fn handle(
    inbox: Rc<Inbox>,
    request: Request<Incoming>,
    limit: usize,
    read: Duration,
) -> Reply {
    if request.uri().path() == status::PATH {
        return answer_status(&inbox, request.method()).await;
    }
    if request.uri().path() != PATH {
        return http::reply(404, Vec::new(), CBOR);
    }
    if request.method() != Method::POST {
        return http::reply(405, Vec::new(), CBOR);
    }
    let Ok(body) = http::read_body(request.into_body(), limit, read).await else {
        return http::reply(400, Vec::new(), CBOR);
    };
    let Ok(message) = ciborium::from_reader::<MeshMessage, _>(body.as_ref()) else {
        return http::reply(400, Vec::new(), CBOR);
    };
    match inbox.ask_mesh(message).await {
        Some(reply) => {
            let mut body = Vec::new();
            match ciborium::into_writer(&reply, &mut body) {
                Ok(()) => http::reply(200, body, CBOR),
                Err(_) => http::reply(500, Vec::new(), CBOR),
            }
        }
        None => http::reply(503, Vec::new(), CBOR),
    }
}

/// An operator's question, read-only.
async fn answer_status(inbox: &Inbox, method: &Method) -> Reply {
    if method != Method::GET {
        return http::reply(405, Vec::new(), JSON);
    }
    let answer = inbox.ask(Question::Status).await;
    let Body::Status(status) = answer.body else {
        return http::reply(answer.status, Vec::new(), JSON);
    };
    match serde_json::to_vec(&*status) {
        Ok(body) => http::reply(200, body, JSON),
        Err(_) => http::reply(500, Vec::new(), JSON),
    }
}
