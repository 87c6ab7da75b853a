use super::*;
use crate::core::effects::Effect;
use crate::core::records::shard_map::ShardEntry;
use crate::core::test_support::{config, heartbeat, owner};
use crate::ids::{FencingToken, MachineId};

/// A worker whose heartbeat could not be relayed must not be sent back to the owner that it can't reach.
/// Its lease could expire while it waits there.
#[test]
fn worker_is_not_sent_back_to_its_owner_after_a_failed_relay() {
    let mut core = Core::new(config(), 1);
    core.relays.in_flight = 1;
    let heartbeat = heartbeat("m-1", 1, 1, FencingToken(9));
    core.finish_heartbeat_relay(RequestId(1), &owner("n1"), heartbeat, None);
    let effects = core.outbox.take_effects();
    let is_unavailable = |effect: &Effect| {
        matches!(effect, Effect::Answer(RequestId(1), answer)
            if answer.status == 503 && answer.retry_after.is_some())
    };
    assert!(effects.iter().any(is_unavailable), "{effects:?}");
    assert_eq!(core.relays.in_flight, 0);
}

/// A worker may know a new token from a direct message, without having been at the owner. It is then sent
/// to the owner once. A worker whose heartbeats are relayed already could not reach that owner, and is not
/// sent there when the owner gets a new token.
#[test]
fn worker_tries_an_owner_with_a_new_token_once_unless_it_is_relayed() {
    let mut core = Core::new(config(), 1);
    let machine = MachineId::from("m-1");
    let owner_with = |token| ShardOwner {
        token: FencingToken(token),
        ..owner("n1")
    };
    let map = |core: &mut Core, version, token| {
        let machines = vec![machine.clone(), "m-2".into()];
        let shard = ShardEntry {
            owner: owner_with(token),
            teams: Vec::new(),
            machines,
        };
        crate::core::test_support::apply_shard_map(&mut core.store, version, vec![shard]);
        core.relays.track_tokens(&core.store, 10.0);
    };
    map(&mut core, 1, 3);
    assert!(
        !core.relays.must_try_owner(&machine, FencingToken(3), 10.0),
        "the first map's tokens do not count as new"
    );
    map(&mut core, 2, 9);
    assert!(core.relays.must_try_owner(&machine, FencingToken(9), 11.0));
    assert!(
        !core.relays.must_try_owner(&machine, FencingToken(9), 11.0),
        "it has tried already"
    );
    core.relays.mark_relayed(&"m-2".into(), 11.0);
    assert!(
        !core
            .relays
            .must_try_owner(&"m-2".into(), FencingToken(9), 11.0),
        "its heartbeats are relayed already"
    );
    map(&mut core, 3, 12);
    let later = 10.0 + core.config.deployment.workers.lease_s;
    assert!(
        !core
            .relays
            .must_try_owner(&machine, FencingToken(12), later),
        "the token is no longer new"
    );
}
