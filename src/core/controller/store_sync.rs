//! Sends the reads that keep the store replica current, and applies their replies.

use crate::core::Core;
use crate::core::effects::StoreReply;
use crate::core::effects::pending::Pending;
use crate::core::model::time::Time;

impl Core {
    /// Sends the next read of the store if one is due.
    pub(crate) fn sync_when_due(&mut self) {
        if !self.outbox.may_read() {
            return;
        }
        let now = self.outbox.now;
        if let Some(call) = self.store.next_read(now) {
            self.outbox.state(Pending::Sync { sent: now }, call);
        }
    }

    /// Applies the reply to a read that was sent at `sent`, and answers the user requests that waited for it.
    pub(crate) fn synced(&mut self, sent: Time, reply: StoreReply) {
        let now = self.outbox.now;
        let store = &mut self.store;
        match reply {
            StoreReply::Changes(changes) if store.complete() => {
                store.changes_received(&changes, sent, now);
            }
            StoreReply::Listing(page) => store.page_received(&page, sent, now),
            StoreReply::TooOld => store.changes_compacted(now),
            _ => store.read_failed(now, self.outbox.jitter(1.0)),
        }
        self.resume_user_requests();
    }
}
