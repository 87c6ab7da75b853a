use super::*;
use crate::core::test_support;

fn heartbeat(agent_epoch: u64, sequence: u64) -> Heartbeat {
    test_support::heartbeat("m-1", agent_epoch, sequence, FencingToken(1))
}

/// Copies of heartbeats may arrive seconds to minutes late. They must not change the state of the machine.
#[test]
fn duplicate_and_superseded_heartbeats_are_recognized() {
    let mut machine = Machine::new("m-1".into(), FencingToken(1), 0.0);
    assert_eq!(
        machine.accept_heartbeat(&heartbeat(1, 5), HeartbeatOrigin::Periodic),
        Freshness::New { new_epoch: false }
    );
    assert_eq!(
        machine.accept_heartbeat(&heartbeat(1, 5), HeartbeatOrigin::Periodic),
        Freshness::Duplicate
    );
    assert_eq!(
        machine.accept_heartbeat(&heartbeat(1, 8), HeartbeatOrigin::CommandReply),
        Freshness::New { new_epoch: false }
    );
    assert_eq!(
        machine.accept_heartbeat(&heartbeat(1, 7), HeartbeatOrigin::Periodic),
        Freshness::Superseded
    );
    assert_eq!(
        machine.accept_heartbeat(&heartbeat(1, 6), HeartbeatOrigin::Periodic),
        Freshness::Duplicate
    );
    machine.end_epoch();
    assert_eq!(
        machine.accept_heartbeat(&heartbeat(1, 99), HeartbeatOrigin::Periodic),
        Freshness::Duplicate
    );
    assert_eq!(
        machine.accept_heartbeat(&heartbeat(2, 1), HeartbeatOrigin::Periodic),
        Freshness::New { new_epoch: true }
    );
}

/// The machine's lease expired under another owner, which started attempts in the later agent epoch. They
/// moved here with the machine, so the first message of that epoch must not end them.
#[test]
fn an_agent_epoch_from_before_the_change_of_owner_does_not_end_attempts() {
    let mut machine = Machine::new("m-1".into(), FencingToken(1), 0.0);
    machine.is_owned = true;
    assert_eq!(
        machine.accept_heartbeat(&heartbeat(1, 5), HeartbeatOrigin::Periodic),
        Freshness::New { new_epoch: false }
    );
    machine.change_owner(FencingToken(2), 0, false, 1.0);
    machine.change_owner(FencingToken(3), 0, true, 2.0);
    // Two messages without the present token: a delayed copy and a new heartbeat of the machine.
    assert_eq!(
        machine.accept_heartbeat(&heartbeat(1, 7), HeartbeatOrigin::Periodic),
        Freshness::New { new_epoch: false }
    );
    assert_eq!(
        machine.accept_heartbeat(&heartbeat(2, 1), HeartbeatOrigin::Periodic),
        Freshness::New { new_epoch: false }
    );
    let with_present_token = |agent_epoch, sequence| Heartbeat {
        token: FencingToken(3),
        ..heartbeat(agent_epoch, sequence)
    };
    assert_eq!(
        machine.accept_heartbeat(&with_present_token(2, 2), HeartbeatOrigin::Periodic),
        Freshness::New { new_epoch: false }
    );
    assert_eq!(
        machine.accept_heartbeat(&with_present_token(3, 1), HeartbeatOrigin::Periodic),
        Freshness::New { new_epoch: true }
    );
}

#[test]
fn the_least_recently_used_image_is_evicted() {
    let mut machine = Machine::new("m-1".into(), FencingToken(1), 0.0);
    machine.image_cache.capacity_gb = 100.0;
    machine.fetch_rate = 2.0;
    for image in ["a", "b", "a", "c"] {
        machine.record_image_use(&image.into(), 40.0);
    }
    assert!(machine.has_image(&"a".into()) && machine.has_image(&"c".into()));
    assert!(!machine.has_image(&"b".into()));
    assert!(machine.ready_in(&"b".into(), 40.0, 0.0) > 20.0);
    assert_eq!(machine.ready_in(&"a".into(), 40.0, 0.0), 0.0);
}
