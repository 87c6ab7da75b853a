//! The process of a controller. Listeners and clients put inputs into a queue. One task owns the core: it
//! processes the inputs in batches and passes the core's effects to the listeners and clients. Everything
//! runs on one thread, except for the watchdog that reports a step of the core that does not end.

mod clients;

use crate::config::{Config, ProcessLimits};
use crate::core::Core;
use crate::core::effects::{Effect, Input};
use crate::inbox::Inbox;
use crate::{front, http, mesh, step_watchdog};
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

/// Greatest number of inputs that the core processes in one batch.
const MAX_BATCH: usize = 256;
/// Tenths of the process's sockets that serve users and workers. The sockets that no listener may use are
/// for the process's own calls.
const FRONT_SOCKET_TENTHS: usize = 7;
/// Tenths of the process's sockets that serve siblings.
const MESH_SOCKET_TENTHS: usize = 1;
/// The timeout for the body of a request is the workers' lease divided by this.
const BODY_TIMEOUTS_PER_LEASE: u32 = 4;
/// Without inputs the core runs this many times per workers' lease, because some actions depend only on
/// the time.
const TICKS_PER_LEASE: u32 = 200;
/// A step of the core counts as slow if it takes longer than the workers' lease divided by this.
const SLOW_STEPS_PER_LEASE: u32 = 20;

/// Why a controller cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// The async runtime cannot be started.
    #[error("cannot start the async runtime: {0}")]
    Runtime(std::io::Error),
    /// An address from the settings cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address to listen on (`front` or `mesh_addr`).
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The operating system provides no random numbers.
    #[error("cannot read random numbers from the operating system: {0}")]
    Random(String),
    /// The operating system does not start another thread.
    #[error("cannot start a thread: {0}")]
    Thread(std::io::Error),
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
    let front_listener = bind_listener(config.front).await?;
    let mesh_listener = bind_listener(config.mesh).await?;
    let (queue, inputs) = mpsc::unbounded_channel();
    let limits = &config.deployment.limits;
    let lease = worker_lease(&config);
    let body_timeout = lease / BODY_TIMEOUTS_PER_LEASE;
    let inbox = Rc::new(Inbox::new(queue.clone(), limits.fd_limit));
    serve_front(front_listener, limits, body_timeout, inbox.clone());
    serve_mesh(mesh_listener, limits, body_timeout, inbox.clone());
    let seed = random_seed()?;
    tracing::info!(controller = %config.controller, address = %config.front, "serving");
    let clients = Clients::new(&config, queue);
    let core = Core::new(config, seed);
    step_watchdog::start(core.progress(), lease / SLOW_STEPS_PER_LEASE)
        .map_err(ServiceError::Thread)?;
    run_core(core, inputs, lease, clients, inbox).await;
    Ok(())
}

/// How long a worker continues to run its tasks without an answer to its heartbeats. The timeouts of
/// calls and of request bodies are proportional to it.
fn worker_lease(config: &Config) -> Duration {
    Duration::from_secs_f64(config.deployment.workers.lease_s)
}

async fn bind_listener(address: SocketAddr) -> Result<TcpListener, ServiceError> {
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
        front::handle_request(inbox.clone(), request, body_timeout)
    }));
}

fn serve_mesh(
    listener: TcpListener,
    limits: &ProcessLimits,
    body_timeout: Duration,
    inbox: Rc<Inbox>,
) {
    let max_connections = limits.fd_limit * MESH_SOCKET_TENTHS / 10;
    let max_message_bytes = mesh::max_message_bytes(limits);
    spawn_local(http::serve(listener, max_connections, move |request| {
        mesh::handle_request(inbox.clone(), request, max_message_bytes, body_timeout)
    }));
}

/// The seed of all random numbers of this process, including its incarnation.
fn random_seed() -> Result<u64, ServiceError> {
    let random = OsRng
        .try_next_u64()
        .map_err(|error| ServiceError::Random(error.to_string()))?;
    // The time makes the incarnation differ from earlier ones even if the operating system's random numbers
    // repeat, for example after a machine is restored from a snapshot.
    Ok(random ^ unix_time_ms())
}

fn unix_time_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Runs the core on all inputs until the queue is closed. `lease` is that of the workers.
async fn run_core(
    mut core: Core,
    mut inputs: mpsc::UnboundedReceiver<Input>,
    lease: Duration,
    clients: Rc<Clients>,
    inbox: Rc<Inbox>,
) {
    let start = Instant::now();
    let (tick, slow_step) = (lease / TICKS_PER_LEASE, lease / SLOW_STEPS_PER_LEASE);
    let mut batch = Vec::new();
    loop {
        // Up to `MAX_BATCH` queued inputs form one batch. After a tick without inputs the batch is empty.
        if timeout(tick, inputs.recv_many(&mut batch, MAX_BATCH)).await == Ok(0) {
            return;
        }
        inbox.record_taken_batch(&batch);
        let inputs = std::mem::take(&mut batch);
        for effect in run_step(&mut core, start, inputs, slow_step) {
            match effect {
                Effect::Answer(request, answer) => inbox.deliver_answer(request, answer),
                Effect::MeshAnswer(request, reply) => inbox.deliver_mesh_reply(request, reply),
                effect => clients.start_call(effect),
            }
        }
    }
}

/// Runs one step of the core, and reports it if it took longer than `slow_step`. The core's clock counts from
/// `start`.
fn run_step(
    core: &mut Core,
    start: Instant,
    inputs: Vec<Input>,
    slow_step: Duration,
) -> Vec<Effect> {
    let began = start.elapsed();
    let input_count = inputs.len();
    let visits_before = core.work_counts().visits;
    let effects = core.step(began.as_secs_f64(), unix_time_ms(), inputs);
    let elapsed = start.elapsed() - began;
    if elapsed > slow_step {
        tracing::warn!(
            seconds = %format_args!("{:.1}", elapsed.as_secs_f64()),
            inputs = input_count,
            visits = core.work_counts().visits.saturating_sub(visits_before),
            "a step was slow: this controller answered nothing meanwhile"
        );
    }
    effects
}
