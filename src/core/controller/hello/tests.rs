use super::*;
use crate::core::messages::capacity_demand::CapacityDemand;
use crate::core::test_support::running_core;
use std::collections::BTreeSet;

/// A hello of the process of n0 that [`running_core`] has read, which wants observations or not.
fn hello(sequence_number: u64, wants_observations: bool) -> MeshMessage {
    let update = PeerUpdate {
        revision: 20,
        wants_observations,
        reconciled: Vec::new(),
        observations: Vec::new(),
        commands: Vec::new(),
        demand: CapacityDemand::default(),
        unavailable_offers: None,
        images: ImageHints::default(),
        contacts: MachineContacts::default(),
        teams: BTreeSet::new(),
    };
    MeshMessage::Hello(Box::new(Hello {
        from: "n0".into(),
        incarnation: 1,
        sequence_number,
        wants_extension: false,
        wants_consent: Vec::new(),
        task_counts: Vec::new(),
        unresponsive: Vec::new(),
        update: Some(update),
        final_states_after: None,
        bounded_staleness: true,
        detection: None,
    }))
}

#[test]
fn a_copy_of_an_earlier_hello_is_not_applied() {
    let mut core = running_core(2, 10.0);
    let listens = |core: &Core| {
        let shard = core.shard.as_ref().unwrap();
        shard.listeners.contains(&ControllerName::from("n0"))
    };
    core.handle_mesh_message(RequestId(1), hello(4, false));
    core.handle_mesh_message(RequestId(2), hello(5, true));
    assert!(listens(&core));
    core.handle_mesh_message(RequestId(3), hello(4, false));
    assert!(listens(&core), "the copy is older");
    core.handle_mesh_message(RequestId(4), hello(6, false));
    assert!(!listens(&core));
}
