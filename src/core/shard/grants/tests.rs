use super::*;
use crate::config::Config;
use crate::core::effects::{CallId, Effect, StoreCall};
use crate::core::leader::Leader;
use crate::core::leader::shard_map_editor::ShardMapEditor;
use crate::core::machines::machine::TrackedAttempt;
use crate::core::machines::unresponsive::UnresponsiveMachines;
use crate::core::model::resources::Resources;
use crate::core::records::job_record::JobRecord;
use crate::core::records::keys::node_key;
use crate::core::records::process_record::ProcessRecord;
use crate::core::records::shard_map::{ShardEntry, ShardMapChunk, ShardOwner};
use crate::core::test_support::{owner, record, share_with};
use crate::features::Features;
use crate::ids::{Attempt, TaskId};
use crate::wire::JobSpec;
use quota_ledger::{Amount, TeamLedger};
use std::collections::BTreeMap;
use std::rc::Rc;

const RED: &str = "red";
const FEATURES: &str = "[quota_ledger]\nenabled = true\nheadroom = 0.125\ngive_back_leases = 1.0\n";

fn config() -> Config {
    config_with_limit(16.0)
}

fn config_with_limit(gpus: f64) -> Config {
    let limited = format!("teams = [{{ name = \"red\", gpus = 4.0, gpus_max = {gpus:?} }}]");
    let text = crate::config::TEST_SETTINGS.replace(r#"teams = [{ name = "red" }]"#, &limited);
    let mut config = Config::parse(&text).unwrap();
    config.features = Features::parse(FEATURES).unwrap();
    config
}

/// A shard that has just gained the team under `token`, whose owners have kept to their grants since the
/// fencing token `kept_since`.
struct Scene {
    shard: Shard,
    outbox: Outbox,
    store: StoreReplica,
    version: Version,
}

impl Scene {
    fn new(token: u64, kept_since: Option<u64>, stored: Option<serde_json::Value>) -> Self {
        Self::with(config(), token, kept_since, stored)
    }

    fn with(
        config: Config,
        token: u64,
        kept_since: Option<u64>,
        stored: Option<serde_json::Value>,
    ) -> Self {
        let (shard, outbox, store) = share_with(config);
        let mut scene = Self {
            shard,
            outbox,
            store,
            version: 10,
        };
        if let Some(value) = stored {
            scene.store(&value);
        }
        scene.assign("n0", token, kept_since);
        scene
    }

    fn store(&mut self, value: &serde_json::Value) {
        self.version += 1;
        let write = Write::Put {
            key: key(),
            value: value.clone(),
            lease: None,
        };
        self.store.apply_write(&write, self.version);
    }

    /// Assigns the team to the process on `node` in the shard map.
    fn assign(&mut self, node: &str, token: u64, kept_since: Option<u64>) {
        self.version += 1;
        let owner = ShardOwner {
            token: FencingToken(token),
            ..owner(node)
        };
        let shards = vec![ShardEntry {
            owner,
            teams: vec![RED.into()],
            machines: vec!["m-1".into()],
        }];
        let grants_kept_since = kept_since.map(|token| (Team::from(RED), FencingToken(token)));
        let chunk = ShardMapChunk {
            shards,
            grants_kept_since: grants_kept_since.into_iter().collect(),
        };
        self.store
            .apply_write(&put(&teams_key(), &chunk, None), self.version);
        let unresponsive = UnresponsiveMachines::default();
        self.shard
            .apply_map_changes(&mut self.outbox, &self.store, &unresponsive);
        self.shard.read_grant_records(&self.store);
    }

    /// The store replica has read up to the revision of the shard map.
    fn synced(&mut self) {
        self.store.read_up_to(self.version);
        self.shard.read_grant_records(&self.store);
    }

    fn reconcile(&mut self) {
        self.shard
            .teams
            .get_mut(&Team::from(RED))
            .unwrap()
            .unreconciled
            .clear();
    }

    fn basis(&self) -> Basis {
        self.shard.teams[&Team::from(RED)]
            .grant
            .as_ref()
            .unwrap()
            .basis()
    }

    fn usage(&self) -> Usage {
        self.shard.usage(&self.store, 0)
    }

    fn allows(&self, gpus: f64) -> bool {
        self.usage()
            .allows(&self.shard.config.deployment.teams[0], 0.0, gpus)
    }

    /// Adds a running task that was started here.
    fn add_running_task(&mut self, gpus: f64) {
        let machine = self.shard.machines.get_mut(&"m-1".into()).unwrap();
        let mut tracked = TrackedAttempt::new(0.0);
        tracked.resources = Some(Resources {
            gpus,
            ..Resources::default()
        });
        tracked.team = Some(RED.into());
        let task = TaskId {
            job: "req-000009".into(),
            index: 0,
        };
        machine
            .attempts
            .insert((task, Attempt((9 << 16) + 1)), tracked);
    }

    /// The transaction that is written to the state service now.
    fn write(&mut self) -> Option<(CallId, Transaction)> {
        let usage = self.usage();
        self.shard
            .write_grants(&mut self.outbox, &self.store, &usage);
        self.effects()
    }

    fn effects(&mut self) -> Option<(CallId, Transaction)> {
        self.outbox
            .take_effects()
            .into_iter()
            .find_map(|effect| match effect {
                Effect::State(call, StoreCall::Commit(transaction)) => Some((call, transaction)),
                _ => None,
            })
    }

    fn answer(&mut self, call: CallId, reply: StoreReply) {
        let Some(Pending::Grant(written)) = self.outbox.finish(call) else {
            panic!("a grant")
        };
        if let StoreReply::Committed(version) = reply {
            self.version = version;
        }
        self.shard
            .handle_grant_reply(&mut self.outbox, &mut self.store, written, reply);
        self.shard.read_grant_records(&self.store);
    }
}

fn key() -> String {
    quota_key(&RED.into()).unwrap()
}

/// A record that was begun under the fencing token `began`, in which another process has a grant.
fn held_by_other(began: u64, gpus: f64) -> serde_json::Value {
    let holder = HolderId {
        term: began,
        incarnation: 7,
        node: "n1".into(),
    };
    serde_json::to_value(TeamLedger::begin(&holder, Amount::covering(0.0, gpus))).unwrap()
}

#[test]
fn a_new_owner_can_use_the_limit_less_grants_of_others() {
    let mut scene = Scene::new(9, Some(5), Some(held_by_other(5, 10.0)));
    assert_eq!(scene.basis(), Basis::Undecided);
    assert!(
        !scene.allows(1.0),
        "there may be a record that it has not read"
    );
    scene.synced();
    assert!(!scene.allows(1.0), "it has no grant yet");
    let (call, transaction) = scene.write().unwrap();
    let guarded: Vec<&str> = transaction
        .preconditions
        .iter()
        .map(|precondition| precondition.key.as_str())
        .collect();
    assert_eq!(
        guarded,
        [key().as_str(), teams_key().as_str()],
        "fenced by the map"
    );
    scene.answer(call, StoreReply::Committed(30));
    assert!(scene.allows(2.0), "its headroom, an eighth of the limit");
    assert!(!scene.allows(7.0), "10 of 16 are granted to another");
}

#[test]
fn a_record_is_relied_on_only_if_all_owners_have_kept_to_their_grants() {
    for (since, relied_on) in [(Some(5), true), (Some(6), false), (None, false)] {
        let mut scene = Scene::new(9, since, Some(held_by_other(5, 10.0)));
        scene.synced();
        let counting = Basis::Counting { beginning: None };
        assert_eq!(scene.basis() != counting, relied_on, "{since:?}");
    }
}

#[test]
fn a_damaged_record_is_ignored_and_replaced_after_reconciliation() {
    for damaged in [
        serde_json::json!({"v": 9, "b": 5, "g": []}),
        serde_json::json!("grants"),
        serde_json::json!({"v": 1, "b": 5, "g": [{"h": {"t": 1, "i": 1, "n": ""}, "a": {}}]}),
        serde_json::json!({"v": 1, "b": 5, "g": [], "f": {"g": u64::MAX}}),
    ] {
        let mut scene = Scene::new(9, Some(5), Some(damaged));
        scene.synced();
        assert_eq!(scene.basis(), Basis::Counting { beginning: None });
        assert!(scene.allows(16.0), "as without a record");
        assert!(scene.write().is_none(), "what runs is not known yet");
        scene.reconcile();
        let (_, transaction) = scene.write().unwrap();
        assert_eq!(
            transaction.preconditions[0].version, 11,
            "in place of the damaged one"
        );
    }
}

#[test]
fn starts_stay_within_a_record_whose_creation_has_an_unknown_outcome() {
    let mut scene = Scene::new(9, Some(9), None);
    scene.synced();
    scene.reconcile();
    let (call, _) = scene.write().unwrap();
    scene.answer(call, StoreReply::Unknown);
    assert_eq!(
        scene.basis(),
        Basis::Counting {
            beginning: Some(Amount::covering(0.0, 2.0))
        }
    );
    assert!(scene.allows(2.0) && !scene.allows(3.0));
    // It was carried out all the same, and others rely on it.
    let ledger = TeamLedger::begin(
        &HolderId {
            term: 9,
            incarnation: 1,
            node: "n0".into(),
        },
        Amount::covering(0.0, 2.0),
    );
    scene.store(&serde_json::to_value(ledger).unwrap());
    scene.synced();
    assert!(scene.allows(2.0) && !scene.allows(3.0));
}

#[test]
fn an_owner_that_loses_the_team_returns_its_unused_grant() {
    let mut scene = Scene::new(9, Some(9), None);
    scene.synced();
    scene.reconcile();
    let (call, _) = scene.write().unwrap();
    scene.answer(call, StoreReply::Committed(30));
    scene.assign("n1", 12, Some(9));
    let (_, transaction) = scene.effects().unwrap();
    assert_eq!(
        transaction.preconditions.len(),
        1,
        "it no longer owns the team and only returns its grant"
    );
    let Write::Put { value, .. } = &transaction.writes[0] else {
        panic!("a record")
    };
    let ledger = TeamLedger::decode(value).unwrap();
    assert!(ledger.grants().is_empty(), "nothing of it runs: {ledger:?}");
}

#[test]
fn running_tasks_stay_granted_when_the_team_is_lost() {
    let mut scene = Scene::new(9, Some(9), None);
    scene.synced();
    scene.reconcile();
    let (call, _) = scene.write().unwrap();
    scene.answer(call, StoreReply::Committed(30));
    scene.add_running_task(1.5);
    scene.assign("n1", 12, Some(9));
    let (_, transaction) = scene.effects().unwrap();
    let Write::Put { value, .. } = &transaction.writes[0] else {
        panic!("a record")
    };
    let ledger = TeamLedger::decode(value).unwrap();
    assert_eq!(ledger.grants()[0].amount, Amount::covering(0.0, 1.5));
}

/// Tasks that cannot be granted now must not keep resources on machines from other teams.
#[test]
fn requests_do_not_exceed_the_limit_less_grants_of_others() {
    let mut scene = Scene::new(9, Some(5), Some(held_by_other(5, 10.0)));
    scene.synced();
    let team_limits = scene.shard.config.deployment.teams[0].clone();
    let need = Resources {
        gpus: 1.0,
        ..Resources::default()
    };
    let mut usage = scene.usage();
    assert_eq!(
        usage.tasks_within_limit(&team_limits, &need, 16),
        6,
        "of 16 others hold 10"
    );
    assert_eq!(usage.admit_under_grant(&team_limits, &need, 6, false), 0);
    let (waiting, next) = usage.blocked_by_grant(&RED.into());
    assert_eq!(
        (waiting, next),
        (Amount::covering(0.0, 6.0), Amount::covering(0.0, 1.0))
    );
    assert_eq!(
        usage.admit_under_grant(&team_limits, &need, 6, true),
        0,
        "a gang starts whole"
    );
}

/// Tasks of other owners count up to those owners' grants, however many there may be.
#[test]
fn unknown_usage_counts_up_to_the_outstanding_grants() {
    let mut scene = Scene::new(9, Some(5), Some(held_by_other(5, 10.0)));
    scene.synced();
    let (_, inherited) = scene.usage().own_and_inherited(&RED.into());
    assert_eq!(inherited, Amount::ZERO, "nothing may run yet");
    let spec = record(false).spec.unwrap();
    let mut waiting = JobRecord {
        tasks: 1000,
        ..record(false)
    };
    waiting.spec = Some(Rc::new(JobSpec {
        tasks: 1000,
        ..(*spec).clone()
    }));
    let taken_at = (0.0, 0);
    scene.shard.apply_job_record(
        &scene.store,
        &"req-000001".into(),
        &Rc::new(waiting),
        3,
        taken_at,
    );
    let (_, inherited) = scene.usage().own_and_inherited(&RED.into());
    let expected = Amount::covering(1000.0, 10.0);
    assert_eq!(
        inherited, expected,
        "of a thousand tasks that may run; CPUs are not limited"
    );
}

#[test]
fn the_leader_does_not_rely_on_grants_while_a_process_does_not_keep_to_them() {
    let config = Rc::new(config());
    let mut store = StoreReplica::new(&config);
    let process = |node: &str, keeps_grants: bool| ProcessRecord {
        node: node.into(),
        incarnation: 1,
        lease: 1,
        keeps_grants,
        consents: Vec::new(),
        claims: Vec::new(),
    };
    let tell = |store: &mut StoreReplica, node: &str, keeps: bool, version: Version| {
        store.apply_write(
            &put(&node_key(&node.into()), &process(node, keeps), None),
            version,
        );
    };
    tell(&mut store, "n0", true, 1);
    tell(&mut store, "n1", false, 2);
    let mut leader = Leader::new(&config, 3, &store, 0.0);
    leader.update_grant_keepers(&store);
    assert!(
        !leader.keeps_grants(&owner("n0")),
        "n1 would be asked to go on without"
    );
    tell(&mut store, "n1", true, 4);
    leader.update_grant_keepers(&store);
    assert!(leader.keeps_grants(&owner("n0")));
}

#[test]
fn a_record_that_the_state_service_refuses_is_deleted_and_not_begun_again() {
    let mut scene = Scene::new(9, Some(5), Some(held_by_other(5, 10.0)));
    scene.synced();
    let (call, _) = scene.write().unwrap();
    scene.answer(call, StoreReply::Rejected);
    assert!(
        !scene.allows(1.0),
        "others may rely on the record as long as it is there"
    );
    let (call, transaction) = scene.write().unwrap();
    assert!(
        matches!(&transaction.writes[..], [Write::Delete { .. }]),
        "{transaction:?}"
    );
    scene.answer(call, StoreReply::Committed(40));
    assert_eq!(scene.basis(), Basis::Counting { beginning: None });
    scene.reconcile();
    assert!(scene.write().is_none(), "it is not begun again");
}

/// The limit may be configured again later, and then no process may rely on earlier grants.
#[test]
fn a_team_whose_limit_was_removed_starts_after_its_record_is_deleted() {
    let mut scene = Scene::with(
        config_with_limit(0.0),
        9,
        Some(5),
        Some(held_by_other(5, 10.0)),
    );
    scene.synced();
    assert!(!scene.allows(1.0));
    let (call, transaction) = scene.write().unwrap();
    assert!(
        matches!(&transaction.writes[..], [Write::Delete { .. }]),
        "{transaction:?}"
    );
    scene.answer(call, StoreReply::Committed(40));
    assert!(scene.allows(1000.0) && scene.write().is_none());
}

#[test]
fn a_changed_limit_applies_to_later_grants() {
    for (limit, granted) in [(8.0, 0.0), (12.0, 1.5), (32.0, 4.0)] {
        let stored = Some(held_by_other(5, 10.0));
        let mut scene = Scene::with(config_with_limit(limit), 9, Some(5), stored);
        scene.synced();
        let (call, _) = scene.write().unwrap();
        scene.answer(call, StoreReply::Committed(30));
        let expected = Basis::Granted {
            own: Amount::covering(0.0, granted),
            outstanding: Amount::covering(0.0, 10.0),
        };
        assert_eq!(scene.basis(), expected, "limit {limit}");
    }
}

/// What the leader notes in the map for a team that goes to `keepers` and others, one after the other.
fn noted(owners: &[(&str, bool)]) -> Vec<Option<u64>> {
    let mut map = ShardMapEditor::new(1, &BTreeMap::new(), 4.0);
    let team = Team::from(RED);
    let mut noted = Vec::new();
    for (index, (node, keeps)) in owners.iter().enumerate() {
        let owner = ShardOwner {
            token: FencingToken(index as u64 + 1),
            ..owner(node)
        };
        map.update_grants_kept_since(&team, &owner, *keeps);
        map.set_team(&team, owner);
        noted.push(map.owners().grants_kept_since.get(&team).map(|term| term.0));
    }
    noted
}

#[test]
fn an_owner_that_does_not_keep_to_grants_resets_the_note() {
    assert_eq!(
        noted(&[("n0", true), ("n1", true), ("n0", true)]),
        [Some(1), Some(1), Some(1)]
    );
    assert_eq!(
        noted(&[("n0", true), ("n1", false), ("n0", true)]),
        [Some(1), None, Some(3)]
    );
}

/// A leader of a version without grants writes the teams without the note.
#[test]
fn the_note_is_optional_in_the_shard_map() {
    let chunk = ShardMapChunk {
        shards: vec![ShardEntry {
            owner: owner("n0"),
            teams: vec![RED.into()],
            machines: vec![],
        }],
        grants_kept_since: [(Team::from(RED), FencingToken(3))].into(),
    };
    let mut stored = serde_json::to_value(&chunk).unwrap();
    assert_eq!(stored["q"], serde_json::json!({ RED: 3 }));
    stored.as_object_mut().unwrap().remove("q");
    let read: ShardMapChunk = serde_json::from_value(stored).unwrap();
    assert!(read.grants_kept_since.is_empty());
}
