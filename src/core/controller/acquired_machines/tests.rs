use super::*;
use crate::core::effects::Effect;
use crate::core::machines::machine::{HeartbeatOrigin, Machine};
use crate::core::messages::shard_update::{MachineContact, MachineContacts};
use crate::core::model::time::Time;
use crate::core::test_support::{heartbeat, running_core};
use crate::ids::FencingToken;

const NOW: Time = 100.0;
const TOKEN: FencingToken = FencingToken(9);

/// Creates a core whose shard has acquired machine m-1. The former owner last answered the machine at
/// `answered`. The core knows the machine's address and agent epoch.
fn core_with_acquired_machine(answered: Time) -> Core {
    let mut core = running_core(2, NOW);
    let id = MachineId::from("m-1");
    let contact = MachineContact {
        address: "10.0.0.1:9000".into(),
        agent_epoch: 1,
    };
    core.contacts
        .extend(MachineContacts::from_iter([(id.clone(), contact)]));
    let shard = core.shard.as_mut().unwrap();
    let mut machine = Machine::new(id.clone(), TOKEN, answered);
    machine.is_owned = true;
    shard.machines.insert(id.clone(), machine);
    shard.uninspected_machines.insert(id);
    core.outbox.take_effects();
    core
}

fn inspections(core: &mut Core) -> Vec<(String, DirectCommands)> {
    core.inspect_acquired_machines();
    let effects = core.outbox.take_effects();
    let inspections = effects.into_iter().filter_map(|effect| match effect {
        Effect::Worker(_, address, commands) => Some((address, commands)),
        _ => None,
    });
    inspections.collect()
}

fn machine(core: &Core) -> &Machine {
    &core.shard.as_ref().unwrap().machines[&MachineId::from("m-1")]
}

#[test]
fn acquired_machine_is_inspected_at_once_and_reconciled_by_its_answer() {
    let mut core = core_with_acquired_machine(NOW);
    let commands = DirectCommands {
        token: TOKEN,
        agent_epoch: 1,
        commands: Vec::new(),
    };
    assert_eq!(inspections(&mut core), [("10.0.0.1:9000".into(), commands)]);
    assert_eq!(inspections(&mut core), [], "it is inspected only once");
    let earlier = heartbeat("m-1", 1, 7, FencingToken(8));
    core.handle_inspection_reply(&"m-1".into(), WorkerReply::Executed(earlier));
    assert!(
        !machine(&core).reconciled(),
        "its answer does not show the new token"
    );
    core.handle_inspection_reply(
        &"m-1".into(),
        WorkerReply::Executed(heartbeat("m-1", 1, 8, TOKEN)),
    );
    assert!(machine(&core).reconciled());
}

#[test]
fn machine_whose_agent_epoch_has_advanced_is_inspected_again() {
    let mut core = core_with_acquired_machine(NOW);
    inspections(&mut core);
    let fenced = || WorkerReply::Fenced(heartbeat("m-1", 4, 1, FencingToken(8)));
    core.handle_inspection_reply(&"m-1".into(), fenced());
    assert_eq!(inspections(&mut core)[0].1.agent_epoch, 4);
    core.handle_inspection_reply(&"m-1".into(), fenced());
    assert_eq!(
        inspections(&mut core),
        [],
        "the epoch has not advanced again"
    );
}

/// The former owner has not answered the machine for nearly a lease, and the worker has just begun a new
/// agent epoch. If the new owner considered that epoch over when the lease expires, it would start the
/// machine's tasks elsewhere while they still run.
#[test]
fn new_agent_epoch_does_not_end_with_the_previous_one() {
    let lease = running_core(2, NOW).config.deployment.workers.lease_s;
    let mut core = core_with_acquired_machine(NOW - lease);
    core.handle_inspection_reply(
        &"m-1".into(),
        WorkerReply::Executed(heartbeat("m-1", 2, 1, TOKEN)),
    );
    core.store.set_current_as_of(NOW + 0.5);
    let shard = core.shard.as_mut().unwrap();
    shard.expire_machines(&core.store, NOW + 0.5);
    assert!(!machine(&core).known_empty && machine(&core).token_confirmed);
}

#[test]
fn answer_from_an_ended_agent_epoch_changes_nothing() {
    let mut core = core_with_acquired_machine(NOW);
    let shard = core.shard.as_mut().unwrap();
    let acquired = shard.machines.get_mut(&MachineId::from("m-1")).unwrap();
    acquired.accept_heartbeat(
        &heartbeat("m-1", 1, 1, FencingToken(8)),
        HeartbeatOrigin::Periodic,
    );
    acquired.end_epoch();
    core.handle_inspection_reply(
        &"m-1".into(),
        WorkerReply::Executed(heartbeat("m-1", 1, 8, TOKEN)),
    );
    assert!(machine(&core).known_empty && !machine(&core).token_confirmed);
}

#[test]
fn no_machine_is_inspected_when_failure_detection_is_off() {
    let mut core = core_with_acquired_machine(NOW);
    let mut config = (*core.config).clone();
    config.features = crate::features::Features::default();
    core.config = std::rc::Rc::new(config);
    assert_eq!(inspections(&mut core), []);
}
