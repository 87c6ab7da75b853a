use super::*;
use crate::core::membership::peers::Peers;

fn workers(report_s: f64, lease_s: f64, cancel_s: f64) -> Workers {
    Workers {
        report_s,
        lease_s,
        gang_wait_s: 30.0,
        gang_peer_s: 5.0,
        cancel_s,
    }
}

/// Checks the inequality of the module's documentation with the settings of several deployments. The
/// longest ownership after an unknown cancellation, a machine's lease by a slow clock and the travel time
/// of a heartbeat must add up to less than `cancel_s`.
#[test]
fn cancellation_unknown_to_the_owner_takes_effect_in_time() {
    for (report_s, lease_s, cancel_s) in [
        (3.0, 14.0, 34.0),
        (1.0, 10.0, 40.0),
        (2.5, 15.25, 45.25),
        (1.0, 10.0, 30.0),
        (3.0, 14.0, 18.0),
    ] {
        let staleness_bound = staleness_bound(&workers(report_s, lease_s, cancel_s));
        assert!(staleness_bound > 0.0);
        assert!(
            staleness_bound + lease_s * (1.0 + MAX_CLOCK_DRIFT) + report_s * 0.5 < cancel_s,
            "{lease_s} {cancel_s}"
        );
    }
    assert_eq!(
        staleness_bound(&workers(3.0, 14.0, 10.0)),
        0.0,
        "an idle machine is better than a late cancellation"
    );
}

/// Returns the lease of n0, just renewed, in a fleet with the siblings n1, n2 and so on.
fn renewed_lease(siblings: usize) -> OwnershipLease {
    let mut settings = crate::config::TEST_SETTINGS.to_owned();
    for sibling in 1..=siblings {
        settings +=
            &format!("[[siblings]]\nhost_name = \"n{sibling}\"\naddr = \"127.0.0.1:{sibling}\"\n");
    }
    let mut ownership = OwnershipLease::new(&Config::parse(&settings).unwrap(), 1);
    ownership.lease = LeaseState::Held(5);
    ownership.renewed_at = 0.0;
    ownership.record_current_as_of(0.0);
    ownership
}

/// Extensions by all controllers must not prolong ownership without limit, since each of those controllers
/// may have confirmed a cancellation just before it granted its extension.
#[test]
fn extensions_do_not_outlast_the_staleness_bound() {
    let mut ownership = renewed_lease(2);
    let (n1, n2) = (ControllerName::from("n1"), ControllerName::from("n2"));
    let holds_lease_extended = |ownership: &mut OwnershipLease, now: Time| {
        let until = now + ownership.extensions.duration;
        for node in [&n1, &n2] {
            let received = &mut ownership.extensions.received_until;
            received.insert(node.clone(), until);
        }
        ownership.holds_lease(now + 1.0)
    };
    let bound = ownership.staleness_bound;
    assert!(holds_lease_extended(&mut ownership, bound - 1.5));
    assert!(
        !holds_lease_extended(&mut ownership, bound),
        "no sibling has sent its final states"
    );
    ownership.record_sibling_current_as_of(&n1, bound);
    assert!(
        !holds_lease_extended(&mut ownership, bound),
        "n2 may have confirmed a cancellation"
    );
    ownership.record_sibling_current_as_of(&n2, bound - 2.0);
    assert!(holds_lease_extended(&mut ownership, bound));
    assert!(!holds_lease_extended(&mut ownership, bound * 2.0 - 2.0));
}

/// If two of three controllers are down, no majority can consent. The failover of their shards must not
/// wait until they return.
#[test]
fn without_a_majority_ownership_ends_after_the_staleness_bound() {
    let mut ownership = renewed_lease(2);
    let mut settings = crate::config::TEST_SETTINGS.to_owned();
    settings += "[[siblings]]\nhost_name = \"n1\"\naddr = \"127.0.0.1:1\"\n";
    let config = Config::parse(&settings).unwrap();
    let (store, mut peers) = (StoreReplica::new(&config), Peers::new(&config));
    let process = ProcessId::new(ControllerName::from("n1"), 7);
    let since = 100.0;
    let expired_at = since + ownership.staleness_bound * (1.0 + MAX_CLOCK_DRIFT) + ownership.margin;
    assert!(!ownership.confirm_ownership_ended(&process, &store, &peers, since));
    assert!(
        !ownership.confirm_ownership_ended(&process, &store, &peers, expired_at + 1.0),
        "the process has not stated that its staleness is bounded"
    );
    peers.record_bounded_staleness(&process);
    assert!(!ownership.confirm_ownership_ended(&process, &store, &peers, expired_at - 0.01));
    assert!(ownership.confirm_ownership_ended(&process, &store, &peers, expired_at + 0.01));
    let other = ProcessId::new(ControllerName::from("n1"), 8);
    assert!(
        !ownership.confirm_ownership_ended(&other, &store, &peers, expired_at + 1.0),
        "another process has not stated it"
    );
}
