use super::*;

fn attempt(number: u64) -> AttemptKey {
    (
        TaskId {
            job: "req-000001".into(),
            index: 0,
        },
        Attempt(number),
    )
}

fn starts(numbers: &[u64]) -> BTreeSet<AttemptKey> {
    numbers.iter().map(|number| attempt(*number)).collect()
}

/// Each message is settled by itself, and what was given up may still arrive.
#[test]
fn one_message_says_nothing_of_another() {
    let (mut flying, id) = (StartsInFlight::default(), MachineId::from("m-1"));
    let under = (FencingToken(5), 1);
    flying.sent(&id, CallId(1), under, starts(&[1]));
    flying.sent(&id, CallId(2), under, starts(&[1, 2]));
    flying.sent(&id, CallId(3), under, starts(&[]));
    assert_eq!(flying.outcome_known(&id, CallId(2)), starts(&[1, 2]));
    assert!(flying.may_arrive(&id, &attempt(1)) && flying.awaits_answer(&id, &attempt(1)));
    assert!(!flying.may_arrive(&id, &attempt(2)));
    assert_eq!(flying.given_up(&id, CallId(1)), 1);
    assert!(flying.may_arrive(&id, &attempt(1)) && !flying.awaits_answer(&id, &attempt(1)));
    assert!(!flying.may_arrive(&"m-2".into(), &attempt(1)));
    assert!(
        flying.outcome_known(&id, CallId(9)).is_empty(),
        "unknown, or settled before"
    );
    flying.outcome_known(&id, CallId(1));
    assert!(
        flying.machines.is_empty(),
        "nothing is kept of what is settled"
    );
}

/// A higher token or a later session makes void what was sent under an earlier one, and only that.
#[test]
fn a_fresh_token_or_session_makes_earlier_messages_void() {
    let (mut flying, id) = (StartsInFlight::default(), MachineId::from("m-1"));
    flying.sent(&id, CallId(1), (FencingToken(5), 1), starts(&[1]));
    flying.sent(&id, CallId(2), (FencingToken(7), 1), starts(&[2]));
    flying.sent(&id, CallId(3), (FencingToken(7), 2), starts(&[3]));
    flying.shown(&id, FencingToken(5), 1);
    assert!(
        flying.may_arrive(&id, &attempt(1)),
        "an older message of the worker proves nothing"
    );
    flying.shown(&id, FencingToken(7), 1);
    assert!(!flying.may_arrive(&id, &attempt(1)) && flying.may_arrive(&id, &attempt(2)));
    flying.shown(&id, FencingToken(6), 2);
    assert!(!flying.may_arrive(&id, &attempt(2)) && flying.may_arrive(&id, &attempt(3)));
    flying.void(&id);
    assert!(!flying.may_arrive(&id, &attempt(3)));
}

/// The answer to a report is through once the worker reports again, or is in a later session.
#[test]
fn the_answer_to_a_report_may_arrive_until_the_next_one() {
    let (mut flying, id) = (StartsInFlight::default(), MachineId::from("m-1"));
    flying.answered(&id, 1, starts(&[1]));
    flying.shown(&id, FencingToken(9), 1);
    assert!(flying.may_arrive(&id, &attempt(1)) && !flying.awaits_answer(&id, &attempt(1)));
    flying.reported(&id);
    assert!(!flying.may_arrive(&id, &attempt(1)));
    flying.answered(&id, 1, starts(&[2]));
    flying.shown(&id, FencingToken(9), 2);
    assert!(!flying.may_arrive(&id, &attempt(2)) && flying.machines.is_empty());
}
