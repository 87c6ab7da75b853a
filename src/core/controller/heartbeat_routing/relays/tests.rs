use super::*;
use crate::core::test_support::config;

/// The owner may become reachable again, so a worker whose heartbeats are relayed must try it from time to
/// time.
#[test]
fn relays_are_limited_in_duration_and_number() {
    let config = config();
    let lease = config.deployment.workers.lease_s;
    let mut relays = HeartbeatRelays::new(&config);
    let machine = MachineId::from("m-1");
    let mut now = 0.0;
    while relays.begin_relay(&machine, now) == RelayDecision::Relay {
        relays.end_relay();
        now += 1.0;
    }
    assert!(
        (lease * 10.0..lease * 10.0 + 2.0).contains(&now),
        "the worker tries the owner again at {now}"
    );
    assert_eq!(
        relays.begin_relay(&machine, now + 5.0),
        RelayDecision::Relay,
        "the worker still cannot reach the owner"
    );
    assert_eq!(
        relays.begin_relay(&"m-2".into(), now + lease * 3.0),
        RelayDecision::Relay
    );
    assert_eq!(
        relays.machines.len(),
        1,
        "the first worker has reached its owner long ago"
    );
    relays.in_flight = relays.limit;
    assert_eq!(
        relays.begin_relay(&"m-3".into(), now + lease * 3.0),
        RelayDecision::TryNextController
    );
}
