//! Dispatches each input to its handler.

use crate::core::Core;
use crate::core::effects::pending::Pending;
use crate::core::effects::{CallId, CloudReply, Input, StoreReply, WorkerReply};
use crate::core::model::time::Time;
use crate::core::progress::StepStage;
use crate::wire::Write;

impl Core {
    /// Handles one input. Replies to calls that are no longer pending are ignored.
    pub(crate) fn handle_input(&mut self, input: Input) {
        self.progress.enter(stage_of(&input));
        match input {
            Input::User(request, operation) => self.handle_user_request(request, operation),
            Input::Health(request) => self.answer_health_check(request),
            Input::Status(request) => self.answer_status(request),
            Input::Heartbeat(request, heartbeat) => self.receive_heartbeat(request, heartbeat),
            Input::Mesh(request, message) => self.handle_mesh_message(request, message),
            Input::Store(call, reply) => {
                if let Some(pending) = self.outbox.take_pending(call) {
                    self.handle_store_reply(pending, reply);
                }
            }
            Input::Cloud(call, reply) => self.handle_cloud_reply(call, reply),
            Input::Worker(call, reply) => self.handle_worker_reply(call, reply),
            Input::MeshReply(call, reply) => {
                if let Some(pending) = self.outbox.take_pending(call) {
                    self.handle_mesh_reply(pending, reply);
                }
            }
        }
    }

    fn handle_cloud_reply(&mut self, call: CallId, reply: CloudReply) {
        match self.outbox.take_pending(call) {
            Some(Pending::Cloud(None)) => self.handle_catalog_reply(reply),
            Some(Pending::Cloud(Some(operation))) => {
                if let Some(leader) = self.leader.as_mut() {
                    leader.handle_cloud_reply(&mut self.outbox, operation, reply);
                }
            }
            _ => {}
        }
    }

    fn handle_worker_reply(&mut self, call: CallId, reply: WorkerReply) {
        match (self.outbox.take_pending(call), self.shard.as_mut()) {
            (Some(Pending::DirectCommands { machine }), Some(shard)) => {
                shard.handle_command_reply(&self.store, &machine, call, reply, self.outbox.now);
            }
            (Some(Pending::Inspection { machine }), Some(_)) => {
                self.handle_inspection_reply(&machine, reply);
            }
            _ => {}
        }
    }

    /// Updates the pacing of calls and the record of store contact, then handles the store's reply to one
    /// call.
    pub(crate) fn handle_store_reply(&mut self, pending: Pending, reply: StoreReply) {
        self.outbox.update_pacing(pending.is_write(), &reply);
        self.record_store_contact(&reply);
        match pending {
            Pending::StoreRead { sent } => self.handle_store_read(sent, reply),
            Pending::UserWrite(write) => self.handle_user_write_reply(write, reply),
            Pending::OwnershipLease(call) => self.handle_ownership_reply(call, reply),
            Pending::JobRecords(writes) => {
                if let Some(shard) = self.shard.as_mut() {
                    shard.handle_records_reply(&mut self.outbox, &mut self.store, writes, reply);
                }
            }
            Pending::ShardMap(write) => {
                if let Some(leader) = self.leader.as_mut() {
                    leader.handle_map_reply(&mut self.outbox, &mut self.store, &write, &reply);
                }
            }
            Pending::Grant(write) => {
                if let Some(shard) = self.shard.as_mut() {
                    shard.handle_grant_reply(&mut self.outbox, &mut self.store, write, reply);
                }
            }
            Pending::MachineTypes(write) => self.handle_machine_types_reply(&write, &reply),
            Pending::DirectCommands { .. }
            | Pending::Inspection { .. }
            | Pending::Hello { .. }
            | Pending::RelayedRequest { .. }
            | Pending::RelayedHeartbeat { .. }
            | Pending::Notification
            | Pending::Cloud(_) => {}
        }
    }

    /// Records whether the store answered, refused the call or did not reply. A busy store changes nothing.
    fn record_store_contact(&mut self, reply: &StoreReply) {
        match reply {
            StoreReply::Refused => self.detection.record_store_refusal(),
            StoreReply::Busy => {}
            StoreReply::Unknown => self.detection.reset_store_refusals(),
            _ => {
                self.detection.reset_store_refusals();
                self.store.record_store_reply(self.outbox.now);
            }
        }
    }

    /// Handles the reply to a read of the store that was sent at `sent`. The read extends the time for which
    /// this process may act as an owner only if the process is registered in the store: once its key is gone,
    /// its ownership must end.
    fn handle_store_read(&mut self, sent: Time, reply: StoreReply) {
        self.handle_read_reply(sent, reply);
        let incarnation = self.ownership.incarnation();
        if self
            .store
            .is_registered(&self.config.controller, incarnation)
        {
            self.ownership
                .record_current_as_of(self.store.current_as_of());
        }
    }

    fn handle_machine_types_reply(&mut self, write: &Write, reply: &StoreReply) {
        match reply {
            StoreReply::Committed(version) => self.store.apply_write(write, *version),
            StoreReply::Rejected => self.catalog.stop_store_writes(),
            _ => {}
        }
    }
}

/// The stage in which an input of this kind is handled.
fn stage_of(input: &Input) -> StepStage {
    match input {
        Input::User(..) => StepStage::UserRequest,
        Input::Health(_) | Input::Status(_) => StepStage::Inspection,
        Input::Heartbeat(..) => StepStage::Heartbeat,
        Input::Mesh(..) | Input::MeshReply(..) => StepStage::SiblingMessage,
        Input::Store(..) => StepStage::StoreReply,
        Input::Cloud(..) => StepStage::CloudReply,
        Input::Worker(..) => StepStage::WorkerReply,
    }
}
