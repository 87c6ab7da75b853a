//! The state machine that decides everything. It does no I/O: batches of [`Input`]s and the time
//! go in, [`Effect`]s come out. Same inputs, same times and same seed give the same effects.

pub mod authority;
pub mod desk;
pub mod io;
pub mod jobs;
pub mod lead;
pub mod machines;
pub mod part_map;
pub mod peers;
pub mod placement;
pub mod preempt;
pub mod quota;
pub mod ranges;
pub mod schedule;
pub mod supply;
pub mod view;

use crate::config::Config;
use crate::ids::{JobId, Node, Version};
use crate::wire::{
    Changes, DirectOrders, JobSpec, Listing, MachineList, MachineNames, MachineTypes, Rental,
    Report, ReportAnswer, Transaction,
};
use authority::Authority;
use desk::Desk;
use io::{Io, Pending};
use lead::Lead;
use peers::{MeshMessage, MeshReply, Peers};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use std::rc::Rc;
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

#[derive(Debug)]
pub enum Input {
    User(RequestId, UserRequest),
    Report(RequestId, Report),
    Health(RequestId),
    Mesh(RequestId, MeshMessage),
    State(CallId, StateReply),
    Cloud(CallId, CloudReply),
    Worker(CallId, WorkerReply),
    MeshReply(CallId, Option<MeshReply>),
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
}

impl Answer {
    pub fn value(status: u16, body: Value) -> Self {
        Self { status, body: Body::Value(body), retry_after: None }
    }
    pub fn empty(status: u16) -> Self {
        Self { status, body: Body::Empty, retry_after: None }
    }
    /// Cannot be taken now; says at once when to come back.
    pub fn unavailable() -> Self {
        Self { status: 503, body: Body::Empty, retry_after: Some(1) }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum StateCall {
    List { prefix: &'static str, from: Option<String> },
    Changes { prefix: &'static str, from: Version },
    Commit(Transaction),
    LeaseCreate { ttl_ms: u64 },
    LeaseRenew { lease: u64 },
    LeaseEnd { lease: u64 },
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
    desk: Desk,
    peers: Peers,
    authority: Authority,
    lead: Option<Lead>,
    supply: supply::Catalog,
}

impl Core {
    pub fn new(config: Config, seed: u64) -> Self {
        let config = Rc::new(config);
        let mut rng = StdRng::seed_from_u64(seed);
        let incarnation = rand::Rng::random::<u64>(&mut rng) >> 12;
        Self {
            io: Io::new(rng),
            view: View::new(&config),
            desk: Desk::default(),
            peers: Peers::new(&config, incarnation),
            authority: Authority::new(&config, incarnation),
            lead: None,
            supply: supply::Catalog::default(),
            config,
        }
    }

    /// Works through a batch. `now` is the steady clock; `wall_ms` the time of day.
    pub fn step(&mut self, now: Time, wall_ms: u64, batch: Vec<Input>) -> Vec<Effect> {
        self.io.begin(now, wall_ms);
        for input in batch {
            self.input(input);
        }
        self.advance();
        self.io.take_effects()
    }

    /// Whether this controller leads and is entitled to command machines.
    pub fn leads(&self, now: Time) -> bool {
        self.lead.is_some() && self.authority.entitled(now)
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::User(request, what) => self.user_request(request, what),
            Input::Health(request) => self.health(request),
            Input::Report(request, report) => self.report(request, report),
            Input::Mesh(request, message) => self.mesh_message(request, message),
            Input::State(call, reply) => {
                if let Some(pending) = self.io.finish(call) {
                    self.state_reply(pending, reply);
                }
            }
            Input::Cloud(call, reply) => {
                if let Some(Pending::Cloud(pending)) = self.io.finish(call) {
                    self.cloud_reply(pending, reply);
                }
            }
            Input::Worker(call, reply) => {
                if let (Some(Pending::Orders { machine, sent }), Some(lead)) =
                    (self.io.finish(call), self.lead.as_mut())
                {
                    lead.orders_answered(&mut self.io, &self.view, &machine, &sent, reply);
                }
            }
            Input::MeshReply(call, reply) => {
                if let Some(pending) = self.io.finish(call) {
                    self.mesh_reply(pending, reply);
                }
            }
        }
    }

    fn state_reply(&mut self, pending: Pending, reply: StateReply) {
        if !matches!(reply, StateReply::Busy | StateReply::Refused | StateReply::Unknown) {
            self.view.state_answered(self.io.now);
        }
        match pending {
            Pending::Sync { sent } => self.synced(sent, reply),
            Pending::Desk(pending) => self.desk_reply(pending, reply),
            Pending::Authority(pending) => self.authority_reply(pending, reply),
            Pending::Lead(term, pending) => {
                if let Some(lead) = self.lead.as_mut().filter(|lead| lead.term == term) {
                    lead.state_reply(&mut self.io, &mut self.view, pending, reply);
                }
            }
            Pending::Orders { .. }
            | Pending::Hello { .. }
            | Pending::Relay { .. }
            | Pending::Notice
            | Pending::Cloud(_) => {}
        }
    }

    /// Everything that happens by itself as time passes.
    fn advance(&mut self) {
        self.sync_when_due();
        self.desk_timeouts();
        self.hello_when_due();
        self.lead_or_follow();
        self.cloud_when_due();
        if let Some(lead) = self.lead.as_mut()
            && self.authority.entitled(self.io.now)
        {
            lead.advance(&mut self.io, &mut self.view, &self.supply);
        }
    }

    /// Answers a worker, or sends it where it should report.
    fn report(&mut self, request: RequestId, report: Report) {
        let now = self.io.now;
        if self.leads(now)
            && let Some(lead) = self.lead.as_mut()
        {
            let answer = lead.checkin(&mut self.io, &self.view, &self.supply, report);
            self.peers.heard_workers(now);
            return self.io.answer(request, answer);
        }
        // The leader in the store may be this very node, not yet or no longer entitled.
        let leader = self.view.leader().map(|l| &l.record.node);
        let elsewhere = leader.filter(|node| **node != self.config.node);
        self.peers.sent_worker_away(now);
        self.io.answer(request, Answer::value(421, crate::wire::report_to(elsewhere)));
    }
}
