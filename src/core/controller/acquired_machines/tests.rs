use super::*;
use crate::core::effects::Effect;
use crate::core::machines::machine::Machine;
use crate::core::messages::shard_update::{MachineContact, MachineContacts};
use crate::core::model::time::Time;
use crate::core::shard::Shard;
use crate::core::test_support::{heartbeat, running_core};
use crate::ids::FencingToken;

const NOW: Time = 100.0;
const TERM: FencingToken = FencingToken(9);

/// A controller that has gained machine m-1, last answered at `answered`, and knows where it is reached.
fn core_with_gained_machine(answered: Time) -> Core {
    let mut core = running_core(2, NOW);
    let id = MachineId::from("m-1");
    let contact = MachineContact {
        address: "10.0.0.1:9000".into(),
        agent_epoch: 1,
    };
    core.contacts
        .extend(MachineContacts::from_iter([(id.clone(), contact)]));
    let owner = core.shard.as_mut().unwrap();
    let mut machine = Machine::named(id.clone(), TERM, answered);
    machine.is_owned = true;
    owner.machines.insert(id.clone(), machine);
    owner.uninspected_machines.insert(id);
    core.outbox.take_effects();
    core
}

fn questions(core: &mut Core) -> Vec<(String, DirectCommands)> {
    core.inspect_acquired_machines();
    let effects = core.outbox.take_effects();
    let questions = effects.into_iter().filter_map(|effect| match effect {
        Effect::Worker(_, address, commands) => Some((address, commands)),
        _ => None,
    });
    questions.collect()
}

fn machine(core: &Core) -> &Machine {
    &core.shard.as_ref().unwrap().machines[&MachineId::from("m-1")]
}

#[test]
fn a_gained_machine_is_asked_at_once_and_settles_by_its_answer() {
    let mut core = core_with_gained_machine(NOW);
    let commands = DirectCommands {
        token: TERM,
        agent_epoch: 1,
        commands: Vec::new(),
    };
    assert_eq!(questions(&mut core), [("10.0.0.1:9000".into(), commands)]);
    assert_eq!(questions(&mut core), [], "once");
    let earlier = heartbeat("m-1", 1, 7, FencingToken(8));
    core.inspection_answered(&"m-1".into(), WorkerReply::Executed(earlier));
    assert!(!machine(&core).reconciled(), "it has not shown the token");
    core.inspection_answered(
        &"m-1".into(),
        WorkerReply::Executed(heartbeat("m-1", 1, 8, TERM)),
    );
    assert!(machine(&core).reconciled());
}

#[test]
fn a_machine_whose_session_has_risen_is_asked_once_more() {
    let mut core = core_with_gained_machine(NOW);
    questions(&mut core);
    let fenced = || WorkerReply::Fenced(heartbeat("m-1", 4, 1, FencingToken(8)));
    core.inspection_answered(&"m-1".into(), fenced());
    assert_eq!(questions(&mut core)[0].1.agent_epoch, 4);
    core.inspection_answered(&"m-1".into(), fenced());
    assert_eq!(questions(&mut core), [], "the same again tells nothing new");
}

/// Its former owner had not answered it for nearly a lease; its worker had just begun a new session, which the new owner took
/// for over a moment later, and started what it had started there elsewhere too (rough day 15).
#[test]
fn a_session_that_has_just_begun_is_not_over_with_the_one_before() {
    let lease = running_core(2, NOW).config.deployment.workers.lease_s;
    let mut core = core_with_gained_machine(NOW - lease);
    core.inspection_answered(
        &"m-1".into(),
        WorkerReply::Executed(heartbeat("m-1", 2, 1, TERM)),
    );
    core.store.set_current_as_of(NOW + 0.5);
    let owner = core.shard.as_mut().unwrap();
    owner.expire_machines(&core.store, NOW + 0.5);
    assert!(!machine(&core).known_empty && machine(&core).token_confirmed);
}

#[test]
fn an_answer_of_a_session_that_is_over_counts_for_nothing() {
    let mut core = core_with_gained_machine(NOW);
    let owner = core.shard.as_mut().unwrap();
    let machine_of = |owner: &mut Shard| owner.machines.remove(&MachineId::from("m-1")).unwrap();
    let mut gone = machine_of(owner);
    gone.agent_epoch = 1;
    gone.end_epoch();
    owner.machines.insert("m-1".into(), gone);
    core.inspection_answered(
        &"m-1".into(),
        WorkerReply::Executed(heartbeat("m-1", 1, 8, TERM)),
    );
    assert!(machine(&core).known_empty && !machine(&core).token_confirmed);
}

#[test]
fn with_the_switch_off_nobody_is_asked() {
    let mut core = core_with_gained_machine(NOW);
    let mut config = (*core.config).clone();
    config.features = crate::features::Features::default();
    core.config = std::rc::Rc::new(config);
    assert_eq!(questions(&mut core), []);
}
