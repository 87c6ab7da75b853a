//! The record's changes, its checks, and how a holder asks for them.

use quota_ledger::record::MOST_GRANTS;
use quota_ledger::{
    Amount, Demand, Ended, Headroom, Holder, HolderId, Limit, Outcome, RecordError, Refusal,
    TeamLedger,
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
        Headroom {
            part_of_limit: 0.125,
            patience_s: 5.0,
        },
    )
}

fn demand(used: f64, waiting: f64) -> Demand {
    Demand {
        used: gpus(used),
        waiting: gpus(waiting),
        next: gpus(waiting),
        ..Demand::default()
    }
}

#[test]
fn grants_grow_within_the_limit_only_and_shrink_always() {
    let ledger = TeamLedger::begin(&id(1), gpus(10.0)).join(&id(2));
    assert_eq!(
        ledger.resize(&id(2), gpus(6.5), &limit()),
        Err(Refusal::LimitReached)
    );
    let ledger = ledger.resize(&id(2), gpus(6.0), &limit()).unwrap();
    assert_eq!(
        ledger.resize(&id(3), gpus(1.0), &limit()),
        Err(Refusal::NotAHolder)
    );
    // The limit was lowered: what runs goes on, nothing grows.
    let lowered = Limit::new(0.0, 8.0);
    assert!(ledger.resize(&id(1), gpus(9.0), &lowered).is_ok());
    assert_eq!(
        ledger.resize(&id(2), gpus(7.0), &lowered),
        Err(Refusal::LimitReached)
    );
}

#[test]
fn what_passes_over_is_at_most_what_was_granted() {
    let ledger = TeamLedger::begin(&id(1), gpus(5.0))
        .join(&id(2))
        .join(&id(3));
    let ledger = ledger.resize(&id(2), gpus(4.0), &limit()).unwrap();
    let absorbed = ledger.absorb(&id(3), &[id(1)], gpus(9.0)).unwrap();
    assert_eq!(absorbed.grant(&id(3)).unwrap().amount, gpus(5.0));
    assert_eq!(absorbed.outstanding(&id(3)), gpus(4.0));
    let all = ledger.absorb_all(&id(3), gpus(6.0)).unwrap();
    assert_eq!(
        (all.grants().len(), all.grant(&id(3)).unwrap().amount),
        (1, gpus(6.0))
    );
    assert_eq!(
        ledger.absorb_all(&id(4), gpus(1.0)),
        Err(Refusal::NotAHolder)
    );
}

#[test]
fn however_often_a_team_changes_hands_the_record_keeps_its_size_and_its_sum() {
    let mut ledger = TeamLedger::begin(&id(1), gpus(1.0));
    for term in 2..200 {
        let before = ledger.outstanding(&id(term));
        ledger = ledger.join(&id(term));
        assert_eq!(ledger.outstanding(&id(term)), before);
        let _ = ledger
            .resize(&id(term), gpus(0.1), &limit())
            .map(|next| ledger = next);
    }
    assert_eq!(ledger.grants().len(), MOST_GRANTS);
    let stored = serde_json::to_value(&ledger).unwrap();
    assert!(stored.to_string().len() < 1024, "{stored}");
    assert_eq!(TeamLedger::decode(&stored).unwrap(), ledger);
    assert_eq!(
        ledger.release(&id(2), gpus(0.0)),
        Err(Refusal::NotAHolder),
        "folded"
    );
}

#[test]
fn what_is_no_record_is_refused_with_the_reason() {
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
        let is_damage = matches!(error, RecordError::Malformed(_) | RecordError::Invalid(_));
        assert!(
            is_damage && error.to_string().contains(reason),
            "{value}: {error}"
        );
        assert_eq!(error.to_string().lines().count(), 1);
    }
}

#[test]
fn a_holder_counts_growth_when_confirmed_and_shrinking_at_once() {
    let mut holder = holder(1);
    holder.observe(5, Some(TeamLedger::begin(&id(1), gpus(4.0))));
    let proposal = holder.propose(0.0, &demand(4.0, 2.0)).unwrap();
    assert_eq!((proposal.guard, holder.grant()), (5, gpus(4.0)));
    assert!(
        holder.propose(0.0, &demand(4.0, 2.0)).is_none(),
        "one write at a time"
    );
    holder.answered(Outcome::Committed(6));
    assert_eq!(holder.grant(), gpus(8.0), "with headroom");
    // After its patience it gives back, and doesn't know whether that was carried out.
    assert!(holder.propose(10.0, &demand(1.0, 0.0)).is_none());
    assert!(holder.propose(15.0, &demand(1.0, 0.0)).is_some());
    holder.answered(Outcome::Unknown);
    assert_eq!(holder.grant(), gpus(3.0));
    // Anybody's later write shows that it was not, and can't be any more.
    let others = TeamLedger::begin(&id(1), gpus(8.0)).join(&id(2));
    holder.observe(7, Some(others));
    assert_eq!(holder.grant(), gpus(8.0));
}

#[test]
fn a_recall_brings_back_what_is_not_used() {
    let (mut first, mut second) = (holder(1), holder(2));
    let stored = TeamLedger::begin(&id(1), gpus(16.0));
    second.observe(5, Some(stored));
    let proposal = second.propose(0.0, &demand(0.0, 3.0)).unwrap();
    second.answered(Outcome::Committed(6));
    assert_eq!(
        (second.grant(), second.outstanding()),
        (gpus(0.0), gpus(16.0))
    );
    first.observe(6, Some(proposal.ledger));
    let proposal = first.propose(0.0, &demand(10.0, 0.0)).unwrap();
    first.answered(Outcome::Committed(7));
    assert_eq!(first.grant(), gpus(10.0));
    second.observe(7, Some(proposal.ledger));
    let proposal = second.propose(0.0, &demand(0.0, 3.0)).unwrap();
    second.answered(Outcome::Committed(8));
    assert!(second.grant().covers(&gpus(3.0)), "{:?}", proposal.ledger);
    assert!(
        proposal.ledger.wanted_by_others(&id(1)).is_zero(),
        "the recall is over"
    );
}

#[test]
fn a_new_holder_takes_over_what_is_left_once_all_is_known() {
    let mut holder = holder(2);
    holder.observe(5, Some(TeamLedger::begin(&id(1), gpus(9.0))));
    let joined = holder.propose(0.0, &demand(0.0, 0.0)).unwrap();
    assert_eq!(joined.ledger.outstanding(&id(2)), gpus(9.0));
    holder.answered(Outcome::Committed(6));
    let known = Demand {
        ended: Ended::AllOthers,
        inherited: gpus(6.0),
        ..demand(1.0, 0.0)
    };
    holder.propose(1.0, &known).unwrap();
    holder.answered(Outcome::Committed(7));
    assert_eq!(
        (holder.outstanding(), holder.grant()),
        (Amount::ZERO, gpus(8.0))
    );
    let released = holder.release(gpus(6.0)).unwrap();
    assert_eq!(released.ledger.grant(&id(2)).unwrap().amount, gpus(6.0));
}
