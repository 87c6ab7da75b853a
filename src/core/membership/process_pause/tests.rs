use super::*;
use crate::core::Core;
use crate::core::effects::{Effect, Input, StoreCall, StoreReply};
use crate::core::machines::machine::Machine;
use crate::core::scheduling::catalog::Catalog;
use crate::core::shard::Shard;
use crate::core::test_support::{config, machine_types, shard};
use crate::ids::{FencingToken, MachineId};

fn process_pause() -> ProcessPause {
    ProcessPause::new(&config())
}

/// A pause is reported once. The process has caught up when it has read the store and workers have had time
/// to send heartbeats.
#[test]
fn process_is_catching_up_until_it_has_read_the_store_and_workers_could_send_heartbeats() {
    let mut process_pause = process_pause();
    assert_eq!(process_pause.record_step(10.0), None, "the first step");
    assert_eq!(
        process_pause.record_step(10.5),
        None,
        "a slow step is not a pause"
    );
    assert!(!process_pause.is_catching_up(10.4, 10.5));
    assert_eq!(process_pause.record_step(17.5), Some(7.0));
    assert_eq!(process_pause.record_step(17.6), None);
    assert!(
        process_pause.is_catching_up(17.4, 30.0),
        "the store was not read since"
    );
    assert!(
        process_pause.is_catching_up(17.6, 18.0),
        "workers send heartbeats once a second"
    );
    assert!(!process_pause.is_catching_up(17.6, 19.1));
}

/// The first heartbeat that arrives after a pause must not cause all other machines to be declared
/// unresponsive.
#[test]
fn machines_are_not_unresponsive_because_their_owner_was_paused() {
    let (mut shard, mut outbox, mut store) = shard();
    let mut machine = Machine::new("m-1".into(), FencingToken(9), 0.0);
    machine.is_owned = true;
    shard.machines.insert("m-1".into(), machine);
    outbox.begin_step(8.0, 8_000);
    shard.last_heartbeat = 8.0;
    store.set_current_as_of(8.0);
    let is_unresponsive = |shard: &Shard| shard.machines[&MachineId::from("m-1")].unresponsive;
    shard.catching_up = true;
    shard.declare_unresponsive(&store, 8.0);
    assert!(!is_unresponsive(&shard));
    shard.catching_up = false;
    shard.declare_unresponsive(&store, 8.0);
    assert!(
        is_unresponsive(&shard),
        "without catching up it is unresponsive"
    );
}

/// Machines that were idle before a pause must not be returned before the owner has read the changes.
#[test]
fn capacity_is_not_planned_while_catching_up_after_a_pause() {
    let (mut shard, mut outbox, store) = shard();
    let mut machine = Machine::new("m-1".into(), FencingToken(9), 0.0);
    (
        machine.is_owned,
        machine.token_confirmed,
        machine.last_answered,
    ) = (true, true, 100.0);
    machine.address = "m-1".into();
    shard.machines.insert("m-1".into(), machine);
    let catalog = Catalog::with_types(machine_types());
    outbox.begin_step(100.0, 100_000);
    shard.catching_up = true;
    shard.plan_capacity_when_due(&outbox, &store, &catalog);
    assert!(shard.demand.surplus_machines.is_empty());
    shard.catching_up = false;
    shard.plan_capacity_when_due(&outbox, &store, &catalog);
    assert_eq!(
        shard.demand.surplus_machines,
        vec![MachineId::from("m-1")],
        "without catching up it is surplus"
    );
}

/// The absence of heartbeats during a pause must not be taken as evidence that workers reach siblings only.
#[test]
fn a_pause_does_not_count_as_silence_of_workers() {
    let mut core = Core::new(config(), 1);
    core.step(1.0, 1_000, Vec::new());
    core.peers.record_worker_contact(1.0);
    core.step(8.0, 8_000, Vec::new());
    assert_eq!(core.peers.last_worker_contact(), 8.0);
    core.step(8.1, 8_100, Vec::new());
    assert_eq!(core.peers.last_worker_contact(), 8.0, "reported once");
}

/// Ownership ends by the clock. A lease whose reply was delayed by a pause counts from the time of the
/// request.
#[test]
fn reply_delayed_by_a_pause_does_not_prolong_ownership() {
    let mut core = Core::new(config(), 1);
    let mut now = 10.0;
    // Only the listing of the store and the creation of the lease are answered, the latter after the pause.
    let effects = core.step(now, 10_000, Vec::new());
    let list_call = effects.into_iter().find_map(|effect| match effect {
        Effect::Store(call, StoreCall::List { .. }) => Some(call),
        _ => None,
    });
    let empty = serde_json::from_value(serde_json::json!({
        "entries": [], "more": false, "ledger": 1
    }));
    let reply = StoreReply::Listing(empty.unwrap());
    now += 0.05;
    let listed = Input::Store(list_call.unwrap(), reply);
    let effects = core.step(now, 10_050, vec![listed]);
    let create_call = effects.into_iter().find_map(|effect| match effect {
        Effect::Store(call, StoreCall::LeaseCreate { .. }) => Some(call),
        _ => None,
    });
    now += 7.0;
    let lease = Input::Store(create_call.unwrap(), StoreReply::LeaseCreated(7));
    core.step(now, 17_050, vec![lease]);
    assert!(!core.ownership.holds_lease(now));
}
