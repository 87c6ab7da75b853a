use crate::core::Core;
use crate::core::effects::pending::{OwnershipCall, Pending};
use crate::core::effects::{StoreCall, StoreReply};
use crate::core::membership::ownership::Lease;
use crate::core::model::time::Time;
use crate::core::records::keys::{LEADER_KEY, node_key};
use crate::core::records::process_record::ProcessRecord;
use crate::core::records::versioned::{precondition, put};
use crate::wire::Transaction;
use std::collections::BTreeSet;

impl Core {
    pub(crate) fn ownership_reply(&mut self, call: OwnershipCall, reply: StoreReply) {
        let now = self.outbox.now;
        match call {
            OwnershipCall::Create { sent } => {
                if self.ownership.lease != Lease::Creating {
                    return;
                }
                if let StoreReply::Lease(lease) = reply {
                    self.ownership.lease = Lease::Held(lease);
                    self.ownership.renewed = sent;
                    self.ownership.next_renewal = sent + self.ownership.ttl / 3.0;
                } else {
                    self.ownership.lease = Lease::None;
                    self.ownership.next_attempt =
                        now + self.outbox.jitter(self.ownership.ttl * 0.1);
                }
            }
            OwnershipCall::Register { lease } | OwnershipCall::Claim { lease } => {
                if self.ownership.lease != Lease::Held(lease) {
                    return;
                }
                // Written, or perhaps, or not: the view tells, once it is that far.
                self.ownership.writing = false;
                self.ownership.next_write = now + self.outbox.jitter(self.ownership.ttl * 0.1);
                self.store.want_sync();
                if reply == StoreReply::LeaseGone {
                    self.begin_anew("the lease has ended", 0.0);
                }
            }
            OwnershipCall::Renew { lease, sent } => {
                if self.ownership.lease != Lease::Held(lease) {
                    return;
                }
                self.ownership.renewing = false;
                match reply {
                    StoreReply::Done => {
                        self.ownership.renewed = self.ownership.renewed.max(sent);
                        self.ownership.next_renewal = now + self.ownership.ttl / 3.0;
                        self.ownership.extensions.clear();
                    }
                    StoreReply::LeaseGone => self.begin_anew("the lease has ended", 0.0),
                    // Everything else waits for longer than this, so that renewals come first.
                    StoreReply::Busy => {
                        self.ownership.next_renewal =
                            now + self.outbox.jitter(self.ownership.ttl / 100.0);
                    }
                    _ => {
                        self.ownership.next_renewal =
                            now + self.outbox.jitter(self.ownership.ttl / 12.0);
                    }
                }
            }
            OwnershipCall::End => {}
        }
    }

    /// Drops everything this process owned, as a restart would.
    pub(crate) fn begin_anew(&mut self, why: &str, pause: Time) {
        tracing::info!("share lost: {why}");
        self.ownership.lost(self.outbox.now + pause);
        if let Some(owner) = self.shard.take() {
            self.hints = owner.known_images();
            self.unresponsive
                .note(owner.unresponsive(self.outbox.now), self.outbox.now);
        }
        self.leader = None;
    }

    /// Keeps the lease, the process's key and, if nobody leads, the leader's key.
    pub(crate) fn keep_ownership(&mut self) {
        let now = self.outbox.now;
        if !self.store.complete() {
            return;
        }
        match self.ownership.lease {
            Lease::None if now >= self.ownership.next_attempt => {
                self.end_predecessor();
                self.ownership.lease = Lease::Creating;
                let ttl_ms = (self.ownership.ttl * 1000.0) as u64;
                let pending = Pending::OwnershipLease(OwnershipCall::Create { sent: now });
                self.outbox
                    .state(pending, StoreCall::LeaseCreate { ttl_ms });
            }
            Lease::None | Lease::Creating => {}
            Lease::Held(lease) => {
                let due = !self.ownership.renewing && now >= self.ownership.next_renewal;
                if due && !self.renews_for_nobody() {
                    self.ownership.renewing = true;
                    let pending =
                        Pending::OwnershipLease(OwnershipCall::Renew { lease, sent: now });
                    self.outbox.state(pending, StoreCall::LeaseRenew { lease });
                }
                self.write_keys(lease);
                self.resign_if_failed_in_part(lease);
            }
        }
    }

    /// An earlier process of this controller has ended for certain: what hangs on its lease need
    /// not wait for the lease to end.
    pub(crate) fn end_predecessor(&mut self) {
        let keys = [self.store.node(&self.config.node), self.store.leader()];
        let mine = keys.into_iter().flatten().map(|key| &key.record);
        let earlier = mine
            .filter(|record| record.node == self.config.node)
            .map(|r| r.lease);
        for lease in earlier.collect::<BTreeSet<u64>>() {
            if self.ownership.ended_predecessor.replace(lease) != Some(lease) {
                let pending = Pending::OwnershipLease(OwnershipCall::End);
                self.outbox.state(pending, StoreCall::LeaseEnd { lease });
            }
        }
    }

    pub(crate) fn write_keys(&mut self, lease: u64) {
        let now = self.outbox.now;
        if self.ownership.writing || now < self.ownership.next_write {
            return;
        }
        self.ownership
            .consent_unasked(&self.store, &self.peers, now);
        let record = ProcessRecord {
            node: self.ownership.node.clone(),
            incarnation: self.ownership.incarnation,
            lease,
            keeps_grants: crate::core::scheduling::usage::are_on(&self.config),
            consents: self.ownership.stored_consents.clone(),
            claims: self.claims.records(),
        };
        let known = self.store.node(&record.node);
        let (key, version, call) = if known.is_none_or(|known| known.record != record) {
            // Guarded, so that a late write of an earlier process cannot replace it.
            let version = known.map_or(0, |known| known.version);
            (
                node_key(&record.node),
                version,
                OwnershipCall::Register { lease },
            )
        } else if self.store.leader().is_none() && self.ownership.holds_lease(now) {
            (LEADER_KEY.to_owned(), 0, OwnershipCall::Claim { lease })
        } else if let Some(exhausted) = self
            .leader
            .as_ref()
            .filter(|leader| leader.tokens_exhausted())
        {
            // Under the key's new revision there are fresh terms. It stays this process's key.
            (
                LEADER_KEY.to_owned(),
                exhausted.key_version(),
                OwnershipCall::Claim { lease },
            )
        } else if let Some(version) = self.failed_leader() {
            tracing::info!("takes over from the leader, which has failed");
            (
                LEADER_KEY.to_owned(),
                version,
                OwnershipCall::Claim { lease },
            )
        } else {
            return;
        };
        self.ownership.writing = true;
        let transaction = Transaction {
            preconditions: vec![precondition(&key, version)],
            writes: vec![put(&key, &record, Some(lease))],
        };
        self.outbox.state(
            Pending::OwnershipLease(call),
            StoreCall::Commit(transaction),
        );
    }
}
