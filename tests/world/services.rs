//! Delivery of requests to the store and the cloud, with limits, outages and faults at single writes.

use super::faults::{Condition, ShardMapFault};
use super::network::Endpoint;
use super::{Event, RESTART_DELAY_S, World};
use ochredrum::core::effects::{CallId, CloudCall, CloudReply, Input, StoreCall, StoreReply};
use ochredrum::wire::{Transaction, Write};
use rand::Rng;

impl World {
    /// Delivers a request to the store, which refuses, throttles, rejects or executes it.
    pub(super) fn store_request(
        &mut self,
        node: usize,
        epoch: u64,
        call: CallId,
        request: StoreCall,
    ) {
        let reply = if self.network.store_refuses(node) {
            StoreReply::Refused
        } else {
            if !self
                .rate_limiter
                .try_acquire(self.now, &self.limits, &request)
            {
                self.counters.throttled_requests += 1;
                return self.reply(
                    node,
                    epoch,
                    Endpoint::Store,
                    Input::Store(call, StoreReply::Busy),
                );
            }
            if let StoreCall::Commit(transaction) = &request
                && self.over_limits(transaction)
            {
                let rejected = Input::Store(call, StoreReply::Rejected);
                return self.reply(node, epoch, Endpoint::Store, rejected);
            }
            let outage_ended = self.network.take_outage_end(self.now);
            let is_map_write = writes_shard_map(&request);
            let reply = self.store.call(self.now, request, outage_ended);
            if is_map_write
                && matches!(reply, StoreReply::Committed(_))
                && self.shard_map_fault_due(ShardMapFault::Crash)
            {
                return self.crash(node, RESTART_DELAY_S);
            }
            reply
        };
        self.reply(node, epoch, Endpoint::Store, Input::Store(call, reply));
    }

    /// Whether a transaction exceeds a limit of the store, which is recorded as a violation. The real store
    /// would reject such a transaction every time, so controllers must not send it.
    fn over_limits(&mut self, transaction: &Transaction) -> bool {
        let largest = transaction
            .writes
            .iter()
            .map(Write::value_bytes)
            .max()
            .unwrap_or(0);
        let text = serde_json::to_string(transaction).unwrap_or_default();
        let ops = self.limits.txn_ops;
        let over = largest as f64 > self.limits.value_kb * 1024.0
            || transaction.writes.len() > ops
            || transaction.preconditions.len() > ops * 4
            || text.len() > ochredrum::wire::BODY_LIMIT;
        if over {
            let (writes, preconditions) =
                (transaction.writes.len(), transaction.preconditions.len());
            let details =
                format!("{writes} writes, {preconditions} preconditions, value of {largest} bytes");
            self.record_violation("over_limit", details);
        }
        over
    }

    /// Counts a write of the shard map if `fault` is to be injected, and returns whether it occurs at this
    /// write.
    fn shard_map_fault_due(&mut self, fault: ShardMapFault) -> bool {
        let Some((left, _)) = self
            .shard_map_fault
            .as_mut()
            .filter(|(_, due)| *due == fault)
        else {
            return false;
        };
        *left -= 1;
        let due = *left == 0;
        if due {
            self.shard_map_fault = None;
        }
        due
    }

    /// Decides whether a transaction takes effect late and without an answer.
    pub(super) fn takes_effect_late(&mut self, request: &StoreCall) -> bool {
        (writes_shard_map(request) && self.shard_map_fault_due(ShardMapFault::Late))
            || (self.network.has(Condition::LateWrites) && self.rng.random_bool(0.3))
    }

    /// Delivers a request to the cloud's interface.
    pub(super) fn cloud_request(
        &mut self,
        node: usize,
        epoch: u64,
        call: CallId,
        request: CloudCall,
    ) {
        if self.network.has(Condition::CloudOutage) {
            let input = Input::Cloud(call, CloudReply::Refused);
            return self.reply(node, epoch, Endpoint::Cloud, input);
        }
        let (reply, booting) = self.cloud.call(self.now, request);
        for machine in booting {
            let boot = if self.network.has(Condition::FastBoots) {
                0.3..2.0
            } else {
                6.0..14.0
            };
            let boot = self.rng.random_range(boot);
            self.schedule_after(boot, Event::BootDone { machine });
        }
        for machine in self.cloud.take_released() {
            self.log_event(format!("{machine} released"));
            if let Some(worker) = self.workers.remove(&machine) {
                self.users.starts_on_removed_machines += worker.starts;
            }
        }
        self.reply(node, epoch, Endpoint::Cloud, Input::Cloud(call, reply));
    }
}

/// Whether a request writes or deletes a key of the shard map.
fn writes_shard_map(request: &StoreCall) -> bool {
    let of_map = |write: &Write| match write {
        Write::Put { key, .. } | Write::Delete { key } => key.starts_with("ochredrum/map/"),
    };
    matches!(request, StoreCall::Commit(transaction) if transaction.writes.iter().any(of_map))
}
