//! Delivery of requests to the store and the cloud, with limits, outages and faults at single writes.

use super::faults::{Condition, ShardMapFault};
use super::network::{ActiveFault, Endpoint};
use super::{Event, RESTART_DELAY_S, World};
use ochredrum::core::effects::{CallId, CloudCall, CloudReply, Input, StoreCall, StoreReply};
use ochredrum::wire::{Transaction, Write};
use rand::Rng;

/// Probability that the response to a read is late under [`Condition::LateReads`].
const LATE_READ_PROBABILITY: f64 = 0.6;
/// Upper bound on the delay of a late response, in seconds. Controllers give up a read after less than a second.
const MAX_READ_DELAY_S: f64 = 1.2;

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
            let is_read = matches!(request, StoreCall::List { .. } | StoreCall::Changes { .. });
            let reply = self.store.call(self.now, request, outage_ended);
            if is_map_write && matches!(reply, StoreReply::Committed(_)) {
                if self.shard_map_fault_due(ShardMapFault::Crash) {
                    return self.crash(node, RESTART_DELAY_S);
                }
                self.begin_losing_reads_if_due(node);
            }
            if is_read {
                return self.answer_read(node, epoch, call, reply);
            }
            reply
        };
        self.reply(node, epoch, Endpoint::Store, Input::Store(call, reply));
    }

    /// Sends the response to a read, which may be late or lost.
    fn answer_read(&mut self, node: usize, epoch: u64, call: CallId, reply: StoreReply) {
        if self.network.loses_reads(node) {
            return;
        }
        let input = Input::Store(call, reply);
        if self.network.has(Condition::LateReads) && self.rng.random_bool(LATE_READ_PROBABILITY) {
            let delay = self.rng.random_range(0.0..MAX_READ_DELAY_S);
            return self.schedule_input(delay, node, epoch, input);
        }
        self.reply(node, epoch, Endpoint::Store, input);
    }

    /// Loses the responses to reads of the writer of the shard map if that is to happen at this write.
    fn begin_losing_reads_if_due(&mut self, node: usize) {
        let Some((_, fault @ ShardMapFault::LostReads { seconds })) = self.shard_map_fault else {
            return;
        };
        if self.shard_map_fault_due(fault) {
            let until = self.now + seconds;
            let id = self
                .network
                .add(self.now, until, ActiveFault::LostReads(node));
            self.log_event(format!("n{node} reads nothing for {seconds} s"));
            self.schedule_at(until, Event::FaultEnds(id));
        }
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
