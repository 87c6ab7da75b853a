//! The state machine of a controller. It performs no I/O: each step takes a batch of [`Input`]s and the time,
//! and returns [`Effect`]s. The same inputs, times and seed produce the same effects.
//!
//! [`Core`] owns all state. The dependencies between the submodules are acyclic; see `docs/architecture.md`.

pub mod controller;
pub mod effects;
pub mod jobs;
pub mod leader;
pub mod machines;
pub mod membership;
pub mod messages;
pub mod model;
pub mod progress;
pub mod records;
pub mod scheduling;
pub mod shard;
pub mod store;
#[cfg(test)]
mod test_support;

use crate::config::Config;
use crate::core::controller::deferred_heartbeats::DeferredHeartbeats;
use crate::core::controller::heartbeat_routing::HeartbeatRelays;
use crate::core::controller::user_requests::UserRequests;
use crate::core::effects::outbox::Outbox;
use crate::core::effects::{Effect, Input};
use crate::core::leader::Leader;
use crate::core::machines::claims::MachineClaims;
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::membership::failure_detection::FailureDetection;
use crate::core::membership::ownership::OwnershipLease;
use crate::core::membership::peers::Peers;
use crate::core::membership::process_pause::ProcessPause;
use crate::core::messages::shard_update::{ImageHints, MachineContacts};
use crate::core::model::time::Time;
use crate::core::progress::{StepProgress, StepStage};
use crate::core::scheduling::catalog::Catalog;
use crate::core::shard::{Shard, WorkCounts};
use crate::core::store::replica::StoreReplica;
use crate::ids::{ControllerName, Team, Version};
use failure_detector::Stage;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::rc::Rc;
use std::sync::Arc;

/// High bits of the random incarnation that stay zero. A JSON number represents integers of 53 bits exactly;
/// the shorter incarnation leaves room for the increment at each step-down.
const INCARNATION_SPARE_BITS: u32 = 12;

/// The state of one controller, and the order in which each step updates it.
pub struct Core {
    config: Rc<Config>,
    outbox: Outbox,
    store: StoreReplica,
    user_requests: UserRequests,
    peers: Peers,
    ownership: OwnershipLease,
    /// The shard of this process. `None` until the process is registered in the store, and after it steps
    /// down.
    shard: Option<Shard>,
    /// The state of the leader's work. `None` unless this process is the leader.
    leader: Option<Leader>,
    catalog: Catalog,
    /// Images on machines that are known while this process has no shard: from siblings, and from the shard
    /// that it gave up. The next shard takes them.
    image_hints: ImageHints,
    unresponsive: UnresponsiveMachines,
    relays: HeartbeatRelays,
    claims: MachineClaims,
    process_pause: ProcessPause,
    detection: FailureDetection,
    deferred_heartbeats: DeferredHeartbeats,
    contacts: MachineContacts,
    progress: Arc<StepProgress>,
}

impl Core {
    /// Creates the state of a controller that has just started. `seed` determines its incarnation and every
    /// random number.
    pub fn new(config: Config, seed: u64) -> Self {
        let config = Rc::new(config);
        let mut rng = StdRng::seed_from_u64(seed);
        let incarnation = rand::Rng::random::<u64>(&mut rng) >> INCARNATION_SPARE_BITS;
        Self {
            outbox: Outbox::new(rng, &config),
            store: StoreReplica::new(&config),
            user_requests: UserRequests::default(),
            peers: Peers::new(&config),
            ownership: OwnershipLease::new(&config, incarnation),
            shard: None,
            leader: None,
            catalog: Catalog::default(),
            image_hints: ImageHints::new(),
            unresponsive: UnresponsiveMachines::default(),
            relays: HeartbeatRelays::new(&config),
            claims: MachineClaims::new(&config),
            process_pause: ProcessPause::new(&config),
            detection: FailureDetection::default(),
            deferred_heartbeats: DeferredHeartbeats::new(&config),
            contacts: MachineContacts::default(),
            progress: Arc::default(),
            config,
        }
    }

    /// Handles a batch of inputs, performs all work that is due, and returns the effects. `now` is the time
    /// of the monotonic clock in seconds. `wall_ms` is the Unix time in milliseconds.
    pub fn step(&mut self, now: Time, wall_ms: u64, batch: Vec<Input>) -> Vec<Effect> {
        self.progress.begin_step();
        self.outbox.begin_step(now, wall_ms);
        self.peers.detector_mut().begin_step(now);
        if let Some(paused) = self.process_pause.record_step(now) {
            self.handle_pause(paused);
        }
        for input in batch {
            self.handle_input(input);
        }
        self.advance();
        self.progress.enter(StepStage::Idle);
        self.outbox.take_effects()
    }

    /// Returns whether this controller is the leader and its ownership lease is valid.
    pub fn leads(&self, now: Time) -> bool {
        self.leader.is_some() && self.ownership.holds_lease(now)
    }

    /// Returns the failure detector's stage of a sibling.
    pub fn sibling_stage(&self, sibling: &ControllerName) -> Stage {
        self.peers.detector().stage(sibling)
    }

    /// Returns the teams whose tasks this controller can start, which are the reconciled teams. There are
    /// none unless its ownership lease is valid and it owns machines.
    pub fn reconciled_teams(&self, now: Time) -> Vec<Team> {
        let shard = self.shard.as_ref().filter(|shard| shard.has_machines());
        let shard = shard.filter(|_| self.ownership.holds_lease(now));
        shard.map(Shard::reconciled_teams).unwrap_or_default()
    }

    /// Returns the step and the stage that the core is executing, for other threads.
    pub fn progress(&self) -> Arc<StepProgress> {
        self.progress.clone()
    }

    /// Returns the work done so far. That of the shard counts since it was created.
    pub fn work_counts(&self) -> WorkCounts {
        let shard = self.shard.as_ref();
        let mut counts = shard.map(Shard::work_counts).unwrap_or_default();
        counts.visits += self.store.dependency_visits();
        counts
    }

    /// Returns the number of starts so far that were held back because another attempt of the task may still
    /// run. A number above 0 shows a fault in the tracking of attempts.
    pub fn starts_held_back(&self) -> u64 {
        let shard = self.shard.as_ref();
        shard.map_or(0, |shard| shard.starts_held_back)
    }

    /// Returns the number of attempts so far that appeared on a machine of this process although no start of
    /// them was in flight. A number above 0 shows a fault, or an owner of an earlier release.
    pub fn unexpected_attempts(&self) -> u64 {
        let shard = self.shard.as_ref();
        shard.map_or(0, |shard| shard.unexpected_attempts)
    }

    /// Handles the end of a pause of the process ([`ProcessPause`]): worker silence is measured from now on,
    /// and the store is read again.
    fn handle_pause(&mut self, paused: Time) {
        tracing::info!(seconds = %format_args!("{paused:.1}"), "process was paused");
        self.peers.record_worker_contact(self.outbox.now);
        self.store.request_read();
    }

    /// Performs all work that is due. Information from the store and from siblings is updated first, then the
    /// ownership lease and the roles that depend on it, then the shard and the leader's work. The messages
    /// that contain their results come last.
    fn advance(&mut self) {
        let now = self.outbox.now;
        let catching_up = self
            .process_pause
            .is_catching_up(self.store.current_as_of(), now);
        self.progress.enter(StepStage::Dependencies);
        self.store.update_inherited_urgency();
        self.progress.enter(StepStage::Membership);
        self.read_store_when_due();
        self.time_out_user_requests();
        self.update_sibling_stages();
        self.relays.track_tokens(&self.store, now);
        self.maintain_ownership();
        self.refresh_catalog_when_due();
        self.update_roles();
        if self.ownership.holds_lease(now) {
            self.advance_shard(catching_up);
            self.advance_leader(catching_up);
            self.inspect_acquired_machines();
        }
        self.progress.enter(StepStage::Messages);
        self.answer_deferred_heartbeats();
        self.send_hellos_when_due();
    }

    fn advance_shard(&mut self, catching_up: bool) {
        let now = self.outbox.now;
        let Some(shard) = self.shard.as_mut() else {
            return;
        };
        self.progress.enter(StepStage::Shard);
        shard.catching_up = catching_up;
        shard.advance(
            &mut self.outbox,
            &mut self.store,
            &self.catalog,
            &self.unresponsive,
        );
        self.progress.enter(StepStage::CapacityPlanning);
        shard.plan_capacity_when_due(&self.outbox, &self.store, &self.catalog);
        if !shard.has_machines() {
            // No worker sends heartbeats to this controller, so their absence is no evidence of a failure.
            self.peers.record_worker_contact(now);
        }
        if shard.take_sibling_update_request() {
            self.peers.send_hellos_soon(now);
        }
    }

    fn advance_leader(&mut self, catching_up: bool) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        self.progress.enter(StepStage::Leader);
        if let Some(shard) = self.shard.as_mut() {
            leader.set_demand(&self.config.controller, shard.demand.clone());
            shard.refused_offers = leader.unavailable_offers();
        }
        leader.set_catching_up(catching_up);
        leader.advance(
            &mut self.outbox,
            &self.store,
            &mut self.ownership,
            &self.peers,
            &self.catalog,
            &self.unresponsive,
        );
        if self.ownership.take_unsent_consent_request() && self.acts_on_failures() {
            self.peers.send_hellos_soon(self.outbox.now);
        }
    }

    /// Creates the shard once this process is registered, and creates or drops the leader's state when the
    /// leader's key changes.
    fn update_roles(&mut self) {
        let now = self.outbox.now;
        let incarnation = self.ownership.incarnation();
        let is_registered = self
            .store
            .is_registered(&self.config.controller, incarnation);
        if self.shard.is_none() && is_registered && self.ownership.holds_lease(now) {
            let image_hints = std::mem::take(&mut self.image_hints);
            self.shard = Some(Shard::new(&self.config, incarnation, image_hints, now));
            self.peers.record_worker_contact(now);
        }
        let key_version = self.ownership.leader_key_version(&self.store);
        if self.leader.as_ref().map(Leader::key_version) != key_version {
            // A shard map that is at least as new as the leader's key contains every change of earlier
            // leaders.
            let read_version = key_version.filter(|version| self.store.revision() >= *version);
            if let Some(leader) = &self.leader {
                tracing::info!(
                    term = leader.key_version(),
                    revision = self.store.revision(),
                    read_s_ago = %format_args!("{:.2}", now - self.store.current_as_of()),
                    "no longer leading under this term"
                );
            }
            self.leader = read_version.map(|version| self.begin_leading(version));
        }
    }

    /// Creates the leader's state for this version of the leader's key.
    fn begin_leading(&self, key_version: Version) -> Leader {
        tracing::info!(
            term = key_version,
            revision = self.store.revision(),
            read_s_ago = %format_args!("{:.2}", self.outbox.now - self.store.current_as_of()),
            "leading"
        );
        Leader::new(&self.config, key_version, &self.store, self.outbox.now)
    }
}
