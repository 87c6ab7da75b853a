//! The running process. One task owns the core: listeners and clients put inputs into its queue, it
//! processes them in batches, and its effects go back to the listeners and clients. Everything runs on
//! one thread.

mod clients;

use crate::config::{Config, ProcessLimits};
use crate::core::Core;
use crate::core::effects::{Effect, Input};
use crate::inbox::Inbox;
use crate::{front, http, mesh};
use clients::Clients;
use rand::TryRngCore;
use rand::rngs::OsRng;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};

/// Inputs that the core processes in one batch at most.
const MAX_BATCH: usize = 256;
/// Tenths of the process's sockets for users and workers, and for siblings. The rest is for this process's
/// own calls.
const FRONT_SOCKET_TENTHS: usize = 7;
const MESH_SOCKET_TENTHS: usize = 1;
/// The body of a request must arrive within the workers' lease divided by this.
const BODY_TIMEOUTS_PER_LEASE: u32 = 4;
/// Without inputs the core still runs this many times per workers' lease, since the time alone may require
/// an action.
const TICKS_PER_LEASE: u32 = 200;

/// Why the process can't serve.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// The runtime can't be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    /// A listener's address can't be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The system provides no random numbers.
    #[error("no randomness: {0}")]
    Random(String),
}

/// Runs a controller until the process ends.
pub fn run(config: Config) -> Result<(), ServiceError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServiceError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(config))
}

async fn serve(config: Config) -> Result<(), ServiceError> {
    let front_listener = listen(config.front).await?;
    let mesh_listener = listen(config.mesh).await?;
    let (queue, inputs) = mpsc::unbounded_channel();
    let limits = &config.deployment.limits;
    let lease = lease(&config);
    let body_timeout = lease / BODY_TIMEOUTS_PER_LEASE;
    let inbox = Rc::new(Inbox::new(queue.clone(), limits.fd_limit));
    serve_front(front_listener, limits, body_timeout, inbox.clone());
    serve_mesh(mesh_listener, limits, body_timeout, inbox.clone());
    let seed = random_seed()?;
    tracing::info!(controller = %config.controller, address = %config.front, "serving");
    let clients = Clients::new(&config, queue);
    let core = Core::new(config, seed);
    run_core(core, inputs, lease / TICKS_PER_LEASE, clients, inbox).await;
    Ok(())
}

/// How long a worker keeps running its tasks without an answer to its heartbeats. All timeouts are in
/// proportion to it.
fn lease(config: &Config) -> Duration {
    Duration::from_secs_f64(config.deployment.workers.lease_s)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ServiceError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| ServiceError::Listen { address, source })
}

fn serve_front(
    listener: TcpListener,
    limits: &ProcessLimits,
    body_timeout: Duration,
    inbox: Rc<Inbox>,
) {
    let max_connections = limits.fd_limit * FRONT_SOCKET_TENTHS / 10;
    spawn_local(http::serve(listener, max_connections, move |request| {
        front::handle(inbox.clone(), request, body_timeout)
    }));
}

fn serve_mesh(
    listener: TcpListener,
    limits: &ProcessLimits,
    body_timeout: Duration,
    inbox: Rc<Inbox>,
) {
    let max_connections = limits.fd_limit * MESH_SOCKET_TENTHS / 10;
    let message_limit = mesh::message_limit(limits);
    spawn_local(http::serve(listener, max_connections, move |request| {
        mesh::handle(inbox.clone(), request, message_limit, body_timeout)
    }));
}

/// The seed of this process's random numbers, its incarnation among them.
fn random_seed() -> Result<u64, ServiceError> {
    let random = OsRng
        .try_next_u64()
        .map_err(|error| ServiceError::Random(error.to_string()))?;
    // The time makes the incarnation differ from earlier ones even where the system's random numbers
    // repeat, as after a restored snapshot.
    Ok(random ^ unix_time_ms())
}

fn unix_time_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Runs the core on all inputs until the queue is closed.
async fn run_core(
    mut core: Core,
    mut inputs: mpsc::UnboundedReceiver<Input>,
    tick: Duration,
    clients: Rc<Clients>,
    inbox: Rc<Inbox>,
) {
    let start = Instant::now();
    let mut batch = Vec::new();
    loop {
        // All queued inputs form one batch. Without any the core runs all the same after a tick.
        if timeout(tick, inputs.recv_many(&mut batch, MAX_BATCH)).await == Ok(0) {
            return;
        }
        inbox.record_taken_batch(&batch);
        let now = start.elapsed().as_secs_f64();
        for effect in core.step(now, unix_time_ms(), std::mem::take(&mut batch)) {
            match effect {
                Effect::Answer(request, answer) => inbox.answer(request, answer),
                Effect::MeshAnswer(request, reply) => inbox.answer_mesh(request, reply),
                effect => clients.call(effect),
            }
        }
    }
}
