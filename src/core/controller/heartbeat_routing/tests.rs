use super::*;
use crate::core::effects::Effect;
use crate::core::records::shard_map::ShardEntry;
use crate::core::test_support::{config, heartbeat, owner};

/// A worker that can't reach its owner is relayed, and sent there again now and then.
#[test]
fn relaying_is_interrupted_now_and_then_and_bounded() {
    let config = config();
    let lease = config.deployment.workers.lease_s;
    let mut relays = HeartbeatRelays::new(&config);
    let machine = MachineId::from("m-1");
    let mut now = 0.0;
    while relays.begin(&machine, now) == Route::Relay {
        relays.end();
        now += 1.0;
    }
    assert!(
        (lease * 10.0..lease * 10.0 + 2.0).contains(&now),
        "once more to the owner: {now}"
    );
    assert_eq!(
        relays.begin(&machine, now + 5.0),
        Route::Relay,
        "which it still does not reach"
    );
    assert_eq!(relays.begin(&"m-2".into(), now + lease * 3.0), Route::Relay);
    assert_eq!(
        relays.machines.len(),
        1,
        "the first found its owner long ago"
    );
    relays.under_way = relays.most;
    assert_eq!(
        relays.begin(&"m-3".into(), now + lease * 3.0),
        Route::Elsewhere
    );
}

/// A worker whose report could not be relayed was sent back to the owner that it can't reach, and its
/// lease ended while it waited there (`operations` of Suwanda: replicas lost 10 s after a cut).
#[test]
fn a_worker_that_is_not_relayed_is_not_sent_back_to_its_owner() {
    let mut core = Core::new(config(), 1);
    core.relays.under_way = 1;
    let heartbeat = heartbeat("m-1", 1, 1, FencingToken(9));
    core.heartbeat_relayed(RequestId(1), &owner("n1"), heartbeat, None);
    let effects = core.outbox.take_effects();
    let refused = |effect: &Effect| {
        matches!(effect, Effect::Answer(RequestId(1), answer)
            if answer.status == 503 && answer.retry_after.is_some())
    };
    assert!(effects.iter().any(refused), "{effects:?}");
    assert_eq!(core.relays.under_way, 0);
}

/// While a term is young a worker may know its token from a direct message. It is sent to its owner once then, but not if its
/// reports are relayed already: its owner had taken a fresh token, and it was sent where it had got no answer.
#[test]
fn a_worker_tries_the_owner_of_a_young_term_once_unless_it_is_relayed() {
    let mut core = Core::new(config(), 1);
    let machine = MachineId::from("m-1");
    let shard = |token| ShardOwner {
        token: FencingToken(token),
        ..owner("n1")
    };
    let map = |core: &mut Core, version, token| {
        let machines = vec![machine.clone(), "m-2".into()];
        let shard = ShardEntry {
            owner: shard(token),
            teams: Vec::new(),
            machines,
        };
        crate::core::test_support::map(&mut core.store, version, vec![shard]);
        core.relays.follow(&core.store, 10.0);
    };
    map(&mut core, 1, 3);
    assert!(
        !core.relays.owner_first(&machine, FencingToken(3), 10.0),
        "known since this process began"
    );
    map(&mut core, 2, 9);
    assert!(core.relays.owner_first(&machine, FencingToken(9), 11.0));
    assert!(
        !core.relays.owner_first(&machine, FencingToken(9), 11.0),
        "once"
    );
    core.relays.mark(&"m-2".into(), 11.0);
    assert!(
        !core
            .relays
            .owner_first(&"m-2".into(), FencingToken(9), 11.0),
        "it is relayed"
    );
    map(&mut core, 3, 12);
    let later = 10.0 + core.config.deployment.workers.lease_s;
    assert!(
        !core.relays.owner_first(&machine, FencingToken(12), later),
        "no longer young"
    );
}
