use super::*;
use crate::core::Core;
use crate::core::effects::{Effect, Input, StoreCall, StoreReply};
use crate::core::machines::machine::Machine;
use crate::core::membership::peers::Peers;
use crate::core::scheduling::catalog::Catalog;
use crate::core::shard::Shard;
use crate::core::test_support::{config, shard, types};
use crate::ids::{FencingToken, MachineId};

fn process_pause() -> ProcessPause {
    ProcessPause::new(&config())
}

/// A pause is told once, and lasts until a read that was sent since and until workers could report.
#[test]
fn it_lasts_until_others_were_heard_again() {
    let mut process_pause = process_pause();
    assert_eq!(process_pause.step(10.0), None, "the first step");
    assert_eq!(process_pause.step(10.5), None, "a busy moment");
    assert!(!process_pause.lasts(10.4, 10.5));
    assert_eq!(process_pause.step(17.5), Some(7.0));
    assert_eq!(process_pause.step(17.6), None);
    assert!(process_pause.lasts(17.4, 30.0), "nothing was read since");
    assert!(
        process_pause.lasts(17.6, 18.0),
        "workers report once a second"
    );
    assert!(!process_pause.lasts(17.6, 19.1));
}

/// The first report that arrives after a standstill does not make all other machines silent ones.
#[test]
fn machines_are_not_silent_because_the_owner_stood_still() {
    let (mut owner, mut outbox, mut store) = shard();
    let mut machine = Machine::named("m-1".into(), FencingToken(9), 0.0);
    machine.is_owned = true;
    owner.machines.insert("m-1".into(), machine);
    outbox.begin(8.0, 8_000);
    owner.heard = 8.0;
    store.set_current_as_of(8.0);
    let silent = |owner: &Shard| owner.machines[&MachineId::from("m-1")].unresponsive;
    owner.catching_up = true;
    owner.declare_unresponsive(&store, 8.0);
    assert!(!silent(&owner));
    owner.catching_up = false;
    owner.declare_unresponsive(&store, 8.0);
    assert!(silent(&owner), "else it would be");
}

/// Machines that were idle before the standstill are not returned before the owner knows what came since.
#[test]
fn nothing_is_planned_before_the_owner_is_up_to_date() {
    let (mut owner, mut outbox, store) = shard();
    let mut machine = Machine::named("m-1".into(), FencingToken(9), 0.0);
    (
        machine.is_owned,
        machine.token_confirmed,
        machine.last_answered,
    ) = (true, true, 100.0);
    machine.address = "m-1".into();
    owner.machines.insert("m-1".into(), machine);
    let catalog = Catalog::with_types(types());
    outbox.begin(100.0, 100_000);
    owner.catching_up = true;
    owner.plan_when_due(&outbox, &store, &catalog);
    assert!(owner.demand.surplus_machines.is_empty());
    owner.catching_up = false;
    owner.plan_when_due(&outbox, &store, &catalog);
    assert_eq!(
        owner.demand.surplus_machines,
        vec![MachineId::from("m-1")],
        "else it would be"
    );
}

/// That no worker was heard while the process stood still does not mean that they reach siblings only.
#[test]
fn a_standstill_is_no_cut_from_the_workers() {
    let mut core = Core::new(config(), 1);
    core.step(1.0, 1_000, Vec::new());
    core.peers.heard_workers(1.0);
    core.step(8.0, 8_000, Vec::new());
    let heard = |peers: &Peers| peers.workers_heard();
    assert_eq!(heard(&core.peers), 8.0);
    core.step(8.1, 8_100, Vec::new());
    assert_eq!(heard(&core.peers), 8.0, "told once");
}

/// Authority ends by the clock: a renewal whose answer waited in the sockets counts from when it was sent.
#[test]
fn an_answer_that_waited_renews_nothing() {
    let mut core = Core::new(config(), 1);
    let mut now = 10.0;
    // No answer but one to the lease's creation, which comes after the standstill.
    let effects = core.step(now, 10_000, Vec::new());
    let listing = effects.into_iter().find_map(|effect| match effect {
        Effect::State(call, StoreCall::List { .. }) => Some(call),
        _ => None,
    });
    let empty = serde_json::from_value(serde_json::json!({
        "entries": [], "more": false, "ledger": 1
    }));
    let reply = StoreReply::Listing(empty.unwrap());
    now += 0.05;
    let listed = Input::State(listing.unwrap(), reply);
    let effects = core.step(now, 10_050, vec![listed]);
    let create = effects.into_iter().find_map(|effect| match effect {
        Effect::State(call, StoreCall::LeaseCreate { .. }) => Some(call),
        _ => None,
    });
    now += 7.0;
    let lease = Input::State(create.unwrap(), StoreReply::Lease(7));
    core.step(now, 17_050, vec![lease]);
    assert!(!core.ownership.holds_lease(now));
}
