use super::*;

const WORKERS: Workers = Workers {
    report_s: 2.5,
    lease_s: 14.0,
    gang_wait_s: 50.0,
    gang_peer_s: 6.0,
    cancel_s: 39.0,
};

fn zones(total: usize, silent: usize) -> BTreeMap<Zone, ZoneMachines> {
    BTreeMap::from([(Zone::from("a"), ZoneMachines { total, silent })])
}

/// While a zone was unreachable for two minutes, the tasks of its machines once waited for machines rented in
/// that very zone.
#[test]
fn a_zone_of_silent_machines_is_unreachable_until_one_is_heard() {
    let (mut contact, zone) = (ZoneContact::default(), Zone::from("a"));
    contact.update(&zones(10, 4), &WORKERS, 10.0);
    assert!(!contact.is_unreachable(&zone), "most of them are heard");
    contact.update(&zones(2, 2), &WORKERS, 11.0);
    assert!(
        !contact.is_unreachable(&zone),
        "two machines may have failed independently"
    );
    contact.update(&zones(10, 5), &WORKERS, 12.0);
    assert!(contact.is_unreachable(&zone));
    contact.update(&BTreeMap::new(), &WORKERS, 50.0);
    assert!(
        contact.is_unreachable(&zone),
        "its machines were returned: nothing shows its state"
    );
    contact.update(&BTreeMap::new(), &WORKERS, 12.0 + 14.0 * REMEMBERED_LEASES);
    assert!(!contact.is_unreachable(&zone), "it is tried again");
    contact.update(&zones(10, 10), &WORKERS, 60.0);
    contact.update(&zones(10, 1), &WORKERS, 61.0);
    assert!(!contact.is_unreachable(&zone));
}
