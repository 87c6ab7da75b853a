//! The state of a machine in its owner, and in other controllers whose teams have attempts on it.

mod attempt;
mod capacity;
mod command_token;
mod commands;
mod heartbeat_order;
mod image_cache;

pub use attempt::{Phase, TrackedAttempt};
pub use command_token::CommandTokens;
pub use commands::{CommandBatch, CommandChannel};
pub use heartbeat_order::{Freshness, HeartbeatOrigin};

use crate::core::machines::starts_in_flight::AttemptKey;
use crate::core::model::process::ProcessId;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::ids::{FencingToken, JobId, MachineId, MachineTypeName, TaskId, Version, Zone};
use crate::wire::{Heartbeat, MachineType};
use heartbeat_order::HeartbeatOrder;
use image_cache::ImageCache;
use std::collections::{BTreeMap, BTreeSet};

/// Number of attempts, exits included, from which on nothing more is started on a machine. With those that one round
/// may add, its heartbeats and their responses stay below [`crate::wire::BODY_LIMIT`].
const MAX_ATTEMPTS_FOR_STARTS: usize = 400;

/// One machine and the attempts that may be on it. Its owner schedules on it. Other controllers keep it only
/// for the attempts of their teams.
pub struct Machine {
    /// Identity that the cloud gave the machine.
    pub id: MachineId,
    /// Address of its worker; empty until the first heartbeat.
    pub address: String,
    /// Name of its machine type; empty until the first heartbeat.
    pub type_name: MachineTypeName,
    /// Zone in which it runs; empty until the first heartbeat.
    pub zone: Zone,
    /// Whether it is a spot instance, which the cloud may reclaim.
    pub spot: bool,
    /// Total resources; zero until its type is known.
    pub total: Resources,
    /// Rate at which it fetches images, in GB per second; 0 until its type is known.
    pub fetch_rate: f64,
    image_cache: ImageCache,
    heartbeat_order: HeartbeatOrder,
    /// Its fencing token in the shard map.
    pub token: FencingToken,
    /// The tokens under which its owner sends commands, which its heartbeats must carry.
    pub command_tokens: CommandTokens,
    /// When the owner last raised the command token.
    command_token_raised_at: Time,
    /// Whether a heartbeat of the present agent epoch has carried a command token.
    pub token_confirmed: bool,
    /// When one of its heartbeats was last answered with status 200. Its lease ends at most one lease
    /// duration later.
    pub last_answered: Time,
    /// Whether the shard map assigns it to this process. If not, it is kept for attempts of this process's
    /// teams.
    pub is_owned: bool,
    /// The previous owner, if that process is alive and not known to have released the machine. It may still
    /// answer the machine's heartbeats and so extend its lease.
    pub previous_owner: Option<ProcessId>,
    /// Store revision at which its owner or token last changed.
    pub owned_since_revision: Version,
    /// Whether it is known to have no attempts because its lease has expired.
    pub known_empty: bool,
    /// When the cloud reclaims it; `None` unless the cloud has given notice.
    pub reclaimed_at: Option<Time>,
    /// Attempts that may be on it, including ended ones that its worker still reports.
    pub attempts: BTreeMap<AttemptKey, TrackedAttempt>,
    /// Since when it has held no work other than opportunistic work.
    pub idle_since: Time,
    /// Whether direct messages seem not to reach it.
    pub unreachable: bool,
    /// Whether it is to be returned to the cloud.
    pub releasing: bool,
    /// Whether its replicas are being moved to other machines. Nothing is started on it until they have
    /// ended.
    pub draining: bool,
    /// Whether it needs a new token, which voids the commands that may still be in flight to it.
    pub needs_new_token: bool,
    /// Whether it was declared unresponsive under its present token. Its heartbeats are not answered until it
    /// has a new token.
    pub unresponsive: bool,
    /// Since when a heartbeat under its present token has been expected.
    pub heartbeat_expected_since: Time,
    /// Jobs that have had a task fail on it.
    pub failed_jobs: BTreeSet<JobId>,
    /// Time until which no task is started on it; see [`Machine::is_cordoned`].
    pub cordoned_until: Time,
    /// When this process first learned of it.
    pub known_since: Time,
    /// When a sibling last relayed one of its heartbeats.
    pub last_relayed: Time,
}

impl Machine {
    /// Creates a machine of which only its entry in the shard map is known.
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
            command_tokens: CommandTokens::new(token, 0),
            command_token_raised_at: Time::NEG_INFINITY,
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

    /// Updates address, type, zone and spot status from a heartbeat.
    pub fn update_description(&mut self, heartbeat: &Heartbeat, types: &[MachineType]) {
        if self.address != heartbeat.address {
            self.address.clone_from(&heartbeat.address);
        }
        self.type_name = heartbeat.type_name.clone();
        self.zone = heartbeat.zone.clone();
        self.spot = heartbeat.spot;
        self.set_type(types);
    }

    /// Updates resources, fetch rate and cache size from the machine's type, if `types` contains it.
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

    /// Returns the latest agent epoch in the machine's messages.
    pub fn agent_epoch(&self) -> u64 {
        self.heartbeat_order.epoch()
    }

    /// Returns the latest agent epoch that is known to be over; all earlier epochs are over as well.
    pub fn ended_epoch(&self) -> u64 {
        self.heartbeat_order.ended_epoch()
    }

    /// Records a heartbeat in the message order of the machine and returns whether it is new.
    pub fn accept_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        origin: HeartbeatOrigin,
    ) -> Freshness {
        let shows_token = self.command_tokens.include(heartbeat.token);
        self.heartbeat_order.accept(heartbeat, shows_token, origin)
    }

    /// The attempts in a heartbeat that are not tracked.
    pub fn untracked_attempts(&self, heartbeat: &Heartbeat) -> Vec<AttemptKey> {
        let reported = heartbeat.tasks.iter();
        reported
            .filter_map(|reported| Some((TaskId::parse(&reported.task)?, reported.attempt)))
            .filter(|key| !self.attempts.contains_key(key))
            .collect()
    }

    /// Ends the present agent epoch after the lease has expired: every attempt on the machine has ended, and
    /// later messages of this epoch are ignored.
    pub fn end_epoch(&mut self) {
        self.heartbeat_order.end_epoch();
        self.token_confirmed = false;
        self.known_empty = true;
    }

    /// Applies a new owner or a new token, above which the owner may use `raises` tokens. The machine's tasks keep running. Commands that were sent under
    /// the earlier token are void once the machine has received the new one.
    pub fn change_owner(&mut self, token: FencingToken, raises: u64, is_owned: bool, now: Time) {
        if !self.is_owned && is_owned {
            // The previous owner may have answered its heartbeats until now.
            self.last_answered = now;
            self.known_empty = false;
            self.heartbeat_order.unconfirm_epoch();
        }
        self.is_owned = is_owned;
        self.token = token;
        self.command_tokens = CommandTokens::new(token, raises);
        self.token_confirmed = false;
        self.needs_new_token = false;
        self.unresponsive = false;
        self.heartbeat_expected_since = now;
        self.releasing = false;
        self.draining = false;
    }

    /// Records that the previous owner no longer answers the machine's heartbeats. It may have done so until
    /// now.
    pub fn record_previous_owner_release(&mut self, now: Time) {
        self.previous_owner = None;
        self.last_answered = self.last_answered.max(now);
    }

    /// Returns whether every attempt that may be on the machine is known.
    pub fn reconciled(&self) -> bool {
        self.token_confirmed || self.known_empty
    }

    /// Returns whether tasks may be started on the machine.
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

    /// Returns whether a round of placement may start tasks on the machine.
    pub fn accepts_starts(&self, now: Time) -> bool {
        self.usable(now) && self.attempts.len() < MAX_ATTEMPTS_FOR_STARTS
    }

    /// Returns whether the machine is cordoned because several jobs have failed on it and on no other
    /// machine.
    pub fn is_cordoned(&self, now: Time) -> bool {
        now < self.cordoned_until
    }
}

#[cfg(test)]
mod tests;
