//! A machine as its owner knows it, with the attempts that may be on it.

mod attempt;
mod capacity;
mod commands;
mod heartbeat_order;
mod image_cache;

pub use attempt::{Phase, TrackedAttempt};
pub use commands::{CommandBatch, CommandChannel};
pub use heartbeat_order::{Freshness, HeartbeatOrigin};

use crate::core::machines::starts_in_flight::AttemptKey;
use crate::core::model::process::ProcessId;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::ids::{FencingToken, JobId, MachineId, MachineTypeName, Version, Zone};
use crate::wire::{Heartbeat, MachineType};
use heartbeat_order::HeartbeatOrder;
use image_cache::ImageCache;
use std::collections::{BTreeMap, BTreeSet};

/// One machine. Its owner schedules on it; other controllers know it for the attempts of their teams
/// that may be on it.
pub struct Machine {
    /// Its identity.
    pub id: MachineId,
    /// Where its worker is reached; empty until a heartbeat has shown it.
    pub address: String,
    /// Its machine type; empty until a heartbeat has shown it.
    pub type_name: MachineTypeName,
    /// Its zone; empty until a heartbeat has shown it.
    pub zone: Zone,
    /// It is a spot instance.
    pub spot: bool,
    /// All its resources; none until its type is known.
    pub total: Resources,
    /// Rate at which it fetches images, in GB per second.
    pub fetch_rate: f64,
    image_cache: ImageCache,
    heartbeat_order: HeartbeatOrder,
    /// The fencing token that the shard map gives it, which its heartbeats must show.
    pub token: FencingToken,
    /// A heartbeat of the present agent epoch has shown the token.
    pub token_confirmed: bool,
    /// When a heartbeat of it was last answered with 200. Its lease ends at most the length of a lease
    /// after this.
    pub last_answered: Time,
    /// The shard map gives it to this process; otherwise it is known for tasks of our teams on it.
    pub is_owned: bool,
    /// The living process that owned it before, until that is known to have released it: until then it
    /// may still answer the machine and so extend its lease.
    pub previous_owner: Option<ProcessId>,
    /// The store revision at which it changed its owner or token.
    pub owned_since_revision: Version,
    /// Known to have no attempts, since its lease has expired.
    pub known_empty: bool,
    /// When the cloud reclaims it, if it has given notice.
    pub reclaimed_at: Option<Time>,
    /// Attempts that may be on it.
    pub attempts: BTreeMap<AttemptKey, TrackedAttempt>,
    /// Since when only opportunistic work has been on it.
    pub idle_since: Time,
    /// Direct commands do not seem to reach it.
    pub unreachable: bool,
    /// It is to be returned to the cloud.
    pub releasing: bool,
    /// Its replicas are moved to other machines; nothing is started on it until they have ended.
    pub draining: bool,
    /// It needs a new token, to make void the commands that may still be in flight to it.
    pub needs_new_token: bool,
    /// It was declared unresponsive under its present token, and is not answered until it has a new one.
    pub unresponsive: bool,
    /// Since when it could have sent a heartbeat under its present token.
    pub heartbeat_expected_since: Time,
    /// Jobs that failed on it.
    pub failed_jobs: BTreeSet<JobId>,
    /// Nothing is started on it before this time.
    pub cordoned_until: Time,
    /// When this process first knew of it.
    pub known_since: Time,
    /// When a sibling last relayed a heartbeat of it.
    pub last_relayed: Time,
}

impl Machine {
    /// A machine of which only the shard map is known.
    pub fn new(id: MachineId, token: FencingToken, now: Time) -> Self {
        Self {
            id,
            address: String::new(),
            type_name: "".into(),
            zone: "".into(),
            spot: false,
            total: Resources::default(),
            fetch_rate: 0.0,
            image_cache: ImageCache::default(),
            heartbeat_order: HeartbeatOrder::default(),
            token,
            token_confirmed: false,
            last_answered: now,
            is_owned: false,
            previous_owner: None,
            owned_since_revision: 0,
            known_empty: false,
            reclaimed_at: None,
            attempts: BTreeMap::new(),
            idle_since: now,
            unreachable: false,
            releasing: false,
            draining: false,
            needs_new_token: false,
            unresponsive: false,
            heartbeat_expected_since: now,
            failed_jobs: BTreeSet::new(),
            cordoned_until: 0.0,
            known_since: now,
            last_relayed: Time::NEG_INFINITY,
        }
    }

    /// Takes the description of the machine from a heartbeat.
    pub fn update_description(&mut self, heartbeat: &Heartbeat, types: &[MachineType]) {
        if self.address != heartbeat.address {
            self.address.clone_from(&heartbeat.address);
        }
        self.type_name = heartbeat.type_name.clone();
        self.zone = heartbeat.zone.clone();
        self.spot = heartbeat.spot;
        self.set_type(types);
    }

    /// Takes resources and rates from the machine's type, if the cloud offers it.
    pub fn set_type(&mut self, types: &[MachineType]) {
        if let Some(machine_type) = types.iter().find(|offered| offered.name == self.type_name) {
            self.total = Resources {
                cpus: machine_type.cpus,
                gpus: machine_type.gpus,
                memory_gb: machine_type.memory_gb,
            };
            self.fetch_rate = machine_type.fetch_gb_per_s;
            self.image_cache.capacity_gb = machine_type.cache_gb;
        }
    }

    /// The newest agent epoch that a message of the machine has shown.
    pub fn agent_epoch(&self) -> u64 {
        self.heartbeat_order.epoch()
    }

    /// Agent epochs up to this one are over.
    pub fn ended_epoch(&self) -> u64 {
        self.heartbeat_order.ended_epoch()
    }

    /// Records a heartbeat in the order of the machine's messages, and tells whether it is new.
    pub fn accept_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        origin: HeartbeatOrigin,
    ) -> Freshness {
        let shows_token = heartbeat.token == self.token;
        self.heartbeat_order.accept(heartbeat, shows_token, origin)
    }

    /// Its lease has expired: every attempt on it has ended, and no message of its present agent epoch
    /// counts any more.
    pub fn end_epoch(&mut self) {
        self.heartbeat_order.end_epoch();
        self.token_confirmed = false;
        self.known_empty = true;
    }

    /// It has a new owner or a new token. Its tasks keep running; commands sent under the earlier token
    /// are void once it has shown the new one.
    pub fn change_owner(&mut self, token: FencingToken, is_owned: bool, now: Time) {
        if !self.is_owned && is_owned {
            // Its former owner may have answered it until now.
            self.last_answered = now;
            self.known_empty = false;
            self.heartbeat_order.unconfirm_epoch();
        }
        self.is_owned = is_owned;
        self.token = token;
        self.token_confirmed = false;
        self.needs_new_token = false;
        self.unresponsive = false;
        self.heartbeat_expected_since = now;
        self.releasing = false;
        self.draining = false;
    }

    /// Its former owner no longer answers it, but may have done so until now.
    pub fn record_previous_owner_release(&mut self, now: Time) {
        self.previous_owner = None;
        self.last_answered = self.last_answered.max(now);
    }

    /// Whether every attempt that may be on it is known.
    pub fn reconciled(&self) -> bool {
        self.token_confirmed || self.known_empty
    }

    /// Whether tasks may be started on it.
    pub fn usable(&self, now: Time) -> bool {
        self.token_confirmed
            && self.is_owned
            && !self.unreachable
            && !self.releasing
            && !self.draining
            && !self.needs_new_token
            && !self.unresponsive
            && self.reclaimed_at.is_none()
            && !self.is_cordoned(now)
    }

    /// Whether it is cordoned, for several jobs have failed on it alone.
    pub fn is_cordoned(&self, now: Time) -> bool {
        now < self.cordoned_until
    }
}

#[cfg(test)]
mod tests;
