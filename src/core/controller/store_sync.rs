use crate::core::Core;
use crate::core::effects::pending::Pending;
use crate::core::effects::{StoreCall, StoreReply};
use crate::core::model::time::Time;
use crate::core::records::keys::ROOT;
use crate::core::store::replica::FullRead;
use std::collections::BTreeSet;

impl Core {
    pub(crate) fn sync_when_due(&mut self) {
        let store = &mut self.store;
        let now = self.outbox.now;
        if store.in_flight || now < store.next_sync || !self.outbox.may_read() {
            return;
        }
        if !store.wanted && store.listing.is_none() && now < store.next_sync + store.interval {
            return;
        }
        store.wanted = false;
        store.in_flight = true;
        let call = match &store.listing {
            Some(listing) => StoreCall::List {
                prefix: ROOT,
                from: listing.after.clone(),
            },
            None if !store.complete => StoreCall::List {
                prefix: ROOT,
                from: None,
            },
            None => StoreCall::Changes {
                prefix: ROOT,
                from: store.revision,
            },
        };
        self.outbox.state(Pending::Sync { sent: now }, call);
    }

    pub(crate) fn synced(&mut self, sent: Time, reply: StoreReply) {
        let now = self.outbox.now;
        let store = &mut self.store;
        store.in_flight = false;
        store.next_sync = now + store.spacing;
        match reply {
            StoreReply::Changes(changes) if store.complete => {
                for change in &changes.events {
                    store.apply(change);
                }
                store.revision = store.revision.max(changes.revision);
                store.current_as_of = sent;
                store.failures = 0;
            }
            StoreReply::Listing(page) => {
                let listing = store.listing.get_or_insert_with(|| FullRead {
                    after: None,
                    revision: page.revision,
                    sent,
                    keys: BTreeSet::new(),
                });
                listing.after = page.entries.last().map(|entry| entry.key.clone());
                listing
                    .keys
                    .extend(page.entries.iter().map(|entry| entry.key.clone()));
                for entry in &page.entries {
                    store.put(&entry.key, &entry.value, entry.version);
                }
                if !page.more
                    && let Some(listing) = store.listing.take()
                {
                    // Later pages are newer than the first; changes since it are read next.
                    store.remove_unlisted(&listing.keys, listing.revision);
                    store.revision = listing.revision;
                    store.current_as_of = listing.sent;
                    store.complete = true;
                }
                store.failures = 0;
                store.wanted = true;
            }
            StoreReply::TooOld => {
                store.complete = false;
                store.listing = None;
            }
            _ => {
                store.failures = (store.failures + 1).min(5);
                let pause = store.spacing * f64::from(1 << store.failures);
                store.next_sync = now + self.outbox.jitter(pause);
                store.wanted = true;
            }
        }
        self.resume_user_requests();
    }
}
