//! The calls that the core makes to the store, the cloud, workers and siblings.

use crate::cloud_client::CloudClient;
use crate::config::Config;
use crate::core::effects::{CallId, Effect, Input};
use crate::front::MESSAGE_PACK;
use crate::http::Client;
use crate::ids::ControllerName;
use crate::store_client::StoreClient;
use crate::{mesh, worker_client};
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Greatest number of idle connections to the store.
const STORE_MAX_IDLE: usize = 8;
/// Greatest number of idle connections to the cloud.
const CLOUD_MAX_IDLE: usize = 2;
// The timeout of a call is the workers' lease divided by one of these numbers. Calls on which the
// renewal of a lease depends have the shortest timeouts, and calls to the cloud the longest.
const STORE_TIMEOUTS_PER_LEASE: u32 = 12;
const CLOUD_TIMEOUTS_PER_LEASE: u32 = 3;
const WORKER_TIMEOUTS_PER_LEASE: u32 = 10;
const MESH_TIMEOUTS_PER_LEASE: u32 = 12;

/// All clients of a controller, and the queue into which they put replies.
pub struct Clients {
    queue: mpsc::UnboundedSender<Input>,
    store: Rc<StoreClient>,
    cloud: Rc<CloudClient>,
    siblings: HashMap<ControllerName, Rc<Client>>,
    worker_timeout: Duration,
    mesh_timeout: Duration,
}

impl Clients {
    /// Creates clients with the addresses and timeouts of the settings. Replies go to `queue`.
    pub fn new(config: &Config, queue: mpsc::UnboundedSender<Input>) -> Rc<Self> {
        let services = &config.services;
        let lease = super::worker_lease(config);
        let store = Client::new(services.state, MESSAGE_PACK, STORE_MAX_IDLE);
        let cloud = Client::new(services.cloud, MESSAGE_PACK, CLOUD_MAX_IDLE);
        let siblings = config.siblings.iter().map(|sibling| {
            let client = mesh::new_client(sibling.addr);
            (sibling.controller.clone(), Rc::new(client))
        });
        Rc::new(Self {
            queue,
            store: Rc::new(StoreClient::new(store, lease / STORE_TIMEOUTS_PER_LEASE)),
            cloud: Rc::new(CloudClient::new(cloud, lease / CLOUD_TIMEOUTS_PER_LEASE)),
            siblings: siblings.collect(),
            worker_timeout: lease / WORKER_TIMEOUTS_PER_LEASE,
            mesh_timeout: lease / MESH_TIMEOUTS_PER_LEASE,
        })
    }

    /// Starts the call that an effect requests. The reply becomes an input of the core. A call to a sibling
    /// that the settings do not list is dropped.
    pub fn start_call(&self, effect: Effect) {
        match effect {
            Effect::Store(id, call) => {
                let client = self.store.clone();
                let reply = async move { client.call(call).await };
                self.spawn_call(id, reply, Input::Store);
            }
            Effect::Cloud(id, call) => {
                let client = self.cloud.clone();
                let reply = async move { client.call(call).await };
                self.spawn_call(id, reply, Input::Cloud);
            }
            Effect::Worker(id, address, commands) => {
                let timeout = self.worker_timeout;
                let reply =
                    async move { worker_client::send_commands(&address, &commands, timeout).await };
                self.spawn_call(id, reply, Input::Worker);
            }
            Effect::Mesh(id, node, message) => {
                let Some(client) = self.siblings.get(&node).cloned() else {
                    return;
                };
                let timeout = self.mesh_timeout;
                let reply = async move { mesh::send_message(&client, &message, timeout).await };
                self.spawn_call(id, reply, Input::MeshReply);
            }
            // The inbox delivers answers; no client is involved.
            Effect::Answer(..) | Effect::MeshAnswer(..) => {}
        }
    }

    fn spawn_call<R: 'static>(
        &self,
        id: CallId,
        reply: impl Future<Output = R> + 'static,
        input: impl FnOnce(CallId, R) -> Input + 'static,
    ) {
        let queue = self.queue.clone();
        spawn_local(async move {
            // Sending fails only while the process shuts down.
            queue.send(input(id, reply.await)).ok();
        });
    }
}
