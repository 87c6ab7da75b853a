use super::*;
use crate::core::effects::StoreReply;
use crate::core::test_support::{record, shard_of_team_red, take_sent_records};

const DEPENDENTS: u64 = 200;
const STEPS: u64 = 3000;
const STEPS_PER_S: f64 = 200.0;

fn id(number: u64) -> JobId {
    format!("req-{number:06}").into()
}

/// Adds a pending job that depends on a cancelled job.
fn add_cancelled_dependent(shard: &mut Shard, store: &mut StoreReplica, number: u64, now: Time) {
    let dependency = JobId::from("req-999999");
    let cancelled = record(false).to_cancelled_unstarted(0);
    store.apply_write(&put(&job_key(&dependency), &cancelled, None), 6);
    let mut dependent = record(false);
    Rc::make_mut(dependent.spec.as_mut().unwrap()).dependencies = vec![dependency];
    store.apply_write(&put(&job_key(&id(number)), &dependent, None), 7);
    shard.apply_job_record(store, &id(number), &Rc::new(dependent), 7, (now, 0));
}

/// Guards against steps that examine every job whose cancellation waits to be recorded, although the write rate lets
/// them record a few in a second (docs/incidents/2026-12-dependents-in-every-step.md).
#[test]
fn steps_examine_only_the_dependents_whose_cancellation_is_due() {
    let (mut shard, mut outbox, mut store) = shard_of_team_red();
    for number in 0..DEPENDENTS {
        add_cancelled_dependent(&mut shard, &mut store, number, 0.0);
    }
    let before = shard.visits;
    let mut version = 8;
    for step in 0..STEPS {
        outbox.begin_step(step as f64 / STEPS_PER_S, 0);
        shard.record_dependent_cancellations(&mut outbox, &store);
        for effect in outbox.take_effects() {
            let (writes, _) = take_sent_records(&mut outbox, effect);
            let reply = StoreReply::Committed(version);
            shard.handle_records_reply(&mut outbox, &mut store, writes, reply);
            version += 1;
        }
    }
    let is_final = |number: u64| {
        let job = store.job(&id(number));
        job.is_some_and(|job| job.record.is_final())
    };
    assert!((0..DEPENDENTS).all(is_final));
    // Each job once to record it and once to find that it is recorded.
    let visits = shard.visits - before;
    assert!(visits <= 2 * DEPENDENTS, "{visits}");
}

/// Guards against a cancellation that waits behind retries of earlier ones, although it may be recorded at once.
#[test]
fn a_new_cancellation_is_recorded_before_earlier_ones_are_due_for_a_retry() {
    let (mut shard, mut outbox, mut store) = shard_of_team_red();
    let mut recorded_at = |shard: &mut Shard, store: &StoreReplica, now: Time| {
        outbox.begin_step(now, 0);
        shard.record_dependent_cancellations(&mut outbox, store);
        let effects = outbox.take_effects().into_iter();
        let sent = effects.flat_map(|effect| take_sent_records(&mut outbox, effect).0);
        sent.map(|write| write.job).collect::<Vec<_>>()
    };
    add_cancelled_dependent(&mut shard, &mut store, 1, 10.0);
    assert_eq!(recorded_at(&mut shard, &store, 10.0), [id(1)]);
    add_cancelled_dependent(&mut shard, &mut store, 1, 10.1);
    add_cancelled_dependent(&mut shard, &mut store, 2, 10.1);
    assert_eq!(recorded_at(&mut shard, &store, 10.1), [id(2)]);
    let retry_at = 10.1 + 2.0 * shard.config.deployment.workers.report_s;
    let mut retried = recorded_at(&mut shard, &store, retry_at);
    retried.sort();
    assert_eq!(retried, [id(1), id(2)], "neither write was confirmed");
}
