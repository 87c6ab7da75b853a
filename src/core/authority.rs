//! Who leads, and until when. The leader's key in the state service hangs on a lease; authority
//! ends by the leader's own clock, counted from when the last successful renewal was sent, before
//! the lease can end in the store. The key's revision is the leader's term.
//!
//! In an outage of the state service a majority of controllers may vouch for the leader, each for
//! a short time and only while it cannot read the store itself. A candidate therefore needs, beside
//! the key, to know that no voucher is out: the last leader's process has ended, or a majority
//! consents, each of which has no unexpired voucher out and never again vouches for a lower term.

use super::io::{Io, Pending};
use super::lead::Lead;
use super::peers::Peers;
use super::view::{LEADER_KEY, LeaderRecord, View, guard, put};
use super::{Core, StateCall, StateReply, Time};
use crate::config::Config;
use crate::ids::{Node, Term};
use crate::wire::Transaction;
use std::collections::{BTreeMap, BTreeSet};

/// Clocks run fast or slow by 0.05%; two of them differ by at most twice that, doubled again.
pub const DRIFT: f64 = 0.002;

#[derive(Debug)]
pub enum AuthorityCall {
    Create { sent: Time },
    Claim { lease: u64 },
    Renew { lease: u64, sent: Time },
    End,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Role {
    Follower,
    /// A lease has been asked for.
    Creating,
    /// Holds a lease and has asked for the key; the outcome is read from the view.
    Claiming {
        lease: u64,
    },
    /// Holds the key.
    Holding {
        lease: u64,
        term: Term,
    },
}

pub struct Authority {
    node: Node,
    incarnation: u64,
    majority: usize,
    controllers: usize,
    /// Life of the lease: short enough that a hand-over ends before the workers' leases do.
    ttl: Time,
    margin: Time,
    voucher: Time,
    /// How long authority may outlast the store's, if siblings may have accepted cancellations.
    outlast: Time,
    role: Role,
    /// When the key was first seen to be held.
    held_since: Time,
    /// Whether the term has been taken up: state read, consent had.
    acting: bool,
    renewed: Time,
    vouchers: BTreeMap<Node, Time>,
    consents: BTreeSet<Node>,
    next_renewal: Time,
    renewing: bool,
    next_attempt: Time,
    /// The voucher this controller gave last.
    promised: Option<(Node, Time)>,
    /// Terms below this get no voucher from here.
    consented_term: Term,
    ended_predecessor: Option<u64>,
}

impl Authority {
    pub fn new(config: &Config, incarnation: u64) -> Self {
        let workers = &config.deployment.workers;
        let ttl = (workers.lease_s * 0.35).clamp(0.1, 600.0);
        let controllers = config.controllers();
        Self {
            node: config.node.clone(),
            incarnation,
            majority: controllers / 2 + 1,
            controllers,
            ttl,
            margin: ttl * 0.1,
            voucher: workers.lease_s * 0.2,
            outlast: workers.cancel_s * 0.5,
            role: Role::Follower,
            held_since: 0.0,
            acting: false,
            renewed: Time::NEG_INFINITY,
            vouchers: BTreeMap::new(),
            consents: BTreeSet::new(),
            next_renewal: 0.0,
            renewing: false,
            next_attempt: 0.0,
            promised: None,
            consented_term: Term(0),
            ended_predecessor: None,
        }
    }

    /// Whether this controller may command machines now.
    pub fn entitled(&self, now: Time) -> bool {
        self.acting && (now < self.store_until() || now < self.vouched_until())
    }

    fn store_until(&self) -> Time {
        self.renewed + self.ttl * (1.0 - DRIFT) - self.margin
    }

    /// Until when a majority's vouchers run, this controller's own word included.
    fn vouched_until(&self) -> Time {
        let mut ends: Vec<Time> = self.vouchers.values().copied().collect();
        ends.sort_by(|a, b| b.total_cmp(a));
        let all = self.controllers.saturating_sub(2);
        let Some(majority) = self.majority.checked_sub(2).and_then(|i| ends.get(i)) else {
            return Time::NEG_INFINITY;
        };
        // With a voucher from everyone nobody reads the store, so no cancellation passes by.
        let capped = majority.min(self.renewed + self.outlast);
        ends.get(all).copied().unwrap_or(Time::NEG_INFINITY).max(capped)
    }

    pub fn wants_voucher(&self, now: Time) -> Option<Term> {
        // A restarted controller's own word counts only after one voucher time.
        match self.role {
            Role::Holding { term, .. }
                if self.acting
                    && now - self.renewed > self.ttl * 0.5
                    && now > self.voucher
                    && term >= self.consented_term =>
            {
                Some(term)
            }
            _ => None,
        }
    }

    pub fn wants_consent(&self) -> Option<Term> {
        match self.role {
            Role::Holding { term, .. } if !self.acting => Some(term),
            _ => None,
        }
    }

    /// Asked to vouch for `node`; a yes binds this controller for one voucher time.
    pub fn vouch(&mut self, node: &Node, term: Term, view: &View, now: Time) -> bool {
        let led_by = view.leader().is_some_and(|l| l.record.node == *node && l.version == term.0);
        let free = self.promised.as_ref().is_none_or(|(to, until)| to == node || *until < now);
        let blind = view.state_silence(now) > self.ttl * 0.3;
        let yes = led_by
            && free
            && blind
            && now > self.voucher
            && term >= self.consented_term
            && matches!(self.role, Role::Follower | Role::Creating);
        if yes {
            self.promised = Some((node.clone(), now + self.voucher * (1.0 + DRIFT)));
        }
        yes
    }

    pub fn vouched(&mut self, node: &Node, sent: Time, now: Time) {
        // A majority needs this controller's own word, which a later term may have by now: a
        // leader cut from the store consents to its successor and must not come back after.
        if self.wants_voucher(now).is_some() {
            let until = sent + self.voucher * (1.0 - DRIFT) - self.margin;
            self.vouchers.insert(node.clone(), until);
            let own = now + self.voucher;
            self.promised = Some((self.node.clone(), own));
        }
    }

    /// Asked whether `node` may act under `term`: not while a voucher from here is out.
    pub fn consent(&mut self, node: &Node, term: Term, now: Time) -> bool {
        let free = self.promised.as_ref().is_none_or(|(to, until)| to == node || *until < now);
        let yes = free && now > self.voucher && term >= self.consented_term;
        if yes {
            self.consented_term = term;
            if !matches!(self.role, Role::Holding { term: own, .. } if own >= term) {
                self.vouchers.clear();
            }
        }
        yes
    }

    pub fn consented(&mut self, node: Node) {
        if self.wants_consent().is_some() {
            self.consents.insert(node);
        }
    }

    /// Whether no authority of an earlier leader can be left.
    fn unopposed(&mut self, view: &View, peers: &Peers, term: Term, now: Time) -> bool {
        let Some(previous) = view.acting() else { return true };
        let previous = &previous.record;
        if previous.node == self.node {
            return true;
        }
        let restarted = |seen: u64| seen != previous.incarnation;
        if peers.incarnation_of(&previous.node, self.held_since).is_some_and(restarted) {
            return true;
        }
        let node = self.node.clone();
        let own = usize::from(self.consent(&node, term, now));
        self.consents.len() + own >= self.majority
    }

    /// Gives leadership back, and lets others try first.
    fn resign(&mut self, io: &mut Io, pause: Time) {
        if let Role::Claiming { lease } | Role::Holding { lease, .. } = self.role {
            io.state(Pending::Authority(AuthorityCall::End), StateCall::LeaseEnd { lease });
        }
        self.lost(io.now + pause);
    }

    fn lost(&mut self, next_attempt: Time) {
        self.role = Role::Follower;
        self.acting = false;
        self.renewing = false;
        self.vouchers.clear();
        self.consents.clear();
        self.next_attempt = next_attempt;
    }
}

impl Core {
    pub(super) fn authority_reply(&mut self, call: AuthorityCall, reply: StateReply) {
        let now = self.io.now;
        let authority = &mut self.authority;
        match (call, reply) {
            (AuthorityCall::Create { sent }, StateReply::Lease(lease)) => {
                if authority.role != Role::Creating {
                    return;
                }
                authority.renewed = sent;
                authority.role = Role::Claiming { lease };
                authority.next_attempt = now + authority.ttl;
                let node = authority.node.clone();
                let incarnation = authority.incarnation;
                let record = LeaderRecord { node, incarnation, lease, term: Term(0) };
                let claim = Transaction {
                    guards: vec![guard(LEADER_KEY, 0)],
                    writes: vec![put(LEADER_KEY, &record, Some(lease))],
                };
                let pending = Pending::Authority(AuthorityCall::Claim { lease });
                self.io.state(pending, StateCall::Commit(claim));
            }
            (AuthorityCall::Create { .. }, _) => {
                authority.lost(now + self.io.jitter(authority.ttl * 0.1));
            }
            (AuthorityCall::Claim { lease }, reply) => match reply {
                // Committed, or perhaps: the view tells, once it is that far.
                StateReply::Committed(_) | StateReply::Unknown => self.view.want_sync(),
                _ if authority.role == (Role::Claiming { lease }) => {
                    let pause = self.io.jitter(authority.ttl * 0.1);
                    authority.resign(&mut self.io, pause);
                    self.view.want_sync();
                }
                _ => {}
            },
            (AuthorityCall::Renew { lease, sent }, reply) => {
                if !matches!(authority.role, Role::Holding { lease: held, .. } if held == lease) {
                    return;
                }
                authority.renewing = false;
                match reply {
                    StateReply::Done => {
                        authority.renewed = authority.renewed.max(sent);
                        authority.next_renewal = now + authority.ttl / 3.0;
                        // Another's voucher is moot while the store answers.
                        authority.vouchers.clear();
                    }
                    StateReply::LeaseGone => {
                        tracing::info!("leadership lost: the lease has ended");
                        authority.lost(now);
                        self.lead = None;
                    }
                    _ => authority.next_renewal = now + self.io.jitter(authority.ttl / 12.0),
                }
            }
            (AuthorityCall::End, _) => {}
        }
    }

    pub(super) fn lead_or_follow(&mut self) {
        let now = self.io.now;
        let leader = self.view.leader().map(|l| (l.record.clone(), Term(l.version)));
        match self.authority.role {
            Role::Follower => self.stand_when_vacant(leader),
            Role::Creating => {}
            Role::Claiming { lease } => match leader {
                Some((record, term)) if self.is_mine(&record) && record.lease == lease => {
                    self.authority.role = Role::Holding { lease, term };
                    self.authority.held_since = now;
                    self.authority.consents.clear();
                    self.authority.next_renewal = self.authority.renewed + self.authority.ttl / 3.0;
                }
                Some(_) => self.authority.resign(&mut self.io, 0.0),
                None if now > self.authority.next_attempt => {
                    self.authority.resign(&mut self.io, 0.0);
                }
                None => {}
            },
            Role::Holding { lease, term } => {
                if leader.as_ref().is_none_or(|(_, current)| *current != term) {
                    tracing::info!("leadership lost: the leader's key is not ours any more");
                    self.authority.resign(&mut self.io, 0.0);
                    self.lead = None;
                    return;
                }
                self.renew_when_due(lease);
                if !self.authority.acting {
                    self.take_up(term);
                } else if self.cut_from_workers() {
                    tracing::info!("leadership given up: workers reach siblings only");
                    let pause = self.config.deployment.workers.lease_s * 2.0;
                    self.authority.resign(&mut self.io, pause);
                    self.lead = None;
                }
            }
        }
    }

    fn is_mine(&self, record: &LeaderRecord) -> bool {
        record.node == self.authority.node && record.incarnation == self.authority.incarnation
    }

    fn stand_when_vacant(&mut self, leader: Option<(LeaderRecord, Term)>) {
        let now = self.io.now;
        if !self.view.complete() || now < self.authority.next_attempt {
            return;
        }
        if let Some((record, _)) = leader {
            // This node's earlier process has ended for certain: end its leadership at once. So
            // must go a key of ours that a late transaction brought.
            if record.node == self.authority.node
                && self.authority.ended_predecessor != Some(record.lease)
            {
                self.authority.ended_predecessor = Some(record.lease);
                let call = StateCall::LeaseEnd { lease: record.lease };
                self.io.state(Pending::Authority(AuthorityCall::End), call);
                self.view.want_sync();
            }
            return;
        }
        // The view may be old; the claim is guarded, so that costs one request.
        self.authority.role = Role::Creating;
        let ttl_ms = (self.authority.ttl * 1000.0) as u64;
        let pending = Pending::Authority(AuthorityCall::Create { sent: now });
        self.io.state(pending, StateCall::LeaseCreate { ttl_ms });
    }

    fn renew_when_due(&mut self, lease: u64) {
        let now = self.io.now;
        if !self.authority.renewing && now >= self.authority.next_renewal {
            self.authority.renewing = true;
            let pending = Pending::Authority(AuthorityCall::Renew { lease, sent: now });
            self.io.state(pending, StateCall::LeaseRenew { lease });
        }
    }

    /// Begins to act once the view is newer than the claim and no earlier authority is left.
    fn take_up(&mut self, term: Term) {
        let now = self.io.now;
        if self.view.revision() < term.0
            || now >= self.authority.store_until()
            || !self.authority.unopposed(&self.view, &self.peers, term, now)
        {
            return;
        }
        if self.lead.as_ref().is_none_or(|lead| lead.term != term) {
            tracing::info!("leading under term {}", term.0);
            let clock = (now, self.io.wall_ms);
            self.lead = Some(Lead::new(&self.config, term, clock, &mut self.view));
            self.peers.heard_workers(now);
        }
        let record = LeaderRecord {
            node: self.authority.node.clone(),
            incarnation: self.authority.incarnation,
            lease: 0,
            term,
        };
        let acting = self.view.acting().is_some_and(|a| a.record == record);
        if acting {
            self.authority.acting = true;
        } else if let Some(lead) = self.lead.as_mut() {
            lead.record_acting(&mut self.io, &self.view, &record);
        }
    }

    fn cut_from_workers(&self) -> bool {
        let workers = &self.config.deployment.workers;
        let silence = (workers.report_s * 2.0).max(workers.lease_s * 0.3);
        self.peers.cut_from_workers(self.io.now, silence)
    }
}
