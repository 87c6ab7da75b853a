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

/// Size of a transaction's values, in bytes, at which no further value is added. The last value and the
/// preconditions then still fit into the limit on bodies; the store rejects any larger transaction.
const VALUE_BYTES_PER_WRITE: usize = BODY_LIMIT / 2;

/// Smallest limit on one value, in KiB. A value with a single machine and its owner can't be split further.
const MIN_VALUE_KB: f64 = 0.25;

/// Pause after a successful write, as the number of writes that the store permits in that time. During the
/// pause, the permitted rate is left to other writes.
const PAUSE_WRITES_AFTER_SUCCESS: f64 = 6.0;

/// Pause after a conflict, in writes at the permitted rate. It is short, because nothing was written and
/// machines whose leases are about to expire may depend on the write.
const PAUSE_WRITES_AFTER_CONFLICT: f64 = 3.0;

/// Pause after a rejection, in writes at the permitted rate. It is long, because the smaller write that
/// follows may be rejected as well.
const PAUSE_WRITES_AFTER_REJECTION: f64 = 50.0;

/// Pause after any other failure, in writes at the permitted rate. The outcome is unknown and has to be read
/// first.
const PAUSE_WRITES_AFTER_UNKNOWN_OUTCOME: f64 = 12.0;

/// Writes the changes of a [`ShardMapEditor`], one transaction at a time.
pub(super) struct MapWriter {
    /// The versions of the stored values on which the editor's copy is based; the preconditions of writes.
    /// The replica's versions would be wrong: a write with unknown outcome may reach the replica after the
    /// editor was reloaded. A precondition on its version would hold, and the next write would undo it.
    stored_versions: BTreeMap<String, Version>,
    /// Limit on the size of one value in KiB: the configured limit, halved at each rejection.
    value_kb: f64,
    /// Limit on the number of values in one transaction: the configured limit, halved at each rejection.
    values_per_write: usize,
    /// Writes per second that the store permits to one controller.
    writes_per_s: f64,
    write_in_flight: bool,
    next_write: Time,
    /// Whether the stored map may differ from the editor's copy: the last write failed, or its outcome is
    /// unknown.
    must_reload: bool,
}

impl MapWriter {
    /// Starts from the stored versions that the replica holds.
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

    /// Whether a write was sent and its reply is outstanding.
    pub(super) fn write_in_flight(&self) -> bool {
        self.write_in_flight
    }

    /// Whether the next write may be sent now: none is in flight, the pause after the last one is over and
    /// the outbox permits writes.
    pub(super) fn may_write(&self, outbox: &Outbox) -> bool {
        !self.write_in_flight && outbox.now >= self.next_write && outbox.may_write()
    }

    /// Reloads the editor from the replica if its copy may differ from the stored map.
    pub(super) fn reload_if_needed(&mut self, editor: &mut ShardMapEditor, store: &StoreReplica) {
        if std::mem::take(&mut self.must_reload) {
            editor.reload(store.map_chunks(), self.value_kb);
            self.stored_versions = stored_versions(store);
        }
    }

    /// Sends the editor's changes as one transaction; does nothing if there are none. Adds preconditions on
    /// the leader key's version and on the versions of the replaced values.
    pub(super) fn write(
        &mut self,
        outbox: &mut Outbox,
        editor: &mut ShardMapEditor,
        leader_version: Version,
        mut preconditions: Vec<Precondition>,
    ) {
        let values = editor.take_dirty(self.values_per_write, VALUE_BYTES_PER_WRITE);
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
            leader_key_version: leader_version,
            writes: writes.clone(),
        });
        let transaction = Transaction {
            preconditions,
            writes,
        };
        outbox.call_store(pending, StoreCall::Commit(transaction));
    }

    /// Handles the reply to a write and schedules the earliest time of the next one.
    pub(super) fn handle_reply(
        &mut self,
        outbox: &mut Outbox,
        store: &mut StoreReplica,
        writes: &[Write],
        reply: &StoreReply,
    ) {
        self.write_in_flight = false;
        if let StoreReply::Committed(version) = reply {
            self.next_write = outbox.now + PAUSE_WRITES_AFTER_SUCCESS / self.writes_per_s;
            self.apply_committed(store, writes, *version);
            store.request_read();
            return;
        }
        store.request_read();
        // The stored map is unknown: the editor is reloaded from the replica before the next write.
        self.must_reload = true;
        let pause_writes = match reply {
            StoreReply::Conflict => PAUSE_WRITES_AFTER_CONFLICT,
            StoreReply::Rejected => {
                self.reduce_limits();
                PAUSE_WRITES_AFTER_REJECTION
            }
            _ => PAUSE_WRITES_AFTER_UNKNOWN_OUTCOME,
        };
        self.next_write = outbox.now + outbox.jitter(pause_writes / self.writes_per_s);
    }

    /// Applies committed writes to the replica and remembers their version for the next write's
    /// preconditions.
    fn apply_committed(&mut self, store: &mut StoreReplica, writes: &[Write], version: Version) {
        store.apply_writes(writes, version);
        for write in writes {
            if let Write::Put { key, .. } = write {
                self.stored_versions.insert(key.clone(), version);
            }
        }
    }

    /// Halves the limits on values and transactions, because the store would reject the same write again.
    fn reduce_limits(&mut self) {
        self.value_kb = (self.value_kb * 0.5).max(MIN_VALUE_KB);
        self.values_per_write = (self.values_per_write / 2).max(1);
        tracing::error!(
            values_per_write = self.values_per_write,
            value_kb = self.value_kb,
            "store rejected a shard map write: later writes are smaller"
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
