use super::*;
use crate::core::effects::Effect;
use crate::core::records::shard_map::ShardEntry;
use crate::core::test_support::{answered_until, heartbeat, map, owner, running_core};
use crate::ids::FencingToken;

const START: Time = 100.0;

fn shard_with_machine(owner: ShardOwner) -> ShardEntry {
    ShardEntry {
        owner,
        teams: Vec::new(),
        machines: vec!["m-1".into()],
    }
}

/// n0 owns m-1; it answered until a second after the start, the others still do.
fn core_whose_sibling_fails(after: Time) -> Core {
    let mut core = running_core(2, START);
    map(&mut core.store, 30, vec![shard_with_machine(owner("n0"))]);
    answered_until(&mut core, &["n0", "n2"], START, START + 1.0);
    if after > 0.0 {
        answered_until(&mut core, &["n2"], START + 1.0, START + 1.0 + after);
    }
    core.store.state_answered(core.outbox.now);
    core.outbox.take_effects();
    core
}

/// Statuses of the answers to workers, and where they are redirected.
fn answers(core: &mut Core) -> Vec<(u16, Option<String>)> {
    let effects = core.outbox.take_effects();
    let answers = effects.into_iter().filter_map(|effect| match effect {
        Effect::Answer(_, answer) => {
            let to = match answer.body {
                crate::core::effects::Body::Value(body) => {
                    body["conductor"].as_str().map(str::to_owned)
                }
                _ => None,
            };
            Some((answer.status, to))
        }
        _ => None,
    });
    answers.collect()
}

fn worker_sends_heartbeat(core: &mut Core, token: FencingToken) {
    core.receive_heartbeat(RequestId(1), heartbeat("m-1", 1, 5, token));
}

/// The worker's heartbeat is deferred until the shard map names n2.
fn assert_sent_to_the_next_owner(mut core: Core) {
    core.answer_deferred_heartbeats();
    assert_eq!(answers(&mut core), []);
    map(
        &mut core.store,
        32,
        vec![shard_with_machine(ShardOwner {
            token: FencingToken(10),
            ..owner("n2")
        })],
    );
    core.answer_deferred_heartbeats();
    assert_eq!(answers(&mut core), [(421, Some("n2".into()))]);
}

#[test]
fn a_worker_is_redirected_to_an_owner_that_answers() {
    let mut core = core_whose_sibling_fails(0.0);
    worker_sends_heartbeat(&mut core, FencingToken(3));
    assert_eq!(answers(&mut core), [(421, Some("n0".into()))]);
}

/// At the silent owner it would wait for 4 s of its lease.
#[test]
fn a_worker_that_left_a_silent_owner_is_deferred_and_redirected_to_the_next_owner() {
    let mut core = core_whose_sibling_fails(2.5);
    core.store.apply_write(
        &crate::wire::Write::Delete {
            key: "ochredrum/node/n0".into(),
        },
        31,
    );
    worker_sends_heartbeat(&mut core, FencingToken(9));
    assert_sent_to_the_next_owner(core);
}

#[test]
fn without_a_new_owner_a_deferred_worker_is_redirected_to_a_sibling_that_answers() {
    let mut core = core_whose_sibling_fails(2.5);
    core.store.apply_write(
        &crate::wire::Write::Delete {
            key: "ochredrum/node/n0".into(),
        },
        31,
    );
    worker_sends_heartbeat(&mut core, FencingToken(9));
    let (now, report_s) = (core.outbox.now, core.config.deployment.workers.report_s);
    answered_until(&mut core, &["n2"], now, now + report_s);
    core.answer_deferred_heartbeats();
    assert_eq!(answers(&mut core), [(421, Some("n2".into()))]);
}

/// The shard map that is known here is older than what the worker has seen.
#[test]
fn a_worker_that_has_seen_a_later_token_is_not_redirected_by_the_old_shard_map() {
    let mut core = core_whose_sibling_fails(0.0);
    worker_sends_heartbeat(&mut core, FencingToken(10));
    assert_sent_to_the_next_owner(core);
}

/// An owner that does not answer a machine under its present token gets a new one. A worker that can't reach the
/// owner must not be redirected there, where it would wait for 4 s.
#[test]
fn a_heartbeat_is_relayed_again_once_its_owner_has_a_new_token() {
    let mut core = core_whose_sibling_fails(0.0);
    core.relays.mark_relayed(&"m-1".into(), core.outbox.now);
    core.finish_heartbeat_relay(
        RequestId(1),
        &owner("n0"),
        heartbeat("m-1", 1, 5, FencingToken(9)),
        None,
    );
    core.answer_deferred_heartbeats();
    assert_eq!(answers(&mut core), []);
    map(
        &mut core.store,
        32,
        vec![shard_with_machine(ShardOwner {
            token: FencingToken(10),
            ..owner("n0")
        })],
    );
    core.answer_deferred_heartbeats();
    let effects = core.outbox.take_effects();
    let relayed = |effect: &Effect| matches!(effect, Effect::Mesh(_, to, _) if to.as_str() == "n0");
    assert!(effects.iter().any(relayed), "{effects:?}");
}

/// A controller that gave up its registration since no worker reached it would keep a worker waiting for 4 s.
#[test]
fn no_worker_is_redirected_to_a_sibling_that_is_not_registered() {
    let mut core = core_whose_sibling_fails(2.5);
    for key in ["ochredrum/node/n0", "ochredrum/node/n2"] {
        core.store
            .apply_write(&crate::wire::Write::Delete { key: key.into() }, 31);
    }
    core.redirect_to_reachable(RequestId(1));
    assert_eq!(answers(&mut core), [(503, None)]);
}

#[test]
fn a_controller_without_the_store_redirects_workers_to_one_with_it() {
    let mut core = core_whose_sibling_fails(0.0);
    let now = core.outbox.now;
    answered_until(&mut core, &["n0", "n2"], now, now + 5.0);
    worker_sends_heartbeat(&mut core, FencingToken(3));
    assert_eq!(answers(&mut core), [(421, Some("n2".into()))]);
}

#[test]
fn the_number_of_deferred_heartbeats_is_bounded() {
    let mut core = core_whose_sibling_fails(2.5);
    core.store.apply_write(
        &crate::wire::Write::Delete {
            key: "ochredrum/node/n0".into(),
        },
        31,
    );
    for _ in 0..=core.deferred_heartbeats.limit {
        worker_sends_heartbeat(&mut core, FencingToken(9));
    }
    assert_eq!(
        core.deferred_heartbeats.heartbeats.len(),
        core.deferred_heartbeats.limit
    );
    assert_eq!(
        answers(&mut core),
        [(421, Some("n2".into()))],
        "the rest is redirected at once"
    );
}
