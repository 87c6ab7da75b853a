use super::*;
use crate::core::test_support::config;

/// A worker that can't reach its owner is relayed, and sent there again now and then.
#[test]
fn relaying_is_interrupted_now_and_then_and_bounded() {
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
        "once more to the owner: {now}"
    );
    assert_eq!(
        relays.begin_relay(&machine, now + 5.0),
        RelayDecision::Relay,
        "which it still does not reach"
    );
    assert_eq!(
        relays.begin_relay(&"m-2".into(), now + lease * 3.0),
        RelayDecision::Relay
    );
    assert_eq!(
        relays.machines.len(),
        1,
        "the first found its owner long ago"
    );
    relays.in_flight = relays.limit;
    assert_eq!(
        relays.begin_relay(&"m-3".into(), now + lease * 3.0),
        RelayDecision::TryNextController
    );
}
