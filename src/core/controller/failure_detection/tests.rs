use super::*;
use crate::core::effects::pending::{OwnershipCall, Pending};
use crate::core::effects::{Effect, StoreCall, StoreReply};
use crate::core::model::time::Time;
use crate::core::records::keys::LEADER_KEY;
use crate::core::records::versioned::precondition;
use crate::core::test_support::{OWN_LEASE, record_answers, running_core};
use crate::wire::Transaction;
use failure_detector::{Incarnation, Opinion};

const START: Time = 100.0;

/// Takes the effects since the last call, and returns the calls to the store among them.
fn store_calls(core: &mut Core) -> Vec<StoreCall> {
    let effects = core.outbox.take_effects();
    let calls = effects.into_iter().filter_map(|effect| match effect {
        Effect::Store(_, call) => Some(call),
        _ => None,
    });
    calls.collect()
}

fn suspicion(of: &str) -> Vec<Opinion<ControllerName>> {
    let incarnation = Some(Incarnation(1));
    vec![Opinion {
        controller: of.into(),
        incarnation,
        silence_s: 3.0,
        suspects: true,
    }]
}

fn report(opinions: Vec<Opinion<ControllerName>>) -> DetectionReport {
    DetectionReport {
        opinions,
        store_silence: 0.1,
        abandoned_lease: None,
    }
}

fn process(node: &str, incarnation: u64) -> ProcessId {
    ProcessId::new(node.into(), incarnation)
}

/// Creates a core whose leader n0 has been silent for 2.5 s. The other siblings answer.
fn core_without_its_leader() -> Core {
    let mut core = running_core(4, START);
    record_answers(&mut core, &["n0", "n2", "n3", "n4"], START, START + 1.0);
    record_answers(&mut core, &["n2", "n3", "n4"], START + 1.0, START + 3.5);
    core.ownership.hold(OWN_LEASE, core.outbox.now);
    core.store.record_store_reply(core.outbox.now);
    core
}

#[test]
fn leader_suspected_by_a_minority_keeps_its_key() {
    let mut core = core_without_its_leader();
    assert_eq!(core.peers.detector().stage(&"n0".into()), Stage::Suspected);
    assert_eq!(core.failed_leader_key_version(), None);
    core.apply_detection_report(&process("n2", 1), report(suspicion("n0")));
    core.update_sibling_stages();
    assert_eq!(
        core.failed_leader_key_version(),
        None,
        "only two of five controllers suspect it"
    );
}

#[test]
fn leader_is_replaced_when_a_quorum_confirms_its_failure() {
    let mut core = core_without_its_leader();
    for other in ["n2", "n3"] {
        core.apply_detection_report(&process(other, 1), report(suspicion("n0")));
    }
    core.update_sibling_stages();
    assert_eq!(core.failed_leader_key_version(), Some(10));
    core.outbox.take_effects();
    core.maintain_ownership();
    let claims = store_calls(&mut core)
        .into_iter()
        .filter_map(|call| match call {
            StoreCall::Commit(Transaction { preconditions, .. }) => Some(preconditions),
            _ => None,
        });
    assert_eq!(claims.collect::<Vec<_>>(), [[precondition(LEADER_KEY, 10)]]);
}

/// A controller that has just stepped down still reads the store. If it is the first by name and counts as a
/// candidate, the others wait for it, and the takeover of leadership is delayed.
#[test]
fn sibling_without_a_key_is_not_preferred_as_successor() {
    let mut core = core_without_its_leader();
    let now = core.outbox.now;
    assert!(!core.has_preferred_successor(), "n0 is not heard");
    core.peers.record_answer(&"n0".into(), 2, now);
    assert!(core.has_preferred_successor());
    core.store.apply_write(
        &crate::wire::Write::Delete {
            key: "ochredrum/node/n0".into(),
        },
        21,
    );
    assert!(!core.has_preferred_successor());
}

#[test]
fn controller_refused_by_the_store_alone_steps_down_and_reports_its_lease() {
    let mut core = running_core(4, START);
    let incarnation = core.ownership.incarnation();
    let others = ["n0", "n2", "n3", "n4"];
    record_answers(&mut core, &others, START, START + 1.0);
    for _ in 0..3 {
        let pending = Pending::OwnershipLease(OwnershipCall::End);
        core.handle_store_reply(pending, StoreReply::Refused);
    }
    core.step_down_on_partial_failure(OWN_LEASE);
    assert!(
        core.shard.is_some(),
        "one second without the store is too short"
    );
    record_answers(&mut core, &others, START + 1.0, START + 2.0);
    core.step_down_on_partial_failure(OWN_LEASE);
    assert!(core.shard.is_none() && core.ownership.incarnation() != incarnation);
    let reported = core
        .detection_report()
        .and_then(|report| report.abandoned_lease);
    assert_eq!(
        reported,
        Some(AbandonedLease {
            incarnation,
            lease: OWN_LEASE
        })
    );
}

#[test]
fn controller_does_not_step_down_when_the_store_serves_no_sibling() {
    let mut core = running_core(4, START);
    for node in ["n0", "n2", "n3", "n4"] {
        core.peers.record_answer(&node.into(), 1, START);
    }
    core.outbox.begin_step(START + 1.9, 0);
    for _ in 0..9 {
        core.detection.record_store_refusal();
    }
    core.step_down_on_partial_failure(OWN_LEASE);
    assert!(
        core.shard.is_some(),
        "the store has answered no sibling since"
    );
}

#[test]
fn abandoned_lease_of_a_sibling_is_ended_once() {
    let mut core = running_core(2, START);
    core.outbox.take_effects();
    let abandoned = |incarnation, lease| DetectionReport {
        abandoned_lease: Some(AbandonedLease { incarnation, lease }),
        ..report(Vec::new())
    };
    let ended = |core: &mut Core| -> Vec<StoreCall> {
        let calls = store_calls(core);
        calls
            .into_iter()
            .filter(|call| matches!(call, StoreCall::LeaseEnd { .. }))
            .collect()
    };
    core.apply_detection_report(&process("n2", 1), abandoned(1, 9));
    assert_eq!(
        ended(&mut core),
        [],
        "the lease of the reporting process itself"
    );
    core.apply_detection_report(&process("n2", 2), abandoned(1, 8));
    assert_eq!(ended(&mut core), [], "the key has another lease");
    core.apply_detection_report(&process("n2", 2), abandoned(1, 9));
    core.apply_detection_report(&process("n2", 2), abandoned(1, 9));
    assert_eq!(ended(&mut core), [StoreCall::LeaseEnd { lease: 9 }]);
}

/// A controller that can send but not receive cannot act. If it renewed its lease forever, its shard would
/// never be failed over.
#[test]
fn controller_that_hears_no_sibling_stops_renewing_its_expired_lease() {
    let mut core = running_core(2, START);
    assert!(!core.renewal_would_delay_failover());
    let later = START + core.ownership.ttl() * 1.5;
    core.outbox.begin_step(later, 0);
    assert!(core.renewal_would_delay_failover());
    core.peers.record_answer(&"n2".into(), 1, later);
    assert!(
        !core.renewal_would_delay_failover(),
        "a sibling is heard, so only the store is unavailable"
    );
}

#[test]
fn reports_are_neither_sent_nor_applied_when_failure_detection_is_off() {
    let mut core = core_without_its_leader();
    let mut config = (*core.config).clone();
    config.features = crate::features::Features::default();
    core.config = std::rc::Rc::new(config);
    for other in ["n2", "n3"] {
        core.apply_detection_report(&process(other, 1), report(suspicion("n0")));
    }
    core.update_sibling_stages();
    assert_eq!(core.failed_leader_key_version(), None);
    assert!(core.detection_report().is_none());
}
