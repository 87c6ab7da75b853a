//! Reads that keep the replica current: a full read in pages first, then the changes since the last revision.

use crate::core::effects::StoreCall;
use crate::core::model::time::Time;
use crate::core::records::keys::ROOT;
use crate::core::store::replica::StoreReplica;
use crate::ids::Version;
use crate::wire::{Changes, Listing};
use std::collections::BTreeSet;

/// Seconds between reads while a request waits for one, at a store that serves one request a second: each
/// controller's reads take at most 1/8 of the store's rate.
const SPACING_AT_UNIT_RATE: Time = 8.0;

/// The same while no request waits: at most 1/30 of the store's rate.
const IDLE_INTERVAL_AT_UNIT_RATE: Time = 30.0;

/// The pause after a failed read is doubled this often at most.
const MAX_DOUBLINGS: u32 = 5;

/// When the next read is due, and the full read in progress.
pub(super) struct ReadSchedule {
    /// Seconds between reads while a request waits for one.
    spacing: Time,
    /// Further seconds between reads while none waits.
    idle_interval: Time,
    /// A read is to be sent without the idle interval.
    wanted: bool,
    in_flight: bool,
    next_at: Time,
    /// Consecutive failed reads, up to [`MAX_DOUBLINGS`].
    failures: u32,
    full_read: Option<FullRead>,
}

/// A full read in progress.
struct FullRead {
    /// The last key listed so far.
    after: Option<String>,
    /// The revision of the first page.
    revision: Version,
    /// When the first page was requested.
    sent: Time,
    keys: BTreeSet<String>,
}

impl ReadSchedule {
    /// A schedule for a store that serves `requests_per_s` requests a second.
    pub(super) fn new(requests_per_s: f64) -> Self {
        Self {
            spacing: SPACING_AT_UNIT_RATE / requests_per_s,
            idle_interval: IDLE_INTERVAL_AT_UNIT_RATE / requests_per_s,
            wanted: false,
            in_flight: false,
            next_at: 0.0,
            failures: 0,
            full_read: None,
        }
    }

    fn due(&self, now: Time) -> bool {
        if self.in_flight || now < self.next_at {
            return false;
        }
        self.wanted || self.full_read.is_some() || now >= self.next_at + self.idle_interval
    }

    fn answered(&mut self, now: Time) {
        self.in_flight = false;
        self.next_at = now + self.spacing;
    }
}

impl StoreReplica {
    /// Requests a read as soon as the rate allows, because an answer depends on it.
    pub fn request_read(&mut self) {
        self.reads.wanted = true;
    }

    /// The read that is due now, if one is; it counts as sent.
    pub fn next_read(&mut self, now: Time) -> Option<StoreCall> {
        if !self.reads.due(now) {
            return None;
        }
        self.reads.wanted = false;
        self.reads.in_flight = true;
        let list = |from| StoreCall::List { prefix: ROOT, from };
        Some(match &self.reads.full_read {
            Some(full_read) => list(full_read.after.clone()),
            None if !self.complete => list(None),
            None => StoreCall::Changes {
                prefix: ROOT,
                from: self.revision,
            },
        })
    }

    /// Applies the changes that a read sent at `sent` returned.
    pub fn apply_changes(&mut self, changes: &Changes, sent: Time, now: Time) {
        self.reads.answered(now);
        for change in &changes.events {
            self.apply_change(change);
        }
        self.revision = self.revision.max(changes.revision);
        self.current_as_of = sent;
        self.reads.failures = 0;
    }

    /// Applies a page of a full read; the request for it was sent at `sent`.
    pub fn apply_page(&mut self, page: &Listing, sent: Time, now: Time) {
        self.reads.answered(now);
        let full_read = self.reads.full_read.get_or_insert_with(|| FullRead {
            after: None,
            revision: page.revision,
            sent,
            keys: BTreeSet::new(),
        });
        full_read.after = page.entries.last().map(|entry| entry.key.clone());
        let keys = page.entries.iter().map(|entry| entry.key.clone());
        full_read.keys.extend(keys);
        for entry in &page.entries {
            self.put(&entry.key, &entry.value, entry.version);
        }
        if !page.more
            && let Some(full_read) = self.reads.full_read.take()
        {
            self.finish_full_read(&full_read);
        }
        self.reads.failures = 0;
        self.reads.wanted = true;
    }

    /// Later pages are newer than the first; the changes since the first page's revision are read next.
    fn finish_full_read(&mut self, full_read: &FullRead) {
        self.remove_unlisted(&full_read.keys, full_read.revision);
        self.revision = full_read.revision;
        self.current_as_of = full_read.sent;
        self.complete = true;
    }

    /// The store no longer keeps the changes since the last revision, so a full read starts again.
    pub fn restart_full_read(&mut self, now: Time) {
        self.reads.answered(now);
        self.complete = false;
        self.reads.full_read = None;
    }

    /// A read failed; the next one is sent after a pause that doubles with each failure. `spread`: a random
    /// factor around 1, so that controllers do not retry in step.
    pub fn retry_read_later(&mut self, now: Time, spread: f64) {
        self.reads.answered(now);
        self.reads.failures = (self.reads.failures + 1).min(MAX_DOUBLINGS);
        let pause = self.reads.spacing * f64::from(1 << self.reads.failures);
        self.reads.next_at = now + pause * spread;
        self.reads.wanted = true;
    }
}
