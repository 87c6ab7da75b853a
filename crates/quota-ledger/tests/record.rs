//! Tests the changes and the validation of the record, and the changes that a holder requests.

#![allow(
    clippy::cast_possible_truncation,
    clippy::indexing_slicing,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    clippy::unwrap_used,
    reason = "a test fails by panicking, and states a whole case in one place"
)]

use quota_ledger::record::MAX_GRANTS;
use quota_ledger::{
    Amount, ChangeError, Demand, EndedHolders, HeadroomPolicy, Holder, HolderId, Limit,
    RecordError, TeamLedger, WriteOutcome,
};
use serde_json::json;

fn gpus(gpus: f64) -> Amount {
    Amount::covering(0.0, gpus)
}

fn id(term: u64) -> HolderId {
    HolderId {
        term,
        incarnation: term,
        node: format!("n{term}"),
    }
}

fn limit() -> Limit {
    Limit::new(0.0, 16.0)
}

fn holder(term: u64) -> Holder {
    Holder::new(
        id(term),
        limit(),
        HeadroomPolicy {
            limit_fraction: 0.125,
            surplus_delay_s: 5.0,
        },
    )
}

fn demand(used: f64, waiting: f64) -> Demand {
    Demand {
        used: gpus(used),
        waiting: gpus(waiting),
        first_waiting: gpus(waiting),
        ..Demand::default()
    }
}

#[test]
fn grants_grow_only_within_the_limit_and_may_always_shrink() {
    let ledger = TeamLedger::create(&id(1), gpus(10.0)).add_holder(&id(2));
    assert_eq!(
        ledger.resize_grant(&id(2), gpus(6.5), &limit()),
        Err(ChangeError::LimitReached)
    );
    let ledger = ledger.resize_grant(&id(2), gpus(6.0), &limit()).unwrap();
    assert_eq!(
        ledger.resize_grant(&id(3), gpus(1.0), &limit()),
        Err(ChangeError::NotAHolder)
    );
    // After the limit was lowered, grants may stay as they are but not grow.
    let lowered = Limit::new(0.0, 8.0);
    assert!(ledger.resize_grant(&id(1), gpus(9.0), &lowered).is_ok());
    assert_eq!(
        ledger.resize_grant(&id(2), gpus(7.0), &lowered),
        Err(ChangeError::LimitReached)
    );
}

#[test]
fn a_takeover_transfers_at_most_the_former_grants() {
    let ledger = TeamLedger::create(&id(1), gpus(5.0))
        .add_holder(&id(2))
        .add_holder(&id(3));
    let ledger = ledger.resize_grant(&id(2), gpus(4.0), &limit()).unwrap();
    let after_takeover = ledger
        .take_over_grants(&id(3), &[id(1)], gpus(9.0))
        .unwrap();
    assert_eq!(after_takeover.grant(&id(3)).unwrap().amount, gpus(5.0));
    assert_eq!(after_takeover.granted_to_others(&id(3)), gpus(4.0));
    let all = ledger.take_over_all_grants(&id(3), gpus(6.0)).unwrap();
    assert_eq!(
        (all.grants().len(), all.grant(&id(3)).unwrap().amount),
        (1, gpus(6.0))
    );
    assert_eq!(
        ledger.take_over_all_grants(&id(4), gpus(1.0)),
        Err(ChangeError::NotAHolder)
    );
}

#[test]
fn the_record_keeps_its_size_and_sum_over_many_owner_changes() {
    let mut ledger = TeamLedger::create(&id(1), gpus(1.0));
    for term in 2..200 {
        let before = ledger.granted_to_others(&id(term));
        ledger = ledger.add_holder(&id(term));
        assert_eq!(ledger.granted_to_others(&id(term)), before);
        let _ = ledger
            .resize_grant(&id(term), gpus(0.1), &limit())
            .map(|next| ledger = next);
    }
    assert_eq!(ledger.grants().len(), MAX_GRANTS);
    let stored = serde_json::to_value(&ledger).unwrap();
    assert!(stored.to_string().len() < 1024, "{stored}");
    assert_eq!(TeamLedger::decode(&stored).unwrap(), ledger);
    assert_eq!(
        ledger.release_grant(&id(2), gpus(0.0)),
        Err(ChangeError::NotAHolder),
        "holder 2 is no longer listed"
    );
}

#[test]
fn an_invalid_record_is_rejected_with_the_reason() {
    let grant = json!({"h": {"t": 1, "i": 1, "n": "n1"}, "a": {"g": 1000}});
    for (value, reason) in [
        (json!(7), "invalid type"),
        (json!({"v": 1, "b": 1}), "missing field"),
        (
            json!({"v": 1, "b": 1, "g": [{"h": {"t": -1}}]}),
            "invalid value",
        ),
        (json!({"v": 2, "b": 1, "g": []}), "format"),
        (json!({"v": 1, "b": 1, "g": [grant, grant]}), "two grants"),
        (
            json!({"v": 1, "b": 1, "g": [], "f": {"c": u64::MAX}}),
            "folded",
        ),
        (json!({"v": 1, "b": 1, "g": vec![grant; 9]}), "grants"),
    ] {
        let error = TeamLedger::decode(&value).unwrap_err();
        let is_decode_error = matches!(error, RecordError::Malformed(_) | RecordError::Invalid(_));
        assert!(
            is_decode_error && error.to_string().contains(reason),
            "{value}: {error}"
        );
        assert_eq!(error.to_string().lines().count(), 1);
    }
}

#[test]
fn a_grant_grows_when_the_write_is_confirmed_and_shrinks_when_it_is_requested() {
    let mut holder = holder(1);
    holder.observe_record(5, Some(TeamLedger::create(&id(1), gpus(4.0))));
    let proposal = holder.propose(0.0, &demand(4.0, 2.0)).unwrap();
    assert_eq!(
        (proposal.expected_version, holder.usable_grant()),
        (5, gpus(4.0))
    );
    assert!(
        holder.propose(0.0, &demand(4.0, 2.0)).is_none(),
        "a write is in flight"
    );
    holder.record_outcome(WriteOutcome::Committed(6));
    assert_eq!(
        holder.usable_grant(),
        gpus(8.0),
        "the grant includes the headroom"
    );
    // The holder returns the surplus after the delay. The outcome of the write is unknown.
    assert!(holder.propose(10.0, &demand(1.0, 0.0)).is_none());
    assert!(holder.propose(15.0, &demand(1.0, 0.0)).is_some());
    holder.record_outcome(WriteOutcome::Unknown);
    assert_eq!(holder.usable_grant(), gpus(3.0));
    // A later write of another holder shows that the write was not executed and cannot be any more.
    let others = TeamLedger::create(&id(1), gpus(8.0)).add_holder(&id(2));
    holder.observe_record(7, Some(others));
    assert_eq!(holder.usable_grant(), gpus(8.0));
}

#[test]
fn a_recall_makes_the_other_holder_return_its_unused_capacity() {
    let (mut first, mut second) = (holder(1), holder(2));
    let stored = TeamLedger::create(&id(1), gpus(16.0));
    second.observe_record(5, Some(stored));
    let proposal = second.propose(0.0, &demand(0.0, 3.0)).unwrap();
    second.record_outcome(WriteOutcome::Committed(6));
    assert_eq!(
        (second.usable_grant(), second.granted_to_others()),
        (gpus(0.0), gpus(16.0))
    );
    first.observe_record(6, Some(proposal.ledger));
    let proposal = first.propose(0.0, &demand(10.0, 0.0)).unwrap();
    first.record_outcome(WriteOutcome::Committed(7));
    assert_eq!(first.usable_grant(), gpus(10.0));
    second.observe_record(7, Some(proposal.ledger));
    let proposal = second.propose(0.0, &demand(0.0, 3.0)).unwrap();
    second.record_outcome(WriteOutcome::Committed(8));
    assert!(
        second.usable_grant().covers(&gpus(3.0)),
        "{:?}",
        proposal.ledger
    );
    assert!(
        proposal.ledger.wanted_by_others(&id(1)).is_zero(),
        "the recall is withdrawn"
    );
}

#[test]
fn a_new_holder_takes_over_former_grants_once_all_running_tasks_are_known() {
    let mut holder = holder(2);
    holder.observe_record(5, Some(TeamLedger::create(&id(1), gpus(9.0))));
    let joined = holder.propose(0.0, &demand(0.0, 0.0)).unwrap();
    assert_eq!(joined.ledger.granted_to_others(&id(2)), gpus(9.0));
    holder.record_outcome(WriteOutcome::Committed(6));
    let demand_with_all_known = Demand {
        ended_holders: EndedHolders::AllOthers,
        inherited: gpus(6.0),
        ..demand(1.0, 0.0)
    };
    holder.propose(1.0, &demand_with_all_known).unwrap();
    holder.record_outcome(WriteOutcome::Committed(7));
    assert_eq!(
        (holder.granted_to_others(), holder.usable_grant()),
        (Amount::ZERO, gpus(8.0))
    );
    let released = holder.propose_release(gpus(6.0)).unwrap();
    assert_eq!(released.ledger.grant(&id(2)).unwrap().amount, gpus(6.0));
}
