//! The ownership lease: until when this process may act as the owner of its shard.
//!
//! # Lease in the store
//!
//! The process's key in the store is attached to a lease. Ownership ends by the process's own clock,
//! counted from the time at which the last successful renewal was sent, so it ends before the lease
//! can expire in the store. The leader's key is attached to the same lease. Leadership only entitles
//! a process to write the shard map, and such writes have the leader's key as a precondition.
//!
//! During an outage of the store a majority of the controllers may extend the lease (`extensions`).
//! Before the shard of a process is failed over, a majority consents to that (`consents`).
//!
//! # Bounded staleness
//!
//! Whether the lease was renewed or extended, ownership ends before a cancellation that this process
//! has not learnt of can be overdue. Every final state that was confirmed to a user before
//! `current_as_of` is known here: from a sync with the store sent at that time, or because every
//! sibling has answered a request sent at that time with all final states that it knows. (Final
//! states that an earlier process of a sibling confirmed are part of what the present one has read
//! since it started.)
//!
//! A cancellation that is unknown here was therefore confirmed after `current_as_of`. Machines were
//! last answered before `current_as_of + staleness_bound`, and their tasks end with the machines'
//! leases, before `cancel_s` has passed: `staleness_bound + lease_s`, with clock drift and the travel
//! time of a heartbeat, is at most `cancel_s`.

mod consents;
mod extensions;

pub use consents::ConsentProgress;

use crate::config::{Config, Workers};
use crate::core::model::process::ProcessId;
use crate::core::model::time::{MAX_CLOCK_DRIFT, Time};
use crate::core::store::replica::StoreReplica;
use crate::ids::{ControllerName, Version};
use consents::FailoverConsents;
use extensions::LeaseExtensions;
use std::collections::BTreeMap;

/// Lifetime of the lease, as a part of a worker's lease: short enough that a failover is complete
/// before the workers' leases expire.
const TTL_WORKER_LEASES: f64 = 0.35;

/// Least and greatest lifetime of the lease in seconds, whatever the worker's lease is.
const TTL_BOUNDS: (Time, Time) = (0.1, 600.0);

/// Part of the lease's lifetime by which ownership ends before the lease can expire in the store.
const MARGIN_TTLS: f64 = 0.1;

/// Renewals in one lifetime of the lease.
const RENEWALS_PER_TTL: f64 = 3.0;

/// Retries of a renewal that failed, in one lifetime of the lease.
const RENEWAL_RETRIES_PER_TTL: f64 = 12.0;

/// Retries of a renewal that the store was too busy for, in one lifetime of the lease. All other
/// calls are retried later than this, so that renewals are served first.
const BUSY_RENEWAL_RETRIES_PER_TTL: f64 = 100.0;

/// Part of the lease's lifetime after which other calls of the lease are made again.
const RETRY_TTLS: f64 = 0.1;

/// Part of `cancel_s` that the staleness bound takes at most.
const STALENESS_PER_CANCEL_TIME: f64 = 0.5;

/// Part of the time between the end of the tasks and `cancel_s` that the staleness bound takes at most.
const STALENESS_PER_REMAINING_TIME: f64 = 0.9;

/// Intervals between heartbeats that a heartbeat travels at most.
const HEARTBEAT_TRAVEL_INTERVALS: f64 = 0.5;

/// The state of the lease in the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LeaseState {
    /// There is none.
    None,
    /// Its creation has been requested.
    Creating,
    /// It was granted under this id. Whether it is still valid is decided by the clock.
    Held(u64),
}

/// The next call that keeps the lease alive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseCall {
    /// Create a lease.
    Create,
    /// Renew the lease with this id.
    Renew(u64),
}

/// This process's ownership lease, and its part in the extensions and failovers of other processes.
pub struct OwnershipLease {
    node: ControllerName,
    /// Changes whenever the process steps down, as if it had restarted.
    incarnation: u64,
    /// Controllers that are a majority of all.
    majority: usize,
    /// Lifetime of the lease in seconds.
    ttl: Time,
    /// Seconds by which ownership ends before the lease can expire in the store.
    margin: Time,
    /// Seconds that ownership may last beyond `current_as_of`.
    staleness_bound: Time,
    /// Every final state that was confirmed to any user before then is known here.
    current_as_of: Time,
    /// For each sibling that has sent all final states it knows: when the request for them was sent.
    siblings_current_as_of: BTreeMap<ControllerName, Time>,
    sibling_count: usize,
    lease: LeaseState,
    /// When the last successful renewal was sent.
    renewed_at: Time,
    next_renewal: Time,
    renewal_in_flight: bool,
    /// No lease is created before this time.
    next_creation: Time,
    key_write_in_flight: bool,
    next_key_write: Time,
    extensions: LeaseExtensions,
    consents: FailoverConsents,
    /// The lease of an earlier process of this controller that was ended last.
    ended_predecessor: Option<u64>,
}

/// Seconds that ownership may last beyond the time as of which all final states are known. Zero if
/// the deployment's figures leave no time: an idle machine is better than a late cancellation.
fn staleness_bound(workers: &Workers) -> Time {
    let tasks_end =
        workers.lease_s * (1.0 + MAX_CLOCK_DRIFT) + workers.report_s * HEARTBEAT_TRAVEL_INTERVALS;
    (workers.cancel_s * STALENESS_PER_CANCEL_TIME)
        .min((workers.cancel_s - tasks_end) * STALENESS_PER_REMAINING_TIME)
        .max(0.0)
}

impl OwnershipLease {
    /// No lease yet, for the process with this incarnation.
    pub fn new(config: &Config, incarnation: u64) -> Self {
        let workers = &config.deployment.workers;
        let (shortest, longest) = TTL_BOUNDS;
        let ttl = (workers.lease_s * TTL_WORKER_LEASES).clamp(shortest, longest);
        let margin = ttl * MARGIN_TTLS;
        Self {
            node: config.controller.clone(),
            incarnation,
            majority: config.controller_count() / 2 + 1,
            ttl,
            margin,
            staleness_bound: staleness_bound(workers),
            current_as_of: Time::NEG_INFINITY,
            siblings_current_as_of: BTreeMap::new(),
            sibling_count: config.siblings.len(),
            lease: LeaseState::None,
            renewed_at: Time::NEG_INFINITY,
            next_renewal: 0.0,
            renewal_in_flight: false,
            next_creation: 0.0,
            key_write_in_flight: false,
            next_key_write: 0.0,
            extensions: LeaseExtensions::new(workers.lease_s, margin),
            consents: FailoverConsents::default(),
            ended_predecessor: None,
        }
    }

    /// The incarnation of this process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// This process.
    pub fn process(&self) -> ProcessId {
        ProcessId::new(self.node.clone(), self.incarnation)
    }

    /// Lifetime of the lease in seconds.
    pub fn ttl(&self) -> Time {
        self.ttl
    }

    /// Lifetime of the lease in milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the lifetime is between 0.1 s and 600 s"
    )]
    pub fn ttl_ms(&self) -> u64 {
        (self.ttl * 1000.0) as u64
    }

    /// Whether this process may send commands to the machines that the shard map assigns to it.
    pub fn holds_lease(&self, now: Time) -> bool {
        matches!(self.lease, LeaseState::Held(_))
            && now < self.current_as_of + self.staleness_bound
            && (now < self.valid_in_store_until() || now < self.extended_until())
    }

    /// The id of the lease, if one was granted; it may have expired since.
    pub fn lease_id(&self) -> Option<u64> {
        match self.lease {
            LeaseState::Held(lease) => Some(lease),
            LeaseState::None | LeaseState::Creating => None,
        }
    }

    /// Until when the lease is certain to be valid in the store.
    fn valid_in_store_until(&self) -> Time {
        self.renewed_at + self.ttl * (1.0 - MAX_CLOCK_DRIFT) - self.margin
    }

    /// The version of the leader's key, if this process holds that key as far as it knows.
    pub fn leader_key_version(&self, store: &StoreReplica) -> Option<Version> {
        let leader = store.leader()?;
        let is_own =
            leader.record.node == self.node && leader.record.incarnation == self.incarnation;
        (is_own && self.lease_id().is_some()).then_some(leader.version)
    }

    /// Every final state that was confirmed to a user before `asked` is known here.
    pub fn record_current_as_of(&mut self, asked: Time) {
        self.current_as_of = self.current_as_of.max(asked);
    }

    /// A sibling has sent all final states that it knew when it answered a request sent at `asked`.
    pub fn record_sibling_current_as_of(&mut self, node: &ControllerName, asked: Time) {
        self.siblings_current_as_of.insert(node.clone(), asked);
        if self.siblings_current_as_of.len() == self.sibling_count
            && let Some(earliest) = self
                .siblings_current_as_of
                .values()
                .copied()
                .min_by(Time::total_cmp)
        {
            self.record_current_as_of(earliest);
        }
    }

    /// The call that is due to keep the lease alive, if any is.
    pub fn due_call(&self, now: Time) -> Option<LeaseCall> {
        match self.lease {
            LeaseState::None => (now >= self.next_creation).then_some(LeaseCall::Create),
            LeaseState::Creating => None,
            LeaseState::Held(lease) => {
                let is_due = !self.renewal_in_flight && now >= self.next_renewal;
                is_due.then_some(LeaseCall::Renew(lease))
            }
        }
    }

    /// The creation of a lease has been requested.
    pub fn creation_sent(&mut self) {
        self.lease = LeaseState::Creating;
    }

    /// Whether the reply to the creation of a lease is expected.
    pub fn awaits_creation(&self) -> bool {
        self.lease == LeaseState::Creating
    }

    /// The store has created a lease at the request sent at `sent`.
    pub fn created(&mut self, lease: u64, sent: Time) {
        self.lease = LeaseState::Held(lease);
        self.renewed_at = sent;
        self.next_renewal = sent + self.ttl / RENEWALS_PER_TTL;
    }

    /// The store has not created a lease, or not answered: another is requested from `retry_at` on.
    pub fn creation_failed(&mut self, retry_at: Time) {
        self.lease = LeaseState::None;
        self.next_creation = retry_at;
    }

    /// A renewal has been requested.
    pub fn renewal_sent(&mut self) {
        self.renewal_in_flight = true;
    }

    /// A renewal that was sent at `sent` succeeded. Extensions are not needed any more.
    pub fn renewed(&mut self, sent: Time, now: Time) {
        self.renewal_in_flight = false;
        self.renewed_at = self.renewed_at.max(sent);
        self.next_renewal = now + self.ttl / RENEWALS_PER_TTL;
        self.extensions.clear_received();
    }

    /// A renewal failed: the next one is sent at `retry_at`.
    pub fn renewal_failed(&mut self, retry_at: Time) {
        self.renewal_in_flight = false;
        self.next_renewal = retry_at;
    }

    /// Seconds until the next renewal, before jitter, after one that failed.
    pub fn renewal_retry_delay(&self) -> Time {
        self.ttl / RENEWAL_RETRIES_PER_TTL
    }

    /// The same after one that the store was too busy for.
    pub fn busy_renewal_retry_delay(&self) -> Time {
        self.ttl / BUSY_RENEWAL_RETRIES_PER_TTL
    }

    /// Seconds, before jitter, until the creation of a lease is requested again or the next key is written.
    pub fn retry_delay(&self) -> Time {
        self.ttl * RETRY_TTLS
    }

    /// Whether the next of the keys that are attached to the lease may be written.
    pub fn may_write_key(&self, now: Time) -> bool {
        !self.key_write_in_flight && now >= self.next_key_write
    }

    /// A write of a key has been sent.
    pub fn key_write_sent(&mut self) {
        self.key_write_in_flight = true;
    }

    /// A write of a key was answered, or its outcome is unknown: the next one is sent from `next` on.
    pub fn key_write_finished(&mut self, next: Time) {
        self.key_write_in_flight = false;
        self.next_key_write = next;
    }

    /// Notes that the lease of an earlier process of this controller is being ended. Returns whether
    /// it was not the last one for which this was noted.
    pub fn record_predecessor_ended(&mut self, lease: u64) -> bool {
        self.ended_predecessor.replace(lease) != Some(lease)
    }

    /// Drops the lease and continues as a new incarnation, which requests no lease before
    /// `next_creation`.
    pub fn step_down(&mut self, next_creation: Time) {
        self.lease = LeaseState::None;
        self.incarnation += 1;
        self.renewal_in_flight = false;
        self.key_write_in_flight = false;
        self.extensions.clear_received();
        self.consents.clear_requests();
        self.next_creation = next_creation;
    }

    /// Holds a lease as if it had just been renewed.
    #[cfg(test)]
    pub fn hold(&mut self, lease: u64, now: Time) {
        self.lease = LeaseState::Held(lease);
        self.renewed_at = now;
        self.current_as_of = now;
    }

    /// Holds a lease that has never been renewed.
    #[cfg(test)]
    pub fn hold_unrenewed(&mut self, lease: u64) {
        self.lease = LeaseState::Held(lease);
    }
}

#[cfg(test)]
mod tests;
