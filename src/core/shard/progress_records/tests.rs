use super::*;
use crate::core::jobs::job::Task;
use crate::core::test_support::{record, shard_of_team_red, take_sent_records};
use std::rc::Rc;

/// A record that the store rejected for its size would be rejected again and would use up the write rate. The
/// final record is smaller, so it is still written.
#[test]
fn a_record_rejected_for_its_size_is_not_retried_unchanged() {
    let (mut shard, mut outbox, mut store) = shard_of_team_red();
    let id = JobId::from("req-000001");
    store.apply_write(&put(&job_key(&id), &record(false), None), 9);
    shard.apply_job_record(&store, &id, &Rc::new(record(false)), 9, (0.0, 0));
    let finish_task = |shard: &mut Shard, index| {
        let job = shard.jobs.get_mut(&id).unwrap();
        job.set_task(index, Task::Done, None);
        shard.queue_for_recording(&id, 0.0);
    };
    let record_at = |shard: &mut Shard, outbox: &mut Outbox, now: Time| {
        outbox.begin_step(now, 0);
        shard.record_progress(outbox);
        outbox.take_effects().pop()
    };
    finish_task(&mut shard, 0);
    let effect = record_at(&mut shard, &mut outbox, 10.0).expect("progress is recorded");
    let (writes, _) = take_sent_records(&mut outbox, effect);
    shard.handle_records_reply(&mut outbox, &mut store, writes, StoreReply::Rejected);
    assert!(record_at(&mut shard, &mut outbox, 20.0).is_none());
    assert!(record_at(&mut shard, &mut outbox, 30.0).is_none());
    finish_task(&mut shard, 1);
    assert!(
        record_at(&mut shard, &mut outbox, 40.0).is_some(),
        "the final record is smaller"
    );
}

/// Jobs that complete at the same time share transactions, within the limit on operations. After a conflict
/// each job of the transaction is written separately, so that it is not delayed by another job's conflict.
#[test]
fn batched_job_records_are_written_separately_after_a_conflict() {
    let (mut shard, mut outbox, mut store) = shard_of_team_red();
    let id = |number: u32| JobId::from(format!("req-{number:06}"));
    for number in 0..11 {
        store.apply_write(&put(&job_key(&id(number)), &record(false), None), 9);
        shard.apply_job_record(&store, &id(number), &Rc::new(record(false)), 9, (0.0, 0));
        let job = shard.jobs.get_mut(&id(number)).unwrap();
        job.set_task(0, Task::Done, None);
        job.set_task(1, Task::Done, None);
        shard.queue_for_recording(&id(number), 1.0);
    }
    let send_records_at = |shard: &mut Shard, outbox: &mut Outbox, now| {
        outbox.begin_step(now, 0);
        shard.record_progress(outbox);
        let effects = outbox.take_effects();
        effects
            .into_iter()
            .map(|effect| take_sent_records(outbox, effect))
            .collect::<Vec<_>>()
    };
    let mut first = send_records_at(&mut shard, &mut outbox, 1.0);
    let sizes: Vec<usize> = first
        .iter()
        .map(|(_, transaction)| transaction.writes.len())
        .collect();
    assert_eq!(sizes, [8, 3], "at most eight operations per transaction");
    assert!(
        first
            .iter()
            .all(|(_, transaction)| transaction.preconditions.len() == transaction.writes.len())
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
    let again = send_records_at(&mut shard, &mut outbox, 1.1);
    assert_eq!(
        again.len(),
        8,
        "retried at once, each in its own transaction"
    );
    assert!(
        again
            .iter()
            .all(|(_, transaction)| transaction.writes.len() == 1)
    );
}
