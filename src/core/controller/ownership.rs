//! Keeps this process's ownership lease alive, writes the keys that are attached to it, and releases the
//! shard and leadership when the process steps down. [`crate::core::membership::ownership`] describes which
//! actions the lease permits.

use crate::core::Core;
use crate::core::effects::pending::{OwnershipCall, Pending};
use crate::core::effects::{StoreCall, StoreReply};
use crate::core::membership::ownership::LeaseCall;
use crate::core::model::time::Time;
use crate::core::records::keys::{LEADER_KEY, node_key};
use crate::core::records::process_record::ProcessRecord;
use crate::core::records::versioned::{precondition, put};
use crate::core::scheduling::usage;
use crate::ids::Version;
use crate::wire::Transaction;
use std::collections::BTreeSet;
use std::fmt;

/// The reason for which this process steps down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepDownReason {
    /// The store no longer has the lease.
    LeaseExpired,
    /// Workers can reach siblings, but not this controller.
    UnreachableByWorkers,
    /// The store refuses this controller's calls, but serves its siblings.
    RefusedByStore,
}

impl fmt::Display for StepDownReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::LeaseExpired => "the lease has expired",
            Self::UnreachableByWorkers => "workers reach siblings only",
            Self::RefusedByStore => "the store refuses this controller alone",
        })
    }
}

/// A write of the process's own key or of the leader's key.
struct KeyWrite {
    key: String,
    /// The version that the key must still have. Zero if the key must not exist.
    version: Version,
    call: OwnershipCall,
}

impl Core {
    /// Creates or renews the lease when that is due. Once there is a lease, also writes the process's own key
    /// and, if this process is to lead, the leader's key, and checks this controller for a partial failure.
    pub(crate) fn maintain_ownership(&mut self) {
        if !self.store.is_complete() {
            return;
        }
        match self.ownership.due_call(self.outbox.now) {
            Some(LeaseCall::Create) => self.create_lease(),
            Some(LeaseCall::Renew(lease)) if !self.renewal_would_delay_failover() => {
                self.renew_lease(lease);
            }
            Some(LeaseCall::Renew(_)) | None => {}
        }
        if let Some(lease) = self.ownership.lease_id() {
            self.write_keys(lease);
            self.step_down_on_partial_failure(lease);
        }
    }

    fn create_lease(&mut self) {
        let sent = self.outbox.now;
        self.end_predecessor_leases();
        self.ownership.creation_sent();
        let ttl_ms = self.ownership.ttl_ms();
        self.outbox.call_store(
            Pending::OwnershipLease(OwnershipCall::Create { sent }),
            StoreCall::LeaseCreate { ttl_ms },
        );
    }

    fn renew_lease(&mut self, lease: u64) {
        let sent = self.outbox.now;
        self.ownership.renewal_sent();
        self.outbox.call_store(
            Pending::OwnershipLease(OwnershipCall::Renew { lease, sent }),
            StoreCall::LeaseRenew { lease },
        );
    }

    /// Ends the leases of earlier processes of this controller. Those processes have ended, so the keys
    /// that are attached to their leases need not remain until the leases expire.
    fn end_predecessor_leases(&mut self) {
        let keys = [
            self.store.node(&self.config.controller),
            self.store.leader(),
        ];
        let leases: BTreeSet<u64> = keys
            .into_iter()
            .flatten()
            .filter(|stored| stored.record.node == self.config.controller)
            .map(|stored| stored.record.lease)
            .collect();
        for lease in leases {
            if self.ownership.record_predecessor_ended(lease) {
                self.end_lease(lease);
            }
        }
    }

    /// Ends a lease in the store, which deletes the keys that are attached to it.
    pub(crate) fn end_lease(&mut self, lease: u64) {
        self.outbox.call_store(
            Pending::OwnershipLease(OwnershipCall::End),
            StoreCall::LeaseEnd { lease },
        );
    }

    /// Writes the first key that is missing or out of date. Only one key write is in flight at a time.
    fn write_keys(&mut self, lease: u64) {
        let now = self.outbox.now;
        if !self.ownership.may_write_key(now) {
            return;
        }
        self.ownership
            .publish_consents_if_leader_unreachable(&self.store, &self.peers, now);
        let record = self.process_record(lease);
        let Some(KeyWrite { key, version, call }) = self.next_key_write(&record) else {
            return;
        };
        self.ownership.key_write_sent();
        let transaction = Transaction {
            preconditions: vec![precondition(&key, version)],
            writes: vec![put(&key, &record, Some(lease))],
        };
        self.outbox.call_store(
            Pending::OwnershipLease(call),
            StoreCall::Commit(transaction),
        );
    }

    /// The record that this process writes into its own key and into the leader's key.
    fn process_record(&self, lease: u64) -> ProcessRecord {
        let process = self.ownership.process();
        ProcessRecord {
            node: process.node,
            incarnation: process.incarnation,
            lease,
            keeps_grants: usage::grants_are_enabled(&self.config),
            raises_tokens: true,
            consents: self.ownership.published_consents().to_vec(),
            claims: self.claims.records(),
        }
    }

    fn next_key_write(&self, record: &ProcessRecord) -> Option<KeyWrite> {
        let lease = record.lease;
        let stored = self.store.node(&record.node);
        if stored.is_none_or(|stored| stored.record != *record) {
            return Some(KeyWrite {
                key: node_key(&record.node),
                // The precondition prevents a delayed write of an earlier process from replacing this record.
                version: stored.map_or(0, |stored| stored.version),
                call: OwnershipCall::Register { lease },
            });
        }
        Some(KeyWrite {
            key: LEADER_KEY.to_owned(),
            version: self.leader_key_version_to_claim()?,
            call: OwnershipCall::Claim { lease },
        })
    }

    /// The version of the leader's key that this process is to replace, or 0 if the key does not exist. None
    /// if this process is not to write the key.
    fn leader_key_version_to_claim(&self) -> Option<Version> {
        if self.store.leader().is_none() && self.ownership.holds_lease(self.outbox.now) {
            return Some(0);
        }
        let leader_low_on_tokens = self
            .leader
            .as_ref()
            .filter(|leader| leader.tokens_running_low());
        if let Some(leader) = leader_low_on_tokens {
            // The write gives the key a new revision, and so new fencing tokens. This process stays leader.
            return Some(leader.key_version());
        }
        let version = self.failed_leader_key_version()?;
        tracing::info!("taking over leadership: the leader has failed");
        Some(version)
    }

    /// Handles the store's reply to a call for the lease or for its keys. A reply for a lease that this
    /// process no longer has is ignored.
    pub(crate) fn handle_ownership_reply(&mut self, call: OwnershipCall, reply: StoreReply) {
        let held = self.ownership.lease_id();
        match call {
            OwnershipCall::Create { sent } if self.ownership.awaits_creation() => {
                self.handle_lease_creation_reply(sent, &reply);
            }
            OwnershipCall::Register { lease } | OwnershipCall::Claim { lease }
                if held == Some(lease) =>
            {
                self.handle_key_write_reply(&reply);
            }
            OwnershipCall::Renew { lease, sent } if held == Some(lease) => {
                self.handle_renewal_reply(sent, &reply);
            }
            OwnershipCall::Create { .. }
            | OwnershipCall::Register { .. }
            | OwnershipCall::Claim { .. }
            | OwnershipCall::Renew { .. }
            | OwnershipCall::End => {}
        }
    }

    fn handle_lease_creation_reply(&mut self, sent: Time, reply: &StoreReply) {
        if let StoreReply::LeaseCreated(lease) = reply {
            return self.ownership.created(*lease, sent);
        }
        let delay = self.outbox.jitter(self.ownership.retry_delay());
        self.ownership.creation_failed(self.outbox.now + delay);
    }

    fn handle_key_write_reply(&mut self, reply: &StoreReply) {
        let delay = self.outbox.jitter(self.ownership.retry_delay());
        self.ownership.key_write_finished(self.outbox.now + delay);
        // The next read of the store shows whether the key was written.
        self.store.request_read();
        if *reply == StoreReply::LeaseNotFound {
            self.step_down(StepDownReason::LeaseExpired, 0.0);
        }
    }

    fn handle_renewal_reply(&mut self, sent: Time, reply: &StoreReply) {
        let now = self.outbox.now;
        let retry_delay = match reply {
            StoreReply::Done => return self.ownership.renewed(sent, now),
            StoreReply::LeaseNotFound => return self.step_down(StepDownReason::LeaseExpired, 0.0),
            StoreReply::Busy => self.ownership.busy_renewal_retry_delay(),
            _ => self.ownership.renewal_retry_delay(),
        };
        let retry_at = now + self.outbox.jitter(retry_delay);
        self.ownership.renewal_failed(retry_at);
    }

    /// Gives up the lease, the shard and leadership, and continues as a new incarnation, as after a restart.
    /// The new incarnation requests no lease for `pause` seconds.
    pub(crate) fn step_down(&mut self, reason: StepDownReason, pause: Time) {
        let now = self.outbox.now;
        let term = self.leader.as_ref().map(|leader| leader.key_version());
        tracing::info!(
            %reason,
            led_under_term = ?term,
            "stepping down: this controller gives up its lease and shard"
        );
        self.ownership.step_down(now + pause);
        if let Some(shard) = self.shard.take() {
            self.image_hints = shard.images_on_all_machines();
            self.unresponsive
                .record(shard.unresponsive_machines(now), now);
        }
        self.leader = None;
    }
}

#[cfg(test)]
mod tests;
