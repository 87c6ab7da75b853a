//! The leader: the controller that acts for the whole fleet.
//!
//! The leader maintains the shard map. It assigns teams and machines to live controllers (`assignment`),
//! fails over the shards of failed controllers (`failover`), moves machines between shards (`rebalance`,
//! `machine_transfers`, `claims`) and writes the map to the store (`map_writer`). It also rents machines from
//! the cloud and returns them (`scaling`).

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
use crate::ids::{ControllerName, FencingToken, MachineId, Version};
use crate::wire::Heartbeat;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The state of a process as the leader, under one version of the leader key.
pub struct Leader {
    config: Rc<Config>,
    /// Version of the leader key under which this process became leader.
    key_version: Version,
    /// When this process became leader.
    leading_since: Time,
    editor: ShardMapEditor,
    map_writer: MapWriter,
    /// Fencing tokens issued during the current call of [`Leader::advance`], by the process that received
    /// each.
    issued_tokens: BTreeMap<ProcessId, FencingToken>,
    /// The latest report of each controller on the machines that its shard lacks or can spare.
    demands: BTreeMap<ControllerName, CapacityDemand>,
    /// Machines that have sent a heartbeat and are not in the shard map yet.
    unassigned_machines: BTreeMap<MachineId, MachineOffer>,
    /// Live processes that respect the grants of team limits; empty unless every live process does.
    grant_keepers: BTreeSet<ProcessId>,
    /// When the next periodic rebalancing is due.
    next_rebalance: Time,
    /// Machines that were reassigned after a claim, and when. Such a machine can't reach its former owner.
    claimed_machines: BTreeMap<MachineId, Time>,
    /// Earliest time at which another machine that is in use may be transferred for queued tasks.
    next_urgent_transfer: Time,
    cloud: CloudRequests,
    zone_contact: ZoneContact,
    /// When rentals and returns are next planned.
    next_scaling_plan: Time,
    /// Whether this process was paused and its state may still be stale. No scaling is planned meanwhile.
    catching_up: bool,
}

impl Leader {
    /// Creates the leader for this version of the leader key, starting from the replica's shard map.
    pub fn new(config: &Rc<Config>, key_version: Version, store: &StoreReplica, now: Time) -> Self {
        let value_kb = config.deployment.state.value_kb;
        let editor = ShardMapEditor::new(key_version, store.map_chunks(), value_kb);
        let fresh_deployment = editor.shard_map().teams.is_empty();
        Self {
            config: config.clone(),
            key_version,
            leading_since: now,
            editor,
            map_writer: MapWriter::new(config, store, now),
            issued_tokens: BTreeMap::new(),
            demands: BTreeMap::new(),
            unassigned_machines: BTreeMap::new(),
            grant_keepers: BTreeSet::new(),
            next_rebalance: now,
            claimed_machines: BTreeMap::new(),
            next_urgent_transfer: now,
            cloud: CloudRequests::new(config, key_version, now, fresh_deployment),
            zone_contact: ZoneContact::default(),
            next_scaling_plan: now,
            catching_up: false,
        }
    }

    /// Version of the leader key under which this process became leader.
    pub fn key_version(&self) -> Version {
        self.key_version
    }

    /// Whether the leader key should be claimed again because few fencing tokens are left under its version.
    pub fn tokens_running_low(&self) -> bool {
        self.editor.tokens_running_low() && !self.map_writer.write_in_flight()
    }

    /// Consumes a fencing token without assigning anything under it.
    #[cfg(test)]
    pub(crate) fn consume_token(&mut self) -> Option<FencingToken> {
        self.editor.next_token()
    }

    /// Offers that can't be rented at present: the cloud has no capacity or the zone is unreachable.
    pub fn unavailable_offers(&self) -> BTreeSet<MachineOffer> {
        self.cloud.unavailable_offers()
    }

    /// Replaces the report on the machines that a controller's shard lacks or can spare.
    pub fn set_demand(&mut self, node: &ControllerName, demand: CapacityDemand) {
        self.demands.insert(node.clone(), demand);
    }

    /// Sets whether this process was paused and its state may still be stale.
    pub fn set_catching_up(&mut self, catching_up: bool) {
        self.catching_up = catching_up;
    }

    /// Queues the sender of a heartbeat for assignment, unless the shard map already lists it.
    pub fn add_unassigned_machine(&mut self, heartbeat: &Heartbeat) {
        let machines = &self.editor.shard_map().machines;
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

    /// Performs all work that is due: updates the shard map, plans scaling and sends requests to the cloud.
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
        self.issued_tokens.clear();
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

    /// Whether the shard map may change. In a fresh deployment it may change once all controllers are
    /// registered, so that the shards start equal, or once the lifetime of an ownership lease has passed.
    fn may_assign(&self, live: &LiveProcesses, ownership: &OwnershipLease, now: Time) -> bool {
        live.count() >= self.config.controller_count()
            || !self.editor.shard_map().teams.is_empty()
            || now > self.leading_since + ownership.ttl()
    }

    /// Handles the store's reply to a write of the shard map. A reply to a write under another version of the
    /// leader key is ignored.
    pub fn handle_map_reply(
        &mut self,
        outbox: &mut Outbox,
        store: &mut StoreReplica,
        write: &MapWrite,
        reply: &StoreReply,
    ) {
        if write.leader_key_version == self.key_version {
            self.map_writer
                .handle_reply(outbox, store, &write.writes, reply);
        }
    }
}
