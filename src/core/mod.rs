//! The state machine that decides everything. It does no I/O: batches of [`Input`]s and the time
//! go in, [`Effect`]s come out. Same inputs, same times and same seed give the same effects.

pub mod controller;
pub mod effects;
pub mod jobs;
pub mod leader;
pub mod machines;
pub mod membership;
pub mod messages;
pub mod model;
pub mod records;
pub mod scheduling;
pub mod shard;
pub mod store;
#[cfg(test)]
mod test_support;

use crate::config::Config;
use crate::core::controller::user_requests::UserRequests;
use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::Pending;
use crate::core::effects::{Effect, Input, StoreReply};
use crate::core::leader::Leader;
use crate::core::membership::ownership::OwnershipLease;
use crate::core::membership::peers::Peers;
use crate::core::model::time::Time;
use crate::core::shard::Shard;
use crate::core::store::replica::StoreReplica;
use crate::ids::{Node, Team};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::rc::Rc;

/// One controller.
pub struct Core {
    config: Rc<Config>,
    outbox: Outbox,
    store: StoreReplica,
    user_requests: UserRequests,
    peers: Peers,
    ownership: OwnershipLease,
    /// This process's share, while it is registered.
    shard: Option<Shard>,
    /// The map and the cloud, while this process leads.
    leader: Option<Leader>,
    catalog: crate::core::scheduling::catalog::Catalog,
    /// What siblings told of machines' images before there was a share.
    hints: crate::core::messages::shard_update::Hints,
    unresponsive: crate::core::machines::unresponsive::UnresponsiveMachines,
    relays: crate::core::controller::heartbeat_routing::HeartbeatRelays,
    claims: crate::core::machines::claims::MachineClaims,
    process_pause: crate::core::membership::process_pause::ProcessPause,
    detection: crate::core::membership::failure_detection::FailureDetection,
    deferred_heartbeats: crate::core::controller::deferred_heartbeats::DeferredHeartbeats,
    contacts: crate::core::messages::shard_update::MachineContacts,
}

impl Core {
    pub fn new(config: Config, seed: u64) -> Self {
        let config = Rc::new(config);
        let mut rng = StdRng::seed_from_u64(seed);
        let incarnation = rand::Rng::random::<u64>(&mut rng) >> 12;
        Self {
            outbox: Outbox::new(rng, &config),
            store: StoreReplica::new(&config),
            user_requests: UserRequests::default(),
            peers: Peers::new(&config),
            ownership: OwnershipLease::new(&config, incarnation),
            shard: None,
            leader: None,
            catalog: crate::core::scheduling::catalog::Catalog::default(),
            hints: crate::core::messages::shard_update::Hints::new(),
            unresponsive: crate::core::machines::unresponsive::UnresponsiveMachines::default(),
            relays: crate::core::controller::heartbeat_routing::HeartbeatRelays::new(&config),
            claims: crate::core::machines::claims::MachineClaims::new(&config),
            process_pause: crate::core::membership::process_pause::ProcessPause::new(&config),
            detection: crate::core::membership::failure_detection::FailureDetection::default(),
            deferred_heartbeats:
                crate::core::controller::deferred_heartbeats::DeferredHeartbeats::new(&config),
            contacts: crate::core::messages::shard_update::MachineContacts::default(),
            config,
        }
    }

    /// Works through a batch. `now` is the steady clock; `wall_ms` the time of day.
    pub fn step(&mut self, now: Time, wall_ms: u64, batch: Vec<Input>) -> Vec<Effect> {
        self.outbox.begin(now, wall_ms);
        self.peers.detector_mut().step(now);
        if let Some(paused) = self.process_pause.step(now) {
            self.resumed(paused);
        }
        for input in batch {
            self.input(input);
        }
        self.advance();
        self.outbox.take_effects()
    }

    /// Whether this controller leads and is entitled to act.
    pub fn leads(&self, now: Time) -> bool {
        self.leader.is_some() && self.ownership.holds_lease(now)
    }

    /// How a sibling is judged.
    pub fn stage_of(&self, sibling: &Node) -> failure_detector::Stage {
        self.peers.detector().stage(sibling)
    }

    /// The teams for which this controller can start tasks: it is entitled to, and has machines.
    pub fn teams(&self, now: Time) -> Vec<Team> {
        let owner = self
            .shard
            .as_ref()
            .filter(|_| self.ownership.holds_lease(now));
        let owner = owner.filter(|owner| owner.has_machines());
        owner.map(Shard::reconciled_teams).unwrap_or_default()
    }

    /// Attempts and jobs of the share looked at so far because something happened to them, and rounds
    /// of placement: what its work is in proportion to.
    pub fn work(&self) -> (u64, u64) {
        self.shard.as_ref().map(Shard::work).unwrap_or_default()
    }

    /// Starts of this process's share that the last guard has held back so far: more than none is a
    /// fault of the tracking.
    pub fn starts_held_back(&self) -> u64 {
        self.shard
            .as_ref()
            .map(|owner| owner.starts_held_back)
            .unwrap_or_default()
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::User(request, what) => self.user_request(request, what),
            Input::Health(request) => self.health(request),
            Input::Status(request) => self.answer_status(request),
            Input::Heartbeat(request, heartbeat) => self.heartbeat(request, heartbeat),
            Input::Mesh(request, message) => self.mesh_message(request, message),
            Input::State(call, reply) => {
                if let Some(pending) = self.outbox.finish(call) {
                    self.store_reply(pending, reply);
                }
            }
            Input::Cloud(call, reply) => match self.outbox.finish(call) {
                Some(Pending::Cloud(None)) => self.catalog_reply(reply),
                Some(Pending::Cloud(Some(work))) => {
                    if let Some(leader) = self.leader.as_mut() {
                        leader.cloud_reply(&mut self.outbox, work, reply);
                    }
                }
                _ => {}
            },
            Input::Worker(call, reply) => match (self.outbox.finish(call), self.shard.as_mut()) {
                (Some(Pending::DirectCommands { machine }), Some(owner)) => {
                    owner.commands_answered(&self.store, &machine, call, reply, self.outbox.now);
                }
                (Some(Pending::Inspection { machine }), Some(_)) => {
                    self.inspection_answered(&machine, reply);
                }
                _ => {}
            },
            Input::MeshReply(call, reply) => {
                if let Some(pending) = self.outbox.finish(call) {
                    self.mesh_reply(pending, reply);
                }
            }
        }
    }

    fn store_reply(&mut self, pending: Pending, reply: StoreReply) {
        self.outbox.pace(pending.is_change(), &reply);
        match reply {
            StoreReply::Refused => self.detection.refused(),
            StoreReply::Busy => {}
            StoreReply::Unknown => self.detection.not_refused(),
            _ => {
                self.detection.not_refused();
                self.store.state_answered(self.outbox.now);
            }
        }
        match pending {
            Pending::Sync { sent } => {
                self.synced(sent, reply);
                // A process whose key has gone learns no more, so that its authority ends.
                if self
                    .store
                    .is_registered(&self.config.node, self.ownership.incarnation())
                {
                    self.ownership.note_known_as_of(self.store.current_as_of);
                }
            }
            Pending::UserWrite(pending) => self.user_write_answered(pending, reply),
            Pending::OwnershipLease(pending) => self.ownership_reply(pending, reply),
            Pending::Records(writes) => {
                if let Some(owner) = self.shard.as_mut() {
                    owner.records_written(&mut self.outbox, &mut self.store, writes, reply);
                }
            }
            Pending::Map(write) => {
                if let Some(leader) = self.leader.as_mut() {
                    leader.map_written(&mut self.outbox, &mut self.store, write, reply);
                }
            }
            Pending::Grant(written) => {
                if let Some(owner) = self.shard.as_mut() {
                    owner.grant_written(&mut self.outbox, &mut self.store, written, reply);
                }
            }
            Pending::Types(write) => match reply {
                StoreReply::Committed(version) => self.store.apply_write(&write, version),
                StoreReply::Rejected => self.catalog.not_storable(),
                _ => {}
            },
            Pending::DirectCommands { .. }
            | Pending::Inspection { .. }
            | Pending::Hello { .. }
            | Pending::Relay { .. }
            | Pending::RelayedHeartbeat { .. }
            | Pending::Notice
            | Pending::Cloud(_) => {}
        }
    }

    /// The process stood still, and its clock ran on ([`process_pause`]).
    fn resumed(&mut self, paused: Time) {
        tracing::info!("stood still for {paused:.1} s");
        self.peers.heard_workers(self.outbox.now);
        self.store.want_sync();
    }

    /// Everything that happens by itself as time passes.
    fn advance(&mut self) {
        let now = self.outbox.now;
        let catching_up = self.process_pause.lasts(self.store.current_as_of, now);
        self.sync_when_due();
        self.time_out_user_requests();
        self.judge_siblings();
        self.relays.follow(&self.store, now);
        self.keep_ownership();
        self.catalog_when_due();
        self.take_roles();
        if self.ownership.holds_lease(now) {
            if let Some(owner) = self.shard.as_mut() {
                owner.catching_up = catching_up;
                owner.advance(
                    &mut self.outbox,
                    &mut self.store,
                    &self.catalog,
                    &self.unresponsive,
                );
                owner.plan_when_due(&self.outbox, &self.store, &self.catalog);
                if !owner.has_machines() {
                    // Nobody to hear from: silence says nothing.
                    self.peers.heard_workers(now);
                }
                if owner.take_sync_soon() {
                    self.peers.sync_soon(now);
                }
            }
            if let Some(leader) = self.leader.as_mut() {
                if let Some(owner) = self.shard.as_mut() {
                    leader.set_demand(&self.config.node, owner.demand.clone());
                    owner.refused = leader.refused();
                }
                leader.catching_up = catching_up;
                leader.advance(
                    &mut self.outbox,
                    &self.store,
                    &mut self.ownership,
                    &self.peers,
                    &self.catalog,
                    &self.unresponsive,
                );
                if self.ownership.take_new_question() && self.acts_on_failures() {
                    self.peers.sync_soon(now);
                }
            }
            self.inspect_acquired_machines();
        }
        self.answer_deferred_heartbeats();
        self.hello_when_due();
    }

    /// A share begins once this process is registered; leading begins and ends with the key.
    fn take_roles(&mut self) {
        let now = self.outbox.now;
        let incarnation = self.ownership.incarnation();
        let registered = self.store.is_registered(&self.config.node, incarnation);
        if self.shard.is_none() && registered && self.ownership.holds_lease(now) {
            let hints = std::mem::take(&mut self.hints);
            self.shard = Some(Shard::new(&self.config, incarnation, hints, now));
            self.peers.heard_workers(now);
        }
        let leads = self.ownership.leads(&self.store);
        if self.leader.as_ref().map(|leader| leader.term) != leads {
            // The map as of the key's own revision has every change of earlier leaders.
            self.leader = leads
                .filter(|term| self.store.revision() >= *term)
                .map(|term| {
                    tracing::info!("leading under term {term}");
                    Leader::new(&self.config, term, &self.store, now)
                });
        }
    }
}
