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
use crate::core::test_support::{owner, record, shard_with_config};
use crate::features::Features;
use crate::ids::{Attempt, TaskId};
use crate::wire::JobSpec;
use quota_ledger::{Amount, TeamLedger};
use std::collections::BTreeMap;
use std::rc::Rc;

const TEAM: &str = "red";
const FEATURE_SETTINGS: &str =
    "[quota_ledger]\nenabled = true\nheadroom = 0.125\ngive_back_leases = 1.0\n";

fn config() -> Config {
    config_with_limit(16.0)
}

fn config_with_limit(gpus: f64) -> Config {
    let limited = format!("teams = [{{ name = \"red\", gpus = 4.0, gpus_max = {gpus:?} }}]");
    let text = crate::config::TEST_SETTINGS.replace(r#"teams = [{ name = "red" }]"#, &limited);
    let mut config = Config::parse(&text).unwrap();
    config.features = Features::parse(FEATURE_SETTINGS).unwrap();
    config
}

/// A shard that owns the team, and the store replica that it reads. `new` assigns the team under `token`; the
/// team's owners have kept to their grants since the fencing token `kept_since`.
struct Fixture {
    shard: Shard,
    outbox: Outbox,
    store: StoreReplica,
    /// Version of the last write to the replica.
    version: Version,
}

impl Fixture {
    fn new(token: u64, kept_since: Option<u64>, stored: Option<serde_json::Value>) -> Self {
        Self::with(config(), token, kept_since, stored)
    }

    fn with(
        config: Config,
        token: u64,
        kept_since: Option<u64>,
        stored: Option<serde_json::Value>,
    ) -> Self {
        let (shard, outbox, store) = shard_with_config(config);
        let mut fixture = Self {
            shard,
            outbox,
            store,
            version: 10,
        };
        if let Some(value) = stored {
            fixture.put_record(&value);
        }
        fixture.assign("n0", token, kept_since);
        fixture
    }

    fn put_record(&mut self, value: &serde_json::Value) {
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
            teams: vec![TEAM.into()],
            machines: vec!["m-1".into()],
        }];
        let grants_kept_since = kept_since.map(|token| (Team::from(TEAM), FencingToken(token)));
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

    /// Advances the store replica to the revision of the shard map and reads the grant records again.
    fn sync(&mut self) {
        self.store.set_revision(self.version);
        self.shard.read_grant_records(&self.store);
    }

    fn reconcile(&mut self) {
        self.shard
            .teams
            .get_mut(&Team::from(TEAM))
            .unwrap()
            .unreconciled
            .clear();
    }

    fn basis(&self) -> QuotaBasis {
        self.shard.teams[&Team::from(TEAM)]
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

    /// Adds an attempt that this shard started under the token 9 and that has not exited.
    fn add_own_running_task(&mut self, gpus: f64) {
        let machine = self.shard.machines.get_mut(&"m-1".into()).unwrap();
        let mut tracked = TrackedAttempt::new(0.0);
        tracked.resources = Some(Resources {
            gpus,
            ..Resources::default()
        });
        tracked.team = Some(TEAM.into());
        let task = TaskId {
            job: "req-000009".into(),
            index: 0,
        };
        machine
            .attempts
            .insert((task, Attempt((9 << 16) + 1)), tracked);
    }

    /// Lets the shard write grants. Returns the transaction that it sent, if it sent one.
    fn write_grants(&mut self) -> Option<(CallId, Transaction)> {
        let usage = self.usage();
        self.shard
            .write_grants(&mut self.outbox, &self.store, &usage);
        self.take_sent_transaction()
    }

    fn take_sent_transaction(&mut self) -> Option<(CallId, Transaction)> {
        self.outbox
            .take_effects()
            .into_iter()
            .find_map(|effect| match effect {
                Effect::Store(call, StoreCall::Commit(transaction)) => Some((call, transaction)),
                _ => None,
            })
    }

    fn reply_to(&mut self, call: CallId, reply: StoreReply) {
        let Some(Pending::Grant(written)) = self.outbox.take_pending(call) else {
            panic!("not a grant write")
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
    quota_key(&TEAM.into()).unwrap()
}

/// Creates a record that was begun under the fencing token `began` and in which another process has a grant.
fn record_of_other_holder(began: u64, gpus: f64) -> serde_json::Value {
    let holder = HolderId {
        term: began,
        incarnation: 7,
        node: "n1".into(),
    };
    serde_json::to_value(TeamLedger::create(&holder, Amount::covering(0.0, gpus))).unwrap()
}

#[test]
fn a_new_owner_can_use_the_limit_less_grants_of_others() {
    let mut fixture = Fixture::new(9, Some(5), Some(record_of_other_holder(5, 10.0)));
    assert_eq!(fixture.basis(), QuotaBasis::Undecided);
    assert!(
        !fixture.allows(1.0),
        "the replica may not show an existing record yet"
    );
    fixture.sync();
    assert!(!fixture.allows(1.0), "no grant has been committed");
    let (call, transaction) = fixture.write_grants().unwrap();
    let guarded: Vec<&str> = transaction
        .preconditions
        .iter()
        .map(|precondition| precondition.key.as_str())
        .collect();
    assert_eq!(
        guarded,
        [key().as_str(), teams_key().as_str()],
        "the version of the shard map fences the write"
    );
    fixture.reply_to(call, StoreReply::Committed(30));
    assert!(
        fixture.allows(2.0),
        "the headroom is an eighth of the limit"
    );
    assert!(
        !fixture.allows(7.0),
        "10 of 16 GPUs are granted to another process"
    );
}

#[test]
fn a_record_is_relied_on_only_if_all_owners_have_kept_to_their_grants() {
    for (since, relied_on) in [(Some(5), true), (Some(6), false), (None, false)] {
        let mut fixture = Fixture::new(9, since, Some(record_of_other_holder(5, 10.0)));
        fixture.sync();
        let counting = QuotaBasis::Counting {
            unconfirmed_grant: None,
        };
        assert_eq!(fixture.basis() != counting, relied_on, "{since:?}");
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
        let mut fixture = Fixture::new(9, Some(5), Some(damaged));
        fixture.sync();
        assert_eq!(
            fixture.basis(),
            QuotaBasis::Counting {
                unconfirmed_grant: None
            }
        );
        assert!(
            fixture.allows(16.0),
            "the limit applies as without a record"
        );
        assert!(
            fixture.write_grants().is_none(),
            "the team is not reconciled"
        );
        fixture.reconcile();
        let (_, transaction) = fixture.write_grants().unwrap();
        assert_eq!(
            transaction.preconditions[0].version, 11,
            "the damaged record is replaced"
        );
    }
}

#[test]
fn starts_stay_within_a_record_whose_creation_has_an_unknown_outcome() {
    let mut fixture = Fixture::new(9, Some(9), None);
    fixture.sync();
    fixture.reconcile();
    let (call, _) = fixture.write_grants().unwrap();
    fixture.reply_to(call, StoreReply::Unknown);
    assert_eq!(
        fixture.basis(),
        QuotaBasis::Counting {
            unconfirmed_grant: Some(Amount::covering(0.0, 2.0))
        }
    );
    assert!(fixture.allows(2.0) && !fixture.allows(3.0));
    // The write was executed, and other processes rely on the record.
    let ledger = TeamLedger::create(
        &HolderId {
            term: 9,
            incarnation: 1,
            node: "n0".into(),
        },
        Amount::covering(0.0, 2.0),
    );
    fixture.put_record(&serde_json::to_value(ledger).unwrap());
    fixture.sync();
    assert!(fixture.allows(2.0) && !fixture.allows(3.0));
}

#[test]
fn an_owner_that_loses_the_team_returns_its_unused_grant() {
    let mut fixture = Fixture::new(9, Some(9), None);
    fixture.sync();
    fixture.reconcile();
    let (call, _) = fixture.write_grants().unwrap();
    fixture.reply_to(call, StoreReply::Committed(30));
    fixture.assign("n1", 12, Some(9));
    let (_, transaction) = fixture.take_sent_transaction().unwrap();
    assert_eq!(
        transaction.preconditions.len(),
        1,
        "a process that lost the team writes without the precondition on the shard map"
    );
    let Write::Put { value, .. } = &transaction.writes[0] else {
        panic!("not a put of a record")
    };
    let ledger = TeamLedger::decode(value).unwrap();
    assert!(
        ledger.grants().is_empty(),
        "no task runs under the grant: {ledger:?}"
    );
}

#[test]
fn running_tasks_stay_granted_when_the_team_is_lost() {
    let mut fixture = Fixture::new(9, Some(9), None);
    fixture.sync();
    fixture.reconcile();
    let (call, _) = fixture.write_grants().unwrap();
    fixture.reply_to(call, StoreReply::Committed(30));
    fixture.add_own_running_task(1.5);
    fixture.assign("n1", 12, Some(9));
    let (_, transaction) = fixture.take_sent_transaction().unwrap();
    let Write::Put { value, .. } = &transaction.writes[0] else {
        panic!("not a put of a record")
    };
    let ledger = TeamLedger::decode(value).unwrap();
    assert_eq!(ledger.grants()[0].amount, Amount::covering(0.0, 1.5));
}

/// Tasks that cannot be granted now must not reserve resources on machines that other teams could use.
#[test]
fn requests_do_not_exceed_the_limit_less_grants_of_others() {
    let mut fixture = Fixture::new(9, Some(5), Some(record_of_other_holder(5, 10.0)));
    fixture.sync();
    let team_limits = fixture.shard.config.deployment.teams[0].clone();
    let need = Resources {
        gpus: 1.0,
        ..Resources::default()
    };
    let mut usage = fixture.usage();
    assert_eq!(
        usage.tasks_within_limit(&team_limits, &need, 16),
        6,
        "other holders have 10 of 16 GPUs"
    );
    assert_eq!(usage.admit_under_grant(&team_limits, &need, 6, false), 0);
    let (waiting, next) = usage.blocked_by_grant(&TEAM.into());
    assert_eq!(
        (waiting, next),
        (Amount::covering(0.0, 6.0), Amount::covering(0.0, 1.0))
    );
    assert_eq!(
        usage.admit_under_grant(&team_limits, &need, 6, true),
        0,
        "a gang is admitted only as a whole"
    );
}

/// Tasks that other owners may have started count at most as much as those owners' grants.
#[test]
fn unknown_usage_counts_up_to_the_outstanding_grants() {
    let mut fixture = Fixture::new(9, Some(5), Some(record_of_other_holder(5, 10.0)));
    fixture.sync();
    let (_, inherited) = fixture.usage().own_and_inherited(&TEAM.into());
    assert_eq!(inherited, Amount::ZERO, "no task may be running");
    let spec = record(false).spec.unwrap();
    let mut waiting = JobRecord {
        tasks: 1000,
        ..record(false)
    };
    waiting.spec = Some(Rc::new(JobSpec {
        tasks: 1000,
        ..(*spec).clone()
    }));
    let now = (0.0, 0);
    fixture.shard.apply_job_record(
        &fixture.store,
        &"req-000001".into(),
        &Rc::new(waiting),
        3,
        now,
    );
    let (_, inherited) = fixture.usage().own_and_inherited(&TEAM.into());
    let expected = Amount::covering(1000.0, 10.0);
    assert_eq!(
        inherited, expected,
        "GPUs of 1000 tasks count up to the grants; CPUs are not limited"
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
        raises_tokens: true,
        consents: Vec::new(),
        claims: Vec::new(),
    };
    let register = |store: &mut StoreReplica, node: &str, keeps_grants: bool, version: Version| {
        store.apply_write(
            &put(&node_key(&node.into()), &process(node, keeps_grants), None),
            version,
        );
    };
    register(&mut store, "n0", true, 1);
    register(&mut store, "n1", false, 2);
    let mut leader = Leader::new(&config, 3, &store, 0.0);
    leader.update_grant_keepers(&store);
    assert!(
        !leader.keeps_grants(&owner("n0")),
        "n1 does not keep to grants"
    );
    register(&mut store, "n1", true, 4);
    leader.update_grant_keepers(&store);
    assert!(leader.keeps_grants(&owner("n0")));
}

#[test]
fn a_record_that_the_store_rejects_is_deleted_and_not_created_again() {
    let mut fixture = Fixture::new(9, Some(5), Some(record_of_other_holder(5, 10.0)));
    fixture.sync();
    let (call, _) = fixture.write_grants().unwrap();
    fixture.reply_to(call, StoreReply::Rejected);
    assert!(
        !fixture.allows(1.0),
        "others may rely on the record while it exists"
    );
    let (call, transaction) = fixture.write_grants().unwrap();
    assert!(
        matches!(&transaction.writes[..], [Write::Delete { .. }]),
        "{transaction:?}"
    );
    fixture.reply_to(call, StoreReply::Committed(40));
    assert_eq!(
        fixture.basis(),
        QuotaBasis::Counting {
            unconfirmed_grant: None
        }
    );
    fixture.reconcile();
    assert!(
        fixture.write_grants().is_none(),
        "the record is not created again"
    );
}

/// If the limit is configured again later, no process may rely on grants from before its removal.
#[test]
fn a_team_whose_limit_was_removed_starts_after_its_record_is_deleted() {
    let mut fixture = Fixture::with(
        config_with_limit(0.0),
        9,
        Some(5),
        Some(record_of_other_holder(5, 10.0)),
    );
    fixture.sync();
    assert!(!fixture.allows(1.0));
    let (call, transaction) = fixture.write_grants().unwrap();
    assert!(
        matches!(&transaction.writes[..], [Write::Delete { .. }]),
        "{transaction:?}"
    );
    fixture.reply_to(call, StoreReply::Committed(40));
    assert!(fixture.allows(1000.0) && fixture.write_grants().is_none());
}

#[test]
fn a_changed_limit_applies_to_later_grants() {
    for (limit, granted) in [(8.0, 0.0), (12.0, 1.5), (32.0, 4.0)] {
        let stored = Some(record_of_other_holder(5, 10.0));
        let mut fixture = Fixture::with(config_with_limit(limit), 9, Some(5), stored);
        fixture.sync();
        let (call, _) = fixture.write_grants().unwrap();
        fixture.reply_to(call, StoreReply::Committed(30));
        let expected = QuotaBasis::Granted {
            own: Amount::covering(0.0, granted),
            outstanding: Amount::covering(0.0, 10.0),
        };
        assert_eq!(fixture.basis(), expected, "limit {limit}");
    }
}

/// Assigns a team to `owners` one after the other; the flag says whether the owner keeps to its grants.
/// Returns the team's `grants_kept_since` in the shard map after each assignment.
fn grants_kept_since_after(owners: &[(&str, bool)]) -> Vec<Option<u64>> {
    let mut map = ShardMapEditor::new(1, &BTreeMap::new(), 4.0);
    let team = Team::from(TEAM);
    let mut kept_since = Vec::new();
    for (index, (node, keeps_grants)) in owners.iter().enumerate() {
        let owner = ShardOwner {
            token: FencingToken(index as u64 + 1),
            ..owner(node)
        };
        map.update_grants_kept_since(&team, &owner, *keeps_grants);
        map.set_team(&team, owner);
        kept_since.push(
            map.shard_map()
                .grants_kept_since
                .get(&team)
                .map(|token| token.0),
        );
    }
    kept_since
}

#[test]
fn an_owner_that_does_not_keep_to_grants_resets_grants_kept_since() {
    assert_eq!(
        grants_kept_since_after(&[("n0", true), ("n1", true), ("n0", true)]),
        [Some(1), Some(1), Some(1)]
    );
    assert_eq!(
        grants_kept_since_after(&[("n0", true), ("n1", false), ("n0", true)]),
        [Some(1), None, Some(3)]
    );
}

/// A leader of a release without quota grants writes the teams without this field.
#[test]
fn grants_kept_since_is_optional_in_the_shard_map() {
    let chunk = ShardMapChunk {
        shards: vec![ShardEntry {
            owner: owner("n0"),
            teams: vec![TEAM.into()],
            machines: vec![],
        }],
        grants_kept_since: [(Team::from(TEAM), FencingToken(3))].into(),
    };
    let mut stored = serde_json::to_value(&chunk).unwrap();
    assert_eq!(stored["q"], serde_json::json!({ TEAM: 3 }));
    stored.as_object_mut().unwrap().remove("q");
    let read: ShardMapChunk = serde_json::from_value(stored).unwrap();
    assert!(read.grants_kept_since.is_empty());
}
