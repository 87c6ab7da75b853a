use super::*;
use crate::core::effects::Effect;
use crate::core::jobs::job::Task;
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::records::shard_map::ShardEntry;
use crate::core::test_support::{map, owner, record, shard};
use std::rc::Rc;

/// The records of a transaction, and the transaction that was sent.
fn sent_records(outbox: &mut Outbox, effect: Effect) -> (Vec<RecordWrite>, Transaction) {
    let Effect::State(call, StoreCall::Commit(transaction)) = effect else {
        panic!("{effect:?}")
    };
    let Some(Pending::Records(writes)) = outbox.finish(call) else {
        panic!("not a transaction of records")
    };
    (writes, transaction)
}

/// A record that the store refuses for its size is not sent again; the final record, which is smaller, is.
#[test]
fn a_record_refused_for_its_size_is_not_written_again_unchanged() {
    let (mut shard, mut outbox, mut store) = shard();
    let mine = ShardEntry {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    map(&mut store, 5, vec![mine]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    let id = JobId::from("req-000001");
    store.apply_write(&put(&job_key(&id), &record(false), None), 9);
    shard.apply_job_record(&store, &id, &Rc::new(record(false)), 9, (0.0, 0));
    let done = |shard: &mut Shard, index| {
        let job = shard.jobs.get_mut(&id).unwrap();
        job.set(index, Task::Done, None);
        shard.queue_for_recording(&id, 0.0);
    };
    let write_after = |shard: &mut Shard, outbox: &mut Outbox, now: Time| {
        outbox.begin(now, 0);
        shard.record_progress(outbox);
        outbox.take_effects().pop()
    };
    done(&mut shard, 0);
    let effect = write_after(&mut shard, &mut outbox, 10.0).expect("progress is recorded");
    let (writes, _) = sent_records(&mut outbox, effect);
    shard.handle_records_reply(&mut outbox, &mut store, writes, StoreReply::Rejected);
    assert!(write_after(&mut shard, &mut outbox, 20.0).is_none());
    assert!(write_after(&mut shard, &mut outbox, 30.0).is_none());
    done(&mut shard, 1);
    assert!(
        write_after(&mut shard, &mut outbox, 40.0).is_some(),
        "the end fits"
    );
}

/// Jobs that end together are recorded together, within the limit on operations. After a conflict each is written
/// by itself, so that no job waits for another's conflict.
#[test]
fn jobs_recorded_together_are_written_alone_after_a_conflict() {
    let (mut shard, mut outbox, mut store) = shard();
    let mine = ShardEntry {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    map(&mut store, 5, vec![mine]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    let id = |number: u32| JobId::from(format!("req-{number:06}"));
    for number in 0..11 {
        store.apply_write(&put(&job_key(&id(number)), &record(false), None), 9);
        shard.apply_job_record(&store, &id(number), &Rc::new(record(false)), 9, (0.0, 0));
        let job = shard.jobs.get_mut(&id(number)).unwrap();
        job.set(0, Task::Done, None);
        job.set(1, Task::Done, None);
        shard.queue_for_recording(&id(number), 1.0);
    }
    let sent = |shard: &mut Shard, outbox: &mut Outbox, now| {
        outbox.begin(now, 0);
        shard.record_progress(outbox);
        let effects = outbox.take_effects();
        effects
            .into_iter()
            .map(|effect| sent_records(outbox, effect))
            .collect::<Vec<_>>()
    };
    let mut first = sent(&mut shard, &mut outbox, 1.0);
    let sizes: Vec<usize> = first.iter().map(|(_, sent)| sent.writes.len()).collect();
    assert_eq!(sizes, [8, 3], "at most eight operations each");
    assert!(
        first
            .iter()
            .all(|(_, sent)| sent.preconditions.len() == sent.writes.len())
    );
    let (second_writes, _) = first.remove(1);
    shard.handle_records_reply(
        &mut outbox,
        &mut store,
        second_writes,
        StoreReply::Committed(12),
    );
    let (first_writes, _) = first.remove(0);
    shard.handle_records_reply(&mut outbox, &mut store, first_writes, StoreReply::Conflict);
    let again = sent(&mut shard, &mut outbox, 1.1);
    assert_eq!(again.len(), 8, "at once, each by itself");
    assert!(again.iter().all(|(_, sent)| sent.writes.len() == 1));
}
