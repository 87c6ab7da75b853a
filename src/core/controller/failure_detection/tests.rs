use super::*;
use crate::core::effects::{Effect, StoreReply};
use crate::core::model::time::Time;
use crate::core::records::keys::LEADER_KEY;
use crate::core::records::versioned::precondition;
use crate::core::test_support::{OWN_LEASE, answered_until, running_core};
use crate::wire::Transaction;
use failure_detector::{Incarnation, Opinion};

const START: Time = 100.0;

/// What the step asks of the state service.
fn state_calls(core: &mut Core) -> Vec<StoreCall> {
    let effects = core.outbox.take_effects();
    let calls = effects.into_iter().filter_map(|effect| match effect {
        Effect::State(_, call) => Some(call),
        _ => None,
    });
    calls.collect()
}

fn suspicion(of: &str) -> Vec<Opinion<Node>> {
    let incarnation = Some(Incarnation(1));
    vec![Opinion {
        of: of.into(),
        incarnation,
        silence_s: 3.0,
        suspects: true,
    }]
}

fn detection(opinions: Vec<Opinion<Node>>) -> Detection {
    Detection {
        opinions,
        state_age: 0.1,
        resignation: None,
    }
}

/// n0, which leads, has been silent for 2.5 s; the others answer.
fn core_without_its_leader() -> Core {
    let mut core = running_core(4, START);
    answered_until(&mut core, &["n0", "n2", "n3", "n4"], START, START + 1.0);
    answered_until(&mut core, &["n2", "n3", "n4"], START + 1.0, START + 3.5);
    core.ownership.hold(OWN_LEASE, core.outbox.now);
    core.store.state_answered(core.outbox.now);
    core
}

#[test]
fn a_leader_that_one_does_not_hear_keeps_its_key() {
    let mut core = core_without_its_leader();
    assert_eq!(core.peers.detector().stage(&"n0".into()), Stage::Suspected);
    assert_eq!(core.failed_leader(), None);
    core.take_detection(&"n2".into(), 1, detection(suspicion("n0")));
    core.judge_siblings();
    assert_eq!(core.failed_leader(), None, "two of five");
}

#[test]
fn a_leader_whose_failure_a_quorum_confirms_loses_its_key() {
    let mut core = core_without_its_leader();
    for other in ["n2", "n3"] {
        core.take_detection(&other.into(), 1, detection(suspicion("n0")));
    }
    core.judge_siblings();
    assert_eq!(core.failed_leader(), Some(10));
    core.outbox.take_effects();
    core.keep_ownership();
    let claims = state_calls(&mut core)
        .into_iter()
        .filter_map(|call| match call {
            StoreCall::Commit(Transaction { preconditions, .. }) => Some(preconditions),
            _ => None,
        });
    assert_eq!(claims.collect::<Vec<_>>(), [[precondition(LEADER_KEY, 10)]]);
}

/// A controller that had just given up held the take-over up: it was the first by name and read the state service.
#[test]
fn only_siblings_with_keys_count_as_rivals() {
    let mut core = core_without_its_leader();
    let now = core.outbox.now;
    assert!(!core.has_rival(), "n0 is not heard");
    core.peers.answered(&"n0".into(), 2, now);
    assert!(core.has_rival());
    core.store.apply_write(
        &crate::wire::Write::Delete {
            key: "ochredrum/node/n0".into(),
        },
        21,
    );
    assert!(!core.has_rival());
}

#[test]
fn who_is_refused_alone_gives_up_and_says_so() {
    let mut core = running_core(4, START);
    let incarnation = core.ownership.incarnation();
    let others = ["n0", "n2", "n3", "n4"];
    answered_until(&mut core, &others, START, START + 1.0);
    for _ in 0..3 {
        let pending = Pending::OwnershipLease(OwnershipCall::End);
        core.store_reply(pending, StoreReply::Refused);
    }
    core.resign_if_failed_in_part(OWN_LEASE);
    assert!(core.shard.is_some(), "not for a second");
    answered_until(&mut core, &others, START + 1.0, START + 2.0);
    core.resign_if_failed_in_part(OWN_LEASE);
    assert!(core.shard.is_none() && core.ownership.incarnation() != incarnation);
    let told = core
        .own_detection()
        .and_then(|detection| detection.resignation);
    assert_eq!(
        told,
        Some(Resignation {
            incarnation,
            lease: OWN_LEASE
        })
    );
}

#[test]
fn in_an_outage_for_all_nobody_gives_up() {
    let mut core = running_core(4, START);
    for node in ["n0", "n2", "n3", "n4"] {
        core.peers.answered(&node.into(), 1, START);
    }
    core.outbox.begin(START + 1.9, 0);
    for _ in 0..9 {
        core.detection.refused();
    }
    core.resign_if_failed_in_part(OWN_LEASE);
    assert!(core.shard.is_some(), "nobody was served since");
}

#[test]
fn the_lease_of_a_sibling_that_has_given_up_is_ended_once() {
    let mut core = running_core(2, START);
    core.outbox.take_effects();
    let resignation = |incarnation, lease| Detection {
        resignation: Some(Resignation { incarnation, lease }),
        ..detection(Vec::new())
    };
    let ended = |core: &mut Core| -> Vec<StoreCall> {
        let calls = state_calls(core);
        calls
            .into_iter()
            .filter(|call| matches!(call, StoreCall::LeaseEnd { .. }))
            .collect()
    };
    core.take_detection(&"n2".into(), 1, resignation(1, 9));
    assert_eq!(ended(&mut core), [], "the very process that says so");
    core.take_detection(&"n2".into(), 2, resignation(1, 8));
    assert_eq!(ended(&mut core), [], "not the lease of its key");
    core.take_detection(&"n2".into(), 2, resignation(1, 9));
    core.take_detection(&"n2".into(), 2, resignation(1, 9));
    assert_eq!(ended(&mut core), [StoreCall::LeaseEnd { lease: 9 }]);
}

/// With its incoming direction cut a controller renewed its lease for ever, could not act, and was not replaced.
#[test]
fn who_hears_nobody_renews_no_key_under_which_it_cannot_act() {
    let mut core = running_core(2, START);
    assert!(!core.renews_for_nobody());
    let later = START + core.ownership.ttl() * 1.5;
    core.outbox.begin(later, 0);
    assert!(core.renews_for_nobody());
    core.peers.answered(&"n2".into(), 1, later);
    assert!(
        !core.renews_for_nobody(),
        "an outage of the state service for all"
    );
}

#[test]
fn with_the_switch_off_nothing_is_told_or_taken() {
    let mut core = core_without_its_leader();
    let mut config = (*core.config).clone();
    config.features = crate::features::Features::default();
    core.config = std::rc::Rc::new(config);
    for other in ["n2", "n3"] {
        core.take_detection(&other.into(), 1, detection(suspicion("n0")));
    }
    core.judge_siblings();
    assert_eq!(core.failed_leader(), None);
    assert!(core.own_detection().is_none());
}
