//! An HTTP client that makes one attempt per request; callers decide about retries.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

/// Why a request has no response. The variant tells whether the request can be repeated safely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// No connection could be made, so the request was not sent.
    NotSent,
    /// No complete response arrived in time: the request may have been executed, or may still be.
    OutcomeUnknown,
}

type Sender = SendRequest<Full<Bytes>>;

/// A client of one server that keeps idle connections for later requests.
pub struct Client {
    address: SocketAddr,
    /// Value of the `Host` header.
    host: String,
    content_type: &'static str,
    idle: RefCell<Vec<Sender>>,
    max_idle: usize,
}

impl Client {
    /// Creates a client that sends bodies of `content_type` and keeps at most `max_idle` idle connections.
    /// If that is 0, it asks the server to close each connection after the response.
    pub fn new(address: SocketAddr, content_type: &'static str, max_idle: usize) -> Self {
        Self {
            address,
            host: address.to_string(),
            content_type,
            idle: RefCell::new(Vec::new()),
            max_idle,
        }
    }

    /// Sends one request and returns the status and body of the response. The timeout covers connecting,
    /// sending and reading the whole response.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<(u16, Bytes), RequestError> {
        let deadline = Instant::now() + timeout;
        let mut sender = self.take_or_open_connection(deadline).await?;
        let request = self.build_request(method, path, body)?;
        let response = timeout_at(deadline, send_and_read_response(&mut sender, request))
            .await
            .map_err(|_| RequestError::OutcomeUnknown)??;
        self.keep_idle(sender);
        Ok(response)
    }

    /// Returns an idle connection, or a new one if there is none.
    async fn take_or_open_connection(&self, deadline: Instant) -> Result<Sender, RequestError> {
        if let Some(sender) = self.take_idle() {
            return Ok(sender);
        }
        timeout_at(deadline, self.connect())
            .await
            .map_err(|_| RequestError::NotSent)?
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Sender, RequestError> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|_| RequestError::NotSent)?;
        // Messages are small and callers wait for the responses, so Nagle's algorithm would only add delay.
        // A socket that rejects the option still works.
        stream.set_nodelay(true).ok();
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| RequestError::NotSent)?;
        spawn_local(connection);
        Ok(sender)
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Request<Full<Bytes>>, RequestError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, &self.host)
            .header(CONTENT_TYPE, self.content_type);
        if self.max_idle == 0 {
            request = request.header(CONNECTION, "close");
        }
        request
            .body(Full::new(body.into()))
            .map_err(|_| RequestError::NotSent)
    }

    fn keep_idle(&self, sender: Sender) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.max_idle && !sender.is_closed() {
            idle.push(sender);
        }
    }
}

async fn send_and_read_response(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
) -> Result<(u16, Bytes), RequestError> {
    let response = sender
        .send_request(request)
        .await
        .map_err(|_| RequestError::OutcomeUnknown)?;
    let status = response.status().as_u16();
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|_| RequestError::OutcomeUnknown)?;
    Ok((status, body.to_bytes()))
}
