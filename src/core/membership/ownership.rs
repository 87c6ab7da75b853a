//! The ownership lease, which limits how long this process may act as the owner of its shard.
//!
//! # Lease in the store
//!
//! The process's key in the store is attached to a lease. Ownership ends by the process's own clock,
//! counted from the time at which the last successful renewal was sent. It therefore ends before the
//! lease can expire in the store. The leader's key is attached to the same lease. Leadership only
//! entitles a process to write the shard map, and such writes have the leader's key as a precondition.
//!
//! During an outage of the store a majority of the controllers may extend the lease (`extensions`).
//! Before the shard of a process is failed over, a majority consents to that (`consents`).
//!
//! # Bounded staleness
//!
//! Ownership ends before a cancellation that this process does not know of can be overdue, whether the
//! lease was renewed or extended. This process knows every final state that was confirmed to a user
//! before `current_as_of`. Either a sync with the store that was sent at that time succeeded, or every
//! sibling answered a request sent at that time with all final states that it knows. (The present
//! process of a sibling has read the final states that an earlier process of it confirmed, since it
//! reads the store when it starts.)
//!
//! A cancellation that is unknown here was therefore confirmed after `current_as_of`. The last answer
//! to a machine was sent before `current_as_of + staleness_bound`. The machine's tasks end with its
//! lease, before `cancel_s` has passed, since `staleness_bound + lease_s`, with clock drift and the
//! travel time of a heartbeat, is at most `cancel_s`.

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

/// Lifetime of the lease as a fraction of a worker's lease. It is short enough that a failover is complete
/// before the workers' leases expire.
const TTL_WORKER_LEASES: f64 = 0.35;

/// Minimum and maximum lifetime of the lease in seconds, whatever the worker's lease is.
const TTL_BOUNDS: (Time, Time) = (0.1, 600.0);

/// Fraction of the lease's lifetime by which ownership ends before the lease can expire in the store.
const MARGIN_TTLS: f64 = 0.1;

/// Number of renewals in one lifetime of the lease.
const RENEWALS_PER_TTL: f64 = 3.0;

/// Number of retries of a failed renewal in one lifetime of the lease.
const RENEWAL_RETRIES_PER_TTL: f64 = 12.0;

/// Number of retries, in one lifetime of the lease, of a renewal for which the store was too busy. All
/// other calls are retried less often, so that renewals are served first.
const BUSY_RENEWAL_RETRIES_PER_TTL: f64 = 100.0;

/// Fraction of the lease's lifetime after which the creation of a lease or the write of a key is retried.
const RETRY_TTLS: f64 = 0.1;

/// Maximum of the staleness bound as a fraction of `cancel_s`.
const STALENESS_PER_CANCEL_TIME: f64 = 0.5;

/// Maximum of the staleness bound as a fraction of the time that `cancel_s` leaves after tasks have ended.
const STALENESS_PER_REMAINING_TIME: f64 = 0.9;

/// Maximum travel time of a heartbeat, in intervals between heartbeats.
const HEARTBEAT_TRAVEL_INTERVALS: f64 = 0.5;

/// The state of the lease in the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LeaseState {
    /// No lease exists and none has been requested.
    None,
    /// The creation of a lease has been requested.
    Creating,
    /// The lease with this id was granted. The clock decides whether it is still valid.
    Held(u64),
}

/// The next call that keeps the lease alive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseCall {
    /// Creates a lease.
    Create,
    /// Renews the lease with this id.
    Renew(u64),
}

/// This process's ownership lease, the extensions it grants to siblings and its consents to failovers.
pub struct OwnershipLease {
    controller: ControllerName,
    /// Increases whenever the process steps down, as if the process had restarted.
    incarnation: u64,
    /// Number of controllers that form a majority.
    majority: usize,
    /// Lifetime of the lease in seconds.
    ttl: Time,
    /// Seconds by which ownership ends before the lease can expire in the store.
    margin: Time,
    /// Seconds for which ownership may last beyond `current_as_of`.
    staleness_bound: Time,
    /// Time before which every final state that was confirmed to any user is known here.
    current_as_of: Time,
    /// When the last request was sent to each sibling that answered with all final states it knows.
    siblings_current_as_of: BTreeMap<ControllerName, Time>,
    sibling_count: usize,
    lease: LeaseState,
    /// When the last successful creation or renewal was sent.
    renewed_at: Time,
    next_renewal: Time,
    renewal_in_flight: bool,
    /// Time before which no lease is created.
    next_creation: Time,
    key_write_in_flight: bool,
    next_key_write: Time,
    extensions: LeaseExtensions,
    consents: FailoverConsents,
    /// Lease of an earlier process of this controller that this process ended last.
    ended_predecessor_lease: Option<u64>,
}

/// Returns the seconds for which ownership may last beyond the time as of which all final states are known.
/// It is zero if the configured intervals leave no time, since an idle machine is better than a late
/// cancellation.
fn staleness_bound(workers: &Workers) -> Time {
    let tasks_end =
        workers.lease_s * (1.0 + MAX_CLOCK_DRIFT) + workers.report_s * HEARTBEAT_TRAVEL_INTERVALS;
    (workers.cancel_s * STALENESS_PER_CANCEL_TIME)
        .min((workers.cancel_s - tasks_end) * STALENESS_PER_REMAINING_TIME)
        .max(0.0)
}

impl OwnershipLease {
    /// Creates the state of a process with this incarnation, which has no lease yet.
    pub fn new(config: &Config, incarnation: u64) -> Self {
        let workers = &config.deployment.workers;
        let (min_ttl, max_ttl) = TTL_BOUNDS;
        let ttl = (workers.lease_s * TTL_WORKER_LEASES).clamp(min_ttl, max_ttl);
        let margin = ttl * MARGIN_TTLS;
        Self {
            controller: config.controller.clone(),
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
            ended_predecessor_lease: None,
        }
    }

    /// Returns the incarnation of this process, which changes when it steps down.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the identity of this process.
    pub fn process(&self) -> ProcessId {
        ProcessId::new(self.controller.clone(), self.incarnation)
    }

    /// Returns the lifetime of the lease in seconds.
    pub fn ttl(&self) -> Time {
        self.ttl
    }

    /// Returns the lifetime of the lease in milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the lifetime is between 0.1 s and 600 s"
    )]
    pub fn ttl_ms(&self) -> u64 {
        (self.ttl * 1000.0) as u64
    }

    /// Returns whether this process may send commands to the machines that the shard map assigns to it.
    pub fn holds_lease(&self, now: Time) -> bool {
        matches!(self.lease, LeaseState::Held(_))
            && now < self.current_as_of + self.staleness_bound
            && (now < self.valid_in_store_until() || now < self.extended_until())
    }

    /// Returns the id of the lease if one was granted. The lease may have expired since.
    pub fn lease_id(&self) -> Option<u64> {
        match self.lease {
            LeaseState::Held(lease) => Some(lease),
            LeaseState::None | LeaseState::Creating => None,
        }
    }

    /// Returns the time until which the lease is certain to be valid in the store.
    fn valid_in_store_until(&self) -> Time {
        self.renewed_at + self.ttl * (1.0 - MAX_CLOCK_DRIFT) - self.margin
    }

    /// Returns the version of the leader's key if this process holds that key, as far as it knows.
    pub fn leader_key_version(&self, store: &StoreReplica) -> Option<Version> {
        let leader = store.leader()?;
        let is_own =
            leader.record.node == self.controller && leader.record.incarnation == self.incarnation;
        (is_own && self.lease_id().is_some()).then_some(leader.version)
    }

    /// Records that every final state that was confirmed to a user before `time` is known here.
    pub fn record_current_as_of(&mut self, time: Time) {
        self.current_as_of = self.current_as_of.max(time);
    }

    /// Records that a sibling answered a request sent at `requested_at` with all final states that it knew.
    pub fn record_sibling_current_as_of(&mut self, sibling: &ControllerName, requested_at: Time) {
        self.siblings_current_as_of
            .insert(sibling.clone(), requested_at);
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

    /// Returns the call that is due to keep the lease alive, if any is due.
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

    /// Records that the creation of a lease was requested.
    pub fn creation_sent(&mut self) {
        self.lease = LeaseState::Creating;
    }

    /// Returns whether the creation of a lease was requested and not answered yet.
    pub fn awaits_creation(&self) -> bool {
        self.lease == LeaseState::Creating
    }

    /// Records that the store created a lease in reply to the request sent at `sent`.
    pub fn created(&mut self, lease: u64, sent: Time) {
        self.lease = LeaseState::Held(lease);
        self.renewed_at = sent;
        self.next_renewal = sent + self.ttl / RENEWALS_PER_TTL;
    }

    /// Records that the creation of a lease failed or was not answered. The next one is due at `retry_at`.
    pub fn creation_failed(&mut self, retry_at: Time) {
        self.lease = LeaseState::None;
        self.next_creation = retry_at;
    }

    /// Records that a renewal was requested.
    pub fn renewal_sent(&mut self) {
        self.renewal_in_flight = true;
    }

    /// Records that the renewal sent at `sent` succeeded, and discards extensions, which it makes obsolete.
    pub fn renewed(&mut self, sent: Time, now: Time) {
        self.renewal_in_flight = false;
        self.renewed_at = self.renewed_at.max(sent);
        self.next_renewal = now + self.ttl / RENEWALS_PER_TTL;
        self.extensions.clear_received();
    }

    /// Records that a renewal failed. The next one is due at `retry_at`.
    pub fn renewal_failed(&mut self, retry_at: Time) {
        self.renewal_in_flight = false;
        self.next_renewal = retry_at;
    }

    /// Returns the seconds, before jitter, until a failed renewal is retried.
    pub fn renewal_retry_delay(&self) -> Time {
        self.ttl / RENEWAL_RETRIES_PER_TTL
    }

    /// Returns the seconds, before jitter, until a renewal is retried for which the store was too busy.
    pub fn busy_renewal_retry_delay(&self) -> Time {
        self.ttl / BUSY_RENEWAL_RETRIES_PER_TTL
    }

    /// Returns the seconds, before jitter, until the creation of a lease or the write of a key is retried.
    pub fn retry_delay(&self) -> Time {
        self.ttl * RETRY_TTLS
    }

    /// Returns whether a key that is attached to the lease may be written now.
    pub fn may_write_key(&self, now: Time) -> bool {
        !self.key_write_in_flight && now >= self.next_key_write
    }

    /// Records that the write of a key was sent. No other write starts before it has finished.
    pub fn key_write_sent(&mut self) {
        self.key_write_in_flight = true;
    }

    /// Records that the write of a key was answered or its outcome is unknown. The next one may start at
    /// `next`.
    pub fn key_write_finished(&mut self, next: Time) {
        self.key_write_in_flight = false;
        self.next_key_write = next;
    }

    /// Records that this process is ending the lease of an earlier process of this controller. Returns
    /// false if this lease is already the last one recorded.
    pub fn record_predecessor_ended(&mut self, lease: u64) -> bool {
        self.ended_predecessor_lease.replace(lease) != Some(lease)
    }

    /// Discards the lease and continues as a new incarnation, which requests no lease before
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

    /// Sets the state as if this lease had just been renewed.
    #[cfg(test)]
    pub fn hold(&mut self, lease: u64, now: Time) {
        self.lease = LeaseState::Held(lease);
        self.renewed_at = now;
        self.current_as_of = now;
    }

    /// Sets the state as if this lease had been granted but never renewed.
    #[cfg(test)]
    pub fn hold_unrenewed(&mut self, lease: u64) {
        self.lease = LeaseState::Held(lease);
    }
}

#[cfg(test)]
mod tests;
