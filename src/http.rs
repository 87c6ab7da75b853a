//! HTTP/1.1 as all other modules use it: a client with timeouts and reused connections, a server with a
//! bounded number of connections, and bodies that are read whole within limits.

mod client;
mod server;

pub use client::{Client, RequestError};
pub use server::serve;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use std::time::Duration;
use tokio::time::timeout;

/// A response whose whole body is in memory.
pub type Reply = Response<Full<Bytes>>;

/// Why the body of a request was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the limit.
    TooLarge,
    /// It did not arrive in time.
    Slow,
    /// The connection failed.
    Broken,
}

/// Reads the whole body of a request, of at most `limit` bytes, within the time `within`.
pub async fn read_body(body: Incoming, limit: usize, within: Duration) -> Result<Bytes, BodyError> {
    match timeout(within, Limited::new(body, limit).collect()).await {
        Err(_) => Err(BodyError::Slow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}

/// A response with this status, body and content type.
pub fn reply(status: u16, body: Vec<u8>, content_type: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    let content_type = HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}
