use super::*;
use crate::core::test_support::types;

/// `count` machines that boot in 10 s, rented at these moments one after the other.
fn rented_at(moments: &[Time]) -> PendingMachines {
    let mut machines = PendingMachines::default();
    for (number, &rented) in moments.iter().enumerate() {
        let offer = MachineOffer::from(("g8".into(), "a".into(), false));
        let pending = PendingMachine {
            offer,
            rented,
            node: None,
        };
        machines.add(format!("m-{number}").as_str().into(), pending);
    }
    machines
}

/// Tasks once waited for a machine that never became ready until it was given up, several boot times later.
#[test]
fn a_late_machine_is_replaced_after_the_usual_time() {
    let catalog = Catalog::with_types(types());
    let machines = rented_at(&[0.0, 10.0]);
    assert!(machines.replaced(&catalog, 15.0).is_empty());
    assert_eq!(
        machines.replaced(&catalog, 17.0),
        BTreeSet::from(["m-0".into()])
    );
    assert_eq!(machines.replaced(&catalog, 27.0).len(), 2);
}

/// While all machines are late, renting each anew would only rent twice.
#[test]
fn of_many_late_machines_a_part_is_replaced() {
    let catalog = Catalog::with_types(types());
    let machines = rented_at(&[0.0; 40]);
    assert_eq!(machines.replaced(&catalog, 17.0).len(), 10);
}
