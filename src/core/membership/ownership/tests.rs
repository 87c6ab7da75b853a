use super::*;
use crate::core::Core;
use crate::core::effects::{Effect, StoreCall};
use crate::core::leader::Leader;
use crate::core::records::keys::{LEADER_KEY, node_key};
use crate::core::records::process_record::ProcessRecord;
use crate::core::records::versioned::{precondition, put};

fn workers(report_s: f64, lease_s: f64, cancel_s: f64) -> Workers {
    Workers {
        report_s,
        lease_s,
        gang_wait_s: 30.0,
        gang_peer_s: 5.0,
        cancel_s,
    }
}

/// The sum of the argument above, for the figures of several deployments: a cancellation that was
/// not heard of, the longest authority after it, a machine's lease by a slow clock, and a report
/// that was under way.
#[test]
fn an_unheard_cancellation_is_carried_out_in_time() {
    for (report_s, lease_s, cancel_s) in [
        (3.0, 14.0, 34.0),
        (1.0, 10.0, 40.0),
        (2.5, 15.25, 45.25),
        (1.0, 10.0, 30.0),
        (3.0, 14.0, 18.0),
    ] {
        let max_staleness = max_staleness(&workers(report_s, lease_s, cancel_s));
        assert!(max_staleness > 0.0);
        assert!(
            max_staleness + lease_s * (1.0 + CLOCK_DRIFT) + report_s * 0.5 < cancel_s,
            "{lease_s} {cancel_s}"
        );
    }
    assert_eq!(
        max_staleness(&workers(3.0, 14.0, 10.0)),
        0.0,
        "better idle than late"
    );
}

fn held(siblings: usize) -> OwnershipLease {
    let mut settings = crate::config::TEST_SETTINGS.to_owned();
    for sibling in 1..=siblings {
        settings +=
            &format!("[[siblings]]\nhost_name = \"n{sibling}\"\naddr = \"127.0.0.1:{sibling}\"\n");
    }
    let mut ownership = OwnershipLease::new(&Config::parse(&settings).unwrap(), 1);
    ownership.lease = Lease::Held(5);
    ownership.renewed = 0.0;
    ownership.note_known_as_of(0.0);
    ownership
}

/// Vouchers of all controllers once carried authority without an end: each of them may have
/// confirmed a cancellation just before.
#[test]
fn vouchers_last_no_longer_than_what_is_known() {
    let mut ownership = held(2);
    let (n1, n2) = (Node::from("n1"), Node::from("n2"));
    let grant_extension = |ownership: &mut OwnershipLease, now: Time| {
        for node in [&n1, &n2] {
            ownership
                .extensions
                .insert(node.clone(), now + ownership.extension_time);
        }
        ownership.holds_lease(now + 1.0)
    };
    let max_staleness = ownership.max_staleness;
    assert!(grant_extension(&mut ownership, max_staleness - 1.5));
    assert!(
        !grant_extension(&mut ownership, max_staleness),
        "nothing heard since"
    );
    ownership.note_sibling_known_as_of(&n1, max_staleness);
    assert!(
        !grant_extension(&mut ownership, max_staleness),
        "one of them may have confirmed it"
    );
    ownership.note_sibling_known_as_of(&n2, max_staleness - 2.0);
    assert!(grant_extension(&mut ownership, max_staleness));
    assert!(!grant_extension(&mut ownership, max_staleness * 2.0 - 2.0));
}

/// With two of three controllers away no majority could consent, and their shares waited for them.
#[test]
fn without_a_majority_a_share_is_handed_on_once_its_authority_is_over() {
    let mut ownership = held(2);
    let mut settings = crate::config::TEST_SETTINGS.to_owned();
    settings += "[[siblings]]\nhost_name = \"n1\"\naddr = \"127.0.0.1:1\"\n";
    let config = Config::parse(&settings).unwrap();
    let (store, mut peers) = (StoreReplica::new(&config), Peers::new(&config));
    let process = ProcessId::new(Node::from("n1"), 7);
    let since = 100.0;
    let over = since + ownership.max_staleness * (1.0 + CLOCK_DRIFT) + ownership.margin;
    assert!(!ownership.lease_expired(&process, &store, &peers, since));
    assert!(
        !ownership.lease_expired(&process, &store, &peers, over + 1.0),
        "a version that may go on"
    );
    peers.says_authority_ends(&process);
    assert!(!ownership.lease_expired(&process, &store, &peers, over - 0.01));
    assert!(ownership.lease_expired(&process, &store, &peers, over + 0.01));
    let other = ProcessId::new(Node::from("n1"), 8);
    assert!(
        !ownership.lease_expired(&other, &store, &peers, over + 1.0),
        "another process"
    );
}

/// A leader whose terms are running out claims its key anew, guarded by the key's revision; a fleet that
/// ran for weeks under one leader changed nothing any more.
#[test]
fn a_worn_leadership_is_claimed_anew() {
    let config = crate::config::Config::parse(crate::config::TEST_SETTINGS).unwrap();
    let mut core = Core::new(config, 1);
    core.outbox.begin(1.0, 0);
    core.ownership.lease = Lease::Held(5);
    let record = ProcessRecord {
        node: core.config.node.clone(),
        incarnation: core.ownership.incarnation,
        lease: 5,
        keeps_grants: false,
        consents: Vec::new(),
        claims: Vec::new(),
    };
    core.store
        .apply_write(&put(&node_key(&record.node), &record, Some(5)), 7);
    core.store
        .apply_write(&put(LEADER_KEY, &record, Some(5)), 8);
    core.leader = Some(Leader::new(&core.config, 8, &core.store, 1.0));
    core.write_keys(5);
    assert!(core.outbox.take_effects().is_empty(), "not yet worn");
    while let Some(leader) = core
        .leader
        .as_mut()
        .filter(|leader| !leader.tokens_exhausted())
    {
        assert!(leader.take_token().is_some());
    }
    core.write_keys(5);
    let effects = core.outbox.take_effects();
    let [Effect::State(_, StoreCall::Commit(claim))] = &effects[..] else {
        panic!("{effects:?}")
    };
    assert_eq!(claim.preconditions, [precondition(LEADER_KEY, 8)]);
}
