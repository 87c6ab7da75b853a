use super::super::Effect;
use super::super::test_support::{config, owner, report};
use super::*;

/// A worker that can't reach its owner is relayed, and sent there again now and then.
#[test]
fn relaying_is_interrupted_now_and_then_and_bounded() {
    let config = config();
    let lease = config.deployment.workers.lease_s;
    let mut relays = Relays::new(&config);
    let machine = MachineId::from("m-1");
    let mut now = 0.0;
    while relays.begin(&machine, now) == Route::Relay {
        relays.end();
        now += 1.0;
    }
    assert!((lease * 10.0..lease * 10.0 + 2.0).contains(&now), "once more to the owner: {now}");
    assert_eq!(relays.begin(&machine, now + 5.0), Route::Relay, "which it still does not reach");
    assert_eq!(relays.begin(&"m-2".into(), now + lease * 3.0), Route::Relay);
    assert_eq!(relays.machines.len(), 1, "the first found its owner long ago");
    relays.under_way = relays.most;
    assert_eq!(relays.begin(&"m-3".into(), now + lease * 3.0), Route::Elsewhere);
}

/// A worker whose report could not be relayed was sent back to the owner that it can't reach, and its
/// lease ended while it waited there (`operations` of Suwanda: replicas lost 10 s after a cut).
#[test]
fn a_worker_that_is_not_relayed_is_not_sent_back_to_its_owner() {
    let mut core = Core::new(config(), 1);
    core.relays.under_way = 1;
    let report = report("m-1", 1, 1, Term(9));
    core.report_relayed(RequestId(1), &owner("n1"), report, None);
    let effects = core.io.take_effects();
    let refused = |effect: &Effect| {
        matches!(effect, Effect::Answer(RequestId(1), answer)
            if answer.status == 503 && answer.retry_after.is_some())
    };
    assert!(effects.iter().any(refused), "{effects:?}");
    assert_eq!(core.relays.under_way, 0);
}
