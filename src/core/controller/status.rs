//! Builds the status of this controller, its teams and its siblings for operators ([`crate::status`]).

use crate::config::TeamLimits;
use crate::core::Core;
use crate::core::effects::{Answer, Body, RequestId};
use crate::core::model::process::ProcessId;
use crate::core::records::versioned::StoredLedger;
use crate::core::scheduling::usage::{QuotaBasis, QuotaUnits, grants_are_enabled};
use crate::core::shard::grants::TeamGrant;
use crate::ids::{ControllerName, FencingToken};
use crate::status::{
    BasisStatus, Capacity, GrantStatus, HandOverStatus, HandOverWait, OpinionStatus,
    OwnedTeamStatus, RecordState, SiblingStatus, StageStatus, Status, TeamStatus, UsageTermsStatus,
};
use failure_detector::{Evidence, Stage};
use quota_ledger::Amount;
use std::collections::BTreeMap;

/// The numbers of teams and machines that one process owns.
#[derive(Default)]
struct OwnedCounts {
    teams: usize,
    machines: usize,
}

impl Core {
    /// Answers an operator's status request.
    pub(crate) fn answer_status(&mut self, request: RequestId) {
        let body = Body::Status(Box::new(self.status()));
        self.outbox.answer(
            request,
            Answer {
                status: 200,
                body,
                retry_after: None,
            },
        );
    }

    fn status(&self) -> Status {
        let now = self.outbox.now;
        let teams = self.config.deployment.teams.iter();
        Status {
            controller: self.config.controller.to_string(),
            incarnation: self.ownership.incarnation(),
            leads: self.leads(now),
            entitled: self.ownership.holds_lease(now),
            grants_on: grants_are_enabled(&self.config),
            teams: teams
                .map(|team_limits| self.team_status(team_limits))
                .collect(),
            detection_on: self.acts_on_failures(),
            siblings: self.sibling_statuses(),
            unexpected_attempts: self.unexpected_attempts(),
            limit_excesses: self.shard.as_ref().map_or(0, |shard| shard.limit_excesses),
            hand_overs: self.hand_over_statuses(),
        }
    }

    /// Returns the failure detector's stage of each sibling, with the evidence for it.
    fn sibling_statuses(&self) -> Vec<SiblingStatus> {
        let now = self.outbox.now;
        let detector = self.peers.detector();
        let sibling_status = |(node, evidence): (ControllerName, Evidence)| {
            let opinions = detector.received_opinions(&node, now).into_iter();
            let opinions = opinions.map(|opinion| OpinionStatus {
                observer: opinion.observer.to_string(),
                suspects: opinion.suspects,
                silence_s: opinion.silence_s,
                age_s: opinion.age_s,
            });
            SiblingStatus {
                controller: node.to_string(),
                stage: stage_status(evidence.stage),
                incarnation: evidence.incarnation.map(|incarnation| incarnation.0),
                silence_s: evidence.silence_s,
                threshold_s: evidence.threshold_s,
                last_message_s: evidence.last_message_s,
                votes: evidence.votes,
                key_gone: evidence.key_gone,
                workers_left: evidence.workers_left,
                told: opinions.collect(),
            }
        };
        detector
            .evidence(now)
            .into_iter()
            .map(sibling_status)
            .collect()
    }

    /// Returns the processes that still own teams or machines although they have failed or are not
    /// registered.
    fn hand_over_statuses(&self) -> Vec<HandOverStatus> {
        let shard_map = self.store.shard_map();
        let mut owned: BTreeMap<ProcessId, OwnedCounts> = BTreeMap::new();
        for owner in shard_map.teams.values() {
            owned.entry(owner.process()).or_default().teams += 1;
        }
        for owner in shard_map.machines.values() {
            owned.entry(owner.process()).or_default().machines += 1;
        }
        let hand_over_status =
            |(process, OwnedCounts { teams, machines }): (ProcessId, OwnedCounts)| {
                let waits_for = self.hand_over_wait(&process)?;
                Some(HandOverStatus {
                    controller: process.node.to_string(),
                    incarnation: process.incarnation,
                    teams,
                    machines,
                    waits_for,
                })
            };
        owned.into_iter().filter_map(hand_over_status).collect()
    }

    /// Returns the event that the failover of a process's shard waits for. `None` if the process has not
    /// failed.
    fn hand_over_wait(&self, process: &ProcessId) -> Option<HandOverWait> {
        if self.store.is_registered(&process.node, process.incarnation) {
            let failed = self.peers.detector().has_failed(&process.node);
            return failed.then_some(HandOverWait::Key);
        }
        if self.leader.is_none() {
            return Some(HandOverWait::Leader);
        }
        let consents = self.ownership.consent_progress(process);
        let (given, needed) = (consents.given, consents.needed);
        Some(HandOverWait::Consents { given, needed })
    }

    /// Returns a team's limits, its owner and its grants, as the store replica contains them.
    fn team_status(&self, team_limits: &TeamLimits) -> TeamStatus {
        let since = self.store.grants_kept_since(&team_limits.name);
        let stored = self.store.ledger(&team_limits.name);
        let ledger = stored.and_then(|stored| stored.ledger.as_ref());
        let owner = self.store.shard_map().teams.get(&team_limits.name);
        let grants = ledger.map_or(&[][..], |ledger| ledger.grants());
        let grants = grants.iter().map(|grant| GrantStatus {
            controller: grant.holder.node.clone(),
            incarnation: grant.holder.incarnation,
            term: grant.holder.term,
            granted: capacity(&grant.amount),
            current: owner.is_some_and(|owner| owner.token.0 == grant.holder.term),
        });
        TeamStatus {
            team: team_limits.name.to_string(),
            limit: Capacity {
                cpus: team_limits.cpus_max,
                gpus: team_limits.gpus_max,
            },
            guarantee: Capacity {
                cpus: team_limits.cpus,
                gpus: team_limits.gpus,
            },
            owner: owner.map(|owner| owner.node.to_string()),
            grants_kept_since: since.map(|token| token.0),
            record: record_state(stored, since),
            grants: grants.collect(),
            folded: ledger
                .map(|ledger| capacity(&ledger.folded()))
                .unwrap_or_default(),
            owned: self.owned_team_status(team_limits),
        }
    }

    /// Returns the usage of a team that this controller owns. `None` if it does not own the team.
    fn owned_team_status(&self, team_limits: &TeamLimits) -> Option<OwnedTeamStatus> {
        let shard = self.shard.as_ref()?;
        let team = shard.teams.get(&team_limits.name)?;
        let usage = shard.usage(&self.store, self.outbox.wall_ms);
        let (own, inherited) = usage.own_and_inherited(&team_limits.name);
        let terms = usage.terms(&team_limits.name);
        Some(OwnedTeamStatus {
            basis: basis_status(team.grant.as_ref()),
            used: capacity(&own.saturating_add(&inherited)),
            inherited: capacity(&inherited),
            unknown_machines: team.unreconciled.len(),
            terms: Some(UsageTermsStatus {
                attempts: quota_capacity(terms.attempts),
                unreconciled: quota_capacity(terms.unreconciled),
                cancelled: quota_capacity(terms.cancelled),
                gained_at_revision: team.gained_at_revision,
                read_up_to: usage.read_up_to,
            }),
        })
    }
}

/// Converts a stage of the failure detector to its form in the status.
fn stage_status(stage: Stage) -> StageStatus {
    match stage {
        Stage::Alive => StageStatus::Alive,
        Stage::Suspected => StageStatus::Suspected,
        Stage::Confirmed => StageStatus::Confirmed,
        Stage::HandedOver => StageStatus::HandedOver,
    }
}

/// Converts an amount to numbers of CPUs and GPUs.
fn capacity(amount: &Amount) -> Capacity {
    let (cpus, gpus) = amount.cpus_and_gpus();
    Capacity { cpus, gpus }
}

/// Converts what counts towards a limit to numbers of CPUs and GPUs.
fn quota_capacity(units: QuotaUnits) -> Capacity {
    Capacity {
        cpus: units.cpus,
        gpus: units.gpus,
    }
}

/// Returns the state of a team's grant record. Owners rely on it if every owner since token `since` has
/// complied with the team's grants and the record began at or after that token.
fn record_state(stored: Option<&StoredLedger>, since: Option<FencingToken>) -> RecordState {
    match stored.map(|stored| stored.ledger.as_ref()) {
        None => RecordState::None,
        Some(None) => RecordState::Damaged,
        Some(Some(ledger)) if since.is_some_and(|since| ledger.creator_term() >= since.0) => {
            RecordState::ReliedOn
        }
        Some(Some(_)) => RecordState::NotReliedOn,
    }
}

/// Returns the basis of the owner's decisions on a team's limits.
fn basis_status(grant: Option<&TeamGrant>) -> BasisStatus {
    match grant.map(TeamGrant::basis) {
        None
        | Some(QuotaBasis::Counting {
            unconfirmed_grant: None,
        }) => BasisStatus::Counting,
        Some(QuotaBasis::Counting {
            unconfirmed_grant: Some(_),
        }) => BasisStatus::Beginning,
        Some(QuotaBasis::Undecided) => BasisStatus::Undecided,
        Some(QuotaBasis::Granted { .. }) => BasisStatus::Granted,
    }
}
