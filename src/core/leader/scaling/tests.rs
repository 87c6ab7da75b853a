use super::*;
use crate::core::test_support::{config, types};

/// `count` machines that boot in 10 s, rented at these moments one after the other.
fn on_their_way(rented: &[Time]) -> CloudRequests {
    let mut requests = CloudRequests::new(&config(), 0.0, true);
    for (number, &rented) in rented.iter().enumerate() {
        let offer = MachineOffer::from(("g8".into(), "a".into(), false));
        let pending = PendingMachine {
            offer,
            rented,
            node: None,
        };
        requests
            .pending
            .insert(format!("m-{number}").as_str().into(), pending);
    }
    requests
}

/// What waited for a machine that never comes up waited until that was given up, several boots later.
#[test]
fn a_late_machine_is_replaced_after_the_usual_time() {
    let catalog = Catalog::with_types(types());
    let requests = on_their_way(&[0.0, 10.0]);
    assert!(requests.replaced(&catalog, 15.0).is_empty());
    assert_eq!(
        requests.replaced(&catalog, 17.0),
        BTreeSet::from(["m-0".into()])
    );
    assert_eq!(requests.replaced(&catalog, 27.0).len(), 2);
}

/// While all machines come up late, renting each anew would only rent twice.
#[test]
fn of_many_late_machines_a_part_is_replaced() {
    let catalog = Catalog::with_types(types());
    let requests = on_their_way(&[0.0; 40]);
    assert_eq!(requests.replaced(&catalog, 17.0).len(), 10);
}
