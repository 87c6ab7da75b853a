//! The state machine that decides everything. It does no I/O: batches of [`Input`]s and the time
//! go in, [`Effect`]s come out. Same inputs, same times and same seed give the same effects.

pub mod cancelled;
pub mod catalog;
pub mod consolidation;
pub mod deferred_heartbeats;
pub mod dependencies;
pub mod failure_detection;
pub mod forecast;
pub mod gained_machines;
pub mod job_failures;
pub mod job_records;
pub mod jobs;
pub mod leader;
pub mod lease_expiry;
pub mod machine_claims;
pub mod machine_orders;
pub mod machines;
pub mod mesh_messages;
pub mod opportunistic;
pub mod outbox;
pub mod owned_jobs;
pub mod owner;
pub mod ownership;
pub mod pacing;
pub mod part_map;
pub mod peer_sync;
pub mod peers;
pub mod placement;
pub mod plan;
pub mod preemption;
pub mod process_pause;
pub mod quota;
pub mod ranges;
pub mod rebalance;
pub mod renting;
pub mod report_routing;
pub mod schedule;
pub mod share_log;
pub mod spare_machines;
pub mod starts_in_flight;
pub mod status;
pub mod store;
pub mod supply;
pub mod task_index;
pub mod team_grants;
#[cfg(test)]
mod test_support;
pub mod token_bucket;
pub mod tracking;
pub mod unresponsive;
pub mod upcoming;
pub mod user_requests;
pub mod zone_contact;

use crate::config::Config;
use crate::ids::{JobId, Node, Team, Version};
use crate::status::Status;
use crate::wire::{
    Changes, DirectCommands, Heartbeat, HeartbeatResponse, JobSpec, Listing, MachineList,
    MachineNames, MachineTypes, Rental, Transaction,
};
use leader::Leader;
use outbox::{Outbox, Pending};
use owner::Shard;
use ownership::OwnershipLease;
use peers::{MeshMessage, MeshReply, Peers};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use std::rc::Rc;
use store::StoreReplica;
use user_requests::UserRequests;

/// Seconds on the process's steady clock.
pub type Time = f64;

/// A request that somebody waits on.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RequestId(pub u64);

/// A call this process has out.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct CallId(pub u64);

/// What users ask for.
#[derive(Clone, Debug)]
pub enum UserRequest {
    Submit(JobId, Box<JobSpec>),
    Poll(JobId),
    Cancel(JobId),
}

impl UserRequest {
    pub fn job(&self) -> &JobId {
        match self {
            Self::Submit(id, _) | Self::Poll(id) | Self::Cancel(id) => id,
        }
    }
}

#[derive(Debug)]
pub enum Input {
    User(RequestId, UserRequest),
    Heartbeat(RequestId, Heartbeat),
    Health(RequestId),
    /// An operator asks.
    Status(RequestId),
    Mesh(RequestId, MeshMessage),
    State(CallId, StoreReply),
    Cloud(CallId, CloudReply),
    Worker(CallId, WorkerReply),
    MeshReply(CallId, Option<MeshReply>),
}

impl Input {
    /// Whether somebody else asks; all else is the reply to a call of this process.
    pub fn is_question(&self) -> bool {
        match self {
            Self::User(..)
            | Self::Heartbeat(..)
            | Self::Health(_)
            | Self::Status(_)
            | Self::Mesh(..) => true,
            Self::State(..) | Self::Cloud(..) | Self::Worker(..) | Self::MeshReply(..) => false,
        }
    }
}

#[derive(Debug)]
pub enum Effect {
    Answer(RequestId, Answer),
    MeshAnswer(RequestId, MeshReply),
    State(CallId, StoreCall),
    Cloud(CallId, CloudCall),
    Worker(CallId, String, DirectCommands),
    Mesh(CallId, Node, MeshMessage),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Body,
    /// Seconds after which to ask again.
    pub retry_after: Option<u32>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    Empty,
    Value(Value),
    HeartbeatResponse(HeartbeatResponse),
    Status(Box<Status>),
}

impl Answer {
    pub fn value(status: u16, body: Value) -> Self {
        Self {
            status,
            body: Body::Value(body),
            retry_after: None,
        }
    }
    pub fn empty(status: u16) -> Self {
        Self {
            status,
            body: Body::Empty,
            retry_after: None,
        }
    }
    /// Cannot be taken now; says at once when to come back.
    pub fn unavailable() -> Self {
        Self {
            status: 503,
            body: Body::Empty,
            retry_after: Some(1),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    List {
        prefix: &'static str,
        from: Option<String>,
    },
    Changes {
        prefix: &'static str,
        from: Version,
    },
    Commit(Transaction),
    LeaseCreate {
        ttl_ms: u64,
    },
    LeaseRenew {
        lease: u64,
    },
    LeaseEnd {
        lease: u64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    Listing(Listing),
    Changes(Changes),
    /// Changes since then are no longer kept.
    TooOld,
    Committed(Version),
    Conflict,
    Lease(u64),
    Done,
    /// The lease has ended.
    LeaseGone,
    /// The transaction breaks a limit of the service and would be refused again.
    Rejected,
    /// Over the service's rate; not executed.
    Busy,
    /// Not executed: an outage, or this controller is refused.
    Refused,
    /// No answer, or one that makes no sense: executed, or not, or later.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    Types,
    List { after: Option<String> },
    Rent(Rental),
    Release(MachineNames),
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    Types(MachineTypes),
    List(MachineList),
    Rented(MachineNames),
    NoCapacity,
    Released,
    /// Refused or over the rate; not executed.
    Refused,
    /// No answer: executed, or not, or later.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    Executed(Heartbeat),
    /// Nothing executed: token or session did not match.
    Fenced(Heartbeat),
    /// The connection could not be made, so nothing was sent.
    NotSent,
    /// No answer: executed, or not, or later.
    Unknown,
}

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
    catalog: catalog::Catalog,
    /// What siblings told of machines' images before there was a share.
    hints: owner::Hints,
    unresponsive: unresponsive::UnresponsiveMachines,
    relays: report_routing::HeartbeatRelays,
    claims: machine_claims::MachineClaims,
    process_pause: process_pause::ProcessPause,
    detection: failure_detection::FailureDetection,
    deferred_heartbeats: deferred_heartbeats::DeferredHeartbeats,
    contacts: gained_machines::MachineContacts,
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
            catalog: catalog::Catalog::default(),
            hints: owner::Hints::new(),
            unresponsive: unresponsive::UnresponsiveMachines::default(),
            relays: report_routing::HeartbeatRelays::new(&config),
            claims: machine_claims::MachineClaims::new(&config),
            process_pause: process_pause::ProcessPause::new(&config),
            detection: failure_detection::FailureDetection::default(),
            deferred_heartbeats: deferred_heartbeats::DeferredHeartbeats::new(&config),
            contacts: gained_machines::MachineContacts::default(),
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
                    owner.commands_answered(&mut self.outbox, &self.store, &machine, call, reply);
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
                    leader.needs(&self.config.node, owner.need.clone());
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
        self.answer_waiting_reports();
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
