//! HTTP/1.1 for all other modules: a client with timeouts and reused connections, a server with a bounded
//! number of connections, and bodies that are read into memory within limits of size and time.

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

/// A response with its whole body in memory.
pub type Reply = Response<Full<Bytes>>;

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body did not arrive in time.
    TimedOut,
    /// The connection failed, or the body is not valid HTTP.
    ConnectionFailed,
}

/// Reads the whole body of a request. It may have at most `limit` bytes and must arrive within `time_limit`.
pub async fn read_body(
    body: Incoming,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, BodyError> {
    match timeout(time_limit, Limited::new(body, limit).collect()).await {
        Err(_) => Err(BodyError::TimedOut),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::ConnectionFailed),
    }
}

/// Builds a response. An invalid status becomes 200.
pub fn reply(status: u16, body: Vec<u8>, content_type: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    let content_type = HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}
