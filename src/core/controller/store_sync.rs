//! Sends the reads that update the store replica, and applies their replies.

use crate::core::Core;
use crate::core::effects::StoreReply;
use crate::core::effects::pending::Pending;
use crate::core::model::time::Time;

impl Core {
    /// Sends the next read of the store if one is due.
    pub(crate) fn read_store_when_due(&mut self) {
        if !self.outbox.may_read() {
            return;
        }
        let now = self.outbox.now;
        if let Some(call) = self.store.next_read(now) {
            self.outbox
                .call_store(Pending::StoreRead { sent: now }, call);
        }
    }

    /// Applies the reply to a read that was sent at `sent`, then resumes the user requests that waited for
    /// it.
    pub(crate) fn handle_read_reply(&mut self, sent: Time, reply: StoreReply) {
        let now = self.outbox.now;
        let store = &mut self.store;
        match reply {
            StoreReply::Changes(changes) if store.is_complete() => {
                store.apply_changes(&changes, sent, now);
            }
            StoreReply::Listing(page) => store.apply_page(&page, sent, now),
            StoreReply::Compacted => store.restart_full_read(now),
            _ => store.retry_read_later(now, self.outbox.jitter(1.0)),
        }
        self.resume_user_requests();
    }
}
