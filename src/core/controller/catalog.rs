use crate::core::Core;
use crate::core::effects::pending::Pending;
use crate::core::effects::{CloudCall, CloudReply, StoreCall};
use crate::core::records::keys::{LEADER_KEY, TYPES_KEY};
use crate::core::records::versioned::{precondition, put};
use crate::wire::{MachineTypes, Transaction};

impl Core {
    /// Every controller knows the machine types; the leader also rents and returns. It keeps them
    /// in the state service too, so that controllers which start while the cloud is down can
    /// accept and place.
    pub(crate) fn catalog_when_due(&mut self) {
        let catalog = &mut self.catalog;
        if let (false, Some(stored)) = (catalog.known(), self.store.types()) {
            catalog.types.clone_from(&stored.record.types);
        }
        if self.leader.is_some()
            && catalog.known()
            && self.outbox.now >= catalog.next_store
            && self.outbox.may_write()
        {
            catalog.next_store = self.outbox.now + self.config.deployment.cloud.list_lag_s.max(1.0);
            self.store_types();
        }
        let catalog = &mut self.catalog;
        if !catalog.asking
            && self.outbox.now >= catalog.next
            && (!catalog.known() || self.leader.is_some())
        {
            catalog.asking = true;
            self.outbox.cloud(None, CloudCall::Types);
        }
    }

    pub(crate) fn store_types(&mut self) {
        let Some(leader) = &self.leader else { return };
        let record = MachineTypes {
            types: self.catalog.types.clone(),
        };
        let stored = self.store.types();
        if stored.is_some_and(|stored| stored.record == record) {
            return;
        }
        let write = put(TYPES_KEY, &record, None);
        let size = serde_json::to_string(&record).map_or(usize::MAX, |text| text.len());
        if size as f64 > self.config.deployment.state.value_kb * 1024.0 {
            return tracing::error!("the machine types, {size} bytes, are too large to be stored");
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
            .state(Pending::Types(write), StoreCall::Commit(transaction));
    }

    pub(crate) fn catalog_reply(&mut self, reply: CloudReply) {
        let now = self.outbox.now;
        let cloud = &self.config.deployment.cloud;
        self.catalog.asking = false;
        match reply {
            CloudReply::Types(types) if !types.types.is_empty() => {
                if self.catalog.types != types.types {
                    self.catalog.next_store = self.catalog.next_store.min(now);
                }
                self.catalog.types = types.types;
                self.catalog.next = now + cloud.list_lag_s.max(1.0) * 6.0;
            }
            _ => self.catalog.next = now + self.outbox.jitter(1.5 / cloud.rps),
        }
    }
}
