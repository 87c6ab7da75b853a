//! Updates the catalog of machine types from the cloud and from the store.

use crate::core::Core;
use crate::core::effects::pending::Pending;
use crate::core::effects::{CloudCall, CloudReply, StoreCall};
use crate::core::model::time::Time;
use crate::core::records::keys::{LEADER_KEY, TYPES_KEY};
use crate::core::records::versioned::{precondition, put};
use crate::wire::{MachineTypes, Transaction};

/// Time between two queries for the machine types, in multiples of the delay of the cloud's machine list.
const REFRESH_INTERVAL_LAGS: f64 = 6.0;

/// Pause after a failed query before jitter, as the number of requests that the cloud's rate limit permits
/// during the pause.
const RETRY_PAUSE_REQUESTS: f64 = 1.5;

impl Core {
    /// Queries the cloud for the machine types if a query is due. The leader rents machines, so it repeats
    /// the query regularly. Other controllers query until they know the types. The leader also stores the
    /// types, so that controllers that start while the cloud is unavailable can accept jobs and place tasks.
    pub(crate) fn refresh_catalog_when_due(&mut self) {
        let catalog = &mut self.catalog;
        if let (false, Some(stored)) = (catalog.is_known(), self.store.machine_types()) {
            catalog.types.clone_from(&stored.record.types);
        }
        if self.leader.is_some()
            && catalog.is_known()
            && self.outbox.now >= catalog.next_store_write
            && self.outbox.may_write()
        {
            catalog.next_store_write =
                self.outbox.now + self.config.deployment.cloud.list_lag_s.max(1.0);
            self.write_machine_types();
        }
        let catalog = &mut self.catalog;
        if !catalog.is_query_pending
            && self.outbox.now >= catalog.next_query
            && (!catalog.is_known() || self.leader.is_some())
        {
            catalog.is_query_pending = true;
            self.outbox.call_cloud(None, CloudCall::Types);
        }
    }

    /// Writes the machine types to the store if they differ from the stored ones and fit into one value.
    fn write_machine_types(&mut self) {
        let Some(leader) = &self.leader else { return };
        let record = MachineTypes {
            types: self.catalog.types.clone(),
        };
        let stored = self.store.machine_types();
        if stored.is_some_and(|stored| stored.record == record) {
            return;
        }
        let write = put(TYPES_KEY, &record, None);
        let size = serde_json::to_string(&record).map_or(usize::MAX, |text| text.len());
        if size as f64 > self.config.deployment.state.value_kb * 1024.0 {
            return tracing::error!(size, "machine types are too large for the store");
        }
        let version = stored.map_or(0, |stored| stored.version);
        let preconditions = vec![
            precondition(LEADER_KEY, leader.key_version()),
            precondition(TYPES_KEY, version),
        ];
        let transaction = Transaction {
            preconditions,
            writes: vec![write.clone()],
        };
        self.outbox
            .call_store(Pending::MachineTypes(write), StoreCall::Commit(transaction));
    }

    /// Applies the cloud's reply to a query for the machine types and schedules the next query.
    pub(crate) fn handle_catalog_reply(&mut self, reply: CloudReply) {
        let now = self.outbox.now;
        let cloud = &self.config.deployment.cloud;
        let lag_s: Time = cloud.list_lag_s.max(1.0);
        self.catalog.is_query_pending = false;
        match reply {
            CloudReply::Types(types) if !types.types.is_empty() => {
                if self.catalog.types != types.types {
                    self.catalog.next_store_write = self.catalog.next_store_write.min(now);
                }
                self.catalog.types = types.types;
                self.catalog.next_query = now + lag_s * REFRESH_INTERVAL_LAGS;
            }
            _ => {
                self.catalog.next_query = now + self.outbox.jitter(RETRY_PAUSE_REQUESTS / cloud.rps)
            }
        }
    }
}
