use super::super::Effect;
use super::super::jobs::Task;
use super::super::part_map::Share;
use super::super::test_support::{map, owner, record, share};
use super::super::unresponsive::UnresponsiveMachines;
use super::*;
use std::rc::Rc;

/// A transaction of records, and what it was sent as.
fn records(io: &mut Io, effect: Effect) -> (Vec<RecordWrite>, Transaction) {
    let Effect::State(call, StateCall::Commit(transaction)) = effect else {
        panic!("{effect:?}")
    };
    let Some(Pending::Records(writes)) = io.finish(call) else {
        panic!("not of records")
    };
    (writes, transaction)
}

/// What the state service refuses for its size is not sent again; the end of the job, which is smaller,
/// still is.
#[test]
fn a_record_refused_for_its_size_is_not_written_again_unchanged() {
    let (mut share, mut io, mut view) = share();
    let mine = Share {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    map(&mut view, 5, vec![mine]);
    share.follow_map(&mut io, &view, &UnresponsiveMachines::default());
    let id = JobId::from("req-000001");
    view.apply_write(&put(&job_key(&id), &record(false), None), 9);
    share.take_job(&view, &id, &Rc::new(record(false)), 9, (0.0, 0));
    let done = |share: &mut Owner, index| {
        let job = share.jobs.get_mut(&id).unwrap();
        job.set(index, Task::Done, None);
        share.note_progress(&id, 0.0);
    };
    let write_after = |share: &mut Owner, io: &mut Io, now: Time| {
        io.begin(now, 0);
        share.record_progress(io);
        io.take_effects().pop()
    };
    done(&mut share, 0);
    let effect = write_after(&mut share, &mut io, 10.0).expect("progress is recorded");
    let (writes, _) = records(&mut io, effect);
    share.records_written(&mut io, &mut view, writes, StateReply::Rejected);
    assert!(write_after(&mut share, &mut io, 20.0).is_none());
    assert!(write_after(&mut share, &mut io, 30.0).is_none());
    done(&mut share, 1);
    assert!(
        write_after(&mut share, &mut io, 40.0).is_some(),
        "the end fits"
    );
}

/// Jobs that end together are recorded together, within the limit on operations; a conflict of one
/// makes each be written by itself, so that the others don't wait for it.
#[test]
fn ends_are_recorded_together_and_one_conflict_fails_no_other() {
    let (mut share, mut io, mut view) = share();
    let mine = Share {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: vec![],
    };
    map(&mut view, 5, vec![mine]);
    share.follow_map(&mut io, &view, &UnresponsiveMachines::default());
    let id = |number: u32| JobId::from(format!("req-{number:06}"));
    for number in 0..11 {
        view.apply_write(&put(&job_key(&id(number)), &record(false), None), 9);
        share.take_job(&view, &id(number), &Rc::new(record(false)), 9, (0.0, 0));
        let job = share.jobs.get_mut(&id(number)).unwrap();
        job.set(0, Task::Done, None);
        job.set(1, Task::Done, None);
        share.note_progress(&id(number), 1.0);
    }
    let sent = |share: &mut Owner, io: &mut Io, now| {
        io.begin(now, 0);
        share.record_progress(io);
        let effects = io.take_effects();
        effects
            .into_iter()
            .map(|effect| records(io, effect))
            .collect::<Vec<_>>()
    };
    let mut first = sent(&mut share, &mut io, 1.0);
    let sizes: Vec<usize> = first.iter().map(|(_, sent)| sent.writes.len()).collect();
    assert_eq!(sizes, [8, 3], "at most eight operations each");
    assert!(
        first
            .iter()
            .all(|(_, sent)| sent.guards.len() == sent.writes.len())
    );
    let (second_writes, _) = first.remove(1);
    share.records_written(&mut io, &mut view, second_writes, StateReply::Committed(12));
    let (first_writes, _) = first.remove(0);
    share.records_written(&mut io, &mut view, first_writes, StateReply::Conflict);
    let again = sent(&mut share, &mut io, 1.1);
    assert_eq!(again.len(), 8, "at once, each by itself");
    assert!(again.iter().all(|(_, sent)| sent.writes.len() == 1));
}
