//! The detector of one observer, which tracks the stage of every other controller.

use crate::local_health::LocalHealth;
use crate::opinion::{Opinion, ReceivedOpinion, StoredOpinion};
use crate::peer::{EvaluationContext, Evidence, Peer, Stage};
use crate::{Incarnation, Seconds, Settings};
use std::collections::BTreeMap;

/// A controller's change from one stage to another, as one observer sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct StageChange<C> {
    /// Controller whose stage changed.
    pub controller: C,
    /// Stage before the change.
    pub from: Stage,
    /// Stage after the change.
    pub to: Stage,
    /// Evidence for the stage after the change.
    pub evidence: Evidence,
}

/// One observer's view of all other controllers.
#[derive(Debug)]
pub struct Detector<C> {
    settings: Settings,
    peers: BTreeMap<C, Peer<C>>,
    health: LocalHealth,
}

impl<C: Ord + Clone> Detector<C> {
    /// Creates the detector of an observer of these controllers. Each counts as alive until its silence
    /// exceeds the threshold.
    pub fn new(others: impl IntoIterator<Item = C>, settings: Settings) -> Self {
        let peers = others
            .into_iter()
            .map(|other| (other, Peer::new()))
            .collect();
        Self {
            settings,
            peers,
            health: LocalHealth::new(),
        }
    }

    /// Records that a step of the observer begins. Must be called before the evidence of that step is
    /// added. After a pause of the observer, the silence of others counts from this step.
    pub fn begin_step(&mut self, now: Seconds) {
        self.health.record_step(&self.settings, now);
    }

    /// Records that a controller answered the heartbeat that was sent at `sent`.
    pub fn heartbeat_answered(
        &mut self,
        controller: &C,
        incarnation: Incarnation,
        sent: Seconds,
        now: Seconds,
    ) {
        if let Some(peer) = self.peers.get_mut(controller) {
            peer.heartbeat_answered(incarnation, sent, now);
        }
    }

    /// Records the arrival of a message that a controller sent on its own initiative. It proves only that
    /// messages arrive from there. It does not count as an answer and is reported to operators only.
    pub fn message_received(&mut self, controller: &C, now: Seconds) {
        if let Some(peer) = self.peers.get_mut(controller) {
            peer.message_received(now);
        }
    }

    /// Records that a worker of this controller has switched to the observer.
    pub fn worker_left(&mut self, controller: &C, now: Seconds) {
        if let Some(peer) = self.peers.get_mut(controller) {
            peer.worker_left(now);
        }
    }

    /// Records the opinions that another observer sent. Opinions on unknown controllers are ignored.
    pub fn receive_opinions(&mut self, from: &C, opinions: Vec<Opinion<C>>, now: Seconds) {
        for opinion in opinions {
            let Some(peer) = self.peers.get_mut(&opinion.controller) else {
                continue;
            };
            let stored = StoredOpinion {
                suspects: opinion.suspects,
                silence_s: opinion.silence_s,
                received_at: now,
            };
            peer.receive_opinion(from, stored);
        }
    }

    /// Sets whether a controller's key is missing from the key-value store.
    pub fn set_key_gone(&mut self, controller: &C, gone: bool) {
        if let Some(peer) = self.peers.get_mut(controller) {
            peer.set_key_gone(gone);
        }
    }

    /// Sets whether a controller owns no team and no machine any more.
    pub fn set_owns_nothing(&mut self, controller: &C, owns_nothing: bool) {
        if let Some(peer) = self.peers.get_mut(controller) {
            peer.set_owns_nothing(owns_nothing);
        }
    }

    /// Determines the stages of all controllers again. Returns each change once.
    pub fn update_stages(&mut self, now: Seconds) -> Vec<StageChange<C>> {
        let context = EvaluationContext::new(&self.settings, &self.health, now);
        let mut changes = Vec::new();
        for (controller, peer) in &mut self.peers {
            let from = peer.stage();
            let to = peer.update_stage(&context);
            if from != to {
                changes.push(StageChange {
                    controller: controller.clone(),
                    from,
                    to,
                    evidence: peer.evidence(&context),
                });
            }
        }
        changes
    }

    /// Returns the stage of a controller. An unknown controller counts as alive.
    pub fn stage(&self, controller: &C) -> Stage {
        self.peers.get(controller).map_or(Stage::Alive, Peer::stage)
    }

    /// Returns whether a controller has answered within its threshold. It is false for a controller that
    /// has never answered, which [`Self::stage`] may report as alive.
    pub fn is_reachable(&self, controller: &C, now: Seconds) -> bool {
        let context = EvaluationContext::new(&self.settings, &self.health, now);
        self.peers
            .get(controller)
            .is_some_and(|peer| peer.has_answered_recently(&context))
    }

    /// Returns how long the answers of a controller have been missing; 0 for an unknown controller.
    pub fn silence(&self, controller: &C, now: Seconds) -> Seconds {
        let context = EvaluationContext::new(&self.settings, &self.health, now);
        self.peers
            .get(controller)
            .map_or(0.0, |peer| peer.silence(&context))
    }

    /// Returns whether any other controller has answered within its threshold.
    pub fn any_reachable(&self, now: Seconds) -> bool {
        self.peers
            .keys()
            .any(|controller| self.is_reachable(controller, now))
    }

    /// Returns the incarnation of the process of a controller that answered last.
    pub fn incarnation(&self, controller: &C) -> Option<Incarnation> {
        self.peers.get(controller).and_then(Peer::incarnation)
    }

    /// Returns whether the failure of a controller is confirmed.
    pub fn has_failed(&self, controller: &C) -> bool {
        self.stage(controller) >= Stage::Confirmed
    }

    /// Returns the opinions to send to other observers. An observer that receives no answers at all sends
    /// none, since its own link may have failed.
    pub fn opinions_to_send(&self, now: Seconds) -> Vec<Opinion<C>> {
        if !self.settings.shares_opinions_when_isolated && !self.any_reachable(now) {
            return Vec::new();
        }
        let context = EvaluationContext::new(&self.settings, &self.health, now);
        let opinion = |(controller, peer): (&C, &Peer<C>)| Opinion {
            controller: controller.clone(),
            incarnation: peer.incarnation(),
            silence_s: peer.silence(&context),
            suspects: peer.stage() >= Stage::Suspected,
        };
        self.peers.iter().map(opinion).collect()
    }

    /// Returns the last opinion of each other observer on a controller.
    pub fn received_opinions(&self, controller: &C, now: Seconds) -> Vec<ReceivedOpinion<C>> {
        let stored = self
            .peers
            .get(controller)
            .into_iter()
            .flat_map(Peer::opinions);
        let received = |(observer, opinion): (&C, &StoredOpinion)| ReceivedOpinion {
            observer: observer.clone(),
            suspects: opinion.suspects,
            silence_s: opinion.silence_s,
            age_s: now - opinion.received_at,
        };
        stored.map(received).collect()
    }

    /// Returns the evidence for the stage of each controller.
    pub fn evidence(&self, now: Seconds) -> BTreeMap<C, Evidence> {
        let context = EvaluationContext::new(&self.settings, &self.health, now);
        self.peers
            .iter()
            .map(|(controller, peer)| (controller.clone(), peer.evidence(&context)))
            .collect()
    }
}
