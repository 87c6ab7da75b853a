use super::*;
use crate::core::effects::StoreReply;
use crate::core::test_support::{record, shard_of_team_red, take_sent_records};
use crate::ids::JobId;
use std::rc::Rc;

const DEPENDENTS: u64 = 200;
const STEPS: u64 = 3000;
const STEPS_PER_S: f64 = 200.0;

/// Guards against steps that examine every job whose cancellation waits to be recorded, although the write rate lets
/// them record a few in a second (docs/incidents/2026-12-dependents-in-every-step.md).
#[test]
fn steps_examine_only_the_dependents_whose_cancellation_is_due() {
    let (mut shard, mut outbox, mut store) = shard_of_team_red();
    let root = JobId::from("req-999999");
    let cancelled = record(false).to_cancelled_unstarted(0);
    store.apply_write(&put(&job_key(&root), &cancelled, None), 6);
    for number in 0..DEPENDENTS {
        let id = JobId::from(format!("req-{number:06}"));
        let mut dependent = record(false);
        let mut spec = (*dependent.spec.unwrap()).clone();
        spec.dependencies = vec![root.clone()];
        dependent.spec = Some(Rc::new(spec));
        store.apply_write(&put(&job_key(&id), &dependent, None), 7);
        shard.apply_job_record(&store, &id, &Rc::new(dependent), 7, (0.0, 0));
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
    let is_final = |id: u64| {
        let id = JobId::from(format!("req-{id:06}"));
        store.job(&id).is_some_and(|job| job.record.is_final())
    };
    assert!((0..DEPENDENTS).all(is_final));
    // Each job once to record it and once to find that it is recorded.
    let visits = shard.visits - before;
    assert!(visits <= 2 * DEPENDENTS, "{visits}");
}
