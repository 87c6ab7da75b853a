//! HTTP/1.1 as all parts use it: a client with deadlines and kept connections, and a server loop
//! with bounded connections.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST};
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, timeout, timeout_at};

pub type Reply = Response<Full<Bytes>>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be made: nothing was sent.
    NotSent,
    /// No whole answer in time: executed, or not, or later.
    Unknown,
}

/// A client of one address that keeps a few connections.
pub struct Client {
    address: SocketAddr,
    host: String,
    content_type: &'static str,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
    keep: usize,
}

impl Client {
    pub fn new(address: SocketAddr, content_type: &'static str, keep: usize) -> Self {
        let idle = RefCell::new(Vec::new());
        Self {
            address,
            host: address.to_string(),
            content_type,
            idle,
            keep,
        }
    }

    /// One request; the deadline covers connecting and reading the whole answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        deadline: Duration,
    ) -> Result<(u16, Bytes), Failure> {
        let deadline = Instant::now() + deadline;
        let mut sender = match self.kept() {
            Some(sender) => sender,
            None => timeout_at(deadline, self.connect())
                .await
                .map_err(|_| Failure::NotSent)??,
        };
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, &self.host)
            .header(CONTENT_TYPE, self.content_type);
        if self.keep == 0 {
            request = request.header(CONNECTION, "close");
        }
        let request = request
            .body(Full::new(body.into()))
            .map_err(|_| Failure::NotSent)?;
        let exchange = async {
            let response = sender
                .send_request(request)
                .await
                .map_err(|_| Failure::Unknown)?;
            let status = response.status().as_u16();
            let body = response
                .into_body()
                .collect()
                .await
                .map_err(|_| Failure::Unknown)?;
            Ok((status, body.to_bytes()))
        };
        let answer = timeout_at(deadline, exchange)
            .await
            .map_err(|_| Failure::Unknown)??;
        if self.idle.borrow().len() < self.keep && !sender.is_closed() {
            self.idle.borrow_mut().push(sender);
        }
        Ok(answer)
    }

    fn kept(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, Failure> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|_| Failure::NotSent)?;
        // Small messages that somebody waits for: never worth delaying. A socket that cannot be
        // set so still works.
        stream.set_nodelay(true).ok();
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| Failure::NotSent)?;
        spawn_local(connection);
        Ok(sender)
    }
}

/// How a listener bounds what its clients may hold.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub connections: usize,
    /// For the head of a request, and again for its body.
    pub read: Duration,
}

struct Open {
    used: Cell<Instant>,
    busy: Cell<bool>,
    abort: RefCell<Option<AbortHandle>>,
}

/// Accepts connections for ever. At the limit the one unused for longest makes room, so that
/// clients that only hold connections cannot keep others out.
pub async fn serve<H, F>(listener: TcpListener, bounds: Bounds, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let open: Rc<RefCell<BTreeMap<u64, Rc<Open>>>> = Rc::default();
    let mut next = 0u64;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of sockets, or the client left already: neither is helped by spinning.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if open.borrow().len() >= bounds.connections && !make_room(&open) {
            continue;
        }
        stream.set_nodelay(true).ok();
        next += 1;
        let id = next;
        let entry = Rc::new(Open {
            used: Cell::new(Instant::now()),
            busy: Cell::new(false),
            abort: RefCell::new(None),
        });
        open.borrow_mut().insert(id, entry.clone());
        let (handler, all, state) = (handler.clone(), open.clone(), entry.clone());
        let task = spawn_local(async move {
            let service = service_fn(|request| {
                state.busy.set(true);
                let (answer, state) = (handler(request), state.clone());
                async move {
                    let answer = answer.await;
                    state.busy.set(false);
                    state.used.set(Instant::now());
                    Ok::<_, Infallible>(answer)
                }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(None)
                .max_buf_size(crate::wire::BODY_LIMIT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(e) = connection.await {
                tracing::debug!("connection ended: {e}");
            }
            all.borrow_mut().remove(&id);
        });
        *entry.abort.borrow_mut() = Some(task.abort_handle());
    }
}

fn make_room(open: &RefCell<BTreeMap<u64, Rc<Open>>>) -> bool {
    let mut open = open.borrow_mut();
    let idle = open
        .iter()
        .filter(|(_, c)| !c.busy.get())
        .min_by_key(|(_, c)| c.used.get());
    let Some(id) = idle.map(|(id, _)| *id) else {
        return false;
    };
    if let Some(connection) = open.remove(&id)
        && let Some(task) = connection.abort.borrow_mut().take()
    {
        task.abort();
    }
    true
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    TooLarge,
    Slow,
    Broken,
}

/// A request's whole body, within the published limit and the bound on time.
pub async fn read_body(body: Incoming, limit: usize, within: Duration) -> Result<Bytes, BodyError> {
    match timeout(within, Limited::new(body, limit).collect()).await {
        Err(_) => Err(BodyError::Slow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}

pub fn reply(status: u16, body: Vec<u8>, content_type: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    let value = hyper::header::HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, value);
    reply
}
