//! The state machine that decides everything. It does no I/O: batches of [`Input`]s and the time
//! go in, [`Effect`]s come out. Same inputs, same times and same seed give the same effects.

pub mod authority;
pub mod cancelled;
pub mod catalog;
pub mod consolidation;
pub mod dependencies;
pub mod failure_detection;
pub mod forecast;
pub mod gained_machines;
pub mod io;
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
pub mod owned_jobs;
pub mod owner;
pub mod pacing;
pub mod part_map;
pub mod peer_sync;
pub mod peers;
pub mod placement;
pub mod plan;
pub mod preemption;
pub mod quota;
pub mod ranges;
pub mod rebalance;
pub mod renting;
pub mod report_routing;
pub mod resumption;
pub mod schedule;
pub mod share_log;
pub mod spare_machines;
pub mod starts_in_flight;
pub mod status;
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
pub mod view;
pub mod waiting_reports;
pub mod zone_contact;

use crate::config::Config;
use crate::ids::{JobId, Node, Team, Version};
use crate::status::Status;
use crate::wire::{
    Changes, DirectOrders, JobSpec, Listing, MachineList, MachineNames, MachineTypes, Rental,
    Report, ReportAnswer, Transaction,
};
use authority::Authority;
use io::{Io, Pending};
use leader::Leader;
use owner::Owner;
use peers::{MeshMessage, MeshReply, Peers};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use std::rc::Rc;
use user_requests::UserRequests;
use view::View;

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
    Report(RequestId, Report),
    Health(RequestId),
    /// An operator asks.
    Status(RequestId),
    Mesh(RequestId, MeshMessage),
    State(CallId, StateReply),
    Cloud(CallId, CloudReply),
    Worker(CallId, WorkerReply),
    MeshReply(CallId, Option<MeshReply>),
}

impl Input {
    /// Whether somebody else asks; all else is the reply to a call of this process.
    pub fn is_question(&self) -> bool {
        match self {
            Self::User(..)
            | Self::Report(..)
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
    State(CallId, StateCall),
    Cloud(CallId, CloudCall),
    Worker(CallId, String, DirectOrders),
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
    Orders(ReportAnswer),
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
pub enum StateCall {
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
pub enum StateReply {
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
    Executed(Report),
    /// Nothing executed: token or session did not match.
    Fenced(Report),
    /// The connection could not be made, so nothing was sent.
    NotSent,
    /// No answer: executed, or not, or later.
    Unknown,
}

/// One controller.
pub struct Core {
    config: Rc<Config>,
    io: Io,
    view: View,
    user_requests: UserRequests,
    peers: Peers,
    authority: Authority,
    /// This process's share, while it is registered.
    owner: Option<Owner>,
    /// The map and the cloud, while this process leads.
    leader: Option<Leader>,
    catalog: catalog::Catalog,
    /// What siblings told of machines' images before there was a share.
    hints: owner::Hints,
    unresponsive: unresponsive::UnresponsiveMachines,
    relays: report_routing::Relays,
    claims: machine_claims::MachineClaims,
    resumption: resumption::Resumption,
    detection: failure_detection::FailureDetection,
    waiting_reports: waiting_reports::WaitingReports,
    contacts: gained_machines::MachineContacts,
}

impl Core {
    pub fn new(config: Config, seed: u64) -> Self {
        let config = Rc::new(config);
        let mut rng = StdRng::seed_from_u64(seed);
        let incarnation = rand::Rng::random::<u64>(&mut rng) >> 12;
        Self {
            io: Io::new(rng, &config),
            view: View::new(&config),
            user_requests: UserRequests::default(),
            peers: Peers::new(&config),
            authority: Authority::new(&config, incarnation),
            owner: None,
            leader: None,
            catalog: catalog::Catalog::default(),
            hints: owner::Hints::new(),
            unresponsive: unresponsive::UnresponsiveMachines::default(),
            relays: report_routing::Relays::new(&config),
            claims: machine_claims::MachineClaims::new(&config),
            resumption: resumption::Resumption::new(&config),
            detection: failure_detection::FailureDetection::default(),
            waiting_reports: waiting_reports::WaitingReports::new(&config),
            contacts: gained_machines::MachineContacts::default(),
            config,
        }
    }

    /// Works through a batch. `now` is the steady clock; `wall_ms` the time of day.
    pub fn step(&mut self, now: Time, wall_ms: u64, batch: Vec<Input>) -> Vec<Effect> {
        self.io.begin(now, wall_ms);
        self.peers.detector_mut().step(now);
        if let Some(paused) = self.resumption.step(now) {
            self.resumed(paused);
        }
        for input in batch {
            self.input(input);
        }
        self.advance();
        self.io.take_effects()
    }

    /// Whether this controller leads and is entitled to act.
    pub fn leads(&self, now: Time) -> bool {
        self.leader.is_some() && self.authority.entitled(now)
    }

    /// How a sibling is judged.
    pub fn stage_of(&self, sibling: &Node) -> failure_detector::Stage {
        self.peers.detector().stage(sibling)
    }

    /// The teams for which this controller can start tasks: it is entitled to, and has machines.
    pub fn teams(&self, now: Time) -> Vec<Team> {
        let owner = self.owner.as_ref().filter(|_| self.authority.entitled(now));
        let owner = owner.filter(|owner| owner.has_machines());
        owner.map(Owner::settled_teams).unwrap_or_default()
    }

    /// Attempts and jobs of the share looked at so far because something happened to them, and rounds
    /// of placement: what its work is in proportion to.
    pub fn work(&self) -> (u64, u64) {
        self.owner.as_ref().map(Owner::work).unwrap_or_default()
    }

    /// Starts of this process's share that the last guard has held back so far: more than none is a
    /// fault of the tracking.
    pub fn starts_held_back(&self) -> u64 {
        self.owner
            .as_ref()
            .map(|owner| owner.starts_held_back)
            .unwrap_or_default()
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::User(request, what) => self.user_request(request, what),
            Input::Health(request) => self.health(request),
            Input::Status(request) => self.answer_status(request),
            Input::Report(request, report) => self.report(request, report),
            Input::Mesh(request, message) => self.mesh_message(request, message),
            Input::State(call, reply) => {
                if let Some(pending) = self.io.finish(call) {
                    self.state_reply(pending, reply);
                }
            }
            Input::Cloud(call, reply) => match self.io.finish(call) {
                Some(Pending::Cloud(None)) => self.catalog_reply(reply),
                Some(Pending::Cloud(Some(work))) => {
                    if let Some(leader) = self.leader.as_mut() {
                        leader.cloud_reply(&mut self.io, work, reply);
                    }
                }
                _ => {}
            },
            Input::Worker(call, reply) => match (self.io.finish(call), self.owner.as_mut()) {
                (Some(Pending::Orders { machine }), Some(owner)) => {
                    owner.orders_answered(&mut self.io, &self.view, &machine, call, reply);
                }
                (Some(Pending::Question { machine }), Some(_)) => {
                    self.question_answered(&machine, reply);
                }
                _ => {}
            },
            Input::MeshReply(call, reply) => {
                if let Some(pending) = self.io.finish(call) {
                    self.mesh_reply(pending, reply);
                }
            }
        }
    }

    fn state_reply(&mut self, pending: Pending, reply: StateReply) {
        self.io.pace(pending.is_change(), &reply);
        match reply {
            StateReply::Refused => self.detection.refused(),
            StateReply::Busy => {}
            StateReply::Unknown => self.detection.not_refused(),
            _ => {
                self.detection.not_refused();
                self.view.state_answered(self.io.now);
            }
        }
        match pending {
            Pending::Sync { sent } => {
                self.synced(sent, reply);
                // A process whose key has gone learns no more, so that its authority ends.
                if self
                    .view
                    .is_registered(&self.config.node, self.authority.incarnation())
                {
                    self.authority.informed(self.view.current_as_of);
                }
            }
            Pending::UserWrite(pending) => self.user_write_answered(pending, reply),
            Pending::Authority(pending) => self.authority_reply(pending, reply),
            Pending::Records(writes) => {
                if let Some(owner) = self.owner.as_mut() {
                    owner.records_written(&mut self.io, &mut self.view, writes, reply);
                }
            }
            Pending::Map(write) => {
                if let Some(leader) = self.leader.as_mut() {
                    leader.map_written(&mut self.io, &mut self.view, write, reply);
                }
            }
            Pending::Grant(written) => {
                if let Some(owner) = self.owner.as_mut() {
                    owner.grant_written(&mut self.io, &mut self.view, written, reply);
                }
            }
            Pending::Types(write) => match reply {
                StateReply::Committed(version) => self.view.apply_write(&write, version),
                StateReply::Rejected => self.catalog.not_storable(),
                _ => {}
            },
            Pending::Orders { .. }
            | Pending::Question { .. }
            | Pending::Hello { .. }
            | Pending::Relay { .. }
            | Pending::RelayedReport { .. }
            | Pending::Notice
            | Pending::Cloud(_) => {}
        }
    }

    /// The process stood still, and its clock ran on ([`resumption`]).
    fn resumed(&mut self, paused: Time) {
        tracing::info!("stood still for {paused:.1} s");
        self.peers.heard_workers(self.io.now);
        self.view.want_sync();
    }

    /// Everything that happens by itself as time passes.
    fn advance(&mut self) {
        let now = self.io.now;
        let resuming = self.resumption.lasts(self.view.current_as_of, now);
        self.sync_when_due();
        self.time_out_user_requests();
        self.judge_siblings();
        self.relays.follow(&self.view, now);
        self.keep_authority();
        self.catalog_when_due();
        self.take_roles();
        if self.authority.entitled(now) {
            if let Some(owner) = self.owner.as_mut() {
                owner.resuming = resuming;
                owner.advance(
                    &mut self.io,
                    &mut self.view,
                    &self.catalog,
                    &self.unresponsive,
                );
                owner.plan_when_due(&self.io, &self.view, &self.catalog);
                if !owner.has_machines() {
                    // Nobody to hear from: silence says nothing.
                    self.peers.heard_workers(now);
                }
                if owner.take_sync_soon() {
                    self.peers.sync_soon(now);
                }
            }
            if let Some(leader) = self.leader.as_mut() {
                if let Some(owner) = self.owner.as_mut() {
                    leader.needs(&self.config.node, owner.need.clone());
                    owner.refused = leader.refused();
                }
                leader.resuming = resuming;
                leader.advance(
                    &mut self.io,
                    &self.view,
                    &mut self.authority,
                    &self.peers,
                    &self.catalog,
                    &self.unresponsive,
                );
                if self.authority.take_new_question() && self.acts_on_failures() {
                    self.peers.sync_soon(now);
                }
            }
            self.ask_gained_machines();
        }
        self.answer_waiting_reports();
        self.hello_when_due();
    }

    /// A share begins once this process is registered; leading begins and ends with the key.
    fn take_roles(&mut self) {
        let now = self.io.now;
        let incarnation = self.authority.incarnation();
        let registered = self.view.is_registered(&self.config.node, incarnation);
        if self.owner.is_none() && registered && self.authority.entitled(now) {
            let hints = std::mem::take(&mut self.hints);
            self.owner = Some(Owner::new(&self.config, incarnation, hints, now));
            self.peers.heard_workers(now);
        }
        let leads = self.authority.leads(&self.view);
        if self.leader.as_ref().map(|leader| leader.term) != leads {
            // The map as of the key's own revision has every change of earlier leaders.
            self.leader = leads
                .filter(|term| self.view.revision() >= *term)
                .map(|term| {
                    tracing::info!("leading under term {term}");
                    Leader::new(&self.config, term, &self.view, now)
                });
        }
    }
}
