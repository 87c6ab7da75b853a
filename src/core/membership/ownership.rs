//! Until when this process may act for its share. Its key in the state service hangs on a lease;
//! authority ends by the process's own clock, counted from when the last successful renewal was
//! sent, before the lease can end in the store. The leader's key hangs on the same lease; leading
//! only entitles to write the map, and such writes are guarded by the key itself.
//!
//! In an outage of the state service a majority of controllers may vouch for a process, each for a
//! short time and only while it cannot read the store itself.
//!
//! Whatever authority rests on, it ends before a cancellation that this process has not heard of can
//! be late. What any user was told up to `known_as_of` is known here: from a sync sent then, or because
//! every sibling has told, in answer to a question sent then, all final states that it knows. (What
//! a sibling's earlier process told its users is in what the present one has read since it began.)
//! So a cancellation unknown here was confirmed after `known_as_of`; machines were last answered before
//! `known_as_of + max_staleness`; and what they run ends with their leases, before `cancel_s` is over:
//! `max_staleness + lease_s` with drift and a report's way is at most `cancel_s`.
//!
//! To hand a lapsed process's share to
//! others the leader therefore needs, beside the lapse in the store, to know that no voucher is
//! out: the process has ended, or a majority consents, each of which has no unexpired voucher out
//! for it and never again vouches for it. Who does not hear the leader consents in its own key: with zones cut
//! off from one another the leader may hear nobody, though all can read the state service. Where so many controllers are away that no majority can
//! consent, it waits: a process learns nothing more once its key has gone, for it counts only reads
//! that show its key, and a sibling that has seen it gone tells it nothing; so its authority ends
//! `max_staleness` after that. (Every sibling has to tell, so one is enough. One that has restarted has read the
//! store since.) A process says in its hellos that it keeps to this; of others the leader waits for consents.

use crate::config::{Config, Workers};
use crate::core::membership::peers::Peers;
use crate::core::model::process::ProcessId;
use crate::core::model::time::{CLOCK_DRIFT, Time};
use crate::core::store::replica::StoreReplica;
use crate::ids::{Node, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Part of the lease's life between looks at whether consents are to be told unasked.
pub(crate) const CONSENT_TTLS: f64 = 0.1;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Lease {
    None,
    Creating,
    Held(u64),
}

pub struct OwnershipLease {
    pub(crate) node: Node,
    /// Changes whenever the process has to begin anew, as after a restart.
    pub(crate) incarnation: u64,
    pub(crate) majority: usize,
    /// Life of the lease: short enough that a hand-over ends before the workers' leases do.
    pub(crate) ttl: Time,
    pub(crate) margin: Time,
    pub(crate) extension_time: Time,
    /// How long authority may last beyond `known_as_of`.
    pub(crate) max_staleness: Time,
    /// Every cancellation or end that any user was told before then is known here.
    pub(crate) known_as_of: Time,
    /// When each sibling was last asked for all it knows, and told that.
    pub(crate) siblings_known_as_of: BTreeMap<Node, Time>,
    pub(crate) siblings: usize,
    pub(crate) lease: Lease,
    pub(crate) renewed: Time,
    pub(crate) next_renewal: Time,
    pub(crate) renewing: bool,
    /// Not to ask for a lease before this.
    pub(crate) next_attempt: Time,
    pub(crate) writing: bool,
    pub(crate) next_write: Time,
    pub(crate) extensions: BTreeMap<Node, Time>,
    /// Until when this controller's vouchers for others run.
    pub(crate) extensions_granted: BTreeMap<Node, Time>,
    /// Processes whose share may be handed on: no voucher for them from here.
    pub(crate) revoked: BTreeSet<ProcessId>,
    /// Lapsed processes the leader wants to replace, and who has consented.
    pub(crate) consents: BTreeMap<ProcessId, BTreeSet<Node>>,
    pub(crate) asked_since: BTreeMap<ProcessId, Time>,
    /// A question about a lapsed process has come up that siblings have not been asked yet.
    pub(crate) has_new_question: bool,
    pub(crate) ended_predecessor: Option<u64>,
    /// Consents that are told in this process's key.
    pub(crate) stored_consents: Vec<ProcessId>,
    pub(crate) next_stored_consents: Time,
}

/// See the argument above.
pub(crate) fn max_staleness(workers: &Workers) -> Time {
    let tasks_end = workers.lease_s * (1.0 + CLOCK_DRIFT) + workers.report_s * 0.5;
    (workers.cancel_s * 0.5)
        .min((workers.cancel_s - tasks_end) * 0.9)
        .max(0.0)
}

impl OwnershipLease {
    pub fn new(config: &Config, incarnation: u64) -> Self {
        let workers = &config.deployment.workers;
        let ttl = (workers.lease_s * 0.35).clamp(0.1, 600.0);
        let controllers = config.controllers();
        Self {
            node: config.node.clone(),
            incarnation,
            majority: controllers / 2 + 1,
            ttl,
            margin: ttl * 0.1,
            extension_time: workers.lease_s * 0.2,
            max_staleness: max_staleness(workers),
            known_as_of: Time::NEG_INFINITY,
            siblings_known_as_of: BTreeMap::new(),
            siblings: config.siblings.len(),
            lease: Lease::None,
            renewed: Time::NEG_INFINITY,
            next_renewal: 0.0,
            renewing: false,
            next_attempt: 0.0,
            writing: false,
            next_write: 0.0,
            extensions: BTreeMap::new(),
            extensions_granted: BTreeMap::new(),
            revoked: BTreeSet::new(),
            consents: BTreeMap::new(),
            asked_since: BTreeMap::new(),
            has_new_question: false,
            ended_predecessor: None,
            stored_consents: Vec::new(),
            next_stored_consents: 0.0,
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Holds a lease as if it had just been renewed.
    #[cfg(test)]
    pub fn hold(&mut self, lease: u64, now: Time) {
        self.lease = Lease::Held(lease);
        self.renewed = now;
        self.known_as_of = now;
    }

    pub fn ttl(&self) -> Time {
        self.ttl
    }

    pub(crate) fn myself(&self) -> ProcessId {
        ProcessId::new(self.node.clone(), self.incarnation)
    }

    /// Whether this process may command the machines that the map gives it.
    pub fn holds_lease(&self, now: Time) -> bool {
        matches!(self.lease, Lease::Held(_))
            && now < self.known_as_of + self.max_staleness
            && (now < self.store_until() || now < self.extended_until())
    }

    /// Everything that users were told before `asked` is known here.
    pub fn note_known_as_of(&mut self, asked: Time) {
        self.known_as_of = self.known_as_of.max(asked);
    }

    /// A sibling has told all that it knew when it answered a question sent at `asked`.
    pub fn note_sibling_known_as_of(&mut self, node: &Node, asked: Time) {
        self.siblings_known_as_of.insert(node.clone(), asked);
        if self.siblings_known_as_of.len() == self.siblings
            && let Some(earliest) = self
                .siblings_known_as_of
                .values()
                .copied()
                .min_by(Time::total_cmp)
        {
            self.note_known_as_of(earliest);
        }
    }

    pub(crate) fn store_until(&self) -> Time {
        self.renewed + self.ttl * (1.0 - CLOCK_DRIFT) - self.margin
    }

    /// Until when a majority's vouchers run, this controller's own word included.
    pub(crate) fn extended_until(&self) -> Time {
        if self.revoked.contains(&self.myself()) {
            return Time::NEG_INFINITY;
        }
        let mut ends: Vec<Time> = self.extensions.values().copied().collect();
        ends.sort_by(|a, b| b.total_cmp(a));
        let majority = self.majority.checked_sub(2).and_then(|i| ends.get(i));
        majority.copied().unwrap_or(Time::NEG_INFINITY)
    }

    /// The leader's term, if this process holds the leader's key as far as it knows.
    pub fn leads(&self, store: &StoreReplica) -> Option<Version> {
        let leader = store.leader()?;
        let mine = leader.record.node == self.node && leader.record.incarnation == self.incarnation;
        (mine && matches!(self.lease, Lease::Held(_))).then_some(leader.version)
    }

    pub fn wants_extension(&self, now: Time) -> Option<u64> {
        // A restarted controller's own word counts only after one voucher time; and a majority
        // needs that word, which the leader may have by now for the hand-over of this share.
        let wants = matches!(self.lease, Lease::Held(_))
            && now - self.renewed > self.ttl * 0.5
            && now > self.extension_time
            && !self.revoked.contains(&self.myself());
        wants.then_some(self.incarnation)
    }

    /// Asked to vouch for a process; a yes binds this controller for one voucher time.
    pub fn grant_extension(
        &mut self,
        node: &Node,
        incarnation: u64,
        store: &StoreReplica,
        now: Time,
    ) -> bool {
        let known = store.is_registered(node, incarnation);
        let blind = store.state_silence(now) > self.ttl * 0.3;
        let revoked = self
            .revoked
            .contains(&ProcessId::new(node.clone(), incarnation));
        let yes = known && blind && !revoked && now > self.extension_time;
        if yes {
            self.extensions_granted.insert(
                node.clone(),
                now + self.extension_time * (1.0 + CLOCK_DRIFT),
            );
        }
        yes
    }

    pub fn extension_granted(&mut self, node: &Node, sent: Time, now: Time) {
        if self.wants_extension(now).is_some() {
            let until = sent + self.extension_time * (1.0 - CLOCK_DRIFT) - self.margin;
            self.extensions.insert(node.clone(), until);
        }
    }

    /// Asked whether a lapsed process may be replaced: not while a voucher from here is out.
    pub fn consent(&mut self, process: &ProcessId, now: Time) -> bool {
        let own = *process == self.myself();
        let free = match own {
            // Its own word stands behind its authority for as long as that lasts.
            true => !self.holds_lease(now),
            false => self
                .extensions_granted
                .get(&process.node)
                .is_none_or(|until| *until < now),
        };
        let yes = free && now > self.extension_time;
        if yes {
            self.revoked.insert(process.clone());
        }
        yes
    }

    pub fn wanted_consents(&self) -> Vec<ProcessId> {
        self.consents.keys().cloned().collect()
    }

    /// Controllers that have consented to the hand-over of a process's share by hello, and how many it takes.
    pub fn consents_to(&self, process: &ProcessId) -> (usize, usize) {
        (
            self.consents.get(process).map_or(0, BTreeSet::len),
            self.majority,
        )
    }

    pub fn consented(&mut self, from: &Node, processes: &[ProcessId]) {
        for process in processes {
            if let Some(consents) = self.consents.get_mut(process) {
                consents.insert(from.clone());
            }
        }
    }

    /// For the leader: whether nothing is left of a process's authority. Asks for consents as
    /// long as that is open.
    pub fn lease_expired(
        &mut self,
        process: &ProcessId,
        store: &StoreReplica,
        peers: &Peers,
        now: Time,
    ) -> bool {
        if process.node == self.node {
            // An earlier process of this very controller, or this one before it began anew.
            return process.incarnation != self.incarnation;
        }
        if let Some(registered) = store.node(&process.node) {
            // Its successor has registered, so it has ended.
            return registered.record.incarnation != process.incarnation;
        }
        let since = *self.asked_since.entry(process.clone()).or_insert(now);
        let heard = peers.incarnation_of(&process.node, since);
        if heard.is_some_and(|incarnation| incarnation != process.incarnation) {
            return true;
        }
        let own = self.consent(process, now).then(|| self.node.clone());
        self.has_new_question |= !self.consents.contains_key(process);
        let asked = self.consents.entry(process.clone()).or_default();
        let stored = store
            .nodes()
            .iter()
            .filter(|(_, n)| n.record.consents.contains(process));
        let stored = stored.map(|(node, _)| node);
        let consents: BTreeSet<&Node> = asked.iter().chain(stored).chain(&own).collect();
        let over = since + self.max_staleness * (1.0 + CLOCK_DRIFT) + self.margin;
        consents.len() >= self.majority || (peers.authority_ends(process) && now > over)
    }

    /// Whether siblings are to be asked for consents at once.
    pub fn take_new_question(&mut self) -> bool {
        std::mem::take(&mut self.has_new_question)
    }

    /// Consents to the hand-over of processes that own something though their keys have gone, while the
    /// leader, who would ask for that, is not heard. What was told once stays told, for it holds for good.
    pub(crate) fn consent_unasked(&mut self, store: &StoreReplica, peers: &Peers, now: Time) {
        if now < self.next_stored_consents {
            return;
        }
        self.next_stored_consents = now + self.ttl * CONSENT_TTLS;
        let unheard = |node: &Node| *node != self.node && !peers.hears(node, now);
        if !store
            .leader()
            .is_some_and(|leader| unheard(&leader.record.node))
        {
            return;
        }
        let owners = store.owners();
        let owners = owners.teams.values().chain(owners.machines.values());
        let owners: BTreeSet<ProcessId> = owners.map(|owner| owner.process()).collect();
        let gone = owners
            .into_iter()
            .filter(|process| store.node(&process.node).is_none());
        let gone: Vec<ProcessId> = gone.collect();
        self.stored_consents = gone
            .into_iter()
            .filter(|process| self.consent(process, now))
            .collect();
    }

    /// The map names only these processes: questions about others are closed.
    pub fn close_questions(&mut self, open: &BTreeSet<ProcessId>) {
        self.consents.retain(|process, _| open.contains(process));
        self.asked_since.retain(|process, _| open.contains(process));
    }

    pub(crate) fn lost(&mut self, next_attempt: Time) {
        self.lease = Lease::None;
        self.incarnation += 1;
        self.renewing = false;
        self.writing = false;
        self.extensions.clear();
        self.consents.clear();
        self.asked_since.clear();
        self.stored_consents.clear();
        self.next_attempt = next_attempt;
    }
}

#[cfg(test)]
mod tests;
