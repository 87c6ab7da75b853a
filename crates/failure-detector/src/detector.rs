//! One observer, which judges all other controllers.

use crate::local_health::LocalHealth;
use crate::opinion::{Opinion, Received};
use crate::peer::{Evidence, Peer, Stage};
use crate::{Incarnation, Seconds, Settings};
use std::collections::BTreeMap;

/// A controller is judged otherwise than before.
#[derive(Clone, Debug, PartialEq)]
pub struct StageChange<C> {
    /// The controller.
    pub of: C,
    /// The judgement until now.
    pub from: Stage,
    /// The new one.
    pub to: Stage,
    /// Why.
    pub evidence: Evidence,
}

/// Judges all other controllers, one observer's view.
#[derive(Debug)]
pub struct Detector<C> {
    settings: Settings,
    peers: BTreeMap<C, Peer<C>>,
    health: LocalHealth,
}

impl<C: Ord + Clone> Detector<C> {
    /// An observer of these controllers, all of them alive until they are silent for long enough.
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

    /// The thresholds that it goes by.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// A step of the observer begins; called before any evidence of that step. After a standstill of the
    /// observer itself silence counts anew.
    pub fn step(&mut self, now: Seconds) {
        self.health.step(&self.settings, now);
    }

    /// A controller answered the heartbeat that was sent at `sent`.
    pub fn heartbeat_answered(
        &mut self,
        of: &C,
        incarnation: Incarnation,
        sent: Seconds,
        now: Seconds,
    ) {
        if let Some(peer) = self.peers.get_mut(of) {
            peer.answered(incarnation, sent, now);
        }
    }

    /// A controller's own message arrived. That shows its outgoing direction only, so it is evidence for
    /// operators and no answer.
    pub fn message_received(&mut self, of: &C, now: Seconds) {
        if let Some(peer) = self.peers.get_mut(of) {
            peer.received(now);
        }
    }

    /// A worker came here that has left this controller.
    pub fn worker_left(&mut self, of: &C, now: Seconds) {
        if let Some(peer) = self.peers.get_mut(of) {
            peer.workers_left(now);
        }
    }

    /// What another observer thinks of others.
    pub fn opinions(&mut self, from: &C, opinions: Vec<Opinion<C>>, now: Seconds) {
        for Opinion {
            of,
            incarnation,
            silence_s,
            suspects,
        } in opinions
        {
            if let Some(peer) = self.peers.get_mut(&of) {
                peer.opinion(
                    from,
                    Received {
                        incarnation,
                        suspects,
                        silence_s,
                        at: now,
                    },
                );
            }
        }
    }

    /// Whether a controller's key in the state service has gone.
    pub fn key_gone(&mut self, of: &C, gone: bool) {
        if let Some(peer) = self.peers.get_mut(of) {
            peer.key_gone = gone;
        }
    }

    /// Whether a controller owns nothing any more.
    pub fn owns_nothing(&mut self, of: &C, nothing: bool) {
        if let Some(peer) = self.peers.get_mut(of) {
            peer.owns_nothing = nothing;
        }
    }

    /// Judges all anew. Each change is told once.
    pub fn judge(&mut self, now: Seconds) -> Vec<StageChange<C>> {
        let (counts_from, stretch) = (self.health.counts_from, self.health.stretch());
        let mut changes = Vec::new();
        for (of, peer) in &mut self.peers {
            let to = peer.judge(&self.settings, counts_from, stretch, now);
            let from = std::mem::replace(&mut peer.stage, to);
            if from != to {
                let evidence = peer.evidence(&self.settings, counts_from, stretch, now);
                changes.push(StageChange {
                    of: of.clone(),
                    from,
                    to,
                    evidence,
                });
            }
        }
        changes
    }

    /// How a controller is judged; one that is not known is alive.
    pub fn stage(&self, of: &C) -> Stage {
        self.peers.get(of).map_or(Stage::Alive, |peer| peer.stage)
    }

    /// Whether a controller has answered lately. Unlike its stage this is false of one that was never heard.
    pub fn hears(&self, of: &C, now: Seconds) -> bool {
        self.peers.get(of).is_some_and(|peer| {
            let stretch = self.health.stretch();
            let threshold = peer.threshold(&self.settings, stretch, now);
            peer.heard_within(threshold, now)
        })
    }

    /// How long the answers of a controller have been missing; none of one that is not known.
    pub fn silence(&self, of: &C, now: Seconds) -> Seconds {
        self.peers
            .get(of)
            .map_or(0.0, |peer| peer.silence(self.health.counts_from, now))
    }

    /// Whether any other controller has answered lately.
    pub fn hears_any(&self, now: Seconds) -> bool {
        self.peers.keys().any(|of| self.hears(of, now))
    }

    /// The process of a controller that was heard last.
    pub fn incarnation(&self, of: &C) -> Option<Incarnation> {
        self.peers.get(of).and_then(Peer::incarnation)
    }

    /// Whether the failure of a controller, as a whole, is confirmed.
    pub fn has_failed(&self, of: &C) -> bool {
        self.stage(of) >= Stage::Confirmed
    }

    /// What others are to be told. An observer that hears nobody tells nothing: its own incoming
    /// direction may be what has failed.
    pub fn opinions_to_tell(&self, now: Seconds) -> Vec<Opinion<C>> {
        if !self.settings.alone_tells && !self.hears_any(now) {
            return Vec::new();
        }
        let counts_from = self.health.counts_from;
        let opinion = |(of, peer): (&C, &Peer<C>)| Opinion {
            of: of.clone(),
            incarnation: peer.incarnation(),
            silence_s: peer.silence(counts_from, now),
            suspects: peer.stage >= Stage::Suspected,
        };
        self.peers.iter().map(opinion).collect()
    }

    /// What other observers told last of a controller, and how long ago.
    pub fn told_of(&self, of: &C, now: Seconds) -> Vec<(C, Opinion<C>, Seconds)> {
        let told = self.peers.get(of).into_iter().flat_map(Peer::told);
        let opinion = |(from, received): (&C, &Received)| {
            let Received {
                incarnation,
                suspects,
                silence_s,
                at,
            } = *received;
            let opinion = Opinion {
                of: of.clone(),
                incarnation,
                silence_s,
                suspects,
            };
            (from.clone(), opinion, now - at)
        };
        told.map(opinion).collect()
    }

    /// Why each controller is judged as it is.
    pub fn evidence(&self, now: Seconds) -> BTreeMap<C, Evidence> {
        let (counts_from, stretch) = (self.health.counts_from, self.health.stretch());
        let of = |(of, peer): (&C, &Peer<C>)| {
            (
                of.clone(),
                peer.evidence(&self.settings, counts_from, stretch, now),
            )
        };
        self.peers.iter().map(of).collect()
    }
}
