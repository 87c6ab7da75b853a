//! The running process: listeners feed the queue of the one owner of all state, which works through
//! it in batches and hands effects to the clients.

use crate::cloud_client::CloudClient;
use crate::config::Config;
use crate::core::Core;
use crate::core::effects::{CallId, Effect, Input};
use crate::front::MESSAGE_PACK;
use crate::http::{Bounds, Client};
use crate::ids::Node;
use crate::inbox::Inbox;
use crate::state_client::StateClient;
use crate::{front, http, mesh, worker_client};
use rand::TryRngCore;
use rand::rngs::OsRng;
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};

#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    #[error("cannot listen on {address}: {source}")]
    Listen {
        address: std::net::SocketAddr,
        source: std::io::Error,
    },
    #[error("no randomness: {0}")]
    Random(String),
}

/// Inputs worked through in one batch at most.
const BATCH: usize = 256;

pub fn run(config: Config) -> Result<(), ServiceError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServiceError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(config))
}

async fn serve(config: Config) -> Result<(), ServiceError> {
    let front = listen(config.front).await?;
    let mesh_listener = listen(config.mesh).await?;
    let (queue, inputs) = mpsc::unbounded_channel();
    let limits = &config.deployment.limits;
    let lease = Duration::from_secs_f64(config.deployment.workers.lease_s);
    let inbox = Rc::new(Inbox::new(queue.clone(), limits.fd_limit));
    // Of the sockets, most are for users and workers, some for siblings, the rest for calls.
    let read = lease / 4;
    let front_bounds = Bounds {
        connections: limits.fd_limit * 7 / 10,
        read,
    };
    let mesh_bounds = Bounds {
        connections: limits.fd_limit / 10,
        read,
    };
    let at_front = inbox.clone();
    spawn_local(http::serve(front, front_bounds, move |request| {
        front::handle(at_front.clone(), request, read)
    }));
    let at_mesh = inbox.clone();
    let message_limit = mesh::message_limit(limits);
    spawn_local(http::serve(mesh_listener, mesh_bounds, move |request| {
        mesh::handle(at_mesh.clone(), request, message_limit, read)
    }));
    let random = OsRng
        .try_next_u64()
        .map_err(|e| ServiceError::Random(e.to_string()))?;
    // The time makes the incarnation differ from those before even where randomness repeats.
    let seed = random ^ wall_ms();
    tracing::info!("{} serves on {}", config.node, config.front);
    let clients = Clients::new(&config, queue);
    let core = Core::new(config, seed);
    own(core, inputs, clients, inbox).await;
    Ok(())
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, ServiceError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| ServiceError::Listen { address, source })
}

fn wall_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// The owner's loop.
async fn own(
    mut core: Core,
    mut inputs: mpsc::UnboundedReceiver<Input>,
    clients: Rc<Clients>,
    inbox: Rc<Inbox>,
) {
    let start = Instant::now();
    let mut batch = Vec::new();
    loop {
        // Whatever is there is one batch; without any, time itself may call for something.
        if timeout(clients.tick, inputs.recv_many(&mut batch, BATCH)).await == Ok(0) {
            return;
        }
        inbox.taken(&batch);
        let now = start.elapsed().as_secs_f64();
        for effect in core.step(now, wall_ms(), std::mem::take(&mut batch)) {
            match effect {
                Effect::Answer(request, answer) => inbox.answer(request, answer),
                Effect::MeshAnswer(request, reply) => inbox.answer_mesh(request, reply),
                effect => clients.call(effect),
            }
        }
    }
}

struct Clients {
    queue: mpsc::UnboundedSender<Input>,
    state: Rc<StateClient>,
    cloud: Rc<CloudClient>,
    siblings: HashMap<Node, Rc<Client>>,
    tick: Duration,
    worker_deadline: Duration,
    mesh_deadline: Duration,
}

impl Clients {
    fn new(config: &Config, queue: mpsc::UnboundedSender<Input>) -> Rc<Self> {
        let services = &config.services;
        let lease = Duration::from_secs_f64(config.deployment.workers.lease_s);
        let state = Client::new(services.state, MESSAGE_PACK, 8);
        let cloud = Client::new(services.cloud, MESSAGE_PACK, 2);
        let siblings = config.siblings.iter();
        Rc::new(Self {
            queue,
            state: Rc::new(StateClient::new(state, lease / 12)),
            cloud: Rc::new(CloudClient::new(cloud, lease / 3)),
            siblings: siblings
                .map(|s| (s.node.clone(), Rc::new(mesh::client(s.addr))))
                .collect(),
            tick: lease / 200,
            worker_deadline: lease / 10,
            mesh_deadline: lease / 12,
        })
    }

    /// Starts a call; its reply comes back through the queue.
    fn call(&self, effect: Effect) {
        match effect {
            Effect::State(call, what) => {
                let client = self.state.clone();
                self.spawn(call, async move { client.call(what).await }, Input::State);
            }
            Effect::Cloud(call, what) => {
                let client = self.cloud.clone();
                self.spawn(call, async move { client.call(what).await }, Input::Cloud);
            }
            Effect::Worker(call, address, commands) => {
                let deadline = self.worker_deadline;
                let send = async move { worker_client::send(&address, &commands, deadline).await };
                self.spawn(call, send, Input::Worker);
            }
            Effect::Mesh(call, node, message) => {
                let Some(client) = self.siblings.get(&node).cloned() else {
                    return;
                };
                let deadline = self.mesh_deadline;
                let send = async move { mesh::send(&client, &message, deadline).await };
                self.spawn(call, send, Input::MeshReply);
            }
            Effect::Answer(..) | Effect::MeshAnswer(..) => {}
        }
    }

    fn spawn<R: 'static>(
        &self,
        call: CallId,
        work: impl Future<Output = R> + 'static,
        input: impl FnOnce(CallId, R) -> Input + 'static,
    ) {
        let queue = self.queue.clone();
        spawn_local(async move {
            // The owner is gone only when the process ends.
            queue.send(input(call, work.await)).ok();
        });
    }
}
