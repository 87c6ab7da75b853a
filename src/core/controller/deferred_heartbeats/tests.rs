use super::*;
use crate::core::effects::Effect;
use crate::core::records::shard_map::ShardEntry;
use crate::core::test_support::{apply_shard_map, heartbeat, owner, record_answers, running_core};
use crate::ids::FencingToken;

const START: Time = 100.0;

fn shard_with_machine(owner: ShardOwner) -> ShardEntry {
    ShardEntry {
        owner,
        teams: Vec::new(),
        machines: vec!["m-1".into()],
    }
}

/// Creates a core whose sibling n0 owns m-1 and stops answering one second after the start. `after` seconds
/// have passed since then, during which n2 still answers.
fn core_whose_sibling_fails(after: Time) -> Core {
    let mut core = running_core(2, START);
    apply_shard_map(&mut core.store, 30, vec![shard_with_machine(owner("n0"))]);
    record_answers(&mut core, &["n0", "n2"], START, START + 1.0);
    if after > 0.0 {
        record_answers(&mut core, &["n2"], START + 1.0, START + 1.0 + after);
    }
    core.store.record_store_reply(core.outbox.now);
    core.outbox.take_effects();
    core
}

/// Takes the effects, and returns the status of each answer to a worker and the controller that it
/// redirects to.
fn answers(core: &mut Core) -> Vec<(u16, Option<String>)> {
    let effects = core.outbox.take_effects();
    let answers = effects.into_iter().filter_map(|effect| match effect {
        Effect::Answer(_, answer) => {
            let to = match answer.body {
                crate::core::effects::Body::Json(body) => {
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

/// Asserts that the worker's heartbeat is deferred until the shard map names n2, and is then redirected
/// there.
fn assert_deferred_until_next_owner(mut core: Core) {
    core.answer_deferred_heartbeats();
    assert_eq!(answers(&mut core), []);
    apply_shard_map(
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
fn worker_is_redirected_to_an_owner_that_answers() {
    let mut core = core_whose_sibling_fails(0.0);
    worker_sends_heartbeat(&mut core, FencingToken(3));
    assert_eq!(answers(&mut core), [(421, Some("n0".into()))]);
}

/// A worker that is redirected to the silent owner would wait there for 4 s of its lease.
#[test]
fn worker_from_a_silent_owner_is_deferred_and_redirected_to_the_next_owner() {
    let mut core = core_whose_sibling_fails(2.5);
    core.store.apply_write(
        &crate::wire::Write::Delete {
            key: "ochredrum/node/n0".into(),
        },
        31,
    );
    worker_sends_heartbeat(&mut core, FencingToken(9));
    assert_deferred_until_next_owner(core);
}

#[test]
fn deferred_worker_is_redirected_to_a_sibling_that_answers_if_no_new_owner_appears() {
    let mut core = core_whose_sibling_fails(2.5);
    core.store.apply_write(
        &crate::wire::Write::Delete {
            key: "ochredrum/node/n0".into(),
        },
        31,
    );
    worker_sends_heartbeat(&mut core, FencingToken(9));
    let (now, report_s) = (core.outbox.now, core.config.deployment.workers.report_s);
    record_answers(&mut core, &["n2"], now, now + report_s);
    core.answer_deferred_heartbeats();
    assert_eq!(answers(&mut core), [(421, Some("n2".into()))]);
}

/// The worker's later token shows that this controller's copy of the shard map is stale.
#[test]
fn worker_with_a_later_token_is_not_redirected_by_a_stale_shard_map() {
    let mut core = core_whose_sibling_fails(0.0);
    worker_sends_heartbeat(&mut core, FencingToken(10));
    assert_deferred_until_next_owner(core);
}

/// An owner that does not answer a machine under its present token gets a new token. A worker that can't
/// reach the owner must not be redirected there, because it would wait for 4 s.
#[test]
fn deferred_heartbeat_is_relayed_again_once_its_owner_has_a_new_token() {
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
    apply_shard_map(
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

/// A controller that has ended its registration because no worker reached it would keep a worker waiting
/// for 4 s.
#[test]
fn worker_is_not_redirected_to_an_unregistered_sibling() {
    let mut core = core_whose_sibling_fails(2.5);
    for key in ["ochredrum/node/n0", "ochredrum/node/n2"] {
        core.store
            .apply_write(&crate::wire::Write::Delete { key: key.into() }, 31);
    }
    core.redirect_to_reachable_sibling(RequestId(1));
    assert_eq!(answers(&mut core), [(503, None)]);
}

#[test]
fn controller_that_cannot_read_the_store_redirects_workers_to_one_that_can() {
    let mut core = core_whose_sibling_fails(0.0);
    let now = core.outbox.now;
    record_answers(&mut core, &["n0", "n2"], now, now + 5.0);
    worker_sends_heartbeat(&mut core, FencingToken(3));
    assert_eq!(answers(&mut core), [(421, Some("n2".into()))]);
}

#[test]
fn number_of_deferred_heartbeats_is_limited() {
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
        "the heartbeat beyond the limit is redirected at once"
    );
}
