//! A machine as its owner knows it, and what may be on it.

use crate::core::machines::starts_in_flight::{AttemptKey, StartsInFlight};
use crate::core::model::process::ProcessId;
use crate::core::model::resources::Resources;
use crate::core::model::time::Time;
use crate::ids::{FencingToken, Image, JobId, MachineId, Team, TypeName, Version, Zone};
use crate::wire::{Command, Exit, Heartbeat, MachineType, Priority, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// Fetches run at the published rate, give or take a third.
const FETCH_SLOWNESS: f64 = 1.2;

#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// A start was issued; no report has shown it yet.
    Issued,
    Seen(TaskState),
    Exited(Exit),
}

/// One attempt of a task that may be on the machine.
#[derive(Clone, Debug)]
pub struct TrackedAttempt {
    /// What it takes; None if its job is not known (any more).
    pub resources: Option<Resources>,
    pub team: Option<Team>,
    pub image: Option<(Image, f64)>,
    pub priority: Priority,
    /// It makes way for everything else ([`crate::core::scheduling::opportunistic`]).
    pub opportunistic: bool,
    /// What it needs to save when it is stopped; 0 if it never saves.
    pub checkpoint_write_s: f64,
    pub phase: Phase,
    pub issued_at: Time,
    /// When it was first seen with its image.
    pub started_at: Option<Time>,
    /// Grace of the stop it was told.
    pub stop: Option<f64>,
    /// Its exit needs no remembering: recorded, or of no consequence.
    pub may_forget: bool,
    /// Reports since the start was issued that did not show it.
    pub missed_heartbeats: u32,
}

impl TrackedAttempt {
    pub fn new(now: Time) -> Self {
        Self {
            resources: None,
            team: None,
            image: None,
            priority: Priority::Low,
            opportunistic: false,
            checkpoint_write_s: 0.0,
            phase: Phase::Issued,
            issued_at: now,
            started_at: None,
            stop: None,
            may_forget: false,
            missed_heartbeats: 0,
        }
    }

    pub fn exited(&self) -> bool {
        matches!(self.phase, Phase::Exited(_))
    }

    pub fn has_image(&self) -> bool {
        use TaskState::{Checkpointing, Running, Waiting};
        matches!(self.phase, Phase::Seen(Waiting | Running | Checkpointing))
    }
}

pub struct Machine {
    pub id: MachineId,
    pub address: String,
    pub type_name: TypeName,
    pub zone: Zone,
    pub spot: bool,
    pub total: Resources,
    pub fetch_rate: f64,
    cache_gb: f64,
    pub agent_epoch: u64,
    /// The session was seen under a token of this owner, so that a higher one ends what is here.
    epoch_is_ours: bool,
    /// Newest message of the session taken up, and newest report among them.
    sequence: u64,
    last_heartbeat_sequence: u64,
    /// Sessions up to this one are over: their tasks are counted as gone.
    ended_epoch: u64,
    /// The token it must show.
    pub token: FencingToken,
    /// A report of this session has shown the token.
    pub token_confirmed: bool,
    /// When a report of it was last answered with 200; its lease cannot outlast this by more
    /// than the lease's length.
    pub last_answered: Time,
    /// The map gives it to this process; else it is known for tasks of our teams on it.
    pub is_owned: bool,
    /// The living process it was taken from, until that is known to have let go: it may still
    /// answer the machine and so keep its lease alive.
    pub previous_owner: Option<ProcessId>,
    /// The view's revision when it changed hands.
    pub owned_since_revision: Version,
    /// Known to hold nothing since its lease ran out.
    pub known_empty: bool,
    /// When the cloud takes it away.
    pub reclaimed_at: Option<Time>,
    pub attempts: BTreeMap<AttemptKey, TrackedAttempt>,
    /// Most recently used last.
    images: Vec<(Image, f64)>,
    /// Since when nothing but opportunistic work has been on it.
    pub idle_since: Time,
    /// Commands do not seem to reach it.
    pub unreachable: bool,
    pub releasing: bool,
    /// Its replicas move elsewhere; nothing is started on it until they have gone.
    pub draining: bool,
    /// It is to get a fresh token, so that what may still be under way to it is void.
    pub needs_new_token: bool,
    /// It was said to be silent under the present term, and is not answered until it has a new one.
    pub unresponsive: bool,
    /// Since when it could have reported under the present token.
    pub heartbeat_expected_since: Time,
    /// Jobs that failed on it.
    pub failed_jobs: BTreeSet<JobId>,
    /// Not to be used before this time.
    pub cordoned_until: Time,
    pub last_seen: Time,
    /// When a sibling last relayed a report of it.
    pub last_relayed: Time,
}

/// Whether a report is news.
#[derive(Debug, PartialEq, Eq)]
pub enum Freshness {
    NewReport {
        new_epoch: bool,
    },
    /// Live, but something newer of the same session has been taken up.
    Overtaken,
    Copy,
}

impl Machine {
    /// Known only by name: from the map of an earlier leader.
    pub fn named(id: MachineId, token: FencingToken, now: Time) -> Self {
        Self {
            id,
            address: String::new(),
            type_name: "".into(),
            zone: "".into(),
            spot: false,
            total: Resources::default(),
            fetch_rate: 0.0,
            cache_gb: 0.0,
            agent_epoch: 0,
            epoch_is_ours: false,
            sequence: 0,
            last_heartbeat_sequence: 0,
            ended_epoch: 0,
            token,
            token_confirmed: false,
            last_answered: now,
            is_owned: false,
            previous_owner: None,
            owned_since_revision: 0,
            known_empty: false,
            reclaimed_at: None,
            attempts: BTreeMap::new(),
            images: Vec::new(),
            idle_since: now,
            unreachable: false,
            releasing: false,
            draining: false,
            needs_new_token: false,
            unresponsive: false,
            heartbeat_expected_since: now,
            failed_jobs: BTreeSet::new(),
            cordoned_until: 0.0,
            last_seen: now,
            last_relayed: Time::NEG_INFINITY,
        }
    }

    pub fn describe(&mut self, heartbeat: &Heartbeat, types: &[MachineType]) {
        if self.address != heartbeat.address {
            self.address.clone_from(&heartbeat.address);
        }
        self.type_name = heartbeat.type_name.clone();
        self.zone = heartbeat.zone.clone();
        self.spot = heartbeat.spot;
        self.set_type(types);
    }

    pub fn set_type(&mut self, types: &[MachineType]) {
        if let Some(of_type) = types.iter().find(|t| t.name == self.type_name) {
            self.total = Resources {
                cpus: of_type.cpus,
                gpus: of_type.gpus,
                memory_gb: of_type.memory_gb,
            };
            self.fetch_rate = of_type.fetch_gb_per_s;
            self.cache_gb = of_type.cache_gb;
        }
    }

    /// Orders messages by (session, seq). `direct`: the answer to a direct command.
    pub fn freshness(&mut self, heartbeat: &Heartbeat, direct: bool) -> Freshness {
        if heartbeat.agent_epoch < self.agent_epoch || heartbeat.agent_epoch <= self.ended_epoch {
            return Freshness::Copy;
        }
        // Of a machine that comes from another owner the session is known only once it has shown
        // our token. What was known when it was here before, or from the copy of an old report, may
        // be older than the tasks that its former owner told of.
        let new_epoch = heartbeat.agent_epoch > self.agent_epoch && self.epoch_is_ours;
        if heartbeat.agent_epoch > self.agent_epoch {
            self.agent_epoch = heartbeat.agent_epoch;
            self.sequence = 0;
            self.last_heartbeat_sequence = 0;
        }
        self.epoch_is_ours |= heartbeat.token == self.token;
        if !direct {
            if heartbeat.sequence <= self.last_heartbeat_sequence {
                return Freshness::Copy;
            }
            self.last_heartbeat_sequence = heartbeat.sequence;
        }
        if heartbeat.sequence <= self.sequence {
            return Freshness::Overtaken;
        }
        self.sequence = heartbeat.sequence;
        Freshness::NewReport { new_epoch }
    }

    /// Sessions up to this one are over.
    pub fn ended_epoch(&self) -> u64 {
        self.ended_epoch
    }

    /// Everything on it is gone, and nothing of its present session will count again.
    pub fn end_epoch(&mut self) {
        self.ended_epoch = self.agent_epoch;
        self.token_confirmed = false;
        self.known_empty = true;
    }

    /// It has a new owner or a new token. Its tasks keep running, and what was sent under the
    /// earlier token is void once it has shown the new one.
    pub fn change_hands(&mut self, token: FencingToken, mine: bool, now: Time) {
        if !self.is_owned && mine {
            // Its former owner may have answered it until now.
            self.last_answered = now;
            self.known_empty = false;
            self.epoch_is_ours = false;
        }
        self.is_owned = mine;
        self.token = token;
        self.token_confirmed = false;
        self.needs_new_token = false;
        self.unresponsive = false;
        self.heartbeat_expected_since = now;
        self.releasing = false;
        self.draining = false;
    }

    /// Its former owner answers it no more, but may have done so until now.
    pub fn previous_owner_released(&mut self, now: Time) {
        self.previous_owner = None;
        self.last_answered = self.last_answered.max(now);
    }

    /// Everything that may be on it is known.
    pub fn reconciled(&self) -> bool {
        self.token_confirmed || self.known_empty
    }

    pub fn free(&self) -> Resources {
        self.free_beside(|_| true)
    }

    /// Resources as it will be once everything that was told to stop has gone.
    pub fn free_after_stops(&self) -> Resources {
        self.free_beside(|tracked| tracked.stop.is_none())
    }

    /// Resources once opportunistic work has made way as well.
    pub fn free_for_other_work(&self) -> Resources {
        self.free_beside(|tracked| tracked.stop.is_none() && !tracked.opportunistic)
    }

    /// What the attempts that count leave; nothing if it is not known what one of them takes.
    fn free_beside(&self, counts: impl Fn(&TrackedAttempt) -> bool) -> Resources {
        let mut free = self.total;
        for tracked in self
            .attempts
            .values()
            .filter(|tracked| !tracked.exited() && counts(tracked))
        {
            match &tracked.resources {
                Some(room) => free = free.less(room),
                None => return Resources::default(),
            }
        }
        free
    }

    /// What runs and was not told to stop takes, by priority.
    pub fn running_by_priority(&self) -> [Resources; Priority::COUNT] {
        let mut running = [Resources::default(); Priority::COUNT];
        for tracked in self
            .attempts
            .values()
            .filter(|tracked| !tracked.exited() && tracked.stop.is_none())
        {
            if let Some(room) = &tracked.resources {
                let sum = &mut running[tracked.priority as usize];
                *sum = sum.plus(room);
            }
        }
        running
    }

    /// GPUs that are free or taken by work of normal and low priority.
    pub fn room_beside_urgent(&self) -> f64 {
        let urgent =
            |tracked: &&TrackedAttempt| !tracked.exited() && tracked.priority > Priority::Normal;
        let taken = self.attempts.values().filter(urgent);
        self.total.gpus
            - taken
                .filter_map(|tracked| tracked.resources)
                .map(|room| room.gpus)
                .sum::<f64>()
    }

    pub fn idle(&self) -> bool {
        self.attempts.values().all(TrackedAttempt::exited)
    }

    /// An attempt has ended or goes: perhaps the last one that was not opportunistic.
    pub fn note_end(&mut self, key: &AttemptKey, now: Time) {
        if self
            .attempts
            .get(key)
            .is_none_or(|attempt| attempt.opportunistic)
        {
            return;
        }
        let mut others = self.attempts.iter().filter(|(other, _)| *other != key);
        if others.all(|(_, other)| other.exited() || other.opportunistic) {
            self.idle_since = now;
        }
    }

    /// May be given tasks.
    pub fn usable(&self, now: Time) -> bool {
        self.token_confirmed
            && self.is_owned
            && !self.unreachable
            && !self.releasing
            && !self.draining
            && !self.needs_new_token
            && !self.unresponsive
            && self.reclaimed_at.is_none()
            && now >= self.cordoned_until
    }

    pub fn used_image(&mut self, image: &Image, gb: f64) {
        if let Some(at) = self.images.iter().position(|(known, _)| known == image) {
            let entry = self.images.remove(at);
            self.images.push(entry);
            return;
        }
        self.images.push((image.clone(), gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total > self.cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).1;
        }
    }

    pub fn has_image(&self, image: &Image) -> bool {
        self.images.iter().any(|(known, _)| known == image)
    }

    /// Seconds for the longest fetch of what it holds.
    pub fn longest_fetch(&self) -> Time {
        let largest = self.images.iter().map(|(_, gb)| *gb).fold(0.0, f64::max);
        if self.fetch_rate > 0.0 {
            largest / self.fetch_rate
        } else {
            0.0
        }
    }

    pub fn images(&self) -> &[(Image, f64)] {
        &self.images
    }

    /// What it is said to hold, by whoever had it before.
    pub fn take_images(&mut self, images: &[(Image, f64)]) {
        if self.images.is_empty() {
            self.images = images.to_vec();
        }
    }

    /// Seconds for a fetch that has the rate to itself.
    pub fn fetch_s(&self, gb: f64) -> Time {
        gb / self.fetch_rate * FETCH_SLOWNESS
    }

    /// Seconds until a task that needs this image could run here.
    pub fn ready_in(&self, image: &Image, gb: f64, now: Time) -> Time {
        if self.has_image(image) || gb <= 0.0 {
            return 0.0;
        }
        if self.fetch_rate <= 0.0 {
            return Time::INFINITY;
        }
        let alone = self.fetch_s(gb);
        let mut fetching: BTreeMap<&Image, Time> = BTreeMap::new();
        for tracked in self
            .attempts
            .values()
            .filter(|h| !h.exited() && !h.has_image())
        {
            if let Some((other, _)) = &tracked.image {
                let since = fetching.entry(other).or_insert(tracked.issued_at);
                *since = since.min(tracked.issued_at);
            }
        }
        match fetching.get(image) {
            Some(since) => {
                let shared = alone * fetching.len() as f64;
                (shared - (now - since)).max(shared * 0.1)
            }
            None => alone * (fetching.len() + 1) as f64,
        }
    }

    /// What its next message should tell it, by what is under way to it already.
    pub fn commands(&self, in_flight: &StartsInFlight, carrier: Carrier) -> CommandBatch {
        let mut commands = CommandBatch::default();
        for (key, tracked) in &self.attempts {
            let (task, attempt) = (key.0.to_string(), key.1);
            match (&tracked.phase, tracked.stop) {
                (Phase::Issued, None) => {
                    // What a direct message carries needs no other; the answer to a report has it all,
                    // for direct messages may not reach the machine.
                    if carrier == Carrier::Direct && in_flight.awaits_answer(&self.id, key) {
                        continue;
                    }
                    commands.list.push(Command::Start { task, attempt });
                    commands.starts.insert(key.clone());
                }
                (Phase::Issued | Phase::Seen(_), Some(grace_s)) => {
                    commands.list.push(Command::Stop {
                        task,
                        attempt,
                        grace_s,
                    });
                }
                // While a start may still arrive, forgetting would let it start again.
                (Phase::Exited(_), _)
                    if tracked.may_forget && !in_flight.may_arrive(&self.id, key) =>
                {
                    commands.list.push(Command::Forget { task, attempt });
                }
                _ => {}
            }
        }
        commands
    }
}

/// How a machine is told its orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carrier {
    Direct,
    HeartbeatResponse,
}

/// The orders of one message to a machine.
#[derive(Debug, Default)]
pub struct CommandBatch {
    pub list: Vec<Command>,
    /// The attempts that the message starts.
    pub starts: BTreeSet<AttemptKey>,
}

#[cfg(test)]
mod tests;
