//! The leader: the controller that acts for the whole fleet.
//!
//! It keeps the shard map: it gives teams and machines to live controllers (`assignment`), fails over the
//! shards of failed ones (`failover`), moves machines between shards (`rebalance`, `machine_transfers`)
//! and writes the map under new fencing tokens (`map_writer`). It also rents and returns machines
//! (`scaling`).

mod assignment;
mod claims;
mod cloud_requests;
mod failover;
mod grants;
mod live_processes;
mod machine_transfers;
mod map_writer;
mod pending_machines;
mod rebalance;
mod scaling;
pub(crate) mod shard_map_editor;
mod spare_machines;
mod zone_contact;

use crate::config::Config;
use crate::core::effects::StoreReply;
use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::MapWrite;
use crate::core::leader::cloud_requests::CloudRequests;
use crate::core::leader::live_processes::LiveProcesses;
use crate::core::leader::map_writer::MapWriter;
use crate::core::leader::shard_map_editor::ShardMapEditor;
use crate::core::leader::zone_contact::ZoneContact;
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::membership::ownership::OwnershipLease;
use crate::core::membership::peers::Peers;
use crate::core::messages::capacity_demand::{CapacityDemand, MachineOffer};
use crate::core::model::process::ProcessId;
use crate::core::model::time::Time;
use crate::core::scheduling::catalog::Catalog;
use crate::core::store::replica::StoreReplica;
use crate::ids::{FencingToken, MachineId, Node, Version};
use crate::wire::Heartbeat;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The state of a process that leads, for as long as it leads under one version of the leader key.
pub struct Leader {
    config: Rc<Config>,
    /// Version of the leader key under which this process leads.
    key_version: Version,
    /// When this process began to lead.
    started: Time,
    editor: ShardMapEditor,
    map_writer: MapWriter,
    /// Fencing tokens given out in this turn, by the processes that gained something under them.
    turn_tokens: BTreeMap<ProcessId, FencingToken>,
    /// What each controller's shard lacks and can spare, as last reported.
    demands: BTreeMap<Node, CapacityDemand>,
    /// Machines that have reported and are not in the shard map.
    unassigned_machines: BTreeMap<MachineId, MachineOffer>,
    /// Live processes that keep to grants of team limits; empty unless all of them do.
    grant_keepers: BTreeSet<ProcessId>,
    /// When the next round of rebalancing is due.
    next_round: Time,
    /// Machines that were claimed, and when: they can't reach their former owners.
    claimed: BTreeMap<MachineId, Time>,
    /// When a machine in use may next be moved for queued tasks.
    next_urgent_move: Time,
    cloud: CloudRequests,
    zone_contact: ZoneContact,
    /// When rentals and returns are planned next.
    next_scaling: Time,
    /// This process was paused and has not yet learned what happened meanwhile.
    catching_up: bool,
}

impl Leader {
    /// Begins to lead under this version of the leader key, with the shard map that the replica holds.
    pub fn new(config: &Rc<Config>, key_version: Version, store: &StoreReplica, now: Time) -> Self {
        let value_kb = config.deployment.state.value_kb;
        let editor = ShardMapEditor::new(key_version, store.map(), value_kb);
        let fresh_deployment = editor.owners().teams.is_empty();
        Self {
            config: config.clone(),
            key_version,
            started: now,
            editor,
            map_writer: MapWriter::new(config, store, now),
            turn_tokens: BTreeMap::new(),
            demands: BTreeMap::new(),
            unassigned_machines: BTreeMap::new(),
            grant_keepers: BTreeSet::new(),
            next_round: now,
            claimed: BTreeMap::new(),
            next_urgent_move: now,
            cloud: CloudRequests::new(config, key_version, now, fresh_deployment),
            zone_contact: ZoneContact::default(),
            next_scaling: now,
            catching_up: false,
        }
    }

    /// Version of the leader key under which this process leads.
    pub fn key_version(&self) -> Version {
        self.key_version
    }

    /// Whether the leader key is to be claimed anew, since the fencing tokens under it are running out.
    pub fn tokens_running_low(&self) -> bool {
        self.editor.tokens_running_low() && !self.map_writer.write_in_flight()
    }

    /// Uses up a fencing token.
    #[cfg(test)]
    pub(crate) fn consume_token(&mut self) -> Option<FencingToken> {
        self.editor.next_token()
    }

    /// Machine offers for which the cloud has no capacity at present.
    pub fn unavailable_offers(&self) -> BTreeSet<MachineOffer> {
        self.cloud.unavailable_offers()
    }

    /// Sets what a controller's shard lacks and can spare.
    pub fn set_demand(&mut self, node: &Node, demand: CapacityDemand) {
        self.demands.insert(node.clone(), demand);
    }

    /// Sets whether this process was paused and has not yet learned what happened meanwhile.
    pub fn set_catching_up(&mut self, catching_up: bool) {
        self.catching_up = catching_up;
    }

    /// Notes a machine that has reported; it gets an owner if it is not in the shard map.
    pub fn add_unassigned_machine(&mut self, heartbeat: &Heartbeat) {
        let machines = &self.editor.owners().machines;
        if !machines.contains_key(&heartbeat.machine) {
            let offer = MachineOffer {
                type_name: heartbeat.type_name.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.spot,
            };
            self.unassigned_machines
                .insert(heartbeat.machine.clone(), offer);
        }
    }

    /// Does all that is due: changes the shard map and sends requests to the cloud.
    pub fn advance(
        &mut self,
        outbox: &mut Outbox,
        store: &StoreReplica,
        ownership: &mut OwnershipLease,
        peers: &Peers,
        catalog: &Catalog,
        unresponsive: &UnresponsiveMachines,
    ) {
        let now = outbox.now;
        self.turn_tokens.clear();
        let live = LiveProcesses::registered_in(store);
        self.demands.retain(|node, _| live.has_node(node));
        if self.map_writer.may_write(outbox) && !live.is_empty() {
            self.map_writer.reload_if_needed(&mut self.editor, store);
            self.update_grant_keepers(store);
            if self.may_assign(&live, ownership, now) {
                let preconditions =
                    self.fail_over_shards(store, ownership, peers, unresponsive, &live, now);
                self.assign_new_machines(&live);
                self.serve_claims(store, &live, now);
                self.renew_tokens(&live);
                self.rebalance(&live, now);
                self.record_grants_kept_since();
                self.map_writer
                    .write(outbox, &mut self.editor, self.key_version, preconditions);
            }
        }
        self.plan_scaling_when_due(catalog, unresponsive, &live, now);
        self.cloud.send_due(outbox);
    }

    /// Whether the shard map may change: a fresh deployment waits for its controllers, so that the shards
    /// start equal, but not longer than a lease.
    fn may_assign(&self, live: &LiveProcesses, ownership: &OwnershipLease, now: Time) -> bool {
        live.count() >= self.config.controllers()
            || !self.editor.owners().teams.is_empty()
            || now > self.started + ownership.ttl()
    }

    /// Takes in the outcome of a write of the shard map.
    pub fn handle_map_reply(
        &mut self,
        outbox: &mut Outbox,
        store: &mut StoreReplica,
        write: &MapWrite,
        reply: &StoreReply,
    ) {
        if write.term == self.key_version {
            self.map_writer.written(outbox, store, &write.writes, reply);
        }
    }
}
