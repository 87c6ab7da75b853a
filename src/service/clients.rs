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

/// Connections that are kept to the store and to the cloud.
const STORE_MAX_IDLE: usize = 8;
const CLOUD_MAX_IDLE: usize = 2;
/// Each call's timeout is the workers' lease divided by one of these. Calls on which a renewal of leases
/// depends are the shortest; rentals may take longer.
const STORE_TIMEOUTS_PER_LEASE: u32 = 12;
const CLOUD_TIMEOUTS_PER_LEASE: u32 = 3;
const WORKER_TIMEOUTS_PER_LEASE: u32 = 10;
const MESH_TIMEOUTS_PER_LEASE: u32 = 12;

/// All clients of a controller, and the queue for the replies that they get.
pub struct Clients {
    queue: mpsc::UnboundedSender<Input>,
    store: Rc<StoreClient>,
    cloud: Rc<CloudClient>,
    siblings: HashMap<ControllerName, Rc<Client>>,
    worker_timeout: Duration,
    mesh_timeout: Duration,
}

impl Clients {
    /// Clients for the addresses and timeouts of the settings. Replies go to `queue`.
    pub fn new(config: &Config, queue: mpsc::UnboundedSender<Input>) -> Rc<Self> {
        let services = &config.services;
        let lease = super::lease(config);
        let store = Client::new(services.state, MESSAGE_PACK, STORE_MAX_IDLE);
        let cloud = Client::new(services.cloud, MESSAGE_PACK, CLOUD_MAX_IDLE);
        let siblings = config.siblings.iter().map(|sibling| {
            let client = mesh::client(sibling.addr);
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

    /// Starts a call. Its reply comes back as an input of the core.
    pub fn call(&self, effect: Effect) {
        match effect {
            Effect::Store(id, call) => {
                let client = self.store.clone();
                let reply = async move { client.call(call).await };
                self.spawn(id, reply, Input::Store);
            }
            Effect::Cloud(id, call) => {
                let client = self.cloud.clone();
                let reply = async move { client.call(call).await };
                self.spawn(id, reply, Input::Cloud);
            }
            Effect::Worker(id, address, commands) => {
                let timeout = self.worker_timeout;
                let reply = async move { worker_client::send(&address, &commands, timeout).await };
                self.spawn(id, reply, Input::Worker);
            }
            Effect::Mesh(id, node, message) => {
                let Some(client) = self.siblings.get(&node).cloned() else {
                    return;
                };
                let timeout = self.mesh_timeout;
                let reply = async move { mesh::send(&client, &message, timeout).await };
                self.spawn(id, reply, Input::MeshReply);
            }
            // Answers go through the inbox, not to a client.
            Effect::Answer(..) | Effect::MeshAnswer(..) => {}
        }
    }

    fn spawn<R: 'static>(
        &self,
        id: CallId,
        reply: impl Future<Output = R> + 'static,
        input: impl FnOnce(CallId, R) -> Input + 'static,
    ) {
        let queue = self.queue.clone();
        spawn_local(async move {
            // This fails only while the process shuts down.
            queue.send(input(id, reply.await)).ok();
        });
    }
}
