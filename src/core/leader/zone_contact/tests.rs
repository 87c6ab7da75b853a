use super::*;

const WORKERS: Workers = Workers {
    report_s: 2.5,
    lease_s: 14.0,
    gang_wait_s: 50.0,
    gang_peer_s: 6.0,
    cancel_s: 39.0,
};

fn zones(total: usize, unresponsive: usize) -> BTreeMap<Zone, ZoneMachines> {
    BTreeMap::from([(
        Zone::from("a"),
        ZoneMachines {
            total,
            unresponsive,
        },
    )])
}

/// Guards against tasks that wait for machines rented in an unreachable zone. In one run, a zone was
/// unreachable for two minutes, and the replacements of its machines were rented in the same zone.
#[test]
fn a_zone_is_unreachable_while_half_of_its_machines_are_unresponsive() {
    let (mut contact, zone) = (ZoneContact::default(), Zone::from("a"));
    contact.update(&zones(10, 4), &WORKERS, 10.0);
    assert!(
        !contact.is_unreachable(&zone),
        "most of its machines respond"
    );
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
        "the state is kept while the zone has no machines"
    );
    contact.update(&BTreeMap::new(), &WORKERS, 12.0 + 14.0 * UNREACHABLE_LEASES);
    assert!(
        !contact.is_unreachable(&zone),
        "the state expires, and machines are rented there again"
    );
    contact.update(&zones(10, 10), &WORKERS, 60.0);
    contact.update(&zones(10, 1), &WORKERS, 61.0);
    assert!(!contact.is_unreachable(&zone));
}
