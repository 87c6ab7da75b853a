//! What this controller makes of its siblings' failures and of its own. The judging is done by
//! [`failure_detector`]; here it gets its evidence, and what follows is decided:
//!
//! - Suspicion moves nothing. Workers are not sent to a suspected sibling ([`crate::core::controller::heartbeat_routing`]).
//! - A leader whose failure is confirmed by a quorum loses the leader's key to another controller. That is safe at any
//!   time: each write of the map is guarded by that key (link 2 of the safety argument).
//! - A share is handed on only as link 1 allows. A controller that has failed in part ends its own
//!   authority, so that nobody has to wait for its lease: it begins anew, and its key is removed, by itself or, if the
//!   state service refuses it, by a sibling.

use crate::core::Core;
use crate::core::effects::StoreCall;
use crate::core::effects::pending::{OwnershipCall, Pending};
use crate::core::messages::detection::{Detection, Resignation};
use crate::ids::Node;
use failure_detector::{OwnContact, PartialFailure, Stage, StageChange};

/// Part of the lifetime of a key by which a sibling's contact with the state service has to be younger than
/// this controller's own, to show that others are served.
pub(crate) const SERVED_LATER_LIFETIMES: f64 = 0.1;

/// Part of a lease after which a controller judges itself again; that may look at its whole share.
pub(crate) const SELF_CHECK_LEASES: f64 = 0.005;

/// Report times within which a machine's worker has been with a sibling lately.
pub(crate) const ELSEWHERE_REPORT_TIMES: f64 = 2.0;

/// Lifetimes of its key after which a process that has ended has lost it: one since the last renewal, and some
/// for that it was answered before it renewed for the last time.
pub(crate) const LEASE_EXPIRY_LIFETIMES: f64 = 1.2;

/// Leases for which a process that has begun anew tells that its predecessor has ended.
pub(crate) const TELL_RESIGNED_LEASES: f64 = 2.0;

/// Leases for which a controller that workers do not reach takes no share.
pub(crate) const CUT_OFF_PAUSE_LEASES: f64 = 2.0;

impl Core {
    /// Whether this controller acts on failures that are detected.
    pub(crate) fn acts_on_failures(&self) -> bool {
        self.config.features.acts_on_failures()
    }

    /// Judges the siblings anew by what is known now.
    pub(crate) fn judge_siblings(&mut self) {
        let now = self.outbox.now;
        self.take_stored_evidence();
        for change in self.peers.detector_mut().judge(now) {
            log_change(&change);
        }
        if self.resignation_is_known() {
            self.detection.resignation = None;
        }
    }

    /// Whether nobody needs to be told any more that this controller's last process has ended.
    pub(crate) fn resignation_is_known(&self) -> bool {
        let Some((resignation, since)) = &self.detection.resignation else {
            return false;
        };
        let gone = !self
            .store
            .is_registered(&self.config.node, resignation.incarnation);
        let tell_for = self.config.deployment.workers.lease_s * TELL_RESIGNED_LEASES;
        (gone && self.has_state()) || self.outbox.now - since > tell_for
    }

    /// What the state service shows of the siblings: their keys, and whether the map names them.
    pub(crate) fn take_stored_evidence(&mut self) {
        if !self.store.complete() {
            return;
        }
        let map_changed = self.detection.map_seen.replace(self.store.map_changes())
            != Some(self.store.map_changes());
        let owners = self.store.owners();
        for sibling in &self.config.siblings {
            let node = &sibling.node;
            let detector = self.peers.detector_mut();
            detector.set_key_gone(node, self.store.node(node).is_none());
            if map_changed {
                let mut all = owners.teams.values().chain(owners.machines.values());
                detector.set_owns_nothing(node, all.all(|owner| owner.node != *node));
            }
        }
    }

    /// What siblings are told.
    pub(crate) fn own_detection(&self) -> Option<Detection> {
        let now = self.outbox.now;
        self.acts_on_failures().then(|| Detection {
            opinions: self.peers.detector().opinions_to_send(now),
            state_age: self.store.state_silence(now).min(f64::MAX),
            resignation: self
                .detection
                .resignation
                .as_ref()
                .map(|(resignation, _)| resignation.clone()),
        })
    }

    /// A sibling tells what it has found.
    pub(crate) fn take_detection(&mut self, from: &Node, incarnation: u64, detection: Detection) {
        if !self.acts_on_failures() {
            return;
        }
        self.peers
            .detector_mut()
            .receive_opinions(from, detection.opinions, self.outbox.now);
        if let Some(resignation) = detection
            .resignation
            .filter(|r| r.incarnation != incarnation)
        {
            self.end_resigned(from, &resignation);
        }
    }

    /// A sibling's process has ended by itself, but could not remove its key.
    pub(crate) fn end_resigned(&mut self, of: &Node, resignation: &Resignation) {
        let stored = self.store.node(of).map(|stored| &stored.record);
        let still_there = stored.is_some_and(|record| {
            record.incarnation == resignation.incarnation && record.lease == resignation.lease
        });
        if !still_there || !self.has_state() || self.detection.ended == Some(resignation.lease) {
            return;
        }
        tracing::info!("{of} has given up its share; its lease is ended");
        self.detection.ended = Some(resignation.lease);
        let lease = resignation.lease;
        self.outbox.state(
            Pending::OwnershipLease(OwnershipCall::End),
            StoreCall::LeaseEnd { lease },
        );
        self.store.want_sync();
    }

    /// Ends this process's authority if it has lost what others have: they can do better.
    pub(crate) fn resign_if_failed_in_part(&mut self, lease: u64) {
        let now = self.outbox.now;
        if self.shard.is_none() || now < self.detection.next_self_check {
            return;
        }
        let workers = &self.config.deployment.workers;
        self.detection.next_self_check = now + workers.lease_s * SELF_CHECK_LEASES;
        match self.own_contact().partial_failure() {
            None => {}
            Some(PartialFailure::CutFromWorkers) => {
                let pause = workers.lease_s * CUT_OFF_PAUSE_LEASES;
                let pending = Pending::OwnershipLease(OwnershipCall::End);
                self.outbox.state(pending, StoreCall::LeaseEnd { lease });
                self.begin_anew("workers reach siblings only", pause);
                self.peers.sync_soon(now);
            }
            Some(PartialFailure::RefusedByState) => {
                let resignation = Resignation {
                    incarnation: self.ownership.incarnation(),
                    lease,
                };
                self.detection.resignation = Some((resignation, now));
                self.begin_anew("the state service refuses this controller alone", 0.0);
                self.peers.sync_soon(now);
            }
        }
    }

    pub(crate) fn own_contact(&self) -> OwnContact {
        let now = self.outbox.now;
        let workers = &self.config.deployment.workers;
        let workers_silent_s = now - self.peers.workers_heard();
        let mut contact = OwnContact {
            report_s: workers.report_s,
            lease_s: workers.lease_s,
            key_lifetime_s: self.ownership.ttl(),
            workers_silent_s,
            ..OwnContact::default()
        };
        // Looks at the whole share, so only when there is something to find.
        if let Some(owner) = self
            .shard
            .as_ref()
            .filter(|_| workers_silent_s > workers.report_s)
        {
            contact.machines = owner.machine_count();
            contact.others_get_workers = self.peers.siblings_get_workers(now);
            if self.acts_on_failures() {
                let lately = now - workers.report_s * ELSEWHERE_REPORT_TIMES;
                contact.machines_elsewhere = owner.machines_relayed_since(lately);
            }
        }
        if self.acts_on_failures() && self.detection.refusals > 0 {
            let state_silent_s = self.store.state_silence(now);
            let later = now - state_silent_s + self.ownership.ttl() * SERVED_LATER_LIFETIMES;
            contact.store_silent_s = state_silent_s;
            contact.refusals = self.detection.refusals;
            contact.others_heard = self.peers.heard(now).count();
            contact.others_served = self.peers.served_since(later, now);
        }
        contact
    }

    /// Whether renewing the lease would keep a key alive under which nobody acts: this process's authority has
    /// run out, and neither the state service nor any sibling is heard. What it sends may arrive all the
    /// same, and so its share would never be handed on. Once it hears the state service it goes on.
    pub(crate) fn renews_for_nobody(&self) -> bool {
        let now = self.outbox.now;
        self.acts_on_failures()
            && !self.ownership.holds_lease(now)
            && self.store.state_silence(now) > self.ownership.ttl()
            && !self.peers.heard_any(now)
    }

    /// The version of the leader's key, if its process has failed and this controller is to take it over: of
    /// those that may the first by name, so that they do not race.
    pub(crate) fn failed_leader(&self) -> Option<u64> {
        let leader = self.store.leader()?;
        let node = &leader.record.node;
        let may_lead = self.has_state() && self.ownership.holds_lease(self.outbox.now);
        let takes_over = self.acts_on_failures()
            && *node != self.config.node
            && self.peers.detector().has_failed(node)
            && may_lead
            && !self.has_rival();
        takes_over.then_some(leader.version)
    }

    /// Whether a sibling with a name before this controller's could lead as well.
    pub(crate) fn has_rival(&self) -> bool {
        let mut heard = self
            .peers
            .heard(self.outbox.now)
            .filter(|other| **other < self.config.node);
        heard.any(|other| self.can_serve(other))
    }

    /// Whether a sibling is heard, reads the state service and has a key there. One without a key has given up:
    /// the workers may not reach it.
    pub(crate) fn can_serve(&self, sibling: &Node) -> bool {
        self.peers.reads_state(sibling, self.outbox.now) && self.store.node(sibling).is_some()
    }

    /// Whether a worker is not to be sent to this process, since nobody would answer it there.
    pub(crate) fn is_unreachable_owner(&self, node: &Node, incarnation: u64) -> bool {
        *node == self.config.node
            || !self.store.is_registered(node, incarnation)
            || self.peers.detector().has_failed(node)
    }

    /// Whether this process has failed and its key is about to go, so that its share is handed on soon.
    /// One that keeps its key for longer lives, out of reach for a quorum: its machines are claimed.
    pub(crate) fn lease_expires_soon(&self, node: &Node) -> bool {
        let detector = self.peers.detector();
        let lapses_after = self.ownership.ttl() * LEASE_EXPIRY_LIFETIMES;
        detector.has_failed(node) && detector.silence(node, self.outbox.now) < lapses_after
    }
}

/// One line for each change of stage.
pub(crate) fn log_change(change: &StageChange<Node>) {
    let StageChange {
        of,
        from,
        to,
        evidence,
    } = change;
    let (silence, votes) = (evidence.silence_s, evidence.votes);
    let process = evidence.incarnation.map_or(0, |incarnation| incarnation.0);
    match to {
        Stage::Alive => tracing::info!("{of} answers again, process {process} (was {from:?})"),
        Stage::Suspected => {
            tracing::info!("{of} is suspected: no answer for {silence:.1} s, process {process}");
        }
        Stage::Confirmed => {
            let gone = if evidence.key_gone {
                ", its key has gone"
            } else {
                ""
            };
            tracing::info!("{of} has failed: {votes} controllers do not hear it{gone}");
        }
        Stage::HandedOver => tracing::info!("{of} has failed and owns nothing any more"),
    }
}

#[cfg(test)]
mod tests;
