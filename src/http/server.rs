//! An HTTP server with a bounded number of connections.

use super::Reply;
use crate::wire::BODY_LIMIT;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// Pause after a failure to accept a connection: no socket is left, or the client has already closed the
/// connection. Without the pause the loop would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections and answers their requests with `handler`. Does not return.
///
/// At `max_connections` the server closes the connection that has been idle for longest and accepts the new
/// one, so that clients with idle connections cannot lock out others. If all connections are busy, it closes
/// the new one.
pub async fn serve<H, F>(listener: TcpListener, max_connections: usize, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let open = Rc::new(OpenConnections::default());
    let mut last_id = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.count() >= max_connections && !open.close_longest_idle() {
            continue;
        }
        // A socket that rejects the option still works.
        stream.set_nodelay(true).ok();
        last_id += 1;
        let connection = open.add(last_id);
        let served = serve_connection(stream, handler.clone(), connection.clone());
        let (open, id) = (open.clone(), last_id);
        let task = spawn_local(async move {
            served.await;
            open.remove(id);
        });
        *connection.task.borrow_mut() = Some(task.abort_handle());
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H, connection: Rc<Connection>)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Reply>,
{
    let service = service_fn(|request| {
        connection.busy.set(true);
        let reply = handler(request);
        let connection = connection.clone();
        async move {
            let reply = reply.await;
            connection.busy.set(false);
            connection.last_used.set(Instant::now());
            Ok::<_, Infallible>(reply)
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(BODY_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        tracing::debug!(%error, "HTTP connection ended with an error");
    }
}

/// The state of an accepted connection.
struct Connection {
    /// When the connection was accepted or its last response was ready, whichever is later.
    last_used: Cell<Instant>,
    /// Whether a request is being handled.
    busy: Cell<bool>,
    /// The task that serves the connection, to abort it; `None` until it is spawned.
    task: RefCell<Option<AbortHandle>>,
}

/// The open connections of one listener by id. Ids increase in the order of acceptance.
#[derive(Default)]
struct OpenConnections(RefCell<BTreeMap<u64, Rc<Connection>>>);

impl OpenConnections {
    fn count(&self) -> usize {
        self.0.borrow().len()
    }

    fn add(&self, id: u64) -> Rc<Connection> {
        let connection = Rc::new(Connection {
            last_used: Cell::new(Instant::now()),
            busy: Cell::new(false),
            task: RefCell::new(None),
        });
        self.0.borrow_mut().insert(id, connection.clone());
        connection
    }

    fn remove(&self, id: u64) {
        self.0.borrow_mut().remove(&id);
    }

    /// Closes the connection that has been idle for longest. Returns false if all connections are busy.
    fn close_longest_idle(&self) -> bool {
        let mut open = self.0.borrow_mut();
        let longest_idle = open
            .iter()
            .filter(|(_, connection)| !connection.busy.get())
            .min_by_key(|(_, connection)| connection.last_used.get())
            .map(|(id, _)| *id);
        let Some(id) = longest_idle else {
            return false;
        };
        if let Some(connection) = open.remove(&id)
            && let Some(task) = connection.task.borrow_mut().take()
        {
            task.abort();
        }
        true
    }
}
