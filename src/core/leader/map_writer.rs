//! Writes of the shard map to the store, as compare-and-swap transactions.

use crate::config::Config;
use crate::core::effects::outbox::Outbox;
use crate::core::effects::pending::{MapWrite, Pending};
use crate::core::effects::{StoreCall, StoreReply};
use crate::core::leader::shard_map_editor::ShardMapEditor;
use crate::core::model::time::Time;
use crate::core::records::keys::LEADER_KEY;
use crate::core::records::versioned::{precondition, put};
use crate::core::store::replica::StoreReplica;
use crate::ids::Version;
use crate::wire::{BODY_LIMIT, Precondition, Transaction, Write};
use std::collections::BTreeMap;

/// Bytes of values after which a transaction takes no further one: with the last value and the preconditions
/// it stays within the limit on bodies, beyond which the store would reject it every time.
const VALUE_BYTES: usize = BODY_LIMIT / 2;

/// KiB of one machine and its owner, below which smaller values help nothing.
const LEAST_VALUE_KB: f64 = 0.25;

/// Pauses after a write, as the time that so many writes take at the store's permitted rate. After a success
/// the rest of the rate is left to other writes.
const WRITES_AFTER_SUCCESS: f64 = 6.0;

/// After a conflict nothing has changed, and machines whose leases expire may be waiting: a short pause.
const WRITES_AFTER_CONFLICT: f64 = 3.0;

/// After a rejection the smaller write that follows may be rejected as well.
const WRITES_AFTER_REJECTION: f64 = 50.0;

/// After any other failure the outcome is unknown, and has to be read first.
const WRITES_AFTER_UNKNOWN_OUTCOME: f64 = 12.0;

/// Writes the changes of a [`ShardMapEditor`], one transaction at a time.
pub(super) struct MapWriter {
    /// The stored versions that the editor's copy continues. The replica's versions would be wrong as
    /// preconditions: a write with unknown outcome may show up there late, and the next write would undo it.
    stored_versions: BTreeMap<String, Version>,
    /// Limit on one value: the configured one, less where the store rejected more.
    value_kb: f64,
    /// Limit on the values of one transaction: the configured one, less where the store rejected more.
    values_per_write: usize,
    /// Writes a second that the store permits to one controller.
    writes_per_s: f64,
    write_in_flight: bool,
    next_write: Time,
    /// The stored map may differ from the editor's copy: a write failed or its outcome is unknown.
    must_reload: bool,
}

impl MapWriter {
    /// Continues from what the replica knows as stored.
    pub(super) fn new(config: &Config, store: &StoreReplica, now: Time) -> Self {
        let limits = &config.deployment.state;
        Self {
            stored_versions: stored_versions(store),
            value_kb: limits.value_kb,
            values_per_write: limits.txn_ops,
            writes_per_s: limits.write_rps,
            write_in_flight: false,
            next_write: now,
            must_reload: false,
        }
    }

    /// Whether a write has been sent and not answered.
    pub(super) fn write_in_flight(&self) -> bool {
        self.write_in_flight
    }

    /// Whether the next write may be sent now.
    pub(super) fn may_write(&self, outbox: &Outbox) -> bool {
        !self.write_in_flight && outbox.now >= self.next_write && outbox.may_write()
    }

    /// Reloads the editor from the replica if a failed write may have left it different from the store.
    pub(super) fn reload_if_needed(&mut self, editor: &mut ShardMapEditor, store: &StoreReplica) {
        if std::mem::take(&mut self.must_reload) {
            editor.reload(store.map_chunks(), self.value_kb);
            self.stored_versions = stored_versions(store);
        }
    }

    /// Sends what the editor has changed, if it has. The leader key, at the version under which this process
    /// leads, and the replaced values are added to the preconditions.
    pub(super) fn write(
        &mut self,
        outbox: &mut Outbox,
        editor: &mut ShardMapEditor,
        leader_version: Version,
        mut preconditions: Vec<Precondition>,
    ) {
        let values = editor.take_dirty(self.values_per_write, VALUE_BYTES);
        if values.is_empty() {
            return;
        }
        preconditions.push(precondition(LEADER_KEY, leader_version));
        let mut writes = Vec::new();
        for (key, chunk) in &values {
            let version = self.stored_versions.get(key).copied().unwrap_or(0);
            preconditions.push(precondition(key, version));
            writes.push(put(key, chunk, None));
        }
        self.write_in_flight = true;
        let pending = Pending::ShardMap(MapWrite {
            token: leader_version,
            writes: writes.clone(),
        });
        let transaction = Transaction {
            preconditions,
            writes,
        };
        outbox.call_store(pending, StoreCall::Commit(transaction));
    }

    /// Takes in the outcome of a write, and decides when the next may follow.
    pub(super) fn written(
        &mut self,
        outbox: &mut Outbox,
        store: &mut StoreReplica,
        writes: &[Write],
        reply: &StoreReply,
    ) {
        self.write_in_flight = false;
        if let StoreReply::Committed(version) = reply {
            self.next_write = outbox.now + WRITES_AFTER_SUCCESS / self.writes_per_s;
            self.apply(store, writes, *version);
            store.request_read();
            return;
        }
        store.request_read();
        // What is stored is not known: continue from what the next sync shows.
        self.must_reload = true;
        let pause_writes = match reply {
            StoreReply::Conflict => WRITES_AFTER_CONFLICT,
            StoreReply::Rejected => {
                self.reduce_limits();
                WRITES_AFTER_REJECTION
            }
            _ => WRITES_AFTER_UNKNOWN_OUTCOME,
        };
        self.next_write = outbox.now + outbox.jitter(pause_writes / self.writes_per_s);
    }

    /// Takes committed values into the replica, and their version as the precondition of the next write.
    fn apply(&mut self, store: &mut StoreReplica, writes: &[Write], version: Version) {
        for write in writes {
            store.apply_write(write, version);
            if let Write::Put { key, .. } = write {
                self.stored_versions.insert(key.clone(), version);
            }
        }
    }

    /// Halves the limits on values and transactions: the store would reject the same write again.
    fn reduce_limits(&mut self) {
        self.value_kb = (self.value_kb * 0.5).max(LEAST_VALUE_KB);
        self.values_per_write = (self.values_per_write / 2).max(1);
        tracing::error!(
            values_per_write = self.values_per_write,
            value_kb = self.value_kb,
            "store rejected a write of the shard map: its limits are reduced"
        );
    }
}

/// The versions of the shard map's values in the replica, by key.
fn stored_versions(store: &StoreReplica) -> BTreeMap<String, Version> {
    let stored = store.map_chunks().iter();
    stored
        .map(|(key, chunk)| (key.clone(), chunk.version))
        .collect()
}
