use super::*;
use crate::core::test_support::machine_types;

/// Pending machines `m-0`, `m-1`, …, rented at these times; their type boots in 10 s.
fn machines_rented_at(moments: &[Time]) -> PendingMachines {
    let mut machines = PendingMachines::default();
    for (number, &rented_at) in moments.iter().enumerate() {
        let offer = MachineOffer::from(("g8".into(), "a".into(), false));
        let pending = PendingMachine {
            offer,
            rented_at,
            node: None,
        };
        machines.add(format!("m-{number}").as_str().into(), pending);
    }
    machines
}

/// Guards against tasks that wait for a machine that never becomes ready until it is returned, several boot
/// times later.
#[test]
fn a_machine_is_replaced_once_it_is_late() {
    let catalog = Catalog::with_types(machine_types());
    let machines = machines_rented_at(&[0.0, 10.0]);
    assert!(machines.machines_to_replace(&catalog, 15.0).is_empty());
    assert_eq!(
        machines.machines_to_replace(&catalog, 17.0),
        BTreeSet::from(["m-0".into()])
    );
    assert_eq!(machines.machines_to_replace(&catalog, 27.0).len(), 2);
}

/// Guards against renting twice the machines that are needed while all machines boot slowly.
#[test]
fn only_a_fraction_of_many_late_machines_is_replaced() {
    let catalog = Catalog::with_types(machine_types());
    let machines = machines_rented_at(&[0.0; 40]);
    assert_eq!(machines.machines_to_replace(&catalog, 17.0).len(), 10);
}
