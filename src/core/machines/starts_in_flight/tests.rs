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

fn fence(token: u64, agent_epoch: u64) -> Fence {
    Fence {
        token: FencingToken(token),
        agent_epoch,
    }
}

fn starts(numbers: &[u64]) -> BTreeSet<AttemptKey> {
    numbers.iter().map(|number| attempt(*number)).collect()
}

/// The outcome of each message is tracked separately. A message without an answer may still arrive.
#[test]
fn the_outcome_of_one_message_does_not_settle_another() {
    let (mut in_flight, id) = (StartsInFlight::default(), MachineId::from("m-1"));
    let sent_under = fence(5, 1);
    in_flight.record_direct_message(&id, CallId(1), sent_under, starts(&[1]));
    in_flight.record_direct_message(&id, CallId(2), sent_under, starts(&[1, 2]));
    in_flight.record_direct_message(&id, CallId(3), sent_under, starts(&[]));
    assert_eq!(in_flight.record_outcome(&id, CallId(2)), starts(&[1, 2]));
    assert!(in_flight.may_arrive(&id, &attempt(1)) && in_flight.awaits_answer(&id, &attempt(1)));
    assert!(!in_flight.may_arrive(&id, &attempt(2)));
    assert_eq!(in_flight.record_unknown_outcome(&id, CallId(1)), 1);
    assert!(in_flight.may_arrive(&id, &attempt(1)) && !in_flight.awaits_answer(&id, &attempt(1)));
    assert!(!in_flight.may_arrive(&"m-2".into(), &attempt(1)));
    assert!(
        in_flight.record_outcome(&id, CallId(9)).is_empty(),
        "a message that is unknown or already settled has no starts"
    );
    in_flight.record_outcome(&id, CallId(1));
    assert!(
        in_flight.machines.is_empty(),
        "no entry remains once all outcomes are known"
    );
}

/// A higher token or a later agent epoch voids the messages that were sent under an earlier one, and no
/// others.
#[test]
fn a_higher_token_or_later_agent_epoch_voids_earlier_messages() {
    let (mut in_flight, id) = (StartsInFlight::default(), MachineId::from("m-1"));
    in_flight.record_direct_message(&id, CallId(1), fence(5, 1), starts(&[1]));
    in_flight.record_direct_message(&id, CallId(2), fence(7, 1), starts(&[2]));
    in_flight.record_direct_message(&id, CallId(3), fence(7, 2), starts(&[3]));
    in_flight.discard_outdated(&id, FencingToken(5), 1);
    assert!(
        in_flight.may_arrive(&id, &attempt(1)),
        "a token that is not higher voids no message"
    );
    in_flight.discard_outdated(&id, FencingToken(7), 1);
    assert!(!in_flight.may_arrive(&id, &attempt(1)) && in_flight.may_arrive(&id, &attempt(2)));
    in_flight.discard_outdated(&id, FencingToken(6), 2);
    assert!(!in_flight.may_arrive(&id, &attempt(2)) && in_flight.may_arrive(&id, &attempt(3)));
    in_flight.discard_all(&id);
    assert!(!in_flight.may_arrive(&id, &attempt(3)));
}

/// Once the worker sends its next heartbeat, or is in a later agent epoch, the earlier response has been
/// executed or is void.
#[test]
fn the_response_to_a_heartbeat_may_arrive_until_the_next_heartbeat() {
    let (mut in_flight, id) = (StartsInFlight::default(), MachineId::from("m-1"));
    in_flight.record_heartbeat_response(&id, fence(9, 1), starts(&[1]));
    in_flight.discard_outdated(&id, FencingToken(9), 1);
    assert!(in_flight.may_arrive(&id, &attempt(1)) && !in_flight.awaits_answer(&id, &attempt(1)));
    in_flight.clear_heartbeat_response(&id);
    assert!(!in_flight.may_arrive(&id, &attempt(1)));
    in_flight.record_heartbeat_response(&id, fence(9, 1), starts(&[2]));
    in_flight.discard_outdated(&id, FencingToken(9), 2);
    assert!(!in_flight.may_arrive(&id, &attempt(2)) && in_flight.machines.is_empty());
    in_flight.record_heartbeat_response(&id, fence(9, 2), starts(&[3]));
    in_flight.discard_outdated(&id, FencingToken(10), 2);
    assert!(!in_flight.may_arrive(&id, &attempt(3)) && in_flight.machines.is_empty());
}
