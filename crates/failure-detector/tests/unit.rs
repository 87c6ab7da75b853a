//! Tests of single rules of the detector and of the detection of partial failures.

#![allow(
    clippy::cast_possible_truncation,
    clippy::indexing_slicing,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    clippy::unwrap_used,
    reason = "a test fails by panicking, and states a whole case in one place"
)]

use failure_detector::{
    ControllerContacts, Detector, Incarnation, MIN_SUSPECT_HEARTBEATS, Opinion, PartialFailure,
    SUSPECT_HEARTBEATS, Settings, Stage,
};

const HEARTBEAT_S: f64 = 0.5;
const FIRST: Incarnation = Incarnation(7);
const SECOND: Incarnation = Incarnation(3);

fn settings(controllers: usize) -> Settings {
    Settings::new(HEARTBEAT_S, SUSPECT_HEARTBEATS, controllers)
}

/// Steps the observer 20 times per second from `from` to `until`. The controllers in `answering` answer a
/// heartbeat in each step.
fn advance(detector: &mut Detector<u8>, from: f64, until: f64, answering: &[u8]) {
    let mut now = from;
    while now < until {
        detector.begin_step(now);
        for controller in answering {
            detector.heartbeat_answered(controller, FIRST, now, now);
        }
        detector.update_stages(now);
        now += 0.05;
    }
}

fn suspicion(controller: u8, incarnation: Incarnation) -> Vec<Opinion<u8>> {
    vec![Opinion {
        controller,
        incarnation: Some(incarnation),
        silence_s: 3.0,
        suspects: true,
    }]
}

#[test]
fn settings_allow_for_one_lost_message_and_require_a_majority() {
    let raised = Settings::new(HEARTBEAT_S, 0.5, 3);
    assert_eq!(raised.suspect_after_s, HEARTBEAT_S * MIN_SUSPECT_HEARTBEATS);
    assert_eq!(
        (settings(3).quorum, settings(4).quorum, settings(5).quorum),
        (2, 3, 3)
    );
}

#[test]
fn silent_controller_is_suspected_then_confirmed_by_a_quorum_then_handed_over() {
    let mut detector = Detector::new([1, 2, 3, 4], settings(5));
    advance(&mut detector, 0.0, 5.0, &[1, 2, 3, 4]);
    advance(&mut detector, 5.0, 6.5, &[2, 3, 4]);
    assert_eq!(detector.stage(&1), Stage::Alive);
    advance(&mut detector, 6.5, 7.2, &[2, 3, 4]);
    assert_eq!(detector.stage(&1), Stage::Suspected);
    detector.receive_opinions(&2, suspicion(1, FIRST), 7.2);
    detector.update_stages(7.2);
    assert_eq!(
        detector.stage(&1),
        Stage::Suspected,
        "two of five do not form a quorum"
    );
    detector.receive_opinions(&3, suspicion(1, SECOND), 7.2);
    let changes = detector.update_stages(7.2);
    assert_eq!(
        (changes.len(), changes[0].to, changes[0].evidence.votes),
        (1, Stage::Confirmed, 3)
    );
    assert!(
        detector.update_stages(7.2).is_empty(),
        "each change is returned once"
    );
    assert!(detector.has_failed(&1) && !detector.has_failed(&2));
    detector.set_owns_nothing(&1, true);
    detector.update_stages(7.2);
    assert_eq!(detector.stage(&1), Stage::HandedOver);
    detector.heartbeat_answered(&1, SECOND, 7.3, 7.3);
    detector.update_stages(7.3);
    assert_eq!(detector.stage(&1), Stage::Alive, "its next process answers");
}

#[test]
fn expired_opinions_do_not_count() {
    let mut detector = Detector::new([1, 2], settings(3));
    advance(&mut detector, 0.0, 5.0, &[1, 2]);
    detector.receive_opinions(&2, suspicion(1, FIRST), 5.0);
    advance(&mut detector, 5.0, 7.5, &[2]);
    assert_eq!(
        detector.stage(&1),
        Stage::Suspected,
        "an opinion received 2.5 s ago does not count"
    );
}

#[test]
fn late_answer_of_an_earlier_process_is_ignored() {
    let mut detector = Detector::new([1, 2], settings(3));
    detector.begin_step(1.0);
    detector.heartbeat_answered(&1, SECOND, 1.0, 1.0);
    detector.heartbeat_answered(&1, FIRST, 0.4, 1.1);
    assert_eq!(detector.incarnation(&1), Some(SECOND));
}

#[test]
fn observer_does_not_suspect_others_after_its_own_pause() {
    let mut detector = Detector::new([1, 2], settings(3));
    advance(&mut detector, 0.0, 5.0, &[1, 2]);
    advance(&mut detector, 25.0, 26.0, &[]);
    assert_eq!(
        (detector.stage(&1), detector.stage(&2)),
        (Stage::Alive, Stage::Alive)
    );
    advance(&mut detector, 26.0, 33.0, &[2]);
    assert_eq!(
        (detector.stage(&1), detector.stage(&2)),
        (Stage::Suspected, Stage::Alive)
    );
}

#[test]
fn refuted_suspicion_raises_the_threshold_for_a_limited_time() {
    let mut detector = Detector::new([1, 2], settings(3));
    let suspected_after = |detector: &mut Detector<u8>, mut now: f64| {
        let start = now;
        while detector.stage(&1) == Stage::Alive {
            advance(detector, now, now + 0.04, &[2]);
            now += 0.05;
        }
        now - start
    };
    advance(&mut detector, 0.0, 5.0, &[1, 2]);
    let first = suspected_after(&mut detector, 5.0);
    advance(&mut detector, 5.0 + first, 20.0, &[1, 2]);
    let second = suspected_after(&mut detector, 20.0);
    assert!(second > first * 1.2, "{first} {second}");
    advance(&mut detector, 20.0 + second, 80.0, &[1, 2]);
    let third = suspected_after(&mut detector, 80.0);
    assert!((third - first).abs() < 0.5, "{first} {third}");
}

#[test]
fn slow_observer_has_higher_thresholds() {
    let mut detector = Detector::new([1, 2], settings(3));
    advance(&mut detector, 0.0, 5.0, &[1, 2]);
    let mut now = 5.0;
    while now < 7.7 {
        detector.begin_step(now);
        detector.update_stages(now);
        now += 0.4;
    }
    assert_eq!(
        detector.stage(&1),
        Stage::Alive,
        "its own steps are 0.4 s apart"
    );
    while now < 12.0 {
        detector.begin_step(now);
        detector.update_stages(now);
        now += 0.4;
    }
    assert_eq!(
        detector.stage(&1),
        Stage::Suspected,
        "the threshold is at most twelve heartbeats"
    );
}

#[test]
fn workers_that_switched_to_the_observer_lower_the_threshold() {
    let mut detector = Detector::new([1, 2], settings(3));
    advance(&mut detector, 0.0, 5.0, &[1, 2]);
    detector.worker_left(&1, 6.0);
    advance(&mut detector, 5.0, 6.8, &[2]);
    assert_eq!(detector.stage(&1), Stage::Suspected);
}

#[test]
fn isolated_observer_sends_no_opinions() {
    let mut detector = Detector::new([1, 2], settings(3));
    advance(&mut detector, 0.0, 5.0, &[1, 2]);
    assert_eq!(detector.opinions_to_send(5.0).len(), 2);
    advance(&mut detector, 5.0, 9.0, &[]);
    assert_eq!(detector.stage(&1), Stage::Suspected);
    assert!(detector.opinions_to_send(9.0).is_empty());
}

fn contact() -> ControllerContacts {
    ControllerContacts {
        report_s: 3.0,
        key_lifetime_s: 4.9,
        lease_s: 14.0,
        machines: 10,
        others_reachable: 4,
        ..ControllerContacts::default()
    }
}

#[test]
fn cut_from_workers_requires_that_others_reach_them() {
    let silent = ControllerContacts {
        worker_silence_s: 5.0,
        ..contact()
    };
    assert_eq!(
        silent.partial_failure(),
        None,
        "all machines may have failed"
    );
    let few_elsewhere = ControllerContacts {
        machines_reaching_others: 4,
        ..silent
    };
    assert_eq!(few_elsewhere.partial_failure(), None);
    let half_elsewhere = ControllerContacts {
        machines_reaching_others: 5,
        ..silent
    };
    assert_eq!(
        half_elsewhere.partial_failure(),
        Some(PartialFailure::CutFromWorkers)
    );
    let recently_silent = ControllerContacts {
        worker_silence_s: 4.0,
        ..half_elsewhere
    };
    assert_eq!(
        recently_silent.partial_failure(),
        None,
        "workers send heartbeats about every 3 s"
    );
    let one_redirected = ControllerContacts {
        others_redirect_workers: true,
        ..silent
    };
    assert_eq!(
        one_redirected.partial_failure(),
        None,
        "a worker may switch controllers for other reasons"
    );
    let silent_for_long = ControllerContacts {
        worker_silence_s: 6.1,
        ..one_redirected
    };
    assert_eq!(
        silent_for_long.partial_failure(),
        Some(PartialFailure::CutFromWorkers)
    );
    let without_machines = ControllerContacts {
        machines: 0,
        ..half_elsewhere
    };
    assert_eq!(
        without_machines.partial_failure(),
        None,
        "it has no workers"
    );
}

#[test]
fn outage_of_the_store_for_all_is_not_a_partial_failure() {
    let refused = ControllerContacts {
        store_silence_s: 3.0,
        refusals: 3,
        ..contact()
    };
    assert_eq!(refused.partial_failure(), None);
    let others_served_by_store = ControllerContacts {
        others_served_by_store: 3,
        ..refused
    };
    assert_eq!(
        others_served_by_store.partial_failure(),
        Some(PartialFailure::RefusedByStore)
    );
    let half_served = ControllerContacts {
        others_served_by_store: 2,
        ..refused
    };
    assert_eq!(
        half_served.partial_failure(),
        None,
        "the store may be failing for all"
    );
    let unanswered = ControllerContacts {
        refusals: 0,
        ..others_served_by_store
    };
    assert_eq!(
        unanswered.partial_failure(),
        None,
        "a missing answer is not a refusal"
    );
}
