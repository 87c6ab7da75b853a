use super::*;
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::records::keys::job_key;
use crate::core::records::shard_map::ShardEntry;
use crate::core::records::versioned::put;
use crate::core::test_support::{apply_shard_map, owner, record, shard};

const JOBS: usize = 300;
const STEPS: u64 = 200;

/// Guards against steps that examine all jobs of a gained team while its machines have not reported yet, although
/// nothing has changed (docs/incidents/2026-12-unreconciled-in-every-step.md).
#[test]
fn steps_before_a_team_is_reconciled_do_not_examine_its_jobs() {
    let (mut shard, mut outbox, mut store) = shard();
    for job in 0..JOBS {
        let id = JobId::from(format!("req-{job:06}"));
        store.apply_write(&put(&job_key(&id), &record(false), None), 3);
    }
    store.set_revision(3);
    let shard_entry = ShardEntry {
        owner: owner("n0"),
        teams: vec!["red".into()],
        machines: vec!["m-000001".into()],
    };
    apply_shard_map(&mut store, 5, vec![shard_entry]);
    shard.apply_map_changes(&mut outbox, &store, &UnresponsiveMachines::default());
    assert_eq!(shard.jobs.len(), JOBS);
    let before = shard.visits;
    for _ in 0..STEPS {
        shard.reconcile_teams(&store, 0.0);
    }
    assert!(!shard.teams[&Team::from("red")].is_reconciled());
    assert_eq!(shard.visits, before);

    let machine = shard.machines.get_mut(&"m-000001".into()).unwrap();
    machine.known_empty = true;
    shard.reconcile_teams(&store, 0.0);
    assert!(shard.jobs.values().all(|job| job.unreconciled_count() == 0));
    shard.reconcile_teams(&store, 0.0);
    assert!(shard.visits - before <= JOBS as u64);
}
