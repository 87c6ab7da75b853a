use super::*;
use crate::core::test_support;

fn heartbeat(agent_epoch: u64, sequence: u64) -> Heartbeat {
    test_support::heartbeat("m-1", agent_epoch, sequence, FencingToken(1))
}

/// Copies of reports arrive seconds to minutes late; they must prove nothing.
#[test]
fn copies_and_old_reports_are_recognised() {
    let mut machine = Machine::named("m-1".into(), FencingToken(1), 0.0);
    assert_eq!(
        machine.freshness(&heartbeat(1, 5), false),
        Freshness::NewReport { new_epoch: false }
    );
    assert_eq!(machine.freshness(&heartbeat(1, 5), false), Freshness::Copy);
    assert_eq!(
        machine.freshness(&heartbeat(1, 8), true),
        Freshness::NewReport { new_epoch: false }
    );
    assert_eq!(
        machine.freshness(&heartbeat(1, 7), false),
        Freshness::Overtaken
    );
    assert_eq!(machine.freshness(&heartbeat(1, 6), false), Freshness::Copy);
    machine.end_epoch();
    assert_eq!(machine.freshness(&heartbeat(1, 99), false), Freshness::Copy);
    assert_eq!(
        machine.freshness(&heartbeat(2, 1), false),
        Freshness::NewReport { new_epoch: true }
    );
}

/// Its lease ran out under another owner, whose tasks then came here with it: they live in the
/// later session (broken rules on hunted days, seconds after a move of a machine that had been
/// cut off before).
#[test]
fn a_session_from_before_the_hand_over_ends_nothing() {
    let mut machine = Machine::named("m-1".into(), FencingToken(1), 0.0);
    machine.is_owned = true;
    assert_eq!(
        machine.freshness(&heartbeat(1, 5), false),
        Freshness::NewReport { new_epoch: false }
    );
    machine.change_hands(FencingToken(2), false, 1.0);
    machine.change_hands(FencingToken(3), true, 2.0);
    // Without our token: first a copy from long ago, then the living machine.
    assert_eq!(
        machine.freshness(&heartbeat(1, 7), false),
        Freshness::NewReport { new_epoch: false }
    );
    assert_eq!(
        machine.freshness(&heartbeat(2, 1), false),
        Freshness::NewReport { new_epoch: false }
    );
    let shows = |agent_epoch, sequence| Heartbeat {
        token: FencingToken(3),
        ..heartbeat(agent_epoch, sequence)
    };
    assert_eq!(
        machine.freshness(&shows(2, 2), false),
        Freshness::NewReport { new_epoch: false }
    );
    assert_eq!(
        machine.freshness(&shows(3, 1), false),
        Freshness::NewReport { new_epoch: true }
    );
}

#[test]
fn the_least_recently_used_image_leaves_the_cache() {
    let mut machine = Machine::named("m-1".into(), FencingToken(1), 0.0);
    machine.cache_gb = 100.0;
    machine.fetch_rate = 2.0;
    for image in ["a", "b", "a", "c"] {
        machine.used_image(&image.into(), 40.0);
    }
    assert!(machine.has_image(&"a".into()) && machine.has_image(&"c".into()));
    assert!(!machine.has_image(&"b".into()));
    assert!(machine.ready_in(&"b".into(), 40.0, 0.0) > 20.0);
    assert_eq!(machine.ready_in(&"a".into(), 40.0, 0.0), 0.0);
}
